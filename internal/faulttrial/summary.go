package faulttrial

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Has reports whether the verdict has a finding of a rule.
func (v Verdict) Has(rule Rule) bool {
	return slices.ContainsFunc(v.Findings, func(f Finding) bool { return f.Rule == rule })
}

// Summary holds the totals of a series of trials. The zero value is ready for use.
type Summary struct {
	Trials, Failed int
	Calls          int
	Stood          int
	Refused        int
	Cut            int
	CoreSetups     int
	Lag            time.Duration
	Steps          map[FaultKind]int
	Findings       map[Rule]int
	Seeds          map[Rule][]uint64
	Excused        map[string]int
}

// Add adds a trial to the totals. A trial with an error did not run to its end and counts as failed.
func (s *Summary) Add(t Trial, err error) {
	if s.Steps == nil {
		s.Steps, s.Findings, s.Seeds, s.Excused = map[FaultKind]int{}, map[Rule]int{}, map[Rule][]uint64{}, map[string]int{}
	}
	s.Trials++
	if err != nil {
		s.Failed++
	}
	s.Calls += t.Verdict.Calls
	s.Stood += t.Verdict.Stood
	s.Refused += t.Verdict.Refused
	s.Cut += t.Verdict.Cut
	s.CoreSetups += t.Verdict.CoreSetups
	s.Lag = max(s.Lag, t.Lag)
	for _, step := range t.Plan.Steps {
		s.Steps[step.Kind]++
	}
	for _, f := range t.Verdict.Findings {
		s.Findings[f.Rule]++
		if !slices.Contains(s.Seeds[f.Rule], t.Plan.Seed) {
			s.Seeds[f.Rule] = append(s.Seeds[f.Rule], t.Plan.Seed)
		}
	}
	for reason, n := range t.Verdict.Excused {
		s.Excused[reason] += n
	}
}

// Problems returns the number of findings and failed trials.
func (s *Summary) Problems() int {
	n := s.Failed
	for _, found := range s.Findings {
		n += found
	}
	return n
}

// Markdown returns the summary as Markdown tables.
func (s *Summary) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d trials (%d not run to the end), %d calls, %d stood, %d refused, %d cut by the controller, %d set-ups at cores, timers %v late at most\n\n",
		s.Trials, s.Failed, s.Calls, s.Stood, s.Refused, s.Cut, s.CoreSetups, s.Lag.Round(time.Millisecond))
	b.WriteString("| rule | findings | trials | seeds |\n| --- | --- | --- | --- |\n")
	for _, rule := range Rules {
		seeds := slices.Sorted(slices.Values(s.Seeds[rule]))
		fmt.Fprintf(&b, "| %s | %d | %d | %v |\n", rule, s.Findings[rule], len(seeds), seeds)
	}
	b.WriteString("\n| fault | times |\n| --- | --- |\n")
	for _, kind := range FaultKinds {
		fmt.Fprintf(&b, "| %s | %d |\n", kind, s.Steps[kind])
	}
	b.WriteString("\n| excused because | times |\n| --- | --- |\n")
	for _, reason := range slices.Sorted(maps.Keys(s.Excused)) {
		fmt.Fprintf(&b, "| %s | %d |\n", reason, s.Excused[reason])
	}
	return b.String()
}
