package transact

import (
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/stretchr/testify/require"

	"brookmux/internal/datastore"
	"brookmux/internal/schema"
)

// TestFormerJournal checks that a journal which the program wrote before revisions were replayed is read, and that the
// trial pending there, which removed the first of three access rules, is reverted to their order.
func TestFormerJournal(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS("testdata/former-journal")))
	o, err := openOwner(vfs.Default, dir, loadModel(t), time.Now)
	require.NoError(t, err)
	defer func() { require.NoError(t, o.Close()) }()
	o.View(func(s *datastore.Store) {
		tree, err := s.Get(datastore.Running)
		require.NoError(t, err)
		list, err := tree.Find("/nacm/rule-list[name='desk']")
		require.NoError(t, err)
		var names []string
		for _, x := range list.Children() {
			if x.Def.Name == "rule" {
				names = append(names, x.Keys()[0])
			}
		}
		require.Equal(t, []string{"a", "b", "c"}, names)
		limits, err := tree.Find("/limits")
		require.NoError(t, err)
		wait, _ := limits.Leaf("max-wait")
		require.Equal(t, "20", wait)
		require.Equal(t, uint64(23), s.LastRevision())
	})
	_, err = commitItems(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: "1"})
	require.NoError(t, err)
}
