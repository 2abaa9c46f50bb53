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

// CallerConfig describes the behavior of callers.
type CallerConfig struct {
	MaxRedials      int              // maximum further tries of a call
	IgnoreAdvice    float64          // share of the callers that ignore retry advice
	SharedHosts     int              // number of addresses that the callers share; 0 for a random address per call
	OneNumber       float64          // share of the calls to one common number
	OtherController float64          // share of the further tries at another controller
	Group           string           // caller group of an M3UA peer; empty for SIP callers, grouped by address
	Jitter          float64          // maximum random addition to the retry advice, as a share of it
	RedialWait      [2]time.Duration // range of the wait before a further try without advice
	TimeoutShare    [2]float64       // range of the caller's timeout for a try, as a share of the class's deadline
	Upgrade         float64          // share of the calls that are of class 1
}

// Callers generates the calls of an exchange's subscribers, as a Poisson process.
type Callers struct {
	CallerConfig
	mesh         *Mesh
	node         *Node
	destinations []float64 // share of the calls by destination exchange
	rng          *rand.Rand
	rate         float64
	Record       *Record // receives the calls
}

// Call is a subscriber's call with all its tries.
type Call struct {
	FirstTryAt            time.Duration // time of its first try
	Class                 int
	Exchange, Destination int
	Peer                  bool          // the caller is an M3UA peer
	Ignores               bool          // the caller ignores retry advice
	StoodAt               time.Duration // time of the answer; 0 if none
	Tries                 int
	callers               *Callers
	number                string
	host                  string
}

// try is one set-up of a call at a controller.
type try struct {
	call         *Call
	key          string
	at           time.Duration
	timeout      time.Duration
	node         *Node
	finalAnswers int
	closed       bool
}

// StartCallers starts callers at an exchange with a rate in calls per second. They call until the mesh ends.
// destinations is the share of the calls by exchange, and r records the calls.
func (m *Mesh) StartCallers(exchange int, rate float64, destinations []float64, config CallerConfig, record *Record) *Callers {
	c := &Callers{CallerConfig: config, mesh: m, node: m.nodes[exchange], destinations: destinations, rate: rate, Record: record,
		rng: rand.New(rand.NewPCG(m.Seed, uint64(exchange)+1000))}
	c.scheduleNext()
	m.callers = append(m.callers, c)
	return c
}

// Callers returns the callers in the order in which they were started.
func (m *Mesh) Callers() []*Callers { return m.callers }

// SetRate changes the rate in calls per second, from the next interval on.
func (c *Callers) SetRate(rate float64) { c.rate = rate }

// scheduleNext schedules the next call after an exponentially distributed interval.
func (c *Callers) scheduleNext() {
	c.mesh.After(time.Duration(c.rng.ExpFloat64()/max(1e-9, c.rate)*float64(time.Second)), func() {
		c.newCall()
		c.scheduleNext()
	})
}

// newCall starts a new call with random properties.
func (c *Callers) newCall() {
	k := &Call{FirstTryAt: c.mesh.Now(), Exchange: c.node.number, callers: c,
		Peer: c.Group != "", Ignores: c.rng.Float64() < c.IgnoreAdvice,
		number: strconv.FormatUint(c.rng.Uint64()|1, 16)}
	if c.rng.Float64() < c.Upgrade {
		k.Class = 1
	}
	draw := c.rng.Float64()
	for i, share := range c.destinations {
		if draw -= share; share > 0 {
			k.Destination = i
			if draw <= 0 {
				break
			}
		}
	}
	k.host = fmt.Sprintf("10.%d.%d.%d", c.node.number, c.rng.IntN(200), c.rng.IntN(200))
	if c.Group != "" {
		k.host = c.Group
	} else if c.SharedHosts > 0 {
		k.host = fmt.Sprintf("10.%d.0.%d", c.node.number, c.rng.IntN(c.SharedHosts))
	}
	if c.rng.Float64() < c.OneNumber {
		k.number = "5ea7"
	}
	c.Record.addCall(k)
	k.startTry()
}

// randomBetween returns a uniformly distributed duration within the bounds.
func (c *Callers) randomBetween(bounds [2]time.Duration) time.Duration {
	return bounds[0] + time.Duration(c.rng.Float64()*float64(bounds[1]-bounds[0]))
}

// startTry starts the next try of the call.
func (k *Call) startTry() {
	c := k.callers
	m := c.mesh
	k.Tries++
	deadline := m.Settings.Module.Classes[k.Class].Deadline
	at := c.node
	if k.Tries > 1 && c.rng.Float64() < c.OtherController {
		if o := m.nodes[c.rng.IntN(m.Controllers)]; o.number != k.Destination {
			at = o
		}
	}
	if at.engine == nil { // the controller is down, and nothing listens
		c.Record.Unreached++
		k.scheduleRedial(0)
		return
	}
	m.lastID++
	t := &try{call: k, key: fmt.Sprintf("%016x", m.lastID<<16|uint64(at.number)), at: m.Now(), node: at,
		timeout: time.Duration((c.TimeoutShare[0] + c.rng.Float64()*(c.TimeoutShare[1]-c.TimeoutShare[0])) *
			float64(deadline))}
	t.timeout = min(t.timeout, k.FirstTryAt+deadline-m.Now())
	m.callInfo[t.key] = &callInfo{class: k.Class, destination: k.Destination, width: 1,
		hold: time.Duration(c.rng.ExpFloat64() * float64(m.Hold[k.Class]))}
	at.openTries[t] = struct{}{}
	at.Proc.Do(at.Proc.Receive, nil, nil)
	at.withEngine(func(e *core.Engine) {
		e.CallerConnected(k.host) // each try has its own connection
		e.Offer(core.Request{Key: t.key, Class: m.Settings.ClassNames[k.Class], Number: k.number, Remaining: t.timeout,
			Destination: k.Destination, Width: 1, Via: -1, Caller: t, Group: k.host, Resent: k.Tries > 1})
	})
	m.After(t.timeout, func() {
		if !t.closed {
			t.close()
			t.node.withEngine(func(e *core.Engine) { e.Withdraw(t, t.key, func(bool, bool) {}) })
			k.scheduleRedial(0)
		}
	})
	m.After(2*time.Minute, func() { delete(m.callInfo, t.key) })
}

// scheduleRedial schedules the next try, unless the caller's tries or time are used up. The caller waits as advised, or
// for a random time if there is no advice or it ignores advice.
func (k *Call) scheduleRedial(advice time.Duration) {
	c := k.callers
	wait := advice + time.Duration(c.rng.Float64()*c.Jitter*float64(advice))
	if wait <= 0 || k.Ignores {
		wait = c.randomBetween(c.RedialWait)
	}
	remaining := k.FirstTryAt + c.mesh.Settings.Module.Classes[k.Class].Deadline - c.mesh.Now()
	if k.Tries <= c.MaxRedials && wait < remaining {
		c.mesh.After(wait, k.startTry)
	}
}

// close marks the try as closed and removes it from its controller.
func (t *try) close() {
	t.closed = true
	delete(t.node.openTries, t)
}

// connectionReset closes the try when the connection to its killed controller is reset.
func (t *try) connectionReset() {
	if !t.closed {
		t.close()
		t.call.scheduleRedial(0)
	}
}

// Answered implements core.Caller: the call is answered.
func (t *try) Answered(string, []byte) {
	t.node.mesh.Ledger.callerAnswered(t)
	if t.closed {
		return
	}
	t.close()
	if t.call.StoodAt == 0 {
		t.call.StoodAt = t.node.mesh.Now()
	}
}

// Refuse implements core.Caller: the try is rejected, perhaps with retry advice.
func (t *try) Refuse(_ string, v core.Verdict) {
	t.node.mesh.Ledger.callerAnswered(t)
	if t.closed {
		return
	}
	t.close()
	t.call.callers.Record.addWait(t.node, v.Wait)
	t.call.scheduleRedial(v.Wait)
}

// Release implements core.Caller. It does nothing.
func (t *try) Release(string, core.Cause) {}

// sortedTries returns tries in the order of their keys, so that runs are reproducible.
func sortedTries(tries map[*try]struct{}) []*try {
	return slices.SortedFunc(maps.Keys(tries), func(a, b *try) int { return cmp.Compare(a.key, b.key) })
}
