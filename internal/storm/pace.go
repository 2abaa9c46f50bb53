package storm

import (
	"fmt"
	"time"
)

// Pace is the rate limit of new connections.
type Pace struct {
	PerSecond float64 // of all caller groups together
	Burst     int     // maximum number admitted at once
	Waiting   int     // maximum number of queued connections
}

// Limits of a Pacer's tables and queues.
const (
	maxPacedGroups = 256             // caller groups tracked at a time
	sharedQueues   = 64              // additional queues, shared by the groups beyond maxPacedGroups
	pacedGroupTTL  = 5 * time.Second // idle time after which a group may be dropped
	maxPacedWait   = 2 * time.Second // longer waits are useless: the caller has timed out
)

// Pacer limits the rate of new connections, with fair queueing between caller groups: the next token goes to the
// group with the lowest recent rate, so that a group with thousands of reconnects only delays itself. Create it with
// NewPacer. It is not safe for concurrent use.
type Pacer struct {
	Pace
	tokens    float64
	updatedAt time.Duration
	started   bool
	groups    map[uint64]*pacedGroup
	queued    int
	Rejected  int // connections rejected because the queue was full
}

// pacedGroup holds the recent rate and the queue of a caller group.
type pacedGroup struct {
	served rate
	queue  []Waiter
}

// Waiter is a queued connection.
type Waiter struct {
	ID       uint64
	deadline time.Duration
}

// NewPacer returns a Pacer, or an error if the pace is invalid.
func NewPacer(p Pace) (*Pacer, error) {
	if p.PerSecond <= 0 || p.Burst < 1 || p.Waiting < 0 {
		return nil, fmt.Errorf("storm: invalid pace: %v per second, burst %d, %d waiting", p.PerSecond, p.Burst, p.Waiting)
	}
	return &Pacer{Pace: p, groups: map[uint64]*pacedGroup{}}, nil
}

// refill adds the tokens accrued since the last update.
func (p *Pacer) refill(now time.Duration) {
	if !p.started {
		p.started, p.tokens, p.updatedAt = true, float64(p.Burst), now
	}
	if now > p.updatedAt {
		p.tokens = min(float64(p.Burst), p.tokens+p.PerSecond*(now-p.updatedAt).Seconds())
		p.updatedAt = now
	}
}

// group returns the state of a caller group. Beyond maxPacedGroups, groups are mapped by hash to shared queues and
// share the tokens of their queue too.
func (p *Pacer) group(now time.Duration, hash uint64) *pacedGroup {
	if g := p.groups[hash]; g != nil {
		return g
	}
	if len(p.groups) >= maxPacedGroups {
		for h, g := range p.groups {
			if len(g.queue) == 0 && now-g.served.at > pacedGroupTTL {
				delete(p.groups, h)
			}
		}
	}
	if len(p.groups) >= maxPacedGroups {
		if hash %= sharedQueues; p.groups[hash] != nil {
			return p.groups[hash]
		}
	}
	g := &pacedGroup{}
	p.groups[hash] = g
	return g
}

// Arrive handles a new connection of a caller group: it is served at once, or it is queued and waits until Next returns
// its id, or it is rejected, with both results false.
func (p *Pacer) Arrive(now time.Duration, hash, id uint64) (served, waits bool) {
	p.refill(now)
	g := p.group(now, hash)
	if p.tokens >= 1 && p.queued == 0 {
		p.tokens--
		g.served.add(now, 1, fastSpan)
		return true, false
	}
	if p.queued >= p.Waiting || len(g.queue) > p.Waiting/2 {
		p.Rejected++ // a group may use about half of the queue; the rest is for other groups
		return false, false
	}
	g.queue = append(g.queue, Waiter{id, now + maxPacedWait})
	p.queued++
	return false, true
}

// Next removes and returns the queued connections that are served now and those whose wait has expired, and how long
// to wait before the next call: 0 if the queue is empty.
func (p *Pacer) Next(now time.Duration) (served, expired []uint64, retryIn time.Duration) {
	p.refill(now)
	for p.queued > 0 {
		var next *pacedGroup
		var lowest float64
		for _, g := range p.groups {
			for len(g.queue) > 0 && now >= g.queue[0].deadline {
				expired = append(expired, g.queue[0].ID)
				g.queue = g.queue[1:]
				p.queued--
			}
			if len(g.queue) == 0 {
				continue
			}
			if r := g.served.get(now, fastSpan); next == nil || r < lowest || r == lowest && g.queue[0].ID < next.queue[0].ID {
				next, lowest = g, r
			}
		}
		if next == nil {
			break
		}
		if p.tokens < 1 {
			return served, expired, max(time.Millisecond, time.Duration((1-p.tokens)/p.PerSecond*float64(time.Second)))
		}
		p.tokens--
		served = append(served, next.queue[0].ID)
		next.queue = next.queue[1:]
		next.served.add(now, 1, fastSpan)
		p.queued--
	}
	return served, expired, 0
}
