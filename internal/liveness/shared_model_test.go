package liveness

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// releaseDeadline is the time in which a call has to be released after its end (protocol page).
const releaseDeadline = 8 * time.Second

// otherCalls are the calls of others on the simulated core's group.
type otherCalls struct {
	inUse int
	rate  float64       // new calls per second
	hold  time.Duration // mean holding time, 0 for calls without an end
}

// changeOthers lets calls of others begin and end.
func (m *model) changeOthers() {
	before := m.others.inUse
	for range before {
		if m.others.hold > 0 && m.Float64() < float64(modelStep)/float64(m.others.hold) {
			m.others.inUse--
		}
	}
	if m.others.rate > 0 && m.Float64() < m.others.rate*modelStep.Seconds() && m.used+m.others.inUse < m.size {
		m.others.inUse++
	}
	if m.others.inUse != before {
		m.sendStates()
	}
}

// steadyOthers returns calls of others whose number stays about the same.
func steadyOthers(inUse int, rate float64) otherCalls {
	o := otherCalls{inUse: inUse, rate: rate}
	if rate > 0 {
		o.hold = time.Duration(float64(inUse) / rate * float64(time.Second))
	}
	return o
}

// drawGroup draws the size of the core's group and the calls of others on it: none, steady ones, or some that begin and end.
func (m *model) drawGroup() {
	m.size = 20 + m.IntN(100)
	if m.IntN(5) == 0 {
		return
	}
	rate := 0.0
	if m.IntN(4) > 0 {
		rate = 0.2 + 8*m.Float64()*m.Float64()
	}
	m.others = steadyOthers(1+m.IntN(min(50, m.size-10)), rate)
}

// drawNextOthers draws the calls of others on the process that follows: as many, a share that stands on, or a number of
// their own, at once or one by one.
func (m *model) drawNextOthers() {
	switch m.IntN(3) {
	case 0:
		m.others.inUse = int(m.Float64() * float64(m.others.inUse))
	case 1:
		m.others = otherCalls{inUse: m.IntN(60), rate: 10 * m.Float64(), hold: 4 * time.Second}
	}
}

// run sends set-ups at a rate for a while.
func (m *model) run(rate float64, d time.Duration) {
	next := m.now
	for end := m.now + d; m.now < end; m.advance(modelStep) {
		if m.now >= next {
			m.setUp()
			next = m.now + time.Duration(m.ExpFloat64()/rate*float64(time.Second))
		}
	}
}

// TestReplacedOnSharedGroupBySeeds guards against calls that are never released: another process takes their core's address,
// and its group has any number of calls of others.
func TestReplacedOnSharedGroupBySeeds(t *testing.T) {
	for seed := range modelSeeds / 2 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := newSharedModel(seed, (*model).drawGroup)
			m.callersHangUp = true
			rate := 0.2 + 10*m.Float64()*m.Float64()
			m.run(rate, m.randomDuration(2*time.Second, 8*time.Second))
			m.drawNextOthers()
			end := []End{EndClosed, EndReset, EndLocal}[m.IntN(3)]
			replacedAt := m.now
			m.replaceProcess(end)
			m.run(rate, releaseDeadline)
			for call, at := range m.overAt {
				require.False(t, m.standing[call] && at <= replacedAt, "%s is not released, end %v, others %+v of %d", call, end, m.others, m.size)
			}
		})
	}
}

// BenchmarkLiveCallsOnSharedGroup reports the share of live calls that are given up when a core ends or forgets its idle
// connections, by the rate at which calls of others begin.
func BenchmarkLiveCallsOnSharedGroup(b *testing.B) {
	faults := map[string]func(m *model){
		"reset": (*model).resetIdle,
		"forget": func(m *model) {
			for _, c := range m.open {
				c.forgotten = true
			}
		},
	}
	for _, meanHold := range []time.Duration{10 * time.Second, 200 * time.Second} {
		for _, rate := range []float64{0, 0.5, 2, 5, 10} {
			for name, fault := range faults {
				b.Run(fmt.Sprintf("%s/hold=%v/rate=%v", name, meanHold, rate), func(b *testing.B) {
					live, givenUp := 0, 0
					for seed := range uint64(b.N) {
						m := newSharedModel(seed, func(m *model) {
							m.size, m.meanHold = 150, meanHold
							m.others = steadyOthers(20+m.IntN(20), rate)
						})
						setUps := 0.2 + 3*m.Float64()*m.Float64()
						m.run(setUps, m.randomDuration(2*time.Second, 8*time.Second))
						live += len(m.standing)
						fault(m)
						m.run(setUps, 12*time.Second)
						for _, x := range m.expired {
							givenUp += len(x.Calls)
						}
					}
					b.ReportMetric(100*float64(givenUp)/float64(max(1, live)), "%given-up")
				})
			}
		}
	}
}
