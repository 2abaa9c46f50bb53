package core

import (
	"context"
	"log/slog"

	"brookmux"
	"brookmux/internal/settings"
	"brookmux/internal/storm"
)

var noReport = settings.NoReport()

// Counts are totals since the start.
type Counts struct {
	Taken, Repeated, Unfit, Full, Withdrawn, CallerLost          int
	Stood, Refused, Failed                                       int
	Sent, LateAnswers, Unresolved, Ignored, Orphans, HungUp, Cut int
	Results                                                      [8]int // of attempts that did not stand, by brookmux.Result
	Guards                                                       int
	Draining                                                     int    // set-ups turned away because the program is about to end
	Storm                                                        *Storm // nil where storms are not seen
}

// Storm is what there is to tell of storms.
type Storm struct {
	storm.Counts
	Scopes []storm.Status // the whole, the classes and the exchanges
}

// outcome counts the end of an attempt.
func (n *Counts) outcome(r brookmux.Result, stood bool) {
	switch {
	case !stood && r >= 0 && int(r) < len(n.Results):
		n.Results[r]++
	case stood && r != brookmux.ResultOK:
		n.Cut++
	}
}

// answer books that a call is owed nothing more.
func (e *Engine) answer(c *call) {
	if !c.answered {
		c.answered = true
		c.deadline.stop()
		e.open--
		e.held.Add(-c.size)
		c.Description = nil
		e.stormAnswered(c)
		if c.out != nil && c.out.stands {
			e.counts.Stood++
		}
	}
}

// close takes a call off the table and remembers its key.
func (e *Engine) close(c *call) {
	e.answer(c)
	delete(e.calls, c.Key)
	delete(e.byID, c.id)
	e.remember(c.Key)
	e.checkDrained()
}

// remember keeps the key of a call that is over, so that what still arrives for it is known to be late.
func (e *Engine) remember(key string) {
	if len(e.recent[0]) >= mostRecent { // sooner than its time: a day has a bound on memory, not on calls
		e.recent[0], e.recent[1] = map[string]struct{}{}, e.recent[0]
	}
	e.recent[0][key] = struct{}{}
}

// ended tells whether a call was over not long ago.
func (e *Engine) ended(key string) bool {
	_, now := e.recent[0][key]
	_, before := e.recent[1][key]
	return now || before
}

// forget drops what was remembered longest.
func (e *Engine) forget() {
	e.recent[0], e.recent[1] = map[string]struct{}{}, e.recent[0]
	e.in(recentSpan, e.forget)
}

// guard logs and counts that the core kept a rule in the module's place.
func (e *Engine) guard(rule string, c *call) {
	e.counts.Guards++
	e.Config.Log.Warn("guard", "rule", rule, "call", c.Key, "sends", c.sends,
		"out", c.out != nil, "last", c.last, "age", e.now-c.at, "left", c.Left, "transit", c.Transit)
}

// report writes the totals to the log now and then.
func (e *Engine) report() {
	e.logCounts()
	if e.Storm != nil && e.Reports != nil {
		e.counts.Storm = &Storm{e.Storm.Counts(), e.Storm.Statuses(e.now)}
	}
	select {
	case e.Reports <- e.counts: // a nil channel never has room
	default:
	}
	e.reporter = e.in(e.every, e.report)
}

// logCounts writes the totals to the log.
func (e *Engine) logCounts() {
	n := e.counts
	e.Config.Log.Info("counts", "taken", n.Taken, "open", e.open, "table", len(e.calls), "stood", n.Stood,
		"refused", n.Refused, "failed", n.Failed, "withdrawn", n.Withdrawn, "callers_lost", n.CallerLost,
		"repeated", n.Repeated, "unfit", n.Unfit, "full", n.Full, "sent", n.Sent, "late_answers", n.LateAnswers, "unresolved", n.Unresolved, "ignored", n.Ignored, "orphaned_calls", n.Orphans,
		"cut", n.Cut, "hung_up", n.HungUp, "guards", n.Guards, slog.Group("results",
			"error", n.Results[brookmux.ResultError], "full", n.Results[brookmux.ResultFull],
			"timeout", n.Results[brookmux.ResultTimeout], "connect", n.Results[brookmux.ResultConnectFailed],
			"reset", n.Results[brookmux.ResultReset], "moot", n.Results[brookmux.ResultMoot]))
	if e.Storm != nil {
		s := e.Storm.Counts()
		e.Config.Log.Info("storm counts", "offered", s.Offered, "redials", s.Redials, "ignorers", s.Ignorers,
			"no_room", s.Turned[storm.NoRoom], "came_early", s.Turned[storm.CameEarly], "vetoed", s.Vetoed, "ramps", s.Ramps)
	}
}

// debug logs what came of an attempt.
func (e *Engine) debug(what string, c *call, l *attempt, r brookmux.Report, more ...any) {
	if !e.Config.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	e.Config.Log.Debug(what, append([]any{"call", c.Key, "class", c.Class, "to", l.to, "dest", c.Destination,
		"transit", c.Transit, "took", e.now - l.at, "age", e.now - c.at, "free", r.Free, "wait", r.Wait}, more...)...)
}
