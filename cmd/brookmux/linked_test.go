package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"brookmux"
	"brookmux/internal/directory"
	"brookmux/internal/intent"
)

// TestLinkedExchangeDrains guards against set-ups that go on over an M3UA link to an exchange that operators have drained:
// its state reached the decision module as ready, whether the association became active before or after the commit.
func TestLinkedExchangeDrains(t *testing.T) {
	link := brookmux.Switch{ID: 905, Number: 5, State: brookmux.Ready}
	for _, activeFirst := range []bool{true, false} {
		var states []brookmux.SwitchState
		merger := &directory.Merger{OnChange: func(list brookmux.Members) {
			for _, s := range list.Switches {
				if s.ID == link.ID {
					states = append(states, s.State)
				}
			}
		}}
		table := &exchangeTable{listMerger: merger}
		configure := func(state brookmux.SwitchState) {
			table.exchangeMerger.SetConfigured(0, []intent.Exchange{{Number: 5, Address: "x:1", State: state}}, false)
			table.updateLinked()
		}
		if activeFirst {
			table.setLinked([]brookmux.Switch{link})
			configure(brookmux.Draining)
		} else {
			configure(brookmux.Draining)
			table.setLinked([]brookmux.Switch{link})
		}
		require.Equal(t, brookmux.Draining, states[len(states)-1])
		configure(brookmux.Ready)
		require.Equal(t, brookmux.Ready, states[len(states)-1])
	}
}
