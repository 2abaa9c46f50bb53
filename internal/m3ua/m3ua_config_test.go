package m3ua

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTimersEndSilence checks that the default timers end the calls on an unresponsive exchange early enough for their
// callers to be released in time, and that timers that do not are rejected.
func TestTimersEndSilence(t *testing.T) {
	c := Config{Enabled: true, PointCode: 1, RoutingContext: 1}
	_ = c.validate() // the defaults of the timers are set even if another check fails
	require.Positive(t, c.Timers.Beat)
	require.LessOrEqual(t, 2*c.Timers.Beat+c.Timers.Gone, maxCallEndDelay)
	c.Timers = Timers{Beat: 5000, Gone: 3000}
	require.ErrorContains(t, c.validate(), "beat_ms")
}
