package mgmt

import (
	"errors"
	"slices"
	"testing"

	"github.com/openconfig/goyang/pkg/yang"
	"github.com/stretchr/testify/require"

	model "brookmux/yang"
)

// TestModel checks that goyang accepts the model, that each node has a description, that only the configuration is
// writable, that defaults are valid, and that the organization and revision that Capabilities returns match the model.
func TestModel(t *testing.T) {
	set := yang.NewModules()
	require.NoError(t, set.Parse(model.Model, "brookmux.yang"))
	require.NoError(t, errors.Join(set.Process()...))
	m := set.Modules[model.Module]
	require.NotNil(t, m)
	require.Equal(t, model.Organization, m.Organization.Name)
	require.Equal(t, model.Revision, m.Current())
	s, err := NewSchema()
	require.NoError(t, err)
	for _, x := range subtree(s.root)[1:] {
		require.NotEmpty(t, x.Description, x.Path())
		require.Equal(t, x.Path() != "" && slices.Contains([]string{"/brookmux/border-control"}, x.Path()) ||
			x.Parent.Name == "config" || x.Name == "config", !x.ReadOnly(), x.Path())
	}
	for text, value := range s.defaults() {
		x, err := s.entry(parsePath(text))
		require.NoError(t, err)
		require.NoError(t, (&Schema{}).checkValue(x, value))
	}
}

// TestPaths checks that parsePath reverses path.String, also for key values with special characters.
func TestPaths(t *testing.T) {
	for _, p := range []path{
		{{name: "a"}},
		{{name: "a"}, {name: "b", keys: map[string]string{"k": "v/[]=\\ "}}, {name: "c"}},
		{{name: "a", keys: map[string]string{"k": "1", "l": ""}}},
	} {
		require.Equal(t, p, parsePath(p.String()), p.String())
		require.True(t, path{{name: "..."}, {name: p[len(p)-1].name}}.covers(p))
		require.False(t, path{{name: "other"}}.covers(p))
	}
}
