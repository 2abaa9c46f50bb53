package sipfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux/internal/lifecycle"
)

// TestSetUpsGoOnInDrain guards against set-ups without an answer: a caller that went on in a drain had its connection ended
// after 0.1 s without a message, read that late behind releases, and had sent another set-up meanwhile.
func TestSetUpsGoOnInDrain(t *testing.T) {
	phase := &lifecycle.Lifecycle{}
	for _, s := range []lifecycle.State{lifecycle.Ready, lifecycle.Serving, lifecycle.Draining} {
		require.NoError(t, phase.Advance(s))
	}
	f := &Front{phase: phase}
	drainStart := time.Now().Add(-phase.Since(lifecycle.Draining))
	for _, c := range []struct {
		setUp, now, killAt time.Duration // since the start of the drain
		want               bool
	}{
		{2 * time.Second, 2*time.Second + 2*drainIdleTime, 0, true},
		{2 * time.Second, 2*time.Second + drainSetUpTime, 0, false},
		{2 * time.Second, 2*time.Second + 2*drainIdleTime, 2200 * time.Millisecond, false},
	} {
		x := &conn{front: f}
		f.killAt = time.Time{}
		if c.killAt > 0 {
			f.killAt = drainStart.Add(c.killAt)
		}
		x.lastSetUp.Store(drainStart.Add(c.setUp).UnixNano())
		x.lastReceived.Store(x.lastSetUp.Load())
		require.Equal(t, c.want, x.expectsTraffic(drainStart.Add(c.now)), "%+v", c)
	}
	quiet := &conn{front: f}
	quiet.lastSetUp.Store(drainStart.Add(-time.Second).UnixNano())
	require.False(t, quiet.expectsTraffic(time.Now()), "no set-up since the drain began")
}
