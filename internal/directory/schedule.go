package directory

import (
	"time"
)

const (
	queryInterval     = 200 * time.Millisecond // between two queries while answers are prompt
	maxInterval       = time.Second            // maximum without jitter while queries fail: an outage may end any time
	maxQueryGap       = 4 * time.Second        // also with a full window: a change counts as known 6 s after an outage
	promptDelay       = 500 * time.Millisecond // an answer within this delay restores the normal rate
	minTimeout        = 600 * time.Millisecond // lower bound of the time after which a query counts as lost
	maxTimeout        = 30 * time.Second
	timeoutFactor     = 3                // timeout as a multiple of the smoothed answer delay
	defaultWindow     = 2                // maximum number of outstanding queries
	reducedWindow     = 1                // same after queries were lost, as the service may be overloaded
	reducedWindowTime = 10 * time.Second // how long the reduced window applies after the last lost query
	maxAnswerAge      = time.Minute      // answers to older queries are ignored
	maxQueries        = 64               // maximum number of queries kept
	jitterShare       = 0.2              // maximum jitter as a share of the interval, in both directions
)

// query is a query that was sent and not yet answered.
type query struct {
	sent time.Duration
	lost bool // it counts as lost; a late answer is still accepted
}

// schedule decides when to query the name service and which answers are accepted. It reads no clock and does no I/O.
// The query rate adapts to the service: the number of outstanding queries is limited, and queries become less frequent
// while answers are late, report failures or are missing. The first prompt answer restores the normal rate.
type schedule struct {
	queries       map[uint16]*query
	lastSentAt    time.Duration
	started       bool
	delay         time.Duration // smoothed answer delay
	failures      int           // consecutive failures
	lostAt        time.Duration // when a query last counted as lost
	windowReduced bool
	jitter        float64 // of the current interval, from -1 to 1
}

// newSchedule returns a schedule without queries; its first query is due at once.
func newSchedule() *schedule { return &schedule{queries: map[uint16]*query{}} }

// reset clears all state about the service, for a change to another one.
func (s *schedule) reset() { *s = *newSchedule() }

// interval returns the time between two queries. It grows with consecutive failures up to maxInterval, plus or minus
// the jitter, and otherwise follows the smoothed delay, so that at most defaultWindow queries are outstanding.
func (s *schedule) interval() time.Duration {
	if s.failures > 0 {
		d := maxInterval
		if s.failures < 3 {
			d = min(maxInterval, queryInterval<<s.failures)
		}
		return d + time.Duration(s.jitter*jitterShare*float64(d))
	}
	return max(queryInterval, s.delay/defaultWindow)
}

// timeout returns the time after which an unanswered query counts as lost.
func (s *schedule) timeout() time.Duration {
	return min(maxTimeout, max(minTimeout, timeoutFactor*s.delay))
}

// window returns the maximum number of outstanding queries.
func (s *schedule) window(now time.Duration) int {
	if s.windowReduced && now-s.lostAt < reducedWindowTime {
		return reducedWindow
	}
	return defaultWindow
}

// queryGap returns the maximum time between two queries.
func (s *schedule) queryGap() time.Duration { return max(maxQueryGap, s.delay+s.delay/2) }

// outstanding returns the number of queries that are neither answered nor lost.
func (s *schedule) outstanding() int {
	n := 0
	for _, q := range s.queries {
		if !q.lost {
			n++
		}
	}
	return n
}

// tick marks queries that have exceeded the timeout as lost, drops those older than maxAnswerAge, and returns the
// number of newly lost ones. random, from -1 to 1, is the jitter of the next interval if there are any.
func (s *schedule) tick(now time.Duration, random float64) (lost int) {
	for id, q := range s.queries {
		if now-q.sent > maxAnswerAge {
			delete(s.queries, id)
		} else if !q.lost && now-q.sent >= s.timeout() {
			q.lost = true
			lost++
		}
	}
	if lost > 0 {
		s.windowReduced, s.lostAt = true, now
		s.failed(random)
	}
	return lost
}

// due reports whether a query is to be sent now.
func (s *schedule) due(now time.Duration) bool {
	since := now - s.lastSentAt
	return !s.started || since >= s.queryGap() || s.outstanding() < s.window(now) && since >= s.interval()
}

// nextDue returns the earliest time at which the result of tick or due may change without further events.
func (s *schedule) nextDue(now time.Duration) time.Duration {
	at := s.lastSentAt + s.queryGap()
	for _, q := range s.queries {
		if !q.lost {
			at = min(at, q.sent+s.timeout())
		}
	}
	if s.outstanding() < s.window(now) {
		at = min(at, s.lastSentAt+s.interval())
	}
	return max(at, now)
}

// sent records that a query was sent under an ID that is not in use.
func (s *schedule) sent(id uint16, now time.Duration) {
	s.started, s.lastSentAt = true, now
	if len(s.queries) >= maxQueries {
		s.dropOldest()
	}
	s.queries[id] = &query{sent: now}
}

// dropOldest drops the query that was sent first.
func (s *schedule) dropOldest() {
	var oldest uint16
	found := false
	for id, q := range s.queries {
		if !found || q.sent < s.queries[oldest].sent {
			oldest, found = id, true
		}
	}
	delete(s.queries, oldest)
}

// inUse reports whether an ID belongs to a query whose answer would still be accepted.
func (s *schedule) inUse(id uint16) bool { return s.queries[id] != nil }

// answered records a valid answer and returns its delay. It returns false if no query has this ID. A prompt answer, or
// one with a longer delay than before, sets the smoothed delay at once; other delays are averaged in.
func (s *schedule) answered(id uint16, now time.Duration) (time.Duration, bool) {
	q := s.queries[id]
	if q == nil {
		return 0, false
	}
	delete(s.queries, id)
	delay := now - q.sent
	if delay > s.delay || delay <= promptDelay {
		s.delay = delay
	} else {
		s.delay = (s.delay + delay) / 2
	}
	s.failures = 0
	return delay, true
}

// rejected records an answer that cannot be used, as a failure. It reports whether a query has this ID.
func (s *schedule) rejected(id uint16, random float64) bool {
	if s.queries[id] == nil {
		return false
	}
	delete(s.queries, id)
	s.failed(random)
	return true
}

// refused records that nothing listens at the service's address. Outstanding queries are lost.
func (s *schedule) refused(random float64) {
	for _, q := range s.queries {
		q.lost = true
	}
	s.failed(random)
}

// failed records a failure of the service. random, from -1 to 1, is the jitter of the next interval.
func (s *schedule) failed(random float64) {
	s.failures++
	s.jitter = random
}
