package testhost

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHostsDiffer: tests of a process and of neighbouring ones get addresses of their own, none that others use by default.
func TestHostsDiffer(t *testing.T) {
	seen := map[string]bool{"127.0.0.1": true}
	for _, pid := range []int{1, 255, 256, 257, 32767, 65536} {
		for n := range uint32(hosts) {
			host := address(pid, n)
			require.False(t, seen[host], host)
			require.True(t, net.ParseIP(host).IsLoopback(), host)
			seen[host] = true
		}
	}
	require.NotEqual(t, Host(), Host())
}

// TestClosedPortIsNobodys guards against a program that reaches another test's listener at a port that was given out again:
// the same port, bound by the next test, is at another address.
func TestClosedPortIsNobodys(t *testing.T) {
	first, err := net.Listen("tcp", net.JoinHostPort(Host(), "0"))
	require.NoError(t, err)
	dialled := first.Addr().String()
	_, port, err := net.SplitHostPort(dialled)
	require.NoError(t, err)
	require.NoError(t, first.Close())
	next, err := net.Listen("tcp", net.JoinHostPort(Host(), port))
	require.NoError(t, err)
	defer next.Close()
	_, err = net.Dial("tcp", dialled)
	require.Error(t, err)
}
