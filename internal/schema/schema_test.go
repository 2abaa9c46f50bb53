package schema

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"brookmux/yang"
)

// loadModel loads the program's models.
func loadModel(t require.TestingT) *Model {
	m, err := Load(yang.Files)
	require.NoError(t, err)
	return m
}

// buildTree builds a tree from lines of the form "path" or "path = value".
func buildTree(t require.TestingT, m *Model, lines string) *Node {
	tree := m.NewTree()
	for line := range strings.Lines(lines) {
		if path, value, _ := strings.Cut(strings.TrimSpace(line), " = "); path != "" {
			require.NoError(t, tree.Put(Item{path, value}), line)
		}
	}
	return tree
}

const baseConfig = `
	/exchanges/exchange[number='1']/address = 10.0.0.1:5060
	/exchanges/exchange[number='1']/zone = east
	/exchanges/exchange[number='9']/address = 10.0.0.9:5060
	/exchanges/exchange[number='9']/zone = east
	/exchanges/exchange[number='10']/address = 10.0.0.10:5060
	/exchanges/exchange[number='10']/zone = west
	/circuit-groups/group[a='9'][b='10']/size = 40
	/classes/class[name='page']/aim = 1500
	/classes/class[name='page']/deadline = 9000
	/classes/class[name='page']/worth = 1
`

// TestValidate checks that each kind of constraint in the models is enforced, that each fault has the right tag, path
// and message, and that the number of faults is limited.
func TestValidate(t *testing.T) {
	m := loadModel(t)
	require.Empty(t, m.Validate(m.NewTree()))
	require.Empty(t, m.Validate(buildTree(t, m, baseConfig)))
	for _, c := range []struct{ lines, path, tag, app, words string }{
		{"/exchanges/exchange[number='2']/zone = east", "/exchanges/exchange[number='2']/address", "data-missing", "", "mandatory"},
		{"/exchanges/exchange[number='1']/address = 10.0.0.9:5060", "/exchanges/exchange[number='9']", "operation-failed",
			"data-not-unique", "address is that of /exchanges/exchange[number='1'] too"},
		{"/circuit-groups/group[a='1'][b='3']/size = 4", "/circuit-groups/group[a='1'][b='3']/b", "data-missing",
			"instance-required", `/exchanges/exchange/number of the value "3"`},
		{"/circuit-groups/group[a='10'][b='9']/size = 4", "/circuit-groups/group[a='10'][b='9']", "operation-failed",
			"ends-in-order", "the lower number first"},
		{"/circuit-groups/group[a='9'][b='10']/reserve = 40", "/circuit-groups/group[a='9'][b='10']", "operation-failed",
			"reserve-too-large", "leave circuits"},
		{"/classes/class[name='page']/deadline = 1400", "/classes/class[name='page']", "operation-failed",
			"deadline-before-aim", "deadline"},
		{"/classes/class[name='page']/late-worth = 1.5", "/classes/class[name='page']", "operation-failed",
			"late-worth-too-high", "in time"},
		{"/limits/max-open-calls = 10\n/limits/max-callers = 11", "/limits", "operation-failed", "callers-without-calls", ""},
		{"/storm", "/storm/part", "operation-failed", "too-few-elements", "at least 1"},
		{"/storm/part[.='window']\n/storm/pace/burst = 0\n/storm/pace/per-second = 5", "/storm", "operation-failed",
			"pace-without-burst", "burst"},
		{"/m3ua/peer[asp='1']/point-code = 7", "/m3ua", "operation-failed", "no-own-point-code", "own point code"},
		{"/m3ua/point-code = 7\n/m3ua/peer[asp='1']/point-code = 7", "/m3ua", "operation-failed", "own-point-code", ""},
		{"/m3ua/category[category='10']/class = none", "/m3ua/category[category='10']/class", "data-missing",
			"instance-required", `"none"`},
		{"/exchanges/exchange[number='1']/admin-state = draining\n/exchanges/exchange[number='9']/admin-state = draining\n" +
			"/exchanges/exchange[number='10']/admin-state = out-of-service", "/exchanges", "operation-failed", "no-exchange",
			"in service"},
	} {
		faults := m.Validate(buildTree(t, m, baseConfig+c.lines))
		require.Len(t, faults, 1, c.lines)
		require.Equal(t, []string{c.path, c.tag, c.app}, []string{faults[0].Path, string(faults[0].Tag), faults[0].AppTag}, c.lines)
		require.Contains(t, faults[0].Message, c.words)
	}
	many := m.NewTree()
	for i := range 300 {
		require.NoError(t, many.Put(Item{fmt.Sprintf("/exchanges/exchange[number='%d']/zone", i), "x"}))
	}
	require.Len(t, m.Validate(many), maxFaults)
}

// TestValues checks that values are validated against their types and stored in canonical form.
func TestValues(t *testing.T) {
	tree := loadModel(t).NewTree()
	put := func(path, value string) (string, error) {
		if err := tree.Put(Item{path, value}); err != nil {
			return "", err
		}
		n, err := tree.Find(path)
		require.NoError(t, err)
		return n.Value, nil
	}
	const x = "/exchanges/exchange[number='1']/"
	for _, c := range [][3]string{
		{x + "planned-load", "07.50", "7.5"}, {x + "planned-load", "12", "12.0"}, {x + "planned-load", "0.001", "!"},
		{x + "planned-load", "0", "!outside"}, {x + "point-code", "+16", "16"}, {x + "point-code", "16384", "!outside"},
		{x + "admin-state", "closed", "!one of"}, {x + "zone", "", "!outside"}, {x + "zone", "a b", "!match"},
		{x + "address", "host.example:5060", "!match"}, {x + "address", "[::1]:5060", "[::1]:5060"},
		{x + "zone", "a\x00b", "!characters"}, {x + "number", "2", "!a key can't be changed"},
		{"/storm/told/level", "yes", "!true or false"}, {"/storm/part[.='none']", "", "!one of"},
		{"/exchanges/exchange[number='1000']/zone", "x", "!outside"}, {"/exchanges/exchange/zone", "x", "!needs the keys"},
		{"/exchanges/zone", "x", "!no node zone"}, {x + "zone/deep", "x", "!is a leaf"},
		{"exchanges", "", "!a / is needed"}, {"/exchanges/exchange[number='1", "", "!does not end"},
		{"/exchanges/exchange[number='1'][number='2']", "", "!twice"}} {
		got, err := put(c[0], c[1])
		if want, bad := strings.CutPrefix(c[2], "!"); bad {
			require.ErrorContains(t, err, want, c)
		} else {
			require.NoError(t, err)
			require.Equal(t, c[2], got)
		}
	}
}

// TestRefused checks that Load rejects statements that can't be enforced, with the path of the node.
func TestRefused(t *testing.T) {
	for body, words := range map[string]string{
		`choice c { mandatory true; leaf a { type string; } }`:                               "/c: nested choices, mandatory choices",
		`leaf-list l { type string; ordered-by user; }`:                                      "/l: ordered-by user is not supported",
		`leaf l { type string { pattern '\i+'; } }`:                                          "/l: pattern",
		`leaf l { type string; must "a["; }`:                                                 `/l: "a["`,
		`leaf l { type leafref { path "/none"; } }`:                                          "none",
		`list l { key k; unique "x/y"; leaf k { type string; } }`:                            "/l: unique path is not a leaf",
		`list l { key k; leaf k { type string; } leaf r { type leafref { path "../k"; } } }`: "/l/r: leafref to a target in the same list",
		`leaf l { type instance-identifier; }`:                                               "/l: type",
	} {
		text := "module m { yang-version 1.1; namespace 'urn:m'; prefix m; " + body + " }"
		_, err := Load(fstest.MapFS{"m.yang": {Data: []byte(text)}})
		require.ErrorContains(t, err, words, body)
	}
}

// treeGenerator generates trees of the program's models.
func treeGenerator(m *Model) *rapid.Generator[*Node] {
	return rapid.Custom(func(t *rapid.T) *Node {
		tree := m.NewTree()
		for range rapid.IntRange(0, 12).Draw(t, "n") {
			number := rapid.IntRange(0, 20).Draw(t, "number")
			require.NoError(t, tree.Put(rapid.SampledFrom([]Item{
				{fmt.Sprintf("/exchanges/exchange[number='%d']/zone", number), rapid.StringMatching(`[a-z]{1,3}`).Draw(t, "zone")},
				{fmt.Sprintf("/circuit-groups/group[a='%d'][b='%d']/size", number, number+1), fmt.Sprint(number + 1)},
				{fmt.Sprintf("/nacm/rule-list[name='l']/rule[name='%d']/action", number), "permit"},
				{"/storm/part[.='budget']", "budget"}, {"/storm/pace", ""}, {"/limits/max-wait", fmt.Sprint(number)}}).Draw(t, "item")))
		}
		return tree
	})
}

// TestPatch checks that applying the Diff of any two trees to the first yields the second, and that a tree can be
// rebuilt from its items.
func TestPatch(t *testing.T) {
	m := loadModel(t)
	rapid.Check(t, func(t *rapid.T) {
		a, b := treeGenerator(m).Draw(t, "a"), treeGenerator(m).Draw(t, "b")
		c := a.Clone()
		require.NoError(t, c.Patch(Diff(a, b)))
		require.Equal(t, b.Items(), c.Items())
		require.Empty(t, Diff(b, c))
		again := m.NewTree()
		for _, i := range b.Items() {
			require.NoError(t, again.Put(i))
		}
		require.Equal(t, b.Items(), again.Items())
	})
}

// TestSelect checks that Select returns nodes in document order, and an error for an expression that is invalid or does
// not yield a node-set.
func TestSelect(t *testing.T) {
	m := loadModel(t)
	found, err := Select(buildTree(t, m, baseConfig), "/bmx-ex:exchanges/exchange[zone = 'east' or number = 10]/number")
	require.NoError(t, err)
	var values []string
	for _, n := range found {
		values = append(values, n.Value)
	}
	require.Equal(t, []string{"1", "9", "10"}, values)
	for _, bad := range []string{"1 + 1", "///", "a[", "count(/exchanges)"} {
		_, err := Select(m.NewTree(), bad)
		require.Error(t, err, bad)
	}
}

// FuzzPath checks that Put does not panic on any path, and that Find accepts each path that Put accepts.
func FuzzPath(f *testing.F) {
	for _, s := range []string{"/exchanges/exchange[number='1']/zone", "/storm/part[.='window']", "/a[b=", "/x:storm", "//"} {
		f.Add(s, "v")
	}
	m := loadModel(f)
	f.Fuzz(func(t *testing.T, path, value string) {
		tree := m.NewTree()
		if tree.Put(Item{path, value}) == nil && tree.Len() > 0 {
			_, err := tree.Find(path)
			require.NoError(t, err)
		}
	})
}
