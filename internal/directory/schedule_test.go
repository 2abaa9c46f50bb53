package directory

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pacer is a schedule under test: the present one, or that of feb5b32 for comparison.
type pacer interface {
	tick(now time.Duration, random float64) int
	due(now time.Duration) bool
	sent(id uint16, now time.Duration)
	answered(id uint16, now time.Duration) (time.Duration, bool)
	rejected(id uint16, random float64) bool
}

// everyInterval is the schedule of feb5b32: a query every 200 ms whatever happens, and answers count for 3 s.
type everyInterval struct {
	queries map[uint16]time.Duration
	last    time.Duration
}

func (e *everyInterval) tick(time.Duration, float64) int         { return 0 }
func (e *everyInterval) due(now time.Duration) bool              { return now-e.last >= 200*time.Millisecond }
func (e *everyInterval) sent(id uint16, now time.Duration)       { e.queries[id], e.last = now, now }
func (e *everyInterval) rejected(id uint16, random float64) bool { return true }
func (e *everyInterval) answered(id uint16, now time.Duration) (time.Duration, bool) {
	at, ok := e.queries[id]
	delete(e.queries, id)
	return now - at, ok && now-at <= 3*time.Second
}

// model is a name service on a clock of its own.
type model struct {
	delay    time.Duration // of each answer
	capacity float64       // answers a second for all clients, in turn; 0 for any number
	outage   time.Duration // nothing is answered from outageAt on for so long
	lose     int           // of so many answers one is lost, 0 for none
	fail     bool          // in the outage, answers report a failure
}

const (
	outageAt    = 20 * time.Second
	modelEnds   = 80 * time.Second
	modelTick   = 10 * time.Millisecond
	waitsAtMost = 30 * time.Second // in a crowded service; what waits longer is dropped
)

// event is an answer on its way.
type event struct {
	at     time.Duration
	client int
	id     uint16
	asOf   time.Duration // changes until then are in it
	bad    bool
}

// result is what came of a play.
type result struct {
	worst time.Duration // from a change to its being known, over all clients and changes
	never int           // changes that a client never knew
	rate  float64       // queries a second of one client, from the 20th second on
}

// play has clients follow a service. A change happens every 3.7 s; those in an outage count from its end.
func (m model) play(clients int, build func() pacer) result {
	random := rand.New(rand.NewPCG(1, 2))
	pacers := make([]pacer, clients)
	next := make([]uint16, clients)
	known := make([]time.Duration, clients) // changes until then are known
	for i := range pacers {
		pacers[i] = build()
	}
	var changes []time.Duration
	for at := 21 * time.Second; at < modelEnds-waitsAtMost; at += 3700 * time.Millisecond {
		changes = append(changes, at)
	}
	worst, told := make([]time.Duration, clients), make([]int, clients)
	var flying []event
	busy, queries, answers := time.Duration(0), 0, 0
	for now := time.Duration(0); now < modelEnds; now += modelTick {
		sort.SliceStable(flying, func(i, j int) bool { return flying[i].at < flying[j].at })
		for len(flying) > 0 && flying[0].at <= now {
			e := flying[0]
			flying = flying[1:]
			if e.bad {
				pacers[e.client].rejected(e.id, 0)
			} else if _, ok := pacers[e.client].answered(e.id, now); ok {
				known[e.client] = max(known[e.client], e.asOf)
			}
			for told[e.client] < len(changes) && changes[told[e.client]] <= known[e.client] {
				from := changes[told[e.client]]
				if from >= outageAt && from < outageAt+m.outage {
					from = outageAt + m.outage
				}
				worst[e.client] = max(worst[e.client], now-from)
				told[e.client]++
			}
		}
		for i, p := range pacers {
			p.tick(now, 2*random.Float64()-1)
			if !p.due(now) {
				continue
			}
			next[i]++
			p.sent(next[i], now)
			if now >= 20*time.Second {
				queries++
			}
			out := now >= outageAt && now < outageAt+m.outage
			if out && !m.fail {
				continue
			}
			if answers++; m.lose > 0 && answers%m.lose == 0 {
				continue
			}
			at := now + m.delay
			if m.capacity > 0 {
				if busy-now > waitsAtMost {
					continue
				}
				busy = max(busy, now) + time.Duration(float64(time.Second)/m.capacity)
				at = busy
			}
			flying = append(flying, event{at + 2*time.Millisecond, i, next[i], at, out})
		}
	}
	r := result{rate: float64(queries) / float64(clients) / (modelEnds - 20*time.Second).Seconds()}
	for i := range pacers {
		r.worst = max(r.worst, worst[i])
		r.never += len(changes) - told[i]
	}
	return r
}

func presentSchedule() pacer { return newSchedule() }

func formerSchedule() pacer {
	return &everyInterval{queries: map[uint16]time.Duration{}, last: -time.Second}
}

// TestSlowService: answers count however late they are.
func TestSlowService(t *testing.T) {
	for _, delay := range []time.Duration{0, 500 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond, 5 * time.Second, 6 * time.Second} {
		r := model{delay: delay}.play(1, presentSchedule)
		require.Zero(t, r.never, delay)
		require.LessOrEqual(t, r.worst, max(delay+delay/2+100*time.Millisecond, 300*time.Millisecond), "delay %v", delay)
	}
	require.NotZero(t, model{delay: 3500 * time.Millisecond}.play(1, formerSchedule).never, "the fault of feb5b32")
}

// TestCrowdedService: all clients of a service of fixed capacity get their answers, in a time that the capacity allows.
func TestCrowdedService(t *testing.T) {
	for _, clients := range []int{1, 4, 36} {
		for _, capacity := range []float64{1, 2, 5, 10} {
			r := model{capacity: capacity}.play(clients, presentSchedule)
			if float64(clients)/capacity > 6 {
				continue // one query each takes longer than a change may
			}
			require.Zero(t, r.never, "%d clients, %v a second", clients, capacity)
			require.LessOrEqual(t, r.worst, 4*time.Duration(float64(clients)/capacity*float64(time.Second))+time.Second,
				"%d clients, %v a second", clients, capacity)
		}
	}
	require.NotZero(t, model{capacity: 1}.play(1, formerSchedule).never, "the fault of feb5b32")
}

// TestOutage: a change is known soon after the service can be reached again, however long it was away.
func TestOutage(t *testing.T) {
	for _, outage := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 8 * time.Second, 15 * time.Second} {
		for _, fail := range []bool{false, true} {
			r := model{outage: outage, fail: fail}.play(1, presentSchedule)
			require.Zero(t, r.never)
			require.LessOrEqual(t, r.worst, 1300*time.Millisecond, "outage %v, fail %v", outage, fail)
			require.Less(t, model{outage: 30 * time.Second}.play(1, presentSchedule).rate, 4.0)
		}
	}
	r := model{delay: 3 * time.Second, outage: 8 * time.Second}.play(1, presentSchedule)
	require.LessOrEqual(t, r.worst, 3*time.Second+maxQuiet+100*time.Millisecond, "an outage of a slow service")
}

func TestLostAnswers(t *testing.T) {
	r := model{lose: 2}.play(1, presentSchedule)
	require.Zero(t, r.never)
	require.LessOrEqual(t, r.worst, 2400*time.Millisecond)
}

// TestPaceComesBack: one prompt answer brings the usual pace back.
func TestPaceComesBack(t *testing.T) {
	s := newSchedule()
	now := time.Duration(0)
	for range 10 {
		now += 2 * time.Second
		if s.tick(now, 0); s.due(now) {
			s.sent(uint16(now/time.Second), now)
		}
	}
	require.Equal(t, maxInterval, s.interval())
	s.sent(999, now)
	_, ok := s.answered(999, now+5*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, queryInterval, s.interval())
}

// TestBounds: what is remembered is bounded, and an answer to no query does not count.
func TestBounds(t *testing.T) {
	s := newSchedule()
	for i := range uint16(1000) {
		s.sent(i, time.Duration(i)*time.Millisecond)
	}
	require.Len(t, s.queries, maxQueries)
	_, ok := s.answered(1, time.Second)
	require.False(t, ok, "forgotten")
	_, ok = s.answered(2000, time.Second)
	require.False(t, ok)
	require.False(t, s.rejected(2000, 0))
	require.Zero(t, s.failures)
	s.tick(time.Hour, 0)
	require.Empty(t, s.queries)
}

// TestTable plays the table of docs/measured/discovery.md, and writes it to the file that DISCOVERY_TABLE names.
func TestTable(t *testing.T) {
	path := cmp.Or(os.Getenv("DISCOVERY_TABLE"), filepath.Join(t.TempDir(), "table"))
	var b strings.Builder
	row := func(name string, m model, clients int) {
		former, present := m.play(clients, formerSchedule), m.play(clients, presentSchedule)
		show := func(r result) string {
			if r.never > 0 {
				return fmt.Sprintf("%.1f s, %d never | %.1f", r.worst.Seconds(), r.never, r.rate)
			}
			return fmt.Sprintf("%.1f s | %.1f", r.worst.Seconds(), r.rate)
		}
		fmt.Fprintf(&b, "| %s | %d | %s | %s |\n", name, clients, show(former), show(present))
	}
	for _, ms := range []int{0, 200, 500, 1000, 2500, 3500, 5000, 6000} {
		row(fmt.Sprintf("answers %d ms late", ms), model{delay: time.Duration(ms) * time.Millisecond}, 1)
	}
	for _, clients := range []int{1, 36} {
		for _, capacity := range []float64{0.5, 1, 2, 5, 10} {
			row(fmt.Sprintf("%v queries a second", capacity), model{capacity: capacity}, clients)
		}
	}
	for _, ms := range []int{500, 2000, 4000, 8000, 15000} {
		row(fmt.Sprintf("outage of %.1f s", float64(ms)/1000), model{outage: time.Duration(ms) * time.Millisecond}, 1)
	}
	row("every other answer lost", model{lose: 2}, 1)
	require.NoError(t, os.WriteFile(path, []byte(b.String()), 0o600))
}
