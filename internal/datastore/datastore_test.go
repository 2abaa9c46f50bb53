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

var start = time.Unix(1_800_000_000, 0).UTC()

// bench is a store with its owner's duties done in memory.
type bench struct {
	*Store
	t       require.TestingT
	now     time.Time
	records []Record
}

func newBench(t require.TestingT, guards ...Guard) *bench {
	m, err := schema.Load(yang.Files)
	require.NoError(t, err)
	s, err := New(Config{Model: m, Keep: 4, Sessions: 4, Guards: guards})
	require.NoError(t, err)
	return &bench{Store: s, t: t, now: start}
}

// open opens a session.
func (b *bench) open() SessionID {
	x, err := b.Open("op", "test")
	require.NoError(b.t, err)
	return x.ID
}

// make does what an owner does with a transaction.
func (b *bench) make(t *Txn, err error) error {
	if err != nil || t == nil {
		return err
	}
	if err := b.Ready(t); err != nil {
		return err
	}
	text, err := json.Marshal(t.Record) // as the journal keeps it
	require.NoError(b.t, err)
	var kept Record
	require.NoError(b.t, json.Unmarshal(text, &kept))
	b.records = append(b.records, kept)
	require.NoError(b.t, b.Made(t))
	if base, ok, err := b.Trim(); ok {
		b.Trimmed(base)
		for b.records[0].N <= base.N {
			b.records = b.records[1:]
		}
		b.records = append([]Record{base}, b.records...)
	} else {
		require.NoError(b.t, err)
	}
	return nil
}

// edit is one of the node at a path; what is above it is only led through.
func (b *bench) edit(op Operation, path string, values ...string) Edit {
	steps, err := schema.ParsePath(path)
	require.NoError(b.t, err)
	root := &Part{Def: b.Model.Root, Op: None}
	at := root
	for i, s := range steps {
		p := &Part{Def: at.Def.Child(s.Name), Path: path, Op: None}
		for _, k := range p.Def.Keys {
			p.Keys = append(p.Keys, s.Keys[k])
		}
		if i == len(steps)-1 {
			p.Op = op
			if len(values) > 0 {
				p.Value = values[0]
			}
		}
		at.Parts = append(at.Parts, p)
		at = p
	}
	return Edit{Root: root, OnError: RollbackOnError}
}

// wait sets the leaf that most tests change, in the candidate.
func (b *bench) wait(id SessionID, v string) error {
	return b.Edit(id, b.edit(Merge, "/limits/max-wait", v))
}

// has is that leaf's value in a datastore.
func (b *bench) has(t Target) string {
	tree, err := b.Get(t)
	require.NoError(b.t, err)
	if l := tree.Get("limits"); l != nil {
		v, _ := l.Leaf("max-wait")
		return v
	}
	return ""
}

// tag is an error's.
func tag(err error) schema.Tag {
	if e := (*Error)(nil); errors.As(err, &e) {
		return e.Faults[0].Tag
	}
	return ""
}

// TestLocks: one session at a time holds a datastore, and what it leaves behind is taken away.
func TestLocks(t *testing.T) {
	b := newBench(t)
	one, two := b.open(), b.open()
	require.NoError(t, b.Lock(one, Candidate))
	err := b.Lock(two, Candidate)
	require.Equal(t, schema.LockDenied, tag(err))
	require.Equal(t, one, err.(*Error).Holder)
	require.Equal(t, schema.InUse, tag(b.wait(two, "1")))
	require.Equal(t, schema.OperationFailed, tag(b.Unlock(two, Candidate)))
	require.NoError(t, b.wait(one, "7"))
	require.Equal(t, "7", b.has(Candidate))
	require.Nil(t, b.Close(one, b.now), "it dies with the lock")
	require.Empty(t, b.has(Candidate), "its edits are discarded (RFC 6241, 8.3.5.2)")
	require.NoError(t, b.wait(two, "2"))
	three := b.open()
	require.Equal(t, schema.LockDenied, tag(b.Lock(three, Candidate)), "edits are neither committed nor discarded")
	require.NoError(t, b.Lock(three, Running))
	_, err = b.Commit(two, Commit{}, b.now)
	require.Equal(t, schema.InUse, tag(err), "running is locked by another")
	require.NoError(t, b.Unlock(three, Running))
	require.NoError(t, b.make(b.Commit(two, Commit{}, b.now)))
	require.Equal(t, "2", b.has(Running))
	for range 2 {
		b.open()
	}
	_, err = b.Open("op", "test")
	require.Equal(t, schema.ResourceDenied, tag(err))
	require.ErrorIs(t, b.wait(one, "3"), errNoSession)
}

// TestOperations: the five operations and the options, as RFC 6241, 7.2 has them.
func TestOperations(t *testing.T) {
	b := newBench(t)
	id := b.open()
	const leaf, entry = "/limits/max-wait", "/classes/class[name='page']"
	require.Equal(t, schema.DataMissing, tag(b.Edit(id, b.edit(Delete, leaf))))
	require.NoError(t, b.Edit(id, b.edit(Remove, leaf)))
	require.NoError(t, b.Edit(id, b.edit(Create, leaf, "1")))
	require.Equal(t, schema.DataExists, tag(b.Edit(id, b.edit(Create, leaf, "2"))))
	require.NoError(t, b.Edit(id, b.edit(Replace, leaf, "3")))
	require.Equal(t, "3", b.has(Candidate))
	require.NoError(t, b.Edit(id, b.edit(Replace, "/limits")))
	require.Empty(t, b.has(Candidate))
	require.Equal(t, schema.DataMissing, tag(b.Edit(id, b.edit(None, entry))))

	e := b.edit(Create, entry)
	require.Equal(t, schema.DataMissing, tag(b.Edit(id, e)), "an entry without its mandatory leaves")
	e.Test = Set
	require.NoError(t, b.Edit(id, e), "it is for the commit to refuse")
	require.Equal(t, schema.DataMissing, tag(b.Validate(Candidate)))
	_, err := b.Commit(id, Commit{}, b.now)
	require.Equal(t, schema.DataMissing, tag(err))
	require.NoError(t, b.Discard(id))

	e = b.edit(Merge, leaf, "5")
	e.Test = TestOnly
	require.NoError(t, b.Edit(id, e))
	require.Empty(t, b.has(Candidate))
	two := b.edit(Delete, entry).Root.Parts[0]
	for _, c := range []struct {
		on   ErrorOption
		want string
	}{{RollbackOnError, ""}, {StopOnError, ""}, {ContinueOnError, "5"}} {
		e := b.edit(Merge, leaf, "5")
		e.OnError, e.Root.Parts = c.on, append([]*Part{two}, e.Root.Parts...)
		require.Equal(t, schema.DataMissing, tag(b.Edit(id, e)))
		require.Equal(t, c.want, b.has(Candidate), c.on)
	}
	require.Equal(t, schema.InvalidValue, tag(b.Edit(id, b.edit(Merge, "/exchanges/exchange[number='1']/state/told", "ready"))))
	require.Equal(t, schema.BadElement, tag(b.Edit(id, b.edit(Delete, entry+"/name", "page"))))
}

// TestConfirmed: a commit that waits is kept by its confirmation only: not after its time, its session, a cancel or a
// start of the program.
func TestConfirmed(t *testing.T) {
	type ending struct {
		name   string
		commit Commit
		end    func(b *bench, id SessionID) error
		want   string
	}
	confirm := func(c Commit) func(*bench, SessionID) error {
		return func(b *bench, id SessionID) error { return b.make(b.Commit(id, c, b.now)) }
	}
	for _, c := range []ending{
		{"confirmed", Commit{}, confirm(Commit{}), "2"},
		{"time", Commit{Timeout: time.Minute}, func(b *bench, _ SessionID) error {
			require.Nil(t, b.Expired(b.now.Add(time.Minute-1)))
			return b.make(b.Expired(b.now.Add(time.Minute)), nil)
		}, "1"},
		{"usual time", Commit{}, func(b *bench, _ SessionID) error {
			require.Nil(t, b.Expired(b.now.Add(10*time.Minute-1)))
			return b.make(b.Expired(b.now.Add(10*time.Minute)), nil)
		}, "1"},
		{"session", Commit{}, func(b *bench, id SessionID) error { return b.make(b.Close(id, b.now), nil) }, "1"},
		{"session, kept", Commit{Persist: "p"}, func(b *bench, id SessionID) error {
			require.Nil(t, b.Close(id, b.now))
			return b.make(b.Commit(b.open(), Commit{PersistID: "p"}, b.now))
		}, "2"},
		{"cancelled", Commit{}, func(b *bench, id SessionID) error { return b.make(b.Cancel(id, "", b.now)) }, "1"},
		{"cancelled by id", Commit{Persist: "p"}, func(b *bench, _ SessionID) error {
			return b.make(b.Cancel(b.open(), "p", b.now))
		}, "1"},
		{"extended", Commit{Timeout: time.Minute}, func(b *bench, id SessionID) error {
			require.NoError(t, b.wait(id, "3"))
			require.NoError(t, b.make(b.Commit(id, Commit{Confirmed: true, Timeout: time.Hour}, b.now)))
			require.Equal(t, "3", b.has(Running))
			require.Nil(t, b.Expired(b.now.Add(time.Minute)))
			return b.make(b.Expired(b.now.Add(time.Hour)), nil)
		}, "1"},
		{"confirmed with more", Commit{}, func(b *bench, id SessionID) error {
			require.NoError(t, b.wait(id, "3"))
			require.NoError(t, b.make(b.Commit(id, Commit{}, b.now)))
			return b.make(b.Expired(b.now.Add(time.Hour)), nil)
		}, "3"},
		{"restart", Commit{Persist: "p"}, func(b *bench, _ SessionID) error {
			old := b.records
			*b = *newBench(t)
			back, err := b.Restore(old, b.now)
			require.NotNil(t, back)
			return b.make(back, err)
		}, "1"},
	} {
		b := newBench(t)
		id := b.open()
		require.NoError(t, b.wait(id, "1"))
		require.NoError(t, b.make(b.Commit(id, Commit{}, b.now)))
		require.NoError(t, b.wait(id, "2"))
		c.commit.Confirmed = true
		require.NoError(t, b.make(b.Commit(id, c.commit, b.now)))
		require.Equal(t, "2", b.has(Running), c.name)
		other := b.open()
		_, err := b.Commit(other, Commit{}, b.now)
		require.Error(t, err, "another session's commit")
		_, err = b.Commit(other, Commit{PersistID: "wrong"}, b.now)
		require.Error(t, err, "a wrong persist-id")
		require.Equal(t, schema.LockDenied, tag(b.Lock(other, Running)))
		require.NoError(t, c.end(b, id), c.name)
		require.Equal(t, c.want, b.has(Running), c.name)
		_, waits := b.Waits()
		require.False(t, waits, c.name)
		require.Nil(t, b.Expired(b.now.Add(24*time.Hour)), c.name)
	}
	b := newBench(t)
	_, err := b.Commit(b.open(), Commit{PersistID: "p"}, b.now)
	require.Equal(t, schema.InvalidValue, tag(err))
	_, err = b.Cancel(b.open(), "", b.now)
	require.Equal(t, schema.OperationFailed, tag(err))
}

// TestHistory: any revision that is kept can be seen, compared and gone back to; older ones are named as gone.
func TestHistory(t *testing.T) {
	b := newBench(t)
	id := b.open()
	for i := range 10 {
		require.NoError(t, b.wait(id, strconv.Itoa(i+1)))
		require.NoError(t, b.make(b.Commit(id, Commit{Comment: fmt.Sprint("to ", i+1)}, b.now)))
	}
	kept := b.History()
	require.Equal(t, "to 10", kept[len(kept)-1].Comment)
	require.Equal(t, "op", kept[0].User)
	changes, err := b.Diff(7, 9)
	require.NoError(t, err)
	old, next := "7", "9"
	require.Equal(t, []schema.Change{{Path: "/limits/max-wait", Old: &old, New: &next}}, changes)
	require.NoError(t, b.make(b.Rollback(id, 7, b.now, "back")))
	require.Equal(t, "7", b.has(Running))
	require.NoError(t, b.make(b.Rollback(id, 10, b.now, "and forth")))
	require.Equal(t, "10", b.has(Running))
	for _, n := range []uint64{0, 1, 99} {
		_, err := b.Revision(n)
		require.Equal(t, schema.InvalidValue, tag(err), n)
	}
	require.LessOrEqual(t, len(b.History()), 2*b.Keep)
}

// TestDrains: nothing that sends new work to an exchange that was told to drain is committed, also when it was told
// between the validation and the commit; what takes work away is.
func TestDrains(t *testing.T) {
	d := &Drains{}
	b := newBench(t, d.Guard)
	id := b.open()
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
	require.NoError(t, b.make(b.Commit(id, Commit{}, b.now)))
	d.Told(map[string]string{"2": "draining", "3": "gone"})
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
		err = b.make(b.Commit(id, Commit{}, b.now))
		if c.words == "" {
			require.NoError(t, err, c.path)
			continue
		}
		require.Equal(t, schema.ResourceDenied, tag(err))
		require.ErrorContains(t, err, c.words)
		require.Equal(t, schema.ResourceDenied, tag(b.Validate(Candidate)))
	}
	d.Told(nil)
	require.NoError(t, b.Validate(Candidate))
	txn, err := b.Commit(id, Commit{}, b.now)
	require.NoError(t, err)
	d.Told(map[string]string{"2": "draining"})
	require.Equal(t, schema.ResourceDenied, tag(b.Ready(txn)))
	_, err = b.Commit(id, Commit{}, b.now)
	require.Equal(t, schema.ResourceDenied, tag(err), "and it is over")
}

// TestRestored: whatever was done, a store made of its records is the same, and every transaction that was begun is
// made or leaves nothing.
func TestRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t)
		var ids []SessionID
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(ids) < 2 {
				ids = append(ids, b.open())
			}
			id := rapid.SampledFrom(ids).Draw(t, "session")
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			value := strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "value"))
			switch rapid.IntRange(0, 9).Draw(t, "do") {
			case 0, 1, 2:
				_ = b.wait(id, value)
			case 3:
				_ = b.make(b.Commit(id, Commit{}, b.now))
			case 4:
				_ = b.make(b.Commit(id, Commit{Confirmed: true, Timeout: time.Minute}, b.now))
			case 5:
				_ = b.make(b.Change(id, b.edit(Merge, "/limits/max-callers", "1"+value), Commit{}, b.now))
			case 6:
				_ = b.make(b.Rollback(id, b.Last()-uint64(min(b.Last(), 2)), b.now, ""))
			case 7:
				require.NoError(t, b.make(b.Expired(b.now), nil))
			case 8:
				require.NoError(t, b.make(b.Close(id, b.now), nil))
				ids = slices.DeleteFunc(ids, func(x SessionID) bool { return x == id })
			case 9:
				tree, err := b.Get(Candidate)
				require.NoError(t, err)
				_ = b.make(b.Copy(id, Startup, tree, b.now))
			}
			require.Nil(t, b.under)
			require.LessOrEqual(t, len(b.history), 2*b.Keep+4)
			running, err := b.Get(Running)
			require.NoError(t, err)
			require.Empty(t, b.Model.Validate(running))
		}
		again := newBench(t)
		back, err := again.Restore(b.records, b.now)
		require.NoError(t, err)
		_, waits := b.Waits()
		require.Equal(t, waits, back != nil)
		require.Equal(t, b.Last(), again.Last())
		require.Equal(t, b.running.Items(), again.running.Items())
		require.Equal(t, b.startup.Items(), again.startup.Items())
		if waits {
			was, err := b.Revision(b.waits.before)
			require.NoError(t, err)
			require.NoError(t, again.make(back, nil))
			require.Equal(t, was.Items(), again.running.Items())
		}
	})
}
