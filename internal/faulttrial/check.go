package faulttrial

import (
	"fmt"
	"sort"
	"time"
)

// The limits of the rules, from the protocol page and the standing test. Every time limit is extended by the tolerance.
const (
	tolerance              = 50 * time.Millisecond   // added to every time limit, beside the measured lag of timers
	answerGrace            = 500 * time.Millisecond  // a final answer may follow the caller's deadline by this
	drainGrace             = time.Second             // for a notified controller's last set-ups to a draining core
	minResendWait          = 300 * time.Millisecond  // between a timeout, reset or cancel and the next attempt
	releaseRelayLimit      = time.Second             // from the core's release to the caller's
	releaseLimit           = 8 * time.Second         // from the end of a call to its caller's release
	notifiedAfter          = 1500 * time.Millisecond // from a membership change, while discovery answers
	notifiedAfterOutage    = 6 * time.Second         // after a fault of discovery: from the change or a later recovery
	notifiedAfterReload    = 4 * time.Second         // from a new configuration
	maxCountedDeadline     = 3 * time.Second         // a longer deadline counts as this in the kill time
	shutdownMargin         = 700 * time.Millisecond  // between that and SIGKILL
	staleReadWindow        = 500 * time.Millisecond  // after an outage, for a core to read what arrived during it
	maxToleratedOutage     = 7 * time.Second         // calls stay on a core that is unresponsive for less
	minUnlinkedLease       = 6400 * time.Millisecond // calls stay for this after a core has dropped all connections
	undeliveredAnswerLimit = 2 * time.Second         // until a call with an undelivered answer is released at its core
	warmUpTime             = 14 * time.Second        // until a core that has started has its full capacity
	coldShare              = 0.3                     // part of its full capacity that a core has at its start
	fallMultiple           = 4                       // set-ups above this multiple of a core's capacity overload it
	fallWindow             = 2 * time.Second         // period over which these set-ups are counted

	// minNotifiedShare is the share of a cold core's set-ups that notified controllers must exceed for a breach to
	// count.
	minNotifiedShare = 2.0 / 3
)

// Reasons to excuse a call whose caller received no release because the controller's process had ended.
const (
	excuseEndedAfterExit = "the call ended after its controller's process"
	excuseKilled         = "the call's controller was killed before its release was due"
	excuseConnectionCut  = "the call's controller ended, and its caller's connection was cut silently"
	excuseCoreFaulty     = "the call's controller ended, and its core was faulty when it released the call"
)

// Reasons to excuse a call that was released although its core had it: nothing could show the controller that it had.
const (
	excuseListedGone  = "the membership list had the call's core as gone"
	excuseListedStart = "the membership list had a start of the call's core after its answer"
	excuseUnlinked    = "the call's core had dropped all connections, and released none of its earlier calls"
)

// Rule names a requirement on the controller, which a Finding shows to be broken.
type Rule string

// The rules.
const (
	RuleLost         Rule = "lost"          // a set-up without a final answer in time
	RuleSecondAnswer Rule = "second-answer" // more than one final answer
	RuleForeign      Rule = "foreign"       // an answer that no core sent
	RuleOverlap      Rule = "overlap"       // two open attempts at once
	RuleHold         Rule = "hold"          // a new attempt within 300 ms of a timeout, reset or cancel
	RuleDrain        Rule = "drain"         // a set-up to a core that is draining or gone
	RuleRelease      Rule = "release"       // the caller of an ended call is not released in time
	RuleGivenUp      Rule = "given-up"      // a call was cut although its core was alive and responsive again in time
	RuleCold         Rule = "cold"          // a core that has just started was overloaded
	RuleLeftStanding Rule = "left-standing" // a call stands at a core, although its caller did not get the answer
	RuleCrash        Rule = "crash"         // a process crashed, ended with an error or was not ready in time
	RuleLimit        Rule = "limit"         // the limit on memory or descriptors is exceeded
)

// Rules lists every rule, in the order of the summary's table.
var Rules = []Rule{RuleLost, RuleSecondAnswer, RuleForeign, RuleOverlap, RuleHold, RuleDrain, RuleRelease, RuleGivenUp, RuleCold,

	RuleLeftStanding, RuleCrash, RuleLimit}

// Finding is one breach of a rule. Call, Controller and Core are empty where they do not apply.
type Finding struct {
	Rule       Rule
	At         time.Duration
	Call       string
	Controller string
	Core       string
	Text       string
	Evidence   []Event // events that show the breach
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	return fmt.Sprintf("%s at %.3f s: call %s, controller %s, core %s: %s", f.Rule, f.At.Seconds(), f.Call, f.Controller, f.Core, f.Text)
}

// Verdict is the result of Check: the broken rules and the totals of a trial.
type Verdict struct {
	Findings   []Finding
	Excused    map[string]int // breaches that a known cause excuses, by reason
	Calls      int            // set-ups that callers sent
	Stood      int
	Refused    int
	Failed     int
	Cut        int // standing calls that the controller ended on its own
	CoreSetups int // set-ups that cores received
}

// CheckConfig holds what the checker needs beside the records.
type CheckConfig struct {
	Settings Settings
	Capacity float64       // set-ups per second that a warm core can serve; 0 skips the rule on cold cores
	Lag      time.Duration // largest delay of the trial's own timers, added to every time limit
}

// callRecord holds the events of one call. Where a kind is kept as a pointer, it is the first event of that kind.
type callRecord struct {
	id                      string
	sent                    *Event
	answers                 []Event
	cancel, release, hangup *Event
	lost                    *Event
	setups                  []Event           // received by cores, in order
	attemptEnds             []Event           // answers, refusals and cancels at cores, in order
	coreEnd, coreRelease    map[string]*Event // by core: the end of the call there; the release that the core wrote
	coreAnswers             []Event
	controllerReleases      []Event // releases of the standing call that cores received
	allEvents               []Event
}

// checker holds the events of a trial, indexed for the rules, and the verdict so far.
type checker struct {
	CheckConfig
	events    []Event
	calls     map[string]*callRecord
	callIDs   []string           // in the order of their first events
	processes map[string][]Event // by controller: start, ready, signal, exit
	faults    map[string][]Event // by core
	discovery []Event            // changes and faults
	unlinked  []Event
	notified  map[processChange]time.Duration
	verdict   Verdict
}

// Check evaluates the rules on the events of a trial, which must be in order of time. It returns the findings in order
// of time.
func Check(events []Event, config CheckConfig) Verdict {
	c := &checker{CheckConfig: config, events: events, calls: map[string]*callRecord{}, processes: map[string][]Event{},
		faults: map[string][]Event{}, notified: map[processChange]time.Duration{}, verdict: Verdict{Excused: map[string]int{}}}
	c.indexEvents()
	for _, id := range c.callIDs {
		c.checkCall(c.calls[id])
	}
	c.checkDrains()
	c.checkColdStarts()
	c.checkProcesses()
	sort.SliceStable(c.verdict.Findings, func(i, j int) bool { return c.verdict.Findings[i].At < c.verdict.Findings[j].At })
	return c.verdict
}

// tolerance returns the time that is added to every time limit.
func (c *checker) tolerance() time.Duration { return tolerance + c.Lag }

func (c *checker) addFinding(f Finding) { c.verdict.Findings = append(c.verdict.Findings, f) }

// countExcuse counts a breach that is excused for a reason.
func (c *checker) countExcuse(reason string) { c.verdict.Excused[reason]++ }

// recordOf returns the record of a call and creates it on first use.
func (c *checker) recordOf(id string) *callRecord {
	r := c.calls[id]
	if r == nil {
		r = &callRecord{id: id, coreEnd: map[string]*Event{}, coreRelease: map[string]*Event{}}
		c.calls[id] = r
		c.callIDs = append(c.callIDs, id)
	}
	return r
}

// indexEvents assigns the events to calls, processes, cores and discovery.
func (c *checker) indexEvents() {
	for i := range c.events {
		e := &c.events[i]
		if e.Call != "" {
			c.indexCallEvent(c.recordOf(e.Call), e)
		}
		switch e.Kind {
		case ProcessStart, ProcessReady, ProcessSignal, ProcessExit:
			c.processes[e.Controller] = append(c.processes[e.Controller], *e)
		case DiscoverySet, DiscoveryFault:
			c.discovery = append(c.discovery, *e)
		case CoreUnlinked:
			c.unlinked = append(c.unlinked, *e)
		case Fault:
			if e.Core != "" {
				c.faults[e.Core] = append(c.faults[e.Core], *e)
			}
		}
	}
}

// indexCallEvent adds an event to the record of its call.
func (c *checker) indexCallEvent(r *callRecord, e *Event) {
	r.allEvents = append(r.allEvents, *e)
	setFirst := func(target **Event) {
		if *target == nil {
			*target = e
		}
	}
	switch e.Kind {
	case CallerSent:
		setFirst(&r.sent)
	case CallerAnswer:
		r.answers = append(r.answers, *e)
	case CallerCancel:
		setFirst(&r.cancel)
	case CallerRelease:
		setFirst(&r.release)
	case CallerHangup:
		setFirst(&r.hangup)
	case CallerLost:
		setFirst(&r.lost)
	case CoreSetup:
		r.setups = append(r.setups, *e)
	case CoreAnswer:
		r.coreAnswers = append(r.coreAnswers, *e)
		r.attemptEnds = append(r.attemptEnds, *e)
	case CoreRefuse, CoreGivenUp:
		r.attemptEnds = append(r.attemptEnds, *e)
	case CoreReleased:
		r.controllerReleases = append(r.controllerReleases, *e)
	case CoreEnd:
		if r.coreEnd[e.Core] == nil {
			r.coreEnd[e.Core] = e
		}
	case CoreRelease:
		if r.coreRelease[e.Core] == nil {
			r.coreRelease[e.Core] = e
		}
	}
}

// checkProcesses checks how long processes took to get ready, how they ended, and their use of memory and descriptors.
func (c *checker) checkProcesses() {
	for name, events := range c.processes {
		var start *Event
		for i, e := range events {
			switch e.Kind {
			case ProcessStart:
				start = &events[i]
			case ProcessReady:
				if took := e.At - start.At; took > readyWithin+c.tolerance() {
					c.addFinding(Finding{Rule: RuleCrash, At: e.At, Controller: name, Text: fmt.Sprintf("ready after %v", took)})
				}
			case ProcessExit:
				if e.Text != "0" && e.Text != "signal: killed" {
					c.addFinding(Finding{Rule: RuleCrash, At: e.At, Controller: name, Text: "process ended: " + e.Text})
				}
			}
		}
	}
	reported := map[string]bool{}
	for _, e := range c.events {
		if e.Kind != Usage || reported[e.Controller] {
			continue
		}
		if memory := int64(c.Settings.Memory) << 20; e.Memory > memory || e.Descriptors > c.Settings.Descriptors {
			reported[e.Controller] = true
			c.addFinding(Finding{Rule: RuleLimit, At: e.At, Controller: e.Controller,
				Text: fmt.Sprintf("%d MiB and %d descriptors", e.Memory>>20, e.Descriptors)})
		}
	}
}
