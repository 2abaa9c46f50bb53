//go:build review2

package main

import (
	"errors"
	"fmt"
	"os/exec"
	"strings"
	"time"
)

// replicas is the number of members of the replicated store.
const replicas = 3

// electionTime is ample time for the members of the store to elect a leader and to catch up.
const electionTime = 20 * time.Second

// configuredValue returns the value of a leaf under /border-control/config at a controller, or "" if it can't be read.
func (t *trial) configuredValue(address, leaf string) string {
	out, err := exec.Command("bin/brookmux", "config", "get", "--via", "gnmi", "--address", address, "/border-control/config").CombinedOutput()
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(out)) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " = "); ok && strings.HasSuffix(name, "/"+leaf) {
			return value
		}
	}
	return ""
}

// replicaName returns the name of a controller of a deployment.
func replicaName(deployment, i int) string { return fmt.Sprintf("d%d-n%d", deployment, i) }

// replica is one controller with a member of the replicated store.
type replica struct {
	*site
	name string
	gnmi string
}

// startReplicas starts the controllers of a deployment with a store of three members, which is in memory as in the deploy
// file.
func startReplicas(t *trial, deployment int) ([]*replica, error) {
	list := make([]*replica, replicas)
	binds := make([]string, replicas)
	members := ""
	for i := range list {
		var err error
		if binds[i], err = t.freeAddress(); err != nil {
			return nil, err
		}
		members += fmt.Sprintf("[[member]]\nid = %q\naddress = %q\n", replicaName(deployment, i), binds[i])
	}
	for i := range list {
		s, err := newSite(t, time.Second)
		if err != nil {
			return nil, err
		}
		r := &replica{site: s, name: replicaName(deployment, i)}
		if r.gnmi, err = t.freeAddress(); err != nil {
			return nil, err
		}
		store, err := t.writeFile(r.name+"-store.toml", fmt.Sprintf("bind = %q\ngnmi = %q\n%s", binds[i], r.gnmi, members))
		if err != nil {
			return nil, err
		}
		config, err := t.writeConfig(r.name, s.listen, s.discovery)
		if err != nil {
			return nil, err
		}
		s.env = []string{"GW_NAME=" + r.name, "GW_LISTEN=" + s.listen, "GW_CONFIG=" + config, "BROOKMUX_STORE=" + store}
		if s.program, err = t.startController(r.name, s.env...); err != nil {
			return nil, err
		}
		list[i] = r
	}
	for _, r := range list {
		if err := r.program.awaitReady(r.listen); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// set sets a leaf at a replica, again until a leader has taken it.
func (r *replica) set(leaf, value string) error {
	var err error
	if !await(electionTime, func() bool {
		err = r.configure(r.gnmi, "/border-control/config/"+leaf+"="+value)
		return err == nil
	}) {
		return fmt.Errorf("%s can't be set: %w", leaf, err)
	}
	return nil
}

// storeSurvives: two of three controllers with a replicated store are killed at once and come back. What was
// acknowledged before must be in force at all of them. This is done in several new deployments at a time, again and again.
func storeSurvives(t *trial) error {
	for round := range maxRounds {
		if time.Since(t.start) > lastRoundStart {
			break
		}
		results := make(chan error, parallelDeployments)
		for i := range parallelDeployments {
			go func() { results <- storeSurvivesOnce(t, round*parallelDeployments+i) }()
		}
		var errs []error
		for range parallelDeployments {
			errs = append(errs, <-results)
		}
		if err := errors.Join(errs...); err != nil {
			return err
		}
	}
	return nil
}

// storeSurvivesOnce plays one deployment. number identifies it, and selects the survivor.
func storeSurvivesOnce(t *trial, number int) error {
	list, err := startReplicas(t, number)
	if err != nil {
		return err
	}
	value := fmt.Sprint(700 + number)
	survivor := list[number%replicas]
	if err := survivor.set(storeLeaf, value); err != nil {
		return err
	}
	if !t.agreed(list, value, electionTime) {
		return errors.New("the replicas do not agree before the kill")
	}
	t.log("check", "deployment %d: %s acknowledged, and in force at all", number, value)
	if t.trouble {
		if err := t.killOthers(list, survivor); err != nil {
			return err
		}
	}
	if t.agreed(list, value, recoveryTime) {
		t.log("check", "deployment %d: %s still in force at all", number, value)
		for _, r := range list {
			r.program.kill()
		}
		return nil
	}
	lost := 0
	for _, r := range list {
		got := t.configuredValue(r.gnmi, storeLeaf)
		t.log("check", "deployment %d: %s has %s = %q", number, r.name, storeLeaf, got)
		if got != value {
			lost++
		}
	}
	return t.broken("an acknowledged change is not in force at %d of the %d controllers of deployment %d, %v after their return",
		lost, replicas, number, recoveryTime)
}

const (
	parallelDeployments = 3
	maxRounds           = 20
	lastRoundStart      = 75 * time.Second // since the start of the trial
	recoveryTime        = 12 * time.Second // ample time for the members to elect a leader again, and to catch up
	storeLeaf           = "max-open-calls"
)

// killOthers kills all controllers but one at once, and starts them again after downTime.
func (t *trial) killOthers(list []*replica, survivor *replica) (err error) {
	for _, r := range list {
		if r != survivor {
			r.program.kill()
		}
	}
	time.Sleep(downTime)
	for _, r := range list {
		if r == survivor {
			continue
		}
		if r.program, err = t.startController(r.name, r.env...); err != nil {
			return err
		}
	}
	for _, r := range list {
		if err := r.program.awaitReady(r.listen); err != nil {
			return err
		}
	}
	return nil
}

// agreed reports whether the value is in force at all replicas within a time.
func (t *trial) agreed(list []*replica, value string, limit time.Duration) bool {
	for _, r := range list {
		if !await(limit, func() bool { return t.configuredValue(r.gnmi, storeLeaf) == value }) {
			return false
		}
	}
	return true
}
