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

// half is a connection whose writing half can be ended, as that of TCP can.
type half struct{ net.Conn }

func (half) CloseWrite() error { return nil }

// TestReleaseResent: a connection is ended for what it sent while a release written on it may not have been read. The release
// goes out on another at once, not after the second that the caller has to read the rest.
func TestReleaseResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		phase := &lifecycle.Lifecycle{}
		require.NoError(t, phase.To(lifecycle.Ready))
		f := New(engine{}, phase, 10, slog.New(slog.NewTextHandler(io.Discard, nil)))
		connect := func(key int) (*conn, net.Conn, *bufio.Reader) {
			end, far := net.Pipe()
			near := half{end}
			f.take(near)
			fmt.Fprintf(far, "ACK sip:ping@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n", key)
			fmt.Fprintf(far, options, key)
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
		_, other, others := connect(2)
		f.release(first, release{key: "a1", cause: 16, at: time.Now()})
		line, err := r.ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, line, "BYE")
		go func() { _, _ = io.Copy(io.Discard, r) }()
		began := time.Now()
		fmt.Fprint(far, "NOTHING THAT CAN BE READ\r\n\r\n") // and it is left open
		line, err = others.ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, line, "BYE")
		require.Zero(t, time.Since(began))
		go func() { _, _ = io.Copy(io.Discard, others) }()
		far.Close()
		other.Close()
	})
}
