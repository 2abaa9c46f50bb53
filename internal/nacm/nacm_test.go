package nacm

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"brookmux/internal/schema"
	"brookmux/yang"
)

const rules = `
	/nacm/groups/group[name='desk']/user-name[.='ann']
	/nacm/groups/group[name='admin']/user-name[.='bob']
	/nacm/rule-list[name='z']/group[.='admin']
	/nacm/rule-list[name='z']/rule[name='all']/action = permit
	/nacm/rule-list[name='desk']/group[.='desk']
	/nacm/rule-list[name='desk']/rule[name='one']/path = /exchanges/exchange[number='1']
	/nacm/rule-list[name='desk']/rule[name='one']/access-operations = update read
	/nacm/rule-list[name='desk']/rule[name='one']/action = permit
	/nacm/rule-list[name='desk']/rule[name='lim']/module-name = brookmux-limits
	/nacm/rule-list[name='desk']/rule[name='lim']/action = deny
	/nacm/rule-list[name='desk']/rule[name='com']/rpc-name = commit
	/nacm/rule-list[name='desk']/rule[name='com']/action = deny
	/nacm/rule-list[name='desk']/rule[name='kill']/rpc-name = kill-session
	/nacm/rule-list[name='desk']/rule[name='kill']/action = permit
	/nacm/rule-list[name='rest']/group[.='*']
	/nacm/rule-list[name='rest']/rule[name='zone']/path = /bmx-ex:exchanges/exchange/zone
	/nacm/rule-list[name='rest']/rule[name='zone']/access-operations = read
	/nacm/rule-list[name='rest']/rule[name='zone']/action = deny
	/nacm/rule-list[name='rest']/rule[name='note']/notification-name = netconf-config-change
	/nacm/rule-list[name='rest']/rule[name='note']/action = deny
	/limits/max-wait = 5
	/exchanges/exchange[number='1']/zone = a
	/exchanges/exchange[number='2']/zone = b
`

// buildTree builds a tree from lines of the form "path" or "path = value".
func buildTree(t *testing.T, lines string) *schema.Node {
	m, err := schema.Load(yang.Files)
	require.NoError(t, err)
	n := m.NewTree()
	for line := range strings.Lines(lines) {
		if path, v, _ := strings.Cut(strings.TrimSpace(line), " = "); path != "" {
			require.NoError(t, n.Put(schema.Item{Path: path, Value: v}))
		}
	}
	return n
}

// TestNodes checks that the first matching rule applies, then the defaults, and that access to the rules themselves is
// denied by default.
func TestNodes(t *testing.T) {
	n := buildTree(t, rules)
	r := NewRules(n)
	for _, c := range []struct {
		user, path string
		op         Op
		want       bool
	}{
		{"bob", "/nacm/groups/group[name='desk']", Delete, true}, {"bob", "/limits/max-wait", Update, true},
		{"ann", "/exchanges/exchange[number='1']/zone", Update, true}, {"ann", "/exchanges/exchange[number='1']/zone", Read, true},
		{"ann", "/exchanges/exchange[number='1']/zone", Delete, false}, {"ann", "/exchanges/exchange[number='2']/zone", Update, false},
		{"ann", "/exchanges/exchange[number='2']/zone", Read, false}, {"ann", "/exchanges/exchange[number='2']", Read, true},
		{"ann", "/limits/max-wait", Read, false}, {"eve", "/limits/max-wait", Read, true}, {"eve", "/limits/max-wait", Update, false},
		{"eve", "/nacm/groups/group[name='desk']", Read, false}, {"ann", "/nacm", Read, false},
	} {
		x, err := n.Find(c.path)
		require.NoError(t, err)
		require.Equal(t, c.want, r.MayAccess(c.user, x, c.op), c)
	}
	require.True(t, r.MayCall("eve", "ietf-netconf", "commit"))
	require.False(t, r.MayCall("ann", "ietf-netconf", "commit"))
	require.True(t, r.MayCall("ann", "ietf-netconf", "close-session"))
	require.True(t, r.MayCall("ann", "ietf-netconf", "kill-session"))
	require.False(t, r.MayCall("eve", "ietf-netconf", "kill-session"))
	require.False(t, r.MayReceive("eve", "ietf-netconf-notifications", "netconf-config-change"))
	require.True(t, r.MayReceive("bob", "ietf-netconf-notifications", "netconf-config-change"))

	next := n.Clone()
	require.NoError(t, next.Put(schema.Item{Path: "/exchanges/exchange[number='1']/zone", Value: "c"}))
	require.NoError(t, next.Put(schema.Item{Path: "/exchanges/exchange[number='2']/zone", Value: "c"}))
	faults := r.DeniedChanges("ann", n, next, schema.Diff(n, next))
	require.Len(t, faults, 1)
	require.Equal(t, "/exchanges/exchange[number='2']/zone", faults[0].Path)
	r.RemoveUnreadable("ann", next)
	require.Nil(t, next.Get("limits"))
	require.Nil(t, next.Get("nacm"))
	require.Equal(t, []schema.Item{{Path: "/exchanges/exchange[number='1']/number", Value: "1"}, {Path: "/exchanges/exchange[number='1']/zone", Value: "c"},
		{Path: "/exchanges/exchange[number='2']/number", Value: "2"}}, next.Items())
}

// TestOff checks that all access is permitted without a nacm container or with enable-nacm false, and that the defaults
// apply without any rule.
func TestOff(t *testing.T) {
	for lines, want := range map[string]bool{"": true, "/nacm/enable-nacm = false": true, "/nacm/enable-nacm = true": false,
		"/nacm/write-default = permit": true} {
		n := buildTree(t, lines+"\n/limits/max-wait = 5")
		require.Equal(t, want, NewRules(n).MayAccess("eve", n.Get("limits"), Update), lines)
	}
}

// TestCheck checks that rules with a path to no node are rejected, and that Diff and Patch keep the order of rules.
func TestCheck(t *testing.T) {
	n := buildTree(t, rules)
	require.Empty(t, Check(nil, n))
	bad := n.Clone()
	require.NoError(t, bad.Put(schema.Item{Path: "/nacm/rule-list[name='rest']/rule[name='zone']/path", Value: "/exchanges/none"}))
	require.ErrorContains(t, Check(nil, bad)[0], "names no node")

	first := buildTree(t, "/nacm/rule-list[name='a']/rule[name='x']/action = permit\n/nacm/rule-list[name='a']/rule[name='y']/action = deny")
	second := buildTree(t, "/nacm/rule-list[name='a']/rule[name='y']/action = deny\n/nacm/rule-list[name='a']/rule[name='x']/action = permit")
	changes := schema.Diff(first, second)
	require.NotEmpty(t, changes)
	before := first.Items()
	require.NoError(t, first.Patch(changes))
	require.Equal(t, second.Items(), first.Items())
	require.NoError(t, second.Patch(schema.Diff(second, buildTree(t, "/nacm/rule-list[name='a']/rule[name='x']/action = permit\n/nacm/rule-list[name='a']/rule[name='y']/action = deny"))))
	require.Equal(t, before, second.Items())
}
