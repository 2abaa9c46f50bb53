// Command faultsoak runs fault-injection trials against the border controller as it is deployed: real processes on
// loopback, with faults drawn from seeds. A checker evaluates the records of clients, cores and discovery.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"brookmux/internal/faulttrial"
)

// commands defines the command line.
type commands struct {
	Run    runCommand    `cmd:"" help:"Run the trials of a range of seeds and print the findings."`
	Shrink shrinkCommand `cmd:"" help:"Remove faults from a seed's trial one by one, as long as the same rule is still broken."`
	Plan   planCommand   `cmd:"" help:"Print the plan of a seed."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := kong.Parse(&commands{}, kong.Name("faultsoak"), kong.Description("Fault-injection trials against brookmux on loopback."),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)), kong.BindTo(ctx, (*context.Context)(nil)))
	c.FatalIfErrorf(c.Run())
}

type runCommand struct {
	Program  string   `help:"Path of the controller's program." default:"bin/brookmux" type:"existingfile"`
	Seeds    string   `help:"Seeds, as in 1..50 or 7." default:"1..10"`
	Only     []string `help:"Draw these kinds of faults only."`
	Parallel int      `help:"Number of concurrent trials." default:"4"`
	Out      string   `help:"Folder for the records of trials with findings." default:"found" type:"path"`
	Table    string   `help:"File for the summary, as Markdown." type:"path"`
}

// parseSeeds parses a seed or a range A..B, both ends included.
func parseSeeds(text string) (from, to uint64, err error) {
	first, last, isRange := strings.Cut(text, "..")
	if !isRange {
		last = first
	}
	if from, err = strconv.ParseUint(first, 10, 64); err == nil {
		to, err = strconv.ParseUint(last, 10, 64)
	}
	if err != nil || to < from {
		return 0, 0, fmt.Errorf("seeds %q: expected A..B or a number", text)
	}
	return from, to, nil
}

// parseKinds checks the names of fault kinds and converts them.
func parseKinds(names []string) ([]faulttrial.FaultKind, error) {
	var out []faulttrial.FaultKind
	for _, name := range names {
		found := false
		for _, k := range faulttrial.FaultKinds {
			found = found || string(k) == name
		}
		if !found {
			return nil, fmt.Errorf("unknown fault %q, expected one of %v", name, faulttrial.FaultKinds)
		}
		out = append(out, faulttrial.FaultKind(name))
	}
	return out, nil
}

// Run runs the trials of all seeds, Parallel at a time, and prints their reports and the summary. It returns an error
// if there are findings or failed trials.
func (c runCommand) Run(ctx context.Context, out io.Writer) error {
	from, to, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	only, err := parseKinds(c.Only)
	if err != nil {
		return err
	}
	var summary faulttrial.Summary
	var mu sync.Mutex
	var trials sync.WaitGroup
	slots := make(chan struct{}, max(1, c.Parallel))
	startTime := time.Now()
	for seed := from; seed <= to && ctx.Err() == nil; seed++ {
		slots <- struct{}{}
		trials.Go(func() {
			defer func() { <-slots }()
			t, err := faulttrial.Run(faulttrial.NewPlan(seed, only), c.Program, filepath.Join(c.Out, fmt.Sprint("seed-", seed)), ctx.Done())
			mu.Lock()
			defer mu.Unlock()
			summary.Add(t, err)
			report(out, t, err)
			done := summary.Trials
			remaining := time.Since(startTime) / time.Duration(done) * time.Duration(int(to-from)+1-done)
			fmt.Fprintf(out, "%d of %d, about %v remaining\n", done, to-from+1, remaining.Round(time.Second))
		})
	}
	trials.Wait()
	table := summary.Markdown()
	fmt.Fprint(out, "\n", table)
	if c.Table != "" {
		if err := os.WriteFile(c.Table, []byte(table), 0o600); err != nil {
			return err
		}
	}
	if n := summary.Problems(); n > 0 {
		return fmt.Errorf("%d findings or failed trials", n)
	}
	return ctx.Err()
}

// report prints a trial's result with its first five findings. It saves the records of a trial with findings or an
// error and removes the folder of any other.
func report(out io.Writer, t faulttrial.Trial, err error) {
	fmt.Fprintf(out, "seed %d: %d calls, %d stood, %d findings, timers %v late\n", t.Plan.Seed, t.Verdict.Calls, t.Verdict.Stood,
		len(t.Verdict.Findings), t.Lag.Round(time.Millisecond))
	if err != nil {
		fmt.Fprintf(out, "  trial failed: %v\n", err)
	}
	for i, f := range t.Verdict.Findings {
		if i == 5 {
			fmt.Fprintf(out, "  and %d more\n", len(t.Verdict.Findings)-i)
			break
		}
		fmt.Fprintf(out, "  %v\n", f)
	}
	if err == nil && len(t.Verdict.Findings) == 0 {
		_ = os.RemoveAll(t.Dir) // a leftover folder does no harm
		return
	}
	if err := t.Save(); err != nil {
		fmt.Fprintf(out, "  records not saved: %v\n", err)
	}
}

type shrinkCommand struct {
	Program string   `help:"Path of the controller's program." default:"bin/brookmux" type:"existingfile"`
	Seed    uint64   `arg:"" help:"Seed of the trial."`
	Only    []string `help:"Kinds of faults that the trial was drawn from."`
	Out     string   `help:"Folder for the records of trials." default:"found/shrink" type:"path"`
}

// Run removes one fault after another from the plan, keeps each removal after which the first finding's rule is still
// broken, and prints the remaining steps.
func (c shrinkCommand) Run(ctx context.Context, out io.Writer) error {
	only, err := parseKinds(c.Only)
	if err != nil {
		return err
	}
	plan := faulttrial.NewPlan(c.Seed, only)
	t, err := faulttrial.Run(plan, c.Program, c.Out, ctx.Done())
	if err != nil {
		return err
	}
	if len(t.Verdict.Findings) == 0 {
		return fmt.Errorf("seed %d has no finding", c.Seed)
	}
	rule := t.Verdict.Findings[0].Rule
	for i := 0; i < len(plan.Steps) && ctx.Err() == nil; {
		reduced := plan
		reduced.Steps = append(append([]faulttrial.Step(nil), plan.Steps[:i]...), plan.Steps[i+1:]...)
		t, err := faulttrial.Run(reduced, c.Program, c.Out, ctx.Done())
		if err != nil || !t.Verdict.Has(rule) {
			i++
			continue
		}
		fmt.Fprintf(out, "without %v: still %s\n", plan.Steps[i], rule)
		plan = reduced
	}
	for _, s := range plan.Steps {
		fmt.Fprintln(out, s)
	}
	return ctx.Err()
}

type planCommand struct {
	Seed uint64   `arg:"" help:"Seed of the plan."`
	Only []string `help:"Draw these kinds of faults only."`
}

// Run prints the plan of a seed.
func (c planCommand) Run(out io.Writer) error {
	only, err := parseKinds(c.Only)
	if err != nil {
		return err
	}
	p := faulttrial.NewPlan(c.Seed, only)
	fmt.Fprintf(out, "%d controllers, %d cores with %d circuits, %v of load\nsettings %v\ncore %+v\ncallers %+v\n", p.Controllers, p.Cores, p.Circuits, p.Length,
		p.Settings, p.Core, p.Callers)
	for _, s := range p.Steps {
		fmt.Fprintln(out, s)
	}
	return nil
}
