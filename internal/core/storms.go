package core

import (
	"time"

	"github.com/dchest/siphash"

	"brookmux"
	"brookmux/internal/settings"
	"brookmux/internal/storm"
)

const stormInterval = 250 * time.Millisecond // between two evaluations of the storm states

// StormConfig returns c with the instances, the maximum wait and the classes of the platform settings.
func StormConfig(c storm.Config, s settings.Settings) storm.Config {
	c.Instances, c.MaxWait, c.Classes = s.Module.Instances, 0, nil
	if s.Module.RetryAfter {
		c.MaxWait = s.Module.MaxRetryAfter
	}
	for i, k := range s.Module.Classes {
		name := ""
		if i < len(s.ClassNames) {
			name = s.ClassNames[i]
		}
		c.Classes = append(c.Classes, storm.Class{Name: name, Aim: k.Aim, Worth: k.Worth})
	}
	return c
}

// stormAdmits is the stage between intake and admission. A call that would only delay others is refused now, with retry
// advice for the time when capacity is expected for its caller. It reports whether the call continues.
func (e *Engine) stormAdmits(c *call) bool {
	if e.Storm == nil {
		return true
	}
	group, number := e.hash(c.Group), e.hash(c.Number)
	c.callerHash = group ^ number*31 ^ uint64(e.classes[c.Class])<<32 ^ uint64(c.Destination)
	v := e.Storm.Offered(e.now, storm.Offer{Class: e.classes[c.Class], Dest: c.Destination, Group: group,
		Caller: c.callerHash, Number: number, Resent: c.Resent, Transit: c.Transit})
	if c.countedByStorm = v.Admit(); c.countedByStorm {
		return true
	}
	e.refuse(c, Verdict{Wait: v.Wait, Cause: Congestion, Level: e.Storm.Level(e.now, c.Destination), Detail: v.Reason.String()})
	return false
}

// CallerConnected reports a new connection or association of a caller group.
func (e *Engine) CallerConnected(group string) {
	if e.Storm != nil { // safe to read here: never changes after New
		e.post(func() { e.Storm.CallerConnected(e.now, e.hash(group)) })
	}
}

// hash returns a keyed hash of an external name, so that nobody can choose names that collide in a table.
func (e *Engine) hash(s string) uint64 { return siphash.Hash(e.Seed, e.Seed>>7, []byte(s)) }

// withRetryAdvice adds the congestion level and the retry advice of storm to a refusal by the decision module. It
// returns v unchanged for transit calls, without storm and where retry advice is off.
func (e *Engine) withRetryAdvice(c *call, v Verdict) Verdict {
	if e.Storm != nil && !c.Transit && e.Settings.Module.RetryAfter {
		v.Level = e.Storm.Level(e.now, c.Destination)
		if v.Wait > 0 {
			v.Wait = e.Storm.Advise(e.now, c.Destination, c.callerHash)
		}
	}
	return v
}

// rejectOverBudget refuses a call whose further attempt exceeds the retry budget.
func (e *Engine) rejectOverBudget(c *call, why string) {
	if c.answered {
		return
	}
	e.ctl.CallEnded(e.now, c.id)
	v := e.withRetryAdvice(c, Verdict{Failed: !e.repeatable(c), Wait: e.Settings.Module.MaxRetryAfter,
		Cause: e.refusalCause(c), Detail: why})
	e.refuse(c, v)
}

// stormAnswered reports to storm how a call that it admitted was answered.
func (e *Engine) stormAnswered(c *call) {
	if !c.countedByStorm {
		return
	}
	c.countedByStorm = false
	if a := c.current; a != nil && a.stands {
		e.Storm.Answered(e.now, c.Destination, c.callerHash, e.now-a.at, e.switches[a.to].Number == c.Destination)
	} else {
		e.Storm.Unanswered(e.now, c.Destination)
	}
}

// stormOutcome reports to storm what an unsuccessful attempt indicates about its destination.
func (e *Engine) stormOutcome(c *call, a *attempt, o Outcome) {
	if e.Storm == nil || a.stands || o.Result == brookmux.ResultMoot {
		return
	}
	c.failedAttempts++
	if o.Level > 0 {
		e.Storm.Congested(e.now, c.Destination, o.Level)
	}
	full := o.Result == brookmux.ResultFull && o.Reason != brookmux.ReasonNoCircuit && o.Reason != brookmux.ReasonRejectedByTandem
	// A reset indicates a broken connection, not a backlog: where answers get lost the core may be idle.
	if full || o.Result == brookmux.ResultTimeout {
		e.Storm.Failed(e.now, c.Destination)
	}
}

// reportStart notifies storm of a processor that has just started at an exchange. before is the membership list before
// the current change.
func (e *Engine) reportStart(before map[brookmux.SwitchID]brookmux.Switch, s brookmux.Switch) {
	if previous, known := before[s.ID]; e.Storm != nil && s.State == brookmux.Ready && e.warmShare(s) < 1 &&
		(!known || previous.Since != s.Since) {
		if s.Number != e.Settings.Module.Here {
			e.Storm.ProcessorStarted(e.now, s.Number)
			return
		}
		for number := range e.knownExchanges { // every set-up passes the local processor
			e.Storm.ProcessorStarted(e.now, number)
		}
	}
}

// tickStorm updates the storm states, logs each change and publishes changed conditions.
func (e *Engine) tickStorm() {
	for _, c := range e.Storm.Tick(e.now) {
		if e.OnStormChange != nil {
			e.OnStormChange(c)
		}
		e.Config.Log.Info("storm", "scope", c.Scope.Kind, "of", c.Scope.Name, "from", c.From.String(), "to", c.To.String(),
			"cause", c.Cause, "offered", c.Offered, "usual", c.Usual, "redials", c.Redials, "links", c.Links)
	}
	e.publishConditions()
	e.schedule(stormInterval, e.tickStorm)
}

// publishConditions passes the conditions of exchanges that have changed to Config.OnConditionChange.
func (e *Engine) publishConditions() {
	if e.Config.OnConditionChange == nil {
		return
	}
	ready := map[int]bool{}
	for _, s := range e.switches {
		ready[s.Number] = ready[s.Number] || s.State == brookmux.Ready
	}
	for number := range e.knownExchanges {
		c := Condition{Available: ready[number] || number == e.Settings.Module.Here}
		if e.Storm != nil && c.Available {
			c.Level = e.Storm.Level(e.now, number)
		}
		if e.published[number] != c {
			e.published[number] = c
			e.Config.OnConditionChange(number, c)
		}
	}
}

// RepublishConditions publishes the conditions of all exchanges again, and returns when that is done or the engine has
// stopped.
func (e *Engine) RepublishConditions() {
	published := make(chan struct{})
	e.post(func() {
		clear(e.published)
		e.publishConditions()
		close(published)
	})
	select {
	case <-published:
	case <-e.done:
	}
}

// Congested handles the congestion level reported by a core.
func (e *Engine) Congested(from brookmux.SwitchID, level int) {
	e.post(func() {
		if s, ok := e.switches[from]; ok && e.Storm != nil {
			e.Storm.Congested(e.now, s.Number, level)
		}
	})
}
