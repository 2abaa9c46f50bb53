package liveness

import "time"

// Thresholds for a series of states. A process that takes an address may have as many circuits in use for a moment as the
// calls of the one before took, but not for long.
const (
	minSeriesTime     = time.Second
	minSeriesStates   = 2
	minSeriesMatching = 0.75 // where no calls of others were seen; beside others all states have to match
)

// stateSeries are the group states of one later process that were compared with the calls of an earlier one.
type stateSeries struct {
	since    time.Duration
	states   int
	matching int
	ruledOut bool // the process is another one, even if its circuits become as many later
	// unconfirmed is set when the later process was merged with one that need not be the same, until a state of that one matches.
	unconfirmed bool
}

// addState adds a state of a later process to its series.
func (p *process) addState(sender *process, c comparison, now time.Duration) {
	s := p.series[sender]
	switch {
	case c == inconclusive:
		return
	case s == nil || s.unconfirmed && c == differing:
		s = &stateSeries{since: now}
		if p.series == nil {
			p.series = map[*process]*stateSeries{}
		}
		p.series[sender] = s
	}
	s.unconfirmed = false
	s.states++
	switch {
	case c == matching:
		s.matching++
	case p.others.high > 0:
		s.ruledOut = true
	}
	if s.complete(now) && !s.matches() {
		s.ruledOut = true
	}
}

// matches reports whether the states of a series, if there is one, show that the process has the calls.
func (s *stateSeries) matches() bool {
	return s != nil && !s.ruledOut && !s.unconfirmed && float64(s.matching) >= minSeriesMatching*float64(s.states)
}

// complete reports whether a series is long enough to decide before the lease ends.
func (s *stateSeries) complete(now time.Duration) bool {
	return s != nil && now-s.since >= minSeriesTime && s.states >= minSeriesStates
}

// endSeries ends the series of a process that has ended a connection: it may have ended itself.
func (l *Lease) endSeries(sender *process) {
	for _, p := range l.processes {
		if s := p.series[sender]; s != nil && !s.ruledOut {
			delete(p.series, sender)
		}
	}
}

// mergeSeries combines the series of two processes that were merged.
func (l *Lease) mergeSeries(into, from *process, why MergeReason) {
	for _, p := range l.processes {
		s, other := p.series[into], p.series[from]
		delete(p.series, from)
		switch {
		case s == nil && other == nil:
			continue
		case s == nil:
			s = other
			p.series[into] = s
		case other != nil:
			s.since = min(s.since, other.since)
			s.states += other.states
			s.matching += other.matching
			s.ruledOut = s.ruledOut || other.ruledOut
			s.unconfirmed = s.unconfirmed && other.unconfirmed
		}
		s.unconfirmed = s.unconfirmed || why == MergeNothingStands
	}
}
