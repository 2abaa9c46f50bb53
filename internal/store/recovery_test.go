package store

import (
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// scriptedMember plays a member: it answers pre-votes as a member whose log ends at a position.
type scriptedMember struct {
	*raft.NetworkTransport
	id   string
	last logPosition
}

// newScriptedMember starts a member on loopback.
func newScriptedMember(t *testing.T, id string, last logPosition) *scriptedMember {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &scriptedMember{raft.NewNetworkTransport(newStreamLayer(l), maxPooledConns, transportTimeout, logWriter{slog.New(slog.DiscardHandler)}), id, last}
	done := make(chan struct{})
	t.Cleanup(func() {
		close(done)
		require.NoError(t, m.Close())
	})
	go func() {
		for {
			select {
			case rpc := <-m.Consumer():
				m.answer(rpc)
			case <-done:
				return
			}
		}
	}()
	return m
}

// answer answers a pre-vote as Raft does, and refuses all else.
func (m *scriptedMember) answer(rpc raft.RPC) {
	request, ok := rpc.Command.(*raft.RequestPreVoteRequest)
	if !ok {
		rpc.Respond(&raft.RequestVoteResponse{RPCHeader: m.header()}, nil)
		return
	}
	newer := m.last.term > request.LastLogTerm || m.last.term == request.LastLogTerm && m.last.index > request.LastLogIndex
	rpc.Respond(&raft.RequestPreVoteResponse{RPCHeader: m.header(), Term: request.Term, Granted: !newer}, nil)
}

func (m *scriptedMember) header() raft.RPCHeader {
	return raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte(m.id), Addr: []byte(m.LocalAddr())}
}

func (m *scriptedMember) member() Member { return Member{m.id, string(m.LocalAddr())} }

// stands asks a member for its vote, and reports whether it is granted.
func (m *scriptedMember) stands(t *testing.T, voter Member, term uint64) bool {
	request := &raft.RequestVoteRequest{RPCHeader: m.header(), Term: term, LastLogIndex: m.last.index, LastLogTerm: m.last.term}
	var response raft.RequestVoteResponse
	require.NoError(t, m.RequestVote(raft.ServerID(voter.ID), raft.ServerAddress(voter.Address), request, &response))
	return response.Granted
}

// openMember opens a member without a log.
func openMember(t *testing.T, id string, others ...Member) (*Store, Member) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := Member{id, l.Addr().String()}
	s, err := Open(Config{ID: id, Bind: m.Address, Listener: l, Members: append(others, m), ShortTimeouts: true,
		Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return s, m
}

// TestEmptyMemberVotes guards against the loss of an acknowledged change: a member that has lost its log elected
// another one that had lost its own too, while a third one still had the change.
func TestEmptyMemberVotes(t *testing.T) {
	const term = 1 << 40 // above that of any other candidate
	survivor := newScriptedMember(t, "a", logPosition{3, 2})
	empty := newScriptedMember(t, "b", bootstrapPosition)
	_, voter := openMember(t, "c", survivor.member(), empty.member())
	require.False(t, empty.stands(t, voter, term), "elects a member without a log")
	require.True(t, survivor.stands(t, voter, term+1), "does not elect the member that has the log")
}

// TestStaleCandidate guards against the loss of an acknowledged change: a member that has lost its log elected one
// that lags behind, while a third one still had the change.
func TestStaleCandidate(t *testing.T) {
	const term = 1 << 40 // above that of any other candidate
	stale := newScriptedMember(t, "a", logPosition{3, 2})
	current := newScriptedMember(t, "b", logPosition{4, 2})
	_, voter := openMember(t, "c", stale.member(), current.member())
	require.False(t, stale.stands(t, voter, term), "elects a member that lags behind")
	require.True(t, current.stands(t, voter, term+1), "does not elect the member with the newest log")
}

// TestSilentMember guards against a second history of the store: two members without a log started again while the third
// one, which had the log, was alive and could not be reached.
func TestSilentMember(t *testing.T) {
	p := &logPoll{others: []raft.Server{{ID: "a"}, {ID: "b"}}, silentSince: map[raft.ServerID]time.Time{}}
	start := time.Now()
	silent := map[raft.ServerID]logReply{"a": replyNotNewer, "b": replySilent}
	require.False(t, p.decide(silent, "c", start))
	require.False(t, p.decide(silent, "c", start.Add(awayAfter-1)))
	require.True(t, p.decide(silent, "c", start.Add(awayAfter)), "a member that stays away")

	refused := map[raft.ServerID]logReply{"a": replyNotNewer, "b": replyRefused}
	require.True(t, p.decide(refused, "c", start), "a member that has ended, in memory")
	p.onDisk = true
	require.False(t, p.decide(refused, "c", start), "a member that has ended, with its log on disk")
	require.False(t, p.decide(map[raft.ServerID]logReply{"a": replyRefused, "b": replyRefused}, "c", start.Add(awayAfter)), "no majority")
}

// TestOtherHistory guards against members that go on with different values: entries of a new cluster replaced applied
// ones in the log, and what those had changed stayed.
func TestOtherHistory(t *testing.T) {
	c := newMemoryCluster(t)
	leader, follower := c.waitLeader()
	c.set(leader, "/x", "1")
	c.waitValue(follower, "/x", "1")
	s := c.stores[follower]
	caughtUp := func() bool {
		last := s.raft.Load().LastIndex()
		return last > 0 && s.raft.Load().AppliedIndex() == last
	}
	require.Eventually(t, caughtUp, testTimeout, time.Millisecond) // a value can be read before its index counts as applied
	applied := s.raft.Load().AppliedIndex()
	entry := func(index, term uint64) *raft.AppendEntriesRequest {
		return &raft.AppendEntriesRequest{Entries: []*raft.Log{{Index: index, Term: term}}}
	}
	var own raft.Log
	require.NoError(t, s.setup.logs.GetLog(applied, &own))
	require.False(t, s.guard.contradictsApplied(entry(applied, own.Term)))
	require.True(t, s.guard.contradictsApplied(entry(applied, own.Term+1)))
	require.False(t, s.guard.contradictsApplied(entry(applied+100, own.Term+1)))
}

// TestMembersInMemoryReturn checks that members in memory that are stopped come back with the values of the others: one
// by one while the other two take changes, two of three at once, with the leader and without it. Members that were all
// stopped start anew.
func TestMembersInMemoryReturn(t *testing.T) {
	c := newMemoryCluster(t)
	leader, _ := c.waitLeader()
	c.set(leader, "/kept", "1")
	for i := range c.stores {
		c.waitValue(i, "/kept", "1")
	}
	for i := range c.stores {
		c.stop(i)
		lead, _ := c.waitLeader()
		c.set(lead, "/away", c.members[i].ID)
		c.start(i, nil)
		c.waitValue(i, "/away", c.members[i].ID)
		c.waitRecovered(i)
	}
	for survivor := range c.stores {
		c.waitLeader()
		for i := range c.stores {
			if i != survivor {
				c.stop(i)
			}
		}
		for i := range c.stores {
			if i != survivor {
				c.start(i, nil)
			}
		}
		for i := range c.stores {
			c.waitValue(i, "/kept", "1")
			c.waitRecovered(i)
		}
	}
	formerTerm := c.stores[0].raft.Load().CurrentTerm()
	for i := range c.stores {
		c.stop(i)
	}
	c.start(0, nil)
	c.start(1, nil) // the third one stays away
	leader, _ = c.waitLeader()
	require.Greater(t, c.stores[leader].raft.Load().CurrentTerm(), formerTerm, "entries look like those of the former cluster")
	_, ok := c.stores[leader].Get("/kept")
	require.False(t, ok)
	c.set(leader, "/new", "1")
	c.start(2, nil)
	c.waitValue(2, "/new", "1")
}

// TestDiskLost checks that a member whose log on disk was lost takes over that of the others, and that members whose
// logs are there start again from them.
func TestDiskLost(t *testing.T) {
	c := newCluster(t)
	leader, _ := c.waitLeader()
	c.set(leader, "/x", "1")
	for i := range c.stores {
		c.waitValue(i, "/x", "1")
	}
	for i := range c.stores {
		c.stop(i)
	}
	c.loseDisk(0)
	for i := range c.stores {
		c.start(i, nil)
	}
	for i := range c.stores {
		c.waitValue(i, "/x", "1")
		c.waitRecovered(i)
	}
}

// TestInterruptedRecovery guards against votes of a member that was stopped while it caught up: it has a log on disk, and
// lacks acknowledged changes.
func TestInterruptedRecovery(t *testing.T) {
	c := newCluster(t)
	leader, _ := c.waitLeader()
	c.set(leader, "/x", "1")
	c.waitRecovered(0)
	require.NoError(t, c.stores[0].setup.stable.SetUint64(recoveringKey, 1))
	for i := range c.stores {
		c.stop(i)
	}
	c.start(0, nil)
	require.True(t, c.stores[0].guard.recovering.Load())
	c.start(1, nil)
	c.start(2, nil)
	c.waitRecovered(0)
	c.waitValue(0, "/x", "1")
}

// TestFormerStore checks that a store on disk that the program wrote before members recovered their logs is read. It
// has one member, a, in testdata.
func TestFormerStore(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS("testdata/single-member")))
	s, err := Open(Config{ID: "a", Bind: "127.0.0.1:0", Dir: dir, Members: []Member{{"a", "127.0.0.1:7000"}}, ShortTimeouts: true,
		Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	c := &cluster{t: t, stores: []*Store{s}}
	c.waitLeader()
	c.waitValue(0, "/x", "1")
	c.waitValue(0, "/y", "2")
	c.set(0, "/x", "3")
	c.stop(0)
}
