package core

import (
	"time"

	"github.com/dchest/siphash"

	"brookmux"
	"brookmux/internal/settings"
	"brookmux/internal/storm"
)

const stormEvery = 250 * time.Millisecond // between two looks at the states of a storm

// StormConfig puts into a configuration of storm what the platform's settings say.
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

// stormAdmits is the stage between take in and admit: a call that would only make others late is answered now, with
// the time after which there is room for its caller. It tells whether the call goes on.
func (e *Engine) stormAdmits(c *call) bool {
	if e.Storm == nil {
		return true
	}
	group, number := e.hash(c.Group), e.hash(c.Number)
	c.caller = group ^ number*31 ^ uint64(e.classes[c.Class])<<32 ^ uint64(c.Destination)
	v := e.Storm.Offered(e.now, storm.Offer{Class: e.classes[c.Class], Dest: c.Destination, Group: group,
		Caller: c.caller, Number: number, Resent: c.Resent, Transit: c.Transit})
	if c.countedByStorm = v.Admit(); c.countedByStorm {
		return true
	}
	e.refuse(c, Verdict{Wait: v.Wait, Cause: Congestion, Level: e.Storm.Level(e.now, c.Destination), Why: v.Reason.String()})
	return false
}

// Linked takes word of a new connection or association of a caller group.
func (e *Engine) Linked(group string) {
	if e.Storm != nil { // set before Run, and for good
		e.post(func() { e.Storm.Linked(e.now, e.hash(group)) })
	}
}

// hash is that of a name from outside: nobody can aim at a line of a table.
func (e *Engine) hash(s string) uint64 { return siphash.Hash(e.Seed, e.Seed>>7, []byte(s)) }

// advised adds to a refusal of the decision module what storm says of the time to come back.
func (e *Engine) advised(c *call, v Verdict) Verdict {
	if e.Storm != nil && !c.Transit && e.Settings.Module.RetryAfter {
		v.Level = e.Storm.Level(e.now, c.Destination)
		if v.Wait > 0 {
			v.Wait = e.Storm.Advise(e.now, c.Destination, c.caller)
		}
	}
	return v
}

// turnAway gives the final answer to a call that no retry budget pays for.
func (e *Engine) turnAway(c *call, why string) {
	if c.answered {
		return
	}
	e.ctl.Left(e.now, c.id)
	v := e.advised(c, Verdict{Failed: !e.harmless(c), Wait: e.Settings.Module.MaxRetryAfter, Cause: e.cause(c), Why: why})
	e.refuse(c, v)
}

// stormAnswered tells storm how a call that it let through was answered.
func (e *Engine) stormAnswered(c *call) {
	if !c.countedByStorm {
		return
	}
	c.countedByStorm = false
	if l := c.out; l != nil && l.stands {
		e.Storm.Stood(e.now, c.Destination, c.caller, e.now-l.at, e.switches[l.to].Number == c.Destination)
	} else {
		e.Storm.Over(e.now, c.Destination)
	}
}

// stormOutcome tells storm what an attempt that did not stand says of its destination.
func (e *Engine) stormOutcome(c *call, l *attempt, o Outcome) {
	if e.Storm == nil || l.stands || o.Result == brookmux.ResultMoot {
		return
	}
	c.failed++
	if o.Level > 0 {
		e.Storm.Congested(e.now, c.Destination, o.Level)
	}
	full := o.Result == brookmux.ResultFull && o.Reason != brookmux.ReasonNoCircuit && o.Reason != brookmux.ReasonTurnedBack
	// A reset tells of a connection, not of a line: where answers get lost the core may be idle.
	if full || o.Result == brookmux.ResultTimeout {
		e.Storm.Failed(e.now, c.Destination)
	}
}

// noteStart tells storm of a processor that has just started in an exchange's place.
func (e *Engine) noteStart(before map[brookmux.SwitchID]brookmux.Switch, s brookmux.Switch) {
	if was, known := before[s.ID]; e.Storm != nil && s.State == brookmux.Ready && e.warmth(s) < 1 && (!known || was.Since != s.Since) {
		if s.Number != e.Settings.Module.Here {
			e.Storm.Started(e.now, s.Number)
			return
		}
		for number := range e.numbers { // all that is sent passes the own processor
			e.Storm.Started(e.now, number)
		}
	}
}

// followStorm moves the states on, and logs each change.
func (e *Engine) followStorm() {
	for _, c := range e.Storm.Tick(e.now) {
		if e.Changed != nil {
			e.Changed(c)
		}
		e.Config.Log.Info("storm", "scope", c.Scope.Kind, "of", c.Scope.Name, "from", c.From.String(), "to", c.To.String(),
			"cause", c.Cause, "offered", c.Offered, "usual", c.Usual, "redials", c.Redials, "links", c.Links)
	}
	e.tellConditions()
	e.in(stormEvery, e.followStorm)
}

// tellConditions tells how exchanges are, where that has changed.
func (e *Engine) tellConditions() {
	if e.Config.Condition == nil {
		return
	}
	ready := map[int]bool{}
	for _, s := range e.switches {
		ready[s.Number] = ready[s.Number] || s.State == brookmux.Ready
	}
	for number := range e.numbers {
		c := Condition{Available: ready[number] || number == e.Settings.Module.Here}
		if e.Storm != nil && c.Available {
			c.Level = e.Storm.Level(e.now, number)
		}
		if e.told[number] != c {
			e.told[number] = c
			e.Config.Condition(number, c)
		}
	}
}

// Conditions has all conditions told again, and returns when that is done.
func (e *Engine) Conditions() {
	told := make(chan struct{})
	e.post(func() {
		clear(e.told)
		e.tellConditions()
		close(told)
	})
	select {
	case <-told:
	case <-e.done:
	}
}

// Congested takes the congestion level that a core has told.
func (e *Engine) Congested(from brookmux.SwitchID, level int) {
	e.post(func() {
		if s, ok := e.switches[from]; ok && e.Storm != nil {
			e.Storm.Congested(e.now, s.Number, level)
		}
	})
}
