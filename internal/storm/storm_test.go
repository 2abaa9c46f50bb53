package storm

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func config() Config {
	return Config{Classes: []Class{{"result-page", 1500 * time.Millisecond, 1}, {"round-update", time.Second, 8}},
		Instances: 2, MaxWait: 2 * time.Second, Seed: 5, Window: true, Budget: true, Advice: true, Callers: true, Cold: true}
}

func newStorm(t testing.TB, c Config) *Storm {
	s, err := New(c)
	require.NoError(t, err)
	return s
}

// fillWindow offers calls until one is rejected and returns the number admitted. Each call has another caller.
func fillWindow(s *Storm, now time.Duration, o Offer) int {
	for n := 0; ; n++ {
		if o.Caller++; !s.Offered(now, o).Admit() {
			return n
		}
	}
}

// TestRanks checks that, as the window fills, calls are rejected in this order: callers that ignore advice, redials,
// transit calls, first tries, calls of worthy classes.
func TestRanks(t *testing.T) {
	s, now := newStorm(t, config()), time.Hour
	s.dest(1).size = 100
	ignorer := Offer{Dest: 1, Caller: 1 << 40, Resent: true}
	for range 3 {
		s.callers.recordWait(now, ignorer.Caller, time.Second)
		s.callers.recordTry(now+time.Millisecond, ignorer.Caller, true)
	}
	s.callers.recordWait(now, ignorer.Caller, time.Second)
	for i, want := range []struct {
		o    Offer
		open int
	}{{Offer{Dest: 1, Resent: true}, 40}, {Offer{Dest: 1, Transit: true}, 85}, {Offer{Dest: 1, Number: 1}, 100},
		{Offer{Dest: 1, Class: 1}, 150}} {
		if i == 1 {
			require.Equal(t, CameEarly, s.Offered(now, ignorer).Reason)
		}
		want.o.Caller = uint64(i+1) << 20
		if i == 2 { // many different numbers, so that none is heavy
			for n := uint64(100); s.Offered(now, Offer{Dest: 1, Number: n, Caller: n}).Admit(); n++ {
			}
		} else {
			fillWindow(s, now, want.o)
		}
		require.InDelta(t, want.open, s.dests[1].open, 3, "%+v", want.o) // the mean worth shifts as calls are offered
	}
}

// TestWindow checks that the window grows while it is used and set-ups are answered at once, shrinks while set-ups are
// queued, and ramps up again after an outage.
func TestWindow(t *testing.T) {
	s, now := newStorm(t, config()), time.Hour
	play := func(n int, took time.Duration) {
		for range n {
			now += 20 * time.Millisecond
			got := fillWindow(s, now, Offer{Dest: 1, Number: uint64(now)})
			for range got + s.dests[1].open {
				if s.dests[1].open > 0 {
					s.Sent(now, 1, false)
					s.Answered(now, 1, 0, took, true)
				}
			}
		}
	}
	play(20, 20*time.Millisecond)
	grown := s.dests[1].size
	require.Greater(t, grown, 30.0)
	play(3, time.Second)
	require.Less(t, s.dests[1].size, grown/4)
	require.GreaterOrEqual(t, s.dests[1].size, minWindow)
	s.Sent(now, 1, false)
	now += 5 * time.Second
	ramps := s.Counts().Ramps
	s.Answered(now, 1, 0, 20*time.Millisecond, true)
	require.Equal(t, ramps+1, s.Counts().Ramps)
	require.InDelta(t, 8, s.dests[1].size, 1.5)
	play(1, 20*time.Millisecond)
	size := s.dests[1].size
	s.Failed(now, 1)
	s.Failed(now, 1) // within the same back-off interval
	require.InDelta(t, size*backOffFactor, s.dests[1].size, 1e-9)
}

// TestSecondOutage checks that a second outage restarts the ramp-up and keeps the learnt baseline.
func TestSecondOutage(t *testing.T) {
	s, now := newStorm(t, config()), time.Hour
	for range 400 {
		now += 50 * time.Millisecond
		s.Offered(now, Offer{Dest: 1, Number: uint64(now)})
		s.Answered(now, 1, 0, 20*time.Millisecond, true)
		s.Tick(now)
	}
	baseline := s.dests[1].meter.baseline.rate()
	require.InDelta(t, 20, baseline, 1)
	s.ProcessorStarted(now, 1)
	s.ProcessorStarted(now+6*time.Second, 1)
	require.Equal(t, 8.0, s.dests[1].size)
	s.Tick(now + 6*time.Second)
	require.InDelta(t, baseline, s.dests[1].meter.baseline.rate(), 0.1)
}

// TestBudget checks that further attempts are denied when no call is served, that first attempts never are, and that
// served calls earn further attempts.
func TestBudget(t *testing.T) {
	s, now, further := newStorm(t, config()), time.Hour, 0
	for range 1000 {
		now += 10 * time.Millisecond
		require.True(t, s.Sent(now, 1, false))
		if s.Sent(now, 1, true) {
			further++
		}
	}
	require.LessOrEqual(t, further, int(initialBudget+budgetPerSecond*10)+1)
	for range 100 {
		s.Answered(now, 1, 0, time.Millisecond, true)
	}
	require.True(t, s.Sent(now, 1, true))
}

// TestAdvice checks that no two of a hundred successive waits are equal, that they are positive and at most MaxWait,
// that the same seed gives the same waits and another seed others, and that MaxWait 0 gives no waits.
func TestAdvice(t *testing.T) {
	draw := func(seed uint64, maxWait time.Duration) []time.Duration {
		c := config()
		c.Seed, c.MaxWait = seed, maxWait
		s := newStorm(t, c)
		var out []time.Duration
		for i := range 1000 {
			out = append(out, s.Advise(time.Hour+time.Duration(i)*5*time.Millisecond, 1, uint64(i)))
		}
		return out
	}
	a := draw(1, 2*time.Second)
	for i := range len(a) - 100 {
		seen := map[time.Duration]bool{}
		for _, w := range a[i : i+100] {
			require.False(t, seen[w], "%v twice", w)
			require.Positive(t, w)
			require.LessOrEqual(t, w, 2*time.Second)
			seen[w] = true
		}
	}
	require.Equal(t, a, draw(1, 2*time.Second))
	require.NotEqual(t, a, draw(2, 2*time.Second))
	require.Equal(t, make([]time.Duration, 1000), draw(1, 0))
}

// TestAdviceGrows checks that the wait grows with the number of tries.
func TestAdviceGrows(t *testing.T) {
	mean := func(tries int) (sum time.Duration) {
		a := newAdviser(3)
		for range 200 {
			sum += a.draw(1, 2, tries, time.Hour)
		}
		return sum / 200
	}
	require.Greater(t, mean(3), 2*mean(0))
}

// TestIgnorers checks that two early tries make an ignorer and one does not, that the entry expires, that a try in
// time is no offence, and that first tries of callers that share the hash do not count.
func TestIgnorers(t *testing.T) {
	var c callers
	now := time.Hour
	early := func() bool {
		c.recordWait(now, 7, time.Second)
		now += 100 * time.Millisecond
		ignorer, _ := c.recordTry(now, 7, true)
		return ignorer
	}
	require.False(t, early())
	require.True(t, early())
	ignorer, _ := c.recordTry(now, 7, false)
	require.True(t, ignorer)
	ignorer, _ = c.recordTry(now+callerTTL, 7, true)
	require.False(t, ignorer)

	c.recordWait(now, 8, time.Second)
	ignorer, tries := c.recordTry(now+time.Second, 8, true)
	require.False(t, ignorer)
	require.Equal(t, 1, tries)
	for range 100 { // many callers with one address: first tries are not redials
		c.recordWait(now, 9, time.Second)
		ignorer, _ = c.recordTry(now, 9, false)
		require.False(t, ignorer)
	}
}

// TestStates checks that redials cause the storm state only if they persist, that the state returns to calm through
// recovering, and that the storm's rate does not become the baseline.
func TestStates(t *testing.T) {
	s, now := newStorm(t, config()), time.Hour
	var log []string
	play := func(span time.Duration, every time.Duration, redials int) {
		for end := now + span; now < end; now += every {
			s.Offered(now, Offer{Dest: 1, Number: uint64(now)})
			for range redials {
				s.Offered(now, Offer{Dest: 1, Number: uint64(now), Resent: true})
			}
			for _, c := range s.Tick(now) {
				if c.Scope.Kind == "all" {
					log = append(log, fmt.Sprintf("%v-%v", c.From, c.To))
				}
			}
		}
	}
	play(20*time.Second, 100*time.Millisecond, 0)
	baseline := s.total.baseline.rate()
	play(200*time.Millisecond, 100*time.Millisecond, 3)
	play(10*time.Second, 100*time.Millisecond, 0)
	require.Equal(t, []string{"calm-recovering", "recovering-calm"}, log, "a burst is not a storm")
	play(10*time.Second, 100*time.Millisecond, 3)
	play(20*time.Second, 100*time.Millisecond, 0)
	require.Equal(t, []string{"calm-recovering", "recovering-calm", "calm-storm", "storm-recovering", "recovering-calm"}, log)
	require.InDelta(t, baseline, s.total.baseline.rate(), 2)
}

// TestLinks checks that new connections at many times the baseline rate raise the scope's state although no call is
// offered.
func TestLinks(t *testing.T) {
	s, now := newStorm(t, config()), time.Hour
	causes := map[string]bool{}
	play := func(span, every time.Duration) {
		for end := now + span; now < end; now += every {
			s.CallerConnected(now, uint64(now)) // each from a different address
			for _, c := range s.Tick(now) {
				causes[c.Scope.Kind+": "+c.Cause] = true
			}
		}
	}
	play(30*time.Second, 100*time.Millisecond)
	require.False(t, causes["all: new connections over the usual rate"])
	play(5*time.Second, 10*time.Millisecond)
	require.True(t, causes["all: new connections over the usual rate"])
	require.LessOrEqual(t, len(s.groups), maxGroups)
}

// TestHeavy checks that only the number that receives most of the calls is heavy, among thousands of others.
func TestHeavy(t *testing.T) {
	var h heavy
	now := time.Hour
	for i := range 4000 {
		now += 5 * time.Millisecond
		if h.add(now, 7); i%2 == 0 {
			h.add(now, uint64(1000+i))
		}
	}
	require.True(t, h.isHeavy(now, 7))
	require.False(t, h.isHeavy(now, 4998))
	require.False(t, h.isHeavy(now, 3))
}

// TestPacer checks that a group with thousands of connections does not delay a small group, that the rate limit holds,
// and that the tables stay bounded.
func TestPacer(t *testing.T) {
	p, err := NewPacer(Pace{PerSecond: 100, Burst: 10, Waiting: 40})
	require.NoError(t, err)
	now, served, refused := time.Hour, map[uint64]int{}, 0
	groups := map[uint64]uint64{}
	next := uint64(0)
	arrive := func(group uint64) {
		next++
		groups[next] = group
		if ok, waits := p.Arrive(now, group, next); ok {
			served[group]++
		} else if !waits {
			refused++
		}
	}
	for i := range 2000 {
		now += time.Millisecond
		arrive(1)
		if i%50 == 0 {
			arrive(2)
		}
		ids, expired, retryIn := p.Next(now)
		for _, id := range ids {
			served[groups[id]]++
		}
		require.Empty(t, expired)
		require.True(t, retryIn > 0 || p.queued == 0)
	}
	require.Equal(t, 40, served[2]+len(p.groups[2].queue), "every connection of the small group is served or queued")
	require.InDelta(t, 200, served[1]+served[2], 12)
	require.Equal(t, p.Rejected, refused)
	for g := range uint64(100_000) {
		now += time.Millisecond
		arrive(g + 10)
		p.Next(now)
	}
	require.LessOrEqual(t, len(p.groups), maxPacedGroups+sharedQueues)
	_, expired, _ := p.Next(now + time.Hour)
	require.Zero(t, p.queued, "%d late", len(expired))
}

// TestBadConfig checks that an error names the invalid setting.
func TestBadConfig(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"target":  func(c *Config) { c.Target = 2 },
		"classes": func(c *Config) { c.Classes = nil },
		"wait":    func(c *Config) { c.MaxWait = -1 },
	} {
		c := config()
		change(&c)
		_, err := New(c)
		require.ErrorContains(t, err, want)
	}
	s := newStorm(t, config())
	require.Error(t, s.Configure(Config{Classes: config().Classes[:1]}))
}

// events drives a Storm with a random sequence of events and checks its invariants after each.
func events(t *rapid.T) {
	c := config()
	c.MaxWait = time.Duration(rapid.IntRange(0, 2000).Draw(t, "most")) * time.Millisecond
	s, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	now, open := time.Hour, map[int]int{}
	for range rapid.IntRange(1, 400).Draw(t, "n") {
		now += time.Duration(rapid.IntRange(-50, 300).Draw(t, "step")) * time.Millisecond // clocks can step back
		dest := rapid.IntRange(0, 3).Draw(t, "dest")
		switch rapid.IntRange(0, 6).Draw(t, "event") {
		case 0, 1, 2:
			o := Offer{Dest: dest, Class: rapid.IntRange(0, 1).Draw(t, "class"), Caller: rapid.Uint64Range(0, 9).Draw(t, "caller"),
				Resent: rapid.Bool().Draw(t, "resent"), Transit: rapid.Bool().Draw(t, "transit")}
			v := s.Offered(now, o)
			if v.Admit() {
				open[dest]++
			} else if v.Wait < 0 || v.Wait > c.MaxWait || o.Transit && v.Wait != 0 {
				t.Fatalf("wait %v, maximum %v", v.Wait, c.MaxWait)
			}
		case 3:
			if open[dest] > 0 {
				open[dest]--
				s.Answered(now, dest, 1, time.Duration(rapid.IntRange(0, 4000).Draw(t, "took"))*time.Millisecond, true)
			}
		case 4:
			if open[dest] > 0 {
				open[dest]--
				s.Unanswered(now, dest)
			}
		case 5:
			if !s.Sent(now, dest, false) {
				t.Fatal("a first attempt is denied")
			}
			s.Failed(now, dest)
		case 6:
			s.Tick(now)
			s.ProcessorStarted(now, dest)
		}
		for n, d := range s.dests {
			if d.open != open[n] || d.size < minWindow || d.size > maxWindow || d.tokens < -1e-9 || d.tokens > maxBudget {
				t.Fatalf("exchange %d: %d open (%d), window %v, tokens %v", n, d.open, open[n], d.size, d.tokens)
			}
		}
	}
}

// TestEvents and FuzzEvents check the invariants over random sequences of events.
func TestEvents(t *testing.T) { rapid.Check(t, events) }
func FuzzEvents(f *testing.F) { f.Fuzz(rapid.MakeFuzz(events)) }

// TestBounded checks that the tables stay within their fixed sizes after a million different callers, numbers and
// addresses and 2000 exchanges.
func TestBounded(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s, now := newStorm(t, config()), time.Hour
	for i := range uint64(1_000_000) {
		now += 10 * time.Microsecond
		s.Offered(now, Offer{Dest: int(i % 2000), Group: i, Caller: i * 0x9e3779b97f4a7c15, Number: i, Resent: i%3 == 0})
		if i%1000 == 0 {
			s.Tick(now)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(4<<20))
	t.Logf("%d KiB", (int64(after.HeapAlloc)-int64(before.HeapAlloc))>>10)
	require.LessOrEqual(t, len(s.dests), maxDests)
	require.LessOrEqual(t, len(s.groups), maxGroups)
	require.LessOrEqual(t, len(s.changes), maxChanges)
}

// BenchmarkDecision measures one call: offered, sent and answered, or rejected.
func BenchmarkDecision(b *testing.B) {
	s, now := newStorm(b, config()), time.Hour
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 10 * time.Millisecond
		x := uint64(i) * 0x9e3779b97f4a7c15
		if s.Offered(now, Offer{Dest: i % 8, Group: uint64(i % 100), Caller: x, Number: x, Resent: i%4 == 0}).Admit() {
			s.Sent(now, i%8, false)
			s.Answered(now, i%8, x, 20*time.Millisecond, true)
		}
	}
}
