//go:build review2

package main

import (
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"time"
)

const (
	controllerName = "n0"
	longHold       = 60 * time.Second // of calls that stand for the whole case
	callDeadline   = 9 * time.Second  // as the settings give it for result-page
	answerGrace    = 20 * time.Millisecond
	// downTime is how long a controller that has died stays away: 2.8 to 7.8 s.
	downTime = 2800 * time.Millisecond
	// releaseLimit is how long after its end a call has to be released if no release could be sent before.
	releaseLimit = 8 * time.Second
)

// m3uaServerFile has the controller listen for one peer, which calls exchange 1.
const m3uaServerFile = `enabled = true
listen = %q
point_code = 100
routing_context = 1
[[class]]
category = 10
name = "result-page"
[[exchange]]
number = 1
point_code = 101
[[peer]]
asp = 1
point_code = 200
`

// site is one controller of a small deployment, with discovery and the cores of the other exchanges.
type site struct {
	*trial
	listen    string // of the controller, for SIP
	discovery *discovery
	core      *core
	config    string   // path of the platform's file
	env       []string // of the controller
	program   *process
}

// otherExchanges are those of the deployment that a case has no calls for. With the controller's own and that of the case
// they make five at least.
var otherExchanges = []int{3, 4, 6}

// newSite starts discovery, the core of exchange 1 and those of the other exchanges. boot starts the controller.
func newSite(t *trial, hold time.Duration) (*site, error) {
	s := &site{trial: t}
	var err error
	if s.core, err = newCore(t, "core 1", hold); err != nil {
		return nil, err
	}
	members := []member{{id: "s-00000001", address: s.core.address(), number: 1}}
	for _, n := range otherExchanges {
		c, err := newCore(t, fmt.Sprintf("core %d", n), hold)
		if err != nil {
			return nil, err
		}
		members = append(members, member{id: fmt.Sprintf("s-%08x", n), address: c.address(), number: n})
	}
	if s.discovery, err = newDiscovery(t, members); err != nil {
		return nil, err
	}
	if s.listen, err = t.freeAddress(); err != nil {
		return nil, err
	}
	if s.config, err = t.writeConfig(controllerName, s.listen, s.discovery); err != nil {
		return nil, err
	}
	s.env = []string{"GW_NAME=" + controllerName, "GW_LISTEN=" + s.listen, "GW_CONFIG=" + s.config, "BROOKMUX_LOG_LEVEL=info"}
	return s, nil
}

// boot starts the controller and returns once its tests pass.
func (s *site) boot() (err error) {
	if s.program, err = s.startController(controllerName, s.env...); err != nil {
		return err
	}
	return s.program.awaitReady(s.listen)
}

// returnAfterDeath kills the controller and starts it again after downTime, with the events up to then.
func (s *site) returnAfterDeath() error {
	s.program.kill()
	time.Sleep(downTime)
	if _, err := s.writeConfig(controllerName, s.listen, s.discovery); err != nil {
		return err
	}
	return s.boot()
}

// startM3UASite starts a controller that listens for an M3UA peer, and the peer.
func startM3UASite(t *trial, hold time.Duration) (*site, *peerASP, error) {
	s, err := newSite(t, hold)
	if err != nil {
		return nil, nil, err
	}
	address, err := t.freeAddress()
	if err != nil {
		return nil, nil, err
	}
	path, err := t.writeFile("m3ua.toml", fmt.Sprintf(m3uaServerFile, address))
	if err != nil {
		return nil, nil, err
	}
	s.env = append(s.env, "BROOKMUX_M3UA="+path)
	if err := s.boot(); err != nil {
		return nil, nil, err
	}
	p := newPeer(t, address, 101)
	return s, p, p.connect()
}

// peerReturns: an M3UA peer dies while its calls stand, comes back with nothing and calls again. Each of its calls has
// to get a final answer in time.
func peerReturns(t *trial) error {
	const callsBefore, callsAfter = 3, 3
	_, p, err := startM3UASite(t, longHold)
	if err != nil {
		return err
	}
	var first []*peerCall
	for i := range callsBefore {
		first = append(first, p.call(fmt.Sprintf("call %d", i+1), callDeadline))
	}
	for _, c := range first {
		if !await(callDeadline, func() bool { return p.state(c).answer == "ANM" }) {
			return errors.New("the first calls of the peer do not stand")
		}
	}
	if t.trouble {
		p.die()
	}
	time.Sleep(downTime)
	if t.trouble {
		if err := p.connect(); err != nil {
			return err
		}
	}
	var later []*peerCall
	for i := range callsAfter {
		later = append(later, p.call(fmt.Sprintf("call %d", callsBefore+i+1), callDeadline))
	}
	time.Sleep(callDeadline + answerGrace + timeSlack)
	unanswered := 0
	for _, c := range later {
		state := p.state(c)
		limit := callDeadline + answerGrace + timeSlack
		if state.answer == "" || state.answered.Sub(state.sentAt) > limit {
			t.log("check", "%s on circuit %d has no final answer after %v", c.text, c.cic, limit)
			unanswered++
			continue
		}
		t.log("check", "%s on circuit %d got %s", c.text, c.cic, state.answer)
	}
	if unanswered > 0 {
		return t.broken("%d of %d calls of a peer that has come back got no final answer", unanswered, callsAfter)
	}
	return nil
}

// exchangeReturns: an exchange that is reached over M3UA dies, and its calls are cut; it comes back. The calls have to be
// released towards their callers.
func exchangeReturns(t *trial) error {
	const calls = 3
	x, err := newExchange(t)
	if err != nil {
		return err
	}
	s, err := newSite(t, longHold)
	if err != nil {
		return err
	}
	path, err := t.writeFile("m3ua.toml", fmt.Sprintf(m3uaClientFile, x.address))
	if err != nil {
		return err
	}
	s.env = append(s.env, "BROOKMUX_M3UA="+path)
	if err := s.boot(); err != nil {
		return err
	}
	from, err := dialCaller(t, s.listen)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // until the association is active
	ids := make([]string, calls)
	for i := range ids {
		if ids[i], err = from.callThatStands(5); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if !t.trouble {
		time.Sleep(downTime + releaseLimit + timeSlack)
		return nil
	}
	ended := x.die()
	time.Sleep(downTime)
	if err := x.comeBack(); err != nil {
		return err
	}
	limit := releaseLimit + timeSlack
	time.Sleep(time.Until(ended.Add(limit)))
	standing := 0
	for _, id := range ids {
		if at, ok := from.releasedAt(id); ok {
			t.log("check", "%s released %v after its end", id, at.Sub(ended))
			continue
		}
		t.log("check", "%s not released %v after its end", id, limit)
		standing++
	}
	if standing > 0 {
		return t.broken("%d of %d calls that were cut are not released towards their callers within %v", standing, calls, limit)
	}
	return nil
}

// m3uaClientFile has the controller connect to exchange 5.
const m3uaClientFile = `enabled = true
point_code = 100
routing_context = 1
[timers]
beat_ms = 1000
gone_ms = 5000
[[class]]
category = 10
name = "result-page"
[[link]]
id = 905
number = 5
zone = 1
address = %q
point_code = 105
asp = 9
circuits = 30
`

// netconfFile switches the transactional configuration on, with its journal.
const netconfFile = `enabled = true
journal = %q
`

// storeFile has gNMI served on loopback.
const storeFile = `gnmi = %q
`

// manage adds the operators' files to a site: the journal, and gNMI at the address that is returned.
func (s *site) manage() (address string, err error) {
	if address, err = s.freeAddress(); err != nil {
		return "", err
	}
	netconf, err := s.writeFile("netconf.toml", fmt.Sprintf(netconfFile, filepath.Join(s.dir, "journal")))
	if err != nil {
		return "", err
	}
	store, err := s.writeFile("store.toml", fmt.Sprintf(storeFile, address))
	if err != nil {
		return "", err
	}
	s.env = append(s.env, "BROOKMUX_NETCONF="+netconf, "BROOKMUX_STORE="+store)
	return address, nil
}

// configure sets leaves of running, as one transaction.
func (t *trial) configure(address string, changes ...string) error {
	args := append([]string{"config", "set", "--via", "gnmi", "--address", address}, changes...)
	out, err := exec.Command("bin/brookmux", args...).CombinedOutput()
	t.log("operator", "brookmux %v: %v %s", args, err, out)
	return err
}

// trialReverted: an exchange is added on trial, a call stands there, and the controller is killed before the trial is
// confirmed. When the call ends, it has to be released towards its caller.
func trialReverted(t *trial) error {
	const hold = 9 * time.Second
	node, err := newCore(t, "core 7", hold)
	if err != nil {
		return err
	}
	s, err := newSite(t, hold)
	if err != nil {
		return err
	}
	gnmi, err := s.manage()
	if err != nil {
		return err
	}
	if err := s.boot(); err != nil {
		return err
	}
	const p = "/exchanges/exchange[number='7']/"
	if err := t.configure(gnmi, "--trial", "5m", p+"address="+node.address(), p+"zone=kochi", p+"planned-load=9"); err != nil {
		return err
	}
	time.Sleep(time.Second)
	from, err := dialCaller(t, s.listen)
	if err != nil {
		return err
	}
	id, err := from.callThatStands(7)
	if err != nil {
		return err
	}
	if t.trouble {
		if err := s.returnAfterDeath(); err != nil {
			return err
		}
		if from, err = dialCaller(t, s.listen); err != nil {
			return err
		}
		// The front has taken the controller in again: calls come on the new connection.
		if _, err := from.callThatStands(1); err != nil {
			return err
		}
	}
	var ended time.Time
	if !await(2*hold, func() (over bool) { ended, over = node.endOf(id); return over }) {
		return errors.New("the call has not come to its end at the core")
	}
	limit := releaseLimit + timeSlack
	released := func() bool { _, ok := from.releasedAt(id); return ok }
	if !await(time.Until(ended.Add(limit)), released) {
		return t.broken("call %s was not released towards its caller within %v of its end", id, limit)
	}
	return nil
}
