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

// usual is a rate learnt in calm times: what comes in a storm must not become the usual, and what was learnt
// before it is not lost.
type usual struct {
	level, weight float64
	learnt        time.Duration // of calm time
	at            time.Duration
}

// learn takes the rate since the last time, where times are calm.
func (u *usual) learn(now time.Duration, r float64, calm bool) {
	span := max(0, now-u.at)
	if u.at = max(u.at, now); !calm || span > slow { // the first time, or long ago: nothing is known of the time between
		return
	}
	part := 1 - math.Exp(-float64(span)/float64(slow))
	u.level += part * (r - u.level)
	u.weight += part * (1 - u.weight)
	u.learnt += span
}

// rate is what was learnt, 0 while that is too little.
func (u *usual) rate() float64 {
	if u.learnt < learnFrom {
		return 0
	}
	return u.level / u.weight
}

// share is a/b, 0 if there is nothing to compare with.
func share(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}
