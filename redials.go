// Redials: calls that come again after they were not served.

package brookmux

import (
	"time"
)

// caller is what a call and its redials have in common.
type caller struct {
	number                uint64
	class, tenant, wanted int
}

// recognise finds out whether a call is a redial: its number was called and left unserved, once for each
// redial.
func (c *Controller) recognise(now time.Duration, p *pending) {
	k := caller{p.Number, p.Call.Class, p.Tenant, p.Destination}
	if tries := c.redials[k]; p.Number != 0 && len(tries) > 0 {
		if now-tries[0] < p.class.Deadline {
			p.first = tries[0]
		}
		if c.redials[k] = tries[1:]; len(tries) == 1 {
			delete(c.redials, k)
		}
	}
}

// forgetRedials drops what no caller can come back to.
func (c *Controller) forgetRedials(now time.Duration) {
	for k, tries := range c.redials {
		if now-tries[len(tries)-1] >= c.set.Classes[k.class].Deadline {
			delete(c.redials, k)
		}
	}
}

// unserved remembers a call that its caller may dial again.
func (c *Controller) unserved(p *pending) {
	k := caller{p.Number, p.Call.Class, p.Tenant, p.Destination}
	if !p.Transit && !p.stands && p.Number != 0 && len(c.redials) < mostRedials {
		c.redials[k] = append(c.redials[k], p.first)
	}
}
