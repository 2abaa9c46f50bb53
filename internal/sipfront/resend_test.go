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

// halfCloser adds CloseWrite to a connection, as TCP connections have it.
type halfCloser struct{ net.Conn }

func (halfCloser) CloseWrite() error { return nil }

// TestReleaseResent: a connection is closed because of a malformed message while a release written on it may be
// unread. The release must be resent on another connection at once, not after the second that the caller has for
// reading the rest.
func TestReleaseResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		phase := &lifecycle.Lifecycle{}
		require.NoError(t, phase.Advance(lifecycle.Ready))
		f := New(stubEngine{}, phase, 10, slog.New(slog.NewTextHandler(io.Discard, nil)))
		connect := func(key int) (*conn, net.Conn, *bufio.Reader) {
			local, far := net.Pipe()
			near := halfCloser{local}
			f.addConn(near)
			fmt.Fprintf(far, "ACK sip:ping@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n", key)
			fmt.Fprintf(far, optionsRequest, key)
			r := bufio.NewReader(far)
			for line := ""; line != "\r\n"; {
				line, _ = r.ReadString('\n')
			}
			synctest.Wait()
			for c := range f.conns {
				if c.nc == near {
					return c, far, r
				}
			}
			return nil, nil, nil
		}
		first, far, r := connect(1)
		_, otherFar, otherReader := connect(2)
		f.sendRelease(first, release{key: "a1", cause: 16, endedAt: time.Now()})
		line, err := r.ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, line, "BYE")
		go func() { _, _ = io.Copy(io.Discard, r) }()
		start := time.Now()
		fmt.Fprint(far, "NOTHING THAT CAN BE READ\r\n\r\n") // and the far end is left open
		line, err = otherReader.ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, line, "BYE")
		require.Zero(t, time.Since(start))
		go func() { _, _ = io.Copy(io.Discard, otherReader) }()
		far.Close()
		otherFar.Close()
	})
}
