package sipfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux/internal/lifecycle"
	"brookmux/internal/storm"
)

const optionsRequest = "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"

// stubEngine ignores new connections; any other call panics.
type stubEngine struct{ Engine }

func (stubEngine) CallerConnected(string) {}

// TestReconnects guards against a group with thousands of reconnections locking out the others, within the
// connections that 256 descriptors leave for callers. Another group must be served throughout, and the limits on open
// and on queued connections must hold.
func TestReconnects(t *testing.T) {
	const maxConns, maxWaiting = 256 / 3, 20
	phase := &lifecycle.Lifecycle{}
	require.NoError(t, phase.Advance(lifecycle.Ready))
	f := New(stubEngine{}, phase, maxConns-maxWaiting, slog.New(slog.NewTextHandler(io.Discard, nil)))
	p, err := storm.NewPacer(storm.Pace{PerSecond: 400, Burst: 20, Waiting: maxWaiting})
	require.NoError(t, err)
	f.SetPace(p)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- f.Serve(ctx, l) }()

	dial := func(from string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		c, err := d.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		return c
	}
	flooded := make(chan struct{})
	go func() { // reconnects at once, whether rejected or served
		defer close(flooded)
		for i := range 2000 {
			d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.0.2")}}
			c, err := d.Dial("tcp", l.Addr().String())
			if err != nil {
				continue
			}
			fmt.Fprintf(c, optionsRequest, i)
			if i%8 != 0 { // these stay open until the flood ends
				defer c.Close()
			} else {
				c.Close()
			}
		}
	}()
	for i := range 20 {
		for answered := false; !answered; { // retries when rejected
			c := dial("127.0.0.3")
			fmt.Fprintf(c, optionsRequest, 1<<20+i)
			require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
			line, err := bufio.NewReader(c).ReadString('\n')
			if answered = err == nil; answered {
				require.Equal(t, "SIP/2.0 200 OK\r\n", line)
			}
			c.Close()
		}
		f.mu.Lock()
		require.LessOrEqual(t, len(f.conns), maxConns-maxWaiting)
		f.mu.Unlock()
		f.acceptQueue.mu.Lock()
		require.LessOrEqual(t, len(f.acceptQueue.waiting), maxWaiting)
		f.acceptQueue.mu.Unlock()
	}
	<-flooded
	cancel()
	require.NoError(t, <-served)
	f.Close()
	f.acceptQueue.mu.Lock()
	defer f.acceptQueue.mu.Unlock()
	require.Empty(t, f.acceptQueue.waiting)
}
