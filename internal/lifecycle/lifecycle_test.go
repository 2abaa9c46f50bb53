package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOrder: states change only forward, none is entered twice, and each change is reported to watchers once.
func TestOrder(t *testing.T) {
	l := &Lifecycle{}
	var transitions []string
	l.Watch(func(from, to State) { transitions = append(transitions, from.String()+">"+to.String()) })
	require.NoError(t, l.Advance(Ready))
	require.Error(t, l.Advance(Ready))
	require.NoError(t, l.Advance(Draining))
	require.Error(t, l.Advance(Serving), "a request during the drain does not end it")
	require.NoError(t, l.Advance(Stopped))
	require.Error(t, l.Advance(Stopped+1))
	require.Equal(t, Stopped, l.State())
	require.Equal(t, []string{"starting>ready", "ready>draining", "draining>stopped"}, transitions)
}
