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

// Result holds the measurements of one run of a scenario. A share is the part of the offered worth that was served in
// time, within the aim of the call's class. It covers the calls whose first try falls in the span.
type Result struct {
	Scenario, Variant       string
	Seed                    uint64
	ShareBefore             float64       // from 5 s, or half the first step's time if less, until 1 s before it
	Share10To36             float64       // from 10 s to 36 s after RecoveryStart
	Share0To20, Share20To35 float64       // in the first 20 s after RecoveryStart, and in the 15 s after those
	ShareObedient           float64       // Share0To20 of the callers that follow retry advice
	RecoveryTime            time.Duration // from RecoveryStart until the share stays at 90% of ShareBefore; -1 if never
	ShareSIP                float64       // Share0To20 of the SIP callers at exchange 0
	WorthLost               float64       // worth not served in time from the first step until 35 s after RecoveryStart
	TriesPerCall            float64       // callers' tries, for calls of the first 20 s after RecoveryStart
	AttemptsPerCall         float64       // set-ups sent by controllers, over the whole run
	MaxWait                 time.Duration // longest wait that a set-up found at a processor
	Rejected                int           // set-ups rejected by processors
	Crashed                 int           // processors that crashed from overload
	RepeatedWaits           int           // retry waits equal to one of the last hundred of the same controller
	Violations              []string      // broken rules, the first few
	ShareBySecond           []float64     // share for each second of the run
	Changes                 []storm.Change
}

// Spans of the measurements.
const (
	earlySpan       = 20 * time.Second // from RecoveryStart on
	lateSpan        = 15 * time.Second // follows earlySpan
	shareSpan       = 4 * time.Second  // sliding window for RecoveryTime
	maxRecoveryTime = 30 * time.Second // RecoveryTime is never longer
)

// Run runs a scenario once in virtual time. The same scenario, variant and seed give the same result. It returns an
// error if the variant is unknown, the mesh cannot be built or a step fails. Broken rules are not an error but are in
// Violations.
func Run(s Scenario, variant string, seed uint64) (Result, error) {
	result := Result{Scenario: s.Name, Variant: variant, Seed: seed, RecoveryTime: -1}
	config := s.Mesh(seed)
	var err error
	if config.Engine, err = engineConfigurer(variant, &result); err != nil {
		return result, err
	}
	mesh, err := standin.NewMesh(config)
	if err != nil {
		return result, err
	}
	record := standin.NewRecord()
	s.Load(mesh, record)
	for _, step := range s.Script {
		mesh.RunUntil(step.At)
		if err := step.Do(mesh); err != nil {
			return result, err
		}
	}
	mesh.RunUntil(s.End)
	measure(&result, s, mesh, record)
	return result, nil
}

// measure fills the result from the mesh and the record of calls of a run that has ended.
func measure(result *Result, s Scenario, m *standin.Mesh, r *standin.Record) {
	firstStep := s.Script[0].At
	before := m.Span(r, min(5*time.Second, firstStep/2), firstStep-time.Second, nil)
	result.ShareBefore = before.Share()
	early := m.Span(r, s.RecoveryStart, s.RecoveryStart+earlySpan, nil)
	result.Share0To20, result.TriesPerCall = early.Share(), float64(early.Tries)/math.Max(1, float64(early.Offered))
	result.Share20To35 = m.Span(r, s.RecoveryStart+earlySpan, s.RecoveryStart+earlySpan+lateSpan, nil).Share()
	result.Share10To36 = m.Span(r, s.RecoveryStart+earlySpan/2, s.RecoveryStart+earlySpan/2+26*time.Second, nil).Share()
	result.ShareObedient = m.Span(r, s.RecoveryStart, s.RecoveryStart+earlySpan, func(k *standin.Call) bool {
		return !k.Ignores
	}).Share()
	result.ShareSIP = m.Span(r, s.RecoveryStart, s.RecoveryStart+earlySpan, func(k *standin.Call) bool {
		return !k.Peer && k.Exchange == 0
	}).Share()
	for offset := maxRecoveryTime; offset >= 0; offset -= time.Second {
		if m.Span(r, s.RecoveryStart+offset, s.RecoveryStart+offset+shareSpan, nil).Share() < 0.9*result.ShareBefore {
			break
		}
		result.RecoveryTime = offset
	}
	sinceStep := m.Span(r, firstStep, s.RecoveryStart+earlySpan+lateSpan, nil)
	result.WorthLost = sinceStep.Worth - sinceStep.Served
	wholeRun := m.Span(r, 0, s.End, nil)
	result.AttemptsPerCall = float64(m.Ledger.Sent) / math.Max(1, float64(wholeRun.Offered))
	for i := range m.Exchanges {
		p := m.Node(i).Proc
		result.MaxWait, result.Rejected = max(result.MaxWait, p.LongestWait), result.Rejected+p.Rejected
		if p.Crashed {
			result.Crashed++
		}
	}
	result.RepeatedWaits, result.Violations = r.RepeatedWaits(100), m.Ledger.Violations
	for t := time.Duration(0); t < s.End-9*time.Second; t += time.Second {
		result.ShareBySecond = append(result.ShareBySecond, m.Span(r, t, t+time.Second, nil).Share())
	}
}

// Sweep runs each scenario in each variant with the seeds 0 to seeds-1, at most parallel runs at a time. The results
// are ordered by scenario, variant and seed, as given. After each run it calls progress, if not nil, one call at a
// time, with the number of finished runs and the total. If runs fail, it returns no results and the first error in that
// order, after all runs have ended.
func Sweep(scenarios []Scenario, variants []string, seeds, parallel int, progress func(finished, total int)) ([]Result, error) {
	type job struct {
		s       Scenario
		variant string
		seed    uint64
	}
	var jobs []job
	for _, s := range scenarios {
		for _, v := range variants {
			for seed := range uint64(seeds) {
				jobs = append(jobs, job{s, v, seed})
			}
		}
	}
	results, errs := make([]Result, len(jobs)), make([]error, len(jobs))
	var wg sync.WaitGroup
	var mu sync.Mutex
	next, finished := 0, 0
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
				results[i], errs[i] = Run(jobs[i].s, jobs[i].variant, jobs[i].seed)
				mu.Lock()
				finished++
				if progress != nil {
					progress(finished, len(jobs))
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
	return results, nil
}

// Row summarizes the results of all seeds of one scenario and variant. Its fields have the meaning of those of Result;
// RecoveryMedian and RecoveryMax are the RecoveryTime of the median and the worst seed.
type Row struct {
	Scenario, Variant                                                          string
	Seeds                                                                      int
	ShareBefore, Share0To20, Share10To36, Share20To35, ShareObedient, ShareSIP float64       // means
	MinShare0To20                                                              float64       // of the worst seed
	RecoveryMedian, RecoveryMax                                                time.Duration // -1 if never
	WorthLost, TriesPerCall, AttemptsPerCall                                   float64       // means
	MaxWait                                                                    time.Duration // over all seeds
	Rejected, Crashed, RepeatedWaits, Violations                               int           // sums
	ShareBySecond                                                              []float64     // means
}

// Summarize returns a row for each scenario and variant, in the order of the results. Results of the same scenario and
// variant must be adjacent.
func Summarize(results []Result) []Row {
	var rows []Row
	for len(results) > 0 {
		n := slices.IndexFunc(results, func(r Result) bool {
			return r.Scenario != results[0].Scenario || r.Variant != results[0].Variant
		})
		if n < 0 {
			n = len(results)
		}
		rows = append(rows, newRow(results[:n]))
		results = results[n:]
	}
	return rows
}

// recoverySortKey maps a negative time, which means never, to the largest duration, so that it sorts last.
func recoverySortKey(d time.Duration) time.Duration {
	if d < 0 {
		return math.MaxInt64
	}
	return d
}

// newRow summarizes the results of one scenario and variant. There must be at least one.
func newRow(results []Result) Row {
	row := Row{Scenario: results[0].Scenario, Variant: results[0].Variant, Seeds: len(results), MinShare0To20: math.Inf(1),
		ShareBySecond: make([]float64, len(results[0].ShareBySecond))}
	count := float64(len(results))
	for _, r := range results {
		row.ShareBefore += r.ShareBefore / count
		row.Share0To20 += r.Share0To20 / count
		row.Share10To36 += r.Share10To36 / count
		row.Share20To35 += r.Share20To35 / count
		row.ShareObedient += r.ShareObedient / count
		row.ShareSIP += r.ShareSIP / count
		row.WorthLost += r.WorthLost / count
		row.TriesPerCall += r.TriesPerCall / count
		row.AttemptsPerCall += r.AttemptsPerCall / count
		row.MinShare0To20 = min(row.MinShare0To20, r.Share0To20)
		row.MaxWait = max(row.MaxWait, r.MaxWait)
		row.Rejected += r.Rejected
		row.Crashed += r.Crashed
		row.RepeatedWaits += r.RepeatedWaits
		row.Violations += len(r.Violations)
		for i := range r.ShareBySecond {
			row.ShareBySecond[i] += r.ShareBySecond[i] / count
		}
	}
	sorted := slices.SortedFunc(slices.Values(results), func(a, b Result) int {
		return cmp.Compare(recoverySortKey(a.RecoveryTime), recoverySortKey(b.RecoveryTime))
	})
	row.RecoveryMedian, row.RecoveryMax = sorted[len(results)/2].RecoveryTime, sorted[len(results)-1].RecoveryTime
	return row
}
