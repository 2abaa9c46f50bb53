package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"brookmux/internal/standin/loopback"
)

// Settings of the one-core experiment on real sockets. Times are from the start of a run.
const (
	realCoreCapacity = 45.0            // set-ups per second
	realMaxWait      = 3 * time.Second // the core rejects set-ups that would wait longer
	realKillAt       = 10 * time.Second
	realRestartAt    = 14 * time.Second
	realCallsUntil   = 55 * time.Second // no new calls after this
)

// realCommand runs the one-core experiment on real sockets.
type realCommand struct {
	Program string    `help:"Path of the program." default:"bin/brookmux"`
	Rate    []float64 `help:"Rates in calls per second, offered to a core with a capacity of 45." default:"44,50,60"`
	Ignore  float64   `help:"Share of the callers that ignore retry advice." default:"0.3"`
	Seed    uint64    `help:"Seed of the callers." default:"1"`
	Log     string    `help:"File for the logs of the programs." type:"path"`
}

// Run runs all rates, each with storm control off and on, in parallel, and prints a table. It takes a little over a
// minute.
func (c realCommand) Run(out io.Writer) error {
	log := io.Discard
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer f.Close()
		log = f
	}
	rows := make([]string, 2*len(c.Rate))
	errs := make([]error, len(rows))
	var wg sync.WaitGroup
	for i := range rows {
		wg.Go(func() { rows[i], errs[i] = c.runRate(c.Rate[i/2], i%2 == 1, log) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	fmt.Fprintln(out, "| offered a second | storm | calls | before | 0 to 36 s | 10 to 36 s | 20 to 36 s | tries a call | waits told | alike in 100 | worst wait s | turned away |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, row := range rows {
		fmt.Fprintln(out, row)
	}
	return nil
}

// runRate runs the experiment at one rate, with storm control on or off, and returns the row of the table.
func (c realCommand) runRate(rate float64, stormEnabled bool, log io.Writer) (row string, err error) {
	core, err := loopback.NewCore(realCoreCapacity, realMaxWait)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, core.Close()) }()
	program, err := loopback.NewProgram(c.Program, core.Addr(), fmt.Sprintf("enabled = %v\n", stormEnabled), log)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, program.Close()) }()
	if err := program.Start(); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), realCallsUntil)
	defer cancel()
	script := make(chan error, 1)
	go func() {
		time.Sleep(realKillAt)
		err := program.Kill()
		time.Sleep(realRestartAt - realKillAt)
		script <- errors.Join(err, program.Start())
	}()
	load := loopback.Load{Rate: rate, MaxRedials: 2, IgnoreAdvice: c.Ignore, Aim: 1500 * time.Millisecond, Deadline: 9 * time.Second, Seed: c.Seed}
	calls := load.Call(ctx, program.Addr())
	if err := errors.Join(<-script, program.Kill()); err != nil {
		return "", err
	}
	share := func(from, to time.Duration) float64 {
		total, inTime := 0, 0
		for _, call := range calls {
			if call.FirstTryAt >= from && call.FirstTryAt < to {
				if total++; call.TimeToAnswer > 0 && call.TimeToAnswer <= load.Aim {
					inTime++
				}
			}
		}
		return float64(inTime) / float64(max(1, total))
	}
	tries, callsAfterRestart, numWaits, repeatedWaits := 0, 0, 0, 0
	var waits []time.Duration
	for _, call := range calls {
		if call.FirstTryAt >= realRestartAt {
			tries, callsAfterRestart = tries+call.Tries, callsAfterRestart+1
		}
		waits = append(waits, call.AdvisedWaits...)
	}
	recent := map[time.Duration]int{}
	// The waits are in the order in which the calls ended, which is close to the order in which they were sent.
	for i, w := range waits {
		numWaits++
		if i >= 100 {
			recent[waits[i-100]]--
		}
		if recent[w] > 0 {
			repeatedWaits++
		}
		recent[w]++
	}
	maxWait, rejected := core.Seen()
	return fmt.Sprintf("| %.0f | %v | %d | %.2f | %.2f | %.2f | %.2f | %.2f | %d | %d | %.2f | %d |", rate, stormEnabled, len(calls), share(0, realKillAt),
		share(realRestartAt, realRestartAt+36*time.Second), share(realRestartAt+10*time.Second, realRestartAt+36*time.Second),
		share(realRestartAt+20*time.Second, realRestartAt+36*time.Second), float64(tries)/float64(max(1, callsAfterRestart)), numWaits, repeatedWaits, maxWait.Seconds(), rejected), nil
}
