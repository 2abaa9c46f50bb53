package netconf

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/beevik/etree"

	"brookmux/internal/datastore"
	"brookmux/internal/nacm"
	"brookmux/internal/schema"
	"brookmux/internal/transact"
)

// The base capabilities.
const (
	base10 = "urn:ietf:params:netconf:base:1.0"
	base11 = "urn:ietf:params:netconf:base:1.1"
)

// capabilities are what a server says beside its modules (RFC 6241, 8; RFC 6243, 4; RFC 5277, 3 and 6).
var capabilities = []string{base10, base11,
	"urn:ietf:params:netconf:capability:writable-running:1.0",
	"urn:ietf:params:netconf:capability:candidate:1.0",
	"urn:ietf:params:netconf:capability:confirmed-commit:1.1",
	"urn:ietf:params:netconf:capability:rollback-on-error:1.0",
	"urn:ietf:params:netconf:capability:validate:1.1",
	"urn:ietf:params:netconf:capability:startup:1.0",
	"urn:ietf:params:netconf:capability:xpath:1.0",
	"urn:ietf:params:netconf:capability:with-defaults:1.0?basic-mode=explicit&also-supported=report-all,report-all-tagged,trim",
	"urn:ietf:params:netconf:capability:notification:1.0",
	"urn:ietf:params:netconf:capability:interleave:1.0",
	monitoring + "?module=ietf-netconf-monitoring&revision=2010-10-04",
}

// Config says what a Server is.
type Config struct {
	Owner *transact.Owner
	Model *schema.Model
	State func(tree *schema.Node) // adds what is seen to a copy of running; nil for nothing
	// Rules are those that hold for a user now (RFC 8341); nil: everybody may do everything. Who may change what is for
	// the Owner's store.
	Rules func(user string) *nacm.Rules
	Now   func() time.Time
	Log   *slog.Logger
}

// Server holds the sessions.
type Server struct {
	Config
	stream *stream

	mu   sync.Mutex
	live map[datastore.SessionID]*session
}

// NewServer returns a Server without sessions.
func NewServer(c Config) *Server {
	return &Server{Config: c, stream: newStream(), live: map[datastore.SessionID]*session{}}
}

// session is one client's connection.
type session struct {
	server *Server
	who    datastore.Session
	conn   io.Closer
	log    *slog.Logger
	ending bool // after the present reply
	subbed bool

	mu    sync.Mutex // of the framer's writing half
	frame framer
}

// Serve speaks with one client until its connection or session ends, and closes the connection. The user is who the
// transport says it is.
func (s *Server) Serve(conn io.ReadWriteCloser, user string) error {
	defer conn.Close()
	var who datastore.Session
	err := s.Owner.Do(func(d *datastore.Store) (err error) {
		who, err = d.Open(user, "netconf")
		return err
	})
	if err != nil {
		return fmt.Errorf("netconf: %w", err)
	}
	x := &session{server: s, who: who, conn: conn, frame: framer{r: bufio.NewReader(conn), w: conn},
		log: s.Log.With("session", uint32(who.ID), "user", user)}
	s.mu.Lock()
	s.live[who.ID] = x
	s.mu.Unlock()
	x.log.Info("netconf session", "state", "open")
	err = x.run()
	s.mu.Lock()
	delete(s.live, who.ID)
	s.mu.Unlock()
	s.stream.leave(x)
	s.Owner.Close(who.ID) // its locks, and what waits for its confirmation
	x.log.Info("netconf session", "state", "closed", "error", err)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Close ends all sessions.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.live {
		x.conn.Close()
	}
}

// Told takes a transaction for those who have subscribed (RFC 6470: netconf-config-change).
func (s *Server) Told(e transact.Event) {
	if e.Kind != datastore.KindConfirm {
		s.stream.put(event{e.At, "ietf-netconf-notifications", "netconf-config-change", change(s.Model, e)})
	}
}

// Event tells those who have subscribed of something beside the configuration, by a notification of the module
// brookmux-events with its leaves; those without a value are left out.
func (s *Server) Event(name string, leaves ...[2]string) {
	var b bytes.Buffer
	b.WriteString("<" + name + ` xmlns="urn:brookmux:events">`)
	for _, l := range leaves {
		if l[1] != "" {
			element(&b, l[0], l[1])
		}
	}
	b.WriteString("</" + name + ">")
	s.stream.put(event{s.Now(), "brookmux-events", name, b.Bytes()})
}

// run is a session from hello to its end.
func (x *session) run() error {
	if err := x.hello(); err != nil {
		return err
	}
	for !x.ending {
		message, err := x.frame.read()
		if err != nil {
			return err
		}
		if err := x.send(x.answer(message)); err != nil {
			return err
		}
	}
	return nil
}

// send writes a message; notifications come from another goroutine.
func (x *session) send(message []byte) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.frame.write(message)
}

// hello exchanges what both ends know (RFC 6241, 8.1).
func (x *session) hello() error {
	var b bytes.Buffer
	b.WriteString(`<hello xmlns="` + base + `"><capabilities>`)
	for _, c := range capabilities {
		element(&b, "capability", c)
	}
	element(&b, "capability", "urn:ietf:params:netconf:capability:yang-library:1.1?revision=2019-01-04&content-id="+x.server.Model.ID)
	for _, m := range x.server.Model.Modules {
		element(&b, "capability", m.Namespace+"?module="+m.Name+"&revision="+m.Revision)
	}
	fmt.Fprintf(&b, "</capabilities><session-id>%d</session-id></hello>", x.who.ID)
	sent := make(chan error, 1)
	go func() { sent <- x.send(b.Bytes()) }() // both ends may send first
	message, err := x.frame.read()
	if err != nil {
		x.conn.Close()
		<-sent
		return err
	}
	if err := <-sent; err != nil {
		return err
	}
	e, err := parse(message)
	if err != nil {
		return fmt.Errorf("netconf: hello: %w", err)
	}
	if e.Tag != "hello" || e.NamespaceURI() != base || only(e, "session-id") != nil {
		return errors.New("netconf: the first message is no hello of a client")
	}
	known := false
	if list := only(e, "capabilities"); list != nil {
		for _, c := range list.ChildElements() {
			switch c.Text() {
			case base11:
				x.frame.chunked = true
				known = true
			case base10:
				known = true
			}
		}
	}
	if !known {
		return errors.New("netconf: the client knows no base version")
	}
	return nil
}

// answer carries out one request and returns the reply.
func (x *session) answer(message []byte) []byte {
	var b bytes.Buffer
	b.WriteString(`<rpc-reply xmlns="` + base + `"`)
	rpc, err := parse(message)
	var body []byte
	switch {
	case err != nil:
		err = &rpcError{kind: "rpc", tag: "malformed-message", message: err.Error()}
	case rpc.Tag != "rpc" || rpc.NamespaceURI() != base:
		err = &rpcError{kind: "rpc", tag: "malformed-message", message: "it is no rpc"}
	default:
		for _, a := range rpc.Attr { // all of them come back (RFC 6241, 4.2)
			if a.Key != "xmlns" {
				b.WriteString(" " + a.FullKey() + `="`)
				escape(&b, a.Value)
				b.WriteString(`"`)
			}
		}
		if rpc.SelectAttr("message-id") == nil {
			err = &rpcError{kind: "rpc", tag: "missing-attribute", message: "message-id is missing",
				info: [][2]string{{"bad-attribute", "message-id"}, {"bad-element", "rpc"}}}
		} else {
			body, err = x.carryOut(rpc)
		}
	}
	b.WriteString(">")
	switch {
	case err != nil:
		for _, e := range rpcErrors(err) {
			x.log.Debug("netconf", "error", e)
			e.write(&b, x.server.Model)
		}
	case body == nil:
		b.WriteString("<ok/>")
	default:
		b.Write(body)
	}
	b.WriteString("</rpc-reply>")
	return b.Bytes()
}

// carryOut carries out the one operation of a request.
func (x *session) carryOut(rpc *etree.Element) ([]byte, error) {
	ops := rpc.ChildElements()
	if len(ops) != 1 {
		return nil, &rpcError{kind: "rpc", tag: "malformed-message", message: "one operation is needed"}
	}
	op := ops[0]
	f := rpcs[op.NamespaceURI()+" "+op.Tag]
	if f == nil {
		return nil, protocol("operation-not-supported", op.Tag+" is not known here", [2]string{"bad-element", op.Tag})
	}
	if r := x.rules(); r != nil && !r.Call(x.who.User, modules[op.NamespaceURI()], op.Tag) {
		return nil, protocol("access-denied", x.who.User+" may not call "+op.Tag)
	}
	return f(x, op)
}

// modules are those that the operations are of.
var modules = map[string]string{base: "ietf-netconf", monitoring: "ietf-netconf-monitoring", events: "notifications",
	history: "brookmux-transactions"}

// rules are those that hold for this session's user, or nil.
func (x *session) rules() *nacm.Rules {
	if x.server.Rules == nil {
		return nil
	}
	return x.server.Rules(x.who.User)
}
