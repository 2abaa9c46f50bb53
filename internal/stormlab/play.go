package stormlab

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"brookmux/internal/standin"
	"brookmux/internal/storm"
)

// Result is what one play of a scenario came to.
type Result struct {
	Scenario, Variant string
	Seed              uint64
	Before            float64       // share of the worth served in time, up to the first step
	From10            float64       // from 10 s after Back on, for 26 s
	First, Then       float64       // in the 20 s from Back on, and in the 15 s after those
	Obedient          float64       // First, of callers who follow advice
	To90              time.Duration // from Back until the share is, and stays, at 90% of Before; -1 if never
	SIP               float64       // First, of SIP callers at exchange 0
	Lost              float64       // worth that was not served in time from the first step on
	Tries             float64       // a call, from Back on
	Attempts          float64       // set-ups that left, a call, over the day
	Worst             time.Duration // longest wait that a set-up met at a processor
	Turned            int           // set-ups that processors turned away
	Fell              int           // processors pushed over
	Alike             int           // waits that were told more than once among any hundred in a row
	Broken            []string      // rules
	Series            []float64     // share by second of the day
	Changes           []storm.Change
}

const (
	spanFirst  = 20 * time.Second
	spanThen   = 15 * time.Second
	spanWindow = 4 * time.Second // that a share is taken over to tell when service is back
	spanWatch  = 30 * time.Second
)

// Play plays a scenario once.
func Play(s Scenario, variant string, seed uint64) (Result, error) {
	out := Result{Scenario: s.Name, Variant: variant, Seed: seed, To90: -1}
	c := s.Mesh(seed)
	var err error
	if c.Engine, err = engine(variant, &out); err != nil {
		return out, err
	}
	m, err := standin.NewMesh(c)
	if err != nil {
		return out, err
	}
	r := standin.NewRecord()
	s.Load(m, r)
	for _, x := range s.Script {
		m.Until(x.At)
		if err := x.Do(m); err != nil {
			return out, err
		}
	}
	m.Until(s.End)
	measure(&out, s, m, r)
	return out, nil
}

// measure reads the figures off a day that is over.
func measure(out *Result, s Scenario, m *standin.Mesh, r *standin.Record) {
	first := s.Script[0].At
	before := m.Span(r, min(5*time.Second, first/2), first-time.Second, nil)
	out.Before = before.Share()
	after := m.Span(r, s.Back, s.Back+spanFirst, nil)
	out.First, out.Tries = after.Share(), float64(after.Tries)/math.Max(1, float64(after.Offered))
	out.Then = m.Span(r, s.Back+spanFirst, s.Back+spanFirst+spanThen, nil).Share()
	out.From10 = m.Span(r, s.Back+spanFirst/2, s.Back+spanFirst/2+26*time.Second, nil).Share()
	out.Obedient = m.Span(r, s.Back, s.Back+spanFirst, func(k *standin.Call) bool { return !k.Ignores }).Share()
	out.SIP = m.Span(r, s.Back, s.Back+spanFirst, func(k *standin.Call) bool { return !k.Peer && k.Exchange == 0 }).Share()
	for d := spanWatch; d >= 0; d -= time.Second {
		if m.Span(r, s.Back+d, s.Back+d+spanWindow, nil).Share() < 0.9*out.Before {
			break
		}
		out.To90 = d
	}
	lost := m.Span(r, first, s.Back+spanFirst+spanThen, nil)
	out.Lost = lost.Worth - lost.Served
	whole := m.Span(r, 0, s.End, nil)
	out.Attempts = float64(m.Ledger.Sent) / math.Max(1, float64(whole.Offered))
	for i := range m.Exchanges {
		p := m.Node(i).Proc
		out.Worst, out.Turned = max(out.Worst, p.Worst), out.Turned+p.Turned
		if p.Fell {
			out.Fell++
		}
	}
	out.Alike, out.Broken = r.Alike(100), m.Ledger.Broken
	for t := time.Duration(0); t < s.End-9*time.Second; t += time.Second {
		out.Series = append(out.Series, m.Span(r, t, t+time.Second, nil).Share())
	}
}

// Sweep plays scenarios in all variants over seeds, so many at a time, and returns the results in order. done
// is told of each that is over.
func Sweep(list []Scenario, variants []string, seeds, parallel int, done func(n, of int)) ([]Result, error) {
	type job struct {
		s       Scenario
		variant string
		seed    uint64
	}
	var jobs []job
	for _, s := range list {
		for _, v := range variants {
			for seed := range uint64(seeds) {
				jobs = append(jobs, job{s, v, seed})
			}
		}
	}
	out, errs := make([]Result, len(jobs)), make([]error, len(jobs))
	var wg sync.WaitGroup
	var mu sync.Mutex
	next, over := 0, 0
	for range max(1, parallel) {
		wg.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= len(jobs) {
					return
				}
				out[i], errs[i] = Play(jobs[i].s, jobs[i].variant, jobs[i].seed)
				mu.Lock()
				over++
				if done != nil {
					done(over, len(jobs))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s, %s, seed %d: %w", jobs[i].s.Name, jobs[i].variant, jobs[i].seed, err)
		}
	}
	return out, nil
}

// Row sums the seeds of one scenario and variant up.
type Row struct {
	Scenario, Variant                          string
	Seeds                                      int
	Before, First, From10, Then, Obedient, SIP float64 // means
	FirstWorst                                 float64
	To90Median, To90Worst                      time.Duration // -1 if never
	Lost, Tries, Attempts                      float64       // means
	Worst                                      time.Duration
	Turned, Fell, Alike, Broken                int
	Series                                     []float64
}

// Table sums results up, a row for each scenario and variant in the order in which they come.
func Table(results []Result) []Row {
	var rows []Row
	for len(results) > 0 {
		n := slices.IndexFunc(results, func(r Result) bool {
			return r.Scenario != results[0].Scenario || r.Variant != results[0].Variant
		})
		if n < 0 {
			n = len(results)
		}
		rows = append(rows, sum(results[:n]))
		results = results[n:]
	}
	return rows
}

// never sorts behind every time.
func never(d time.Duration) time.Duration {
	if d < 0 {
		return math.MaxInt64
	}
	return d
}

func sum(list []Result) Row {
	row := Row{Scenario: list[0].Scenario, Variant: list[0].Variant, Seeds: len(list), FirstWorst: math.Inf(1),
		Series: make([]float64, len(list[0].Series))}
	n := float64(len(list))
	for _, r := range list {
		row.Before += r.Before / n
		row.First += r.First / n
		row.From10 += r.From10 / n
		row.Then += r.Then / n
		row.Obedient += r.Obedient / n
		row.SIP += r.SIP / n
		row.Lost += r.Lost / n
		row.Tries += r.Tries / n
		row.Attempts += r.Attempts / n
		row.FirstWorst = min(row.FirstWorst, r.First)
		row.Worst = max(row.Worst, r.Worst)
		row.Turned += r.Turned
		row.Fell += r.Fell
		row.Alike += r.Alike
		row.Broken += len(r.Broken)
		for i := range r.Series {
			row.Series[i] += r.Series[i] / n
		}
	}
	sorted := slices.SortedFunc(slices.Values(list), func(a, b Result) int { return cmp.Compare(never(a.To90), never(b.To90)) })
	row.To90Median, row.To90Worst = sorted[len(list)/2].To90, sorted[len(list)-1].To90
	return row
}
