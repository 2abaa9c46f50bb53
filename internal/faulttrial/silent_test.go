package faulttrial

import (
	"bufio"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux/internal/testhost"
)

// requireNoAnswer ends this side of a connection and requires that the far end does not end its own: neither by its code nor
// as the runtime closes what nothing refers to.
func requireNoAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	for range 5 {
		runtime.GC()
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		_, err := conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
}

// TestForgottenConnectionIsNotClosed guards against trials in which the end of a connection that a core has forgotten was
// answered: to the controller that proved that its process was alive, also after it had crashed.
func TestForgottenConnectionIsNotClosed(t *testing.T) {
	for _, how := range []string{"forget", "malformed", "crash after forget"} {
		core, err := StartCore("s-1", testhost.Host(), 1, 10, []string{"n0"}, nil, CoreBehaviour{}, 1, NewRecorder())
		require.NoError(t, err)
		conn, err := net.Dial("tcp", core.Address("n0"))
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		_, err = reader.ReadString('\n') // the group's state
		require.NoError(t, err)
		if how != "malformed" {
			core.DropIdleConnections("forget")
		} else {
			core.mu.Lock()
			for c := range core.links["n0"].conns {
				c.sendMalformed()
			}
			core.mu.Unlock()
			_, err = reader.ReadString('\n')
			require.NoError(t, err)
		}
		if how == "crash after forget" {
			core.Crash()
		}
		requireNoAnswer(t, conn)
		core.Crash()
		require.NoError(t, conn.Close())
	}
}

// TestMutedConnectionIsNotClosed guards against trials in which the end of a caller's connection that was cut without a sign was
// answered: to the controller that proved that the caller had read the releases on it.
func TestMutedConnectionIsNotClosed(t *testing.T) {
	listener, err := net.Listen("tcp", net.JoinHostPort(testhost.Host(), "0"))
	require.NoError(t, err)
	defer listener.Close()
	callers := &Callers{controller: "n0", address: listener.Addr().String(), record: NewRecorder(), calls: map[string]*callerCall{}}
	var accepted []net.Conn
	for range 2 {
		require.NotNil(t, callers.connect())
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer conn.Close()
		accepted = append(accepted, conn)
	}
	callers.MuteConnection()
	requireNoAnswer(t, accepted[0])
}
