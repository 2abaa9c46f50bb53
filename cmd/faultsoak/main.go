// Command faultsoak plays fault-injection trials against the border controller as it is deployed: real processes on
// loopback, faults drawn from seeds, and a checker that judges from the records of clients, cores and discovery.
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

// commands is the command line.
type commands struct {
	Run    runCommand    `cmd:"" help:"Play the trials of a range of seeds and print what was found."`
	Shrink shrinkCommand `cmd:"" help:"Drop the faults of a seed's trial one by one while the finding stays."`
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
	Program  string   `help:"The program." default:"bin/brookmux" type:"existingfile"`
	Seeds    string   `help:"Seeds, as in 1..50 or 7." default:"1..10"`
	Only     []string `help:"Draw these kinds of faults only."`
	Parallel int      `help:"Trials at a time." default:"4"`
	Out      string   `help:"Folder for the records of trials with findings." default:"found" type:"path"`
	Table    string   `help:"File for the table, as Markdown." type:"path"`
}

// seeds reads a range of seeds.
func seeds(text string) (from, to uint64, err error) {
	first, last, ranged := strings.Cut(text, "..")
	if !ranged {
		last = first
	}
	if from, err = strconv.ParseUint(first, 10, 64); err == nil {
		to, err = strconv.ParseUint(last, 10, 64)
	}
	if err != nil || to < from {
		return 0, 0, fmt.Errorf("seeds %q: A..B or a number is needed", text)
	}
	return from, to, nil
}

// kinds reads the names of kinds of faults.
func kinds(names []string) ([]faulttrial.FaultKind, error) {
	var out []faulttrial.FaultKind
	for _, name := range names {
		found := false
		for _, k := range faulttrial.FaultKinds {
			found = found || string(k) == name
		}
		if !found {
			return nil, fmt.Errorf("fault %q is not known: %v", name, faulttrial.FaultKinds)
		}
		out = append(out, faulttrial.FaultKind(name))
	}
	return out, nil
}

// Run plays trials side by side.
func (c runCommand) Run(ctx context.Context, out io.Writer) error {
	from, to, err := seeds(c.Seeds)
	if err != nil {
		return err
	}
	only, err := kinds(c.Only)
	if err != nil {
		return err
	}
	var summary faulttrial.Summary
	var mu sync.Mutex
	var all sync.WaitGroup
	slots := make(chan struct{}, max(1, c.Parallel))
	began := time.Now()
	for seed := from; seed <= to && ctx.Err() == nil; seed++ {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			t, err := faulttrial.Run(faulttrial.NewPlan(seed, only), c.Program, filepath.Join(c.Out, fmt.Sprint("seed-", seed)), ctx.Done())
			mu.Lock()
			defer mu.Unlock()
			summary.Add(t, err)
			report(out, t, err)
			done := summary.Trials
			left := time.Since(began) / time.Duration(done) * time.Duration(int(to-from)+1-done)
			fmt.Fprintf(out, "%d of %d, about %v left\n", done, to-from+1, left.Round(time.Second))
		})
	}
	all.Wait()
	table := summary.Markdown()
	fmt.Fprint(out, "\n", table)
	if c.Table != "" {
		if err := os.WriteFile(c.Table, []byte(table), 0o600); err != nil {
			return err
		}
	}
	if n := summary.Found(); n > 0 {
		return fmt.Errorf("%d findings", n)
	}
	return ctx.Err()
}

// report prints a trial's findings, and keeps its records where there are any.
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
		_ = os.RemoveAll(t.Dir) // what is left is only more than needed
		return
	}
	if err := t.Save(); err != nil {
		fmt.Fprintf(out, "  records not kept: %v\n", err)
	}
}

type shrinkCommand struct {
	Program string   `help:"The program." default:"bin/brookmux" type:"existingfile"`
	Seed    uint64   `arg:"" help:"Whose trial."`
	Only    []string `help:"The kinds of faults that were drawn."`
	Out     string   `help:"Folder for records." default:"found/shrink" type:"path"`
}

// Run drops faults while a finding of the same rule stays.
func (c shrinkCommand) Run(ctx context.Context, out io.Writer) error {
	only, err := kinds(c.Only)
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
		fewer := plan
		fewer.Steps = append(append([]faulttrial.Step(nil), plan.Steps[:i]...), plan.Steps[i+1:]...)
		t, err := faulttrial.Run(fewer, c.Program, c.Out, ctx.Done())
		if err != nil || !t.Verdict.Has(rule) {
			i++
			continue
		}
		fmt.Fprintf(out, "without %v: still %s\n", plan.Steps[i], rule)
		plan = fewer
	}
	for _, s := range plan.Steps {
		fmt.Fprintln(out, s)
	}
	return ctx.Err()
}

type planCommand struct {
	Seed uint64   `arg:"" help:"Whose plan."`
	Only []string `help:"Draw these kinds of faults only."`
}

// Run prints a plan.
func (c planCommand) Run(out io.Writer) error {
	only, err := kinds(c.Only)
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
