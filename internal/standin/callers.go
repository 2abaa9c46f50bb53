package standin

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"brookmux/internal/core"
)

// Habit is how callers behave.
type Habit struct {
	Redials   int              // further tries of a call at most
	Ignore    float64          // share of the callers that ignore the advice on when to come back
	PerHost   int              // callers behind one address
	OneNumber float64          // share of the calls that go to one number
	Elsewhere float64          // share of the further tries that go to another controller
	Group     string           // caller group, as of an M3UA peer; empty for one by address
	Jitter    float64          // up to this part more than the time told
	RedialIn  [2]time.Duration // own wait before a further try, from and to
	Patience  [2]float64       // share of the class's deadline after which a try is given up, from and to
	Upgrade   float64          // share of calls of class 1
}

// Callers are the subscribers of an exchange.
type Callers struct {
	Habit
	mesh   *Mesh
	at     *Node
	to     []float64 // share of the calls by destination
	rng    *rand.Rand
	rate   float64
	Record *Record
}

// Call is a subscriber's wish, with all its tries.
type Call struct {
	At             time.Duration // of its first try
	Class          int
	Exchange, Dest int
	Peer           bool // it came from an M3UA peer
	Ignores        bool
	Stood          time.Duration // when it stood, 0 if it never did
	Tries          int
	callers        *Callers
	number         string
	host           string
}

// try is one set-up of a call.
type try struct {
	call  *Call
	key   string
	at    time.Duration
	left  time.Duration
	node  *Node
	final int
	over  bool
}

// Call lets callers of an exchange call at a rate, in calls a second, from now on.
func (m *Mesh) Call(exchange int, rate float64, to []float64, h Habit, r *Record) *Callers {
	c := &Callers{Habit: h, mesh: m, at: m.nodes[exchange], to: to, rate: rate, Record: r,
		rng: rand.New(rand.NewPCG(m.Seed, uint64(exchange)+1000))}
	c.next()
	m.loads = append(m.loads, c)
	return c
}

// Loads are the callers, in the order in which they were let in.
func (m *Mesh) Loads() []*Callers { return m.loads }

// SetRate changes how many calls a second come.
func (c *Callers) SetRate(rate float64) { c.rate = rate }

func (c *Callers) next() {
	c.mesh.After(time.Duration(c.rng.ExpFloat64()/max(1e-9, c.rate)*float64(time.Second)), func() {
		c.begin()
		c.next()
	})
}

// begin makes a new call.
func (c *Callers) begin() {
	k := &Call{At: c.mesh.Now(), Exchange: c.at.number, callers: c, Peer: c.Group != "", Ignores: c.rng.Float64() < c.Ignore,
		number: strconv.FormatUint(c.rng.Uint64()|1, 16)}
	if c.rng.Float64() < c.Upgrade {
		k.Class = 1
	}
	at := c.rng.Float64()
	for i, share := range c.to {
		if at -= share; share > 0 {
			k.Dest = i
			if at <= 0 {
				break
			}
		}
	}
	k.host = fmt.Sprintf("10.%d.%d.%d", c.at.number, c.rng.IntN(200), c.rng.IntN(200))
	if c.Group != "" {
		k.host = c.Group
	} else if c.PerHost > 0 {
		k.host = fmt.Sprintf("10.%d.0.%d", c.at.number, c.rng.IntN(c.PerHost))
	}
	if c.rng.Float64() < c.OneNumber {
		k.number = "5ea7"
	}
	c.Record.offered(k)
	k.dial()
}

// within draws a time between two.
func (c *Callers) within(span [2]time.Duration) time.Duration {
	return span[0] + time.Duration(c.rng.Float64()*float64(span[1]-span[0]))
}

// dial makes a try.
func (k *Call) dial() {
	c := k.callers
	m := c.mesh
	k.Tries++
	deadline := m.Settings.Module.Classes[k.Class].Deadline
	at := c.at
	if k.Tries > 1 && c.rng.Float64() < c.Elsewhere {
		if o := m.nodes[c.rng.IntN(m.Controllers)]; o.number != k.Dest {
			at = o
		}
	}
	if at.engine == nil { // nobody listens
		c.Record.Unreached++
		k.again(0)
		return
	}
	m.lastID++
	t := &try{call: k, key: fmt.Sprintf("%016x", m.lastID<<16|uint64(at.number)), at: m.Now(), node: at,
		left: time.Duration((c.Patience[0] + c.rng.Float64()*(c.Patience[1]-c.Patience[0])) * float64(deadline))}
	t.left = min(t.left, k.At+deadline-m.Now())
	m.calls[t.key] = &ticket{class: k.Class, dest: k.Dest, width: 1,
		hold: time.Duration(c.rng.ExpFloat64() * float64(m.Hold[k.Class]))}
	at.open[t] = struct{}{}
	at.Proc.Do(at.Proc.Look, nil, nil)
	at.event(func(e *core.Engine) {
		e.Linked(k.host) // a connection for each try
		e.Offer(core.Request{Key: t.key, Class: m.Settings.ClassNames[k.Class], Number: k.number, Left: t.left,
			Destination: k.Dest, Width: 1, Via: -1, Caller: t, Group: k.host, Resent: k.Tries > 1})
	})
	m.After(t.left, func() {
		if !t.over {
			t.close()
			t.node.event(func(e *core.Engine) { e.Withdraw(t, t.key, func(bool, bool) {}) })
			k.again(0)
		}
	})
	m.After(2*time.Minute, func() { delete(m.calls, t.key) })
}

// again dials later, if the caller does: after the time told, else after one of its own.
func (k *Call) again(told time.Duration) {
	c := k.callers
	wait := told + time.Duration(c.rng.Float64()*c.Jitter*float64(told))
	if wait <= 0 || k.Ignores {
		wait = c.within(c.RedialIn)
	}
	left := k.At + c.mesh.Settings.Module.Classes[k.Class].Deadline - c.mesh.Now()
	if k.Tries <= c.Redials && wait < left {
		c.mesh.After(wait, k.dial)
	}
}

// close takes a try off.
func (t *try) close() {
	t.over = true
	delete(t.node.open, t)
}

// reset is the death of the controller that had the try.
func (t *try) reset() {
	if !t.over {
		t.close()
		t.call.again(0)
	}
}

// Stands implements core.Caller, as do the methods below.
func (t *try) Stands(string, []byte) {
	t.node.mesh.Ledger.answered(t)
	if t.over {
		return
	}
	t.close()
	if t.call.Stood == 0 {
		t.call.Stood = t.node.mesh.Now()
	}
}

// Refuse is the answer that it does not stand.
func (t *try) Refuse(_ string, v core.Verdict) {
	t.node.mesh.Ledger.answered(t)
	if t.over {
		return
	}
	t.close()
	t.call.callers.Record.told(t.node, v.Wait)
	t.call.again(v.Wait)
}

// Release tells that a call that stood is over.
func (t *try) Release(string, core.Cause) {}

func sortedTries(open map[*try]struct{}) []*try {
	return slices.SortedFunc(maps.Keys(open), func(a, b *try) int { return cmp.Compare(a.key, b.key) })
}
