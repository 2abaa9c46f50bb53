package brookmux

import (
	"strings"
	"testing"
	"time"
)

// TestStandingCallEndsBackOff: an unresponsive or full processor gets calls again as soon as one stands.
func TestStandingCallEndsBackOff(t *testing.T) {
	c, d := startController(t, meshSettings())
	e := c.exchange(1)
	e.free = 10
	c.Offered(second, newCall(1, 1, second))
	e.backOffUntil = 3 * second
	c.Offered(1100*time.Millisecond, newCall(2, 1, second))
	expectActions(t, d, "send 1 to 101")
	c.Answered(1200*time.Millisecond, Answer{Call: 1, Elapsed: 200 * time.Millisecond})
	c.Offered(1300*time.Millisecond, newCall(3, 1, second))
	expectActions(t, d, "send 3 to 101")
}

// TestLostAnswersAreNotUnresponsiveness: an exchange that loses a third of its answers is not treated as unresponsive.
func TestLostAnswersAreNotUnresponsiveness(t *testing.T) {
	c, d := startController(t, meshSettings())
	c.Probed(second, circuitReport(1, 500, 500))
	for i := range CallID(60) {
		at := second + time.Duration(i)*300*time.Millisecond
		k := newCall(i+1, 1, at)
		k.Expires = at + 2600*time.Millisecond
		c.Offered(at, k)
		if i%3 != 0 {
			c.Answered(at+100*time.Millisecond, Answer{Call: i + 1, Elapsed: 100 * time.Millisecond})
		} else if i >= 9 {
			c.AttemptEnded(at, outcome(i-8, 0, 101, ResultTimeout))
		}
	}
	if n := d.count("send"); n < 55 {
		t.Errorf("%d of 60 calls sent to an exchange that answers two thirds", n)
	}
}

// TestLostAnswerLeavesTimeForAnother: once a later set-up to an exchange has stood before an earlier one, so that
// the earlier answer was lost, set-ups time out early enough for another one to stand in time. Otherwise they time
// out when their caller does.
func TestLostAnswerLeavesTimeForAnother(t *testing.T) {
	for _, overtaken := range []bool{false, true} {
		c, d := startController(t, meshSettings())
		c.exchange(1).free = 20
		for i := range CallID(10) {
			c.Offered(second, newCall(100+i, 1, second))
			c.Answered(second, Answer{Call: 100 + i, Elapsed: 50 * time.Millisecond})
		}
		c.Offered(2*second, newCall(1, 1, 2*second))
		c.exchange(1).free = 20
		c.Offered(3*second, newCall(2, 1, 3*second))
		if overtaken {
			c.Answered(3100*time.Millisecond, Answer{Call: 2, Elapsed: 50 * time.Millisecond})
		}
		c.AttemptEnded(5*second, outcome(1, 0, 101, ResultTimeout))
		c.exchange(1).unanswered, d.actions = 0, nil
		k := newCall(3, 1, 5*second)
		c.Offered(5*second, k)
		for _, a := range d.actions {
			if a.kind == "send" && a.call == 3 && (a.wait < k.Expires-5*second) != overtaken {
				t.Errorf("overtaken %v: time-out %v of %v", overtaken, a.wait, k.Expires-5*second)
			}
		}
		if d.count("send") == 0 {
			t.Error("no set-up sent")
		}
	}
}

func TestReleaseWait(t *testing.T) {
	for _, r := range []Result{ResultTimeout, ResultReset, ResultCancelled} {
		c, d := startController(t, meshSettings())
		c.Offered(second, newCall(1, 1, second))
		expectActions(t, d, "send 1 to 101")
		c.AttemptEnded(1100*time.Millisecond, outcome(1, 0, 101, r))
		c.Probed(1200*time.Millisecond, circuitReport(1, 9, 10))
		c.Timer(1399*time.Millisecond, 1*2+1)
		expectActions(t, d, "")
		c.Timer(1400*time.Millisecond, 1*2+1)
		expectActions(t, d, "send 1 to 101")
	}
}

func TestTimeoutAtExpiryIsAnswered(t *testing.T) {
	c, d := startController(t, meshSettings())
	c.Offered(second, newCall(1, 1, second))
	d.take()
	c.AttemptEnded(4*second, outcome(1, 0, 101, ResultTimeout))
	expectActions(t, d, "refuse 1")
}

func TestSilentProcessorIsTestedOnly(t *testing.T) {
	c, d := startController(t, meshSettings())
	for i := range 40 {
		c.exchange(1).free = 10
		c.Offered(second+time.Duration(i)*100*time.Millisecond, newCall(CallID(i+1), 1, 10*second))
	}
	if n := d.count("send"); n < 13 || n > 16 { // eleven in the first second, then one a second
		t.Errorf("%d set-ups in four seconds to an unresponsive processor", n)
	}
	d.actions = nil
	c.Answered(5*second, Answer{Call: 1, Attempt: 0, Elapsed: second})
	c.exchange(1).free, c.exchange(1).outstanding = 10, nil
	for i := range CallID(2) {
		c.Offered(6100*time.Millisecond+time.Duration(i), newCall(90+i, 1, 6*second))
	}
	expectActions(t, d, "send 90 to 101, send 91 to 101")
}

// TestLocalProcessorDown: while the local exchange can't send set-ups, calls wait and keep their attempts.
func TestLocalProcessorDown(t *testing.T) {
	c, d := startController(t, meshSettings())
	c.Offered(second, newCall(1, 1, second))
	expectActions(t, d, "send 1 to 101")
	down := outcome(1, 0, 101, ResultMoot)
	down.Reason = ReasonProcessorFull
	c.AttemptEnded(second, down)
	c.Offered(second, newCall(2, 2, second))
	expectActions(t, d, "")
	c.Probed(2*second, circuitReport(1, 9, 10))
	c.Probed(2*second, circuitReport(2, 9, 10))
	if got := d.take(); strings.Count(got, "send") != 2 {
		t.Errorf("actions %q, want both calls sent", got)
	}
}

func TestEffects(t *testing.T) {
	tests := []struct {
		name   string
		effect Effect
		group  Scope
		result Result
		want   string
	}{
		{"safe is sent again", Safe, ScopeAll, ResultError, "send 1 to 101"},
		{"once is given up when it may have run", Once, ScopeAll, ResultError, "fail 1"},
		{"once is tried again when it can't have run", Once, ScopeAll, ResultMoot, "send 1 to 101"},
		{"keyed is sent again within its window", Keyed, ScopeCell, ResultError, "send 1 to 101"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := meshSettings()
			s.Classes[0].Effect, s.Classes[0].Group, s.Classes[0].Window = tt.effect, tt.group, second
			c, d := startController(t, s)
			c.Offered(second, newCall(1, 1, second))
			d.take()
			o := outcome(1, 0, 101, tt.result)
			o.Report.Free = 5
			c.AttemptEnded(1100*time.Millisecond, o)
			expectActions(t, d, tt.want)
		})
	}
	t.Run("keyed past its window is given up", func(t *testing.T) {
		s := meshSettings()
		s.Classes[0].Effect, s.Classes[0].Group, s.Classes[0].Window = Keyed, ScopeZone, second
		c, d := startController(t, s)
		c.Offered(second, newCall(1, 1, second))
		d.take()
		c.AttemptEnded(2500*time.Millisecond, outcome(1, 0, 101, ResultError))
		expectActions(t, d, "fail 1")
	})
}
