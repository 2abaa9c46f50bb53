package liveness

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The figures of the modelled controller and core.
const (
	modelStep        = 10 * time.Millisecond
	modelLength      = 25 * time.Second
	modelConnections = 3
	modelSilent      = 800 * time.Millisecond // a connection that answers nothing is closed
	modelSeeds       = uint64(1200)
)

// modelConnection is a connection between the modelled controller and core.
type modelConnection struct {
	id          ConnectionID
	forgotten   bool // by the core: nothing is read or written there any more
	retired     bool
	lastMessage time.Duration
	unanswered  time.Duration // since when, 0 for not at all
	pending     map[string]bool
	deliverAt   time.Duration // of the last message on its way: they stay in order
}

// modelEvent is something that happens at a time.
type modelEvent struct {
	at    time.Duration
	order int
	do    func()
}

// model is a lease with the core and the connections that it is kept for, all on one clock and drawn from a seed.
type model struct {
	*rand.Rand
	now     time.Duration
	lease   *Lease
	events  []modelEvent
	order   int
	open    []*modelConnection
	lastID  ConnectionID
	used    int
	queued  []string // releases that wait for a connection
	expired []Expiry
	calls   int
	timeout time.Duration // of a set-up
	hold    time.Duration // mean length of a call
	dialing int
}

func (m *model) between(from, to time.Duration) time.Duration {
	return from + time.Duration(m.Float64()*float64(to-from))
}

func (m *model) after(d time.Duration, do func()) {
	m.order++
	m.events = append(m.events, modelEvent{m.now + d, m.order, do})
}

// pass lets time go by.
func (m *model) pass(d time.Duration) {
	for end := m.now + d; m.now < end; m.now += modelStep {
		for {
			due := slices.IndexFunc(m.events, func(e modelEvent) bool { return e.at <= m.now })
			if due < 0 {
				break
			}
			first := slices.MinFunc(m.events, func(a, b modelEvent) int {
				return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
			})
			m.events = slices.DeleteFunc(m.events, func(e modelEvent) bool { return e.order == first.order })
			first.do()
		}
		m.closeSilent()
		d := m.lease.Tick(m.now)
		m.expired = append(m.expired, d.Expired...)
		if d.Check && m.dialing < modelConnections {
			m.check(d)
		}
	}
}

// check opens a connection in the place of an idle one, or one more.
func (m *model) check(d Decision) {
	for _, c := range m.open {
		if slices.Contains(d.Idle, c.id) && !c.retired && len(c.pending) == 0 {
			m.dial(func() { c.retired = true; m.lease.Retired(c.id) })
			return
		}
	}
	m.dial(func() {})
}

func (m *model) dial(then func()) {
	m.dialing++
	m.after(m.between(time.Millisecond, 40*time.Millisecond), func() {
		m.dialing--
		m.lastID++
		c := &modelConnection{id: m.lastID, lastMessage: m.now, pending: map[string]bool{}}
		m.open = append(m.open, c)
		m.lease.Connected(c.id, m.now)
		then()
		m.tell(c)
		for _, call := range m.queued {
			m.write(c, Message{Call: call}, func() { m.lease.Over(call) })
		}
		m.queued = nil
	})
}

// write sends a message of the core: in order on a connection, in any order on several.
func (m *model) write(c *modelConnection, message Message, then func()) {
	if c.forgotten {
		return
	}
	c.deliverAt = max(c.deliverAt, m.now+m.between(0, 40*time.Millisecond))
	m.after(c.deliverAt-m.now, func() {
		if !slices.Contains(m.open, c) {
			return
		}
		c.lastMessage, c.unanswered = m.now, 0
		m.lease.Heard(c.id, m.now, message)
		then()
	})
}

func (m *model) tell(c *modelConnection) {
	m.write(c, Message{GroupState: true, Free: float64(100 - m.used), Size: 100}, func() {})
}

func (m *model) tellAll() {
	for _, c := range m.open {
		m.tell(c)
	}
}

// setUp sends a set-up on the connection with the fewest open ones.
func (m *model) setUp() {
	var best *modelConnection
	for _, c := range m.open {
		if !c.retired && (best == nil || m.overdue(best) && !m.overdue(c) || m.overdue(best) == m.overdue(c) && len(c.pending) < len(best.pending)) {
			best = c
		}
	}
	if best == nil {
		return
	}
	m.calls++
	id := fmt.Sprint("call", m.calls)
	best.pending[id] = true
	if best.unanswered == 0 {
		best.unanswered = m.now
	}
	m.lease.SetUpSent(id, 1, best.id)
	m.after(m.timeout, func() { m.over(best, id) })
	m.after(m.between(0, 20*time.Millisecond), func() { m.take(best, id) })
}

func (m *model) overdue(c *modelConnection) bool {
	return c.unanswered > 0 && m.now-c.unanswered > 150*time.Millisecond
}

// over ends a set-up that is still open.
func (m *model) over(c *modelConnection, id string) {
	if c.pending[id] {
		delete(c.pending, id)
		m.lease.SetUpOver(id)
	}
}

// take is the core's side of a set-up.
func (m *model) take(c *modelConnection, id string) {
	if c.forgotten || !slices.Contains(m.open, c) {
		return
	}
	m.used++
	m.tellAll()
	m.after(m.between(time.Millisecond, 60*time.Millisecond), func() { m.answer(c, id) })
}

func (m *model) answer(c *modelConnection, id string) {
	m.write(c, Message{Call: id}, func() {
		if c.pending[id] {
			m.over(c, id)
			m.lease.Stands(id, 1, c.id, m.now)
		}
	})
	m.after(m.between(m.hold/5, 2*m.hold), func() { m.finish(c, id) })
}

// finish is the end of a call at the core.
func (m *model) finish(c *modelConnection, id string) {
	m.used--
	m.tellAll()
	open := slices.DeleteFunc(slices.Clone(m.open), func(x *modelConnection) bool { return x.forgotten })
	if len(open) == 0 {
		m.queued = append(m.queued, id)
		return
	}
	on := open[m.IntN(len(open))]
	if slices.Contains(open, c) {
		on = c
	}
	m.write(on, Message{Call: id}, func() { m.lease.Over(id) })
}

// closeSilent closes a connection that has answered nothing, where no other has brought anything since.
func (m *model) closeSilent() {
	for _, c := range m.open {
		if c.unanswered == 0 || m.now-c.unanswered < modelSilent {
			continue
		}
		if slices.ContainsFunc(m.open, func(x *modelConnection) bool { return x.lastMessage > c.unanswered }) {
			return
		}
		for id := range c.pending {
			m.over(c, id)
		}
		m.open = slices.DeleteFunc(m.open, func(x *modelConnection) bool { return x == c })
		m.lease.Disconnected(c.id, m.now, EndLocal)
		m.dial(func() {})
		return
	}
}

// newModel returns a lease on which calls stand.
func newModel(seed uint64) *model {
	m := &model{Rand: rand.New(rand.NewPCG(seed, 1)), now: time.Second, lease: New()}
	m.timeout = m.between(300*time.Millisecond, 4*time.Second)
	m.hold = m.between(3*time.Second, 20*time.Second)
	for range modelConnections {
		m.dial(func() {})
	}
	m.pass(200 * time.Millisecond)
	for range 1 + m.IntN(6) {
		m.setUp()
	}
	m.pass(m.between(1500*time.Millisecond, 4*time.Second))
	return m
}

// TestForgottenBySeeds guards against calls that are given up on a core that is alive: it forgets its connections, with
// set-ups open on them or crossing, and tells of its calls on the next ones.
func TestForgottenBySeeds(t *testing.T) {
	for seed := range modelSeeds {
		m := newModel(seed)
		rate := 6 * m.Float64() * m.Float64()
		for _, c := range m.open {
			c.forgotten = true
		}
		for range m.IntN(4) {
			m.setUp()
		}
		next := m.now
		for end := m.now + modelLength; m.now < end; m.pass(modelStep) {
			if m.now >= next {
				m.setUp()
				next = m.now + time.Duration(m.ExpFloat64()/rate*float64(time.Second))
			}
		}
		require.Empty(t, m.expired, "seed %d", seed)
	}
}
