package standin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"brookmux"
	"brookmux/internal/core"
)

// attempt is a set-up that a controller has sent, and the call that it becomes. It occupies circuits toward the
// exchange it was sent to until it ends.
type attempt struct {
	key     string
	call    *callInfo
	from    *Node
	epoch   int // epoch of the controller that sent it
	to      *Node
	timeout time.Duration
	open    bool // neither ended nor abandoned
	stands  bool
	tandem  *Node // exchange at which it is a call in transit; nil without one
}

// sortedAttempts returns attempts in the order of their keys, so that runs are reproducible.
func sortedAttempts(attempts map[string]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(attempts), func(a, b *attempt) int { return cmp.Compare(a.key, b.key) })
}

// SetUp implements core.Trunks. It seizes circuits and sends the set-up. Without free circuits the attempt ends as
// moot.
func (n *Node) SetUp(to brookmux.SwitchID, t core.Attempt) {
	m := n.mesh
	a := &attempt{key: t.Key, call: m.callInfo[t.Key], from: n, epoch: n.epoch, to: m.nodeOf(to),
		timeout: t.Timeout, open: true}
	m.Ledger.attemptSent(n, a, to)
	n.attempts[t.Key] = a
	if !m.seizeCircuits(n, a.to, a.call.width) {
		a.open = false
		a.reportOutcome(core.Outcome{Result: brookmux.ResultMoot, Reason: brookmux.ReasonNoCircuit}, 0)
		return
	}
	wanted := func() bool { return a.open }
	rejected := func() {
		a.end(core.Outcome{Result: brookmux.ResultFull, Reason: brookmux.ReasonProcessorFull, Cause: core.Congestion}, 0)
	}
	if to != a.to.switchID() { // the processor has been replaced, and nothing listens at the old address
		a.end(core.Outcome{Result: brookmux.ResultConnectFailed, Cause: core.TemporaryFailure}, 0)
		return
	}
	n.Proc.SetUp(wanted, func() { a.afterDelay(func() { a.arrive(wanted) }) }, rejected)
}

// afterDelay runs f after the one-way delay, unless the attempt has ended by then.
func (a *attempt) afterDelay(f func()) {
	m := a.from.mesh
	m.After(m.Delay(a.from.number, a.to.number), func() {
		if a.open {
			f()
		}
	})
}

// arrive processes the set-up at the exchange it was sent to: the destination answers, a tandem offers it to its
// controller.
func (a *attempt) arrive(wanted func() bool) {
	m, there := a.from.mesh, a.to
	rejected := func() {
		a.end(core.Outcome{Result: brookmux.ResultFull, Reason: brookmux.ReasonProcessorFull, Cause: core.Congestion},
			m.Delay(a.from.number, there.number))
	}
	there.Proc.SetUp(wanted, func() {
		if there.number == a.call.destination {
			if m.LostAnswers > 0 && m.rng.Float64() < m.LostAnswers {
				a.end(core.Outcome{Result: brookmux.ResultReset, Cause: core.TemporaryFailure}, resetDelay)
				return
			}
			there.Proc.Do(there.Proc.Answer, wanted, a.sendAnswer)
			return
		}
		if there.engine == nil {
			a.end(core.Outcome{Result: brookmux.ResultReset, Cause: core.TemporaryFailure}, resetDelay)
			return
		}
		a.tandem = there
		there.withEngine(func(e *core.Engine) {
			e.Offer(core.Request{Key: a.key, Class: m.Settings.ClassNames[a.call.class], Number: "1", Remaining: a.timeout,
				Destination: a.call.destination, Width: a.call.width, Via: a.from.number, Transit: true, Caller: a})
		})
	}, rejected)
}

// sendAnswer sends the answer to the controller that sent the set-up. A call that does not transit a tandem then stands
// for its hold time.
func (a *attempt) sendAnswer() {
	m := a.from.mesh
	a.afterDelay(func() {
		a.from.Proc.Do(a.from.Proc.Answer, func() bool { return a.open }, func() {
			a.stands = true
			if a.from.epoch == a.epoch {
				a.from.withEngine(func(e *core.Engine) {
					e.Answered(a.to.switchID(), a.key, []byte(a.key), a.from.report(a.to, true))
				})
			}
			if a.tandem == nil {
				m.After(a.call.hold, func() {
					a.end(core.Outcome{Result: brookmux.ResultOK, Cause: core.NormalClearing}, m.Delay(a.from.number, a.to.number))
				})
			}
		})
	})
}

// end ends the attempt with an outcome, releases its circuits after delay and reports the outcome to its controller.
func (a *attempt) end(o core.Outcome, delay time.Duration) {
	if !a.open {
		return
	}
	a.open = false
	m := a.from.mesh
	m.After(delay, func() {
		m.releaseCircuits(a.from, a.to, a.call.width)
		if a.stands {
			a.to.Proc.Do(a.to.Proc.Release, nil, nil)
			a.from.Proc.Do(a.from.Proc.Release, nil, func() { a.reportOutcome(o, 0) })
		} else {
			a.reportOutcome(o, 0)
		}
	})
}

// reportOutcome reports the outcome to the controller after delay, if that has not been restarted or killed.
func (a *attempt) reportOutcome(o core.Outcome, delay time.Duration) {
	a.from.mesh.After(delay, func() {
		if a.from.epoch == a.epoch {
			a.from.mesh.Ledger.attemptEnded(a.from, a, o)
			o.Report = a.from.report(a.to, true)
			if a.from.attempts[a.key] == a {
				delete(a.from.attempts, a.key)
			}
			a.from.withEngine(func(e *core.Engine) { e.Ended(a.to.switchID(), a.key, o) })
		}
	})
}

// abandon ends the attempt when its controller has released it or was killed. A tandem receives a hang-up.
func (a *attempt) abandon() {
	if !a.open {
		return
	}
	a.open = false
	m := a.from.mesh
	m.After(m.Delay(a.from.number, a.to.number), func() {
		m.releaseCircuits(a.from, a.to, a.call.width)
		if a.tandem != nil {
			a.tandem.withEngine(func(e *core.Engine) {
				e.Hangup(a, a.key, core.NormalClearing, func(bool) {})
			})
		}
	})
}

// Release implements core.Trunks. It cancels the attempt or releases the call.
func (n *Node) Release(_ brookmux.SwitchID, key string, _ core.Cause) {
	if a := n.attempts[key]; a != nil {
		n.mesh.Ledger.attemptEnded(n, a, core.Outcome{Result: brookmux.ResultCancelled})
		delete(n.attempts, key)
		a.abandon()
	}
}

// ReleaseAnywhere implements core.Trunks. It does nothing.
func (n *Node) ReleaseAnywhere(string, core.Cause) {}

// Answered implements core.Caller for a call in transit: it sends the answer back.
func (a *attempt) Answered(string, []byte) { a.sendAnswer() }

// Refuse implements core.Caller for a call in transit: the tandem rejects it.
func (a *attempt) Refuse(string, core.Verdict) {
	m := a.from.mesh
	a.end(core.Outcome{Result: brookmux.ResultFull, Reason: brookmux.ReasonRejectedByTandem, Cause: 34}, m.Delay(a.from.number, a.to.number))
}

// Release implements core.Caller for a call in transit: the call has ended.
func (a *attempt) Release(string, core.Cause) {
	m := a.from.mesh
	a.end(core.Outcome{Result: brookmux.ResultOK, Cause: core.NormalClearing}, m.Delay(a.from.number, a.to.number))
}
