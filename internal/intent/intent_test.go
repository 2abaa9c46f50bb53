package intent

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux"
	"brookmux/internal/schema"
	"brookmux/internal/settings"
	"brookmux/yang"
)

// newTree returns a tree built from lines of the form "path = value", with defaults.
func newTree(t *testing.T, lines string) *schema.Node {
	m, err := schema.Load(yang.Files)
	require.NoError(t, err)
	n := m.NewTree()
	for line := range strings.Lines(lines) {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), " = "); ok {
			require.NoError(t, n.Put(schema.Item{Path: path, Value: value}))
		}
	}
	return schema.WithDefaults(n)
}

// TestPlace checks that configuration can drain a listed exchange but not put it in service, that an exchange known only
// from the configuration is as configured, and that a removed one drains before it is dropped.
func TestPlace(t *testing.T) {
	listed := []brookmux.Switch{{ID: 1, Number: 1, State: brookmux.Ready}, {ID: 2, Number: 2, State: brookmux.Draining},
		{ID: 3, Number: 3, State: brookmux.Ready}}
	p := &Merger{}
	configured := []Exchange{{1, "a:1", 0, brookmux.Draining, 0}, {2, "b:1", 0, brookmux.Ready, 0}, {8, "h:1", 1, brookmux.Ready, 0}}
	p.SetConfigured(time.Hour, configured, true)
	all, cores, origins, next := p.Merge(time.Hour, listed)
	require.Equal(t, []brookmux.SwitchState{brookmux.Draining, brookmux.Draining, brookmux.Ready},
		[]brookmux.SwitchState{all[0].State, all[1].State, all[2].State})
	require.Equal(t, map[int]ExchangeOrigin{1: {Intended, "ready"}, 2: {Learned, "draining"}, 3: {Learned, "ready"}, 8: {Intended, ""}}, origins)
	require.Len(t, cores, 1)
	require.Equal(t, brookmux.Switch{ID: cores[0].ID, Number: 8, Zone: 1, State: brookmux.Ready}, cores[0].Switch)
	require.Zero(t, next)

	p.SetConfigured(2*time.Hour, append(configured[:2:2], Exchange{8, "h:2", 1, brookmux.Ready, 0}), false)
	_, moved, _, next := p.Merge(2*time.Hour, listed)
	require.Len(t, moved, 2, "the old one drains")
	require.Equal(t, brookmux.Draining, moved[0].State)
	require.Equal(t, cores[0].ID, moved[0].ID)
	require.NotEqual(t, moved[0].ID, moved[1].ID, "another address is another core")
	require.Equal(t, 2*time.Hour, moved[1].Since, "a new core is not known to be warm")
	require.Equal(t, 2*time.Hour+DrainAfterRemoval, next)
	p.SetConfigured(2*time.Hour+DrainAfterRemoval/2, configured, false)
	_, moved, _, _ = p.Merge(2*time.Hour+DrainAfterRemoval/2, listed)
	require.Equal(t, []brookmux.SwitchState{brookmux.Ready, brookmux.Draining}, []brookmux.SwitchState{moved[0].State, moved[1].State})
	p.SetConfigured(3*time.Hour, nil, false)
	_, moved, origins, _ = p.Merge(3*time.Hour+DrainAfterRemoval, listed)
	require.Empty(t, moved)
	require.NotContains(t, origins, 8)
	_, moved, _, _ = p.Merge(3*time.Hour+DrainAfterRemoval, append(listed, brookmux.Switch{ID: 8, Number: 8, State: brookmux.Ready}))
	require.Empty(t, moved, "the list takes precedence")
}

// TestGone checks that an exchange that has left the list gets no new calls because of its configuration, until it is
// listed again.
func TestGone(t *testing.T) {
	listed := []brookmux.Switch{{ID: 1, Number: 1, State: brookmux.Ready}, {ID: 2, Number: 2, State: brookmux.Ready}}
	p := &Merger{}
	p.SetConfigured(time.Hour, []Exchange{{2, "b:1", 0, brookmux.Ready, 0}}, true)
	_, cores, _, _ := p.Merge(time.Hour, listed)
	require.Empty(t, cores)
	for range 2 { // the second time after a new commit
		_, cores, origins, _ := p.Merge(time.Hour, listed[:1])
		require.Empty(t, cores, "no new calls to an exchange that has gone from the list")
		require.Equal(t, ExchangeOrigin{Learned, "gone"}, origins[2])
		p.SetConfigured(2*time.Hour, []Exchange{{2, "b:2", 0, brookmux.Ready, 0}}, false)
	}
	all, cores, origins, _ := p.Merge(3*time.Hour, listed)
	require.Len(t, all, 2)
	require.Empty(t, cores)
	require.Equal(t, ExchangeOrigin{Learned, "ready"}, origins[2])
}

// TestDrainingAddress guards against new calls to a node that drains: operators had configured another exchange at its
// address.
func TestDrainingAddress(t *testing.T) {
	p := &Merger{}
	p.SetConfigured(time.Hour, []Exchange{{8, "b:2", 0, brookmux.Ready, 0}, {9, "b:3", 0, brookmux.Ready, 0}}, true)
	p.SetDrainingAddresses(map[string]bool{"b:2": true})
	_, cores, _, _ := p.Merge(time.Hour, []brookmux.Switch{{ID: 2, Number: 2, State: brookmux.Draining}})
	require.Len(t, cores, 2)
	require.Equal(t, []brookmux.SwitchState{brookmux.Draining, brookmux.Ready}, []brookmux.SwitchState{cores[0].State, cores[1].State})
	p.SetDrainingAddresses(nil)
	_, cores, _, _ = p.Merge(time.Hour, nil)
	require.Equal(t, brookmux.Ready, cores[0].State)
}

// TestRemovedBeforeStart checks that an exchange that was removed before the start drains until its time is over, gets no
// new calls, and is not added if its address is configured.
func TestRemovedBeforeStart(t *testing.T) {
	p := &Merger{}
	p.SetConfigured(time.Second, []Exchange{{2, "b:1", 0, brookmux.Ready, 0}}, true)
	p.AddRemoved(time.Second, []RemovedExchange{
		{Exchange{7, "g:1", 0, brookmux.Ready, 0}, 10 * time.Second},
		{Exchange{7, "g:1", 0, brookmux.Ready, 0}, time.Minute},
		{Exchange{8, "h:1", 0, brookmux.Ready, 0}, DrainAfterRemoval},
		{Exchange{9, "b:1", 0, brookmux.Ready, 0}, 0},
		{Exchange{2, "b:0", 0, brookmux.Ready, 0}, -time.Hour}, // the clock was set back
	})
	_, cores, origins, next := p.Merge(time.Second, nil)
	require.Len(t, cores, 3)
	require.Equal(t, []int{2, 7, 2}, []int{cores[0].Number, cores[1].Number, cores[2].Number})
	require.Equal(t, brookmux.Draining, cores[1].State)
	require.Equal(t, "b:0", cores[2].Address)
	require.Equal(t, brookmux.Draining, cores[2].State)
	require.NotContains(t, origins, 7)
	require.Equal(t, DrainAfterRemoval-9*time.Second, next)
	_, cores, _, _ = p.Merge(next, nil)
	require.Len(t, cores, 2)
	_, cores, _, _ = p.Merge(time.Second+DrainAfterRemoval, nil)
	require.Len(t, cores, 1)
}

// TestSettings checks that configured values replace the platform's settings, and that values that only the platform
// determines are rejected.
func TestSettings(t *testing.T) {
	base := settings.Settings{ClassNames: []string{"page", "update"}, Widths: []float64{2, 1}, MaxOpenCalls: 100, Zones: []string{"east"}}
	base.Module.Classes = []brookmux.Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}, {Aim: 1}}
	base.Module.RetryAfter, base.Module.MaxRetryAfter = true, time.Second
	const page = "/classes/class[name='page']/"
	const set = page + "aim = 1500\n" + page + "deadline = 4000\n" + page + "worth = 2\n" + page + "late-worth = 0.5\n" + page + "width = 2\n"
	got, err := ApplySettings(base, newTree(t, set+"/limits/max-wait = 0\n/limits/max-open-calls = 7\n/limits/max-callers = 5"))
	require.NoError(t, err)
	require.Equal(t, brookmux.Class{Aim: 1500 * time.Millisecond, Deadline: 4 * time.Second, Worth: 2, LateWorth: 0.25}, got.Module.Classes[0])
	require.Equal(t, base.Module.Classes[1], got.Module.Classes[1])
	require.Equal(t, time.Second, base.Module.Classes[0].Aim, "the platform's settings are not modified")
	require.Equal(t, 7, got.MaxOpenCalls)
	require.Zero(t, got.Module.MaxRetryAfter)
	require.Equal(t, 5, MaxCallers(newTree(t, "/limits/max-callers = 5"), 80))
	require.Equal(t, 4, MaxCallers(newTree(t, "/limits/max-callers = 5"), 4))
	_, err = ApplySettings(base, newTree(t, strings.ReplaceAll(set, "page", "other")))
	require.ErrorContains(t, err, "/classes/class[name='other']: the platform has no class")
	_, err = ApplySettings(base, newTree(t, strings.ReplaceAll(set, "width = 2", "width = 3")))
	require.ErrorContains(t, err, "take 2 circuits")
	const x = "/exchanges/exchange[number='4']/"
	_, err = Exchanges(newTree(t, x+"zone = west\n"+x+"address = 10.0.0.4:1"), base.Zones)
	require.ErrorContains(t, err, `zone "west" is none of the platform's`)
	list, err := Exchanges(newTree(t, x+"zone = east\n"+x+"address = 10.0.0.4:1\n"+x+"admin-state = out-of-service\n"+x+"planned-load = 12.5"), base.Zones)
	require.NoError(t, err)
	require.Equal(t, []Exchange{{4, "10.0.0.4:1", 0, brookmux.Draining, 12.5}}, list)
	require.Equal(t, []Group{{4, 9}, {7, 3}}, Groups(newTree(t, "/circuit-groups/group[a='2'][b='4']/size = 9\n"+
		"/circuit-groups/group[a='2'][b='7']/size = 3\n/circuit-groups/group[a='4'][b='7']/size = 1"), 2))
}
