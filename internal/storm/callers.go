package storm

import "time"

// Callers who were told when to come back, in a table that never grows. A caller is known by a hash of what its
// tries have in common; an address that many share condemns nobody.
const (
	callerWays   = 4
	callerSets   = 2048                  // a power of two
	callerGrace  = 50 * time.Millisecond // clocks and networks are not exact
	callerForget = 30 * time.Second      // after its last offence a caller is forgiven, and its line is free
	ignoredTwice = 2                     // offences that make an ignorer: one may be an accident
)

// entry is a caller that was told to stay away.
type entry struct {
	hash    uint64
	at      time.Duration // when it was last told
	due     time.Duration // when the first of those told under this hash may come back
	told    uint16        // how many stay away
	tries   uint16        // how often in a row it was told
	ignored uint16        // how often it came before its time
}

type callers struct {
	sets [callerSets][callerWays]entry
}

// find returns a caller's line, or nil.
func (c *callers) find(now time.Duration, hash uint64) *entry {
	set := &c.sets[hash&(callerSets-1)]
	for i := range set {
		if e := &set[i]; e.hash == hash && e.at > 0 && now-e.at < callerForget {
			return e
		}
	}
	return nil
}

// came takes a try, marked by its caller as a further one or not, and tells whether its caller is one who
// ignores advice, and how often it was told to stay away before.
func (c *callers) came(now time.Duration, hash uint64, resent bool) (ignorer bool, tries int) {
	e := c.find(now, hash)
	if e == nil {
		return false, 0
	}
	if !resent || e.told == 0 { // others may share the hash: they were told nothing
		return e.ignored >= ignoredTwice, 0
	}
	e.told--
	if now+callerGrace < e.due {
		e.ignored = min(e.ignored+1, 1000)
		e.at = now
	} else if e.ignored > 0 && now >= e.due {
		e.ignored--
	}
	return e.ignored >= ignoredTwice, int(e.tries)
}

// tell notes that a caller was told to stay away.
func (c *callers) tell(now time.Duration, hash uint64, wait time.Duration) {
	set := &c.sets[hash&(callerSets-1)]
	e := c.find(now, hash)
	if e == nil {
		e = &set[0]
		for i := range set {
			if set[i].at < e.at { // the one told longest ago makes room
				e = &set[i]
			}
		}
		*e = entry{hash: hash}
	}
	if e.told == 0 || now+wait < e.due {
		e.due = now + wait
	}
	e.at = max(1, now)
	e.told = min(e.told+1, 1000)
	e.tries = min(e.tries+1, 100)
}

// served notes that a caller got through.
func (c *callers) served(now time.Duration, hash uint64) {
	if e := c.find(now, hash); e != nil {
		e.tries = 0
		if e.told > 0 {
			e.told--
		}
	}
}
