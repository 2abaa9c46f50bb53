package transact

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/stretchr/testify/require"

	"brookmux/internal/datastore"
	"brookmux/internal/journal"
	"brookmux/internal/schema"
	"brookmux/yang"
)

var discardLog = slog.New(slog.DiscardHandler)

func loadModel(t require.TestingT) *schema.Model {
	m, err := schema.Load(yang.Files)
	require.NoError(t, err)
	return m
}

// openOwner opens a journal and returns an Owner on it with the given clock.
func openOwner(fs vfs.FS, dir string, m *schema.Model, now func() time.Time, parts ...Part) (*Owner, error) {
	j, kept, err := journal.Open(fs, dir, discardLog)
	if err != nil {
		return nil, err
	}
	o, err := New(Config{Store: datastore.Config{Model: m, Keep: 8, MaxSessions: 8}, Journal: j, Records: kept, Now: now, Log: discardLog,
		Parts: parts})
	if err != nil {
		return nil, errors.Join(err, j.Close())
	}
	return o, nil
}

// commitItems sets items in one transaction.
func commitItems(o *Owner, c datastore.Commit, items ...schema.Item) (datastore.Record, error) {
	return commitChange(o, c, func(tree *schema.Node) error {
		for _, i := range items {
			if err := tree.Put(i); err != nil {
				return err
			}
		}
		return nil
	})
}

// commitChange commits the change that f makes to a copy of running, by way of the candidate.
func commitChange(o *Owner, c datastore.Commit, f func(*schema.Node) error) (datastore.Record, error) {
	var who datastore.Session
	err := o.Do(func(s *datastore.Store) (err error) {
		if who, err = s.OpenSession("op", "test"); err != nil {
			return err
		}
		tree, err := s.Get(datastore.Running)
		if err != nil {
			return err
		}
		if err := f(tree); err != nil {
			return err
		}
		return s.Replace(who.ID, tree)
	})
	if err != nil {
		return datastore.Record{}, err
	}
	defer o.CloseSession(who.ID)
	return o.Execute(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) { return s.Commit(who.ID, c, at) })
}

// state returns the number of the last transaction, and running and startup as text.
func state(o *Owner) (last uint64, out string) {
	o.View(func(s *datastore.Store) {
		last = s.LastRevision()
		for _, t := range []datastore.Target{datastore.Running, datastore.Startup} {
			tree, err := s.Get(t)
			out += fmt.Sprint(t, err, tree.Items(), "\n")
		}
	})
	return last, out
}

// crashPoint is the disk as a power cut between two writes would leave it, with the last state acknowledged before.
type crashPoint struct {
	disk       *vfs.MemFS
	ackedState int // index of that state; -1 if none
	op         string
}

// TestCrashMatrix simulates a power cut before each write to the disk, with either all or none of the unsynced data
// surviving. The sequence covers commits, confirmed commits, their confirmation and expiry, a rollback, a copy to
// startup and the trimming of the journal. After the restart the configuration must be the last acknowledged one or
// that of the transaction in progress, in full either way, and a pending commit must have been reverted.
func TestCrashMatrix(t *testing.T) {
	m, disk := loadModel(t), vfs.NewCrashableMem()
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	var mu sync.Mutex // the library also writes from its own goroutines
	var points []crashPoint
	type known struct{ state, restarted string }
	states := []known{} // after each acknowledged step: the state, and the state after a restart
	injector := errorfs.InjectorFunc(func(op errorfs.Op) error {
		if op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			mu.Lock()
			defer mu.Unlock()
			for _, percent := range []int{0, 100} {
				points = append(points, crashPoint{disk.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent,
					RNG: rand.New(rand.NewPCG(1, 1))}),
					len(states) - 1, fmt.Sprint(op.Kind, " ", op.Path)})
			}
		}
		return nil
	})
	require.NoError(t, disk.MkdirAll("j", 0o700))
	o, err := openOwner(errorfs.Wrap(disk, injector), "j", m, clock)
	require.NoError(t, err)
	var confirmed string
	step := func(err error, pending bool) {
		require.NoError(t, err)
		mu.Lock()
		defer mu.Unlock()
		_, s := state(o)
		if !pending {
			confirmed = s
		}
		states = append(states, known{s, confirmed})
	}
	exchange := func(i int) []schema.Item {
		at := fmt.Sprintf("/exchanges/exchange[number='%d']/", i)
		return []schema.Item{{Path: at + "zone", Value: "east"}, {Path: at + "address", Value: fmt.Sprintf("10.0.0.%d:5060", i)}}
	}
	step(nil, false)
	_, err = commitItems(o, datastore.Commit{}, exchange(1)...)
	step(err, false)
	_, err = commitItems(o, datastore.Commit{Confirmed: true, Timeout: time.Minute, Persist: "p"}, exchange(2)...)
	step(err, true)
	_, err = commitItems(o, datastore.Commit{PersistID: "p"})
	step(err, false)
	_, err = commitItems(o, datastore.Commit{Confirmed: true, Timeout: time.Minute, Persist: "q"}, exchange(3)...)
	step(err, true)
	now = now.Add(2 * time.Minute)
	o.Tick()
	step(nil, false)
	for i := range 20 { // enough for the journal to be trimmed
		_, err = commitItems(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: strconv.Itoa(i)})
		step(err, false)
	}
	who := datastore.Session{}
	require.NoError(t, o.Do(func(s *datastore.Store) error { who, err = s.OpenSession("op", "test"); return err }))
	_, err = o.Execute(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Rollback(who.ID, s.LastRevision()-3, at, "back")
	})
	step(err, false)
	_, err = o.Execute(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		tree, err := s.Get(datastore.Running)
		require.NoError(t, err)
		return s.Copy(who.ID, datastore.Startup, tree, at)
	})
	step(err, false)
	require.NoError(t, o.Journal.Close())

	inForce := 0
	for _, p := range points {
		reopened, err := openOwner(p.disk, "j", m, clock)
		require.NoError(t, err, p.op)
		_, got := state(reopened)
		if p.ackedState < 0 { // while the journal was being created
			require.Equal(t, states[0].restarted, got, p.op)
		} else if next := states[min(p.ackedState+1, len(states)-1)]; got != states[p.ackedState].restarted {
			require.Equal(t, next.restarted, got, "after %d, %s", p.ackedState, p.op)
			inForce++
		}
		require.NoError(t, reopened.Journal.Close())
	}
	t.Logf("%d fault points, after %d of them the transaction in progress was in force", len(points), inForce)
	require.Greater(t, len(points), 3*len(states))
	require.Positive(t, inForce)
}

// fakePart is a Part that records what it applied, unless refuse returns an error.
type fakePart struct {
	refuse func(running *schema.Node) error
	items  string
	last   uint64
}

func (*fakePart) Name() string { return "part" }

func (p *fakePart) Apply(n uint64, running *schema.Node, _ []schema.Change) error {
	if err := p.refuse(running); err != nil {
		return err
	}
	p.last, p.items = n, fmt.Sprint(running.Items())
	return nil
}

// TestPartRefuses checks that a transaction that one part can't apply is reverted in the parts that have applied it,
// and that the store, the parts and the journal agree afterwards, also if the program ended before the revert.
func TestPartRefuses(t *testing.T) {
	m, disk := loadModel(t), vfs.NewMem()
	accept, refuse := &fakePart{refuse: func(*schema.Node) error { return nil }}, &fakePart{}
	refuse.refuse = func(n *schema.Node) error {
		if l := n.Get("limits"); l != nil {
			if v, _ := l.Leaf("max-wait"); v == "13" {
				return errors.New("no")
			}
		}
		return nil
	}
	o, err := openOwner(disk, "j", m, time.Now, accept, refuse)
	require.NoError(t, err)
	_, err = commitItems(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: "12"})
	require.NoError(t, err)
	before := accept.items
	_, err = commitItems(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: "13"})
	require.ErrorContains(t, err, "part: transaction 2: no")
	require.Equal(t, []string{before, before}, []string{accept.items, refuse.items})
	require.Equal(t, []uint64{3, 3}, []uint64{accept.last, refuse.last})
	last, want := state(o)
	require.EqualValues(t, 3, last)
	// The same journal without the revert, as if the program had ended before it.
	j, ok := o.Journal.(*journal.Journal)
	require.True(t, ok)
	require.NoError(t, j.Append(datastore.Record{Revision: 4, Kind: datastore.KindCommit,
		Changes: []schema.Change{{Path: "/limits/max-wait", Old: &[]string{"12"}[0], New: &[]string{"13"}[0]}}}))
	require.NoError(t, j.Close())
	o, err = openOwner(disk, "j", m, time.Now, accept, refuse)
	require.NoError(t, err)
	last, got := state(o)
	require.EqualValues(t, 5, last)
	require.Equal(t, want, got)
	require.NoError(t, o.Journal.Close())
}

// TestFullDisk checks that on a full disk a change fails and is not in force, and that all later changes fail too, also
// once the disk has free space again.
func TestFullDisk(t *testing.T) {
	m, disk := loadModel(t), vfs.NewMem()
	var full atomic.Bool
	o, err := openOwner(errorfs.Wrap(disk, errorfs.InjectorFunc(func(op errorfs.Op) error {
		if full.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			return syscall.ENOSPC
		}
		return nil
	})), "j", m, time.Now)
	require.NoError(t, err)
	_, err = commitItems(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: "1"})
	require.NoError(t, err)
	_, want := state(o)
	full.Store(true)
	for range 2 {
		_, err = commitItems(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: "2"})
		require.ErrorIs(t, err, journal.ErrBroken)
		_, got := state(o)
		require.Equal(t, want, got)
	}
	full.Store(false)
	_, err = commitItems(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: "2"})
	require.ErrorIs(t, err, journal.ErrBroken, "it is not known what is on disk")
	require.NoError(t, o.Journal.Close())
}

// TestMain runs the child process of TestKills if the environment asks for it.
func TestMain(m *testing.M) {
	if dir := os.Getenv("TRANSACT_CHILD"); dir != "" {
		runChild(dir)
	}
	os.Exit(m.Run())
}

// runChild commits until it fails or is killed. Each transaction sets two leaves to its own number. After each one, it
// prints the number on a line as the acknowledgement.
func runChild(dir string) {
	m, err := schema.Load(yang.Files)
	if err == nil {
		var o *Owner
		if o, err = openOwner(vfs.Default, dir, m, time.Now); err == nil {
			for err == nil {
				last, _ := state(o)
				n := strconv.FormatUint(last+1, 10)
				_, err = commitItems(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: n}, schema.Item{
					Path: "/classes/class[name='a" + n + "']/aim", Value: "1"}, schema.Item{Path: "/classes/class[name='a" + n +
					"']/deadline", Value: n}, schema.Item{Path: "/classes/class[name='a" + n + "']/worth", Value: "1"})
				if f := (*datastore.Error)(nil); errors.As(err, &f) && f.Faults[0].AppTag == "too-many-elements" {
					_, err = commitChange(o, datastore.Commit{}, func(tree *schema.Node) error { // also a single transaction
						tree.Get("classes").RemoveSelf()
						return tree.Put(schema.Item{Path: "/limits/max-wait", Value: n})
					})
				}
				if err == nil {
					fmt.Println(last + 1)
				}
			}
		}
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(3)
}

// TestKills kills the child process at random moments, TRANSACT_KILLS times or else 50. After each kill, every
// acknowledged transaction must be stored exactly once, and no transaction may be stored in part.
func TestKills(t *testing.T) {
	kills, dir, m := 50, t.TempDir(), loadModel(t)
	if n, err := strconv.Atoi(os.Getenv("TRANSACT_KILLS")); err == nil {
		kills = n
	}
	random := rand.New(rand.NewPCG(7, 7))
	acked, unacked := uint64(0), 0
	for range kills {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "TRANSACT_CHILD="+dir)
		c.Stderr = os.Stderr
		out, err := c.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, c.Start())
		lines := bufio.NewReader(out)
		for range 1 + random.IntN(12) { // the number of transactions to wait for before the kill
			line, err := lines.ReadString('\n')
			require.NoError(t, err)
			acked, err = strconv.ParseUint(strings.TrimSpace(line), 10, 64)
			require.NoError(t, err)
		}
		time.Sleep(time.Duration(random.IntN(3000)) * time.Microsecond)
		require.NoError(t, c.Process.Kill())
		rest, err := io.ReadAll(lines)
		require.NoError(t, err)
		for line := range strings.Lines(string(rest)) {
			if n, whole := strings.CutSuffix(line, "\n"); whole {
				acked, err = strconv.ParseUint(n, 10, 64)
				require.NoError(t, err)
			}
		}
		_ = c.Wait() // the error only says that it was killed
		o, err := openOwner(vfs.Default, dir, m, time.Now)
		require.NoError(t, err)
		o.View(func(s *datastore.Store) {
			require.GreaterOrEqual(t, s.LastRevision(), acked, "no acknowledged transaction is lost")
			require.LessOrEqual(t, s.LastRevision(), acked+1, "no transaction is stored twice")
			if s.LastRevision() > acked {
				unacked++
			}
			running, err := s.Get(datastore.Running)
			require.NoError(t, err)
			wait, _ := running.Get("limits").Leaf("max-wait")
			require.Equal(t, strconv.FormatUint(s.LastRevision(), 10), wait)
			if classes := running.Get("classes"); classes != nil {
				newest := classes.Get("class", "a"+wait)
				require.NotNil(t, newest)
				deadline, _ := newest.Leaf("deadline")
				require.Equal(t, wait, deadline)
			}
		})
		require.NoError(t, o.Journal.Close())
	}
	t.Logf("%d kills, %d transactions acknowledged, %d found that were in progress", kills, acked, unacked)
}
