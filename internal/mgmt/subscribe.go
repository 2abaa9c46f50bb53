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

const leastSample = time.Second // the shortest interval of samples that is given

// subscription is one path of a subscriber.
type subscription struct {
	path     path
	onChange bool
	every    time.Duration // between samples or heartbeats, 0 for none
	changed  bool          // samples leave out what has not changed
	last     map[string]string
}

// Subscribe tells values once, when polled, or as they change.
func (s *Server) Subscribe(stream gnmi.GNMI_SubscribeServer) error {
	r, err := stream.Recv()
	if err != nil {
		return err
	}
	list := r.GetSubscribe()
	if list == nil {
		return status.Error(codes.InvalidArgument, "the first message has to subscribe")
	}
	subs, err := s.subscriptions(list)
	if err != nil {
		return err
	}
	// Watched before the first values are read: no change falls between.
	changes, cancel := s.store.Watch()
	defer cancel()
	w := &writer{server: s, stream: stream, encoding: list.GetEncoding()}
	if err := w.all(subs, list.GetUpdatesOnly()); err != nil {
		return err
	}
	switch list.GetMode() {
	case gnmi.SubscriptionList_ONCE:
		return nil
	case gnmi.SubscriptionList_POLL:
		return w.poll(subs)
	}
	return w.follow(subs, changes)
}

// subscriptions reads what is subscribed to.
func (s *Server) subscriptions(list *gnmi.SubscriptionList) ([]*subscription, error) {
	if err := encodes(list.GetEncoding()); err != nil {
		return nil, err
	}
	if err := s.schema.serves(list.GetUseModels()); err != nil {
		return nil, err
	}
	if len(list.GetSubscription()) == 0 {
		return nil, status.Error(codes.InvalidArgument, "nothing is subscribed to")
	}
	var out []*subscription
	for _, one := range list.GetSubscription() {
		p, err := s.schema.fromGNMI(list.GetPrefix(), one.GetPath())
		if err == nil {
			_, err = s.schema.entries(p)
		}
		if err != nil {
			return nil, wrong(err)
		}
		x := &subscription{path: p, onChange: one.GetMode() != gnmi.SubscriptionMode_SAMPLE,
			changed: one.GetSuppressRedundant(), every: time.Duration(one.GetHeartbeatInterval())}
		if !x.onChange {
			x.every = max(leastSample, time.Duration(one.GetSampleInterval()))
		} else if x.every > 0 {
			x.every = max(leastSample, x.every)
		}
		out = append(out, x)
	}
	return out, nil
}

// writer writes to a subscriber.
type writer struct {
	server   *Server
	stream   gnmi.GNMI_SubscribeServer
	encoding gnmi.Encoding
}

// notify sends updates and deletes, if there are any.
func (w *writer) notify(n *gnmi.Notification) error {
	if len(n.GetUpdate())+len(n.GetDelete()) == 0 {
		return nil
	}
	n.Timestamp = time.Now().UnixNano()
	return w.stream.Send(&gnmi.SubscribeResponse{Response: &gnmi.SubscribeResponse_Update{Update: n}})
}

// all sends the present values, unless only changes are wanted, and that they are all.
func (w *writer) all(subs []*subscription, none bool) error {
	for _, x := range subs {
		if n := w.values(x); !none {
			if err := w.notify(n); err != nil {
				return err
			}
		}
	}
	return w.stream.Send(&gnmi.SubscribeResponse{Response: &gnmi.SubscribeResponse_SyncResponse{SyncResponse: true}})
}

// values are a subscription's present values, or those that are not as sent last.
func (w *writer) values(x *subscription) *gnmi.Notification {
	n := &gnmi.Notification{}
	now := map[string]string{}
	for _, l := range w.server.under(w.stream.Context(), x.path, func(*yang.Entry) bool { return true }) {
		text := l.path.String()
		now[text] = l.text
		if last, ok := x.last[text]; !ok || last != l.text || !x.changed {
			n.Update = append(n.Update, l.update(w.encoding))
		}
	}
	x.last = now
	return n
}

// poll sends the values whenever the subscriber asks.
func (w *writer) poll(subs []*subscription) error {
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
		if err := w.all(subs, false); err != nil {
			return err
		}
	}
}

// follow sends changes as they happen, and samples and heartbeats when they are due.
func (w *writer) follow(subs []*subscription, changes <-chan []store.Op) error {
	ctx := w.stream.Context()
	due := make(chan *subscription)
	for _, x := range subs {
		if x.every > 0 {
			go func() {
				tick := time.NewTicker(x.every)
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
			n = w.values(x)
		case ops, open := <-changes:
			if !open {
				return status.Error(codes.ResourceExhausted, "the subscriber lags too far behind")
			}
			n = w.changed(subs, ops)
		}
		if err := w.notify(n); err != nil {
			return err
		}
	}
}

// changed turns a change of the store into what the subscribers of changes are told. A leaf that is deleted
// and has a default is from then on that default.
func (w *writer) changed(subs []*subscription, ops []store.Op) *gnmi.Notification {
	n := &gnmi.Notification{}
	last := map[string]store.Op{}
	var order []string
	readable := w.server.store.Readable(w.stream.Context())
	for _, op := range ops {
		if !readable(op.Path) {
			continue
		}
		if _, ok := last[op.Path]; !ok {
			order = append(order, op.Path)
		}
		last[op.Path] = op
	}
	defaults := w.server.schema.defaults()
	for _, text := range order {
		op, p := last[text], parsePath(text)
		x, err := w.server.schema.entry(p)
		if err != nil || !wanted(subs, p) {
			continue
		}
		if d, ok := defaults[text]; op.Delete && ok {
			op = store.Op{Path: text, Value: d}
		}
		if op.Delete {
			n.Delete = append(n.Delete, p.gnmi())
		} else {
			n.Update = append(n.Update, leaf{p, x, op.Value}.update(w.encoding))
		}
	}
	return n
}

// wanted tells whether a subscriber of changes is told of a path.
func wanted(subs []*subscription, p path) bool {
	for _, x := range subs {
		if x.onChange && x.path.covers(p) {
			return true
		}
	}
	return false
}
