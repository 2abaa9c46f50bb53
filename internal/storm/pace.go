package storm

import (
	"fmt"
	"time"
)

// Pace is that of new connections.
type Pace struct {
	PerSecond float64 // in all
	Burst     int     // that may come at once
	Waiting   int     // that may wait for their turn
}

const (
	mostPaced   = 256 // caller groups followed at a time
	sharedLines = 64  // and lines for those over that
	pacedForget = 5 * time.Second
	pacedLatest = 2 * time.Second // nobody waits longer: its caller gives up
)

// Pacer gives new connections their turn, with fair shares between caller groups: the next turn goes to the group
// that had the fewest of late, so that one which reconnects by thousands waits behind itself. Use NewPacer. It is
// not safe for concurrent use.
type Pacer struct {
	Pace
	tokens  float64
	at      time.Duration
	begun   bool
	groups  map[uint64]*paced
	waiting int
	Refused int // connections without a place to wait
}

// paced is what a group had of late.
type paced struct {
	taken   rate
	waiting []Turn
}

// Turn is a connection that waits.
type Turn struct {
	ID    uint64
	until time.Duration
}

// NewPacer returns a Pacer, or an error that names what can't be served.
func NewPacer(p Pace) (*Pacer, error) {
	if p.PerSecond <= 0 || p.Burst < 1 || p.Waiting < 0 {
		return nil, fmt.Errorf("storm: a pace of %v a second in bursts of %d, %d waiting", p.PerSecond, p.Burst, p.Waiting)
	}
	return &Pacer{Pace: p, groups: map[uint64]*paced{}}, nil
}

// fill adds the turns that have come.
func (p *Pacer) fill(now time.Duration) {
	if !p.begun {
		p.begun, p.tokens, p.at = true, float64(p.Burst), now
	}
	if now > p.at {
		p.tokens = min(float64(p.Burst), p.tokens+p.PerSecond*(now-p.at).Seconds())
		p.at = now
	}
}

// group is a caller group's line. Where too many are followed, those that share a line by their hash share its
// turns too.
func (p *Pacer) group(now time.Duration, hash uint64) *paced {
	if g := p.groups[hash]; g != nil {
		return g
	}
	if len(p.groups) >= mostPaced {
		for h, g := range p.groups {
			if len(g.waiting) == 0 && now-g.taken.at > pacedForget {
				delete(p.groups, h)
			}
		}
	}
	if len(p.groups) >= mostPaced {
		if hash %= sharedLines; p.groups[hash] != nil {
			return p.groups[hash]
		}
	}
	g := &paced{}
	p.groups[hash] = g
	return g
}

// Come takes a new connection. It is served now, or waits until Next names it, or has no place at all.
func (p *Pacer) Come(now time.Duration, hash, id uint64) (served, waits bool) {
	p.fill(now)
	g := p.group(now, hash)
	if p.tokens >= 1 && p.waiting == 0 {
		p.tokens--
		g.taken.add(now, 1, fast)
		return true, false
	}
	if p.waiting >= p.Waiting || len(g.waiting) > p.Waiting/2 {
		p.Refused++ // half the places are for other groups
		return false, false
	}
	g.waiting = append(g.waiting, Turn{id, now + pacedLatest})
	p.waiting++
	return false, true
}

// Next returns the connections whose turn has come, those that have waited too long, and when to ask again: 0
// if none waits.
func (p *Pacer) Next(now time.Duration) (served, late []uint64, again time.Duration) {
	p.fill(now)
	for p.waiting > 0 {
		var next *paced
		var least float64
		for _, g := range p.groups {
			for len(g.waiting) > 0 && now >= g.waiting[0].until {
				late = append(late, g.waiting[0].ID)
				g.waiting = g.waiting[1:]
				p.waiting--
			}
			if len(g.waiting) == 0 {
				continue
			}
			if had := g.taken.get(now, fast); next == nil || had < least || had == least && g.waiting[0].ID < next.waiting[0].ID {
				next, least = g, had
			}
		}
		if next == nil {
			break
		}
		if p.tokens < 1 {
			return served, late, max(time.Millisecond, time.Duration((1-p.tokens)/p.PerSecond*float64(time.Second)))
		}
		p.tokens--
		served = append(served, next.waiting[0].ID)
		next.waiting = next.waiting[1:]
		next.taken.add(now, 1, fast)
		p.waiting--
	}
	return served, late, 0
}
