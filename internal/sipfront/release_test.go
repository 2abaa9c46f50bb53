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
)

const ack = "ACK sip:ping@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n"

// caller is the far end of a connection, whose messages are noted with the time since the test's start.
type caller struct {
	net.Conn
	conn *conn
	byes []time.Duration
}

// newFront returns a front with so many callers' connections that are watched until the test ends.
func newFront(t *testing.T, callers int) (*Front, []*caller) {
	phase := &lifecycle.Lifecycle{}
	require.NoError(t, phase.To(lifecycle.Ready))
	f := New(engine{}, phase, 10, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go f.watch(t.Context())
	began := time.Now()
	var out []*caller
	for range callers {
		near, far := net.Pipe()
		f.take(half{near})
		c := &caller{Conn: far}
		out = append(out, c)
		go func() {
			for r := bufio.NewReader(far); ; {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				if line == "BYE sip:peer@net SIP/2.0\r\n" {
					c.byes = append(c.byes, time.Since(began))
				}
			}
		}()
		fmt.Fprintf(far, ack, len(out))
		synctest.Wait()
		f.mu.Lock()
		for x := range f.conns {
			if x.nc.(half).Conn == near {
				c.conn = x
			}
		}
		f.mu.Unlock()
		t.Cleanup(func() { far.Close(); near.Close() })
	}
	return f, out
}

// openConnections is how many connections are open.
func openConnections(f *Front) int {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// TestReleaseRepeated: a release that is not acknowledged goes out on another connection within a second, where callers
// acknowledge releases, or where its connection alone is silent.
func TestReleaseRepeated(t *testing.T) {
	for _, acknowledges := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f, callers := newFront(t, 2)
			f.acknowledged.Store(acknowledges)
			f.release(callers[0].conn, release{key: "a1", cause: 16, at: time.Now()})
			time.Sleep(500 * time.Millisecond)
			if !acknowledges {
				fmt.Fprintf(callers[1], ack, 7)
			}
			time.Sleep(490 * time.Millisecond)
			synctest.Wait()
			require.Len(t, callers[0].byes, 1)
			require.Len(t, callers[1].byes, 1)
		})
	}
}

// TestReleaseNotRepeated: where no callers acknowledge, and all connections are as silent, nothing tells of a cut.
func TestReleaseNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, callers := newFront(t, 2)
		f.release(callers[0].conn, release{key: "a1", cause: 16, at: time.Now()})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Len(t, callers[0].byes, 1)
		require.Empty(t, callers[1].byes)
	})
}

// TestStandingCallsKeepConnection: a connection on which a call stands is not closed as idle, and goes last to make
// room; once the call is over it is closed.
func TestStandingCallsKeepConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, callers := newFront(t, 2)
		f.stands("a1", callers[0].conn)
		time.Sleep(3 * idleMost)
		require.Equal(t, 1, openConnections(f))
		f.release(callers[0].conn, release{key: "a1", cause: 16, at: time.Now()})
		time.Sleep(2 * idleMost)
		require.Zero(t, openConnections(f))
		require.Empty(t, f.callers)
	})
}
