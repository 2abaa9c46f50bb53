// Command stormlab simulates storms of retries and reconnects against the controllers in virtual time and writes the
// results as tables and charts.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"brookmux/internal/standin"
	"brookmux/internal/stormlab"
)

// commands defines the commands and flags of the command line.
type commands struct {
	List listCommand `cmd:"" help:"List the scenarios and variants."`
	Run  runCommand  `cmd:"" help:"Run scenarios in virtual time, over seeds and variants."`
	Real realCommand `cmd:"" help:"Run the one-core experiment on real sockets against the program, with SIGKILL and a restart."`
	Show showCommand `cmd:"" help:"Run one scenario once and print its state changes and the share served in each second."`
}

func main() {
	c := kong.Parse(&commands{}, kong.Name("stormlab"), kong.Description("Storms against brookmux, in virtual time."),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	c.FatalIfErrorf(c.Run())
}

// listCommand lists the scenarios and variants.
type listCommand struct{}

// Run prints the scenarios with their descriptions, and the variants.
func (listCommand) Run(out io.Writer) error {
	for _, s := range stormlab.Scenarios() {
		fmt.Fprintf(out, "%-16s %s\n", s.Name, s.Description)
	}
	fmt.Fprintf(out, "variants: %v\n", stormlab.Variants)
	return nil
}

// runCommand runs scenarios over variants and seeds.
type runCommand struct {
	Scenarios []string `arg:"" optional:"" help:"Names of the scenarios; all by default."`
	Variant   []string `help:"Names of the variants." default:"off,on"`
	Seeds     int      `help:"Number of seeds." default:"10"`
	Parallel  int      `help:"Number of parallel runs; 0 for the number of CPUs."`
	Out       string   `help:"Existing folder for tables and charts; the table is printed as well." type:"path"`
	Name      string   `help:"Prefix of the file names." default:"storms"`
}

// Run runs the scenarios, prints the table and, with --out, writes the files. A broken rule is an error after the table is
// printed, and no files are written then.
func (c runCommand) Run(out io.Writer) error {
	if c.Seeds < 1 {
		return fmt.Errorf("--seeds is %d, must be at least 1", c.Seeds)
	}
	scenarios := stormlab.Scenarios()
	if len(c.Scenarios) > 0 {
		scenarios = nil
		for _, name := range c.Scenarios {
			s, err := stormlab.FindScenario(name)
			if err != nil {
				return err
			}
			scenarios = append(scenarios, s)
		}
	}
	for _, v := range c.Variant {
		if !slices.Contains(stormlab.Variants, v) {
			return fmt.Errorf("unknown variant %q; known variants: %v", v, stormlab.Variants)
		}
	}
	if c.Parallel <= 0 {
		c.Parallel = runtime.NumCPU()
	}
	startedAt := time.Now()
	results, err := stormlab.Sweep(scenarios, c.Variant, c.Seeds, c.Parallel, func(finished, total int) {
		remaining := time.Since(startedAt) / time.Duration(finished) * time.Duration(total-finished)
		fmt.Fprintf(os.Stderr, "\r%d of %d, %v left  ", finished, total, remaining.Round(time.Second))
	})
	fmt.Fprintln(os.Stderr)
	if err != nil {
		return err
	}
	rows := stormlab.Summarize(results)
	if err := stormlab.WriteMarkdown(out, rows); err != nil {
		return err
	}
	for _, r := range results {
		if len(r.Violations) > 0 {
			return fmt.Errorf("%s, %s, seed %d: rule broken: %s", r.Scenario, r.Variant, r.Seed, r.Violations[0])
		}
	}
	if c.Out == "" {
		return nil
	}
	return c.writeFiles(rows)
}

// writeFiles writes the tables and a chart for each scenario.
func (c runCommand) writeFiles(rows []stormlab.Row) error {
	prefix := filepath.Join(c.Out, c.Name)
	for _, f := range []struct {
		path  string
		write func(io.Writer, []stormlab.Row) error
	}{{prefix + ".md", stormlab.WriteMarkdown}, {prefix + ".csv", stormlab.WriteCSV}} {
		w, err := os.Create(f.path)
		if err != nil {
			return err
		}
		if err := errors.Join(f.write(w, rows), w.Close()); err != nil {
			return fmt.Errorf("%s: %w", f.path, err)
		}
	}
	for len(rows) > 0 {
		n := slices.IndexFunc(rows, func(r stormlab.Row) bool { return r.Scenario != rows[0].Scenario })
		if n < 0 {
			n = len(rows)
		}
		if err := drawChart(prefix+"-"+rows[0].Scenario+".svg", rows[:n]); err != nil {
			return err
		}
		rows = rows[n:]
	}
	return nil
}

// showCommand runs one scenario and prints its course.
type showCommand struct {
	Scenario string `arg:"" help:"Name of the scenario."`
	Variant  string `help:"Name of the variant." default:"on"`
	Seed     uint64 `help:"Seed of the run."`
}

// Run runs the scenario once and prints the state changes and the shares. A broken rule is an error after that.
func (c showCommand) Run(out io.Writer) error {
	s, err := stormlab.FindScenario(c.Scenario)
	if err != nil {
		return err
	}
	r, err := stormlab.Run(s, c.Variant, c.Seed)
	if err != nil {
		return err
	}
	for _, change := range r.Changes {
		fmt.Fprintf(out, "%8.2f s  %s %s: %v to %v, %s (offered %.1f, usual %.1f, redials %.0f%%)\n",
			standin.SinceStart(change.At).Seconds(), change.Scope.Kind, change.Scope.Name, change.From, change.To, change.Cause,
			change.Offered, change.Usual, 100*change.Redials)
	}
	for i, v := range r.ShareBySecond {
		fmt.Fprintf(out, "%3d s  %.2f\n", i, v)
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("rules broken: %v", r.Violations)
	}
	return nil
}
