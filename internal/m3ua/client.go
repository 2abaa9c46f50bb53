package m3ua

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/settings"
)

// redialInterval is the wait before an association that ended or could not be opened is dialled again.
const redialInterval = 500 * time.Millisecond

// Client sends attempts to the exchanges that are reached over M3UA. It implements core.Trunks for them and keeps one
// association to each.
type Client struct {
	Config
	events      core.Events
	log         *slog.Logger
	categories  map[string]uint8
	onReachable func([]brookmux.Switch)
	links       map[brookmux.SwitchID]*link
	unclaimed   unclaimedReleases
	mu          sync.Mutex // guards active, callKeys, unreachable and cutTimer of the links
}

// link is the state of one configured exchange: its circuits and the association to it.
type link struct {
	Link
	client   *Client
	group    *circuitGroup
	active   bool        // the association is active
	callKeys bool        // the far end understood call keys on the last active association
	cutTimer *time.Timer // runs cutCalls after gone_ms without an active association

	unreachable bool // the far end has reported on the association that the exchange can't be reached
}

// NewClient returns a Client for the links of config. onReachable is called with the exchanges that can be reached each
// time that they change, possibly from several goroutines at once. Run opens the associations.
func NewClient(config Config, log *slog.Logger, onReachable func([]brookmux.Switch)) *Client {
	c := &Client{Config: config, log: log, onReachable: onReachable, categories: map[string]uint8{},
		links: map[brookmux.SwitchID]*link{}}
	for _, class := range config.Classes {
		c.categories[class.Name] = class.Category
	}
	for _, l := range config.Links {
		c.links[brookmux.SwitchID(l.ID)] = &link{Link: l, client: c,
			group: newCircuitGroup(milliseconds(config.Timers.T1))}
	}
	return c
}

// Serves reports whether an exchange is reached over M3UA, by a link of the configuration.
func (c *Client) Serves(id brookmux.SwitchID) bool { return c.links[id] != nil }

// Run opens the associations and reopens those that end, until the context ends. It passes the outcomes of attempts and
// calls to events, and returns when all associations are closed.
func (c *Client) Run(ctx context.Context, events core.Events) {
	c.events = events
	var wg sync.WaitGroup
	for _, l := range c.links {
		wg.Go(func() { l.keepConnected(ctx) })
	}
	wg.Wait()
}

// keepConnected opens the link's association, and opens it again each time it ends, until the context ends.
func (l *link) keepConnected(ctx context.Context) {
	timers := l.client.Timers
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: milliseconds(timers.Ack)}
		conn, err := dialer.DialContext(ctx, "tcp", l.Address)
		if err == nil {
			a := newAssociation(conn, l.client.RoutingContext, l.client.log)
			a.onState = func(to State) { l.stateChanged(a, to) }
			a.onISUP, a.onSSNM = l.handleISUP, l.handleSSNM
			a.sendParams(classASPSM, typeUp, uint32Param(paramASPID, l.ASP))
			err = a.serve(ctx, milliseconds(timers.Beat), milliseconds(timers.Ack))
		}
		if ctx.Err() != nil {
			return
		}
		l.client.log.Info("m3ua association down", "exchange", l.Number, "error", err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.farEndRefused()
		}
		select {
		case <-time.After(redialInterval):
		case <-ctx.Done():
		}
	}
}

// lostOutcome is the outcome of attempts and calls that are lost with their association.
var lostOutcome = core.Outcome{Result: brookmux.ResultReset, Report: settings.EmptyReport(), Cause: core.TemporaryFailure}

// stateChanged applies a new state of the association. While the association is not active, the exchange is reported as
// not reachable, so that no new attempt is sent to it. Unanswered set-ups are then lost; standing calls are kept for
// gone_ms, see farEndRefused, and continue if an association becomes active in that time.
func (l *link) stateChanged(a *association, to State) {
	client := l.client
	defer client.log.Info("m3ua association", "exchange", l.Number, "state", to.String())
	client.mu.Lock()
	wasActive := l.active
	l.active = to == Active
	if l.active {
		l.callKeys = a.sendKeys.Load()
	} else {
		l.unreachable = false // valid for one association: the far end reports it again on the next one
	}
	if l.active && l.cutTimer != nil {
		l.cutTimer.Stop()
	} else if wasActive && !l.active {
		l.cutTimer = time.AfterFunc(milliseconds(client.Timers.Gone), l.cutCalls)
	}
	isActive := l.active
	client.mu.Unlock()
	switch {
	case isActive:
		l.group.associationUp(a.isupSender(client.PointCode, l.PointCode))
		l.group.announceStanding()
		client.publishReachable()
		l.publishReport()
	case wasActive:
		unanswered := l.group.associationDown()
		client.publishReachable()
		keys := make([]string, len(unanswered))
		for i, c := range unanswered {
			keys[i] = c.key
			// The far end may still have the circuit in use, so it is released before it is seized again.
			l.group.release(c, core.TemporaryFailure, 0)
		}
		if len(keys) > 0 {
			client.events.Lost(brookmux.SwitchID(l.ID), keys, core.Loss{Reason: core.LossConnection, Outcome: lostOutcome})
		}
	}
}

// farEndRefused handles a refused connection: the far end's process has ended. Its calls are over, unless it has call keys:
// such a far end takes its calls up again after a restart.
func (l *link) farEndRefused() {
	l.client.mu.Lock()
	cut := !l.callKeys && l.cutTimer != nil && l.cutTimer.Stop()
	l.client.mu.Unlock()
	if cut {
		l.cutCalls()
	}
}

// cutCalls ends the standing calls of the link and releases all its circuits, unless an association is active again.
func (l *link) cutCalls() {
	l.client.mu.Lock()
	active := l.active
	l.client.mu.Unlock()
	if !active {
		id, events := brookmux.SwitchID(l.ID), l.client.events
		events.Lost(id, nil, core.Loss{Reason: core.LossSilent, Cut: true, Outcome: lostOutcome})
		for _, key := range l.group.releaseAll(core.TemporaryFailure) {
			events.Ended(id, key, lostOutcome)
		}
	}
}

// publishReachable passes the exchanges that can be reached to onReachable.
func (c *Client) publishReachable() {
	c.mu.Lock()
	var reachable []brookmux.Switch
	for _, config := range c.Links {
		if l := c.links[brookmux.SwitchID(config.ID)]; l.active && !l.unreachable {
			reachable = append(reachable, brookmux.Switch{ID: brookmux.SwitchID(config.ID), Number: config.Number,
				Zone: config.Zone, State: brookmux.Ready})
		}
	}
	c.mu.Unlock()
	c.onReachable(reachable)
}

// currentReport returns the number of circuits of the link and how many of them are free.
func (l *link) currentReport() brookmux.Report {
	r := settings.EmptyReport()
	r.Size = float64(l.Circuits)
	r.Free = max(0, r.Size-float64(l.group.numUsed()))
	return r
}

// publishReport sends the current report to the core.
func (l *link) publishReport() {
	l.client.events.Reported(brookmux.SwitchID(l.ID), l.currentReport(), true)
}

// SetUp implements core.Trunks. An attempt that fails before anything is sent is reported from another goroutine, since
// SetUp is called on the core's goroutine and must not call back into the core.
func (c *Client) SetUp(to brookmux.SwitchID, attempt core.Attempt) {
	l := c.links[to]
	category, ok := c.categories[attempt.Class]
	c.mu.Lock()
	active := l.active && !l.unreachable
	c.mu.Unlock()
	o := core.Outcome{Result: brookmux.ResultMoot, Reason: brookmux.ReasonNoCircuit}
	if !validNumber(attempt.Number) || !descriptionFits(attempt.Description) {
		// The message would not hold it: the far end would receive another number or description than the caller sent.
		o = core.Outcome{Result: brookmux.ResultError}
	} else if !ok || !active {
		o = core.Outcome{Result: brookmux.ResultConnectFailed}
	} else if circ := l.group.seizeAny(l.Circuits, attempt.Key); circ != nil {
		l.group.sendMessage(isupMessage{cic: circ.cic, kind: kindIAM, category: category, number: attempt.Number,
			timeout: attempt.Timeout, description: attempt.Description, keys: callKeys{client: attempt.Key}})
		return
	}
	// The controller has already counted the attempt's circuits as in use; the report corrects that.
	o.Report = l.currentReport()
	go c.events.Lost(to, []string{attempt.Key}, core.Loss{Reason: core.LossNotReached, Outcome: o})
}

// Release implements core.Trunks. A key that has no circuit here, or whose circuit is already being released, is
// ignored.
func (c *Client) Release(to brookmux.SwitchID, key string, cause core.Cause) {
	if l := c.links[to]; l != nil {
		l.group.release(l.group.findCall(key), cause, 0)
	}
}

// ReleaseAnywhere implements core.Trunks. It releases the call of an earlier process if a far end has announced it, and
// otherwise as soon as one does.
func (c *Client) ReleaseAnywhere(key string, cause core.Cause) {
	if len(c.links) == 0 {
		return
	}
	c.unclaimed.add(key, cause, time.Now()) // before the search: the call may be announced meanwhile
	for _, l := range c.links {
		if circ := l.group.findCall(key); circ != nil {
			c.unclaimed.take(key, time.Now())
			l.group.release(circ, cause, 0)
			return
		}
	}
}

// handleISUP handles an ISUP message from the exchange. An ANM or RLC that does not match the phase of its circuit is
// ignored; a REL is always confirmed.
func (l *link) handleISUP(d protocolData, m isupMessage) error {
	id, events := brookmux.SwitchID(l.ID), l.client.events
	c, callPhase := l.group.lookup(m.cic)
	switch m.kind {
	case kindANM:
		if l.group.markAnswered(c, m.keys) {
			events.Answered(id, c.key, m.description, l.currentReport())
		} else if m.keys.client != "" && m.cic > 0 && int(m.cic) <= l.Circuits {
			l.adopt(m)
		}
	case kindREL:
		l.handleREL(c, callPhase, m)
	case kindRLC:
		if callPhase == releasing {
			l.group.free(m.cic)
			l.publishReport()
		}
	case kindIAM:
		// Only the end that opened the association may seize circuits, so an IAM from the far end is rejected.
		l.group.sendMessage(isupMessage{cic: m.cic, kind: kindREL, cause: core.NotImplemented})
	}
	return nil
}

// handleREL handles and confirms a REL on a circuit, c, which is nil if it is not in use here.
func (l *link) handleREL(c *circuit, callPhase phase, m isupMessage) {
	id, events := brookmux.SwitchID(l.ID), l.client.events
	l.group.free(m.cic)
	l.group.sendMessage(isupMessage{cic: m.cic, kind: kindRLC})
	o := releaseOutcome(m)
	o.Report = l.currentReport()
	sameCall := c != nil && !c.keys.differ(m.keys)
	switch {
	case sameCall && callPhase != releasing:
		events.Ended(id, c.key, o)
	case sameCall || m.keys.client == "":
		l.publishReport()
	default: // the end of a call of an earlier process
		if c != nil && callPhase == seized {
			l.reportDisplaced(c)
		}
		events.Ended(id, m.keys.client, o)
	}
}

// adopt handles an ANM for a call that stands on a circuit and was set up by an earlier process.
func (l *link) adopt(m isupMessage) {
	adopted, displaced := l.group.adopt(m.cic, m.keys.client, m.keys, nil)
	if displaced != nil {
		l.reportDisplaced(displaced)
	}
	if adopted == nil {
		return
	}
	l.client.log.Info("m3ua call of an earlier process", "exchange", l.Number, "cic", m.cic, "call", adopted.key)
	if cause, released := l.client.unclaimed.take(adopted.key, time.Now()); released {
		l.group.release(adopted, cause, 0)
	}
	l.publishReport()
}

// reportDisplaced reports an attempt whose circuit the far end has in use for an earlier call: it dropped the IAM.
func (l *link) reportDisplaced(c *circuit) {
	o := core.Outcome{Result: brookmux.ResultMoot, Reason: brookmux.ReasonNoCircuit, Report: l.currentReport()}
	l.client.events.Lost(brookmux.SwitchID(l.ID), []string{c.key}, core.Loss{Reason: core.LossNotReached, Outcome: o})
}

// releaseOutcome translates a REL to the outcome of its attempt or call, by its cause (see the table in the README).
func releaseOutcome(m isupMessage) core.Outcome {
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
