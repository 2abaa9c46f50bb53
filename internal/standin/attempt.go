package standin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"brookmux"
	"brookmux/internal/core"
)

// attempt is a set-up that a controller has sent. It holds circuits toward the exchange it was sent to until it
// ends.
type attempt struct {
	key    string
	call   *ticket
	from   *Node
	epoch  int // of the controller that sent it
	to     *Node
	left   time.Duration
	open   bool // neither ended nor given up
	stands bool
	onward *Node // the tandem at which it is a call in transit
}

// sorted are a controller's attempts in the order of their keys.
func sorted(out map[string]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(out), func(a, b *attempt) int { return cmp.Compare(a.key, b.key) })
}

// SetUp implements core.Trunks, as do the methods below.
func (n *Node) SetUp(to brookmux.SwitchID, t core.Attempt) {
	m := n.mesh
	a := &attempt{key: t.Key, call: m.calls[t.Key], from: n, epoch: n.epoch, to: m.at(to), left: t.Left, open: true}
	m.Ledger.sent(n, a, to)
	n.out[t.Key] = a
	if !m.take(n, a.to, a.call.width) {
		a.open = false
		a.say(core.Outcome{Result: brookmux.ResultMoot, Reason: brookmux.ReasonNoCircuit}, 0)
		return
	}
	live := func() bool { return a.open }
	full := func() {
		a.end(core.Outcome{Result: brookmux.ResultFull, Reason: brookmux.ReasonProcessorFull, Cause: core.Congestion}, 0)
	}
	if to != a.to.id() { // replaced meanwhile: nothing listens under that name
		a.end(core.Outcome{Result: brookmux.ResultConnectFailed, Cause: core.TemporaryFailure}, 0)
		return
	}
	n.Proc.SetUp(live, func() { a.travel(func() { a.arrive(live) }) }, full)
}

// travel lets something happen at the far end, unless the attempt is over by then.
func (a *attempt) travel(f func()) {
	m := a.from.mesh
	m.After(m.Delay(a.from.number, a.to.number), func() {
		if a.open {
			f()
		}
	})
}

// arrive takes the set-up at the exchange it was sent to.
func (a *attempt) arrive(live func() bool) {
	m, there := a.from.mesh, a.to
	full := func() {
		a.end(core.Outcome{Result: brookmux.ResultFull, Reason: brookmux.ReasonProcessorFull, Cause: core.Congestion},
			m.Delay(a.from.number, there.number))
	}
	there.Proc.SetUp(live, func() {
		if there.number == a.call.dest {
			if m.Spoilt > 0 && m.rng.Float64() < m.Spoilt {
				a.end(core.Outcome{Result: brookmux.ResultReset, Cause: core.TemporaryFailure}, resetAfter)
				return
			}
			there.Proc.Do(there.Proc.Answer, live, a.answer)
			return
		}
		if there.engine == nil {
			a.end(core.Outcome{Result: brookmux.ResultReset, Cause: core.TemporaryFailure}, resetAfter)
			return
		}
		a.onward = there
		there.event(func(e *core.Engine) {
			e.Offer(core.Request{Key: a.key, Class: m.Settings.ClassNames[a.call.class], Number: "1", Left: a.left,
				Destination: a.call.dest, Width: a.call.width, Via: a.from.number, Transit: true, Caller: a})
		})
	}, full)
}

// answer brings the answer back to the controller that sent the set-up.
func (a *attempt) answer() {
	m := a.from.mesh
	a.travel(func() {
		a.from.Proc.Do(a.from.Proc.Answer, func() bool { return a.open }, func() {
			a.stands = true
			if a.from.epoch == a.epoch {
				a.from.event(func(e *core.Engine) {
					e.Answered(a.to.id(), a.key, []byte(a.key), a.from.report(a.to, true))
				})
			}
			if a.onward == nil {
				m.After(a.call.hold, func() {
					a.end(core.Outcome{Result: brookmux.ResultOK, Cause: core.NormalClearing}, m.Delay(a.from.number, a.to.number))
				})
			}
		})
	})
}

// end ends the attempt, with word of it to its controller after a while.
func (a *attempt) end(o core.Outcome, late time.Duration) {
	if !a.open {
		return
	}
	a.open = false
	m := a.from.mesh
	m.After(late, func() {
		m.free(a.from, a.to, a.call.width)
		if a.stands {
			a.to.Proc.Do(a.to.Proc.Release, nil, nil)
			a.from.Proc.Do(a.from.Proc.Release, nil, func() { a.say(o, 0) })
		} else {
			a.say(o, 0)
		}
	})
}

// say tells the controller that sent it, if that is still there.
func (a *attempt) say(o core.Outcome, late time.Duration) {
	a.from.mesh.After(late, func() {
		if a.from.epoch == a.epoch {
			a.from.mesh.Ledger.ended(a.from, a, o)
			o.Report = a.from.report(a.to, true)
			if a.from.out[a.key] == a {
				delete(a.from.out, a.key)
			}
			a.from.event(func(e *core.Engine) { e.Ended(a.to.id(), a.key, o) })
		}
	})
}

// giveUp takes the controller's word, or its death, that nobody waits for the set-up or the call any more.
func (a *attempt) giveUp() {
	if !a.open {
		return
	}
	a.open = false
	m := a.from.mesh
	m.After(m.Delay(a.from.number, a.to.number), func() {
		m.free(a.from, a.to, a.call.width)
		if a.onward != nil {
			a.onward.event(func(e *core.Engine) {
				e.Hangup(a, a.key, core.NormalClearing, func(bool) {})
			})
		}
	})
}

// Release implements core.Trunks.
func (n *Node) Release(_ brookmux.SwitchID, key string, _ core.Cause) {
	if a := n.out[key]; a != nil {
		n.mesh.Ledger.ended(n, a, core.Outcome{Result: brookmux.ResultCancelled})
		delete(n.out, key)
		a.giveUp()
	}
}

// ReleaseAnywhere implements core.Trunks.
func (n *Node) ReleaseAnywhere(string, core.Cause) {}

// Stands implements core.Caller for a call in transit, as do the methods below.
func (a *attempt) Stands(string, []byte) { a.answer() }

// Refuse turns it back.
func (a *attempt) Refuse(string, core.Verdict) {
	m := a.from.mesh
	a.end(core.Outcome{Result: brookmux.ResultFull, Reason: brookmux.ReasonTurnedBack, Cause: 34}, m.Delay(a.from.number, a.to.number))
}

// Release tells that it is over.
func (a *attempt) Release(string, core.Cause) {
	m := a.from.mesh
	a.end(core.Outcome{Result: brookmux.ResultOK, Cause: core.NormalClearing}, m.Delay(a.from.number, a.to.number))
}
