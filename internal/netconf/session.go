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

// Capabilities of the base protocol, versions 1.0 and 1.1.
const (
	base10 = "urn:ietf:params:netconf:base:1.0"
	base11 = "urn:ietf:params:netconf:base:1.1"
)

// capabilities are announced in the hello, in addition to the YANG library and the modules (RFC 6241, 8; RFC 6243, 4;
// RFC 5277, 3 and 6).
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
	monitoringNS + "?module=ietf-netconf-monitoring&revision=2010-10-04",
}

// Config configures a Server. Owner, Model, Now and Log are required.
type Config struct {
	Owner    *transact.Owner
	Model    *schema.Model
	AddState func(tree *schema.Node) // adds state data to a copy of running, may be nil
	// Rules returns the access control rules that now apply to a user (RFC 8341), or nil for unrestricted access. If
	// Rules is nil, access is unrestricted. The Owner's store checks write access to the configuration.
	Rules func(user string) *nacm.Rules
	Now   func() time.Time
	Log   *slog.Logger
}

// Server is a NETCONF server. It holds the open sessions and the event stream, and is safe for concurrent use.
type Server struct {
	Config
	stream *eventStream

	mu       sync.Mutex
	sessions map[datastore.SessionID]*session
}

// NewServer returns a Server without sessions. Serve adds one for each connection.
func NewServer(c Config) *Server {
	return &Server{Config: c, stream: newEventStream(), sessions: map[datastore.SessionID]*session{}}
}

// session is the NETCONF session of one client.
type session struct {
	server     *Server
	dsSession  datastore.Session
	conn       io.Closer
	log        *slog.Logger
	closing    bool // the session ends after the current reply
	subscribed bool // a subscription was created, at most one in a session

	writeMu sync.Mutex // guards the framer's writing side
	framer  framer
}

// Serve runs the session of one client until its connection or session ends, then closes the connection and releases
// the session's locks. user is the name that the transport has authenticated. An orderly end of the input is not an
// error.
func (s *Server) Serve(conn io.ReadWriteCloser, user string) error {
	defer conn.Close()
	var dsSession datastore.Session
	err := s.Owner.Do(func(d *datastore.Store) (err error) {
		dsSession, err = d.OpenSession(user, "netconf")
		return err
	})
	if err != nil {
		return fmt.Errorf("netconf: %w", err)
	}
	sess := &session{server: s, dsSession: dsSession, conn: conn, framer: framer{r: bufio.NewReader(conn), w: conn},
		log: s.Log.With("session", uint32(dsSession.ID), "user", user)}
	s.mu.Lock()
	s.sessions[dsSession.ID] = sess
	s.mu.Unlock()
	sess.log.Info("netconf session", "state", "open")
	err = sess.run()
	s.mu.Lock()
	delete(s.sessions, dsSession.ID)
	s.mu.Unlock()
	s.stream.unsubscribe(sess)
	s.Owner.CloseSession(dsSession.ID) // releases its locks and reverts its unconfirmed commit, unless that persists
	sess.log.Info("netconf session", "state", "closed", "error", err)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Close ends all sessions by closing their connections. It does not wait for them.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		sess.conn.Close()
	}
}

// PublishTransaction publishes a transaction to the subscribers, as a netconf-config-change (RFC 6470). A confirmation
// changes nothing and is not published.
func (s *Server) PublishTransaction(e transact.Event) {
	if e.Kind != datastore.KindConfirm {
		s.stream.publish(event{e.At, "ietf-netconf-notifications", "netconf-config-change", configChangeXML(s.Model, e)})
	}
}

// PublishEvent publishes a notification of the module brookmux-events to the subscribers. leaves are names and values;
// a leaf with an empty value is omitted.
func (s *Server) PublishEvent(name string, leaves ...[2]string) {
	var b bytes.Buffer
	b.WriteString("<" + name + ` xmlns="urn:brookmux:events">`)
	for _, l := range leaves {
		if l[1] != "" {
			writeElement(&b, l[0], l[1])
		}
	}
	b.WriteString("</" + name + ">")
	s.stream.publish(event{s.Now(), "brookmux-events", name, b.Bytes()})
}

// run exchanges the hellos and handles requests until the session ends or a read or write fails.
func (sess *session) run() error {
	if err := sess.hello(); err != nil {
		return err
	}
	for !sess.closing {
		message, err := sess.framer.read()
		if err != nil {
			return err
		}
		if err := sess.send(sess.handleMessage(message)); err != nil {
			return err
		}
	}
	return nil
}

// send writes a message. It is safe for concurrent use: notifications are sent from another goroutine.
func (sess *session) send(message []byte) error {
	sess.writeMu.Lock()
	defer sess.writeMu.Unlock()
	return sess.framer.write(message)
}

// hello sends and reads the hello messages and selects the framing (RFC 6241, 8.1).
func (sess *session) hello() error {
	var b bytes.Buffer
	b.WriteString(`<hello xmlns="` + baseNS + `"><capabilities>`)
	for _, c := range capabilities {
		writeElement(&b, "capability", c)
	}
	writeElement(&b, "capability", "urn:ietf:params:netconf:capability:yang-library:1.1?revision=2019-01-04&content-id="+sess.server.Model.ID)
	for _, m := range sess.server.Model.Modules {
		writeElement(&b, "capability", m.Namespace+"?module="+m.Name+"&revision="+m.Revision)
	}
	fmt.Fprintf(&b, "</capabilities><session-id>%d</session-id></hello>", sess.dsSession.ID)
	sent := make(chan error, 1)
	go func() { sent <- sess.send(b.Bytes()) }() // both peers may send first, so neither may wait for the other to read
	message, err := sess.framer.read()
	if err != nil {
		sess.conn.Close()
		<-sent
		return err
	}
	if err := <-sent; err != nil {
		return err
	}
	e, err := parseXML(message)
	if err != nil {
		return fmt.Errorf("netconf: hello: %w", err)
	}
	if e.Tag != "hello" || e.NamespaceURI() != baseNS || onlyChild(e, "session-id") != nil {
		return errors.New("netconf: the first message is not a client hello")
	}
	baseKnown := false
	if list := onlyChild(e, "capabilities"); list != nil {
		for _, c := range list.ChildElements() {
			switch c.Text() {
			case base11:
				sess.framer.chunked = true
				baseKnown = true
			case base10:
				baseKnown = true
			}
		}
	}
	if !baseKnown {
		return errors.New("netconf: the client supports no base version")
	}
	return nil
}

// handleMessage executes one request and returns the reply.
func (sess *session) handleMessage(message []byte) []byte {
	var b bytes.Buffer
	b.WriteString(`<rpc-reply xmlns="` + baseNS + `"`)
	rpc, err := parseXML(message)
	var body []byte
	switch {
	case err != nil:
		err = &rpcError{errorType: "rpc", tag: "malformed-message", message: err.Error()}
	case rpc.Tag != "rpc" || rpc.NamespaceURI() != baseNS:
		err = &rpcError{errorType: "rpc", tag: "malformed-message", message: "it is no rpc"}
	default:
		for _, a := range rpc.Attr { // the reply repeats all attributes of the rpc element (RFC 6241, 4.2)
			if a.Key != "xmlns" {
				b.WriteString(" " + a.FullKey() + `="`)
				writeEscaped(&b, a.Value)
				b.WriteString(`"`)
			}
		}
		if rpc.SelectAttr("message-id") == nil {
			err = &rpcError{errorType: "rpc", tag: "missing-attribute", message: "message-id is missing",
				info: [][2]string{{"bad-attribute", "message-id"}, {"bad-element", "rpc"}}}
		} else {
			body, err = sess.dispatch(rpc)
		}
	}
	b.WriteString(">")
	switch {
	case err != nil:
		for _, e := range toRPCErrors(err) {
			sess.log.Debug("netconf", "error", e)
			e.write(&b, sess.server.Model)
		}
	case body == nil:
		b.WriteString("<ok/>")
	default:
		b.Write(body)
	}
	b.WriteString("</rpc-reply>")
	return b.Bytes()
}

// dispatch calls the handler of the single operation in a request, if the user may call it.
func (sess *session) dispatch(rpc *etree.Element) ([]byte, error) {
	ops := rpc.ChildElements()
	if len(ops) != 1 {
		return nil, &rpcError{errorType: "rpc", tag: "malformed-message", message: "one operation is needed"}
	}
	op := ops[0]
	handler := rpcHandlers[op.NamespaceURI()+" "+op.Tag]
	if handler == nil {
		return nil, protocolError("operation-not-supported", op.Tag+" is not known here", [2]string{"bad-element", op.Tag})
	}
	if rules := sess.nacmRules(); rules != nil && !rules.MayCall(sess.dsSession.User, rpcModules[op.NamespaceURI()], op.Tag) {
		return nil, protocolError("access-denied", sess.dsSession.User+" may not call "+op.Tag)
	}
	return handler(sess, op)
}

// rpcModules maps the namespaces of the operations to module names, for access control.
var rpcModules = map[string]string{baseNS: "ietf-netconf", monitoringNS: "ietf-netconf-monitoring", notificationNS: "notifications",
	transactionsNS: "brookmux-transactions"}

// nacmRules returns the access control rules that now apply to the session's user, or nil for unrestricted access.
func (sess *session) nacmRules() *nacm.Rules {
	if sess.server.Rules == nil {
		return nil
	}
	return sess.server.Rules(sess.dsSession.User)
}
