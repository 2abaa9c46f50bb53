package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOrder: states are passed in order, none twice, and each change is told once.
func TestOrder(t *testing.T) {
	l := &Lifecycle{}
	var told []string
	l.Watch(func(from, to State) { told = append(told, from.String()+">"+to.String()) })
	require.NoError(t, l.To(Ready))
	require.Error(t, l.To(Ready))
	require.NoError(t, l.To(Draining))
	require.Error(t, l.To(Serving), "a request during the drain does not end it")
	require.NoError(t, l.To(Stopped))
	require.Error(t, l.To(Stopped+1))
	require.Equal(t, Stopped, l.State())
	require.Equal(t, []string{"starting>ready", "ready>draining", "draining>stopped"}, told)
}
