package store

import (
	"errors"
	"log/slog"
	"sync/atomic"

	"github.com/hashicorp/raft"
)

// errRecovering is returned for requests that a member may not send while it recovers.
var errRecovering = errors.New("store: the member recovers its log")

// errOtherHistory reports that a leader's log contradicts changes that this member has applied: the other members have
// started again without them.
var errOtherHistory = errors.New("store: the leader's log contradicts applied changes: restart this member without its log")

// raftTransport is what Raft needs of the transport between the members.
type raftTransport interface {
	raft.Transport
	raft.WithPreVote
}

// voteGuard is the transport of a member that may have lost its log. Raft takes for granted that a member keeps what
// it has acknowledged; one that has lost it could elect a leader that lacks acknowledged changes. Until the member has
// caught up, the guard lets it vote only for a log than which no member has a newer one, and not stand for election.
type voteGuard struct {
	raftTransport
	poll     *logPoll
	log      *slog.Logger
	logs     raft.LogStore
	raft     *atomic.Pointer[raft.Raft]
	caughtUp func() // called once when a recovering member has caught up

	recovering atomic.Bool
	incoming   chan raft.RPC
	done       chan struct{}
}

// Consumer implements raft.Transport.
func (g *voteGuard) Consumer() <-chan raft.RPC { return g.incoming }

// RequestVote implements raft.Transport.
func (g *voteGuard) RequestVote(id raft.ServerID, target raft.ServerAddress, args *raft.RequestVoteRequest,
	resp *raft.RequestVoteResponse) error {
	if g.recovering.Load() {
		return errRecovering
	}
	return g.raftTransport.RequestVote(id, target, args, resp)
}

// RequestPreVote implements raft.WithPreVote.
func (g *voteGuard) RequestPreVote(id raft.ServerID, target raft.ServerAddress, args *raft.RequestPreVoteRequest,
	resp *raft.RequestPreVoteResponse) error {
	if g.recovering.Load() {
		return errRecovering
	}
	return g.raftTransport.RequestPreVote(id, target, args, resp)
}

// run passes the requests of other members to Raft, until the guard is closed.
func (g *voteGuard) run() {
	for {
		select {
		case rpc := <-g.raftTransport.Consumer():
			g.dispatch(rpc)
		case <-g.done:
			return
		}
	}
}

// dispatch passes a request to Raft or refuses it.
func (g *voteGuard) dispatch(rpc raft.RPC) {
	switch request := rpc.Command.(type) {
	case *raft.AppendEntriesRequest:
		if g.contradictsApplied(request) {
			g.log.Error("store", "error", errOtherHistory)
			rpc.Respond(&raft.AppendEntriesResponse{RPCHeader: g.poll.header}, errOtherHistory)
			return
		}
		if g.recovering.Load() && isInStep(g.raft.Load(), request) {
			g.caughtUp()
		}
	case *raft.RequestVoteRequest:
		if g.recovering.Load() {
			go g.checkVote(rpc, raft.ServerID(request.ID), logPosition{request.LastLogIndex, request.LastLogTerm},
				&raft.RequestVoteResponse{RPCHeader: g.poll.header, Term: request.Term})
			return
		}
	case *raft.RequestPreVoteRequest:
		if g.recovering.Load() && request.Term != pollTerm {
			go g.checkVote(rpc, raft.ServerID(request.ID), logPosition{request.LastLogIndex, request.LastLogTerm},
				&raft.RequestPreVoteResponse{RPCHeader: g.poll.header, Term: request.Term})
			return
		}
	}
	g.forward(rpc)
}

// forward passes a request to Raft.
func (g *voteGuard) forward(rpc raft.RPC) {
	select {
	case g.incoming <- rpc:
	case <-g.done:
		rpc.Respond(nil, raft.ErrTransportShutdown)
	}
}

// checkVote passes a candidate's request to Raft if no other member has a newer log than the candidate, and answers it
// with the refusal otherwise.
func (g *voteGuard) checkVote(rpc raft.RPC, candidate raft.ServerID, position logPosition, refusal any) {
	if g.poll.noneNewer(position, candidate) {
		g.forward(rpc)
		return
	}
	rpc.Respond(refusal, nil)
}

// isInStep reports whether a member has all that its leader has, and the leader has committed that in its own term.
func isInStep(r *raft.Raft, request *raft.AppendEntriesRequest) bool {
	return request.PrevLogEntry > 0 && request.PrevLogEntry == r.LastIndex() &&
		request.PrevLogTerm == request.Term && request.LeaderCommitIndex >= request.PrevLogEntry
}

// contradictsApplied reports whether entries of a leader differ from those that this member has applied. Raft would
// replace them in the log, but what they changed would stay.
func (g *voteGuard) contradictsApplied(request *raft.AppendEntriesRequest) bool {
	applied := g.raft.Load().AppliedIndex()
	for _, entry := range request.Entries {
		if entry.Index > applied {
			return false
		}
		var own raft.Log
		if err := g.logs.GetLog(entry.Index, &own); err == nil && own.Term != entry.Term {
			return true
		}
	}
	return false
}
