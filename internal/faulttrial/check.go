package faulttrial

import (
	"fmt"
	"sort"
	"time"
)

// The time limits of the rules, from the protocol page and the standing test.
const (
	slack           = 50 * time.Millisecond // every time limit is so much longer
	lostAfter       = 500 * time.Millisecond
	drainGrace      = time.Second
	resendHold      = 300 * time.Millisecond
	releaseTold     = time.Second
	releaseEnd      = 8 * time.Second
	toldAfter       = 1500 * time.Millisecond // of a change, where discovery answers
	toldAfterOutage = 6 * time.Second         // of a change, after a failed call to discovery
	toldAfterMove   = 4 * time.Second         // of a change, after a new configuration
	shutdownCounts  = 3 * time.Second         // the longest deadline counts as this at most
	shutdownMargin  = 700 * time.Millisecond  // between that and the kill
	staleRead       = 500 * time.Millisecond  // after a core is back, it reads what had come while it was silent
	backInTime      = 7 * time.Second         // a core that is silent for less has come back in time
	letGoWithin     = 2 * time.Second         // a call that stands unheard is released at its core
	warmAfter       = 14 * time.Second
	coldShare       = 0.3
	fallMultiple    = 4
	fallWindow      = 2 * time.Second
	toldShare       = 2.0 / 3 // of a cold core's set-ups came from controllers that were told, where the rule is broken
)

// Excuses of a call whose end was not told as its controller had ended.
const (
	excuseRestarted = "the call ended after its controller had"
	excuseKilled    = "the call's controller was killed before its release was due"
	excuseMuted     = "the call's controller ended, and its caller's connection was cut without a sign"
	excuseUnread    = "the call's controller ended, and its core was faulty when it released the call"
)

// Rule names what a Finding breaks.
type Rule string

// The rules.
const (
	RuleAnswer   Rule = "lost"          // a set-up without a final answer in time
	RuleSecond   Rule = "second-answer" // more than one final answer
	RuleForeign  Rule = "foreign"       // an answer that no core made
	RuleOverlap  Rule = "overlap"       // two attempts out at once
	RuleHold     Rule = "hold"          // a resend within 300 ms after a timeout, reset or cancel
	RuleDrain    Rule = "drain"         // a set-up to a core that drains or is gone
	RuleRelease  Rule = "release"       // the end of a call that stood is not told in time
	RuleGivenUp  Rule = "given-up"      // a call was cut though its core was alive and back in time
	RuleCold     Rule = "cold"          // a core that has just started was pushed over
	RuleStanding Rule = "left-standing" // a call that its caller does not have stands at a core, which is not told to let go
	RuleCrash    Rule = "crash"         // a process ended by itself, or with an error, or was not ready in time
	RuleLimit    Rule = "limit"         // over the limit on memory or descriptors
)

// Rules are all of them, in the order of tables.
var Rules = []Rule{RuleAnswer, RuleSecond, RuleForeign, RuleOverlap, RuleHold, RuleDrain, RuleRelease, RuleGivenUp, RuleCold,

	RuleStanding, RuleCrash, RuleLimit}

// Finding is a broken rule.
type Finding struct {
	Rule       Rule
	At         time.Duration
	Call       string
	Controller string
	Core       string
	Text       string
	Lines      []Event // that bear on it
}

// String describes the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s at %.3f s: call %s, controller %s, core %s: %s", f.Rule, f.At.Seconds(), f.Call, f.Controller, f.Core, f.Text)
}

// Verdict is what the records of a trial show.
type Verdict struct {
	Findings []Finding
	Excused  map[string]int // by reason
	Calls    int            // set-ups sent
	Stood    int
	Refused  int
	Failed   int
	Cut      int // calls that stood and that the controller ended by itself
	Sendings int // set-ups that reached cores
}

// CheckConfig is what the checker has to know beside the records.
type CheckConfig struct {
	Settings Settings
	Capacity float64       // set-ups a second that a warm core bears
	Lag      time.Duration // how late the trial's own timers were at most
}

// callRecord is what the records hold of one call.
type callRecord struct {
	id                      string
	sent                    *Event
	answers                 []Event
	cancel, release, hangup *Event
	lost                    *Event
	setups                  []Event           // at cores, in order
	ends                    []Event           // of attempts, in order
	end, told               map[string]*Event // by core: of a call there; its release written there
	coreAnswers             []Event
	releasedAt              []Event // cores that the controller released it at
	all                     []Event
}

// checker holds the records of a trial by what they are looked up by.
type checker struct {
	CheckConfig
	events    []Event
	calls     map[string]*callRecord
	order     []string
	processes map[string][]Event // by controller: start, ready, signal, exit
	faults    map[string][]Event // by core
	discovery []Event            // changes and faults
	verdict   Verdict
}

// Check judges a trial from its records.
func Check(events []Event, config CheckConfig) Verdict {
	c := &checker{CheckConfig: config, events: events, calls: map[string]*callRecord{}, processes: map[string][]Event{},
		faults: map[string][]Event{}, verdict: Verdict{Excused: map[string]int{}}}
	c.sortEvents()
	for _, id := range c.order {
		c.checkCall(c.calls[id])
	}
	c.checkDrains()
	c.checkCold()
	c.checkProcesses()
	sort.SliceStable(c.verdict.Findings, func(i, j int) bool { return c.verdict.Findings[i].At < c.verdict.Findings[j].At })
	return c.verdict
}

func (c *checker) slack() time.Duration { return slack + c.Lag }

func (c *checker) find(f Finding) { c.verdict.Findings = append(c.verdict.Findings, f) }

func (c *checker) excuse(reason string) { c.verdict.Excused[reason]++ }

func (c *checker) call(id string) *callRecord {
	r := c.calls[id]
	if r == nil {
		r = &callRecord{id: id, end: map[string]*Event{}, told: map[string]*Event{}}
		c.calls[id] = r
		c.order = append(c.order, id)
	}
	return r
}

func (c *checker) sortEvents() {
	for i := range c.events {
		e := &c.events[i]
		if e.Call != "" {
			c.sortCall(c.call(e.Call), e)
		}
		switch e.Kind {
		case ProcessStart, ProcessReady, ProcessSignal, ProcessExit:
			c.processes[e.Controller] = append(c.processes[e.Controller], *e)
		case DiscoverySet, DiscoveryFault:
			c.discovery = append(c.discovery, *e)
		case Fault:
			if e.Core != "" {
				c.faults[e.Core] = append(c.faults[e.Core], *e)
			}
		}
	}
}

func (c *checker) sortCall(r *callRecord, e *Event) {
	r.all = append(r.all, *e)
	first := func(at **Event) {
		if *at == nil {
			*at = e
		}
	}
	switch e.Kind {
	case CallerSent:
		first(&r.sent)
	case CallerAnswer:
		r.answers = append(r.answers, *e)
	case CallerCancel:
		first(&r.cancel)
	case CallerRelease:
		first(&r.release)
	case CallerHangup:
		first(&r.hangup)
	case CallerLost:
		first(&r.lost)
	case CoreSetup:
		r.setups = append(r.setups, *e)
	case CoreAnswer:
		r.coreAnswers = append(r.coreAnswers, *e)
		r.ends = append(r.ends, *e)
	case CoreRefuse, CoreGivenUp:
		r.ends = append(r.ends, *e)
	case CoreReleased:
		r.releasedAt = append(r.releasedAt, *e)
	case CoreEnd:
		if r.end[e.Core] == nil {
			r.end[e.Core] = e
		}
	case CoreRelease:
		if r.told[e.Core] == nil {
			r.told[e.Core] = e
		}
	}
}

// checkProcesses checks how processes ended, and what they used.
func (c *checker) checkProcesses() {
	for name, events := range c.processes {
		var start *Event
		for i, e := range events {
			switch e.Kind {
			case ProcessStart:
				start = &events[i]
			case ProcessReady:
				if took := e.At - start.At; took > readyWithin+c.slack() {
					c.find(Finding{Rule: RuleCrash, At: e.At, Controller: name, Text: fmt.Sprintf("ready after %v", took)})
				}
			case ProcessExit:
				if e.Text != "0" && e.Text != "signal: killed" {
					c.find(Finding{Rule: RuleCrash, At: e.At, Controller: name, Text: "process ended: " + e.Text})
				}
			}
		}
	}
	over := map[string]bool{}
	for _, e := range c.events {
		if e.Kind != Usage || over[e.Controller] {
			continue
		}
		if memory := int64(c.Settings.Memory) << 20; e.Memory > memory || e.Descriptors > c.Settings.Descriptors {
			over[e.Controller] = true
			c.find(Finding{Rule: RuleLimit, At: e.At, Controller: e.Controller,
				Text: fmt.Sprintf("%d MiB and %d descriptors", e.Memory>>20, e.Descriptors)})
		}
	}
}
