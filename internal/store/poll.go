package store

import (
	"errors"
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// pollTerm marks the pre-votes of a logPoll. No election reaches this term.
	pollTerm = math.MaxUint64
	// awayAfter is how long a member is silent until it counts as away. A member that restarts is back sooner.
	awayAfter = 10 * time.Second
)

// logPosition is the position of a log's last entry. Raft compares logs by term, then by index.
type logPosition struct{ index, term uint64 }

// bootstrapPosition is that of a log that holds the first configuration only.
var bootstrapPosition = logPosition{index: 1, term: 1}

// logReply is a member's reply to a logPoll.
type logReply int

const (
	replySilent   logReply = iota // none in time
	replyRefused                  // nothing listens at the member's address
	replyNewer                    // its log is newer, or it has a leader
	replyNotNewer                 // its log is not newer
)

// logPoll asks the other members whether they have a newer log than a given one. It sends Raft's own pre-vote request,
// which changes no state at its receiver.
type logPoll struct {
	transport raft.WithPreVote
	header    raft.RPCHeader
	others    []raft.Server
	onDisk    bool          // a member that doesn't run still has its log
	timeout   time.Duration // for the replies

	mu          sync.Mutex
	silentSince map[raft.ServerID]time.Time
}

// noneNewer reports whether no other member has a newer log than the one at the position, which belongs to candidate.
// A majority of the members has to be there, and the others have to be away.
func (p *logPoll) noneNewer(position logPosition, candidate raft.ServerID) bool {
	replies := p.askAll(position, candidate)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decide(replies, candidate, time.Now())
}

// decide evaluates the replies of the members other than the candidate. The caller holds mu.
func (p *logPoll) decide(replies map[raft.ServerID]logReply, candidate raft.ServerID, now time.Time) bool {
	present := 1 // this member
	allowed := true
	for _, m := range p.others {
		if m.ID == candidate {
			present++
			continue
		}
		reply := replies[m.ID]
		if reply == replyNotNewer {
			present++
		}
		if reply == replyNewer || !p.isAccountedFor(m.ID, reply, now) {
			allowed = false
		}
	}
	members := len(p.others) + 1
	return allowed && 2*present > members
}

// isAccountedFor reports whether a member has replied or is away. The caller holds mu.
func (p *logPoll) isAccountedFor(id raft.ServerID, reply logReply, now time.Time) bool {
	lostWithProcess := reply == replyRefused && !p.onDisk
	if reply == replyNewer || reply == replyNotNewer || lostWithProcess {
		delete(p.silentSince, id)
		return true
	}
	since, ok := p.silentSince[id]
	if !ok {
		p.silentSince[id] = now
		return false
	}
	return now.Sub(since) >= awayAfter
}

// askAll asks all other members but the candidate at once and returns the replies in time.
func (p *logPoll) askAll(position logPosition, candidate raft.ServerID) map[raft.ServerID]logReply {
	type memberReply struct {
		id    raft.ServerID
		reply logReply
	}
	results := make(chan memberReply, len(p.others))
	asked := 0
	for _, m := range p.others {
		if m.ID == candidate {
			continue
		}
		asked++
		go func() { results <- memberReply{m.ID, p.ask(m, position)} }()
	}
	replies := map[raft.ServerID]logReply{}
	timeout := time.After(p.timeout)
	for range asked {
		select {
		case r := <-results:
			replies[r.id] = r.reply
		case <-timeout:
			return replies
		}
	}
	return replies
}

// ask asks one member.
func (p *logPoll) ask(m raft.Server, position logPosition) logReply {
	request := &raft.RequestPreVoteRequest{RPCHeader: p.header, Term: pollTerm, LastLogIndex: position.index, LastLogTerm: position.term}
	var response raft.RequestPreVoteResponse
	err := p.transport.RequestPreVote(m.ID, m.Address, request, &response)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return replyRefused
	case err != nil:
		return replySilent
	case response.Granted:
		return replyNotNewer
	}
	return replyNewer
}
