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

var quiet = slog.New(slog.DiscardHandler)

func model(t require.TestingT) *schema.Model {
	m, err := schema.Load(yang.Files)
	require.NoError(t, err)
	return m
}

// open opens an owner on a journal; the clock is the caller's.
func open(fs vfs.FS, dir string, m *schema.Model, now func() time.Time, parts ...Part) (*Owner, error) {
	j, kept, err := journal.Open(fs, dir, quiet)
	if err != nil {
		return nil, err
	}
	o, err := New(Config{Store: datastore.Config{Model: m, Keep: 8, Sessions: 8}, Journal: j, Kept: kept, Now: now, Log: quiet,
		Parts: parts})
	if err != nil {
		return nil, errors.Join(err, j.Close())
	}
	return o, nil
}

// put commits items in one transaction.
func put(o *Owner, c datastore.Commit, items ...schema.Item) (datastore.Record, error) {
	return change(o, c, func(tree *schema.Node) error {
		for _, i := range items {
			if err := tree.Put(i); err != nil {
				return err
			}
		}
		return nil
	})
}

// change commits what a function makes of running, by way of the candidate.
func change(o *Owner, c datastore.Commit, f func(*schema.Node) error) (datastore.Record, error) {
	var who datastore.Session
	err := o.Do(func(s *datastore.Store) (err error) {
		if who, err = s.Open("op", "test"); err != nil {
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
	defer o.Close(who.ID)
	return o.Make(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) { return s.Commit(who.ID, c, at) })
}

// state is what an owner has in force, as text.
func state(o *Owner) (last uint64, out string) {
	o.Look(func(s *datastore.Store) {
		last = s.Last()
		for _, t := range []datastore.Target{datastore.Running, datastore.Startup} {
			tree, err := s.Get(t)
			out += fmt.Sprint(t, err, tree.Items(), "\n")
		}
	})
	return last, out
}

// point is the disk as a power cut between two writes would leave it, with what had been acknowledged by then.
type point struct {
	disk  *vfs.MemFS
	acked int // index in the list of states
	op    string
}

// TestCrashMatrix: the power is cut between every two writes to the disk, with all or nothing of what was not synced
// surviving, through commits, one that waits for its confirmation, its confirmation, its expiry, a rollback, a
// copy to startup and the trimming of the journal. After the start the configuration is wholly as it was last
// acknowledged, or wholly as the transaction under way makes it; a commit that waited is taken back.
func TestCrashMatrix(t *testing.T) {
	m, disk := model(t), vfs.NewCrashableMem()
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	var mu sync.Mutex // the library writes in goroutines of its own too
	var points []point
	type known struct{ state, restarted string }
	states := []known{} // after each acknowledged step: as it is, and as a start makes it
	watch := errorfs.InjectorFunc(func(op errorfs.Op) error {
		if op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			mu.Lock()
			defer mu.Unlock()
			for _, percent := range []int{0, 100} {
				points = append(points, point{disk.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent,
					RNG: rand.New(rand.NewPCG(1, 1))}),
					len(states) - 1, fmt.Sprint(op.Kind, " ", op.Path)})
			}
		}
		return nil
	})
	require.NoError(t, disk.MkdirAll("j", 0o700))
	o, err := open(errorfs.Wrap(disk, watch), "j", m, clock)
	require.NoError(t, err)
	var settled string
	step := func(err error, waits bool) {
		require.NoError(t, err)
		mu.Lock()
		defer mu.Unlock()
		_, s := state(o)
		if !waits {
			settled = s
		}
		states = append(states, known{s, settled})
	}
	exchange := func(i int) []schema.Item {
		at := fmt.Sprintf("/exchanges/exchange[number='%d']/", i)
		return []schema.Item{{Path: at + "zone", Value: "east"}, {Path: at + "address", Value: fmt.Sprintf("10.0.0.%d:5060", i)}}
	}
	step(nil, false)
	_, err = put(o, datastore.Commit{}, exchange(1)...)
	step(err, false)
	_, err = put(o, datastore.Commit{Confirmed: true, Timeout: time.Minute, Persist: "p"}, exchange(2)...)
	step(err, true)
	_, err = put(o, datastore.Commit{PersistID: "p"})
	step(err, false)
	_, err = put(o, datastore.Commit{Confirmed: true, Timeout: time.Minute, Persist: "q"}, exchange(3)...)
	step(err, true)
	now = now.Add(2 * time.Minute)
	o.Tick()
	step(nil, false)
	for i := range 20 { // the journal is trimmed on the way
		_, err = put(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: strconv.Itoa(i)})
		step(err, false)
	}
	who := datastore.Session{}
	require.NoError(t, o.Do(func(s *datastore.Store) error { who, err = s.Open("op", "test"); return err }))
	_, err = o.Make(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Rollback(who.ID, s.Last()-3, at, "back")
	})
	step(err, false)
	_, err = o.Make(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		tree, err := s.Get(datastore.Running)
		require.NoError(t, err)
		return s.Copy(who.ID, datastore.Startup, tree, at)
	})
	step(err, false)
	require.NoError(t, o.Journal.Close())

	half := 0
	for _, p := range points {
		again, err := open(p.disk, "j", m, clock)
		require.NoError(t, err, p.op)
		_, got := state(again)
		if p.acked < 0 { // the journal itself was being made
			require.Equal(t, states[0].restarted, got, p.op)
		} else if next := states[min(p.acked+1, len(states)-1)]; got != states[p.acked].restarted {
			require.Equal(t, next.restarted, got, "after %d, %s", p.acked, p.op)
			half++
		}
		require.NoError(t, again.Journal.Close())
	}
	t.Logf("%d fault points, after %d of them the transaction under way was in force", len(points), half)
	require.Greater(t, len(points), 3*len(states))
	require.Positive(t, half)
}

// part is a part that can refuse.
type part struct {
	refuse func(running *schema.Node) error
	has    string
	last   uint64
}

func (*part) Name() string { return "part" }

func (p *part) Apply(n uint64, running *schema.Node, _ []schema.Change) error {
	if err := p.refuse(running); err != nil {
		return err
	}
	p.last, p.has = n, fmt.Sprint(running.Items())
	return nil
}

// TestPartRefuses: what one part can't take is taken back in those that had taken it, and the store, the parts and
// the journal say the same then; also when the program ended in between.
func TestPartRefuses(t *testing.T) {
	m, disk := model(t), vfs.NewMem()
	take, refuse := &part{refuse: func(*schema.Node) error { return nil }}, &part{}
	refuse.refuse = func(n *schema.Node) error {
		if l := n.Get("limits"); l != nil {
			if v, _ := l.Leaf("max-wait"); v == "13" {
				return errors.New("no")
			}
		}
		return nil
	}
	o, err := open(disk, "j", m, time.Now, take, refuse)
	require.NoError(t, err)
	_, err = put(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: "12"})
	require.NoError(t, err)
	before := take.has
	_, err = put(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: "13"})
	require.ErrorContains(t, err, "part: transaction 2: no")
	require.Equal(t, []string{before, before}, []string{take.has, refuse.has})
	require.Equal(t, []uint64{3, 3}, []uint64{take.last, refuse.last})
	last, was := state(o)
	require.EqualValues(t, 3, last)
	// The same journal without the way back, as if the program had ended there.
	j, ok := o.Journal.(*journal.Journal)
	require.True(t, ok)
	require.NoError(t, j.Append(datastore.Record{N: 4, Kind: datastore.KindCommit,
		Changes: []schema.Change{{Path: "/limits/max-wait", Old: &[]string{"12"}[0], New: &[]string{"13"}[0]}}}))
	require.NoError(t, j.Close())
	o, err = open(disk, "j", m, time.Now, take, refuse)
	require.NoError(t, err)
	last, is := state(o)
	require.EqualValues(t, 5, last)
	require.Equal(t, was, is)
	require.NoError(t, o.Journal.Close())
}

// TestFullDisk: the disk takes nothing more. The change is refused and not in force, nor is any other from then on;
// what was acknowledged is there after a start with room.
func TestFullDisk(t *testing.T) {
	m, disk := model(t), vfs.NewMem()
	var full atomic.Bool
	o, err := open(errorfs.Wrap(disk, errorfs.InjectorFunc(func(op errorfs.Op) error {
		if full.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			return syscall.ENOSPC
		}
		return nil
	})), "j", m, time.Now)
	require.NoError(t, err)
	_, err = put(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: "1"})
	require.NoError(t, err)
	_, was := state(o)
	full.Store(true)
	for range 2 {
		_, err = put(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: "2"})
		require.ErrorIs(t, err, journal.ErrBroken)
		_, is := state(o)
		require.Equal(t, was, is)
	}
	full.Store(false)
	_, err = put(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: "2"})
	require.ErrorIs(t, err, journal.ErrBroken, "what is on disk is not known any more")
	require.NoError(t, o.Journal.Close())
}

// TestMain runs the child of TestKills where it is asked for.
func TestMain(m *testing.M) {
	if dir := os.Getenv("TRANSACT_CHILD"); dir != "" {
		child(dir)
	}
	os.Exit(m.Run())
}

// child commits for ever: each transaction sets two leaves to its own number, and is acknowledged by a line.
func child(dir string) {
	m, err := schema.Load(yang.Files)
	if err == nil {
		var o *Owner
		if o, err = open(vfs.Default, dir, m, time.Now); err == nil {
			for err == nil {
				last, _ := state(o)
				n := strconv.FormatUint(last+1, 10)
				_, err = put(o, datastore.Commit{}, schema.Item{Path: "/limits/max-wait", Value: n}, schema.Item{
					Path: "/classes/class[name='a" + n + "']/aim", Value: "1"}, schema.Item{Path: "/classes/class[name='a" + n +
					"']/deadline", Value: n}, schema.Item{Path: "/classes/class[name='a" + n + "']/worth", Value: "1"})
				if f := (*datastore.Error)(nil); errors.As(err, &f) && f.Faults[0].AppTag == "too-many-elements" {
					_, err = change(o, datastore.Commit{}, func(tree *schema.Node) error { // one transaction too
						tree.Get("classes").Drop()
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

// TestKills: the process is killed at random moments (TRANSACT_KILLS of them, else 50). What it acknowledged is there
// after each, once, and no transaction is there in part.
func TestKills(t *testing.T) {
	kills, dir, m := 50, t.TempDir(), model(t)
	if n, err := strconv.Atoi(os.Getenv("TRANSACT_KILLS")); err == nil {
		kills = n
	}
	random := rand.New(rand.NewPCG(7, 7))
	acked, under := uint64(0), 0
	for range kills {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "TRANSACT_CHILD="+dir)
		c.Stderr = os.Stderr
		out, err := c.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, c.Start())
		lines := bufio.NewReader(out)
		for range 1 + random.IntN(12) { // killed at some moment after so many
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
		_ = c.Wait() // it was killed
		o, err := open(vfs.Default, dir, m, time.Now)
		require.NoError(t, err)
		o.Look(func(s *datastore.Store) {
			require.GreaterOrEqual(t, s.Last(), acked, "nothing acknowledged is lost")
			require.LessOrEqual(t, s.Last(), acked+1, "nothing is doubled")
			if s.Last() > acked {
				under++
			}
			running, err := s.Get(datastore.Running)
			require.NoError(t, err)
			wait, _ := running.Get("limits").Leaf("max-wait")
			require.Equal(t, strconv.FormatUint(s.Last(), 10), wait)
			if classes := running.Get("classes"); classes != nil {
				newest := classes.Get("class", "a"+wait)
				require.NotNil(t, newest)
				deadline, _ := newest.Leaf("deadline")
				require.Equal(t, wait, deadline)
			}
		})
		require.NoError(t, o.Journal.Close())
	}
	t.Logf("%d kills, %d transactions acknowledged, %d found that were under way", kills, acked, under)
}
