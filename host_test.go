package brookmux

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// action is one call of a Host method.
type action struct {
	kind string
	call CallID
	to   SwitchID
	wait time.Duration
	text string
}

// recorder is a Host that records the actions.
type recorder struct{ actions []action }

func (d *recorder) Send(c CallID, to SwitchID, t time.Duration) {
	d.actions = append(d.actions, action{kind: "send", call: c, to: to, wait: t})
}

func (d *recorder) Refuse(c CallID, w time.Duration) {
	d.actions = append(d.actions, action{kind: "refuse", call: c, wait: w})
}

func (d *recorder) Fail(c CallID) { d.actions = append(d.actions, action{kind: "fail", call: c}) }

func (d *recorder) Probe(to SwitchID) { d.actions = append(d.actions, action{kind: "probe", to: to}) }

func (d *recorder) SetTimer(w time.Duration, token uint64) {
	d.actions = append(d.actions, action{kind: "timer", call: CallID(token), wait: w})
}

func (d *recorder) Follow() { d.actions = append(d.actions, action{kind: "follow"}) }

func (d *recorder) Log(s string) { d.actions = append(d.actions, action{kind: "log", text: s}) }

// take returns the sends, refusals and failures since the last take and clears the record.
func (d *recorder) take() string {
	var out []string
	for _, a := range d.actions {
		switch a.kind {
		case "send":
			out = append(out, fmt.Sprintf("send %d to %d", a.call, a.to))
		case "refuse", "fail":
			out = append(out, fmt.Sprintf("%s %d", a.kind, a.call))
		}
	}
	d.actions = nil
	return strings.Join(out, ", ")
}

// count returns the number of recorded actions of a kind.
func (d *recorder) count(kind string) int {
	n := 0
	for _, a := range d.actions {
		if a.kind == kind {
			n++
		}
	}
	return n
}

const second = time.Second

// meshSettings returns the settings of exchange 0 in a mesh of four.
func meshSettings() Settings {
	return Settings{Instances: 4, Here: 0, MaxAttempts: 4, ReleaseWait: 300 * time.Millisecond, RetryAfter: true,
		MaxRetryAfter: 2 * second, ColdFrom: 0.25, WarmWithin: 10 * second, FallMultiple: 2, Reports: ReportsAnswers,
		Classes: []Class{{Aim: 1500 * time.Millisecond, Deadline: 9 * second, Hold: 10 * second, Worth: 1,
			LateWorth: 0.1}}}
}

// memberList returns a list of the exchanges 0 to n-1, each with a ready switch 100+number.
func memberList(kind ListKind, n int) Members {
	m := Members{Kind: kind}
	for i := range n {
		m.Switches = append(m.Switches, Switch{ID: SwitchID(100 + i), Number: i, State: Ready})
	}
	return m
}

// emptyReport returns a report with all fields absent.
func emptyReport() Report {
	return Report{Absent, Absent, Absent, Absent, Absent, Absent, Absent, Absent}
}

// circuitReport returns an unsolicited report of the circuits toward an exchange.
func circuitReport(to int, free, size float64) ProbeResult {
	r := emptyReport()
	r.Free, r.Size = free, size
	return ProbeResult{Switch: SwitchID(100 + to), OK: true, Unsolicited: true, Report: r}
}

// startController returns a controller that knows four exchanges, with ten of ten circuits free to each, and its
// host.
func startController(t testing.TB, s Settings) (*Controller, *recorder) {
	t.Helper()
	d := &recorder{}
	c, err := New(s, 7, d)
	if err != nil {
		t.Fatal(err)
	}
	c.MembersChanged(0, memberList(Cached, 4))
	for i := range 4 {
		if i != s.Here {
			c.Probed(0, circuitReport(i, 10, 10))
		}
	}
	d.actions = nil
	return c, d
}

// newCall returns a call of the local exchange that expires in three seconds.
func newCall(id CallID, to int, now time.Duration) Call {
	return Call{ID: id, Destination: to, Width: 1, Via: -1, Number: uint64(id), Expires: now + 3*second}
}

// outcome returns the end of a call's attempt, with an empty report.
func outcome(id CallID, attempt int, sw SwitchID, r Result) Outcome {
	return Outcome{Call: id, Attempt: attempt, Switch: sw, Result: r, Report: emptyReport()}
}

// expectActions compares the actions since the last take with the wanted ones.
func expectActions(t *testing.T, d *recorder, want string) {
	t.Helper()
	if got := d.take(); got != want {
		t.Errorf("actions %q, want %q", got, want)
	}
}
