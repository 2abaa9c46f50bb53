package datastore

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux/internal/schema"
)

// withRules returns a tree with access rules in the given order.
func (b *fixture) withRules(names ...string) *schema.Node {
	tree := b.Model.NewTree()
	for _, name := range names {
		path := "/nacm/rule-list[name='desk']/rule[name='" + name + "']/action"
		require.NoError(b.t, tree.Put(schema.Item{Path: path, Value: "permit"}))
	}
	return tree
}

// commitRules commits the access rules in the given order, without any other content.
func (b *fixture) commitRules(id SessionID, c Commit, names ...string) *Txn {
	require.NoError(b.t, b.Replace(id, b.withRules(names...)))
	t, err := b.Commit(id, c, b.now)
	require.NoError(b.t, b.finish(t, err))
	return t
}

// rules returns the names of the access rules of a tree in their order.
func (b *fixture) rules(tree *schema.Node) (names []string) {
	list, err := tree.Find("/nacm/rule-list[name='desk']")
	require.NoError(b.t, err)
	for _, x := range list.Children() {
		if x.Def.Name == "rule" {
			names = append(names, x.Keys()[0])
		}
	}
	return names
}

// TestRuleOrderReverted guards against access rules in another order after a change that removed or moved one was undone:
// a rule that denies came behind one that permits.
func TestRuleOrderReverted(t *testing.T) {
	trial := Commit{Confirmed: true, Persist: "p", Timeout: time.Minute}
	for name, undo := range map[string]func(b *fixture, id SessionID, t *Txn){
		"restart": func(b *fixture, _ SessionID, _ *Txn) {
			records := b.records
			*b = *newFixture(t)
			revert, err := b.Restore(records, b.now)
			require.NoError(t, b.finish(revert, err))
		},
		"cancel": func(b *fixture, id SessionID, _ *Txn) {
			revert, err := b.Cancel(id, "p", b.now)
			require.NoError(t, b.finish(revert, err))
		},
		"timeout": func(b *fixture, _ SessionID, _ *Txn) {
			require.NoError(t, b.finish(b.RevertExpired(b.now.Add(time.Minute)), nil))
		},
		"part fails": func(b *fixture, _ SessionID, failed *Txn) {
			require.NoError(t, b.finish(b.RevertFailed(failed, b.now, "refused"), nil))
		},
		"rollback": func(b *fixture, id SessionID, failed *Txn) {
			require.NoError(t, b.finish(b.Commit(id, Commit{PersistID: "p"}, b.now)))
			revert, err := b.Rollback(id, failed.Revision-1, b.now, "")
			require.NoError(t, b.finish(revert, err))
		},
	} {
		for _, onTrial := range [][]string{{"b", "c"}, {"b", "c", "a"}, {"x", "c"}} {
			b := newFixture(t)
			id := b.openSession()
			b.commitRules(id, Commit{}, "a", "b", "c")
			undo(b, id, b.commitRules(id, trial, onTrial...))
			require.Equal(t, []string{"a", "b", "c"}, b.rules(b.running), "%s of %v", name, onTrial)
		}
	}

	b := newFixture(t)
	id := b.openSession()
	b.commitRules(id, Commit{}, "a", "b", "c")
	trial.Persist = ""
	b.commitRules(id, trial, "b", "c")
	require.NoError(t, b.finish(b.CloseSession(id, b.now), nil))
	require.Equal(t, []string{"a", "b", "c"}, b.rules(b.running), "end of the session")
}

// TestRuleOrderTrimmed guards against access rules in another order in the base record that replaces old records in the
// journal: a later restart or rollback had that order.
func TestRuleOrderTrimmed(t *testing.T) {
	b := newFixture(t)
	id := b.openSession()
	b.commitRules(id, Commit{}, "a", "b", "c")
	require.NoError(t, b.finish(b.Copy(id, Startup, b.withRules("a", "b", "c"), b.now)))
	for n := len(b.history); n < 2*b.Keep-2; n++ {
		require.NoError(t, b.finish(b.Change(id, b.editAt(Merge, "/limits/max-wait", strconv.Itoa(n)), Commit{}, b.now)))
	}
	require.NoError(t, b.finish(b.Copy(id, Startup, b.withRules("c", "b"), b.now)))
	b.commitRules(id, Commit{}, "b", "c")
	require.Equal(t, KindBase, b.records[0].Kind)

	restored := newFixture(t)
	_, err := restored.Restore(b.records, b.now)
	require.NoError(t, err)
	require.Equal(t, []string{"b", "c"}, restored.rules(restored.running))
	require.Equal(t, []string{"c", "b"}, restored.rules(restored.startup))
	require.Equal(t, []string{"a", "b", "c"}, restored.rules(restored.oldest.startup))
	for _, x := range []*fixture{b, restored} {
		tree, err := x.Revision(x.minRevision)
		require.NoError(t, err)
		require.Equal(t, []string{"a", "b", "c"}, x.rules(tree))
	}
}

// TestSupersededSince checks that former configurations are listed with the time at which they were replaced, also the
// one that the revert at the start replaces.
func TestSupersededSince(t *testing.T) {
	b := newFixture(t)
	id := b.openSession()
	b.commitRules(id, Commit{}, "a")
	b.now = b.now.Add(time.Hour)
	b.commitRules(id, Commit{}, "b")
	b.commitRules(id, Commit{Confirmed: true, Persist: "p"}, "c")
	records, at := b.records, b.now.Add(time.Minute)
	b = newFixture(t)
	b.now = at
	revert, err := b.Restore(records, b.now)
	require.NoError(t, b.finish(revert, err))
	got, err := b.SupersededSince(at.Add(-2 * time.Minute))
	require.NoError(t, err)
	require.Len(t, got, 3)
	for i, want := range []string{"c", "b", "a"} {
		require.Equal(t, []string{want}, b.rules(got[i].Running))
	}
	require.Equal(t, at, got[0].At)
	require.Equal(t, at.Add(-time.Minute), got[1].At)
}
