package faulttrial

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// checkCall counts a call and evaluates its rules.
func (c *checker) checkCall(r *callRecord) {
	c.verdict.CoreSetups += len(r.setups)
	if r.sent == nil {
		return // its caller could not write the whole set-up
	}
	c.verdict.Calls++
	c.checkAnswer(r)
	c.checkAttempts(r)
	c.checkRelease(r)
	c.checkStanding(r)
}

// addCallFinding adds a finding on a call, with all of the call's events as evidence.
func (c *checker) addCallFinding(r *callRecord, rule Rule, at time.Duration, core, text string) {
	c.addFinding(Finding{Rule: rule, At: at, Call: r.id, Controller: r.sent.Controller, Core: core, Text: text, Evidence: r.allEvents})
}

// checkAnswer checks that a set-up has exactly one final answer, in time, and that a positive one came from a core.
func (c *checker) checkAnswer(r *callRecord) {
	if len(r.answers) > 1 {
		c.addCallFinding(r, RuleSecondAnswer, r.answers[1].At, "", "a second final answer")
	}
	if len(r.answers) == 0 {
		c.checkUnanswered(r)
		return
	}
	answer := r.answers[0]
	switch {
	case answer.Status < 300:
		c.verdict.Stood++
		madeByCore := slices.ContainsFunc(r.coreAnswers, func(e Event) bool { return e.Text == answer.Text && answer.Text != "" })
		if !madeByCore {
			c.addCallFinding(r, RuleForeign, answer.At, "", "answered with a body that no core sent")
		}
	case answer.Status == 503 || answer.Status == 480:
		c.verdict.Refused++
	case answer.Status != 487:
		c.verdict.Failed++
	}
	if late := answer.At - (r.sent.At + r.sent.Deadline); r.cancel == nil && late > answerGrace+c.tolerance() {
		c.addCallFinding(r, RuleLost, answer.At, "", fmt.Sprintf("answered %v after its deadline", late.Round(time.Millisecond)))
	}
}

// checkUnanswered adds a finding for a set-up without a final answer, unless its caller cancelled it, the trial ended
// first, or the end of the process or the connection excuses it.
func (c *checker) checkUnanswered(r *callRecord) {
	due := r.sent.At + r.sent.Deadline + answerGrace + c.tolerance()
	if r.cancel != nil {
		c.countExcuse("set-up cancelled by its caller")
		return
	}
	trialEnd := c.events[len(c.events)-1].At
	if due > trialEnd {
		c.countExcuse("trial ended before the set-up's deadline")
		return
	}
	exit, term := c.nextExit(r.sent.Controller, r.sent.At-tolerance)
	killed := exit != nil && (exit.At <= due || r.lost != nil && exit.At <= r.lost.At+c.tolerance())
	switch {
	case killed && r.sent.At >= exit.At-tolerance:
		c.countExcuse("set-up sent to a process that had ended")
		return
	case killed && term == nil:
		c.countExcuse("process killed without SIGTERM")
		return
	case killed && r.sent.At <= term.At+shutdownMargin && r.sent.Deadline > maxCountedDeadline:
		c.countExcuse("process killed before the set-up's own deadline")
		return
	case r.lost != nil && strings.HasPrefix(r.lost.Text, "crossed"):
		c.countExcuse("set-up crossed a close, and the controller accepted no new connection")
		return
	}
	text := "no final answer"
	if r.lost != nil {
		text = r.lost.Text + " without a final answer"
	}
	if killed {
		text += fmt.Sprintf("; process ended at %.3f, SIGTERM at %.3f", exit.At.Seconds(), term.At.Seconds())
	}
	c.addCallFinding(r, RuleLost, due, "", text)
}

// nextExit returns the first exit of a controller's process at or after a time, and the first SIGTERM of that process
// before it. Either is nil if there is none.
func (c *checker) nextExit(controller string, at time.Duration) (exit, term *Event) {
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

// checkAttempts checks that a call's attempts do not overlap, and that a new one waits for minResendWait after a
// timeout, reset or cancel.
func (c *checker) checkAttempts(r *callRecord) {
	for i := 1; i < len(r.setups); i++ {
		previous, next := r.setups[i-1], r.setups[i]
		end := c.attemptEnd(r, previous)
		if end == nil || end.At > next.At+c.tolerance() {
			if c.faultyDuring(previous.Core, previous.At, next.At+c.tolerance()) {
				c.countExcuse("attempt at an unresponsive core: its end is not visible")
			} else if end == nil || end.Kind != CoreGivenUp {
				c.addCallFinding(r, RuleOverlap, next.At, next.Core, "a second attempt while one is open at "+previous.Core)
			} else {
				c.addCallFinding(r, RuleOverlap, next.At, next.Core,
					fmt.Sprintf("a second attempt %v before the first at %s is abandoned", end.At-next.At, previous.Core))
			}
			continue
		}
		reset := end.Kind == CoreGivenUp || end.Kind == CoreRefuse && end.Cause == 41
		if gap := next.At - end.At; reset && gap < minResendWait-c.tolerance() && !c.faultyDuring(previous.Core, previous.At, next.At) {
			c.addCallFinding(r, RuleHold, next.At, next.Core,
				fmt.Sprintf("sent again %v after the attempt at %s failed", gap.Round(time.Millisecond), previous.Core))
		}
	}
}

// attemptEnd returns the event that ended an attempt at its core, or nil.
func (c *checker) attemptEnd(r *callRecord, setup Event) *Event {
	for i, e := range r.attemptEnds {
		if e.Core == setup.Core && e.At >= setup.At {
			return &r.attemptEnds[i]
		}
	}
	return nil
}

// faultyDuring reports whether a core was affected by a fault at some time in a span: by an outage or by delayed
// connects, each with the staleReadWindow after it, or by a disturbance of its idle connections.
func (c *checker) faultyDuring(core string, from, to time.Duration) bool {
	outage, slowConnect := false, false
	for _, e := range c.faults[core] {
		if e.At > to {
			break
		}
		switch {
		case isOutageText(e.Text):
			outage = true
		case e.Text == "back":
			outage = false
			if e.At >= from-staleReadWindow {
				return true // what arrived during the outage is read late
			}
		case strings.HasSuffix(e.Text, "idle connections") && e.At >= from-tolerance:
			return true
		case strings.HasPrefix(e.Text, "connections come up"):
			slowConnect = !strings.HasPrefix(e.Text, "connections come up 0s")
			if !slowConnect && e.At >= from-staleReadWindow {
				return true
			}
		}
	}
	return outage || slowConnect
}

// longestOutage returns the length of a core's longest outage among those that overlap a span. One that has not ended
// counts up to the end of the span.
func (c *checker) longestOutage(core string, from, to time.Duration) time.Duration {
	longest, outageStart := time.Duration(0), time.Duration(-1)
	for _, e := range c.faults[core] {
		switch {
		case isOutageText(e.Text) && outageStart < 0:
			outageStart = e.At
		case e.Text == "back" && outageStart >= 0:
			if e.At >= from && outageStart <= to {
				longest = max(longest, e.At-outageStart)
			}
			outageStart = -1
		}
	}
	if outageStart >= 0 && outageStart <= to {
		longest = max(longest, to-outageStart)
	}
	return longest
}

// checkRelease checks that the caller of a standing call is released in time after the call's end, and not while its
// core keeps the call.
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
			core = e.Core // answers of other cores may not have reached the caller
		}
	}
	coreEnd, coreRelease := r.coreEnd[core], r.coreRelease[core]
	trialEnd := c.events[len(c.events)-1].At
	if coreEnd == nil || r.release != nil && r.release.At < coreEnd.At {
		if r.release == nil {
			return // the call stands at the trial's end, or its controller was killed
		}
		c.verdict.Cut++
		outage := c.longestOutage(core, r.answers[0].At, r.release.At)
		if outage >= maxToleratedOutage {
			c.countExcuse("call on a core that was unresponsive for too long")
			return
		}
		for _, e := range c.faults[core] {
			if strings.HasPrefix(e.Text, "crashed") && e.At <= r.release.At {
				return
			}
		}
		if excuse := c.givenUpExcuse(r, core); excuse != "" {
			c.countExcuse(excuse)
			return
		}
		c.addCallFinding(r, RuleGivenUp, r.release.At, core,
			fmt.Sprintf("released although its core was alive (unresponsive for %v at most)", outage.Round(time.Millisecond)))
		return
	}
	due, limit := coreEnd.At+releaseLimit, "8 s after the call's end"
	if coreRelease != nil && coreRelease.At+releaseRelayLimit < due {
		due, limit = coreRelease.At+releaseRelayLimit, "1 s after the core's release"
	}
	due += c.tolerance()
	if r.release != nil && r.release.At <= due {
		return
	}
	if due > trialEnd {
		c.countExcuse("trial ended before the release was due")
		return
	}
	text := "its caller was not released within " + limit
	if exit, _ := c.nextExit(r.sent.Controller, r.answers[0].At); exit != nil && exit.At <= due {
		excuse := c.exitExcuse(r, exit, coreRelease, core)
		if excuse != "" {
			c.countExcuse(excuse)
			return
		}
		due, text = exit.At, "its controller exited without releasing the caller"
	}
	if r.release != nil {
		text += fmt.Sprintf(" (released %v after the call's end)", (r.release.At - coreEnd.At).Round(time.Millisecond))
	}
	c.addCallFinding(r, RuleRelease, due, core, text+": "+coreEnd.Text)
}

// givenUpExcuse returns the reason why a controller could not know that a core still had a call that it released, or "". A
// core that the list has as gone has no calls, a listed start is exact, and a core whose connections have all ended looks
// like one that was replaced, as long as no message names an earlier call.
func (c *checker) givenUpExcuse(r *callRecord, core string) string {
	answeredAt := r.answers[0].At
	for _, e := range r.coreAnswers {
		if e.Core == core {
			answeredAt = e.At
		}
	}
	gone := false
	for _, e := range c.discovery {
		if e.Kind != DiscoverySet || e.Core != core || e.At > r.release.At {
			continue
		}
		gone = e.Text == string(Gone)
		if e.Started > answeredAt {
			return excuseListedStart
		}
	}
	if gone {
		return excuseListedGone
	}
	for _, e := range c.unlinked {
		since := r.release.At - e.At
		if e.Core == core && e.Controller == r.sent.Controller && e.At >= answeredAt && since >= minUnlinkedLease &&
			since <= releaseLimit+c.tolerance() && !c.namedAfter(e, r.release.At) {
			return excuseUnlinked
		}
	}
	return ""
}

// namedAfter reports whether a core released a call between an event and a time that it had answered before the event.
func (c *checker) namedAfter(event Event, until time.Duration) bool {
	for _, r := range c.calls {
		release := r.coreRelease[event.Core]
		if release == nil || release.Controller != event.Controller || release.At <= event.At || release.At >= until-c.tolerance() {
			continue
		}
		for _, answer := range r.coreAnswers {
			if answer.Core == event.Core && answer.At < event.At {
				return true
			}
		}
	}
	return false
}

// exitExcuse returns the reason why a controller did not have to release a call's caller before its process ended, or
// "". A process that exits on its own must have waited for the ends of its calls.
func (c *checker) exitExcuse(r *callRecord, exit, coreRelease *Event, core string) string {
	switch {
	case coreRelease == nil || coreRelease.At >= exit.At:
		return excuseEndedAfterExit
	case exit.Text != "0":
		return excuseKilled
	case c.faultyDuring(core, coreRelease.At, exit.At):
		return excuseCoreFaulty
	case slices.ContainsFunc(c.events, func(e Event) bool {
		return e.Kind == Fault && e.Controller == r.sent.Controller && e.Text == textMuted && e.At <= exit.At
	}):
		return excuseConnectionCut
	}
	return ""
}

// checkStanding checks that a call is released at each core whose answer did not reach the caller.
func (c *checker) checkStanding(r *callRecord) {
	for _, answer := range r.coreAnswers {
		received := slices.ContainsFunc(r.answers, func(a Event) bool { return a.Status < 300 && a.Text == answer.Text })
		due := answer.At + undeliveredAnswerLimit + c.tolerance()
		if len(r.answers) > 0 {
			due = max(due, r.answers[0].At+undeliveredAnswerLimit+c.tolerance())
		}
		endsInTime := func(e Event) bool { return e.Core == answer.Core && e.At >= answer.At && e.At <= due }
		coreEnd := r.coreEnd[answer.Core]
		if received || due > c.events[len(c.events)-1].At || slices.ContainsFunc(r.controllerReleases, endsInTime) ||
			coreEnd != nil && endsInTime(*coreEnd) {
			continue
		}
		if exit, _ := c.nextExit(r.sent.Controller, answer.At); exit != nil && exit.At <= due {
			c.countExcuse("the controller of a call whose answer its caller did not get has ended")
			continue
		}
		if c.faultyDuring(answer.Core, answer.At, due) {
			c.countExcuse("a call whose answer its caller did not get stands at a core that was faulty")
			continue
		}
		c.addCallFinding(r, RuleLeftStanding, due, answer.Core,
			fmt.Sprintf("the call stands there for %v, and its caller did not get the answer",
				(due-answer.At).Round(time.Millisecond)))
	}
}
