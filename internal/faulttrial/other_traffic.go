package faulttrial

import (
	"math/rand/v2"
	"time"
)

// OtherTraffic configures the calls that take circuits of a core's groups although the controller did not send them:
// those from the far end of a group, and those in transit.
type OtherTraffic struct {
	Calls int           `json:"calls"` // on each group when the core's process starts
	Rate  float64       `json:"rate"`  // new calls per second on each group
	Hold  time.Duration `json:"hold"`  // mean holding time, 0 for calls without an end

	ByController map[string]int `json:"by_controller,omitempty"` // in place of Calls, for the controllers that it has
}

// callsFor returns the number of calls on the group towards a controller when the core's process starts.
func (t OtherTraffic) callsFor(controller string) int {
	if calls, set := t.ByController[controller]; set {
		return calls
	}
	return t.Calls
}

// otherTrafficStep is the interval in which calls of others begin and end.
const otherTrafficStep = 20 * time.Millisecond

// inUse returns the number of circuits in use. The caller holds the core's mutex.
func (link *controllerLink) inUse() int { return link.used + link.others }

// runOtherTraffic lets calls of others begin and end until the core ends. A core that is paused goes on serving them: only
// its connections to the controller are affected.
func (link *controllerLink) runOtherTraffic(t OtherTraffic, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 29))
	for {
		time.Sleep(otherTrafficStep)
		link.core.mu.Lock()
		if link.core.ended || link.core.vanished {
			link.core.mu.Unlock()
			return
		}
		before := link.others
		for range before {
			if t.Hold > 0 && random.Float64() < float64(otherTrafficStep)/float64(t.Hold) {
				link.others--
			}
		}
		if random.Float64() < t.Rate*otherTrafficStep.Seconds() && link.inUse() < link.size {
			link.others++
		}
		if link.others != before {
			link.sendState()
		}
		link.core.mu.Unlock()
	}
}

// CircuitsInUse returns the number of circuits in use on each group, by controller.
func (c *CoreProcess) CircuitsInUse() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	inUse := map[string]int{}
	for name, link := range c.links {
		inUse[name] = link.inUse()
	}
	return inUse
}

// OtherCalls returns the number of circuits that calls of others take on the group towards a controller.
func (c *CoreProcess) OtherCalls(controller string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[controller].others
}
