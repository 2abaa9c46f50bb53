package store

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const patience = 30 * time.Second // only a failure takes so long

// cluster is three replicas on loopback.
type cluster struct {
	t       *testing.T
	dir     string
	members []Member
	stores  []*Store // nil while one is down
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), stores: make([]*Store, 3)}
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

// start brings a replica up, again where it was before.
func (c *cluster) start(i int, l net.Listener) {
	var err error
	if l == nil {
		l, err = net.Listen("tcp", c.members[i].Address)
		require.NoError(c.t, err)
	}
	m := c.members[i]
	dir := filepath.Join(c.dir, m.ID)
	c.stores[i], err = Open(Config{ID: m.ID, Bind: m.Address, Listener: l, Dir: dir, Members: c.members, Fast: true,
		Log: slog.New(slog.DiscardHandler)})
	require.NoError(c.t, err)
}

func (c *cluster) stop(i int) {
	if c.stores[i] != nil {
		require.NoError(c.t, c.stores[i].Close())
		c.stores[i] = nil
	}
}

// leader waits until a replica leads, and returns it and one that follows.
func (c *cluster) leader() (leader, follower int) {
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		leader, follower = -1, -1
		for i, s := range c.stores {
			if s != nil && s.Leads() {
				leader = i
			} else if s != nil {
				follower = i
			}
		}
		if leader >= 0 {
			return leader, follower
		}
		time.Sleep(time.Millisecond) // there is no event to wait for: a poll of three replicas
	}
	require.Fail(c.t, "no leader")
	return 0, 0
}

// set writes a value, again while an election is under way.
func (c *cluster) set(i int, path, value string) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		rev, err := c.stores[i].Apply(ctx, Change{Ops: []Op{{Path: path, Value: value}}})
		if !errors.Is(err, ErrNoLeader) || ctx.Err() != nil {
			require.NoError(c.t, err)
			return rev
		}
	}
}

// has waits until a replica knows a value.
func (c *cluster) has(i int, path, value string) {
	changes, cancel := c.stores[i].Watch()
	defer cancel()
	timeout := time.After(patience)
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

func TestReplicas(t *testing.T) {
	c := newCluster(t)
	leader, follower := c.leader()
	c.set(leader, "/x", "1")
	c.set(follower, "/y", "2") // handed on to the leader
	for i := range c.stores {
		c.has(i, "/x", "1")
		c.has(i, "/y", "2")
	}

	// The leader is lost: another takes over and nothing that was written is.
	c.stop(leader)
	next, other := c.leader()
	require.NotEqual(t, leader, next)
	c.has(next, "/y", "2")
	c.set(other, "/x", "3")

	// A replica that was away has all of it once it is back, by snapshot as well.
	for n := range 3 * snapshotThreshold {
		c.set(next, "/n", string(rune('a'+n%26)))
	}
	require.NoError(t, c.stores[next].raft.Snapshot().Error())
	c.start(leader, nil)
	c.has(leader, "/x", "3")
	c.has(leader, "/n", string(rune('a'+(3*snapshotThreshold-1)%26)))

	// Without a majority nothing is written, and it is not said to be.
	lead, follow := c.leader()
	for i := range c.stores {
		if i != lead && i != follow {
			c.stop(i)
		}
	}
	c.stop(lead)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := c.stores[follow].Apply(ctx, Change{Ops: []Op{{Path: "/x", Value: "lost"}}})
	require.ErrorIs(t, err, ErrNoLeader)
	c.has(follow, "/x", "3")
}

func TestStaleWrite(t *testing.T) {
	c := newCluster(t)
	leader, follower := c.leader()
	rev := c.set(leader, "/x", "1")
	c.set(leader, "/x", "2")
	for _, i := range []int{leader, follower} {
		_, err := c.stores[i].Apply(context.Background(), Change{Ops: []Op{{Path: "/x", Value: "old"}}, If: rev})
		require.ErrorIs(t, err, ErrStale)
	}
	next, err := c.stores[leader].Apply(context.Background(), Change{Ops: []Op{{Path: "/x", Delete: true}}, If: rev + 1})
	require.NoError(t, err)
	require.Equal(t, rev+2, next)
	_, ok := c.stores[leader].Get("/x")
	require.False(t, ok)
}

// TestAlone: on the platform the store is one member in memory, without a port.
func TestAlone(t *testing.T) {
	s, err := Open(Config{ID: "n0", Fast: true, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	c := &cluster{t: t, stores: []*Store{s}}
	c.leader()
	changes, cancel := s.Watch()
	defer cancel()
	c.set(0, "/x", "a\x00\"b")
	require.Equal(t, []Op{{Path: "/x", Value: "a\x00\"b"}}, <-changes)
	require.Nil(t, s.layer)
	c.stop(0)
}
