// Command 1 is the case of a core that resets its idle connections while the two ends of one of its calls hang up.
package main

import (
	"fmt"
	"time"

	"brookmux/review/lab"
)

// lineWait is the wait at the cores' processors: set-ups, answers and releases wait in line for that long.
const lineWait = 500 * time.Millisecond

func main() { lab.Run(100*time.Second, run) }

func run(l *lab.Lab) (int, string) {
	one, two := l.NewCore("core1", 20), l.NewCore("core2", 20)
	for _, c := range []*lab.Core{one, two} {
		c.SetUpWait, c.ReleaseWait = lineWait, lineWait
	}
	names := l.NewNames(lab.Entry{ID: "s-00000001", Addr: one.Addr, Zone: "tvm", Exchange: 1},
		lab.Entry{ID: "s-00000002", Addr: two.Addr, Zone: "kochi", Exchange: 2})
	listen := l.FreeAddress()
	config := l.WriteFile("config.json", lab.Config("n0", listen, names.Addr, names.Known(), 0))
	p := l.Start("brookmux", "GW_NAME=n0", "GW_LISTEN="+listen, "GW_CONFIG="+config)
	callers := l.NewCallers("callers", listen)
	x := callers.Connect()
	id := func(n int) string { return fmt.Sprintf("9b1f03aa5c7e%04x", n) }
	for n, dest := range map[int]int{1: 1, 2: 1, 3: 2} {
		x.Invite(id(n), dest, "result-page", 3*time.Second)
		lab.Must(3*time.Second, "call "+id(n)+" stands", func() bool { return callers.Stands(id(n)) })
	}
	time.Sleep(2500 * time.Millisecond) // the calls stand, nothing else happens at core 1

	one.End(id(1)) // the far end hangs up; the circuit is free, the core's message waits in line
	time.Sleep(20 * time.Millisecond)
	if l.Trouble {
		one.ResetConnections()
	}
	time.Sleep(100 * time.Millisecond)
	x.Invite(id(4), 1, "result-page", 3*time.Second)
	time.Sleep(150 * time.Millisecond)
	x.Bye(id(1)) // the near end hangs up as well
	time.Sleep(1200 * time.Millisecond)
	const last = 9
	for n := 5; n <= last; n++ {
		x.Invite(id(n), 1+n%2, "result-page", 3*time.Second)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if crashed, how := p.Crashed(); crashed {
		lost := 0
		for n := 4; n <= last; n++ {
			if callers.Answer(id(n)).Finals == 0 {
				lost++
			}
		}
		return lab.Broken, fmt.Sprintf("the controller crashed (%s); set-ups without an answer: %d", how, lost)
	}
	for n := 4; n <= last; n++ {
		if callers.Answer(id(n)).Finals != 1 {
			return lab.Broken, fmt.Sprintf("set-up %s got %d final answers", id(n), callers.Answer(id(n)).Finals)
		}
	}
	return lab.Held, "the controller runs on, and each set-up got its answer"
}
