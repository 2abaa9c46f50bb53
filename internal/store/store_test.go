package store

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testTimeout = 30 * time.Second // reached only on failure

// cluster holds three replicas on loopback, with their logs in dir.
type cluster struct {
	t       *testing.T
	dir     string // empty: the logs are in memory
	members []Member
	stores  []*Store // nil: stopped
}

// newCluster starts three replicas, which stop at the end of the test.
func newCluster(t *testing.T) *cluster { return startCluster(t, t.TempDir()) }

// newMemoryCluster is newCluster with the logs in memory.
func newMemoryCluster(t *testing.T) *cluster { return startCluster(t, "") }

func startCluster(t *testing.T, dir string) *cluster {
	c := &cluster{t: t, dir: dir, stores: make([]*Store, 3)}
	var listeners []net.Listener
	for _, id := range []string{"a", "b", "c"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		c.members = append(c.members, Member{id, l.Addr().String()})
	}
	for i, l := range listeners {
		c.start(i, l)
	}
	t.Cleanup(func() {
		for i := range c.stores {
			c.stop(i)
		}
	})
	return c
}

// start starts a replica, on its former address and directory if it ran before. Without l, it opens its own listener.
func (c *cluster) start(i int, l net.Listener) {
	var err error
	if l == nil {
		l, err = net.Listen("tcp", c.members[i].Address)
		require.NoError(c.t, err)
	}
	m := c.members[i]
	dir := c.dir
	if dir != "" {
		dir = filepath.Join(dir, m.ID)
	}
	c.stores[i], err = Open(Config{ID: m.ID, Bind: m.Address, Listener: l, Dir: dir, Members: c.members, ShortTimeouts: true,
		Log: slog.New(slog.DiscardHandler)})
	require.NoError(c.t, err)
}

func (c *cluster) stop(i int) {
	if c.stores[i] != nil {
		require.NoError(c.t, c.stores[i].Close())
		c.stores[i] = nil
	}
}

// loseDisk removes the files of a replica that is stopped.
func (c *cluster) loseDisk(i int) {
	require.NoError(c.t, os.RemoveAll(filepath.Join(c.dir, c.members[i].ID)))
}

// waitRecovered waits until replica i has caught up.
func (c *cluster) waitRecovered(i int) {
	require.Eventually(c.t, func() bool { return !c.stores[i].guard.recovering.Load() }, testTimeout, time.Millisecond, "replica %d", i)
}

// waitLeader waits for a leader, and returns the indexes of the leader and of one follower.
func (c *cluster) waitLeader() (leader, follower int) {
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		leader, follower = -1, -1
		for i, s := range c.stores {
			if s != nil && s.IsLeader() {
				leader = i
			} else if s != nil {
				follower = i
			}
		}
		if leader >= 0 {
			return leader, follower
		}
		time.Sleep(time.Millisecond) // polls, as replicas report no event on election
	}
	require.Fail(c.t, "no leader")
	return 0, 0
}

// set writes a value through replica i, and retries during an election. It returns the revision.
func (c *cluster) set(i int, path, value string) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		rev, err := c.stores[i].Apply(ctx, Change{Ops: []Op{{Path: path, Value: value}}})
		if !errors.Is(err, ErrNoLeader) || ctx.Err() != nil {
			require.NoError(c.t, err)
			return rev
		}
	}
}

// waitValue waits until replica i has the value.
func (c *cluster) waitValue(i int, path, value string) {
	changes, cancel := c.stores[i].Watch()
	defer cancel()
	timeout := time.After(testTimeout)
	for {
		if v, ok := c.stores[i].Get(path); ok && v == value {
			return
		}
		select {
		case <-changes:
		case <-timeout:
			v, _ := c.stores[i].Get(path)
			require.Equal(c.t, value, v, "replica %d, %s", i, path)
		}
	}
}

// TestReplicas checks that three replicas hold the same values, that writes survive the loss of the leader, that a
// restarted replica catches up, and that a write without a majority fails.
func TestReplicas(t *testing.T) {
	c := newCluster(t)
	leader, follower := c.waitLeader()
	c.set(leader, "/x", "1")
	c.set(follower, "/y", "2") // forwarded to the leader
	for i := range c.stores {
		c.waitValue(i, "/x", "1")
		c.waitValue(i, "/y", "2")
	}

	// After the loss of the leader, another is elected and no write is lost.
	c.stop(leader)
	newLeader, newFollower := c.waitLeader()
	require.NotEqual(t, leader, newLeader)
	c.waitValue(newLeader, "/y", "2")
	c.set(newFollower, "/x", "3")

	// A restarted replica catches up, also from a snapshot.
	for n := range 3 * snapshotThreshold {
		c.set(newLeader, "/n", string(rune('a'+n%26)))
	}
	require.NoError(t, c.stores[newLeader].raft.Load().Snapshot().Error())
	c.start(leader, nil)
	c.waitValue(leader, "/x", "3")
	c.waitValue(leader, "/n", string(rune('a'+(3*snapshotThreshold-1)%26)))

	// Without a majority, a write fails with ErrNoLeader and does not take effect.
	lead, follow := c.waitLeader()
	for i := range c.stores {
		if i != lead && i != follow {
			c.stop(i)
		}
	}
	c.stop(lead)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := c.stores[follow].Apply(ctx, Change{Ops: []Op{{Path: "/x", Value: "lost"}}})
	require.ErrorIs(t, err, ErrNoLeader)
	c.waitValue(follow, "/x", "3")
}

// TestStaleWrite checks that a change for an earlier revision is rejected on the leader and on a follower, and that one
// for the current revision applies.
func TestStaleWrite(t *testing.T) {
	c := newCluster(t)
	leader, follower := c.waitLeader()
	rev := c.set(leader, "/x", "1")
	c.set(leader, "/x", "2")
	for _, i := range []int{leader, follower} {
		_, err := c.stores[i].Apply(context.Background(), Change{Ops: []Op{{Path: "/x", Value: "old"}}, IfRevision: rev})
		require.ErrorIs(t, err, ErrStale)
	}
	next, err := c.stores[leader].Apply(context.Background(), Change{Ops: []Op{{Path: "/x", Delete: true}}, IfRevision: rev + 1})
	require.NoError(t, err)
	require.Equal(t, rev+2, next)
	_, ok := c.stores[leader].Get("/x")
	require.False(t, ok)
}

// TestAlone covers the single member in memory, as on the platform: it opens no port. The value holds characters that
// JSON escapes.
func TestAlone(t *testing.T) {
	s, err := Open(Config{ID: "n0", ShortTimeouts: true, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	c := &cluster{t: t, stores: []*Store{s}}
	c.waitLeader()
	changes, cancel := s.Watch()
	defer cancel()
	c.set(0, "/x", "a\x00\"b")
	require.Equal(t, []Op{{Path: "/x", Value: "a\x00\"b"}}, <-changes)
	require.Nil(t, s.layer)
	c.stop(0)
}
