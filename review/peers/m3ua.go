//go:build review2

package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Message classes and types of M3UA (RFC 4666, 3.1), as class<<8 | type.
const (
	mgmtError    = 0x0000
	mgmtNotify   = 0x0001
	transferData = 0x0101
	aspUp        = 0x0301
	beat         = 0x0303
	aspUpAck     = 0x0304
	beatAck      = 0x0306
	aspActive    = 0x0401
	aspActiveAck = 0x0403
)

// Parameter tags of M3UA.
const (
	tagRoutingContext = 0x0006
	tagHeartbeat      = 0x0009
	tagASPID          = 0x0011
	tagProtocolData   = 0x0210
)

// Message types and parameters of ISUP (Q.763).
const (
	iam = 0x01
	acm = 0x06
	anm = 0x09
	rel = 0x0c
	rlc = 0x10

	paramDelayCounter = 0x31 // propagation delay counter: the caller's time in milliseconds
	paramUserToUser   = 0x20
	category          = 10 // ordinary subscriber
	normalClearing    = 16
	serviceISUP       = 5
)

// isupNames names the messages in the record.
var isupNames = map[byte]string{iam: "IAM", acm: "ACM", anm: "ANM", rel: "REL", rlc: "RLC"}

// isup is an ISUP message without call keys: the stand-ins speak the published protocol only.
type isup struct {
	cic   uint16
	kind  byte
	cause byte          // REL
	wait  time.Duration // IAM
	text  string        // IAM and ANM: the description
}

// encode returns the message as octets.
func (m isup) encode() []byte {
	b := binary.LittleEndian.AppendUint16(nil, m.cic)
	b = append(b, m.kind)
	switch m.kind {
	case iam:
		b = append(b, 0, 0, 0, category, 0, 2, 8, 6, 0x02, 0x10, 0x21, 0x43, 0x65, 0x87)
		b = append(b, paramDelayCounter, 4)
		b = binary.BigEndian.AppendUint32(b, uint32(m.wait.Milliseconds()))
		b = append(b, paramUserToUser, byte(1+len(m.text)), 0)
		b = append(append(b, m.text...), 0)
	case acm:
		b = append(b, 0, 0, 0)
	case anm:
		b = append(b, 1, paramUserToUser, byte(1+len(m.text)), 0)
		b = append(append(b, m.text...), 0)
	case rel:
		b = append(b, 2, 0, 2, 0x80, 0x80|m.cause)
	case rlc:
		b = append(b, 0)
	}
	return b
}

// decodeISUP decodes what the stand-ins use of a message.
func decodeISUP(b []byte) (isup, error) {
	if len(b) < 3 {
		return isup{}, errors.New("ISUP message is too short")
	}
	m := isup{cic: binary.LittleEndian.Uint16(b), kind: b[2]}
	if m.kind == rel && len(b) >= 8 {
		m.cause = b[7] & 0x7f
	}
	return m, nil
}

// link is one association, at either end.
type link struct {
	trial    *trial
	who      string
	conn     net.Conn
	opc, dpc uint32
	server   bool
	onISUP   func(*link, isup)
	active   chan struct{} // closed when the association has become active

	mu sync.Mutex
}

// send writes an M3UA message with parameters that are encoded already.
func (l *link) send(kind uint16, params []byte) error {
	b := append([]byte{1, 0, byte(kind >> 8), byte(kind)}, 0, 0, 0, 0)
	b = append(b, params...)
	binary.BigEndian.PutUint32(b[4:], uint32(len(b)))
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := l.conn.Write(b)
	return err
}

// param encodes a parameter with its padding.
func param(tag uint16, value []byte) []byte {
	b := binary.BigEndian.AppendUint16(nil, tag)
	b = binary.BigEndian.AppendUint16(b, uint16(4+len(value)))
	b = append(b, value...)
	for len(b)%4 != 0 {
		b = append(b, 0)
	}
	return b
}

// number encodes a parameter that is one 32-bit number.
func number(tag uint16, v uint32) []byte { return param(tag, binary.BigEndian.AppendUint32(nil, v)) }

// sendISUP sends an ISUP message.
func (l *link) sendISUP(m isup) {
	b := binary.BigEndian.AppendUint32(nil, l.opc)
	b = binary.BigEndian.AppendUint32(b, l.dpc)
	b = append(b, serviceISUP, 0, 0, byte(m.cic))
	b = append(b, m.encode()...)
	l.trial.log(l.who, "sends %s on circuit %d %s", isupNames[m.kind], m.cic, m.detail())
	if err := l.send(transferData, append(number(tagRoutingContext, 1), param(tagProtocolData, b)...)); err != nil {
		l.trial.log(l.who, "not sent: %v", err)
	}
}

// detail describes a message for the record.
func (m isup) detail() string {
	switch m.kind {
	case rel:
		return fmt.Sprintf("cause %d", m.cause)
	case iam:
		return fmt.Sprintf("waits %d ms, %q", m.wait.Milliseconds(), m.text)
	}
	return ""
}

// run handles messages until the association ends.
func (l *link) run() {
	r := bufio.NewReader(l.conn)
	for {
		var header [8]byte
		if _, err := io.ReadFull(r, header[:]); err != nil {
			l.trial.log(l.who, "association ended: %v", err)
			return
		}
		size := binary.BigEndian.Uint32(header[4:])
		if size < 8 || size > maxMessage {
			return
		}
		body := make([]byte, size-8)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		if err := l.handle(uint16(header[2])<<8|uint16(header[3]), body); err != nil {
			l.trial.log(l.who, "association ended: %v", err)
			return
		}
	}
}

// handle handles one message.
func (l *link) handle(kind uint16, body []byte) error {
	switch kind {
	case aspUp:
		return l.send(aspUpAck, nil)
	case aspUpAck:
		return l.send(aspActive, number(tagRoutingContext, 1))
	case aspActive:
		defer l.markActive()
		return l.send(aspActiveAck, number(tagRoutingContext, 1))
	case aspActiveAck:
		l.markActive()
	case beat:
		return l.send(beatAck, body)
	case mgmtError:
		l.trial.log(l.who, "got ERR %x", body)
	case transferData:
		return l.handleData(body)
	}
	return nil
}

// markActive records that the association is active.
func (l *link) markActive() {
	select {
	case <-l.active:
	default:
		l.trial.log(l.who, "association active")
		close(l.active)
	}
}

// handleData passes on the ISUP message of a DATA message.
func (l *link) handleData(body []byte) error {
	for len(body) >= 4 {
		tag, n := binary.BigEndian.Uint16(body), int(binary.BigEndian.Uint16(body[2:]))
		padded := (n + 3) &^ 3
		if n < 4 || padded > len(body) {
			return errors.New("invalid parameter")
		}
		if tag == tagProtocolData && n >= 16 {
			m, err := decodeISUP(body[16:n])
			if err != nil {
				return err
			}
			l.trial.log(l.who, "got %s on circuit %d %s", isupNames[m.kind], m.cic, m.detail())
			l.onISUP(l, m)
		}
		body = body[padded:]
	}
	return nil
}

// reset ends the association as the end of a process does.
func (l *link) reset() {
	if c, ok := l.conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	l.conn.Close()
}

// peerASP is a stand-in peer: an exchange whose own border controller calls over M3UA. It opens the association, seizes the
// free circuits from the first one on, and forgets everything when its process dies.
type peerASP struct {
	trial   *trial
	address string
	dpc     uint32

	mu      sync.Mutex
	link    *link
	calls   map[uint16]*peerCall // by circuit
	history []*peerCall
}

// peerCall is a call of the peer.
type peerCall struct {
	cic      uint16
	text     string
	sentAt   time.Time
	answer   string    // ANM or REL, empty while there is none
	answered time.Time // when that came
	released time.Time // when a REL came after the ANM
}

// newPeer returns a peer that is not connected.
func newPeer(t *trial, address string, dpc uint32) *peerASP {
	return &peerASP{trial: t, address: address, dpc: dpc, calls: map[uint16]*peerCall{}}
}

const (
	peerPointCode  = 200
	associationMax = 5 * time.Second // until the association has to be active
	redialInterval = 200 * time.Millisecond
)

// connect opens the association and returns once it is active.
func (p *peerASP) connect() error {
	for began := time.Now(); time.Since(began) < associationMax; time.Sleep(redialInterval) {
		conn, err := net.DialTimeout("tcp", p.address, time.Second)
		if err != nil {
			continue
		}
		l := &link{trial: p.trial, who: "m3ua peer", conn: conn, opc: peerPointCode, dpc: p.dpc, active: make(chan struct{}), onISUP: p.handle}
		go l.run()
		if err := l.send(aspUp, number(tagASPID, 1)); err != nil {
			continue
		}
		select {
		case <-l.active:
		case <-time.After(time.Second):
			l.conn.Close()
			continue
		}
		p.mu.Lock()
		p.link = l
		p.mu.Unlock()
		return nil
	}
	return errors.New("the association of the M3UA peer did not become active")
}

// die ends the peer's process: its association is reset and its calls are forgotten.
func (p *peerASP) die() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trial.log("m3ua peer", "its process dies, with all that it knew")
	p.link.reset()
	p.calls = map[uint16]*peerCall{}
}

// call seizes the first free circuit for a call.
func (p *peerASP) call(text string, wait time.Duration) *peerCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	cic := uint16(1)
	for p.calls[cic] != nil {
		cic++
	}
	c := &peerCall{cic: cic, text: text, sentAt: time.Now()}
	p.calls[cic] = c
	p.history = append(p.history, c)
	p.link.sendISUP(isup{cic: cic, kind: iam, wait: wait, text: text})
	return c
}

// handle handles a message from the controller.
func (p *peerASP) handle(l *link, m isup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.calls[m.cic]
	switch m.kind {
	case anm:
		if c != nil && c.answer == "" {
			c.answer, c.answered = "ANM", time.Now()
		}
	case rel:
		l.sendISUP(isup{cic: m.cic, kind: rlc})
		if c == nil {
			return
		}
		if c.answer == "" {
			c.answer, c.answered = fmt.Sprintf("REL %d", m.cause), time.Now()
		} else {
			c.released = time.Now()
		}
		delete(p.calls, m.cic)
	}
}

// state returns a copy of what is known of a call.
func (p *peerASP) state(c *peerCall) peerCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return *c
}

// exchange is a stand-in exchange that is reached over M3UA. It answers each call. When its process dies, its
// associations are reset and its calls are cut.
type exchange struct {
	trial   *trial
	address string

	mu       sync.Mutex
	listener net.Listener
	links    []*link
	calls    map[uint16]bool // circuits in use; true once the call stands
	life     int             // number of its process
	stood    int
}

// newExchange starts an exchange.
func newExchange(t *trial) (*exchange, error) {
	x := &exchange{trial: t, calls: map[uint16]bool{}}
	l, err := net.Listen("tcp", net.JoinHostPort(t.host, "0"))
	if err != nil {
		return nil, err
	}
	x.address, x.listener = l.Addr().String(), l
	go x.accept(l)
	return x, nil
}

const (
	exchangePointCode   = 105
	controllerPointCode = 100
)

// accept serves associations until the listener is closed.
func (x *exchange) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l := &link{trial: x.trial, who: "m3ua exch", conn: conn, opc: exchangePointCode, dpc: controllerPointCode, server: true,
			active: make(chan struct{}), onISUP: x.handle}
		x.mu.Lock()
		x.links = append(x.links, l)
		x.mu.Unlock()
		go l.run()
	}
}

// handle handles a message from the controller.
func (x *exchange) handle(l *link, m isup) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch m.kind {
	case iam:
		if _, busy := x.calls[m.cic]; busy {
			return
		}
		x.calls[m.cic] = false
		life := x.life
		l.sendISUP(isup{cic: m.cic, kind: acm})
		time.AfterFunc(coreWork, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if stands, known := x.calls[m.cic]; x.life == life && known && !stands {
				x.calls[m.cic] = true
				x.stood++
				l.sendISUP(isup{cic: m.cic, kind: anm, text: "answer of the exchange"})
			}
		})
	case rel:
		delete(x.calls, m.cic)
		l.sendISUP(isup{cic: m.cic, kind: rlc})
	}
}

// die ends the process: it no longer listens, its associations are reset, and its calls are cut.
func (x *exchange) die() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.trial.log("m3ua exch", "its process dies: %d calls are cut", len(x.calls))
	x.listener.Close()
	for _, l := range x.links {
		l.reset()
	}
	x.links, x.calls = nil, map[uint16]bool{}
	x.life++
	return time.Now()
}

// comeBack starts the process again, with no calls, at its address.
func (x *exchange) comeBack() error {
	var l net.Listener
	var err error
	if !await(time.Second, func() bool { l, err = net.Listen("tcp", x.address); return err == nil }) {
		return err
	}
	x.trial.log("m3ua exch", "its process is back, without calls")
	x.mu.Lock()
	x.listener = l
	x.mu.Unlock()
	go x.accept(l)
	return nil
}
