// Redials: matching new calls with earlier ones that were not served.

package brookmux

import (
	"time"
)

// callerKey holds what a call and its redials have in common.
type callerKey struct {
	number                     uint64
	class, tenant, destination int
}

// matchRedial sets the time of a redial's first try. A call is a redial if an earlier call with the same key was
// not served; each unserved call matches one redial.
func (c *Controller) matchRedial(now time.Duration, p *pendingCall) {
	key := callerKey{p.Number, p.Call.Class, p.Tenant, p.Destination}
	if tries := c.redials[key]; p.Number != 0 && len(tries) > 0 {
		if now-tries[0] < p.class.Deadline {
			p.firstTried = tries[0]
		}
		if c.redials[key] = tries[1:]; len(tries) == 1 {
			delete(c.redials, key)
		}
	}
}

// expireRedials drops the entries whose callers have stopped redialling.
func (c *Controller) expireRedials(now time.Duration) {
	for key, tries := range c.redials {
		if now-tries[len(tries)-1] >= c.settings.Classes[key.class].Deadline {
			delete(c.redials, key)
		}
	}
}

// recordUnserved records an unserved call that its caller may redial. Once the table is full, nothing is recorded.
func (c *Controller) recordUnserved(p *pendingCall) {
	key := callerKey{p.Number, p.Call.Class, p.Tenant, p.Destination}
	if !p.Transit && !p.stands && p.Number != 0 && len(c.redials) < maxRedials {
		c.redials[key] = append(c.redials[key], p.firstTried)
	}
}
