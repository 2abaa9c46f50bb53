package brookmux

import (
	"strings"
	"testing"
	"time"
)

func TestRoutes(t *testing.T) {
	tests := []struct {
		name string
		free [4]float64
		call Call
		want string
	}{
		{"direct while there is room", [4]float64{0, 1, 10, 10}, newCall(1, 1, second), "send 1 to 101"},
		{"one tandem when direct is full", [4]float64{0, 0, 10, 2}, newCall(1, 1, second), "send 1 to 102"},
		{"two circuits are kept from alternates", [4]float64{0, 0, 2, 2}, newCall(1, 1, second), ""},
		{"transit goes on", [4]float64{0, 3, 10, 10}, Call{ID: 1, Destination: 1, Width: 1, Via: 2, Transit: true,
			Expires: 4 * second}, "send 1 to 101"},
		{"transit is turned back at two free", [4]float64{0, 2, 10, 10}, Call{ID: 1, Destination: 1, Width: 1,
			Via: 2, Transit: true, Expires: 4 * second}, "refuse 1"},
		{"a wide call needs its width", [4]float64{0, 2, 4, 5}, Call{ID: 1, Destination: 1, Width: 3, Via: -1,
			Expires: 4 * second}, "send 1 to 103"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, d := startController(t, meshSettings())
			for i := 1; i < 4; i++ {
				c.exchange(i).free = tt.free[i]
			}
			c.Offered(second, tt.call)
			expectActions(t, d, tt.want)
		})
	}
}

func TestReserveGrowsWithBlocking(t *testing.T) {
	e := &exchange{size: 100}
	if got := e.reserve(); got != 2 {
		t.Errorf("reserve without blocking is %v, want 2", got)
	}
	e.blocking = 0.5
	if got := e.reserve(); got <= 2 || got > 100*maxReserveShare {
		t.Errorf("reserve with half of the calls blocked is %v", got)
	}
}

func TestOneTandemACall(t *testing.T) {
	c, d := startController(t, meshSettings())
	c.exchange(1).free, c.exchange(3).free = 0, 0
	c.Offered(second, newCall(1, 1, second))
	expectActions(t, d, "send 1 to 102")
	o := outcome(1, 0, 102, ResultFull)
	o.Reason = ReasonRejectedByTandem
	c.exchange(3).free = 10
	c.AttemptEnded(second, o)
	expectActions(t, d, "") // the call waits for the direct route
	if c.exchange(2).tandemBackOff[1].until <= second {
		t.Error("the tandem that rejected the call is not backed off")
	}
	c.Probed(second+time.Millisecond, circuitReport(1, 1, 10))
	expectActions(t, d, "send 1 to 101")
}

func TestBlockedCallsWaitWithinTheirAim(t *testing.T) {
	c, d := startController(t, meshSettings())
	for i := 1; i < 4; i++ {
		c.exchange(i).free = 0
	}
	c.Offered(second, newCall(1, 1, second))
	expectActions(t, d, "")
	c.Timer(second+1500*time.Millisecond, 1*2+1)
	expectActions(t, d, "refuse 1")
}

// TestCircuitsGatherForWideCalls: narrow calls don't starve a queued wide call of higher worth.
func TestCircuitsGatherForWideCalls(t *testing.T) {
	s := meshSettings()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Worth = 3
	c, d := startController(t, s)
	for i := 1; i < 4; i++ {
		c.exchange(i).free = 0
	}
	wide := newCall(1, 1, second)
	wide.Class, wide.Width = 1, 2
	c.Offered(second, wide)
	c.Probed(second+1, circuitReport(1, 1, 10))
	c.Offered(second+2, newCall(2, 1, second))
	expectActions(t, d, "")
	c.Probed(second+3, circuitReport(1, 2, 10))
	expectActions(t, d, "send 1 to 101")
	c.Probed(second+4, circuitReport(1, 1, 10))
	expectActions(t, d, "send 2 to 101")
}

// TestShortTimeoutCallIsNotSentToLongQueue: a set-up that can't stand before its caller leaves is not sent; with a
// short queue it is.
func TestShortTimeoutCallIsNotSentToLongQueue(t *testing.T) {
	for _, tt := range []struct {
		wait float64
		want string
	}{{100, "send 50 to 101"}, {400, ""}} {
		c, d := startController(t, meshSettings())
		e := c.exchange(1)
		c.minDelay, e.setUpDelay, e.lastStoodAt = 50, 50+tt.wait, second
		k := newCall(50, 1, second)
		k.Expires = second + 300*time.Millisecond
		c.Offered(second, k)
		if got := d.take(); !strings.HasPrefix(got, tt.want) || tt.want == "" && strings.Contains(got, "send") {
			t.Errorf("wait %v ms: actions %q, want %q", tt.wait, got, tt.want)
		}
	}
}

// TestTandemsAreLearned: an advised tandem takes precedence, then the one over which a call stood last. A trunk
// group is backed off in both directions after the tandem has rejected a call for it.
func TestTandemsAreLearned(t *testing.T) {
	c, d := startController(t, meshSettings())
	c.Probed(second, circuitReport(1, 0, 0))
	k := newCall(60, 1, second)
	k.Via = 3
	c.Offered(second, k)
	expectActions(t, d, "send 60 to 103")
	c.Answered(second, Answer{Call: 60, Elapsed: 20 * time.Millisecond})
	if c.exchange(1).lastTandem != c.exchange(3) {
		t.Fatal("the tandem of a standing call is not recorded")
	}
	c.Offered(second, newCall(61, 1, second))
	expectActions(t, d, "send 61 to 103")
	c.AttemptEnded(second, outcome(61, 0, 103, ResultFull))
	if u := c.exchange(1).tandemBackOff[3].until; u <= second || c.exchange(3).tandemBackOff[1].until != u {
		t.Error("a group that rejected a call is not backed off in both directions")
	}
}

// TestQueueHoldsCalls: while the oldest outstanding set-up has waited longer than the target, calls to its exchange
// are queued, except those of high worth and those in transit. The answer releases them.
func TestQueueHoldsCalls(t *testing.T) {
	s := meshSettings()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Worth = 8
	c, d := startController(t, s)
	c.meanWorth = 1
	c.Offered(second, newCall(1, 1, second))
	c.Answered(1100*time.Millisecond, Answer{Call: 1, Elapsed: 100 * time.Millisecond})
	c.Offered(1200*time.Millisecond, newCall(2, 1, second))
	at := 1310*time.Millisecond + time.Duration(c.targetWait)*time.Millisecond
	d.actions = nil
	c.Probed(at, circuitReport(2, 0, 10)) // no tandem available
	c.Probed(at, circuitReport(3, 0, 10))
	c.Offered(at, newCall(3, 1, at))
	expectActions(t, d, "")
	worthy, transit := newCall(4, 1, at), newCall(5, 1, at)
	worthy.Class, transit.Transit, transit.Via = 1, true, 2
	c.Offered(at, worthy)
	c.Offered(at, transit)
	expectActions(t, d, "send 4 to 101, send 5 to 101")
	c.Answered(at, Answer{Call: 2, Elapsed: at - 1200*time.Millisecond})
	c.Probed(at, circuitReport(1, 5, 10))
	expectActions(t, d, "send 3 to 101")
}

func TestPools(t *testing.T) {
	s := meshSettings()
	s.Pools, s.Here = true, -1
	s.Classes[0].Pools = []int{1, 3}
	c, d := startController(t, s)
	c.exchange(1).free = 0
	c.Offered(second, newCall(1, 1, second))
	expectActions(t, d, "send 1 to 103") // the only other permitted pool
}
