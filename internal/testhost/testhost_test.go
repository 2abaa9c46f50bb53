package testhost

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHostsDiffer: all addresses of a process and of others with nearby ids are distinct loopback addresses, and none
// is the default 127.0.0.1.
func TestHostsDiffer(t *testing.T) {
	seen := map[string]bool{"127.0.0.1": true}
	for _, pid := range []int{1, 255, 256, 257, 32767, 65536} {
		for n := range uint32(hostsPerProcess) {
			host := address(pid, n)
			require.False(t, seen[host], host)
			require.True(t, net.ParseIP(host).IsLoopback(), host)
			seen[host] = true
		}
	}
	require.NotEqual(t, Host(), Host())
}

// TestClosedPortIsNobodys guards against a program reaching the listener of another test at a reassigned port: the
// next test binds the same port at another address.
func TestClosedPortIsNobodys(t *testing.T) {
	first, err := net.Listen("tcp", net.JoinHostPort(Host(), "0"))
	require.NoError(t, err)
	closedAddress := first.Addr().String()
	_, port, err := net.SplitHostPort(closedAddress)
	require.NoError(t, err)
	require.NoError(t, first.Close())
	next, err := net.Listen("tcp", net.JoinHostPort(Host(), port))
	require.NoError(t, err)
	defer next.Close()
	_, err = net.Dial("tcp", closedAddress)
	require.Error(t, err)
}
