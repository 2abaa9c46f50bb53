package core

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux"
	"brookmux/internal/settings"
)

// harness drives an engine on a simulated clock. It is its trunks and, through harnessCaller, its caller, and records
// what the engine sends.
type harness struct {
	*Engine
	now      time.Duration
	sent     []brookmux.SwitchID
	released []brookmux.SwitchID
	stood    int
	refused  []Verdict
	over     int
}

func (h *harness) SetUp(to brookmux.SwitchID, _ Attempt) { h.sent = append(h.sent, to) }
func (h *harness) Release(to brookmux.SwitchID, _ string, _ Cause) {
	h.released = append(h.released, to)
}
func (h *harness) ReleaseAnywhere(string, Cause) {}

// harnessCaller is the caller side of a harness.
type harnessCaller struct{ *harness }

func (a harnessCaller) Answered(string, []byte)    { a.stood++ }
func (a harnessCaller) Refuse(_ string, v Verdict) { a.refused = append(a.refused, v) }
func (a harnessCaller) Release(_ string, _ Cause)  { a.over++ }
func (h *harness) advance(step time.Duration)      { h.now += step; h.Step() }
func (h *harness) normalEnd(otherConnection bool) Outcome {
	return Outcome{Result: brookmux.ResultOK, Report: noReport, Cause: NormalClearing, OtherConnection: otherConnection}
}

// newHarness returns a harness with one core and one call, whose first attempt was lost with its connection.
func newHarness(t *testing.T) *harness {
	h := &harness{now: time.Hour}
	e, err := New(Config{Trunks: h, Log: slog.New(slog.DiscardHandler),
		Clock: func() time.Duration { return h.now },
		Settings: settings.Settings{ClassNames: []string{"page"}, Module: brookmux.Settings{Instances: 2, MaxAttempts: 6,
			ReleaseWait: 300 * time.Millisecond,
			Classes:     []brookmux.Class{{Aim: time.Second, Deadline: 9 * time.Second, Worth: 1}}}}})
	require.NoError(t, err)
	h.Engine = e
	e.MembersChanged(brookmux.Members{Kind: brookmux.Full, Switches: []brookmux.Switch{{ID: 1, Number: 1, State: brookmux.Ready}}})
	e.Offer(Request{Key: "a1", Class: "page", Number: "1", Destination: 1, Width: 1, Via: -1, Remaining: 9 * time.Second,
		Caller: harnessCaller{h}})
	h.Step()
	require.Len(t, h.sent, 1)
	e.Lost(1, []string{"a1"}, Loss{Outcome: Outcome{Result: brookmux.ResultReset, Report: noReport}})
	h.Step()
	h.advance(100 * time.Millisecond)
	require.Len(t, h.sent, 1, "the wait after a reset")
	return h
}

// TestEndedWhileUnresolved guards against a second set-up of a call that is over: an attempt and its answer are lost
// with the connection, and the core then releases the call on another connection. The caller must be answered at once,
// both during the release wait and while the next attempt, which is then released, is open.
func TestEndedWhileUnresolved(t *testing.T) {
	h := newHarness(t)
	h.Ended(1, "a1", h.normalEnd(false))
	h.Step()
	require.Len(t, h.refused, 1, "answered at once")
	h.advance(9 * time.Second)
	require.Len(t, h.sent, 1, "a call that is over is not set up again")

	h = newHarness(t)
	h.advance(300 * time.Millisecond)
	require.Len(t, h.sent, 2)
	h.Ended(1, "a1", h.normalEnd(true))
	h.Step()
	require.Len(t, h.refused, 1, "answered at once")
	require.Equal(t, []brookmux.SwitchID{1, 1}, h.released, "the lost and the open attempt are released")
	h.Answered(1, "a1", nil, noReport)
	h.advance(9 * time.Second)
	require.Zero(t, h.stood)
	require.Len(t, h.refused, 1, "one final answer")
	require.Len(t, h.sent, 2)
	require.Empty(t, h.calls)
}

// TestNotEndedWhileUnresolved checks that messages that do not prove that the call stood and ended leave it open: a
// late refusal, the end of a call from a core that had no attempt, and the end of a set-up on another connection once
// the caller has been answered from its second attempt.
func TestNotEndedWhileUnresolved(t *testing.T) {
	h := newHarness(t)
	late := Outcome{Result: brookmux.ResultFull, Report: noReport, Cause: 34}
	h.Ended(1, "a1", late)
	h.Ended(2, "a1", h.normalEnd(false))
	h.Step()
	require.Empty(t, h.refused)
	h.advance(300 * time.Millisecond)
	require.Len(t, h.sent, 2)
	h.Answered(1, "a1", nil, noReport)
	h.Step()
	require.Equal(t, 1, h.stood)
	h.Ended(1, "a1", h.normalEnd(true)) // the caller is connected through the second attempt
	h.Step()
	require.Zero(t, h.over)
	h.Ended(1, "a1", h.normalEnd(false))
	h.Step()
	require.Equal(t, 1, h.over)
	require.Empty(t, h.calls)
}

// TestLostSetUpIsReleased: a set-up that is lost with its connection may stand at its core with its answer lost. It
// must be released there, or its later end is taken for the end of the call's next attempt once this process has
// restarted.
func TestLostSetUpIsReleased(t *testing.T) {
	h := newHarness(t)
	require.Equal(t, []brookmux.SwitchID{1}, h.released)
}
