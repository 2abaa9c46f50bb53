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

const watchQueueSize = 64 // changes that a watcher may lag behind before its channel is closed

// Transactional serves the transactional configuration of a transact.Owner as a Source, together with state. A Set is
// one transaction. Changes made over NETCONF appear too, as both interfaces share the owner. The user of Transactional
// calls PublishChanges.
type Transactional struct {
	owner      *transact.Owner
	addState   func(tree *schema.Node)  // adds state to the configuration tree
	extraState func() map[string]string // state from outside the tree, by path
	rulesFor   func(user string) *nacm.Rules
	rootDef    *schema.Def

	mu         sync.Mutex
	watchers   map[chan []store.Op]struct{}
	lastValues map[string]string // values at the last PublishChanges; nil without watchers
}

// NewTransactional returns a Source on the transactional configuration of o. addState adds state to the configuration
// tree, and extraState returns more state by path. rulesFor returns the access rules that currently apply to a user, or
// nil if the user may read everything.
func NewTransactional(o *transact.Owner, addState func(*schema.Node),
	extraState func() map[string]string, rulesFor func(string) *nacm.Rules,
) *Transactional {
	var rootDef *schema.Def
	o.View(func(s *datastore.Store) { rootDef = s.Model.Root })
	return &Transactional{owner: o, rootDef: rootDef, addState: addState, extraState: extraState,
		rulesFor: rulesFor, watchers: map[chan []store.Op]struct{}{}}
}

// toStorePath converts the path of a schema.Item to the form of path.String. It reports false for elements of
// leaf-lists, which have no such form, and for invalid paths.
func toStorePath(text string) (string, bool) {
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

// toItemPath converts a path in the form of path.String to the form of a schema.Item.
func toItemPath(text string) string {
	var b strings.Builder
	for _, e := range parsePath(text) {
		b.WriteString("/" + e.name)
		for _, k := range sortedKeys(e.keys) {
			b.WriteString("[" + k + "=" + schema.Quote(e.keys[k]) + "]")
		}
	}
	return b.String()
}

// List implements Source. The values include defaults of nodes that are not set.
func (o *Transactional) List(prefix string) (map[string]string, uint64) {
	var tree *schema.Node
	var revision uint64
	o.owner.View(func(s *datastore.Store) {
		tree, _ = s.Get(datastore.Running) // Running always exists
		revision = s.LastRevision()
		s.AddHistory(tree)
	})
	o.addState(tree)
	out := map[string]string{}
	for _, i := range schema.WithDefaults(tree).Items() {
		if p, ok := toStorePath(i.Path); ok && strings.HasPrefix(p, prefix) {
			out[p] = i.Value
		}
	}
	for p, v := range o.extraState() {
		if strings.HasPrefix(p, prefix) {
			out[p] = v
		}
	}
	return out, revision
}

// Readable implements Source, by the access rules of the client's user.
func (o *Transactional) Readable(ctx context.Context) func(string) bool {
	name := clientUser(ctx)
	r := o.rulesFor(name)
	if r == nil {
		return func(string) bool { return true }
	}
	return func(text string) bool { return r.MayRead(name, o.rootDef, toItemPath(text)) }
}

// Watch implements Source. Changes are sent by PublishChanges.
func (o *Transactional) Watch() (<-chan []store.Op, func()) {
	c := make(chan []store.Op, watchQueueSize)
	o.mu.Lock()
	if o.watchers[c] = struct{}{}; o.lastValues == nil {
		o.lastValues, _ = o.List("") // PublishChanges reports changes from this state on
	}
	o.mu.Unlock()
	return c, func() { o.unwatch(c) }
}

// unwatch removes a watcher and closes its channel, unless PublishChanges has closed it already.
func (o *Transactional) unwatch(c chan []store.Op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.watchers[c]; ok {
		delete(o.watchers, c)
		close(c)
	}
}

// PublishChanges sends the watchers the changes of configuration and state since its last call. The user of
// Transactional calls it after each transaction and several times a second; Set calls it itself.
func (o *Transactional) PublishChanges() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.watchers) == 0 {
		o.lastValues = nil
		return
	}
	now, _ := o.List("")
	if o.lastValues != nil {
		var ops []store.Op
		for _, p := range slices.Sorted(maps.Keys(o.lastValues)) {
			if _, ok := now[p]; !ok {
				ops = append(ops, store.Op{Path: p, Delete: true})
			}
		}
		for _, p := range slices.Sorted(maps.Keys(now)) {
			if old, ok := o.lastValues[p]; !ok || old != now[p] {
				ops = append(ops, store.Op{Path: p, Value: now[p]})
			}
		}
		if len(ops) > 0 {
			for c := range o.watchers {
				select {
				case c <- ops:
				default: // it lags too far behind, and has to watch again and read all values
					delete(o.watchers, c)
					close(c)
				}
			}
		}
	}
	o.lastValues = now
}

// clientUser returns the user name of a client: the common name of its certificate, or "operator" without one.
func clientUser(ctx context.Context) string {
	if p, ok := peer.FromContext(ctx); ok {
		if t, ok := p.AuthInfo.(credentials.TLSInfo); ok && len(t.State.PeerCertificates) > 0 {
			return t.State.PeerCertificates[0].Subject.CommonName
		}
	}
	return "operator"
}

// Set implements Source as one transaction. It supports the commit-confirmed extension.
func (o *Transactional) Set(ctx context.Context, ops []store.Op, commit *gnmi_ext.Commit) error {
	var session datastore.Session
	err := o.owner.Do(func(s *datastore.Store) (err error) {
		session, err = s.OpenSession(clientUser(ctx), "gnmi")
		return err
	})
	if err != nil {
		return txnStatus(err)
	}
	defer o.owner.CloseSession(session.ID)
	_, err = o.owner.Execute(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return o.beginTxn(s, session.ID, ops, commit, at)
	})
	if err != nil {
		return txnStatus(err)
	}
	o.PublishChanges()
	return nil
}

// beginTxn begins the transaction of a Set: a change with or without a confirmed commit, an extension of its time-out,
// its confirmation or its cancellation. The last three can't be combined with operations.
func (o *Transactional) beginTxn(s *datastore.Store, id datastore.SessionID, ops []store.Op,
	ext *gnmi_ext.Commit, at time.Time,
) (*datastore.Txn, error) {
	var commit datastore.Commit
	switch a := ext.GetAction().(type) {
	case *gnmi_ext.Commit_Commit:
		commit = datastore.Commit{Confirmed: true, Timeout: a.Commit.GetRollbackDuration().AsDuration(), Persist: ext.GetId()}
	case *gnmi_ext.Commit_SetRollbackDuration:
		commit = datastore.Commit{Confirmed: true, Timeout: a.SetRollbackDuration.GetRollbackDuration().AsDuration(),
			Persist: ext.GetId(), PersistID: ext.GetId()}
	case *gnmi_ext.Commit_Confirm:
		commit.PersistID = ext.GetId()
	case *gnmi_ext.Commit_Cancel:
		return s.Cancel(id, ext.GetId(), at)
	}
	if ext != nil && (ext.GetId() == "" || ext.GetAction() == nil) {
		return nil, status.Error(codes.InvalidArgument, "commit: an id and an action are needed")
	}
	if _, initial := ext.GetAction().(*gnmi_ext.Commit_Commit); ext != nil && !initial && len(ops) > 0 {
		return nil, status.Error(codes.InvalidArgument, "commit: nothing can be changed beside it")
	}
	return s.Swap(id, func(tree *schema.Node) error {
		for _, op := range ops {
			var err error
			if op.Delete {
				err = tree.RemovePath(toItemPath(op.Path))
			} else {
				err = tree.Put(schema.Item{Path: toItemPath(op.Path), Value: op.Value})
			}
			if err != nil {
				return status.Error(codes.InvalidArgument, err.Error())
			}
		}
		tree.Prune()
		return nil
	}, commit, at)
}

// txnStatus returns the gRPC status for the error of a transaction that was not made.
func txnStatus(err error) error {
	if s, ok := status.FromError(err); ok {
		return s.Err()
	}
	e := (*datastore.Error)(nil)
	if !errors.As(err, &e) {
		return status.Error(codes.Internal, err.Error())
	}
	code := codes.InvalidArgument
	switch e.Faults[0].Tag {
	case schema.InUse, schema.LockDenied, schema.ResourceDenied, schema.OperationNotSupported:
		code = codes.FailedPrecondition
	}
	return status.Error(code, err.Error())
}
