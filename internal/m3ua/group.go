package m3ua

import (
	"cmp"
	"sync"
	"time"

	"brookmux/internal/core"
)

// maxRELSends is the maximum number of times that a REL is sent. With the default T1 of 15 s, that is the five minutes
// that Q.764 allows.
const maxRELSends = 20

// phase is the phase of the call on a circuit.
type phase int

const (
	seized    phase = iota // set-up sent or received, not yet answered
	answered               // the call stands
	releasing              // REL is sent or waits for an association; RLC has not arrived
)

// circuit is a circuit in use by a call. The group's lock guards phase, rel, resendTimer and sendCount.
type circuit struct {
	cic         uint16
	key         string   // key of the call at this end
	keys        callKeys // as messages carry them, this end's key included
	earlier     bool     // the call was set up by an earlier process of this end
	phase       phase
	rel         isupMessage // the REL to send while releasing
	resendTimer *time.Timer // sends rel again after T1
	sendCount   int         // number of times that rel was sent
	owner       any         // the call's *caller at a server, nil at a client
}

// circuitGroup holds the circuits in use between two point codes. It outlives the association: a standing call
// continues without signalling, and its release waits for the next association.
type circuitGroup struct {
	mu       sync.Mutex
	circuits map[uint16]*circuit
	byKey    map[string]*circuit
	send     func(isupMessage) bool // sends a message on the active association; nil if there is none
	t1       time.Duration          // interval at which an unconfirmed REL is sent again (Q.764)
}

// newCircuitGroup returns a group without circuits in use; a REL is sent again every t1.
func newCircuitGroup(t1 time.Duration) *circuitGroup {
	return &circuitGroup{circuits: map[uint16]*circuit{}, byKey: map[string]*circuit{}, t1: t1}
}

// seize marks a circuit as in use by the call with the given key at this end and returns it, or nil if it is already in
// use.
func (g *circuitGroup) seize(cic uint16, key string, keys callKeys, owner any) *circuit {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.circuits[cic] != nil {
		return nil
	}
	c := &circuit{cic: cic, key: key, keys: keys, owner: owner}
	g.circuits[cic], g.byKey[key] = c, c
	return c
}

// freeForgotten frees a circuit on which a call stands that the peer no longer has, and returns it, or nil if there is none.
// keys are those of the peer's set-up on the circuit. A peer seizes no circuit that it knows to be in use. One that has
// call keys may have restarted and learn of the call from its announcement; without them it never will.
func (g *circuitGroup) freeForgotten(cic uint16, keys callKeys) *circuit {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.circuits[cic]
	if c == nil || c.phase != answered || c.keys.client != "" && keys.client != "" {
		return nil
	}
	g.remove(c)
	return c
}

// seizeAny seizes the free circuit with the lowest CIC from 1 to lastCIC, or returns nil if all are in use.
func (g *circuitGroup) seizeAny(lastCIC int, key string) *circuit {
	for cic := 1; cic <= lastCIC; cic++ {
		if c := g.seize(uint16(cic), key, callKeys{client: key}, nil); c != nil {
			return c
		}
	}
	return nil
}

// sendMessage sends a message for a circuit and reports whether there was an association to send it on.
func (g *circuitGroup) sendMessage(m isupMessage) bool {
	g.mu.Lock()
	send := g.send
	g.mu.Unlock()
	return send != nil && send(m)
}

// markAnswered marks a circuit as answered and reports whether it was seized and unanswered by the call that the answer
// names, with its keys at the client. A nil circuit is allowed.
func (g *circuitGroup) markAnswered(c *circuit, keys callKeys) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c == nil || c.phase != seized || g.circuits[c.cic] != c { // the answer crossed a release of the call
		return false
	}
	if c.keys.differ(keys) { // the answer of a call of an earlier process
		return false
	}
	c.phase = answered
	c.keys.server = cmp.Or(c.keys.server, keys.server)
	return true
}

// lookup returns the circuit with a CIC and its phase, or nil if the circuit is not in use.
func (g *circuitGroup) lookup(cic uint16) (*circuit, phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.circuits[cic]
	if c == nil {
		return nil, seized
	}
	return c, c.phase
}

// findCall returns the circuit of the call with a key, or nil if there is none or it is being released.
func (g *circuitGroup) findCall(key string) *circuit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byKey[key]
}

// release starts the release of a circuit. The REL is sent now or on the next association, and repeated until the RLC
// arrives. A circuit that is nil, free or already being released is left as it is.
func (g *circuitGroup) release(c *circuit, cause core.Cause, wait time.Duration) {
	g.releaseWith(c, isupMessage{cause: cause, retryAfter: wait})
}

// releaseWith is release with the REL to send, which may also hold a congestion level. It sets the CIC and the kind.
func (g *circuitGroup) releaseWith(c *circuit, rel isupMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c == nil || c.phase == releasing || g.circuits[c.cic] != c {
		return
	}
	rel.cic, rel.kind, rel.keys = c.cic, kindREL, c.keys
	c.phase, c.rel = releasing, rel
	delete(g.byKey, c.key)
	g.sendREL(c)
}

// sendREL sends the REL of a circuit if there is an association, and again after T1 until it is confirmed. After
// maxRELSends the circuit is freed. The caller holds the lock.
func (g *circuitGroup) sendREL(c *circuit) {
	if c.resendTimer != nil {
		c.resendTimer.Stop()
	}
	if g.send == nil {
		return
	}
	if c.sendCount++; c.sendCount > maxRELSends { // a peer that never confirms must not occupy circuits forever
		delete(g.circuits, c.cic)
		return
	}
	g.send(c.rel)
	c.resendTimer = time.AfterFunc(g.t1, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.circuits[c.cic] == c {
			g.sendREL(c)
		}
	})
}

// free removes a circuit from the group and stops its timer. The circuit can then be seized again.
func (g *circuitGroup) free(cic uint16) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.circuits[cic]; c != nil {
		g.remove(c)
	}
}

// remove removes a circuit from the group and stops its timer. The caller holds the lock.
func (g *circuitGroup) remove(c *circuit) {
	if c.resendTimer != nil {
		c.resendTimer.Stop()
	}
	delete(g.circuits, c.cic)
	if g.byKey[c.key] == c {
		delete(g.byKey, c.key)
	}
}

// associationUp sets the active association and sends the unconfirmed RELs on it.
func (g *circuitGroup) associationUp(send func(isupMessage) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send = send
	for _, c := range g.circuits {
		if c.phase == releasing {
			g.sendREL(c)
		}
	}
}

// associationDown removes the association and stops the timers. It returns the circuits that are seized and unanswered;
// they stay in the group until the caller releases or frees them.
func (g *circuitGroup) associationDown() []*circuit {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send = nil
	var unanswered []*circuit
	for _, c := range g.circuits {
		if c.resendTimer != nil {
			c.resendTimer.Stop()
		}
		if c.phase == seized {
			unanswered = append(unanswered, c)
		}
	}
	return unanswered
}

// announceStanding sends an ANM with the call keys for each answered circuit, so that a far end that has restarted since
// learns of its calls. One that knows the call ignores it, and so does one that does not understand the keys.
func (g *circuitGroup) announceStanding() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.circuits {
		if c.phase == answered && c.keys.client != "" && c.keys.server != "" && g.send != nil {
			g.send(isupMessage{cic: c.cic, kind: kindANM, keys: c.keys})
		}
	}
}

// adopt marks a circuit as answered by a call of an earlier process, whose key at this end is given. It returns nil if the
// circuit has that call already, or another one that stands. A call that has seized or released the circuit loses it,
// since the far end ignores its messages; displaced is its circuit if it was waiting for the answer.
func (g *circuitGroup) adopt(cic uint16, key string, keys callKeys, owner any) (adopted, displaced *circuit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.circuits[cic]
	if c != nil && (c.phase == answered || !c.keys.differ(keys)) {
		return nil, nil
	}
	if c != nil {
		g.remove(c)
		if c.phase == seized {
			displaced = c
		}
	}
	c = &circuit{cic: cic, key: key, keys: keys, earlier: true, phase: answered, owner: owner}
	g.circuits[cic], g.byKey[key] = c, c
	return c, displaced
}

// numUsed returns the number of circuits in use, with those that are being released.
func (g *circuitGroup) numUsed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.circuits)
}

// hasSeized reports whether a circuit is seized and unanswered.
func (g *circuitGroup) hasSeized() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.circuits {
		if c.phase == seized {
			return true
		}
	}
	return false
}

// releaseAll starts the release of all circuits in use. It returns the keys of the standing calls of an earlier process
// among them.
func (g *circuitGroup) releaseAll(cause core.Cause) (earlier []string) {
	g.mu.Lock()
	inUse := make([]*circuit, 0, len(g.circuits))
	for _, c := range g.circuits {
		inUse = append(inUse, c)
		if c.earlier && c.phase == answered {
			earlier = append(earlier, c.key)
		}
	}
	g.mu.Unlock()
	for _, c := range inUse {
		g.release(c, cause, 0)
	}
	return earlier
}
