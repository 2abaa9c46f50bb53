package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"brookmux"
)

// TestReportBeforeMember guards against a lost group state: a core sends it once, first of all on a new connection, and it
// can arrive before the membership list that names the core.
func TestReportBeforeMember(t *testing.T) {
	h := newHarness(t)
	full := noReport
	full.Free, full.Size = 0, 30
	h.Reported(2, full, true)
	added := brookmux.Members{Kind: brookmux.Delta, Switches: []brookmux.Switch{{ID: 2, Number: 2, State: brookmux.Ready}}}
	h.MembersChanged(added)
	h.Step()
	require.Equal(t, 30.0, h.groupSizes[2])
	require.Empty(t, h.earlyReports)
	h.sent = nil
	h.Offer(Request{Key: "b1", Class: "page", Number: "2", Destination: 2, Width: 1, Via: -1, Remaining: h.Settings.Module.Classes[0].Deadline,
		Caller: harnessCaller{h}})
	h.Step()
	require.NotContains(t, h.sent, brookmux.SwitchID(2), "the group has no free circuit")

	for id := range brookmux.SwitchID(maxEarlyReports + 1) {
		h.Reported(1000+id, full, true)
	}
	h.Step()
	require.LessOrEqual(t, len(h.earlyReports), maxEarlyReports)
}
