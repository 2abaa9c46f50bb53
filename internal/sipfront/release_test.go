package sipfront

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux/internal/lifecycle"
	"brookmux/internal/liveness"
)

const ackRequest = "ACK sip:ping@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n"

// caller is the far end of a connection. It records when each BYE arrives, as the time since the start of the test.
type caller struct {
	net.Conn
	conn     *conn
	byeTimes []time.Duration
}

// newFront returns a front with numCallers connected callers. The front's watch runs until the test ends.
func newFront(t *testing.T, numCallers int) (*Front, []*caller) {
	phase := &lifecycle.Lifecycle{}
	require.NoError(t, phase.Advance(lifecycle.Ready))
	f := New(stubEngine{}, phase, 10, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go f.watch(t.Context())
	start := time.Now()
	var out []*caller
	for range numCallers {
		near, far := net.Pipe()
		f.addConn(halfCloser{near})
		c := &caller{Conn: far}
		out = append(out, c)
		go func() {
			for r := bufio.NewReader(far); ; {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				if line == "BYE sip:peer@net SIP/2.0\r\n" {
					c.byeTimes = append(c.byeTimes, time.Since(start))
				}
			}
		}()
		fmt.Fprintf(far, ackRequest, len(out))
		synctest.Wait()
		f.mu.Lock()
		for x := range f.conns {
			if x.nc.(halfCloser).Conn == near {
				c.conn = x
			}
		}
		f.mu.Unlock()
		t.Cleanup(func() { far.Close(); near.Close() })
	}
	return f, out
}

// openConnections returns the number of open connections.
func openConnections(f *Front) int {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// TestReleaseRepeated: an unacknowledged release is sent on another connection within a second, if callers
// acknowledge releases, or if its connection is the only unresponsive one.
func TestReleaseRepeated(t *testing.T) {
	for _, acknowledges := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f, callers := newFront(t, 2)
			f.callersAcknowledge.Store(acknowledges)
			f.sendRelease(callers[0].conn, release{key: "a1", cause: 16, endedAt: time.Now()})
			time.Sleep(500 * time.Millisecond)
			if !acknowledges {
				fmt.Fprintf(callers[1], ackRequest, 7)
			}
			time.Sleep(490 * time.Millisecond)
			synctest.Wait()
			require.Len(t, callers[0].byeTimes, 1)
			require.Len(t, callers[1].byeTimes, 1)
		})
	}
}

// TestReleaseNotRepeated: if no caller acknowledges releases and no connection receives anything, nothing indicates a
// failed connection, and the release is not repeated.
func TestReleaseNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, callers := newFront(t, 2)
		f.sendRelease(callers[0].conn, release{key: "a1", cause: 16, endedAt: time.Now()})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Len(t, callers[0].byeTimes, 1)
		require.Empty(t, callers[1].byeTimes)
	})
}

// TestStandingCallsKeepConnection: a connection with a standing call is not closed as idle; it is closed after the
// call has ended.
func TestStandingCallsKeepConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, callers := newFront(t, 2)
		f.addStandingCall("a1", callers[0].conn)
		time.Sleep(3 * idleTimeout)
		require.Equal(t, 1, openConnections(f))
		f.sendRelease(callers[0].conn, release{key: "a1", cause: 16, endedAt: time.Now()})
		time.Sleep(2 * idleTimeout)
		require.Zero(t, openConnections(f))
		require.Empty(t, f.callConns)
	})
}

// TestRepeatedReleaseInTime guards against a release later than 8 s after the end of a call: its lease had expired, and the first
// release was written to a connection that had been cut without a sign.
func TestRepeatedReleaseInTime(t *testing.T) {
	const (
		releaseLimit = 8 * time.Second       // protocol page, "The rules on sockets"
		leaseTick    = 50 * time.Millisecond // between two checks of the leases
	)
	require.LessOrEqual(t, liveness.LeaseDuration+leaseTick+repeatAfter+watchInterval, releaseLimit)
}
