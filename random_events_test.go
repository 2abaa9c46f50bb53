package brookmux

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestRandomEvents runs random but legal events and checks rules 1, 2, 3 and 5 after each, and that the same events
// give the same actions.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		a, b := runRandomEvents(t, seed), runRandomEvents(t, seed)
		if !slices.Equal(a, b) {
			t.Errorf("seed %d: the same events gave different actions", seed)
		}
	}
}

// Limits that the deployment's rules set: the latest send to a draining switch after its notice, and the latest
// answer after a call's expiry.
const drainGrace, answerGrace = second, 20 * time.Millisecond

// callRecord is the test's view of a call.
type callRecord struct {
	expires, notBefore time.Duration
	attempt            int
	sentTo             SwitchID
	stands, over       bool
}

// runRandomEvents runs 4000 steps of random events, checks the rules after each event, and returns the actions.
func runRandomEvents(t *testing.T, seed uint64) []action {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 99))
	s, n := meshSettings(), 4
	if seed%3 == 0 {
		n = 90
	}
	s.Instances, s.Probes, s.Reports = n, seed%2 == 0, ReportMode(seed%3)
	d := &recorder{}
	c, err := New(s, seed, d)
	if err != nil {
		t.Fatal(err)
	}
	c.MembersChanged(0, memberList(Cached, n))
	records, timers, unavailableSince := map[CallID]*callRecord{}, []action{}, map[SwitchID]time.Duration{}
	var ids []CallID
	var all []action
	now := time.Duration(0)
	check := func() {
		for _, a := range d.actions {
			all = append(all, a)
			rec := records[a.call]
			switch a.kind {
			case "timer":
				timers = append(timers, action{call: a.call, wait: now + a.wait})
			case "send":
				if rec.over || rec.sentTo != 0 || now < rec.notBefore {
					t.Fatalf("seed %d at %v: call %d sent: %+v", seed, now, a.call, *rec)
				}
				if at, ok := unavailableSince[a.to]; ok && now > at+drainGrace {
					t.Fatalf("seed %d at %v: sent to a draining switch", seed, now)
				}
				rec.sentTo = a.to
				rec.attempt++
			case "refuse", "fail":
				if rec.over || now > rec.expires+answerGrace {
					t.Fatalf("seed %d at %v: call %d answered: %+v", seed, now, a.call, *rec)
				}
				rec.over = true
			}
		}
		d.actions = nil
		for id, rec := range records {
			if !rec.over && !rec.stands && now > rec.expires+answerGrace {
				t.Fatalf("seed %d at %v: call %d has no answer", seed, now, id)
			}
		}
	}
	check()
	for step := range 4000 {
		now += 5 * time.Millisecond
		due := timers
		timers = nil
		for _, x := range due {
			if x.wait > now {
				timers = append(timers, x)
				continue
			}
			c.Timer(now, uint64(x.call))
			check()
		}
		for _, id := range ids { // attempts that end at their caller's expiry
			if rec := records[id]; rec.sentTo != 0 && !rec.stands && now >= rec.expires {
				o := outcome(id, rec.attempt-1, rec.sentTo, ResultTimeout)
				rec.sentTo, rec.notBefore = 0, now+s.ReleaseWait
				c.AttemptEnded(now, o)
				check()
			}
		}
		switch {
		case step%700 == 500: // a pause of the process, after which the ends of the expired calls arrive late
			now += 2 * second
			for _, id := range ids {
				rec := records[id]
				if rec.over || rec.stands || now < rec.expires {
					continue
				}
				if rec.over = true; rec.sentTo != 0 {
					o := outcome(id, rec.attempt-1, rec.sentTo, ResultTimeout)
					o.CallEnded, rec.sentTo = true, 0
					c.AttemptEnded(now, o)
				} else {
					c.CallEnded(now, id)
				}
			}
		case step%900 == 300: // a third of the switches restart at once
			m := Members{Kind: Delta}
			for i := 1; i < n; i += 3 {
				m.Switches = append(m.Switches, Switch{ID: SwitchID(100 + i), Number: i, State: Ready, Since: now})
				delete(unavailableSince, SwitchID(100+i))
			}
			c.MembersChanged(now, m)
		}
		id := CallID(step + 1)
		switch rng.IntN(6) {
		case 0, 1:
			k := newCall(id, 1+rng.IntN(n-1), now)
			k.Number = rng.Uint64N(50)
			if rng.IntN(4) == 0 {
				k.Transit, k.Via = true, 1+rng.IntN(n-1)
			}
			records[id], ids = &callRecord{expires: k.Expires}, append(ids, id)
			c.Offered(now, k)
		case 2:
			c.Probed(now, circuitReport(1+rng.IntN(n-1), float64(rng.IntN(6)), 10))
		case 3:
			x := Switch{ID: SwitchID(101 + rng.IntN(n-1)), State: SwitchState(rng.IntN(3)), Since: now * time.Duration(rng.IntN(2))}
			x.Number = int(x.ID) - 100
			c.MembersChanged(now, Members{Kind: Delta, Switches: []Switch{x}})
			if _, ok := unavailableSince[x.ID]; x.State == Ready {
				delete(unavailableSince, x.ID)
			} else if !ok {
				unavailableSince[x.ID] = now
			}
		default:
			if len(ids) == 0 {
				continue
			}
			id := ids[rng.IntN(len(ids))]
			rec := records[id]
			if rec.sentTo == 0 {
				continue
			}
			if !rec.stands && rng.IntN(2) == 0 {
				rec.stands = true
				c.Answered(now, Answer{Call: id, Attempt: rec.attempt - 1, Elapsed: 50 * time.Millisecond})
				break
			}
			o := outcome(id, rec.attempt-1, rec.sentTo, Result(rng.IntN(8)))
			o.CallEnded = rec.stands || o.Result == ResultOK
			rec.over, rec.sentTo = rec.over || o.CallEnded, 0
			if o.Result == ResultTimeout || o.Result == ResultReset || o.Result == ResultCancelled {
				rec.notBefore = now + s.ReleaseWait
			}
			c.AttemptEnded(now, o)
		}
		check()
	}
	return all
}
