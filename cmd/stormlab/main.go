// Command stormlab plays storms of retries and reconnects against this program's controllers in virtual time, and
// keeps what came of them as tables and charts.
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

// commands is the command line.
type commands struct {
	List listCommand `cmd:"" help:"List the scenarios and variants."`
	Run  runCommand  `cmd:"" help:"Play scenarios in virtual time, over seeds and variants."`
	Real realCommand `cmd:"" help:"Play the one-core experiment on real sockets against the program, with SIGKILL and a restart."`
	Show showCommand `cmd:"" help:"Play one scenario once and print its states and shares second by second."`
}

func main() {
	c := kong.Parse(&commands{}, kong.Name("stormlab"), kong.Description("Storms against brookmux, in virtual time."),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	c.FatalIfErrorf(c.Run())
}

type listCommand struct{}

// Run lists what there is.
func (listCommand) Run(out io.Writer) error {
	for _, s := range stormlab.Scenarios() {
		fmt.Fprintf(out, "%-16s %s\n", s.Name, s.About)
	}
	fmt.Fprintf(out, "variants: %v\n", stormlab.Variants)
	return nil
}

type runCommand struct {
	Scenarios []string `arg:"" optional:"" help:"Scenarios by name; all if none is named."`
	Variant   []string `help:"Variants by name." default:"off,on"`
	Seeds     int      `help:"How many seeds." default:"10"`
	Parallel  int      `help:"Plays at a time; 0 for as many as there are cores."`
	Out       string   `help:"Folder for tables and charts; the table is printed as well." type:"path"`
	Name      string   `help:"Name of the files written there." default:"storms"`
}

// Run plays and writes.
func (c runCommand) Run(out io.Writer) error {
	if c.Seeds < 1 {
		return fmt.Errorf("--seeds is %d, at least 1 is needed", c.Seeds)
	}
	list := stormlab.Scenarios()
	if len(c.Scenarios) > 0 {
		list = nil
		for _, name := range c.Scenarios {
			s, err := stormlab.Find(name)
			if err != nil {
				return err
			}
			list = append(list, s)
		}
	}
	for _, v := range c.Variant {
		if !slices.Contains(stormlab.Variants, v) {
			return fmt.Errorf("no variant %q; there are %v", v, stormlab.Variants)
		}
	}
	if c.Parallel <= 0 {
		c.Parallel = runtime.NumCPU()
	}
	began := time.Now()
	results, err := stormlab.Sweep(list, c.Variant, c.Seeds, c.Parallel, func(n, of int) {
		left := time.Since(began) / time.Duration(n) * time.Duration(of-n)
		fmt.Fprintf(os.Stderr, "\r%d of %d, %v left  ", n, of, left.Round(time.Second))
	})
	fmt.Fprintln(os.Stderr)
	if err != nil {
		return err
	}
	rows := stormlab.Table(results)
	if err := stormlab.WriteMarkdown(out, rows); err != nil {
		return err
	}
	for _, r := range results {
		if len(r.Broken) > 0 {
			return fmt.Errorf("%s, %s, seed %d: rule broken: %s", r.Scenario, r.Variant, r.Seed, r.Broken[0])
		}
	}
	if c.Out == "" {
		return nil
	}
	return c.write(rows)
}

// write keeps the tables and a chart for each scenario.
func (c runCommand) write(rows []stormlab.Row) error {
	base := filepath.Join(c.Out, c.Name)
	for _, f := range []struct {
		path  string
		write func(io.Writer, []stormlab.Row) error
	}{{base + ".md", stormlab.WriteMarkdown}, {base + ".csv", stormlab.WriteCSV}} {
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
		if err := chart(base+"-"+rows[0].Scenario+".svg", rows[:n]); err != nil {
			return err
		}
		rows = rows[n:]
	}
	return nil
}

type showCommand struct {
	Scenario string `arg:"" help:"The scenario."`
	Variant  string `help:"The variant." default:"on"`
	Seed     uint64 `help:"The seed."`
}

// Run plays once and prints.
func (c showCommand) Run(out io.Writer) error {
	s, err := stormlab.Find(c.Scenario)
	if err != nil {
		return err
	}
	r, err := stormlab.Play(s, c.Variant, c.Seed)
	if err != nil {
		return err
	}
	for _, x := range r.Changes {
		fmt.Fprintf(out, "%8.2f s  %s %s: %v to %v, %s (offered %.1f, usual %.1f, redials %.0f%%)\n", standin.OfDay(x.At).Seconds(),
			x.Scope.Kind, x.Scope.Name, x.From, x.To, x.Cause, x.Offered, x.Usual, 100*x.Redials)
	}
	for i, v := range r.Series {
		fmt.Fprintf(out, "%3d s  %.2f\n", i, v)
	}
	if len(r.Broken) > 0 {
		return fmt.Errorf("rules broken: %v", r.Broken)
	}
	return nil
}
