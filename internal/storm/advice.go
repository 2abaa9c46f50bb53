package storm

import (
	"math"
	"math/rand/v2"
	"time"
)

// Advice on when to come back. Those sent away together must not return together, and not sooner than there is
// room: the waits of a destination are spread over the time that its backlog of callers needs, without two of
// a hundred alike.
const (
	adviceLeast = 100 * time.Millisecond
	spareLeast  = 0.1 // of what a destination does, at least so much is counted on for those who come again
	growPer     = 0.5 // a caller's every further try makes the wait longer by this part
	lastTold    = 128 // waits told of late, none told twice among them
	golden      = 0.6180339887498949
)

type adviser struct {
	rng   *rand.Rand
	phase float64
	last  [lastTold]int32 // ms
	n     int
}

func newAdviser(seed uint64) adviser {
	a := adviser{rng: rand.New(rand.NewPCG(seed, 3))}
	a.phase = a.rng.Float64()
	return a
}

// draw returns a wait of at most most, for a destination where so many callers a second find room and so many
// stay away by now; 0 where none may be told.
func (a *adviser) draw(backlog, spare float64, tries int, most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	span := time.Duration(math.Min(backlog/math.Max(spare, 1e-3), 3600) * float64(time.Second))
	span = time.Duration(float64(span+adviceLeast) * (1 + growPer*float64(tries)))
	// Where the settings end before the backlog does, what is left is to spread over the upper part.
	least := min(adviceLeast, most)
	if span > most {
		least, span = max(least, most/4), most
	}
	// Multiples of the golden ratio keep apart whatever their number; the jitter keeps controllers apart.
	a.phase += golden + a.rng.Float64()*1e-3
	a.phase -= math.Floor(a.phase)
	ms := int32((least + time.Duration(a.phase*float64(max(0, span-least)))).Milliseconds())
	for range lastTold {
		if !a.told(ms) {
			break
		}
		if ms++; time.Duration(ms)*time.Millisecond > most {
			ms = int32(least.Milliseconds())
		}
	}
	ms = max(1, ms)
	a.last[a.n%lastTold] = ms
	a.n++
	return time.Duration(ms) * time.Millisecond
}

// told tells whether a wait was told of late.
func (a *adviser) told(ms int32) bool {
	for _, m := range a.last {
		if m == ms {
			return true
		}
	}
	return false
}
