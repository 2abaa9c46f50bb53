package mgmt

import (
	"errors"
	"io"
	"time"

	"github.com/openconfig/gnmi/proto/gnmi"
	"github.com/openconfig/goyang/pkg/yang"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"brookmux/internal/store"
)

const minSampleInterval = time.Second // minimum interval of samples and heartbeats; shorter requests are raised to it

// subscription is one subscribed path of a subscriber.
type subscription struct {
	path              path
	onChange          bool              // send changes as they happen, else samples
	interval          time.Duration     // between samples or heartbeats, 0 for none
	suppressRedundant bool              // leave out values that have not changed since lastSent
	lastSent          map[string]string // values by path at the last sample or heartbeat
}

// Subscribe implements gnmi.GNMIServer. It sends values once, on each poll, or as they change and at intervals. A
// subscriber that lags too far behind the changes gets ResourceExhausted and has to subscribe again.
func (s *Server) Subscribe(stream gnmi.GNMI_SubscribeServer) error {
	r, err := stream.Recv()
	if err != nil {
		return err
	}
	list := r.GetSubscribe()
	if list == nil {
		return status.Error(codes.InvalidArgument, "the first message has to subscribe")
	}
	subs, err := s.parseSubscriptions(list)
	if err != nil {
		return err
	}
	// Watch before the first read, so that no change between the two is missed.
	changes, cancel := s.source.Watch()
	defer cancel()
	w := &streamWriter{server: s, stream: stream, encoding: list.GetEncoding()}
	if err := w.sendAll(subs, list.GetUpdatesOnly()); err != nil {
		return err
	}
	switch list.GetMode() {
	case gnmi.SubscriptionList_ONCE:
		return nil
	case gnmi.SubscriptionList_POLL:
		return w.servePolls(subs)
	}
	return w.streamChanges(subs, changes)
}

// parseSubscriptions checks a subscription list and returns its subscriptions.
func (s *Server) parseSubscriptions(list *gnmi.SubscriptionList) ([]*subscription, error) {
	if err := checkEncoding(list.GetEncoding()); err != nil {
		return nil, err
	}
	if err := s.schema.checkModels(list.GetUseModels()); err != nil {
		return nil, err
	}
	if len(list.GetSubscription()) == 0 {
		return nil, status.Error(codes.InvalidArgument, "nothing is subscribed to")
	}
	var out []*subscription
	for _, requested := range list.GetSubscription() {
		p, err := s.schema.pathFromGNMI(list.GetPrefix(), requested.GetPath())
		if err == nil {
			_, err = s.schema.entries(p)
		}
		if err != nil {
			return nil, modelStatus(err)
		}
		x := &subscription{path: p, onChange: requested.GetMode() != gnmi.SubscriptionMode_SAMPLE,
			suppressRedundant: requested.GetSuppressRedundant(), interval: time.Duration(requested.GetHeartbeatInterval())}
		if !x.onChange {
			x.interval = max(minSampleInterval, time.Duration(requested.GetSampleInterval()))
		} else if x.interval > 0 {
			x.interval = max(minSampleInterval, x.interval)
		}
		out = append(out, x)
	}
	return out, nil
}

// streamWriter sends notifications to one subscriber.
type streamWriter struct {
	server   *Server
	stream   gnmi.GNMI_SubscribeServer
	encoding gnmi.Encoding
}

// notify sends a notification with the current time, unless it has neither updates nor deletes.
func (w *streamWriter) notify(n *gnmi.Notification) error {
	if len(n.GetUpdate())+len(n.GetDelete()) == 0 {
		return nil
	}
	n.Timestamp = time.Now().UnixNano()
	return w.stream.Send(&gnmi.SubscribeResponse{Response: &gnmi.SubscribeResponse_Update{Update: n}})
}

// sendAll sends the current values, unless updatesOnly is set, and then the sync response.
func (w *streamWriter) sendAll(subs []*subscription, updatesOnly bool) error {
	for _, x := range subs {
		if n := w.currentValues(x); !updatesOnly {
			if err := w.notify(n); err != nil {
				return err
			}
		}
	}
	return w.stream.Send(&gnmi.SubscribeResponse{Response: &gnmi.SubscribeResponse_SyncResponse{SyncResponse: true}})
}

// currentValues returns the current values of a subscription, or with suppressRedundant only those that differ from the
// values at its last call.
func (w *streamWriter) currentValues(x *subscription) *gnmi.Notification {
	n := &gnmi.Notification{}
	current := map[string]string{}
	for _, l := range w.server.leavesUnder(w.stream.Context(), x.path, func(*yang.Entry) bool { return true }) {
		key := l.path.String()
		current[key] = l.value
		if last, ok := x.lastSent[key]; !ok || last != l.value || !x.suppressRedundant {
			n.Update = append(n.Update, l.toUpdate(w.encoding))
		}
	}
	x.lastSent = current
	return n
}

// servePolls sends the values on each poll message, until the subscriber closes its side of the stream.
func (w *streamWriter) servePolls(subs []*subscription) error {
	for {
		r, err := w.stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if r.GetPoll() == nil {
			return status.Error(codes.InvalidArgument, "only polls may follow")
		}
		if err := w.sendAll(subs, false); err != nil {
			return err
		}
	}
}

// streamChanges sends changes as they happen, and samples and heartbeats when they are due, until the stream ends or
// the subscriber lags too far behind.
func (w *streamWriter) streamChanges(subs []*subscription, changes <-chan []store.Op) error {
	ctx := w.stream.Context()
	due := make(chan *subscription)
	for _, x := range subs {
		if x.interval > 0 {
			go func() {
				tick := time.NewTicker(x.interval)
				defer tick.Stop()
				for {
					select {
					case <-tick.C:
					case <-ctx.Done():
						return
					}
					select {
					case due <- x:
					case <-ctx.Done():
						return
					}
				}
			}()
		}
	}
	for {
		var n *gnmi.Notification
		select {
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		case x := <-due:
			n = w.currentValues(x)
		case ops, open := <-changes:
			if !open {
				return status.Error(codes.ResourceExhausted, "the subscriber lags too far behind")
			}
			n = w.changeNotification(subs, ops)
		}
		if err := w.notify(n); err != nil {
			return err
		}
	}
}

// changeNotification returns the notification of a change to the on-change subscriptions that it concerns. If a path
// occurs several times in ops, the last operation counts. A deleted leaf that has a default is an update to that
// default.
func (w *streamWriter) changeNotification(subs []*subscription, ops []store.Op) *gnmi.Notification {
	n := &gnmi.Notification{}
	latest := map[string]store.Op{}
	var order []string
	readable := w.server.source.Readable(w.stream.Context())
	for _, op := range ops {
		if !readable(op.Path) {
			continue
		}
		if _, ok := latest[op.Path]; !ok {
			order = append(order, op.Path)
		}
		latest[op.Path] = op
	}
	defaults := w.server.schema.defaults()
	for _, key := range order {
		op, p := latest[key], parsePath(key)
		x, err := w.server.schema.entry(p)
		if err != nil || !subscribedOnChange(subs, p) {
			continue
		}
		if d, ok := defaults[key]; op.Delete && ok {
			op = store.Op{Path: key, Value: d}
		}
		if op.Delete {
			n.Delete = append(n.Delete, p.toGNMI())
		} else {
			n.Update = append(n.Update, leaf{p, x, op.Value}.toUpdate(w.encoding))
		}
	}
	return n
}

// subscribedOnChange reports whether an on-change subscription covers a path.
func subscribedOnChange(subs []*subscription, p path) bool {
	for _, x := range subs {
		if x.onChange && x.path.covers(p) {
			return true
		}
	}
	return false
}
