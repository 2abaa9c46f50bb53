package m3ua

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefusedFarEnd guards against calls that are never released to their callers: the process of an exchange without call
// keys ended and was back before gone_ms. An exchange with call keys takes its calls up again, so they stay.
func TestRefusedFarEnd(t *testing.T) {
	for _, callKeys := range []bool{false, true} {
		e := newEnds(t)
		e.setUp(firstCall)
		l := e.client.links[linkID]
		e.client.mu.Lock()
		l.callKeys = callKeys
		e.client.mu.Unlock()
		e.stopServer()
		time.Sleep(3 * redialInterval) // the connection is refused at least once
		e.startServer()
		require.Eventually(t, func() bool {
			e.client.mu.Lock()
			defer e.client.mu.Unlock()
			return l.active
		}, waitTimeout, time.Millisecond)
		require.Equal(t, callKeys, e.clientKnows(firstCall)())
	}
}
