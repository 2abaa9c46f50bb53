package directory

import (
	"time"
)

const (
	queryInterval  = 200 * time.Millisecond // between two queries while answers are prompt
	maxInterval    = time.Second            // between two queries while there are none: an outage may end at any time
	maxQuiet       = 4 * time.Second        // without a query, however many wait: a change counts as told 6 s after an outage
	promptAnswer   = 500 * time.Millisecond // an answer that takes no longer brings the usual pace back
	minPatience    = 600 * time.Millisecond // a query without an answer for so long counts as lost
	maxPatience    = 30 * time.Second
	patienceFactor = 3                // times the usual delay of an answer
	usualWindow    = 2                // queries that may wait for an answer at a time
	narrowWindow   = 1                // while queries are lost: the service may be crowded
	narrowFor      = 10 * time.Second // after the last that was lost
	lateAnswers    = time.Minute      // an answer counts for so long after its query
	maxQueries     = 64               // that are remembered
	jitterShare    = 0.2              // of an interval, either way
)

// query is one that was sent and not answered yet.
type query struct {
	sent time.Duration
	lost bool // it counts as lost; its answer is taken all the same
}

// schedule decides when the name service is asked, and which answers count. It reads no clock and does no I/O. The pace
// follows the service: no more than a few queries wait for an answer at a time, and while answers are late, fail or don't
// come, queries get fewer; the first prompt answer brings the pace back.
type schedule struct {
	queries  map[uint16]*query
	lastSent time.Duration
	asked    bool
	delay    time.Duration // of the answers, smoothed
	failures int           // one after another
	lostAt   time.Duration // when a query last counted as lost
	narrowed bool
	jitter   float64 // of the present interval, -1 to 1
}

func newSchedule() *schedule { return &schedule{queries: map[uint16]*query{}} }

// restart forgets what is known of the service, as another one is asked from now on.
func (s *schedule) restart() { *s = *newSchedule() }

// interval is the time between two queries.
func (s *schedule) interval() time.Duration {
	if s.failures > 0 {
		d := maxInterval
		if s.failures < 3 {
			d = min(maxInterval, queryInterval<<s.failures)
		}
		return d + time.Duration(s.jitter*jitterShare*float64(d))
	}
	return max(queryInterval, s.delay/usualWindow)
}

// patience is how long a query may go without an answer before it counts as lost.
func (s *schedule) patience() time.Duration {
	return min(maxPatience, max(minPatience, patienceFactor*s.delay))
}

// window is how many queries may wait for an answer.
func (s *schedule) window(now time.Duration) int {
	if s.narrowed && now-s.lostAt < narrowFor {
		return narrowWindow
	}
	return usualWindow
}

// quiet is the longest time without a query.
func (s *schedule) quiet() time.Duration { return max(maxQuiet, s.delay+s.delay/2) }

// waiting is how many queries wait for an answer.
func (s *schedule) waiting() int {
	n := 0
	for _, q := range s.queries {
		if !q.lost {
			n++
		}
	}
	return n
}

// tick gives up what has waited too long, and tells how many queries were.
func (s *schedule) tick(now time.Duration, random float64) (lost int) {
	for id, q := range s.queries {
		if now-q.sent > lateAnswers {
			delete(s.queries, id)
		} else if !q.lost && now-q.sent >= s.patience() {
			q.lost = true
			lost++
		}
	}
	if lost > 0 {
		s.narrowed, s.lostAt = true, now
		s.failed(random)
	}
	return lost
}

// due tells whether a query is to be sent now.
func (s *schedule) due(now time.Duration) bool {
	since := now - s.lastSent
	return !s.asked || since >= s.quiet() || s.waiting() < s.window(now) && since >= s.interval()
}

// next is the time at which tick and due may tell something new, if nothing else happens.
func (s *schedule) next(now time.Duration) time.Duration {
	at := s.lastSent + s.quiet()
	for _, q := range s.queries {
		if !q.lost {
			at = min(at, q.sent+s.patience())
		}
	}
	if s.waiting() < s.window(now) {
		at = min(at, s.lastSent+s.interval())
	}
	return max(at, now)
}

// sent notes that a query was sent under a number that is not in use.
func (s *schedule) sent(id uint16, now time.Duration) {
	s.asked, s.lastSent = true, now
	if len(s.queries) >= maxQueries {
		s.forgetOldest()
	}
	s.queries[id] = &query{sent: now}
}

// forgetOldest drops the query that was sent first.
func (s *schedule) forgetOldest() {
	var oldest uint16
	found := false
	for id, q := range s.queries {
		if !found || q.sent < s.queries[oldest].sent {
			oldest, found = id, true
		}
	}
	delete(s.queries, oldest)
}

// uses tells whether a number belongs to a query that may still be answered.
func (s *schedule) uses(id uint16) bool { return s.queries[id] != nil }

// answered takes an answer that can be used, and returns its delay; false if it is to no query of this schedule.
func (s *schedule) answered(id uint16, now time.Duration) (time.Duration, bool) {
	q := s.queries[id]
	if q == nil {
		return 0, false
	}
	delete(s.queries, id)
	delay := now - q.sent
	if delay > s.delay || delay <= promptAnswer {
		s.delay = delay
	} else {
		s.delay = (s.delay + delay) / 2
	}
	s.failures = 0
	return delay, true
}

// rejected takes an answer that can't be used, and tells whether it was to a query of this schedule.
func (s *schedule) rejected(id uint16, random float64) bool {
	if s.queries[id] == nil {
		return false
	}
	delete(s.queries, id)
	s.failed(random)
	return true
}

// refused takes word that nothing listens at the service's address. Queries that wait there are lost.
func (s *schedule) refused(random float64) {
	for _, q := range s.queries {
		q.lost = true
	}
	s.failed(random)
}

// failed takes word that the service can't be used now, with a random number from -1 to 1 for the next interval.
func (s *schedule) failed(random float64) {
	s.failures++
	s.jitter = random
}
