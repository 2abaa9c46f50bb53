package liveness

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	tick  = 50 * time.Millisecond
	start = time.Hour // of the tests' clock
)

// core plays a core with a group of 100 circuits on a clock of its own. Its address leads to one process at a time.
type core struct {
	t     *testing.T
	lease *Lease
	now   time.Duration

	up        bool // new connections come up
	refuses   bool
	used      float64
	states    bool // new connections begin with the group's state
	closes    bool // connections that were closed to it are closed by it as well
	next      ConnectionID
	open      map[ConnectionID]bool // held by the process at the address
	dials     int
	expired   map[string]Reason
	expiredAt time.Duration
}

// newCore returns a core with three connections and two calls, on the first and the second, that have stood for 2 s.
func newCore(t *testing.T) *core {
	c := &core{t: t, lease: New(), now: start, up: true, states: true, closes: true, open: map[ConnectionID]bool{}, expired: map[string]Reason{}}
	for range 3 {
		c.dial()
	}
	c.used = 2
	for i, id := range []ConnectionID{1, 2} {
		c.lease.Heard(id, c.now, c.state())
		c.lease.Stands(fmt.Sprint("call", i), 1, id, c.now)
	}
	c.pass(2 * time.Second)
	require.Empty(t, c.expired)
	return c
}

func (c *core) state() Message { return Message{GroupState: true, Free: 100 - c.used, Size: 100} }

func (c *core) dial() {
	c.dials++
	if !c.up {
		c.lease.DialFailed(c.now, c.refuses)
		return
	}
	c.next++
	c.lease.Connected(c.next, c.now)
	c.open[c.next] = true
	if c.states {
		c.lease.Heard(c.next, c.now, c.state())
	}
}

// pass lets time pass, with what the lease asks for carried out.
func (c *core) pass(d time.Duration) {
	for until := c.now + d; c.now < until; {
		c.now += tick
		decision := c.lease.Tick(c.now)
		for _, x := range decision.Expired {
			c.expiredAt = c.now
			for _, id := range x.Calls {
				c.expired[id] = x.Reason
			}
		}
		if decision.Check {
			c.check(decision)
		}
	}
}

func (c *core) check(d Decision) {
	before := c.next
	c.dial()
	retire := append(d.Idle, d.Silent...)
	if d.Prove {
		retire = append(d.Silent, d.Idle...)
	}
	if c.next == before || len(retire) == 0 {
		return
	}
	c.lease.Retired(retire[0])
	if c.closes && c.open[retire[0]] {
		c.lease.Disconnected(retire[0], c.now, EndClosed)
	}
}

// vanish takes the process away: its connections stay open and silent.
func (c *core) vanish() { c.up, c.open = false, map[ConnectionID]bool{} }

// lose ends all connections.
func (c *core) lose(how End) {
	for id := range c.lease.connections {
		c.lease.Disconnected(id, c.now, how)
	}
	c.open = map[ConnectionID]bool{}
}

func TestQuietCoreIsKept(t *testing.T) {
	for _, states := range []bool{true, false} {
		for _, closes := range []bool{true, false} {
			c := newCore(t)
			c.closes = closes
			if !states { // it never began a connection with one
				c.states, c.lease.greets, c.lease.distrusted = false, false, true
			}
			c.pass(time.Minute)
			require.Empty(t, c.expired, "states %v, closes %v", states, closes)
			require.Less(t, c.dials, 70, "one check a second at most")
			require.LessOrEqual(t, len(c.lease.processes), 3)
		}
	}
}

func TestNoChecksWithoutCalls(t *testing.T) {
	c := newCore(t)
	c.lease.Over("call0")
	c.lease.Over("call1")
	dials := c.dials
	c.pass(time.Minute)
	require.Equal(t, dials, c.dials)
}

func TestNoChecksWhileHeard(t *testing.T) {
	c := newCore(t)
	dials := c.dials
	for range 100 {
		c.lease.Heard(1, c.now, Message{})
		c.pass(900 * time.Millisecond)
	}
	require.Equal(t, dials, c.dials)
	require.Empty(t, c.expired)
}

func TestVanishedCoreExpires(t *testing.T) {
	c := newCore(t)
	c.vanish()
	vanished := c.now
	c.pass(8 * time.Second)
	require.Equal(t, map[string]Reason{"call0": ReasonSilent, "call1": ReasonSilent}, c.expired)
	require.LessOrEqual(t, c.expiredAt-vanished, Length+tick)
	require.GreaterOrEqual(t, c.expiredAt-vanished, Length-CheckAfter-CheckEvery)
}

func TestHungCoreExpires(t *testing.T) {
	c := newCore(t)
	c.states, c.closes = false, false // connections come up and bring nothing
	c.pass(8 * time.Second)
	require.Equal(t, map[string]Reason{"call0": ReasonSilent, "call1": ReasonSilent}, c.expired)
	require.Less(t, c.dials, 25)
}

func TestBackInTimeIsKept(t *testing.T) {
	c := newCore(t)
	open := c.open
	c.vanish()
	c.pass(5500 * time.Millisecond)
	c.up, c.open = true, open
	c.pass(10 * time.Second)
	require.Empty(t, c.expired)
}

// TestBackWithReleases: while the core was away one of its calls has ended. Its release comes after the state.
func TestBackWithReleases(t *testing.T) {
	c := newCore(t)
	open := c.open
	c.vanish()
	c.pass(4 * time.Second)
	c.up, c.open, c.used = true, open, 1
	c.pass(700 * time.Millisecond)
	c.lease.Over("call0")
	c.pass(10 * time.Second)
	require.Empty(t, c.expired)
}

func TestAddressTaken(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 5 * time.Second, 6900 * time.Millisecond} {
		c := newCore(t)
		c.vanish()
		vanished := c.now
		c.pass(after)
		c.up, c.used = true, 0
		c.pass(8*time.Second - after)
		require.Len(t, c.expired, 2, "taken after %v", after)
		require.LessOrEqual(t, c.expiredAt-vanished, Length+tick, "taken after %v", after)
	}
}

// TestAddressTakenUnseen: where states were not seen to count calls, a core that was away has to prove that it is the
// one that has them.
func TestAddressTakenUnseen(t *testing.T) {
	c := newCore(t)
	c.lease.distrusted = true
	c.vanish()
	c.pass(3 * time.Second)
	c.up = true
	c.pass(5 * time.Second)
	require.Len(t, c.expired, 2)

	c = newCore(t)
	c.lease.distrusted = true
	open := c.open
	c.vanish()
	c.pass(3 * time.Second)
	c.up, c.open = true, open
	c.pass(10 * time.Second)
	require.Empty(t, c.expired)
}

func TestCrash(t *testing.T) {
	c := newCore(t)
	c.up, c.refuses = false, true
	c.lose(EndReset)
	c.dial()
	c.pass(tick)
	require.Equal(t, map[string]Reason{"call0": ReasonRefused, "call1": ReasonRefused}, c.expired)
}

// TestRefusedAfterClose: a core that closed its connections in order and refuses further ones for a moment may be short
// of them; one that goes on refusing has died.
func TestRefusedAfterClose(t *testing.T) {
	c := newCore(t)
	c.refuses, c.up = true, false
	c.lose(EndClosed)
	c.dial()
	c.pass(500 * time.Millisecond)
	require.Empty(t, c.expired)
	c.up = true
	c.dial()
	c.pass(10 * time.Second)
	require.Empty(t, c.expired)

	c = newCore(t)
	c.refuses, c.up = true, false
	c.lose(EndClosed)
	c.dial()
	c.pass(1200 * time.Millisecond)
	require.Len(t, c.expired, 2)
}

// TestQuickRestart: the process dies and another listens before a dial is refused. Its states show no call.
func TestQuickRestart(t *testing.T) {
	c := newCore(t)
	c.lose(EndReset)
	c.used = 0
	c.dial()
	c.pass(2 * time.Second)
	require.Equal(t, map[string]Reason{"call0": ReasonReplaced, "call1": ReasonReplaced}, c.expired)
}

func TestConnectionsLost(t *testing.T) {
	for _, how := range []End{EndClosed, EndReset, EndLocal} {
		c := newCore(t)
		c.lose(how)
		c.pass(700 * time.Millisecond)
		c.dial()
		c.pass(20 * time.Second)
		require.Empty(t, c.expired, "end %v", how)
	}
}

// TestLaterCallsHaveTheirOwnLease: calls that stand on the process that has taken the address outlive those of the one
// before.
func TestLaterCallsHaveTheirOwnLease(t *testing.T) {
	c := newCore(t)
	c.vanish()
	c.up, c.used = true, 0
	c.dial()
	c.used = 1
	c.lease.Stands("later", 1, c.next, c.now)
	c.lease.Heard(c.next, c.now, c.state())
	c.pass(20 * time.Second)
	require.Equal(t, map[string]Reason{"call0": ReasonReplaced, "call1": ReasonReplaced}, c.expired)
}

// TestWordOnCall: a process that names a call has it.
func TestWordOnCall(t *testing.T) {
	c := newCore(t)
	c.lease.distrusted = true
	c.vanish()
	c.pass(3 * time.Second)
	c.up, c.states = true, false
	c.dial()
	c.lease.Heard(c.next, c.now, Message{Call: "call0"})
	require.Len(t, c.lease.processes, 1)
	c.pass(time.Second)
	require.Empty(t, c.expired)
}

// TestLaterConnectionGreetsFirst: all connections end, and of those that come up in their place the last brings the
// first word.
func TestLaterConnectionGreetsFirst(t *testing.T) {
	c := newCore(t)
	c.lose(EndReset)
	for range 3 {
		c.next++
		c.open[c.next] = true
		c.lease.Connected(c.next, c.now)
	}
	for i := range ConnectionID(3) {
		c.lease.Heard(c.next-i, c.now, c.state())
	}
	c.pass(20 * time.Second)
	require.Empty(t, c.expired)
}

// TestAddressTakenWithSetUps: circuits that open set-ups take on the process that has the address now are no sign that
// it has the calls of the one before.
func TestAddressTakenWithSetUps(t *testing.T) {
	c := newCore(t)
	c.vanish()
	c.pass(2 * time.Second)
	c.up, c.used = true, 5
	for i := range 5 {
		c.lease.SetUpSent(fmt.Sprint("set-up", i), 1, c.next+1)
	}
	c.dial()
	for i := range 5 {
		c.lease.SetUpOver(fmt.Sprint("set-up", i))
		c.lease.Stands(fmt.Sprint("later", i), 1, c.next, c.now)
	}
	c.lease.Heard(c.next, c.now, c.state())
	c.pass(5 * time.Second)
	require.Equal(t, map[string]Reason{"call0": ReasonReplaced, "call1": ReasonReplaced}, c.expired)
}

// TestReleaseLost: one call of many is missing from the states of a core that is back; the others are kept.
func TestReleaseLost(t *testing.T) {
	c := newCore(t)
	for i := range 6 {
		c.lease.Stands(fmt.Sprint("more", i), 1, 1, c.now)
	}
	c.used = 8
	c.lease.Heard(1, c.now, c.state())
	c.pass(2 * time.Second)
	c.lose(EndReset)
	c.used = 7
	c.dial()
	c.pass(10 * time.Second)
	require.Empty(t, c.expired)
}

// TestWordBeforeTick: the process that has taken the address speaks between the second in which calls might have been
// released and the tick that gives them up.
func TestWordBeforeTick(t *testing.T) {
	c := newCore(t)
	c.vanish()
	c.up, c.used = true, 0
	c.dial()
	c.now += ProofWithin
	c.lease.Heard(c.next, c.now, Message{})
	c.pass(tick)
	require.Equal(t, map[string]Reason{"call0": ReasonReplaced, "call1": ReasonReplaced}, c.expired)
}

// TestForgottenWithSetUp: the core has forgotten all connections, one with a set-up that it never counts. While that is
// open, its states don't tell whether it has the calls; afterwards they do.
func TestForgottenWithSetUp(t *testing.T) {
	c := newCore(t)
	c.closes = false
	c.lease.SetUpSent("lost", 1, 1)
	c.dial()
	c.pass(1500 * time.Millisecond)
	c.lease.SetUpOver("lost")
	for range 10 {
		c.lease.Heard(c.next, c.now, c.state())
		c.pass(time.Second)
	}
	require.Empty(t, c.expired)
	require.Len(t, c.lease.processes, 1)
}
