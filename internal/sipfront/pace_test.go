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

const options = "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"

// engine takes connections and nothing else.
type engine struct{ Engine }

func (engine) Linked(string) {}

// TestReconnects: one group reconnects by thousands, with what 256 descriptors leave for callers; another is
// served all the while, and no connection is held beside those that may be.
func TestReconnects(t *testing.T) {
	const most, waiting = 256 / 3, 20
	phase := &lifecycle.Lifecycle{}
	require.NoError(t, phase.To(lifecycle.Ready))
	f := New(engine{}, phase, most-waiting, slog.New(slog.NewTextHandler(io.Discard, nil)))
	p, err := storm.NewPacer(storm.Pace{PerSecond: 400, Burst: 20, Waiting: waiting})
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
	go func() { // it reconnects as soon as it is let go, or was served
		defer close(flooded)
		for i := range 2000 {
			d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.0.2")}}
			c, err := d.Dial("tcp", l.Addr().String())
			if err != nil {
				continue
			}
			fmt.Fprintf(c, options, i)
			if i%8 != 0 { // most don't wait for an answer
				defer c.Close()
			} else {
				c.Close()
			}
		}
	}()
	for i := range 20 {
		for answered := false; !answered; { // one that found no place comes again
			c := dial("127.0.0.3")
			fmt.Fprintf(c, options, 1<<20+i)
			require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
			line, err := bufio.NewReader(c).ReadString('\n')
			if answered = err == nil; answered {
				require.Equal(t, "SIP/2.0 200 OK\r\n", line)
			}
			c.Close()
		}
		f.mu.Lock()
		require.LessOrEqual(t, len(f.conns), most-waiting)
		f.mu.Unlock()
		f.paced.mu.Lock()
		require.LessOrEqual(t, len(f.paced.waiting), waiting)
		f.paced.mu.Unlock()
	}
	<-flooded
	cancel()
	require.NoError(t, <-served)
	f.Close()
	f.paced.mu.Lock()
	defer f.paced.mu.Unlock()
	require.Empty(t, f.paced.waiting)
}
