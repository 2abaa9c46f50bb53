package m3ua

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"brookmux/internal/stream"
)

const (
	maxFaults    = 16                     // consecutive invalid messages that end an association without open set-ups
	closeTimeout = 200 * time.Millisecond // wait for the far end to close after this end has half-closed
)

// State is the state of an application server process, ASP (RFC 4666, 4.3.1).
type State int32

// The states of an ASP.
const (
	Down State = iota
	Inactive
	Active
)

// String returns the state's name, in lower case.
func (s State) String() string { return [...]string{"down", "inactive", "active"}[s] }

// Values of the status parameter of a NTFY that reports a state change of the application server (RFC 4666, 3.8.2).
const (
	statusAS       = 1 << 16
	statusInactive = statusAS | 2
	statusActive   = statusAS | 3
)

// infoCallKeys is the info string of the acknowledgement of ASPAC (RFC 4666, 3.7.2) by which a server says that it
// understands call keys.
const infoCallKeys = "call-keys"

var (
	errHeartbeat     = errors.New("m3ua: heartbeat not acknowledged")
	errNotActive     = errors.New("m3ua: association did not become active in time")
	errTooManyFaults = errors.New("m3ua: too many invalid messages")
)

// association is one association, at the server's or the client's end. Its callbacks must be set before serve.
type association struct {
	*stream.Writer
	conn           net.Conn
	log            *slog.Logger
	routingContext uint32

	state     atomic.Int32
	sendKeys  atomic.Bool // the far end understands call keys, and gets them
	beatAcked atomic.Bool // the last heartbeat was acknowledged
	mu        sync.Mutex
	closeErr  error // reason for which this end closed it; guarded by mu

	acceptASP func(asp uint32, hasID bool) *messageError // server only, else nil: an ASPUP arrived; an error rejects it
	hasOpen   func() bool                                // server only, else nil: a set-up of the peer is unanswered
	onState   func(State)                                // called from serve at a change of state
	onISUP    func(protocolData, isupMessage) error      // called from serve, while active
	onSSNM    func(Message, []pointCodeRange) error      // called from serve, while active: a message of class SSNM
}

// newAssociation returns an association over conn, with no heartbeat outstanding.
func newAssociation(conn net.Conn, routingContext uint32, log *slog.Logger) *association {
	a := &association{Writer: stream.NewWriter(conn), conn: conn, routingContext: routingContext, log: log}
	a.beatAcked.Store(true)
	return a
}

// isupSender returns a function that sends ISUP messages between two point codes. It returns false if the association
// has ended.
func (a *association) isupSender(opc, dpc uint32) func(isupMessage) bool {
	return func(m isupMessage) bool {
		if !a.sendKeys.Load() {
			m.keys = callKeys{}
		}
		d := protocolData{opc: opc, dpc: dpc, si: siISUP, sls: uint8(m.cic), payload: m.append(nil)}
		return a.sendMessage(d.toMessage(a.routingContext))
	}
}

// sendMessage queues a message. It returns false if the association has ended.
func (a *association) sendMessage(m Message) bool { return a.Send(m.Append(nil)) }

// sendParams queues a message of the given class and type with the given parameters.
func (a *association) sendParams(c Class, t Type, p ...Param) { a.sendMessage(Message{c, t, p}) }

// closeWithError closes the association and keeps the first such error for the result of serve.
func (a *association) closeWithError(err error) {
	a.mu.Lock()
	if a.closeErr == nil {
		a.closeErr = err
	}
	a.mu.Unlock()
	a.Close()
}

// setState sets the state and calls onState if it has changed.
func (a *association) setState(to State) {
	if State(a.state.Swap(int32(to))) != to && a.onState != nil {
		a.onState(to)
	}
}

// serve reads and handles messages until the association ends, or until the context ends and the association is closed
// gracefully. The state is then Down. It returns the error that ended the association.
func (a *association) serve(ctx context.Context, beatInterval, activeTimeout time.Duration) error {
	defer context.AfterFunc(ctx, a.closeGracefully)()
	done := make(chan struct{})
	defer close(done)
	go a.monitor(done, beatInterval, activeTimeout)
	r, faults := bufio.NewReader(a.conn), 0
	for {
		m, err := Read(r)
		var fault *messageError
		if err == nil {
			err = a.handle(m)
		}
		if errors.As(err, &fault) {
			a.sendParams(classMgmt, typeErr, uint32Param(paramErrorCode, fault.code))
			if faults++; faults < maxFaults || a.hasOpen != nil && a.hasOpen() { // an open set-up is owed its answer
				a.log.Info("m3ua", "error", err)
				continue
			}
			err = errTooManyFaults
		}
		faults = 0
		if err != nil {
			a.setState(Down)
			a.Finish()
			a.mu.Lock()
			defer a.mu.Unlock()
			return errors.Join(a.closeErr, err)
		}
	}
}

// closeGracefully half-closes the association after the queued messages are written. Input is still read until the far
// end closes the association as well, for closeTimeout at most.
func (a *association) closeGracefully() {
	a.HalfClose()
	time.AfterFunc(closeTimeout, a.Close)
}

// monitor sends heartbeats. It closes an association that does not become active within activeTimeout, or whose far end
// does not acknowledge a heartbeat before the next is due.
func (a *association) monitor(done chan struct{}, beatInterval, activeTimeout time.Duration) {
	activeTimer, ticker := time.NewTimer(activeTimeout), time.NewTicker(beatInterval)
	defer activeTimer.Stop()
	defer ticker.Stop()
	for n := uint32(1); ; {
		select {
		case <-done:
			return
		case <-activeTimer.C:
			// A client activates the association itself. At a server, an ASP may stay inactive as a standby; heartbeats
			// check that it responds.
			if state := State(a.state.Load()); state != Active && a.acceptASP == nil || state == Down {
				a.closeWithError(errNotActive)
			}
		case <-ticker.C:
			if State(a.state.Load()) == Down {
				continue
			}
			if !a.beatAcked.Swap(false) {
				a.closeWithError(errHeartbeat)
				return
			}
			a.sendParams(classASPSM, typeBeat, uint32Param(paramHeartbeat, n))
			n++
		}
	}
}

// handle handles a message. A server accepts the requests of the ASP, a client only the acknowledgements of its own
// requests.
func (a *association) handle(m Message) error {
	state := State(a.state.Load())
	unexpected := &messageError{codeUnexpectedMessage, fmt.Sprintf("class %d type %d while %v", m.Class, m.Type, state)}
	server := a.acceptASP != nil
	switch m.Class {
	case classMgmt:
		code, _ := m.Get(paramErrorCode)
		status, _ := m.Get(paramStatus)
		a.log.Info("m3ua management", "type", m.Type, "error", code, "status", status)
	case classTransfer:
		return a.handleData(m, state, unexpected)
	case classSSNM:
		return a.handleSSNM(m, unexpected)
	case classASPSM:
		switch {
		case m.Type == typeUp && server:
			return a.handleASPUp(m)
		case m.Type == typeDown && server:
			a.setState(Down)
			a.sendParams(classASPSM, typeDownAck)
		case m.Type == typeBeat:
			data, _ := m.Get(paramHeartbeat)
			a.sendParams(classASPSM, typeBeatAck, Param{paramHeartbeat, data})
		case m.Type == typeBeatAck:
			a.beatAcked.Store(true)
		case m.Type == typeUpAck && !server:
			if state == Down {
				a.setState(Inactive)
				a.sendParams(classASPTM, typeActive, uint32Param(paramRoutingContext, a.routingContext))
			}
		case m.Type == typeDownAck && !server:
			a.setState(Down)
		case m.Type >= typeUp && m.Type <= typeBeatAck:
			return unexpected
		default:
			return &messageError{codeUnsupportedType, fmt.Sprintf("type %d of class %d", m.Type, m.Class)}
		}
	case classASPTM:
		switch {
		case m.Type == typeActive && server && state != Down:
			return a.handleASPActive(m)
		case m.Type == typeInactive && server && state != Down:
			a.setState(Inactive)
			a.sendParams(classASPTM, typeInactiveAck, uint32Param(paramRoutingContext, a.routingContext))
			a.sendParams(classMgmt, typeNtfy, uint32Param(paramStatus, statusInactive))
		case m.Type == typeActiveAck && !server && state != Down:
			info, _ := m.Get(paramInfo)
			a.sendKeys.Store(string(info) == infoCallKeys)
			a.setState(Active)
		case m.Type == typeInactiveAck && !server && state != Down:
			a.setState(Inactive)
		case m.Type >= typeActive && m.Type <= typeInactiveAck:
			return unexpected
		default:
			return &messageError{codeUnsupportedType, fmt.Sprintf("type %d of class %d", m.Type, m.Class)}
		}
	default:
		return &messageError{codeUnsupportedClass, fmt.Sprintf("class %d", m.Class)}
	}
	return nil
}

// handleASPUp handles an ASPUP: if the ASP identifier is accepted, the state becomes Inactive.
func (a *association) handleASPUp(m Message) error {
	id, hasID := m.Get(paramASPID)
	var asp uint32
	if hasID = hasID && len(id) == 4; hasID {
		asp = binary.BigEndian.Uint32(id)
	}
	if err := a.acceptASP(asp, hasID); err != nil {
		return err
	}
	a.setState(Inactive)
	a.sendParams(classASPSM, typeUpAck)
	a.sendParams(classMgmt, typeNtfy, uint32Param(paramStatus, statusInactive))
	return nil
}

// handleASPActive handles an ASPAC. A routing context is optional, but must be the configured one. The acknowledgement
// is queued before the messages that onState sends.
func (a *association) handleASPActive(m Message) error {
	if value, ok := m.Get(paramRoutingContext); ok &&
		(len(value) != 4 || binary.BigEndian.Uint32(value) != a.routingContext) {
		return &messageError{codeNoAS, "unknown routing context"}
	}
	a.sendKeys.Store(true) // a peer that does not understand keys sends none, and gets none back
	a.sendParams(classASPTM, typeActiveAck, uint32Param(paramRoutingContext, a.routingContext),
		Param{paramInfo, []byte(infoCallKeys)})
	a.sendParams(classMgmt, typeNtfy, uint32Param(paramStatus, statusActive))
	a.setState(Active)
	return nil
}

// handleData parses the ISUP message in a DATA message and passes it to onISUP.
func (a *association) handleData(m Message, state State, unexpected error) error {
	if m.Type != typeData {
		return &messageError{codeUnsupportedType, fmt.Sprintf("type %d of class %d", m.Type, m.Class)}
	}
	if state != Active {
		return unexpected
	}
	d, err := parseProtocolData(m)
	if err != nil {
		return err
	}
	if d.si != siISUP {
		return &messageError{codeProtocolError, fmt.Sprintf("service indicator %d", d.si)}
	}
	msg, err := parseISUP(d.payload)
	if err != nil && msg.kind == kindIAM && a.acceptASP != nil {
		// An IAM with invalid parameters is still rejected with a REL, since its circuit is known.
		a.log.Warn("m3ua", "cic", msg.cic, "error", err)
		a.isupSender(d.dpc, d.opc)(isupMessage{cic: msg.cic, kind: kindREL, cause: causeProtocol})
		return nil
	}
	if err != nil {
		return &messageError{codeProtocolError, err.Error()}
	}
	return a.onISUP(d, msg)
}
