// Command benchlink connects the decision module to the simulator's wire: one Controller an instance.
// It translates words and decides nothing.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"brookmux"
	"brookmux/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// link holds the instances of this process and the lists that events refer to.
type link struct {
	instances map[uint32]*instance
	lists     [256][]brookmux.Switch
	reply     wire.Reply
}

// instance is one Controller and its Host.
type instance struct {
	who   uint32
	ctl   *brookmux.Controller
	names []string
	out   *wire.Reply
}

// serve answers batches until a clean end of input.
func serve(in io.Reader, out io.Writer) error {
	l := &link{instances: map[uint32]*instance{}}
	r, w := wire.NewReader(in), bufio.NewWriter(out)
	for {
		b, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		l.reply.Reset()
		for _, e := range b.Events {
			if err := l.event(ms(b.Clock), e); err != nil {
				return err
			}
		}
		if _, err := w.Write(l.reply.Bytes()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// event hands one event to its instance.
func (l *link) event(now time.Duration, event any) error {
	switch e := event.(type) {
	case wire.Inventory:
		l.lists[e.Set] = switches(e.Entries)
	case wire.Init:
		return l.start(e)
	case wire.Kill:
		delete(l.instances, e.Who)
	case wire.Fleet:
		kind, ok := listKinds[e.How]
		if !ok {
			return fmt.Errorf("FLEET: field how: unknown code %d", e.How)
		}
		m := brookmux.Members{Kind: kind}
		if kind != brookmux.Failed {
			m.Switches = l.lists[e.Set]
		}
		l.to(e.Who, func(i *instance) { i.ctl.Members(now, m) })
	case wire.Ingress:
		l.to(e.Who, func(i *instance) { i.ctl.Offered(now, call(e)) })
	case wire.FirstByte:
		s := brookmux.Stands{Call: brookmux.CallID(e.Call), Attempt: int(e.Leg), Took: ms(e.Took)}
		l.to(e.Who, func(i *instance) { i.ctl.Stands(now, s) })
	case wire.Completed:
		if e.Code > 7 {
			return fmt.Errorf("COMPLETED: field code: unknown code %d", e.Code)
		}
		l.to(e.Who, func(i *instance) { i.ctl.Ended(now, outcome(e, i.names)) })
	case wire.Cancelled:
		l.to(e.Who, func(i *instance) { i.ctl.Left(now, brookmux.CallID(e.Call)) })
	case wire.TimerFired:
		l.to(e.Who, func(i *instance) { i.ctl.Timer(now, e.Tag) })
	case wire.HealthResult:
		l.to(e.Who, func(i *instance) {
			i.ctl.Probed(now, brookmux.ProbeResult{Switch: brookmux.SwitchID(e.Switch), OK: e.Code == 1,
				Unasked: e.Code == 1 && e.Took == 0, Report: figures(i.names, e.Health)})
		})
	}
	return nil
}

// to calls f for a live instance; a panic in a decision becomes an EXCEPTION with its text.
func (l *link) to(who uint32, f func(*instance)) {
	i := l.instances[who]
	if i == nil {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			l.reply.Exception(who, fmt.Sprint(p))
		}
	}()
	f(i)
}

// start brings an instance up, in place of an earlier one.
func (l *link) start(e wire.Init) error {
	s, names, err := parseSettings(e.Settings)
	if err != nil {
		return fmt.Errorf("INIT: field bootInfo: %w", err)
	}
	i := &instance{who: e.Who, names: names, out: &l.reply}
	i.ctl, err = brookmux.New(s, e.Salt, i)
	if err != nil {
		return fmt.Errorf("INIT: field bootInfo: %w", err)
	}
	l.instances[e.Who] = i
	return nil
}

var listKinds = map[uint8]brookmux.ListKind{
	0: brookmux.Delta, 1: brookmux.Full, 2: brookmux.Cached, 3: brookmux.Failed}

// switches translates a list.
func switches(entries []wire.Entry) []brookmux.Switch {
	states := map[uint8]brookmux.SwitchState{1: brookmux.Ready, 2: brookmux.Draining}
	out := make([]brookmux.Switch, 0, len(entries))
	for _, e := range entries {
		out = append(out, brookmux.Switch{ID: brookmux.SwitchID(e.Switch), Number: int(e.Node), Zone: int(e.Zone),
			State: states[e.State], Since: ms(e.Since)})
	}
	return out
}

// call translates an INGRESS.
func call(e wire.Ingress) brookmux.Call {
	return brookmux.Call{ID: brookmux.CallID(e.Call), Class: int(e.Class), Tenant: int(e.Tenant), Number: e.Number,
		Expires: ms(e.Expires), Destination: int(e.Destination), Width: float64(e.Units), Via: int(e.Hop),
		Transit: e.Flags&wire.FlagTransit != 0}
}

// outcome translates a COMPLETED. The wire's codes for results are in the module's order.
func outcome(e wire.Completed, names []string) brookmux.Outcome {
	o := brookmux.Outcome{Call: brookmux.CallID(e.Call), Attempt: int(e.Leg), Switch: brookmux.SwitchID(e.Switch),
		Result: brookmux.Result(e.Code), Took: ms(e.Took), Over: e.Done != 0, Report: figures(names, e.Health)}
	switch {
	case e.Why == 18:
		o.Reason = brookmux.ReasonFarFull
	case e.Why&15 <= 4:
		reasons := [...]brookmux.Reason{brookmux.ReasonNone, brookmux.ReasonNoCircuit,
			brookmux.ReasonTurnedBack, brookmux.ReasonProcessorFull, brookmux.ReasonLineBusy}
		o.Reason = reasons[e.Why&15]
		o.Wait = ms(float64(e.Why >> 4))
	}
	return o
}

// Send implements brookmux.Host, as do the methods below.
func (i *instance) Send(c brookmux.CallID, to brookmux.SwitchID, timeout time.Duration) {
	i.out.Route(i.who, uint64(c), toMs(timeout), uint32(to))
}

func (i *instance) Refuse(c brookmux.CallID, wait time.Duration) {
	i.out.Shed(i.who, uint64(c), toMs(wait))
}

func (i *instance) Fail(c brookmux.CallID) { i.out.Error(i.who, uint64(c)) }

func (i *instance) Probe(to brookmux.SwitchID) { i.out.Probe(i.who, uint32(to)) }

func (i *instance) SetTimer(delay time.Duration, token uint64) {
	i.out.Timer(i.who, toMs(delay), token)
}

func (i *instance) Follow()         { i.out.Follow(i.who, true) }
func (i *instance) Log(line string) { i.out.NoteDown(i.who, line) }
