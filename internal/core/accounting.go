package core

import (
	"context"
	"log/slog"

	"brookmux"
	"brookmux/internal/settings"
	"brookmux/internal/storm"
)

// noReport is the report of an outcome in which the core sent no figures.
var noReport = settings.EmptyReport()

// Counts holds event totals since the start of the process.
//
// Of the requests, Taken were accepted, Repeated had the key of a call that is in the table or has recently ended,
// Invalid could not be served by any core, Full met the limit on memory or on open calls, Withdrawn were cancelled by
// their callers and CallerLost ended with the caller's connection. Stood, Refused and Failed count the final answers.
// Sent counts attempts, LateAnswers answers for no open attempt, Unresolved calls that ended before their answer was
// received, Ignored messages that match no attempt, Orphans the ends of calls of an earlier process, HungUp and Cut the
// standing calls ended by the caller or abnormally. Guards counts rules enforced in place of the decision module.
type Counts struct {
	Taken, Repeated, Invalid, Full, Withdrawn, CallerLost        int
	Stood, Refused, Failed                                       int
	Sent, LateAnswers, Unresolved, Ignored, Orphans, HungUp, Cut int
	Lost                                                         LostCalls // standing calls that were cut without a word from their core
	Results                                                      [8]int    // failed attempts by brookmux.Result
	Guards                                                       int
	Draining                                                     int    // set-ups rejected during shutdown
	Storm                                                        *Storm // nil where storm detection is off
}

// LostCalls holds totals of standing calls by the reason for which they were taken to be over: their core was silent, it was
// not decided whether the process at its address has them, nothing listens there, the process there lacks them, or the
// membership list says so.
type LostCalls struct{ Silent, Undecided, Refused, Missing, ByList int }

// add counts calls that were lost for a reason.
func (n *LostCalls) add(reason LossReason, calls int) {
	switch reason {
	case LossSilent:
		n.Silent += calls
	case LossUndecided:
		n.Undecided += calls
	case LossRefused:
		n.Refused += calls
	case LossMissing:
		n.Missing += calls
	case LossUnlisted, LossMoved, LossRestarted, LossReplaced:
		n.ByList += calls
	}
}

// Storm holds the totals of storm detection and the current state of its scopes.
type Storm struct {
	storm.Counts
	Scopes []storm.Status // the whole controller, then each class, then each exchange
}

// addOutcome counts the end of an attempt: an unsuccessful one by its result, a standing call that did not end normally
// as cut.
func (n *Counts) addOutcome(r brookmux.Result, stood bool) {
	switch {
	case !stood && r >= 0 && int(r) < len(n.Results):
		n.Results[r]++
	case stood && r != brookmux.ResultOK:
		n.Cut++
	}
}

// markAnswered records that a call has its final answer: it stops the deadline timer, frees the memory of the request
// and counts a call that stands. Further invocations for the same call do nothing.
func (e *Engine) markAnswered(c *call) {
	if !c.answered {
		c.answered = true
		c.deadlineTimer.stop()
		e.openCalls--
		e.heldBytes.Add(-c.size)
		c.Description = nil
		e.stormAnswered(c)
		if c.current != nil && c.current.stands {
			e.counts.Stood++
		}
	}
}

// close deletes a call from the table and remembers its key as recently ended.
func (e *Engine) close(c *call) {
	e.markAnswered(c)
	delete(e.calls, c.Key)
	delete(e.byID, c.id)
	e.ended.add(c.Key, c.wasSent)
	e.checkDrained()
}

// recentlyEnded reports whether a call with this key ended within the retention period, so that a message that still
// arrives for it is recognised as late.
func (e *Engine) recentlyEnded(key string) bool { return e.ended.contains(key) }

// rotateEnded drops the older generation of ended keys and schedules the next rotation.
func (e *Engine) rotateEnded() {
	e.ended.rotate()
	e.schedule(endedRetention, e.rotateEnded)
}

// recordGuard logs and counts that the engine enforced a rule that the decision module did not observe.
func (e *Engine) recordGuard(rule string, c *call) {
	e.counts.Guards++
	e.Config.Log.Warn("guard", "rule", rule, "call", c.Key, "sends", c.sends,
		"out", c.current != nil, "last", c.lastResult, "age", e.now-c.at, "left", c.Remaining, "transit", c.Transit)
}

// reportCounts writes the totals to the log, offers them to the Reports channel and schedules the next report.
func (e *Engine) reportCounts() {
	e.logCounts()
	if e.Storm != nil && e.Reports != nil {
		e.counts.Storm = &Storm{e.Storm.Counts(), e.Storm.Statuses(e.now)}
	}
	select {
	case e.Reports <- e.counts: // never ready on a nil channel
	default:
	}
	e.reportTimer = e.schedule(e.reportInterval, e.reportCounts)
}

// logCounts writes the totals to the log.
func (e *Engine) logCounts() {
	n := e.counts
	e.Config.Log.Info("counts", "taken", n.Taken, "open", e.openCalls, "table", len(e.calls), "stood", n.Stood,
		"refused", n.Refused, "failed", n.Failed, "withdrawn", n.Withdrawn, "callers_lost", n.CallerLost,
		"repeated", n.Repeated, "unfit", n.Invalid, "full", n.Full, "sent", n.Sent, "late_answers", n.LateAnswers,
		"unresolved", n.Unresolved, "ignored", n.Ignored, "orphaned_calls", n.Orphans,
		"cut", n.Cut, "hung_up", n.HungUp, "guards", n.Guards, slog.Group("lost", "silent", n.Lost.Silent,
			"undecided", n.Lost.Undecided, "refused", n.Lost.Refused, "missing", n.Lost.Missing, "by_list", n.Lost.ByList), slog.Group("results",
			"error", n.Results[brookmux.ResultError], "full", n.Results[brookmux.ResultFull],
			"timeout", n.Results[brookmux.ResultTimeout], "connect", n.Results[brookmux.ResultConnectFailed],
			"reset", n.Results[brookmux.ResultReset], "moot", n.Results[brookmux.ResultMoot]))
	if e.Storm != nil {
		s := e.Storm.Counts()
		e.Config.Log.Info("storm counts", "offered", s.Offered, "redials", s.Redials, "ignorers", s.Ignorers,
			"no_room", s.Rejected[storm.NoRoom], "came_early", s.Rejected[storm.CameEarly], "vetoed", s.Vetoed, "ramps", s.Ramps)
	}
}

// logAttempt logs an event of an attempt at debug level.
func (e *Engine) logAttempt(event string, c *call, a *attempt, r brookmux.Report, more ...any) {
	if !e.Config.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	e.Config.Log.Debug(event, append([]any{"call", c.Key, "class", c.Class, "to", a.to, "dest", c.Destination,
		"transit", c.Transit, "took", e.now - a.at, "age", e.now - c.at, "free", r.Free, "wait", r.Wait}, more...)...)
}
