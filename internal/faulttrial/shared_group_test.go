package faulttrial

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReplacedCoreWithSharedGroup guards against calls that are never released: a process takes the address of their
// core's, and calls of others take as many circuits of the group as they did.
func TestReplacedCoreWithSharedGroup(t *testing.T) {
	t.Parallel()
	const soon = 400 * time.Millisecond
	steady := OtherTraffic{Calls: 40}
	busy := OtherTraffic{Calls: 40, Rate: 10, Hold: 4 * time.Second}
	for name, r := range map[string]Replacement{
		"silent, as many":        {Silent: true, Listing: lateListing, Others: OtherTraffic{Calls: 13}},
		"silent, many":           {Silent: true, Listing: soon, Others: steady},
		"silent, growing":        {Silent: true, Listing: 1300 * time.Millisecond, Others: OtherTraffic{Rate: 12}},
		"silent, busy":           {Silent: true, Listing: lateListing, Others: busy},
		"reset":                  {Listing: soon, Others: steady},
		"reset, busy":            {Listing: lateListing, Others: busy},
		"closed":                 {Close: true, Listing: 3 * time.Second, Others: steady},
		"killed in a hang":       {Hang: time.Second, Killed: true, Lead: 1100 * time.Millisecond, Others: steady},
		"killed in a hang, none": {Hang: time.Second, Killed: true, Lead: 1100 * time.Millisecond},
		"killed in a long hang":  {Hang: 4 * time.Second, Killed: true, Listing: lateListing, Others: busy},
		"listed before the end":  {Lead: 1100 * time.Millisecond, Others: steady},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newTestLab(t, func(c *LabConfig) { c.Cores, c.Callers.Rate, c.Core.Others = 1, 10, steady })
			establishCalls(t, l, 12)
			go l.Callers(0).Run()
			time.Sleep(2 * time.Second)
			time.AfterFunc(r.Hang+2*time.Second, l.Callers(0).Finish)
			require.NoError(t, l.PlayReplacement(1, r))
			time.Sleep(max(0, releaseLimit+time.Second-r.Listing))
			requireNoFindings(t, l)
		})
	}
}

// TestLiveCallsWithSharedGroup checks that the calls of a core that lost its connections or its network stay, whatever
// calls of others do on its group.
func TestLiveCallsWithSharedGroup(t *testing.T) {
	t.Parallel()
	for traffic, others := range map[string]OtherTraffic{
		"no others":   {},
		"steady":      {Calls: 30},
		"few changes": {Calls: 20, Rate: 2, Hold: 10 * time.Second},
		"busy":        {Calls: 40, Rate: 5, Hold: 8 * time.Second},
	} {
		for name, fault := range liveFaults {
			t.Run(name+", "+traffic, func(t *testing.T) {
				t.Parallel()
				l := newTestLab(t, func(c *LabConfig) { c.Core.Others = others })
				require.NoError(t, l.Discovery.SetMode(Silent, 0))
				establishCalls(t, l, 24)
				time.Sleep(3 * time.Second)
				fault(l)
				time.Sleep(9 * time.Second)
				verdict := requireNoFindings(t, l)
				require.Zero(t, verdict.Cut)
			})
		}
	}
}
