package datastore

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"brookmux/internal/schema"
	"brookmux/yang"
)

var startTime = time.Unix(1_800_000_000, 0).UTC()

// fixture is a Store with an owner that keeps the records in memory.
type fixture struct {
	*Store
	t       require.TestingT
	now     time.Time
	records []Record
}

func newFixture(t require.TestingT, guards ...Guard) *fixture {
	m, err := schema.Load(yang.Files)
	require.NoError(t, err)
	s, err := New(Config{Model: m, Keep: 4, MaxSessions: 4, Guards: guards})
	require.NoError(t, err)
	return &fixture{Store: s, t: t, now: startTime}
}

func (b *fixture) openSession() SessionID {
	x, err := b.OpenSession("op", "test")
	require.NoError(b.t, err)
	return x.ID
}

// finish makes a transaction durable and trims the records, as the owner of a Store does.
func (b *fixture) finish(t *Txn, err error) error {
	if err != nil || t == nil {
		return err
	}
	if err := b.CheckReady(t); err != nil {
		return err
	}
	text, err := json.Marshal(t.Record) // the journal stores records as JSON
	require.NoError(b.t, err)
	var kept Record
	require.NoError(b.t, json.Unmarshal(text, &kept))
	b.records = append(b.records, kept)
	require.NoError(b.t, b.Complete(t))
	if base, ok, err := b.Trim(); ok {
		require.NoError(b.t, b.FinishTrim(base))
		for b.records[0].Revision <= base.Revision {
			b.records = b.records[1:]
		}
		b.records = append([]Record{base}, b.records...)
	} else {
		require.NoError(b.t, err)
	}
	return nil
}

// editAt returns an edit with one operation on the node at a path. The nodes above it have the operation None.
func (b *fixture) editAt(op Operation, path string, values ...string) Edit {
	steps, err := schema.ParsePath(path)
	require.NoError(b.t, err)
	root := &EditNode{Def: b.Model.Root, Op: None}
	at := root
	for i, s := range steps {
		p := &EditNode{Def: at.Def.Child(s.Name), Path: path, Op: None}
		for _, k := range p.Def.Keys {
			p.Keys = append(p.Keys, s.Keys[k])
		}
		if i == len(steps)-1 {
			p.Op = op
			if len(values) > 0 {
				p.Value = values[0]
			}
		}
		at.Children = append(at.Children, p)
		at = p
	}
	return Edit{Root: root, OnError: RollbackOnError}
}

// setMaxWait sets /limits/max-wait in the candidate, the leaf that most tests change.
func (b *fixture) setMaxWait(id SessionID, v string) error {
	return b.Edit(id, b.editAt(Merge, "/limits/max-wait", v))
}

// maxWait returns the value of /limits/max-wait in a datastore, or "" if it is not set.
func (b *fixture) maxWait(t Target) string {
	tree, err := b.Get(t)
	require.NoError(b.t, err)
	if l := tree.Get("limits"); l != nil {
		v, _ := l.Leaf("max-wait")
		return v
	}
	return ""
}

// faultTag returns the tag of the first fault of an error, or "".
func faultTag(err error) schema.Tag {
	if e := (*Error)(nil); errors.As(err, &e) {
		return e.Faults[0].Tag
	}
	return ""
}

// TestLocks checks that one session at a time can lock a datastore, and that the end of a session releases its locks
// and discards the edits made under them.
func TestLocks(t *testing.T) {
	b := newFixture(t)
	one, two := b.openSession(), b.openSession()
	require.NoError(t, b.Lock(one, Candidate))
	err := b.Lock(two, Candidate)
	require.Equal(t, schema.LockDenied, faultTag(err))
	require.Equal(t, one, err.(*Error).Holder)
	require.Equal(t, schema.InUse, faultTag(b.setMaxWait(two, "1")))
	require.Equal(t, schema.OperationFailed, faultTag(b.Unlock(two, Candidate)))
	require.NoError(t, b.setMaxWait(one, "7"))
	require.Equal(t, "7", b.maxWait(Candidate))
	require.Nil(t, b.CloseSession(one, b.now), "the session ends while it holds the lock")
	require.Empty(t, b.maxWait(Candidate), "its edits are discarded (RFC 6241, 8.3.5.2)")
	require.NoError(t, b.setMaxWait(two, "2"))
	three := b.openSession()
	require.Equal(t, schema.LockDenied, faultTag(b.Lock(three, Candidate)), "edits are neither committed nor discarded")
	require.NoError(t, b.Lock(three, Running))
	_, err = b.Commit(two, Commit{}, b.now)
	require.Equal(t, schema.InUse, faultTag(err), "running is locked by another")
	require.NoError(t, b.Unlock(three, Running))
	require.NoError(t, b.finish(b.Commit(two, Commit{}, b.now)))
	require.Equal(t, "2", b.maxWait(Running))
	for range 2 {
		b.openSession()
	}
	_, err = b.OpenSession("op", "test")
	require.Equal(t, schema.ResourceDenied, faultTag(err))
	require.ErrorIs(t, b.setMaxWait(one, "3"), errNoSession)
}

// TestOperations checks the five operations and the test and error options of RFC 6241, 7.2.
func TestOperations(t *testing.T) {
	b := newFixture(t)
	id := b.openSession()
	const leaf, entry = "/limits/max-wait", "/classes/class[name='page']"
	require.Equal(t, schema.DataMissing, faultTag(b.Edit(id, b.editAt(Delete, leaf))))
	require.NoError(t, b.Edit(id, b.editAt(Remove, leaf)))
	require.NoError(t, b.Edit(id, b.editAt(Create, leaf, "1")))
	require.Equal(t, schema.DataExists, faultTag(b.Edit(id, b.editAt(Create, leaf, "2"))))
	require.NoError(t, b.Edit(id, b.editAt(Replace, leaf, "3")))
	require.Equal(t, "3", b.maxWait(Candidate))
	require.NoError(t, b.Edit(id, b.editAt(Replace, "/limits")))
	require.Empty(t, b.maxWait(Candidate))
	require.Equal(t, schema.DataMissing, faultTag(b.Edit(id, b.editAt(None, entry))))

	e := b.editAt(Create, entry)
	require.Equal(t, schema.DataMissing, faultTag(b.Edit(id, e)), "an entry without its mandatory leaves")
	e.Test = Set
	require.NoError(t, b.Edit(id, e), "only the commit rejects it")
	require.Equal(t, schema.DataMissing, faultTag(b.Validate(Candidate)))
	_, err := b.Commit(id, Commit{}, b.now)
	require.Equal(t, schema.DataMissing, faultTag(err))
	require.NoError(t, b.Discard(id))

	e = b.editAt(Merge, leaf, "5")
	e.Test = TestOnly
	require.NoError(t, b.Edit(id, e))
	require.Empty(t, b.maxWait(Candidate))
	two := b.editAt(Delete, entry).Root.Children[0]
	for _, c := range []struct {
		on   ErrorOption
		want string
	}{{RollbackOnError, ""}, {StopOnError, ""}, {ContinueOnError, "5"}} {
		e := b.editAt(Merge, leaf, "5")
		e.OnError, e.Root.Children = c.on, append([]*EditNode{two}, e.Root.Children...)
		require.Equal(t, schema.DataMissing, faultTag(b.Edit(id, e)))
		require.Equal(t, c.want, b.maxWait(Candidate), c.on)
	}
	require.Equal(t, schema.InvalidValue, faultTag(b.Edit(id, b.editAt(Merge, "/exchanges/exchange[number='1']/state/told", "ready"))))
	require.Equal(t, schema.BadElement, faultTag(b.Edit(id, b.editAt(Delete, entry+"/name", "page"))))
}

// TestConfirmed checks that a confirmed commit stays in force only if it is confirmed, and is reverted after its
// timeout, the end of its session, a cancel or a restart of the program.
func TestConfirmed(t *testing.T) {
	type ending struct {
		name   string
		commit Commit
		end    func(b *fixture, id SessionID) error
		want   string
	}
	confirm := func(c Commit) func(*fixture, SessionID) error {
		return func(b *fixture, id SessionID) error { return b.finish(b.Commit(id, c, b.now)) }
	}
	for _, c := range []ending{
		{"confirmed", Commit{}, confirm(Commit{}), "2"},
		{"time", Commit{Timeout: time.Minute}, func(b *fixture, _ SessionID) error {
			require.Nil(t, b.RevertExpired(b.now.Add(time.Minute-1)))
			return b.finish(b.RevertExpired(b.now.Add(time.Minute)), nil)
		}, "1"},
		{"usual time", Commit{}, func(b *fixture, _ SessionID) error {
			require.Nil(t, b.RevertExpired(b.now.Add(10*time.Minute-1)))
			return b.finish(b.RevertExpired(b.now.Add(10*time.Minute)), nil)
		}, "1"},
		{"session", Commit{}, func(b *fixture, id SessionID) error { return b.finish(b.CloseSession(id, b.now), nil) }, "1"},
		{"session, kept", Commit{Persist: "p"}, func(b *fixture, id SessionID) error {
			require.Nil(t, b.CloseSession(id, b.now))
			return b.finish(b.Commit(b.openSession(), Commit{PersistID: "p"}, b.now))
		}, "2"},
		{"cancelled", Commit{}, func(b *fixture, id SessionID) error { return b.finish(b.Cancel(id, "", b.now)) }, "1"},
		{"cancelled by id", Commit{Persist: "p"}, func(b *fixture, _ SessionID) error {
			return b.finish(b.Cancel(b.openSession(), "p", b.now))
		}, "1"},
		{"extended", Commit{Timeout: time.Minute}, func(b *fixture, id SessionID) error {
			require.NoError(t, b.setMaxWait(id, "3"))
			require.NoError(t, b.finish(b.Commit(id, Commit{Confirmed: true, Timeout: time.Hour}, b.now)))
			require.Equal(t, "3", b.maxWait(Running))
			require.Nil(t, b.RevertExpired(b.now.Add(time.Minute)))
			return b.finish(b.RevertExpired(b.now.Add(time.Hour)), nil)
		}, "1"},
		{"confirmed with more", Commit{}, func(b *fixture, id SessionID) error {
			require.NoError(t, b.setMaxWait(id, "3"))
			require.NoError(t, b.finish(b.Commit(id, Commit{}, b.now)))
			return b.finish(b.RevertExpired(b.now.Add(time.Hour)), nil)
		}, "3"},
		{"restart", Commit{Persist: "p"}, func(b *fixture, _ SessionID) error {
			old := b.records
			*b = *newFixture(t)
			back, err := b.Restore(old, b.now)
			require.NotNil(t, back)
			return b.finish(back, err)
		}, "1"},
	} {
		b := newFixture(t)
		id := b.openSession()
		require.NoError(t, b.setMaxWait(id, "1"))
		require.NoError(t, b.finish(b.Commit(id, Commit{}, b.now)))
		require.NoError(t, b.setMaxWait(id, "2"))
		c.commit.Confirmed = true
		require.NoError(t, b.finish(b.Commit(id, c.commit, b.now)))
		require.Equal(t, "2", b.maxWait(Running), c.name)
		other := b.openSession()
		_, err := b.Commit(other, Commit{}, b.now)
		require.Error(t, err, "another session's commit")
		_, err = b.Commit(other, Commit{PersistID: "wrong"}, b.now)
		require.Error(t, err, "a wrong persist-id")
		require.Equal(t, schema.LockDenied, faultTag(b.Lock(other, Running)))
		require.NoError(t, c.end(b, id), c.name)
		require.Equal(t, c.want, b.maxWait(Running), c.name)
		_, pending := b.ConfirmDeadline()
		require.False(t, pending, c.name)
		require.Nil(t, b.RevertExpired(b.now.Add(24*time.Hour)), c.name)
	}
	b := newFixture(t)
	_, err := b.Commit(b.openSession(), Commit{PersistID: "p"}, b.now)
	require.Equal(t, schema.InvalidValue, faultTag(err))
	_, err = b.Cancel(b.openSession(), "", b.now)
	require.Equal(t, schema.OperationFailed, faultTag(err))
}

// TestHistory checks that every kept revision can be read, compared and restored, and that older ones are an error.
func TestHistory(t *testing.T) {
	b := newFixture(t)
	id := b.openSession()
	for i := range 10 {
		require.NoError(t, b.setMaxWait(id, strconv.Itoa(i+1)))
		require.NoError(t, b.finish(b.Commit(id, Commit{Comment: fmt.Sprint("to ", i+1)}, b.now)))
	}
	kept := b.History()
	require.Equal(t, "to 10", kept[len(kept)-1].Comment)
	require.Equal(t, "op", kept[0].User)
	changes, err := b.Diff(7, 9)
	require.NoError(t, err)
	old, next := "7", "9"
	require.Equal(t, []schema.Change{{Path: "/limits/max-wait", Old: &old, New: &next}}, changes)
	require.NoError(t, b.finish(b.Rollback(id, 7, b.now, "back")))
	require.Equal(t, "7", b.maxWait(Running))
	require.NoError(t, b.finish(b.Rollback(id, 10, b.now, "and forth")))
	require.Equal(t, "10", b.maxWait(Running))
	for _, n := range []uint64{0, 1, 99} {
		_, err := b.Revision(n)
		require.Equal(t, schema.InvalidValue, faultTag(err), n)
	}
	require.LessOrEqual(t, len(b.History()), 2*b.Keep)
}

// TestDrains checks that a change that would send new calls to a draining exchange is rejected, also if the drain
// starts between validation and commit, and that a change that takes calls away from it is accepted.
func TestDrains(t *testing.T) {
	d := &Drains{}
	b := newFixture(t, d.Guard)
	id := b.openSession()
	base := func() *schema.Node {
		tree := b.Model.NewTree()
		for _, n := range []string{"1", "2"} {
			at := "/exchanges/exchange[number='" + n + "']/"
			require.NoError(t, tree.Put(schema.Item{Path: at + "zone", Value: "east"}))
			require.NoError(t, tree.Put(schema.Item{Path: at + "address", Value: "10.0.0." + n + ":5060"}))
		}
		require.NoError(t, tree.Put(schema.Item{Path: "/circuit-groups/group[a='1'][b='2']/size", Value: "10"}))
		return tree
	}
	require.NoError(t, b.Replace(id, base()))
	require.NoError(t, b.finish(b.Commit(id, Commit{}, b.now)))
	d.SetStates(map[string]string{"2": "draining", "3": "gone"})
	for _, c := range []struct{ path, value, words string }{
		{"/exchanges/exchange[number='2']/address", "10.0.0.9:5060", "exchange 2 has been told draining: it would get work at another address"},
		{"/circuit-groups/group[a='1'][b='2']/size", "11", "exchange 2 has been told draining: it would get more circuits"},
		{"/exchanges/exchange[number='3']/address", "10.0.0.3:5060", "exchange 3 has been told gone: it would be new"},
		{"/circuit-groups/group[a='1'][b='2']/size", "9", ""},
		{"/exchanges/exchange[number='2']/admin-state", "draining", ""},
		{"/exchanges/exchange[number='2']/admin-state", "in-service", "it would be in service again"},
	} {
		tree, err := b.Get(Running)
		require.NoError(t, err)
		require.NoError(t, tree.Put(schema.Item{Path: c.path, Value: c.value}))
		if x, _ := tree.Find("/exchanges/exchange[number='3']"); x != nil {
			require.NoError(t, tree.Put(schema.Item{Path: x.Path() + "/zone", Value: "west"}))
		}
		require.NoError(t, b.Replace(id, tree))
		err = b.finish(b.Commit(id, Commit{}, b.now))
		if c.words == "" {
			require.NoError(t, err, c.path)
			continue
		}
		require.Equal(t, schema.ResourceDenied, faultTag(err))
		require.ErrorContains(t, err, c.words)
		require.Equal(t, schema.ResourceDenied, faultTag(b.Validate(Candidate)))
	}
	d.SetStates(nil)
	require.NoError(t, b.Validate(Candidate))
	// The candidate has exchange 2 in service again, at its address: no work may go there under any number.
	d.SetAddresses(map[string]bool{"10.0.0.2:5060": true})
	require.Equal(t, schema.ResourceDenied, faultTag(b.Validate(Candidate)))
	tree, err := b.Get(Running)
	require.NoError(t, err)
	require.NoError(t, tree.Put(schema.Item{Path: "/exchanges/exchange[number='2']/address", Value: "10.0.0.9:5060"}))
	require.NoError(t, tree.Put(schema.Item{Path: "/exchanges/exchange[number='4']/zone", Value: "east"}))
	require.NoError(t, tree.Put(schema.Item{Path: "/exchanges/exchange[number='4']/address", Value: "10.0.0.2:5060"}))
	require.ErrorContains(t, b.Check(tree), "the node at 10.0.0.2:5060 has been told draining: exchange 4 would send calls there: it would be new")
	d.SetAddresses(nil)
	require.NoError(t, b.Check(tree))
	txn, err := b.Commit(id, Commit{}, b.now)
	require.NoError(t, err)
	d.SetStates(map[string]string{"2": "draining"})
	require.Equal(t, schema.ResourceDenied, faultTag(b.CheckReady(txn)))
	_, err = b.Commit(id, Commit{}, b.now)
	require.Equal(t, schema.ResourceDenied, faultTag(err), "the first transaction has ended")
}

// TestRestored checks with random operations that a Store restored from the records has the same content, and that
// every transaction either completes or leaves no trace.
func TestRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newFixture(t)
		var ids []SessionID
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(ids) < 2 {
				ids = append(ids, b.openSession())
			}
			id := rapid.SampledFrom(ids).Draw(t, "session")
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			value := strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "value"))
			switch rapid.IntRange(0, 9).Draw(t, "do") {
			case 0, 1, 2:
				_ = b.setMaxWait(id, value)
			case 3:
				_ = b.finish(b.Commit(id, Commit{}, b.now))
			case 4:
				_ = b.finish(b.Commit(id, Commit{Confirmed: true, Timeout: time.Minute}, b.now))
			case 5:
				_ = b.finish(b.Change(id, b.editAt(Merge, "/limits/max-callers", "1"+value), Commit{}, b.now))
			case 6:
				_ = b.finish(b.Rollback(id, b.LastRevision()-uint64(min(b.LastRevision(), 2)), b.now, ""))
			case 7:
				require.NoError(t, b.finish(b.RevertExpired(b.now), nil))
			case 8:
				require.NoError(t, b.finish(b.CloseSession(id, b.now), nil))
				ids = slices.DeleteFunc(ids, func(x SessionID) bool { return x == id })
			case 9:
				tree, err := b.Get(Candidate)
				require.NoError(t, err)
				_ = b.finish(b.Copy(id, Startup, tree, b.now))
			}
			require.Nil(t, b.inProgress)
			require.LessOrEqual(t, len(b.history), 2*b.Keep+4)
			running, err := b.Get(Running)
			require.NoError(t, err)
			require.Empty(t, b.Model.Validate(running))
		}
		restored := newFixture(t)
		revert, err := restored.Restore(b.records, b.now)
		require.NoError(t, err)
		_, pending := b.ConfirmDeadline()
		require.Equal(t, pending, revert != nil)
		require.Equal(t, b.LastRevision(), restored.LastRevision())
		require.Equal(t, b.running.Items(), restored.running.Items())
		require.Equal(t, b.startup.Items(), restored.startup.Items())
		if pending {
			want, err := b.Revision(b.pending.revertTo)
			require.NoError(t, err)
			require.NoError(t, restored.finish(revert, nil))
			require.Equal(t, want.Items(), restored.running.Items())
		}
	})
}
