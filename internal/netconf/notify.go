package netconf

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/beevik/etree"

	"brookmux/internal/datastore"
	"brookmux/internal/schema"
	"brookmux/internal/transact"
)

// XML namespaces of notifications (RFC 5277) and of netconf-config-change (RFC 6470).
const (
	notificationNS = "urn:ietf:params:xml:ns:netconf:notification:1.0"
	configChangeNS = "urn:ietf:params:xml:ns:yang:ietf-netconf-notifications"
)

// Limits of the event stream, in events and edits.
const (
	maxKeptEvents   = 256 // stored for replay
	maxQueuedEvents = 64  // queued for one subscriber; a slower subscriber is disconnected
	maxListedEdits  = 64  // listed in one netconf-config-change
)

// event is a notification: its time and its content as XML.
type event struct {
	eventTime    time.Time
	module, name string // for access control; empty for replayComplete and notificationComplete
	body         []byte
}

// eventStream is the only event stream, NETCONF (RFC 5277, 3.2.3). It is safe for concurrent use.
type eventStream struct {
	mu          sync.Mutex
	replay      []event
	subscribers map[*session]chan event
}

// newEventStream returns a stream without events and subscribers.
func newEventStream() *eventStream { return &eventStream{subscribers: map[*session]chan event{}} }

// publish queues an event for each subscriber and stores it for replay. It never blocks: a subscriber whose queue is
// full is disconnected.
func (s *eventStream) publish(e event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replay = append(s.replay, e); len(s.replay) > maxKeptEvents {
		s.replay = slices.Clone(s.replay[len(s.replay)-maxKeptEvents:])
	}
	for sess, c := range s.subscribers {
		select {
		case c <- e:
		default:
			sess.log.Warn("netconf subscriber too slow")
			close(c)
			delete(s.subscribers, sess)
			sess.conn.Close()
		}
	}
}

// subscribe registers a session and returns its queue, which is closed when the subscription ends, and the stored
// events from start on. With a zero start it returns no stored events.
func (s *eventStream) subscribe(sess *session, start time.Time) (<-chan event, []event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(chan event, maxQueuedEvents)
	s.subscribers[sess] = c
	var replayed []event
	if !start.IsZero() {
		for _, e := range s.replay {
			if !e.eventTime.Before(start) {
				replayed = append(replayed, e)
			}
		}
	}
	return c, replayed
}

// unsubscribe ends the subscription of a session, if it has one, and closes its queue.
func (s *eventStream) unsubscribe(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.subscribers[sess]; ok {
		close(c)
		delete(s.subscribers, sess)
	}
}

// createSubscription handles create-subscription (RFC 5277, 2.1.1). Notifications are sent from another goroutine.
func (sess *session) createSubscription(op *etree.Element) ([]byte, error) {
	if err := checkParams(op, "stream", "filter", "startTime", "stopTime"); err != nil {
		return nil, err
	}
	if name := childText(op, "stream"); name != "" && name != "NETCONF" {
		return nil, invalidValue("stream", "there is no stream "+name)
	}
	if onlyChild(op, "filter") != nil {
		return nil, protocolError("operation-not-supported", "filters on events are not supported", [2]string{"bad-element", "filter"})
	}
	if sess.subscribed {
		return nil, protocolError("in-use", "this session has a subscription")
	}
	var start, stop time.Time
	for name, param := range map[string]*time.Time{"startTime": &start, "stopTime": &stop} {
		if v := childText(op, name); v != "" {
			t, err := time.Parse(time.RFC3339, v)
			if err != nil {
				return nil, invalidValue(name, "a date and time is needed")
			}
			*param = t
		}
	}
	switch now := sess.server.Now(); {
	case start.After(now):
		return nil, invalidValue("startTime", "it lies ahead")
	case !stop.IsZero() && start.IsZero():
		return nil, missingElement("startTime")
	case !stop.IsZero() && !stop.After(start):
		return nil, invalidValue("stopTime", "it lies before startTime")
	}
	sess.subscribed = true
	c, replayed := sess.server.stream.subscribe(sess, start)
	go sess.sendEvents(c, replayed, !start.IsZero(), stop)
	return nil, nil
}

// sendEvents sends the replayed events, then those of the queue, until the subscription ends or the time stop (if not
// zero) is reached. Events that the user may not receive are skipped. The first notifications may be sent before the
// reply to create-subscription, which RFC 5277 permits: each is a separate message.
func (sess *session) sendEvents(c <-chan event, replayed []event, replay bool, stop time.Time) {
	send := func(e event) bool {
		if !stop.IsZero() && e.eventTime.After(stop) {
			return false
		}
		if rules := sess.nacmRules(); rules != nil && e.name != "" && !rules.MayReceive(sess.dsSession.User, e.module, e.name) {
			return true
		}
		if err := sess.send(notificationXML(e)); err != nil {
			sess.conn.Close()
			return false
		}
		return true
	}
	for _, e := range replayed {
		if !send(e) {
			break
		}
	}
	if replay && !send(event{eventTime: sess.server.Now(), body: []byte(`<replayComplete xmlns="urn:ietf:params:xml:ns:netmod:notification"/>`)}) {
		return
	}
	var stopped <-chan time.Time
	if !stop.IsZero() {
		t := time.NewTimer(stop.Sub(sess.server.Now()))
		defer t.Stop()
		stopped = t.C
	}
	for {
		select {
		case e, open := <-c:
			if !open || !send(e) {
				return
			}
		case <-stopped:
			sess.server.stream.unsubscribe(sess)
			_ = sess.send(notificationXML(event{eventTime: stop, body: []byte(`<notificationComplete xmlns="urn:ietf:params:xml:ns:netmod:notification"/>`)}))
			return
		}
	}
}

// notificationXML returns an event as a notification message.
func notificationXML(e event) []byte {
	return []byte(`<notification xmlns="` + notificationNS + `"><eventTime>` + e.eventTime.UTC().Format(time.RFC3339Nano) + "</eventTime>" +
		string(e.body) + "</notification>")
}

// configChangeXML returns a transaction as a netconf-config-change (RFC 6470, 2.1).
func configChangeXML(m *schema.Model, e transact.Event) []byte {
	var b bytes.Buffer
	b.WriteString(`<netconf-config-change xmlns="` + configChangeNS + `"><changed-by>`)
	if e.User == "" {
		b.WriteString("<server/>")
	} else {
		writeElement(&b, "username", e.User)
		writeElement(&b, "session-id", fmt.Sprint(e.Session))
	}
	b.WriteString("</changed-by>")
	store := datastore.Running
	if e.Kind == datastore.KindStartup {
		store = datastore.Startup
	}
	writeElement(&b, "datastore", string(store))
	for i, c := range e.Changes {
		if i == maxListedEdits {
			break // a client reads the remaining changes with get-config
		}
		path, declarations := qualifyPath(m, c.Path)
		b.WriteString("<edit><target" + declarations + ">")
		writeEscaped(&b, path)
		b.WriteString("</target>")
		op := "replace"
		if c.Old == nil {
			op = "create"
		} else if c.New == nil {
			op = "delete"
		}
		writeElement(&b, "operation", op)
		b.WriteString("</edit>")
	}
	b.WriteString("</netconf-config-change>")
	return b.Bytes()
}
