// Command 2 is the case of a controller that is killed and started again, and whose callers then release the calls that
// ended in between.
package main

import (
	"fmt"
	"time"

	"brookmux/review/lab"
)

const (
	standing = 110 // calls that stand when the controller dies
	hungUp   = 24  // of these, calls whose callers hang up before it is back
	down     = 5 * time.Second
	newCalls = 10
)

func main() { lab.Run(100*time.Second, run) }

func run(l *lab.Lab) (int, string) {
	cores := []*lab.Core{l.NewCore("core1", 60), l.NewCore("core2", 60), l.NewCore("core3", 60)}
	var entries []lab.Entry
	for i, c := range cores {
		c.SetUpWait, c.ReleaseWait = 150*time.Millisecond, 150*time.Millisecond
		entries = append(entries, lab.Entry{ID: fmt.Sprintf("s-0000000%d", i+1), Addr: c.Addr, Zone: "tvm", Exchange: i + 1})
	}
	names := l.NewNames(entries...)
	listen := l.FreeAddress()
	config := l.WriteFile("config.json", lab.Config("n0", listen, names.Addr, names.Known(), 0))
	env := []string{"GW_NAME=n0", "GW_LISTEN=" + listen, "GW_CONFIG=" + config}
	p := l.Start("brookmux", env...)
	l.StartOthers(names, 4, 5)
	callers := l.NewCallers("callers", listen)
	x := callers.Connect()
	id := func(n int) string { return fmt.Sprintf("9b1f03aa5c7e%04x", n) }
	dest := func(n int) int { return 1 + n%len(cores) }
	var stands []string
	for n := 1; len(stands) < standing; n++ {
		if n > 4*standing {
			lab.Fail("too few calls stand")
		}
		x.Invite(id(n), dest(n), "result-page", 3*time.Second)
		time.Sleep(50 * time.Millisecond)
		stands = stands[:0]
		for k := 1; k <= n; k++ {
			if callers.Stands(id(k)) {
				stands = append(stands, id(k))
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	if l.Trouble {
		p.Kill()
	}
	time.Sleep(down)
	if l.Trouble {
		l.Start("brookmux", env...)
		x = callers.Connect() // the front takes the controller in again
	}
	// A new set-up goes out, and the releases of the calls that ended meanwhile, which waited for the controller; then
	// the usual set-ups.
	messages := []string{x.InviteText(id(0x1000), dest(0), "result-page", 3*time.Second)}
	for _, id := range stands[:hungUp] {
		messages = append(messages, lab.ByeText(id))
	}
	x.WriteTogether(messages...)
	for n := 1; n < newCalls; n++ {
		time.Sleep(100 * time.Millisecond)
		if x.Ended() {
			x = callers.Connect()
		}
		x.Invite(id(0x1000+n), dest(n), "result-page", 3*time.Second)
	}
	time.Sleep(3500 * time.Millisecond)
	unanswered, released := 0, 0
	for n := range newCalls {
		if id := id(0x1000 + n); callers.Answer(id).Finals == 0 {
			unanswered++
			l.Log("check", "no answer to set-up %s", id)
		}
	}
	for _, id := range stands[:hungUp] {
		for _, c := range cores {
			if c.Call(id).EndedByController {
				released++
			}
		}
	}
	what := fmt.Sprintf("%d of %d set-ups after the restart got no answer; %d of %d calls that callers released were released at their cores",
		unanswered, newCalls, released, hungUp)
	if unanswered > 0 {
		return lab.Broken, what
	}
	return lab.Held, what
}
