package core

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux"
	"brookmux/internal/settings"
)

// ends are trunks on which every set-up stands, and the call is over at once.
type ends struct{ engine *Engine }

func (x ends) SetUp(to brookmux.SwitchID, a Attempt) {
	go func() { // the owner calls this
		x.engine.Answered(to, a.Key, nil, noReport)
		x.engine.Ended(to, a.Key, Outcome{Result: brookmux.ResultOK, Report: noReport, Cause: NormalClearing})
	}()
}
func (ends) Release(brookmux.SwitchID, string, Cause) {}
func (ends) ReleaseAnywhere(string, Cause)            {}

// callerEnd is a caller that waits for the end of its call.
type callerEnd struct{ over chan<- struct{} }

func (c callerEnd) Stands(string, []byte)  {}
func (c callerEnd) Refuse(string, Verdict) { c.over <- struct{}{} }
func (c callerEnd) Release(string, Cause)  { c.over <- struct{}{} }

// TestTurnover: thousands of calls, and of cores that each come under an id of their own, leave nothing behind
// but the bounded memory of what was over of late.
func TestTurnover(t *testing.T) {
	const calls = 40_000
	x, over := &ends{}, make(chan struct{}, calls)
	e, err := New(Config{Origin: time.Now().Add(-time.Hour), Trunks: x, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Settings: settings.Settings{ClassNames: []string{"page"}, Module: brookmux.Settings{Instances: 2, MaxAttempts: 6,
			Classes: []brookmux.Class{{Aim: time.Second, Deadline: 9 * time.Second, Worth: 1}}}}})
	require.NoError(t, err)
	x.engine = e
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- e.Run(ctx) }()
	for i := range calls {
		if i%10 == 0 {
			e.Listed(brookmux.Members{Kind: brookmux.Full, Switches: []brookmux.Switch{
				{ID: brookmux.SwitchID(i + 1), Number: 1, State: brookmux.Ready}}})
		}
		e.Offer(Request{Key: fmt.Sprintf("%016x", i), Class: "page", Number: "1", Destination: 1, Width: 1, Via: -1,
			Left: time.Second, Caller: callerEnd{over}})
		<-over
	}
	cancel()
	require.NoError(t, <-ended)
	require.Len(t, e.switches, 1)
	require.Empty(t, e.calls)
	require.Empty(t, e.byID)
	require.Zero(t, e.open)
	require.Zero(t, e.held.Load())
	require.LessOrEqual(t, len(e.recent[0])+len(e.recent[1]), 2*mostRecent)
}
