package mgmt

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/openconfig/gnmi/proto/gnmi_ext"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"brookmux/internal/datastore"
	"brookmux/internal/nacm"
	"brookmux/internal/schema"
	"brookmux/internal/store"
	"brookmux/internal/transact"
)

const mostBehind = 64 // changes that a subscriber may lag

// Owned is the transactional configuration as a Source, with the state beside it: a Set is one transaction, and what
// NETCONF changes is seen here.
type Owned struct {
	owner *transact.Owner
	state func(tree *schema.Node)  // adds what is seen of the configuration's nodes
	more  func() map[string]string // state by path that is kept elsewhere
	rules func(user string) *nacm.Rules
	root  *schema.Def

	mu       sync.Mutex
	watchers map[chan []store.Op]struct{}
	seen     map[string]string // what Poll told last
}

// NewOwned returns a Source on an owner. rules are those that hold for a user now, nil for all.
func NewOwned(o *transact.Owner, state func(*schema.Node), more func() map[string]string, rules func(string) *nacm.Rules) *Owned {
	var root *schema.Def
	o.Look(func(s *datastore.Store) { root = s.Model.Root })
	return &Owned{owner: o, root: root, state: state, more: more, rules: rules, watchers: map[chan []store.Op]struct{}{}}
}

// stored writes an item's path as paths are written here; elements of leaf-lists have none.
func stored(text string) (string, bool) {
	steps, err := schema.ParsePath(text)
	if err != nil {
		return "", false
	}
	var p path
	for _, s := range steps {
		if _, element := s.Keys["."]; element {
			return "", false
		}
		p = append(p, elem{s.Name, s.Keys})
	}
	return p.String(), true
}

// item is the other way round.
func item(text string) string {
	var b strings.Builder
	for _, e := range parsePath(text) {
		b.WriteString("/" + e.name)
		for _, k := range sortedKeys(e.keys) {
			b.WriteString("[" + k + "=" + schema.Quote(e.keys[k]) + "]")
		}
	}
	return b.String()
}

// List implements Source. Defaults are there as if they were set.
func (o *Owned) List(prefix string) (map[string]string, uint64) {
	var tree *schema.Node
	var last uint64
	o.owner.Look(func(s *datastore.Store) {
		tree, _ = s.Get(datastore.Running) // it is always there
		last = s.Last()
		s.Tell(tree)
	})
	o.state(tree)
	out := map[string]string{}
	for _, i := range schema.WithDefaults(tree).Items() {
		if p, ok := stored(i.Path); ok && strings.HasPrefix(p, prefix) {
			out[p] = i.Value
		}
	}
	for p, v := range o.more() {
		if strings.HasPrefix(p, prefix) {
			out[p] = v
		}
	}
	return out, last
}

// Readable implements Source.
func (o *Owned) Readable(ctx context.Context) func(string) bool {
	name := user(ctx)
	r := o.rules(name)
	if r == nil {
		return func(string) bool { return true }
	}
	return func(text string) bool { return r.Path(name, o.root, item(text)) }
}

// Watch implements Source.
func (o *Owned) Watch() (<-chan []store.Op, func()) {
	c := make(chan []store.Op, mostBehind)
	o.mu.Lock()
	if o.watchers[c] = struct{}{}; o.seen == nil {
		o.seen, _ = o.List("") // what changes from here on is told
	}
	o.mu.Unlock()
	return c, func() { o.drop(c) }
}

func (o *Owned) drop(c chan []store.Op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.watchers[c]; ok {
		delete(o.watchers, c)
		close(c)
	}
}

// Poll tells the watchers what has changed since the last time, of configuration and state alike. Whoever owns this
// calls it after each transaction and some times a second.
func (o *Owned) Poll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.watchers) == 0 {
		o.seen = nil
		return
	}
	now, _ := o.List("")
	if o.seen != nil {
		var ops []store.Op
		for _, p := range slices.Sorted(maps.Keys(o.seen)) {
			if _, ok := now[p]; !ok {
				ops = append(ops, store.Op{Path: p, Delete: true})
			}
		}
		for _, p := range slices.Sorted(maps.Keys(now)) {
			if old, ok := o.seen[p]; !ok || old != now[p] {
				ops = append(ops, store.Op{Path: p, Value: now[p]})
			}
		}
		if len(ops) > 0 {
			for c := range o.watchers {
				select {
				case c <- ops:
				default: // it lags too far behind, and reads all of it again
					delete(o.watchers, c)
					close(c)
				}
			}
		}
	}
	o.seen = now
}

// user is who a client shows itself as: the name in its certificate.
func user(ctx context.Context) string {
	if p, ok := peer.FromContext(ctx); ok {
		if t, ok := p.AuthInfo.(credentials.TLSInfo); ok && len(t.State.PeerCertificates) > 0 {
			return t.State.PeerCertificates[0].Subject.CommonName
		}
	}
	return "operator"
}

// Set implements Source: one transaction, with the commit-confirmed extension.
func (o *Owned) Set(ctx context.Context, ops []store.Op, c *gnmi_ext.Commit) error {
	var who datastore.Session
	err := o.owner.Do(func(s *datastore.Store) (err error) {
		who, err = s.Open(user(ctx), "gnmi")
		return err
	})
	if err != nil {
		return refused(err)
	}
	defer o.owner.Close(who.ID)
	_, err = o.owner.Make(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return o.begin(s, who.ID, ops, c, at)
	})
	if err != nil {
		return refused(err)
	}
	o.Poll()
	return nil
}

// begin begins the transaction of a Set.
func (o *Owned) begin(s *datastore.Store, id datastore.SessionID, ops []store.Op, c *gnmi_ext.Commit, at time.Time) (*datastore.Txn, error) {
	var commit datastore.Commit
	switch a := c.GetAction().(type) {
	case *gnmi_ext.Commit_Commit:
		commit = datastore.Commit{Confirmed: true, Timeout: a.Commit.GetRollbackDuration().AsDuration(), Persist: c.GetId()}
	case *gnmi_ext.Commit_SetRollbackDuration:
		commit = datastore.Commit{Confirmed: true, Timeout: a.SetRollbackDuration.GetRollbackDuration().AsDuration(),
			Persist: c.GetId(), PersistID: c.GetId()}
	case *gnmi_ext.Commit_Confirm:
		commit.PersistID = c.GetId()
	case *gnmi_ext.Commit_Cancel:
		return s.Cancel(id, c.GetId(), at)
	}
	if c != nil && (c.GetId() == "" || c.GetAction() == nil) {
		return nil, status.Error(codes.InvalidArgument, "commit: an id and an action are needed")
	}
	if _, first := c.GetAction().(*gnmi_ext.Commit_Commit); c != nil && !first && len(ops) > 0 {
		return nil, status.Error(codes.InvalidArgument, "commit: nothing can be changed beside it")
	}
	return s.Swap(id, func(tree *schema.Node) error {
		for _, op := range ops {
			var err error
			if op.Delete {
				err = tree.Take(item(op.Path))
			} else {
				err = tree.Put(schema.Item{Path: item(op.Path), Value: op.Value})
			}
			if err != nil {
				return status.Error(codes.InvalidArgument, err.Error())
			}
		}
		tree.Prune()
		return nil
	}, commit, at)
}

// refused is the gRPC status of what was not done.
func refused(err error) error {
	if s, ok := status.FromError(err); ok {
		return s.Err()
	}
	e := (*datastore.Error)(nil)
	if !errors.As(err, &e) {
		return status.Error(codes.Internal, err.Error())
	}
	code := codes.InvalidArgument
	switch e.Faults[0].Tag {
	case schema.InUse, schema.LockDenied, schema.ResourceDenied, schema.OperationUnknown:
		code = codes.FailedPrecondition
	}
	return status.Error(code, err.Error())
}
