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
	mostFaults  = 16                     // messages at fault, one after another, that end an association
	leaveWithin = 200 * time.Millisecond // the far end may take so long to end an association that this end has left
)

// State is that of an application server process (RFC 4666, 4.3.1).
type State int32

// The states of an ASP.
const (
	Down State = iota
	Inactive
	Active
)

// String returns the state's name.
func (s State) String() string { return [...]string{"down", "inactive", "active"}[s] }

// Status information of a NTFY about the application server's state.
const (
	statusAS       = 1 << 16
	statusInactive = statusAS | 2
	statusActive   = statusAS | 3
)

var (
	errSilent = errors.New("m3ua: heartbeat not acknowledged")
	errNotUp  = errors.New("m3ua: association did not become active in time")
	errFaults = errors.New("m3ua: too many messages at fault")
)

// session is one association, at either end of it.
type session struct {
	*stream.Writer
	conn    net.Conn
	log     *slog.Logger
	context uint32 // routing context

	state  atomic.Int32
	beaten atomic.Bool // the last heartbeat was acknowledged
	mu     sync.Mutex
	why    error // why this end closed it

	accept  func(asp uint32, named bool) *codeError // server: an ASP came up
	changed func(State)                             // called from the reader
	data    func(transfer, isup) error              // called from the reader, while active
	managed func(Message, []pointRange) error       // called from the reader, while active: a message of class SSNM
}

func newSession(conn net.Conn, context uint32, log *slog.Logger) *session {
	s := &session{Writer: stream.NewWriter(conn), conn: conn, context: context, log: log}
	s.beaten.Store(true)
	return s
}

// isup returns how to send ISUP messages between two point codes; that tells false if the association is over.
func (s *session) isup(opc, dpc uint32) func(isup) bool {
	return func(m isup) bool {
		t := transfer{opc: opc, dpc: dpc, si: siISUP, sls: uint8(m.cic), user: m.append(nil)}
		return s.say(t.message(s.context))
	}
}

// say sends a message.
func (s *session) say(m Message) bool { return s.Send(m.Append(nil)) }

// answer sends a message of one class and type with parameters.
func (s *session) answer(c Class, t Type, p ...Param) { s.say(Message{c, t, p}) }

// fail ends the association for a reason of this end.
func (s *session) fail(err error) {
	s.mu.Lock()
	if s.why == nil {
		s.why = err
	}
	s.mu.Unlock()
	s.Close()
}

// move enters a state.
func (s *session) move(to State) {
	if State(s.state.Swap(int32(to))) != to && s.changed != nil {
		s.changed(to)
	}
}

// run reads the association to its end. Its state is Down after that.
func (s *session) run(ctx context.Context, beat, ack time.Duration) error {
	defer context.AfterFunc(ctx, s.leave)()
	done := make(chan struct{})
	defer close(done)
	go s.watch(done, beat, ack)
	r, faults := bufio.NewReader(s.conn), 0
	for {
		m, err := Read(r)
		var told *codeError
		if err == nil {
			err = s.take(m)
		}
		if errors.As(err, &told) {
			s.answer(classMgmt, typeErr, word(paramErrorCode, told.code))
			if faults++; faults < mostFaults {
				s.log.Info("m3ua", "error", err)
				continue
			}
			err = errFaults
		}
		faults = 0
		if err != nil {
			s.move(Down)
			s.Finish()
			s.mu.Lock()
			defer s.mu.Unlock()
			return errors.Join(s.why, err)
		}
	}
}

// leave ends the association in order: what is queued is written, and what the far end still sends is read, until it ends
// the association as well, for a time at most.
func (s *session) leave() {
	s.HalfClose()
	time.AfterFunc(leaveWithin, s.Close)
}

// watch sends heartbeats and ends an association that does not become active or does not acknowledge.
func (s *session) watch(done chan struct{}, beat, ack time.Duration) {
	up, tick := time.NewTimer(ack), time.NewTicker(beat)
	defer up.Stop()
	defer tick.Stop()
	for n := uint32(1); ; {
		select {
		case <-done:
			return
		case <-up.C:
			// A client has nothing to wait for; to a server, an ASP that is up may stand by, and heartbeats
			// tell whether it is there.
			if state := State(s.state.Load()); state != Active && s.accept == nil || state == Down {
				s.fail(errNotUp)
			}
		case <-tick.C:
			if State(s.state.Load()) == Down {
				continue
			}
			if !s.beaten.Swap(false) {
				s.fail(errSilent)
				return
			}
			s.answer(classASPSM, typeBeat, word(paramBeat, n))
			n++
		}
	}
}

// take handles a message. Which messages are legal depends on the end: a server hears the ASP's wishes, a
// client their acknowledgements.
func (s *session) take(m Message) error {
	state := State(s.state.Load())
	unexpected := &codeError{errUnexpected, fmt.Sprintf("class %d type %d while %v", m.Class, m.Type, state)}
	server := s.accept != nil
	switch m.Class {
	case classMgmt:
		code, _ := m.Get(paramErrorCode)
		status, _ := m.Get(paramStatus)
		s.log.Info("m3ua management", "type", m.Type, "error", code, "status", status)
	case classTransfer:
		return s.transfer(m, state, unexpected)
	case classSSNM:
		return s.network(m, unexpected)
	case classASPSM:
		switch {
		case m.Type == typeUp && server:
			return s.up(m)
		case m.Type == typeDown && server:
			s.move(Down)
			s.answer(classASPSM, typeDownAck)
		case m.Type == typeBeat:
			data, _ := m.Get(paramBeat)
			s.answer(classASPSM, typeBeatAck, Param{paramBeat, data})
		case m.Type == typeBeatAck:
			s.beaten.Store(true)
		case m.Type == typeUpAck && !server:
			if state == Down {
				s.move(Inactive)
				s.answer(classASPTM, typeActive, word(paramContext, s.context))
			}
		case m.Type == typeDownAck && !server:
			s.move(Down)
		case m.Type >= typeUp && m.Type <= typeBeatAck:
			return unexpected
		default:
			return &codeError{errType, fmt.Sprintf("type %d of class %d", m.Type, m.Class)}
		}
	case classASPTM:
		switch {
		case m.Type == typeActive && server && state != Down:
			return s.activate(m)
		case m.Type == typeInactive && server && state != Down:
			s.move(Inactive)
			s.answer(classASPTM, typeInactiveAck, word(paramContext, s.context))
			s.answer(classMgmt, typeNtfy, word(paramStatus, statusInactive))
		case m.Type == typeActiveAck && !server && state != Down:
			s.move(Active)
		case m.Type == typeInactiveAck && !server && state != Down:
			s.move(Inactive)
		case m.Type >= typeActive && m.Type <= typeInactiveAck:
			return unexpected
		default:
			return &codeError{errType, fmt.Sprintf("type %d of class %d", m.Type, m.Class)}
		}
	default:
		return &codeError{errClass, fmt.Sprintf("class %d", m.Class)}
	}
	return nil
}

// up takes an ASPUP.
func (s *session) up(m Message) error {
	id, named := m.Get(paramASPID)
	var asp uint32
	if named = named && len(id) == 4; named {
		asp = binary.BigEndian.Uint32(id)
	}
	if err := s.accept(asp, named); err != nil {
		return err
	}
	s.move(Inactive)
	s.answer(classASPSM, typeUpAck)
	s.answer(classMgmt, typeNtfy, word(paramStatus, statusInactive))
	return nil
}

// activate takes an ASPAC.
func (s *session) activate(m Message) error {
	if c, ok := m.Get(paramContext); ok && (len(c) != 4 || binary.BigEndian.Uint32(c) != s.context) {
		return &codeError{errNoAS, "routing context"}
	}
	s.answer(classASPTM, typeActiveAck, word(paramContext, s.context))
	s.answer(classMgmt, typeNtfy, word(paramStatus, statusActive))
	s.move(Active)
	return nil
}

// transfer takes a DATA message.
func (s *session) transfer(m Message, state State, unexpected error) error {
	if m.Type != typeData {
		return &codeError{errType, fmt.Sprintf("type %d of class %d", m.Type, m.Class)}
	}
	if state != Active {
		return unexpected
	}
	t, err := readTransfer(m)
	if err != nil {
		return err
	}
	if t.si != siISUP {
		return &codeError{errProtocol, fmt.Sprintf("service indicator %d", t.si)}
	}
	u, err := parseISUP(t.user)
	if err != nil && u.kind == kindIAM && s.accept != nil {
		// A set-up that can't be read is owed its answer all the same: its circuit is known.
		s.log.Warn("m3ua", "cic", u.cic, "error", err)
		s.isup(t.dpc, t.opc)(isup{cic: u.cic, kind: kindREL, cause: causeProtocol})
		return nil
	}
	if err != nil {
		return &codeError{errProtocol, err.Error()}
	}
	return s.data(t, u)
}
