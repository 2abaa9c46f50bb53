package faulttrial

import (
	"fmt"
	"slices"
	"sort"
	"strings"
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
	warmAfter       = 14 * time.Second
	coldShare       = 0.3
	fallMultiple    = 4
	fallWindow      = 2 * time.Second
)

// excuseRestarted is the excuse of a call whose end came after its controller had ended.
const excuseRestarted = "the call's controller was restarted"

// Rule names what a Finding breaks.
type Rule string

// The rules.
const (
	RuleAnswer  Rule = "lost"          // a set-up without a final answer in time
	RuleSecond  Rule = "second-answer" // more than one final answer
	RuleForeign Rule = "foreign"       // an answer that no core made
	RuleOverlap Rule = "overlap"       // two attempts out at once
	RuleHold    Rule = "hold"          // a resend within 300 ms after a timeout, reset or cancel
	RuleDrain   Rule = "drain"         // a set-up to a core that drains or is gone
	RuleRelease Rule = "release"       // the end of a call that stood is not told in time
	RuleGivenUp Rule = "given-up"      // a call was cut though its core was alive and back in time
	RuleCold    Rule = "cold"          // a core that has just started was pushed over
	RuleCrash   Rule = "crash"         // a process ended by itself, or with an error, or was not ready in time
	RuleLimit   Rule = "limit"         // over the limit on memory or descriptors
)

// Rules are all of them, in the order of tables.
var Rules = []Rule{RuleAnswer, RuleSecond, RuleForeign, RuleOverlap, RuleHold, RuleDrain, RuleRelease, RuleGivenUp, RuleCold,
	RuleCrash, RuleLimit}

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

func (c *checker) checkCall(r *callRecord) {
	c.verdict.Sendings += len(r.setups)
	if r.sent == nil {
		return // a set-up that its caller could not write whole
	}
	c.verdict.Calls++
	c.checkAnswer(r)
	c.checkAttempts(r)
	c.checkRelease(r)
}

func (c *checker) finding(r *callRecord, rule Rule, at time.Duration, core, text string) {
	c.find(Finding{Rule: rule, At: at, Call: r.id, Controller: r.sent.Controller, Core: core, Text: text, Lines: r.all})
}

// checkAnswer checks that a set-up has one final answer, in time, and that a core made it.
func (c *checker) checkAnswer(r *callRecord) {
	if len(r.answers) > 1 {
		c.finding(r, RuleSecond, r.answers[1].At, "", "a second final answer")
	}
	if len(r.answers) == 0 {
		c.checkUnanswered(r)
		return
	}
	a := r.answers[0]
	switch {
	case a.Status < 300:
		c.verdict.Stood++
		made := slices.ContainsFunc(r.coreAnswers, func(e Event) bool { return e.Text == a.Text && a.Text != "" })
		if !made {
			c.finding(r, RuleForeign, a.At, "", "answered with what no core made")
		}
	case a.Status == 503 || a.Status == 480:
		c.verdict.Refused++
	case a.Status != 487:
		c.verdict.Failed++
	}
	if late := a.At - (r.sent.At + r.sent.Deadline); r.cancel == nil && late > lostAfter+c.slack() {
		c.finding(r, RuleAnswer, a.At, "", fmt.Sprintf("answered %v after its time", late.Round(time.Millisecond)))
	}
}

// checkUnanswered judges a set-up without a final answer.
func (c *checker) checkUnanswered(r *callRecord) {
	due := r.sent.At + r.sent.Deadline + lostAfter + c.slack()
	if r.cancel != nil {
		c.excuse("set-up given up by its caller")
		return
	}
	last := c.events[len(c.events)-1].At
	if due > last {
		c.excuse("trial ended before the set-up's time")
		return
	}
	exit, term := c.exitAfter(r.sent.Controller, r.sent.At-slack)
	killed := exit != nil && (exit.At <= due || r.lost != nil && exit.At <= r.lost.At+c.slack())
	switch {
	case killed && r.sent.At >= exit.At-slack:
		c.excuse("set-up sent to a process that had ended")
		return
	case killed && term == nil:
		c.excuse("process killed without a warning")
		return
	case killed && r.sent.At <= term.At+shutdownMargin && r.sent.Deadline > shutdownCounts:
		c.excuse("killed before the set-up's own time")
		return
	case r.lost != nil && strings.HasPrefix(r.lost.Text, "crossed"):
		c.excuse("set-up crossed a close, and the controller took no new connection")
		return
	}
	text := "no final answer"
	if r.lost != nil {
		text = r.lost.Text + " without a final answer"
	}
	if killed {
		text += fmt.Sprintf("; process ended at %.3f, told to at %.3f", exit.At.Seconds(), term.At.Seconds())
	}
	c.finding(r, RuleAnswer, due, "", text)
}

// exitAfter is the first end of a controller's process after a time, and the SIGTERM before that, if any.
func (c *checker) exitAfter(controller string, at time.Duration) (exit, term *Event) {
	for i, e := range c.processes[controller] {
		switch {
		case e.Kind == ProcessStart:
			term = nil
		case e.Kind == ProcessSignal && e.Text == "terminated" && term == nil:
			term = &c.processes[controller][i]
		case e.Kind == ProcessExit && e.At >= at:
			return &c.processes[controller][i], term
		}
	}
	return nil, nil
}

// checkAttempts checks that attempts follow each other, and not too soon.
func (c *checker) checkAttempts(r *callRecord) {
	for i := 1; i < len(r.setups); i++ {
		before, next := r.setups[i-1], r.setups[i]
		end := c.attemptEnd(r, before)
		if end == nil || end.At > next.At+c.slack() {
			if c.silentDuring(before.Core, before.At, next.At+c.slack()) {
				c.excuse("attempt at a silent core: its end is not seen")
			} else if end == nil || end.Kind != CoreGivenUp {
				c.finding(r, RuleOverlap, next.At, next.Core, "a second attempt while one is out at "+before.Core)
			} else {
				c.finding(r, RuleOverlap, next.At, next.Core, fmt.Sprintf("a second attempt %v before the first at %s is given up", end.At-next.At, before.Core))
			}
			continue
		}
		reset := end.Kind == CoreGivenUp || end.Kind == CoreRefuse && end.Cause == 41
		if gap := next.At - end.At; reset && gap < resendHold-c.slack() && !c.silentDuring(before.Core, before.At, next.At) {
			c.finding(r, RuleHold, next.At, next.Core, fmt.Sprintf("sent again %v after %s gave up", gap.Round(time.Millisecond), before.Core))
		}
	}
}

// attemptEnd is the end of an attempt at its core.
func (c *checker) attemptEnd(r *callRecord, setup Event) *Event {
	for i, e := range r.ends {
		if e.Core == setup.Core && e.At >= setup.At {
			return &r.ends[i]
		}
	}
	return nil
}

// silentDuring tells whether a core was faulty at some time in a span.
func (c *checker) silentDuring(core string, from, to time.Duration) bool {
	silent, late := false, false
	for _, e := range c.faults[core] {
		if e.At > to {
			break
		}
		switch {
		case lossText(e.Text):
			silent = true
		case e.Text == "back":
			silent = false
			if e.At >= from-staleRead {
				return true // what had come meanwhile is read late
			}
		case strings.HasSuffix(e.Text, "idle connections") && e.At >= from-slack:
			return true
		case strings.HasPrefix(e.Text, "connections come up"):
			late = !strings.HasPrefix(e.Text, "connections come up 0s")
			if !late && e.At >= from-staleRead {
				return true
			}
		}
	}
	return silent || late
}

// silence is the longest span in which a core was silent, of those that overlap a span.
func (c *checker) silence(core string, from, to time.Duration) time.Duration {
	longest, began := time.Duration(0), time.Duration(-1)
	for _, e := range c.faults[core] {
		switch {
		case lossText(e.Text) && began < 0:
			began = e.At
		case e.Text == "back" && began >= 0:
			if e.At >= from && began <= to {
				longest = max(longest, e.At-began)
			}
			began = -1
		}
	}
	if began >= 0 && began <= to {
		longest = max(longest, to-began)
	}
	return longest
}

// checkRelease checks that the end of a call that stood is told in time, and that it was over.
func (c *checker) checkRelease(r *callRecord) {
	if len(r.answers) == 0 || r.answers[0].Status >= 300 {
		return
	}
	if r.hangup != nil {
		return
	}
	core := ""
	for _, e := range r.coreAnswers {
		if core == "" || e.Text == r.answers[0].Text {
			core = e.Core // others may have answered, unheard
		}
	}
	end, told := r.end[core], r.told[core]
	last := c.events[len(c.events)-1].At
	if end == nil || r.release != nil && r.release.At < end.At {
		if r.release == nil {
			return // it stands at the trial's end, or its controller was killed
		}
		c.verdict.Cut++
		silent := c.silence(core, r.answers[0].At, r.release.At)
		if silent >= backInTime {
			c.excuse("call on a core that was silent for long")
			return
		}
		for _, e := range c.faults[core] {
			if strings.HasPrefix(e.Text, "crashed") && e.At <= r.release.At {
				return
			}
		}
		c.finding(r, RuleGivenUp, r.release.At, core, fmt.Sprintf("released though its core was alive (silent for %v at most)", silent.Round(time.Millisecond)))
		return
	}
	due, why := end.At+releaseEnd, "8 s after its end"
	if told != nil && told.At+releaseTold < due {
		due, why = told.At+releaseTold, "1 s after its release"
	}
	due += c.slack()
	if r.release != nil && r.release.At <= due {
		return
	}
	if due > last {
		c.excuse("trial ended before the release was due")
		return
	}
	if exit, _ := c.exitAfter(r.sent.Controller, r.answers[0].At); exit != nil && exit.At <= due {
		c.excuse(excuseRestarted)
		return
	}
	text := "its end was not told within " + why
	if r.release != nil {
		text += fmt.Sprintf(" (told %v after its end)", (r.release.At - end.At).Round(time.Millisecond))
	}
	c.finding(r, RuleRelease, due, core, text+": "+end.Text)
}

// checkDrains checks that nothing new goes to a core later than 1 s after the controller counts as told.
func (c *checker) checkDrains() {
	withdrawn := map[string]Event{} // by core: the change that took it out
	for _, e := range c.discovery {
		if e.Kind != DiscoverySet {
			continue
		}
		if _, before := withdrawn[e.Core]; e.Text == string(Ready) {
			delete(withdrawn, e.Core)
		} else if !before {
			withdrawn[e.Core] = e
		}
	}
	told := map[string]time.Duration{}
	for _, e := range c.events {
		change, ok := withdrawn[e.Core]
		if e.Kind != CoreSetup || !ok || e.At < change.At {
			continue
		}
		key := e.Controller + " " + e.Core
		at, known := told[key]
		if !known {
			at = c.toldAt(e.Controller, change)
			told[key] = at
		}
		if e.At > at+drainGrace+c.slack() {
			c.find(Finding{Rule: RuleDrain, At: e.At, Call: e.Call, Controller: e.Controller, Core: e.Core,
				Text:  fmt.Sprintf("set-up %v after the controller counted as told", (e.At - at).Round(time.Millisecond)),
				Lines: append([]Event{change, e}, c.calls[e.Call].all...)})
		}
	}
}

// toldAt is when a controller counts as told of a change.
func (c *checker) toldAt(controller string, change Event) time.Duration {
	at := change.At + toldAfter
	reachable := change.At
	faulty := false
	for _, e := range c.discovery {
		if e.Kind != DiscoveryFault {
			continue
		}
		good := strings.HasPrefix(e.Text, string(Prompt))
		switch {
		case !good && e.At <= at:
			faulty = true
		case good && faulty && e.At > change.At-toldAfterOutage:
			reachable = max(reachable, e.At)
			at = max(at, reachable+toldAfterOutage)
			faulty = false
		case good:
			faulty = false
		}
	}
	if faulty {
		at = c.events[len(c.events)-1].At + time.Hour // not back before the trial's end
	}
	for _, e := range c.processes[controller] {
		if e.Kind == ProcessSignal && e.Text == "hangup" && e.At > change.At-toldAfterMove && e.At < at {
			at = max(at, e.At+toldAfterMove)
		}
		if e.Kind == ProcessStart && e.At > change.At && e.At < at {
			at = max(at, e.At) // the list of its start holds the change
		}
	}
	for _, e := range c.events { // an answer that holds it tells it in any case
		if e.Kind == DiscoverySent && e.Controller == controller && e.Serial >= change.Serial && e.At < at {
			return e.At
		}
	}
	return at
}

// checkCold checks that a core that has just started is not pushed over.
func (c *checker) checkCold() {
	if c.Capacity <= 0 {
		return
	}
	for core, faults := range c.faults {
		for _, f := range faults {
			if strings.HasPrefix(f.Text, "started") {
				c.checkColdStart(core, f.At)
			}
		}
	}
}

func (c *checker) checkColdStart(core string, start time.Duration) {
	var window []time.Duration
	for _, e := range c.events {
		if e.Kind != CoreSetup || e.Core != core || e.At < start || e.At > start+warmAfter {
			continue
		}
		window = append(window, e.At)
		for window[0] < e.At-fallWindow {
			window = window[1:]
		}
		warmth := coldShare + (1-coldShare)*float64(e.At-start)/float64(warmAfter)
		n := fallMultiple * c.Capacity * warmth * fallWindow.Seconds()
		if most := mostSetups(n); float64(len(window)) > most {
			c.find(Finding{Rule: RuleCold, At: e.At, Call: e.Call, Controller: e.Controller, Core: core,
				Text: fmt.Sprintf("%d set-ups in %v, %.0f are allowed", len(window), fallWindow, most)})
			return
		}
	}
}

// mostSetups is the most set-ups that a core bears where the settings allow it n.
func mostSetups(n float64) float64 {
	factor := 2.0
	if n < 30 {
		factor = 3
	}
	root := 0.0
	for root*root < n {
		root += 0.01
	}
	return n + factor*root + factor
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
