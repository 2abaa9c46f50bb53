package storm

import (
	"math"
	"time"
)

// rate is how often something happens, in events a second: a mean in which what is older counts for less. The
// zero value has seen nothing.
type rate struct {
	level float64
	at    time.Duration
}

// add counts n events now, with a memory of about span.
func (r *rate) add(now time.Duration, n float64, span time.Duration) {
	r.level = r.get(now, span) + n/span.Seconds()
	r.at = now
}

// get is the rate now. A clock that went back makes nothing older.
func (r *rate) get(now, span time.Duration) float64 {
	if now <= r.at {
		return r.level
	}
	return r.level * math.Exp(-float64(now-r.at)/float64(span))
}

// share is a/b, 0 if there is nothing to compare with.
func share(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}
