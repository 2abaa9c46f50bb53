package brookmux

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestFill(t *testing.T) {
	tests := []struct {
		name         string
		budget       float64
		rates, limit []float64
		want         []float64
	}{
		{"all open", 10, []float64{3, 3}, []float64{1, 1}, []float64{1, 1}},
		{"common gate", 3, []float64{3, 3}, []float64{1, 1}, []float64{0.5, 0.5}},
		{"one under its limit, the other takes the rest", 3, []float64{4, 4}, []float64{0.25, 1}, []float64{0.25, 0.5}},
		{"nothing left", -1, []float64{4, 4}, []float64{1, 1}, []float64{0, 0}},
		{"no calls", 0, []float64{0, 0}, []float64{1, 0.5}, []float64{1, 0.5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var limits []gateLimit
			var to []*exchange
			for i := range tt.rates {
				to = append(to, &exchange{number: i})
				limits = append(limits, gateLimit{to[i], tt.rates[i], tt.limit[i]})
			}
			fillGates(tt.budget, limits)
			for i, e := range to {
				if math.Abs(e.gate-tt.want[i]) > 1e-9 {
					t.Errorf("gate %d is %v, want %v", i, e.gate, tt.want[i])
				}
			}
		})
	}
}

// TestBudgets compares the budgets with the paper's sums computed by hand: in each of the last periods two calls
// a second were admitted, one was incoming and one in transit, all to or from exchange 1.
func TestBudgets(t *testing.T) {
	c, _ := startController(t, meshSettings())
	c.workScale = 1
	e := c.exchange(1)
	for range averagedPeriods {
		e.admitted.current, e.incoming.current, e.transit.current = 2, 1, 1
		e.admitted.roll()
		e.incoming.roll()
		e.transit.roll()
	}
	// target load - residual (2*(88+21) + 1*(68+21) + 1*(88+21)) - transit 141 - incoming 61, in ms per second
	if got, want := c.localBudget(0), targetLoad-0.218-0.089-0.109-0.141-0.061; math.Abs(got-want) > 1e-9 {
		t.Errorf("local budget %v, want %v", got, want)
	}
	e.report, e.reportedAt = emptyReport(), 0
	e.report.Util = 0.6
	// our load there 2*61 + residual 2*89, their load 141, residual of the pair 2*89 + 109;
	// background = 0.6 - 0.3 - 0.141; budget = target load - background - 0.141 - 0.287 over 61 ms * 10 calls/s
	back := 0.6 - 0.3 - 0.141
	want := (targetLoad - back - 0.141 - 0.287) / (0.061 * 10)
	if got := c.farGateLimit(0, e, 10); math.Abs(got-want) > 1e-9 {
		t.Errorf("far limit %v, want %v", got, want)
	}
	e.report.HoldBack = 0.4
	if got := c.farGateLimit(0, e, 10); math.Abs(got-0.2) > 1e-9 {
		t.Errorf("asked to hold back 0.4: limit %v, want 0.2", got)
	}
	if got := c.farGateLimit(10*second, e, 10); got < 0.99 {
		t.Errorf("a ten-second-old report still limits the gate to %v", got)
	}
}

func TestGateRefuses(t *testing.T) {
	c, d := startController(t, meshSettings())
	c.exchange(1).gate = 0
	c.Offered(second, newCall(1, 1, second))
	c.Probed(second, circuitReport(1, 10, 10))
	expectActions(t, d, "")
	c.Timer(2500*time.Millisecond, 1*2+1) // the end of its aim
	expectActions(t, d, "refuse 1")
	c.exchange(1).gate = 1
	c.Offered(second, newCall(2, 1, second))
	expectActions(t, d, "send 2 to 101")
}

// TestGatedCallsAreRetried: a call that did not pass the gate is tried again at the next gate update.
func TestGatedCallsAreRetried(t *testing.T) {
	c, d := startController(t, meshSettings())
	c.exchange(1).gate = 0
	c.Offered(second, newCall(1, 1, second))
	expectActions(t, d, "")
	c.Timer(2*second, periodToken) // no processor is busy, so the gates open
	expectActions(t, d, "send 1 to 101")
}

func TestWorthierCallsPassAHalfOpenGate(t *testing.T) {
	s := meshSettings()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Worth = 8
	c, d := startController(t, s)
	for i := range 200 { // one in ten has more worth: all of these and a third of the others pass the gate
		c.exchange(1).gate, c.exchange(1).free = 0.4, 10
		k := newCall(CallID(i+1), 1, second)
		if i%10 == 9 {
			k.Class = 1
		}
		c.Offered(second, k)
		got := d.take()
		if k.Class == 1 && i > 50 && !strings.HasPrefix(got, "send") {
			t.Fatalf("call %d of the class of higher worth: %q", i, got)
		}
	}
}

// TestLocalWaitWithFewCalls: with few calls per exchange, the first set-up to an exchange can meet a congested local
// processor and has no earlier delay to compare with. The local wait is the smallest excess over the minimum delay
// to any exchange, so such a set-up doesn't hide the queue.
func TestLocalWaitWithFewCalls(t *testing.T) {
	c, _ := startController(t, meshSettings())
	for i, took := range []time.Duration{50, 1500, 1600} {
		id, at := CallID(i+1), time.Duration(i+1)*second
		c.exchange(i+1).free, c.exchange(i+1).size = 10, 10
		c.Offered(at, newCall(id, i+1, at))
		c.Answered(at+took*time.Millisecond, Answer{Call: id, Elapsed: took * time.Millisecond})
		if i == 0 {
			c.updateWorkScale(at)
		}
	}
	if c.updateWorkScale(5 * second); c.localWait < 1400 {
		t.Errorf("after two first set-ups of 1.5 s the local wait is %v ms", c.localWait)
	}
}

// TestColdProcessorIsPaced: from the notice of its start, a cold processor gets its traffic times its capacity share
// from all controllers together. The same holds for a cold local processor. A warm one gets all its traffic.
func TestColdProcessorIsPaced(t *testing.T) {
	for _, tt := range []struct {
		name             string
		switchID         SwitchID
		number           int
		age              time.Duration
		minSent, maxSent int
	}{
		{"far", 101, 1, second, 150, 350},
		{"own", 100, 0, second, 150, 350},
		{"half warm", 101, 1, 5 * second, 450, 750},
		{"warm", 101, 1, 20 * second, 800, 800},
	} {
		sent := 0
		for k := range 40 { // each controller offers 20 calls
			s := meshSettings()
			s.Instances, s.ColdFrom, s.WarmWithin, s.FallMultiple = 40, 0.25, 10*second, 2
			d := &recorder{}
			c, err := New(s, uint64(k), d)
			if err != nil {
				t.Fatal(err)
			}
			c.MembersChanged(second, memberList(Cached, 4))
			c.MembersChanged(100*second, Members{Kind: Delta, Switches: []Switch{
				{ID: tt.switchID, Number: tt.number, State: Ready, Since: 100*second - tt.age}}})
			for i := range 20 {
				c.exchange(1).free, c.exchange(1).size = 50, 50
				c.Offered(100*second+time.Duration(i)*20*time.Millisecond, newCall(CallID(i+1), 1, 100*second))
			}
			sent += d.count("send")
		}
		if sent < tt.minSent || sent > tt.maxSent {
			t.Errorf("%s: %d of 800 set-ups sent, want %d to %d", tt.name, sent, tt.minSent, tt.maxSent)
		}
	}
}

func TestAgeOfSetUpsCountsAsDelay(t *testing.T) {
	c, _ := startController(t, meshSettings())
	c.Offered(second, newCall(1, 1, second))
	c.Answered(1100*time.Millisecond, Answer{Call: 1, Attempt: 0, Elapsed: 100 * time.Millisecond})
	c.Offered(1200*time.Millisecond, newCall(2, 1, second))
	if w, ok := c.excessWait(2200*time.Millisecond, c.exchange(1)); !ok || w < 800 {
		t.Errorf("a set-up that is a second old shows a wait of %v ms", w)
	}
}

// TestNoBudgetIsLogged: a used-up budget is logged once when the gates close, not in every period.
func TestNoBudgetIsLogged(t *testing.T) {
	c, d := startController(t, meshSettings())
	c.workScale = 100
	for i := 1; i <= 3; i++ {
		e := c.exchange(1)
		e.admitted.current, c.minDelay, e.setUpDelay, e.lastStoodAt = 5, 100, 5000, time.Duration(i)*second
		c.Timer(time.Duration(i)*second, periodToken)
	}
	if n := d.count("log"); n != 1 {
		t.Errorf("%d log lines for one closing", n)
	}
}

// TestPerCallWorkIsFound: with a queue at both ends of a period, the per-call work is estimated so that the
// period's calls make a full load, more if the queue grew. The estimate doesn't diverge while congestion lasts.
func TestPerCallWorkIsFound(t *testing.T) {
	for _, tt := range []struct {
		name          string
		before, after float64
		want          float64
	}{
		{"a steady queue", 1000, 1000, 1},
		{"a growing queue", 1000, 1500, 1.5},
		{"a queue that drains fast", 3000, 1000, 0.5},
	} {
		c, _ := startController(t, meshSettings())
		e := c.exchange(1)
		c.minDelay = 100
		e.admitted.past = [averagedPeriods]float64{4, 4, 4}
		for i := range 8 {
			e.setUpDelay, e.lastStoodAt, c.localWait = 100+tt.after, time.Duration(i)*second, tt.before
			c.updateWorkScale(time.Duration(i) * second)
		}
		if got := c.workScale * 4 * (outgoingWork[0] + outgoingWork[1] +
			outgoingWork[2]) / 1000; math.Abs(got-tt.want) > 0.02 {
			t.Errorf("%s: the load of a period's calls is %.2f, want %.2f", tt.name, got, tt.want)
		}
	}
}
