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

// tree makes one of lines "path = value", with its defaults.
func tree(t *testing.T, lines string) *schema.Node {
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

// TestPlace: operators take work away from what is listed and never give it any; what only they have set is as they
// set it, and what they take out drains before it is gone.
func TestPlace(t *testing.T) {
	list := []brookmux.Switch{{ID: 1, Number: 1, State: brookmux.Ready}, {ID: 2, Number: 2, State: brookmux.Draining},
		{ID: 3, Number: 3, State: brookmux.Ready}}
	p := &Placer{}
	want := []Exchange{{1, "a:1", 0, brookmux.Draining, 0}, {2, "b:1", 0, brookmux.Ready, 0}, {8, "h:1", 1, brookmux.Ready, 0}}
	p.Want(time.Hour, want, true)
	all, own, words, again := p.Place(time.Hour, list)
	require.Equal(t, []brookmux.SwitchState{brookmux.Draining, brookmux.Draining, brookmux.Ready},
		[]brookmux.SwitchState{all[0].State, all[1].State, all[2].State})
	require.Equal(t, map[int]Word{1: {Intended, "ready"}, 2: {Learned, "draining"}, 3: {Learned, "ready"}, 8: {Intended, ""}}, words)
	require.Len(t, own, 1)
	require.Equal(t, brookmux.Switch{ID: own[0].ID, Number: 8, Zone: 1, State: brookmux.Ready}, own[0].Switch)
	require.Zero(t, again)

	p.Want(2*time.Hour, append(want[:2:2], Exchange{8, "h:2", 1, brookmux.Ready, 0}), false)
	_, moved, _, again := p.Place(2*time.Hour, list)
	require.Len(t, moved, 2, "the old one lingers")
	require.Equal(t, brookmux.Draining, moved[0].State)
	require.Equal(t, own[0].ID, moved[0].ID)
	require.NotEqual(t, moved[0].ID, moved[1].ID, "another address is another core")
	require.Equal(t, 2*time.Hour, moved[1].Since, "none is known to be warm")
	require.Equal(t, 2*time.Hour+Linger, again)
	p.Want(2*time.Hour+Linger/2, want, false)
	_, moved, _, _ = p.Place(2*time.Hour+Linger/2, list)
	require.Equal(t, []brookmux.SwitchState{brookmux.Ready, brookmux.Draining}, []brookmux.SwitchState{moved[0].State, moved[1].State})
	p.Want(3*time.Hour, nil, false)
	_, moved, words, _ = p.Place(3*time.Hour+Linger, list)
	require.Empty(t, moved)
	require.NotContains(t, words, 8)
	_, moved, _, _ = p.Place(3*time.Hour+Linger, append(list, brookmux.Switch{ID: 8, Number: 8, State: brookmux.Ready}))
	require.Empty(t, moved, "the list knows better")
}

// TestGone: an exchange that the list has dropped gets nothing by what operators have set of it, until it is listed
// again.
func TestGone(t *testing.T) {
	list := []brookmux.Switch{{ID: 1, Number: 1, State: brookmux.Ready}, {ID: 2, Number: 2, State: brookmux.Ready}}
	p := &Placer{}
	p.Want(time.Hour, []Exchange{{2, "b:1", 0, brookmux.Ready, 0}}, true)
	_, own, _, _ := p.Place(time.Hour, list)
	require.Empty(t, own)
	for range 2 { // also at a new commit
		_, own, words, _ := p.Place(time.Hour, list[:1])
		require.Empty(t, own, "nothing new to a node that was told gone")
		require.Equal(t, Word{Learned, "gone"}, words[2])
		p.Want(2*time.Hour, []Exchange{{2, "b:2", 0, brookmux.Ready, 0}}, false)
	}
	all, own, words, _ := p.Place(3*time.Hour, list)
	require.Len(t, all, 2)
	require.Empty(t, own)
	require.Equal(t, Word{Learned, "ready"}, words[2])
}

// TestSettings: what is set goes over the platform's settings, and what the platform alone can say is refused.
func TestSettings(t *testing.T) {
	base := settings.Settings{ClassNames: []string{"page", "update"}, Widths: []float64{2, 1}, MostHeld: 100, Zones: []string{"east"}}
	base.Module.Classes = []brookmux.Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}, {Aim: 1}}
	base.Module.RetryAfter, base.Module.MaxRetryAfter = true, time.Second
	const page = "/classes/class[name='page']/"
	const set = page + "aim = 1500\n" + page + "deadline = 4000\n" + page + "worth = 2\n" + page + "late-worth = 0.5\n" + page + "width = 2\n"
	got, err := Settings(base, tree(t, set+"/limits/max-wait = 0\n/limits/max-open-calls = 7\n/limits/max-callers = 5"))
	require.NoError(t, err)
	require.Equal(t, brookmux.Class{Aim: 1500 * time.Millisecond, Deadline: 4 * time.Second, Worth: 2, LateWorth: 0.25}, got.Module.Classes[0])
	require.Equal(t, base.Module.Classes[1], got.Module.Classes[1])
	require.Equal(t, time.Second, base.Module.Classes[0].Aim, "the platform's stay as they are")
	require.Equal(t, 7, got.MostHeld)
	require.Zero(t, got.Module.MaxRetryAfter)
	require.Equal(t, 5, Callers(tree(t, "/limits/max-callers = 5"), 80))
	require.Equal(t, 4, Callers(tree(t, "/limits/max-callers = 5"), 4))
	_, err = Settings(base, tree(t, strings.ReplaceAll(set, "page", "other")))
	require.ErrorContains(t, err, "/classes/class[name='other']: the platform has no class")
	_, err = Settings(base, tree(t, strings.ReplaceAll(set, "width = 2", "width = 3")))
	require.ErrorContains(t, err, "take 2 circuits")
	const x = "/exchanges/exchange[number='4']/"
	_, err = Exchanges(tree(t, x+"zone = west\n"+x+"address = 10.0.0.4:1"), base.Zones)
	require.ErrorContains(t, err, `zone "west" is none of the platform's`)
	list, err := Exchanges(tree(t, x+"zone = east\n"+x+"address = 10.0.0.4:1\n"+x+"admin-state = out-of-service\n"+x+"planned-load = 12.5"), base.Zones)
	require.NoError(t, err)
	require.Equal(t, []Exchange{{4, "10.0.0.4:1", 0, brookmux.Draining, 12.5}}, list)
	require.Equal(t, []Group{{4, 9}, {7, 3}}, Groups(tree(t, "/circuit-groups/group[a='2'][b='4']/size = 9\n"+
		"/circuit-groups/group[a='2'][b='7']/size = 3\n/circuit-groups/group[a='4'][b='7']/size = 1"), 2))
}
