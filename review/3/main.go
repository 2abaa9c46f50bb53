// Command 3 is the case of a controller with an M3UA link that is killed and started again while calls stand over the
// link. The far end of the link is a second controller, the server of the association, in front of a core.
package main

import (
	"fmt"
	"time"

	"brookmux/review/lab"
)

const (
	down = 5 * time.Second
	// A release that could be sent is due within 1 s, one that could not within 8 s; both with the 50 ms of sockets.
	releaseLimit = 8050 * time.Millisecond
)

const classes = `
[[class]]
category = 10
name = "result-page"

[[class]]
category = 11
name = "round-update"
`

func main() { lab.Run(110*time.Second, run) }

func run(l *lab.Lab) (int, string) {
	core, other := l.NewCore("core1", 40), l.NewCore("core2", 40)
	// The far end: its front for M3UA leads to the core of exchange 1.
	farNames := l.NewNames(lab.Entry{ID: "s-00000001", Addr: core.Addr, Zone: "tvm", Exchange: 1})
	farListen, association := l.FreeAddress(), l.FreeAddress()
	farConfig := l.WriteFile("far.json", lab.Config("n9", farListen, farNames.Addr, farNames.Known(), 9))
	farM3UA := l.WriteFile("far.toml", fmt.Sprintf("enabled = true\nlisten = %q\npoint_code = 101\nrouting_context = 1\n%s\n"+
		"[[exchange]]\nnumber = 1\npoint_code = 101\n\n[[peer]]\nasp = 1\npoint_code = 100\n", association, classes))
	l.Start("far", "GW_NAME=n9", "GW_LISTEN="+farListen, "GW_CONFIG="+farConfig, "BROOKMUX_M3UA="+farM3UA)

	names := l.NewNames(lab.Entry{ID: "s-00000002", Addr: other.Addr, Zone: "kochi", Exchange: 2})
	listen := l.FreeAddress()
	config := l.WriteFile("near.json", lab.Config("n0", listen, names.Addr, names.Known(), 0))
	m3ua := l.WriteFile("near.toml", fmt.Sprintf("enabled = true\npoint_code = 100\nrouting_context = 1\n%s\n"+
		"[[link]]\nid = 901\nnumber = 1\nzone = 0\naddress = %q\npoint_code = 101\nasp = 1\ncircuits = 30\n", classes, association))
	env := []string{"GW_NAME=n0", "GW_LISTEN=" + listen, "GW_CONFIG=" + config, "BROOKMUX_M3UA=" + m3ua}
	p := l.Start("near", env...)
	l.StartOthers(names, 4)
	lab.Must(5*time.Second, "the association is active", func() bool { return p.Logged("state=active") })
	callers := l.NewCallers("callers", listen)
	x := callers.Connect()
	id := func(n int) string { return fmt.Sprintf("9b1f03aa5c7e%04x", n) }
	// The far end knows the calls by ids of its own.
	farID := map[int]string{}
	for n := 1; n <= 3; n++ {
		x.Invite(id(n), 1, "result-page", 3*time.Second)
		lab.Must(3*time.Second, "call "+id(n)+" stands", func() bool { return callers.Stands(id(n)) })
		farID[n] = core.Newest()
	}
	if l.Trouble {
		p.Kill()
	}
	time.Sleep(down)
	if l.Trouble {
		p = l.Start("near", env...)
		lab.Must(10*time.Second, "the association is active", func() bool { return p.Logged("state=active") })
		x = callers.Connect()
	}
	time.Sleep(time.Second)

	// The first call ends at the far end: its core releases it.
	core.End(farID[1])
	ended := time.Now()
	lab.Wait(releaseLimit, func() bool { return !callers.Answer(id(1)).Released.IsZero() })
	released := callers.Answer(id(1)).Released
	leftStanding := released.IsZero()

	// New calls, one after the other. The other two of the first calls go on: no end of them hangs up.
	stood := 0
	for n := 4; n <= 6; n++ {
		x.Invite(id(n), 1, "result-page", 3*time.Second)
		lab.Wait(3500*time.Millisecond, func() bool { return callers.Answer(id(n)).Finals > 0 })
		if callers.Stands(id(n)) {
			stood++
		}
	}
	time.Sleep(time.Second)
	cut, untold := 0, 0
	for n := 2; n <= 3; n++ {
		if core.Call(farID[n]).EndedByController {
			cut++
			l.Log("check", "call %s was released at its core, and nobody hung up", id(n))
			if callers.Answer(id(n)).Released.IsZero() {
				untold++
			}
		}
	}
	after := "never"
	if !leftStanding {
		after = "after " + released.Sub(ended).Round(time.Millisecond).String()
	}
	what := fmt.Sprintf("the call that its core ended was released to its caller: %s (limit %v); of two standing calls, %d were released at the core though nobody hung up, %d of them without a word to the caller; %d of three new calls stood",
		after, releaseLimit, cut, untold, stood)
	if leftStanding || cut > 0 {
		return lab.Broken, what
	}
	return lab.Held, what
}
