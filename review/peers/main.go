//go:build review2

// Command peers holds the stand-ins of the second review (review/REPORT-2.md) and plays one case: it starts the
// project's program as the platform does, with stand-in callers, cores, exchanges and discovery on loopback addresses.
// The exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotTried = 2
)

// caseTimeout ends a case that does not end by itself. A script may run for 120 s.
const caseTimeout = 110 * time.Second

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("rule broken")

// cases holds the cases by name.
var cases = map[string]func(*trial) error{
	"peer-returns":     peerReturns,
	"store-survives":   storeSurvives,
	"trial-restart":    trialRestart,
	"trial-reverted":   trialReverted,
	"exchange-returns": exchangeReturns,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name, from the repository's root, and returns the exit code. The second
// argument is the file of the record.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-peers CASE RECORD")
		return exitNotTried
	}
	t, err := newTrial(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotTried
	}
	result := make(chan error, 1)
	go func() { result <- cases[args[0]](t) }()
	select {
	case err = <-result:
	case <-time.After(caseTimeout):
		err = errors.New("the case took too long")
	}
	t.close()
	switch {
	case err == nil:
		t.log("verdict", "held")
		return exitHeld
	case errors.Is(err, errBroken):
		t.log("verdict", "%v", err)
		return exitBroken
	}
	t.log("verdict", "not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitNotTried
}

// newTrial opens the record and a temporary folder.
func newTrial(record string, trouble bool) (*trial, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	t := &trial{file: f, dir: dir, host: newHost(), nextPort: firstPort, trouble: trouble, start: time.Now()}
	t.log("trial", "trouble %v", trouble)
	return t, nil
}

// path returns the path of a file in the temporary folder.
func (t *trial) path(name string) string { return filepath.Join(t.dir, name) }
