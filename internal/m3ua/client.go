package m3ua

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/settings"
)

const redialEvery = 500 * time.Millisecond

// Client carries attempts to exchanges that are reached by M3UA. It implements core.Trunks for them.
type Client struct {
	Config
	events     core.Events
	log        *slog.Logger
	categories map[string]uint8
	listed     func([]brookmux.Switch)
	links      map[brookmux.SwitchID]*link
	mu         sync.Mutex // guards the links' active
}

// link is an exchange with its circuits and the association to it.
type link struct {
	Link
	client *Client
	group  *group
	active bool
	gone   *time.Timer

	unreachable bool // over the association, by the far end's word
}

// NewClient returns a Client; listed is told which exchanges can be reached whenever that changes.
func NewClient(c Config, log *slog.Logger, listed func([]brookmux.Switch)) *Client {
	x := &Client{Config: c, log: log, listed: listed, categories: map[string]uint8{},
		links: map[brookmux.SwitchID]*link{}}
	for _, k := range c.Classes {
		x.categories[k.Name] = k.Category
	}
	for _, l := range c.Links {
		x.links[brookmux.SwitchID(l.ID)] = &link{Link: l, client: x, group: newGroup(ms(c.Timers.T1))}
	}
	return x
}

// Serves tells whether an exchange is reached this way.
func (x *Client) Serves(id brookmux.SwitchID) bool { return x.links[id] != nil }

// Run keeps the associations up until the context ends.
func (x *Client) Run(ctx context.Context, events core.Events) {
	x.events = events
	var wg sync.WaitGroup
	for _, l := range x.links {
		wg.Go(func() { l.run(ctx) })
	}
	wg.Wait()
}

// run keeps one association up.
func (l *link) run(ctx context.Context) {
	timers := l.client.Timers
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: ms(timers.Ack)}
		conn, err := dialer.DialContext(ctx, "tcp", l.Address)
		if err == nil {
			s := newSession(conn, l.client.RoutingContext, l.client.log)
			s.changed = func(to State) { l.changed(s, to) }
			s.data, s.managed = l.data, l.managed
			s.answer(classASPSM, typeUp, word(paramASPID, l.ASP))
			err = s.run(ctx, ms(timers.Beat), ms(timers.Ack))
		}
		if ctx.Err() != nil {
			return
		}
		l.client.log.Info("m3ua association down", "exchange", l.Number, "error", err)
		select {
		case <-time.After(redialEvery):
		case <-ctx.Done():
		}
	}
}

// lost is the outcome of what was open on an association that is over.
var lost = core.Outcome{Result: brookmux.ResultReset, Report: settings.NoReport(), Cause: core.TemporaryFailure}

// changed takes a change of the association's state. While it is not active the exchange is off the list, so
// that nothing new is sent to it. Set-ups that were open are lost; calls that stand are kept for a while.
func (l *link) changed(s *session, to State) {
	x := l.client
	defer x.log.Info("m3ua association", "exchange", l.Number, "state", to.String())
	x.mu.Lock()
	was := l.active
	l.active = to == Active
	if !l.active {
		l.unreachable = false // the next association says anew what can't be reached
	}
	if l.active && l.gone != nil {
		l.gone.Stop()
	} else if was && !l.active {
		l.gone = time.AfterFunc(ms(x.Timers.Gone), l.cut)
	}
	now := l.active
	x.mu.Unlock()
	switch {
	case now:
		l.group.up(s.isup(x.PointCode, l.PointCode))
		x.list()
		l.report()
	case was:
		open := l.group.down()
		x.list()
		keys := make([]string, len(open))
		for i, c := range open {
			keys[i] = c.key
			// The far end may still hold the circuit: it is released before it is used again.
			l.group.release(c, core.TemporaryFailure, 0)
		}
		if len(keys) > 0 {
			x.events.Lost(brookmux.SwitchID(l.ID), keys, core.Loss{Outcome: lost})
		}
	}
}

// cut ends the calls that stand on an exchange whose association stays away.
func (l *link) cut() {
	l.client.mu.Lock()
	back := l.active
	l.client.mu.Unlock()
	if !back {
		l.client.events.Lost(brookmux.SwitchID(l.ID), nil, core.Loss{Cut: true, Outcome: lost})
		l.group.releaseAll(core.TemporaryFailure)
	}
}

// list tells which exchanges can be reached.
func (x *Client) list() {
	x.mu.Lock()
	var out []brookmux.Switch
	for _, c := range x.Links {
		if l := x.links[brookmux.SwitchID(c.ID)]; l.active && !l.unreachable {
			out = append(out, brookmux.Switch{ID: brookmux.SwitchID(c.ID), Number: c.Number, Zone: c.Zone,
				State: brookmux.Ready})
		}
	}
	x.mu.Unlock()
	x.listed(out)
}

// figures is the state of the group.
func (l *link) figures() brookmux.Report {
	r := settings.NoReport()
	r.Size = float64(l.Circuits)
	r.Free = max(0, r.Size-float64(l.group.used()))
	return r
}

// report tells the core the state of the group.
func (l *link) report() { l.client.events.Reported(brookmux.SwitchID(l.ID), l.figures(), true) }

// SetUp implements core.Trunks. Outcomes that are known at once are told from another goroutine, since the
// owner of the core calls this.
func (x *Client) SetUp(to brookmux.SwitchID, a core.Attempt) {
	l := x.links[to]
	category, ok := x.categories[a.Class]
	x.mu.Lock()
	active := l.active && !l.unreachable
	x.mu.Unlock()
	o := core.Outcome{Result: brookmux.ResultMoot, Reason: brookmux.ReasonNoCircuit}
	if !carries(a.Number) || !fits(a.Description) {
		// It would be cut short or misread on the way: a set-up in a form that no caller sent.
		o = core.Outcome{Result: brookmux.ResultError}
	} else if !ok || !active {
		o = core.Outcome{Result: brookmux.ResultConnectFailed}
	} else if c := l.group.seizeAny(l.Circuits, a.Key); c != nil {
		l.group.say(isup{cic: c.cic, kind: kindIAM, category: category, number: a.Number, left: a.Left,
			description: a.Description})
		return
	}
	// The module has counted circuits as taken: the state of the group tells it that they are not.
	o.Report = l.figures()
	go x.events.Lost(to, []string{a.Key}, core.Loss{Outcome: o})
}

// Release implements core.Trunks.
func (x *Client) Release(to brookmux.SwitchID, key string, cause core.Cause) {
	if l := x.links[to]; l != nil {
		l.group.release(l.group.of(key), cause, 0)
	}
}

// ReleaseAnywhere implements core.Trunks: circuits of an earlier process are not known by the calls' names,
// so there is nothing to say.
func (x *Client) ReleaseAnywhere(string, core.Cause) {}

// data takes an ISUP message from the exchange.
func (l *link) data(t transfer, m isup) error {
	id, events := brookmux.SwitchID(l.ID), l.client.events
	c, at := l.group.at(m.cic)
	switch m.kind {
	case kindANM:
		if l.group.answer(c) {
			events.Answered(id, c.key, m.description, l.figures())
		}
	case kindREL:
		l.group.clear(m.cic)
		l.group.say(isup{cic: m.cic, kind: kindRLC})
		if c != nil && at != releasing {
			o := outcome(m)
			o.Report = l.figures()
			events.Ended(id, c.key, o)
		} else {
			l.report()
		}
	case kindRLC:
		if at == releasing {
			l.group.clear(m.cic)
			l.report()
		}
	case kindIAM:
		// Circuits are seized by the end that opened the association: this one is not the far end's to use.
		l.group.say(isup{cic: m.cic, kind: kindREL, cause: core.NotImplemented})
	}
	return nil
}

// outcome translates a REL (see the README's table).
func outcome(m isup) core.Outcome {
	o := core.Outcome{Cause: m.cause, Level: m.level, Result: brookmux.ResultError}
	switch m.cause {
	case core.NormalClearing:
		o.Result = brookmux.ResultOK
	case 17: // user busy
		o.Reason = brookmux.ReasonLineBusy
	case 34: // no circuit available
		o.Result, o.Reason = brookmux.ResultFull, brookmux.ReasonNoCircuit
	case core.Congestion:
		o.Result, o.Reason = brookmux.ResultFull, brookmux.ReasonProcessorFull
	case 27, 38, core.TemporaryFailure: // destination out of order, network out of order
		o.Result = brookmux.ResultReset
	case core.TimerExpiry:
		o.Result = brookmux.ResultTimeout
	}
	return o
}
