package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSameSeed checks that a run with killed controllers, a cold processor and a stalled one violates no rule, and that
// a second run with the same seed gives the same results.
func TestSameSeed(t *testing.T) {
	play := func() (Tally, int) {
		m, err := NewMesh(MeshConfig(5, 10, 7))
		require.NoError(t, err)
		r := NewRecord()
		for i := range 5 {
			m.StartCallers(i, 11, Shares(5, i), Impatient(0.3), r)
		}
		m.RunUntil(5 * time.Second)
		m.Kill(1)
		m.Kill(2)
		m.RunUntil(8 * time.Second)
		m.Replace(2)
		require.NoError(t, m.Start(1))
		require.NoError(t, m.Start(2))
		m.Node(3).Proc.Stall(3 * time.Second)
		m.RunUntil(20 * time.Second)
		require.Empty(t, m.Ledger.Violations)
		return m.Span(r, 0, 20*time.Second, nil), m.Ledger.Sent
	}
	a, sent := play()
	b, again := play()
	require.Equal(t, a, b)
	require.Equal(t, sent, again)
	require.Greater(t, a.Served, 500.0)
}

// TestFallsOver checks that an overloaded cold processor fails and stays down, and that a warm one under the same load
// does not.
func TestFallsOver(t *testing.T) {
	for _, cold := range []bool{false, true} {
		c := &Clock{now: dayStart}
		p := newProcessor(c, MeshConfig(2, 10, 1).Processors[0])
		if cold {
			p.Restart()
		}
		for range 400 {
			c.Run(c.Now() + 5*time.Millisecond)
			p.SetUp(func() bool { return true }, func() {}, func() {})
		}
		require.Equal(t, cold, p.Crashed)
	}
}
