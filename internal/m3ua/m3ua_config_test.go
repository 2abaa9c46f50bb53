package m3ua

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTimersEndSilence: the usual timers end the calls on an exchange that vanished within the time in which their callers
// are owed a release; others that don't are refused.
func TestTimersEndSilence(t *testing.T) {
	c := Config{Enabled: true, PointCode: 1, RoutingContext: 1}
	_ = c.check() // whatever else is missing, the timers are set first
	require.Positive(t, c.Timers.Beat)
	require.LessOrEqual(t, 2*c.Timers.Beat+c.Timers.Gone, maxSilence)
	c.Timers = Timers{Beat: 5000, Gone: 3000}
	require.ErrorContains(t, c.check(), "beat_ms")
}
