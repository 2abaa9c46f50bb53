package storm

import "time"

// Callers that were given a wait, in a set-associative table of fixed size. A caller is identified by a hash of what
// its tries have in common. Callers may share a hash, as those behind one address do: a first try never counts as
// early, and a further try does so only while a wait given under the hash has not been followed by one.
const (
	callerWays      = 4
	callerSets      = 2048                  // must be a power of two
	callerGrace     = 50 * time.Millisecond // tolerance for clock and network inaccuracy
	callerTTL       = 30 * time.Second      // time after a caller's last wait or offence when its entry expires
	ignorerOffences = 2                     // early tries that make an ignorer; a single one may be an accident
)

// entry is a caller that was given a wait.
type entry struct {
	hash     uint64
	lastAt   time.Duration // time of the last wait given or of the last early try
	returnAt time.Duration // earliest time at which a caller with this hash may retry
	away     uint16        // number of waits not yet followed by a retry or a served call
	tries    uint16        // number of waits given since the last served call
	early    uint16        // tries before returnAt, less the later ones that were in time
}

// callers is the table. The low bits of the hash select a set; in a full set the oldest entry is replaced.
type callers struct {
	sets [callerSets][callerWays]entry
}

// find returns the entry of a caller, or nil if there is none or it has expired.
func (c *callers) find(now time.Duration, hash uint64) *entry {
	set := &c.sets[hash&(callerSets-1)]
	for i := range set {
		if e := &set[i]; e.hash == hash && e.lastAt > 0 && now-e.lastAt < callerTTL {
			return e
		}
	}
	return nil
}

// recordTry records a try of a caller, which has marked it as a further one if resent is set. It reports whether
// the caller ignores advice, and how many waits it was given in a row: 0 if the try follows none of them.
func (c *callers) recordTry(now time.Duration, hash uint64, resent bool) (ignorer bool, tries int) {
	e := c.find(now, hash)
	if e == nil {
		return false, 0
	}
	if !resent || e.away == 0 { // perhaps another caller with this hash, which was given no wait
		return e.early >= ignorerOffences, 0
	}
	e.away--
	if now+callerGrace < e.returnAt {
		e.early = min(e.early+1, 1000)
		e.lastAt = now
	} else if e.early > 0 && now >= e.returnAt {
		e.early--
	}
	return e.early >= ignorerOffences, int(e.tries)
}

// recordWait records the wait given to a caller.
func (c *callers) recordWait(now time.Duration, hash uint64, wait time.Duration) {
	set := &c.sets[hash&(callerSets-1)]
	e := c.find(now, hash)
	if e == nil {
		e = &set[0]
		for i := range set {
			if set[i].lastAt < e.lastAt { // replace the entry with the oldest lastAt
				e = &set[i]
			}
		}
		*e = entry{hash: hash}
	}
	if e.away == 0 || now+wait < e.returnAt {
		e.returnAt = now + wait
	}
	e.lastAt = max(1, now)
	e.away = min(e.away+1, 1000)
	e.tries = min(e.tries+1, 100)
}

// served records that a call of the caller was served.
func (c *callers) served(now time.Duration, hash uint64) {
	if e := c.find(now, hash); e != nil {
		e.tries = 0
		if e.away > 0 {
			e.away--
		}
	}
}
