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

// The one-core experiment on real sockets.
const (
	realCore  = 45.0
	realTurn  = 3 * time.Second
	realKill  = 10 * time.Second
	realStart = 14 * time.Second
	realEnd   = 55 * time.Second
)

type realCommand struct {
	Program string    `help:"The program." default:"bin/brookmux"`
	Rate    []float64 `help:"Calls a second offered to a core that does 45." default:"44,50,60"`
	Ignore  float64   `help:"Share of the callers that ignore advice." default:"0.3"`
	Seed    uint64    `help:"The callers' seed." default:"1"`
	Log     string    `help:"File for the programs' logs." type:"path"`
}

// Run plays all rates, with the subsystem off and on, at the same time; it takes a little over a minute.
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
	lines := make([]string, 2*len(c.Rate))
	errs := make([]error, len(lines))
	var all sync.WaitGroup
	for i := range lines {
		all.Go(func() { lines[i], errs[i] = c.play(c.Rate[i/2], i%2 == 1, log) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	fmt.Fprintln(out, "| offered a second | storm | calls | before | 0 to 36 s | 10 to 36 s | 20 to 36 s | tries a call | waits told | alike in 100 | worst wait s | turned away |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	return nil
}

// play plays one rate and returns its line.
func (c realCommand) play(rate float64, on bool, log io.Writer) (line string, err error) {
	core, err := loopback.NewCore(realCore, realTurn)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, core.Close()) }()
	p, err := loopback.NewProgram(c.Program, core.Addr(), fmt.Sprintf("enabled = %v\n", on), log)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, p.Close()) }()
	if err := p.Start(); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), realEnd)
	defer cancel()
	script := make(chan error, 1)
	go func() {
		time.Sleep(realKill)
		err := p.Kill()
		time.Sleep(realStart - realKill)
		script <- errors.Join(err, p.Start())
	}()
	load := loopback.Load{Rate: rate, Redials: 2, Ignore: c.Ignore, Aim: 1500 * time.Millisecond, Give: 9 * time.Second, Seed: c.Seed}
	calls := load.Call(ctx, p.Addr())
	if err := errors.Join(<-script, p.Kill()); err != nil {
		return "", err
	}
	share := func(from, to time.Duration) float64 {
		all, good := 0, 0
		for _, k := range calls {
			if k.At >= from && k.At < to {
				if all++; k.Stood > 0 && k.Stood <= load.Aim {
					good++
				}
			}
		}
		return float64(good) / float64(max(1, all))
	}
	tries, after, told, alike := 0, 0, 0, 0
	var waits []time.Duration
	for _, k := range calls {
		if k.At >= realStart {
			tries, after = tries+k.Tries, after+1
		}
		waits = append(waits, k.Told...)
	}
	recent := map[time.Duration]int{}
	for i, w := range waits { // in the order in which their callers were done, which is nearly that of the telling
		told++
		if i >= 100 {
			recent[waits[i-100]]--
		}
		if recent[w] > 0 {
			alike++
		}
		recent[w]++
	}
	worst, turned := core.Seen()
	return fmt.Sprintf("| %.0f | %v | %d | %.2f | %.2f | %.2f | %.2f | %.2f | %d | %d | %.2f | %d |", rate, on, len(calls), share(0, realKill),
		share(realStart, realStart+36*time.Second), share(realStart+10*time.Second, realStart+36*time.Second),
		share(realStart+20*time.Second, realStart+36*time.Second), float64(tries)/float64(max(1, after)), told, alike, worst.Seconds(), turned), nil
}
