package liveness

import (
	"slices"
	"time"
)

// Handover says what a newly listed core takes over at the address of a former one, or a restarted one of itself.
type Handover struct {
	Kept   []string       // keys of the calls and pending set-ups that go on
	Ended  []string       // keys of the calls that are over, as they were answered before the listed start
	Former []ConnectionID // open connections that were opened before the listed start
}

// HandOver passes the address to a core that the membership list has there in place of the former one, or with a new
// start at since, which is not positive if the list has no start.
//
// A listed start is exact, and a core that is gone has no calls left: calls answered before the start are over, and
// connections opened before it lead to a former process. Later calls stay on the lease of the process that answered them,
// which need not be the listed one: a process that hung may answer after the start of its successor, and an answer may be
// read late. Without a start the list decides nothing.
func (l *Lease) HandOver(since time.Duration) Handover {
	var h Handover
	for _, p := range l.processes {
		p.successor, p.reopened = false, false
		for id, k := range p.calls {
			if since > 0 && k.answeredAt < since {
				delete(p.calls, id)
				h.Ended = append(h.Ended, id)
			} else {
				h.Kept = append(h.Kept, id)
			}
		}
	}
	for id := range l.pending {
		h.Kept = append(h.Kept, id)
	}
	for id, c := range l.connections {
		if since > 0 && c.openedAt < since {
			h.Former = append(h.Former, id)
		}
	}
	slices.Sort(h.Kept)
	slices.Sort(h.Ended)
	slices.Sort(h.Former)
	return h
}
