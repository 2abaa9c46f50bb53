// Command benchlink connects the decision module to the simulator's wire protocol, with one Controller for each
// instance. It translates messages and makes no decisions.
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

// link holds the instances of this process and the inventories that FLEET events refer to by set number.
type link struct {
	instances   map[uint32]*instance
	inventories [256][]brookmux.Switch
	reply       wire.Reply
}

// instance is the Host of one Controller; it writes the Controller's actions to the reply.
type instance struct {
	id          uint32
	controller  *brookmux.Controller
	reportNames []string
	reply       *wire.Reply
}

// serve answers each batch with one reply. It returns nil at a clean end of input.
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
			if err := l.handle(ms(b.Clock), e); err != nil {
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

// handle passes one event to its instance; an unknown code is an error.
func (l *link) handle(now time.Duration, event any) error {
	switch e := event.(type) {
	case wire.Inventory:
		l.inventories[e.Set] = switches(e.Entries)
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
			m.Switches = l.inventories[e.Set]
		}
		l.withInstance(e.Who, func(i *instance) { i.controller.MembersChanged(now, m) })
	case wire.Ingress:
		l.withInstance(e.Who, func(i *instance) { i.controller.Offered(now, call(e)) })
	case wire.FirstByte:
		s := brookmux.Answer{Call: brookmux.CallID(e.Call), Attempt: int(e.Leg), Elapsed: ms(e.Took)}
		l.withInstance(e.Who, func(i *instance) { i.controller.Answered(now, s) })
	case wire.Completed:
		if e.Code > 7 {
			return fmt.Errorf("COMPLETED: field code: unknown code %d", e.Code)
		}
		l.withInstance(e.Who, func(i *instance) { i.controller.AttemptEnded(now, outcome(e, i.reportNames)) })
	case wire.Cancelled:
		l.withInstance(e.Who, func(i *instance) { i.controller.CallEnded(now, brookmux.CallID(e.Call)) })
	case wire.TimerFired:
		l.withInstance(e.Who, func(i *instance) { i.controller.Timer(now, e.Tag) })
	case wire.HealthResult:
		l.withInstance(e.Who, func(i *instance) {
			i.controller.Probed(now, brookmux.ProbeResult{Switch: brookmux.SwitchID(e.Switch), OK: e.Code == 1,
				Unsolicited: e.Code == 1 && e.Took == 0, Report: report(i.reportNames, e.Health)})
		})
	}
	return nil
}

// withInstance calls f for an instance, if it is started. A panic in f becomes an EXCEPTION with the panic's text.
func (l *link) withInstance(id uint32, f func(*instance)) {
	i := l.instances[id]
	if i == nil {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			l.reply.Exception(id, fmt.Sprint(p))
		}
	}()
	f(i)
}

// start creates an instance, which replaces an earlier one with the same number.
func (l *link) start(e wire.Init) error {
	s, reportNames, err := parseSettings(e.Settings)
	if err != nil {
		return fmt.Errorf("INIT: field bootInfo: %w", err)
	}
	i := &instance{id: e.Who, reportNames: reportNames, reply: &l.reply}
	i.controller, err = brookmux.New(s, e.Salt, i)
	if err != nil {
		return fmt.Errorf("INIT: field bootInfo: %w", err)
	}
	l.instances[e.Who] = i
	return nil
}

// listKinds maps the codes of FLEET's field how.
var listKinds = map[uint8]brookmux.ListKind{
	0: brookmux.Delta, 1: brookmux.Full, 2: brookmux.Cached, 3: brookmux.Failed}

// switches translates the entries of an INVENTORY.
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

// outcome translates a COMPLETED. The wire's result codes have the order of the module's Result constants.
func outcome(e wire.Completed, names []string) brookmux.Outcome {
	o := brookmux.Outcome{Call: brookmux.CallID(e.Call), Attempt: int(e.Leg), Switch: brookmux.SwitchID(e.Switch),
		Result: brookmux.Result(e.Code), Elapsed: ms(e.Took), CallEnded: e.Done != 0, Report: report(names, e.Health)}
	switch {
	case e.Why == 18:
		o.Reason = brookmux.ReasonDestinationFull
	case e.Why&15 <= 4:
		reasons := [...]brookmux.Reason{brookmux.ReasonNone, brookmux.ReasonNoCircuit,
			brookmux.ReasonRejectedByTandem, brookmux.ReasonProcessorFull, brookmux.ReasonLineBusy}
		o.Reason = reasons[e.Why&15]
		o.Wait = ms(float64(e.Why >> 4))
	}
	return o
}

// Send implements brookmux.Host, as do the following methods.
func (i *instance) Send(c brookmux.CallID, to brookmux.SwitchID, timeout time.Duration) {
	i.reply.Route(i.id, uint64(c), toMs(timeout), uint32(to))
}

func (i *instance) Refuse(c brookmux.CallID, wait time.Duration) {
	i.reply.Shed(i.id, uint64(c), toMs(wait))
}

func (i *instance) Fail(c brookmux.CallID) { i.reply.Error(i.id, uint64(c)) }

func (i *instance) Probe(to brookmux.SwitchID) { i.reply.Probe(i.id, uint32(to)) }

func (i *instance) SetTimer(delay time.Duration, token uint64) {
	i.reply.Timer(i.id, toMs(delay), token)
}

func (i *instance) Follow()         { i.reply.Follow(i.id, true) }
func (i *instance) Log(line string) { i.reply.NoteDown(i.id, line) }
