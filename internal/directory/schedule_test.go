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

// queryScheduler is a schedule under test: the current one, or that of commit feb5b32 for comparison.
type queryScheduler interface {
	tick(now time.Duration, random float64) int
	due(now time.Duration) bool
	sent(id uint16, now time.Duration)
	answered(id uint16, now time.Duration) (time.Duration, bool)
	rejected(id uint16, random float64) bool
}

// fixedInterval is the schedule of commit feb5b32: a query every 200 ms unconditionally, with answers accepted for 3 s.
type fixedInterval struct {
	queries map[uint16]time.Duration
	last    time.Duration
}

func (e *fixedInterval) tick(time.Duration, float64) int         { return 0 }
func (e *fixedInterval) due(now time.Duration) bool              { return now-e.last >= 200*time.Millisecond }
func (e *fixedInterval) sent(id uint16, now time.Duration)       { e.queries[id], e.last = now, now }
func (e *fixedInterval) rejected(id uint16, random float64) bool { return true }
func (e *fixedInterval) answered(id uint16, now time.Duration) (time.Duration, bool) {
	at, ok := e.queries[id]
	delete(e.queries, id)
	return now - at, ok && now-at <= 3*time.Second
}

// model simulates a name service on its own clock.
type model struct {
	delay          time.Duration // of each answer
	capacity       float64       // answers per second for all clients together, 0 for unlimited
	outage         time.Duration // duration of the outage that starts at outageAt
	lossInterval   int           // every lossInterval-th answer is lost, 0 for none
	reportsFailure bool          // during the outage, answers report a failure instead of being absent
}

const (
	outageAt      = 20 * time.Second
	modelDuration = 80 * time.Second
	modelTick     = 10 * time.Millisecond
	maxWait       = 30 * time.Second // longest backlog of an overloaded service; queries beyond it are dropped
)

// event is an answer in transit.
type event struct {
	at     time.Duration
	client int
	id     uint16
	asOf   time.Duration // the answer contains changes up to this time
	failed bool
}

// result is the outcome of a simulation.
type result struct {
	worst  time.Duration // longest time from a change until a client knows it
	missed int           // number of changes that a client did not learn
	rate   float64       // queries per second of one client, from the 20th second on
}

// simulate runs clients against the service. A change happens every 3.7 s; the delay of changes during an outage is
// measured from its end.
func (m model) simulate(clients int, newScheduler func() queryScheduler) result {
	random := rand.New(rand.NewPCG(1, 2))
	schedulers := make([]queryScheduler, clients)
	lastID := make([]uint16, clients)
	knownUntil := make([]time.Duration, clients) // changes up to this time are known
	for i := range schedulers {
		schedulers[i] = newScheduler()
	}
	var changes []time.Duration
	for at := 21 * time.Second; at < modelDuration-maxWait; at += 3700 * time.Millisecond {
		changes = append(changes, at)
	}
	worst, knownChanges := make([]time.Duration, clients), make([]int, clients)
	var inFlight []event
	busyUntil, queries, answers := time.Duration(0), 0, 0
	for now := time.Duration(0); now < modelDuration; now += modelTick {
		sort.SliceStable(inFlight, func(i, j int) bool { return inFlight[i].at < inFlight[j].at })
		for len(inFlight) > 0 && inFlight[0].at <= now {
			e := inFlight[0]
			inFlight = inFlight[1:]
			if e.failed {
				schedulers[e.client].rejected(e.id, 0)
			} else if _, ok := schedulers[e.client].answered(e.id, now); ok {
				knownUntil[e.client] = max(knownUntil[e.client], e.asOf)
			}
			for knownChanges[e.client] < len(changes) && changes[knownChanges[e.client]] <= knownUntil[e.client] {
				from := changes[knownChanges[e.client]]
				if from >= outageAt && from < outageAt+m.outage {
					from = outageAt + m.outage
				}
				worst[e.client] = max(worst[e.client], now-from)
				knownChanges[e.client]++
			}
		}
		for i, p := range schedulers {
			p.tick(now, 2*random.Float64()-1)
			if !p.due(now) {
				continue
			}
			lastID[i]++
			p.sent(lastID[i], now)
			if now >= 20*time.Second {
				queries++
			}
			inOutage := now >= outageAt && now < outageAt+m.outage
			if inOutage && !m.reportsFailure {
				continue
			}
			if answers++; m.lossInterval > 0 && answers%m.lossInterval == 0 {
				continue
			}
			at := now + m.delay
			if m.capacity > 0 {
				if busyUntil-now > maxWait {
					continue
				}
				busyUntil = max(busyUntil, now) + time.Duration(float64(time.Second)/m.capacity)
				at = busyUntil
			}
			inFlight = append(inFlight, event{at + 2*time.Millisecond, i, lastID[i], at, inOutage})
		}
	}
	r := result{rate: float64(queries) / float64(clients) / (modelDuration - 20*time.Second).Seconds()}
	for i := range schedulers {
		r.worst = max(r.worst, worst[i])
		r.missed += len(changes) - knownChanges[i]
	}
	return r
}

func currentSchedule() queryScheduler { return newSchedule() }

func formerSchedule() queryScheduler {
	return &fixedInterval{queries: map[uint16]time.Duration{}, last: -time.Second}
}

// TestSlowService guards against rejecting late answers: the schedule of feb5b32 ignored answers after 3 s.
func TestSlowService(t *testing.T) {
	for _, delay := range []time.Duration{0, 500 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond, 5 * time.Second, 6 * time.Second} {
		r := model{delay: delay}.simulate(1, currentSchedule)
		require.Zero(t, r.missed, delay)
		require.LessOrEqual(t, r.worst, max(delay+delay/2+100*time.Millisecond, 300*time.Millisecond), "delay %v", delay)
	}
	require.NotZero(t, model{delay: 3500 * time.Millisecond}.simulate(1, formerSchedule).missed, "the fault of feb5b32")
}

// TestCrowdedService: all clients of a service with a fixed capacity receive their answers within the time that the
// capacity allows.
func TestCrowdedService(t *testing.T) {
	for _, clients := range []int{1, 4, 36} {
		for _, capacity := range []float64{1, 2, 5, 10} {
			r := model{capacity: capacity}.simulate(clients, currentSchedule)
			if float64(clients)/capacity > 6 {
				continue // one query per client takes longer than the allowed time for a change
			}
			require.Zero(t, r.missed, "%d clients, %v a second", clients, capacity)
			require.LessOrEqual(t, r.worst, 4*time.Duration(float64(clients)/capacity*float64(time.Second))+time.Second,
				"%d clients, %v a second", clients, capacity)
		}
	}
	require.NotZero(t, model{capacity: 1}.simulate(1, formerSchedule).missed, "the fault of feb5b32")
}

// TestOutage: a change is known shortly after the service is reachable again, regardless of the length of the outage.
func TestOutage(t *testing.T) {
	for _, outage := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 8 * time.Second, 15 * time.Second} {
		for _, reportsFailure := range []bool{false, true} {
			r := model{outage: outage, reportsFailure: reportsFailure}.simulate(1, currentSchedule)
			require.Zero(t, r.missed)
			require.LessOrEqual(t, r.worst, 1300*time.Millisecond, "outage %v, fail %v", outage, reportsFailure)
			require.Less(t, model{outage: 30 * time.Second}.simulate(1, currentSchedule).rate, 4.0)
		}
	}
	r := model{delay: 3 * time.Second, outage: 8 * time.Second}.simulate(1, currentSchedule)
	require.LessOrEqual(t, r.worst, 3*time.Second+maxQueryGap+100*time.Millisecond, "an outage of a slow service")
}

func TestLostAnswers(t *testing.T) {
	r := model{lossInterval: 2}.simulate(1, currentSchedule)
	require.Zero(t, r.missed)
	require.LessOrEqual(t, r.worst, 2400*time.Millisecond)
}

// TestPromptAnswerRestoresInterval: one prompt answer restores the normal query interval after failures.
func TestPromptAnswerRestoresInterval(t *testing.T) {
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

// TestBounds: the number of stored queries is bounded, and an answer without a stored query is not accepted.
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

// TestTable simulates the rows of the table in docs/measured/discovery.md and writes them to the file named by
// DISCOVERY_TABLE.
func TestTable(t *testing.T) {
	path := cmp.Or(os.Getenv("DISCOVERY_TABLE"), filepath.Join(t.TempDir(), "table"))
	var b strings.Builder
	row := func(name string, m model, clients int) {
		former, present := m.simulate(clients, formerSchedule), m.simulate(clients, currentSchedule)
		show := func(r result) string {
			if r.missed > 0 {
				return fmt.Sprintf("%.1f s, %d never | %.1f", r.worst.Seconds(), r.missed, r.rate)
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
	row("every other answer lost", model{lossInterval: 2}, 1)
	require.NoError(t, os.WriteFile(path, []byte(b.String()), 0o600))
}
