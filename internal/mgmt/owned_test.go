package mgmt

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/openconfig/gnmi/proto/gnmi"
	"github.com/openconfig/gnmi/proto/gnmi_ext"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"brookmux/internal/datastore"
	"brookmux/internal/nacm"
	"brookmux/internal/schema"
	"brookmux/internal/transact"
	"brookmux/yang"
)

// bench is a server on a transactional configuration in memory.
type bench struct {
	*Server
	t     *testing.T
	owner *transact.Owner
	owned *Owned
	now   time.Time
}

func newBench(t *testing.T) *bench {
	m, err := schema.Load(yang.Files)
	require.NoError(t, err)
	b := &bench{t: t, now: time.Unix(1_800_000_000, 0)}
	drains := &datastore.Drains{}
	drains.Told(map[string]string{"9": "draining"})
	b.owner, err = transact.New(transact.Config{Store: datastore.Config{Model: m, Keep: 9, Sessions: 4, Guards: []datastore.Guard{drains.Guard}},
		Now: func() time.Time { return b.now }, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	b.owned = NewOwned(b.owner, func(tree *schema.Node) {
		require.NoError(t, tree.Put(schema.Item{Path: "/exchanges/exchange[number='2']/state/origin", Value: "learned"}))
	}, func() map[string]string {
		return map[string]string{"/border-control/controllers/controller[name=n0]/phase": "serving"}
	}, func(user string) (r *nacm.Rules) {
		b.owner.Look(func(s *datastore.Store) {
			tree, err := s.Get(datastore.Running)
			require.NoError(t, err)
			r = nacm.Of(tree)
		})
		return r
	})
	s, err := NewFullSchema(m)
	require.NoError(t, err)
	b.Server = NewServer(s, b.owned, slog.New(slog.DiscardHandler))
	return b
}

// at is a path as it is stored.
func at(text string) *gnmi.Path { return parsePath(text).gnmi() }

// json is an update.
func json(path, value string) *gnmi.Update {
	return &gnmi.Update{Path: at(path), Val: &gnmi.TypedValue{Value: &gnmi.TypedValue_JsonIetfVal{JsonIetfVal: []byte(value)}}}
}

// set makes a Set and returns its code.
func (b *bench) set(r *gnmi.SetRequest) codes.Code {
	_, err := b.Set(context.Background(), r)
	return status.Code(err)
}

// get returns the JSON at a path, or the code.
func (b *bench) get(path string) string {
	r, err := b.Get(context.Background(), &gnmi.GetRequest{Path: []*gnmi.Path{at(path)}, Encoding: gnmi.Encoding_JSON_IETF})
	if err != nil {
		return status.Code(err).String()
	}
	return string(r.Notification[0].Update[0].Val.GetJsonIetfVal())
}

const two = `{"exchange":[{"number":1,"address":"10.0.0.1:1","zone":"east"},{"number":3,"address":"10.0.0.3:1","zone":"east","planned-load":"7.50"}]}`

// TestOwnedSet: a Set is one transaction in the order of the specification, checked as a whole.
func TestOwnedSet(t *testing.T) {
	b := newBench(t)
	require.Equal(t, codes.OK, b.set(&gnmi.SetRequest{Update: []*gnmi.Update{json("/exchanges", two),
		json("/circuit-groups/group[a=1][b=3]", `{"a":1,"b":3,"size":9}`), json("/limits/max-wait", "5")}}))
	require.Equal(t, `"7.5"`, b.get("/exchanges/exchange[number=3]/planned-load"))
	require.Equal(t, `{"a":1,"b":3,"reserve":0,"size":9}`, b.get("/circuit-groups/group[a=1][b=3]"))
	require.Equal(t, `"learned"`, b.get("/exchanges/exchange[number=2]/state/origin"))
	require.Equal(t, `"gnmi"`, b.get("/transactions/transaction[revision=1]/via"))
	require.Equal(t, `"serving"`, b.get("/border-control/controllers/controller[name=n0]/phase"))
	for _, c := range []struct {
		r    *gnmi.SetRequest
		want codes.Code
	}{
		{&gnmi.SetRequest{Delete: []*gnmi.Path{at("/exchanges/exchange[number=3]")}}, codes.InvalidArgument}, // a group ends there
		{&gnmi.SetRequest{Update: []*gnmi.Update{json("/limits/max-wait", "600001")}}, codes.InvalidArgument},
		{&gnmi.SetRequest{Update: []*gnmi.Update{json("/limits/max-wait", "6"), json("/limits/speed", "6")}}, codes.NotFound},
		{&gnmi.SetRequest{Update: []*gnmi.Update{json("/exchanges", `{"exchange":[{"zone":"x"}]}`)}}, codes.InvalidArgument},
		{&gnmi.SetRequest{Update: []*gnmi.Update{json("/exchanges/exchange[number=2]/state/origin", `"system"`)}}, codes.InvalidArgument},
		{&gnmi.SetRequest{Update: []*gnmi.Update{json("/exchanges/exchange[number=9]", `{"address":"10.0.0.9:1","zone":"east"}`)}}, codes.FailedPrecondition},
		{&gnmi.SetRequest{UnionReplace: []*gnmi.Update{json("/limits", "{}")}, Delete: []*gnmi.Path{at("/limits")}}, codes.Unimplemented},
	} {
		require.Equal(t, c.want, b.set(c.r), "%v", c.r)
		require.Equal(t, "5", b.get("/limits/max-wait"))
	}
	// Deleted, then replaced, then updated: what comes later counts.
	require.Equal(t, codes.OK, b.set(&gnmi.SetRequest{Delete: []*gnmi.Path{at("/limits"), at("/circuit-groups")},
		Replace: []*gnmi.Update{json("/exchanges/exchange[number=3]", `{"address":"10.0.0.4:1","zone":"west"}`)},
		Update:  []*gnmi.Update{json("/limits/max-wait", "7")}}))
	require.Equal(t, "7", b.get("/limits/max-wait"))
	require.Equal(t, `"west"`, b.get("/exchanges/exchange[number=3]/zone"))
	require.Equal(t, "NotFound", b.get("/exchanges/exchange[number=3]/planned-load"), "replaced")
	require.Equal(t, codes.OK, b.set(&gnmi.SetRequest{UnionReplace: []*gnmi.Update{json("/limits", `{"max-callers":3}`), json("/limits", `{"max-open-calls":4}`)}}))
	require.Equal(t, `{"max-callers":3,"max-open-calls":4}`, b.get("/limits"))
	require.Equal(t, "NotFound", b.get("/exchanges/exchange[number=1]"))
}

// commit is a Set with the commit-confirmed extension.
func commit(c *gnmi_ext.Commit, u ...*gnmi.Update) *gnmi.SetRequest {
	return &gnmi.SetRequest{Update: u, Extension: []*gnmi_ext.Extension{{Ext: &gnmi_ext.Extension_Commit{Commit: c}}}}
}

// TestOwnedCommit: a commit that waits outlives its call, and ends by its confirmation, a cancel or its time.
func TestOwnedCommit(t *testing.T) {
	wait := &gnmi_ext.Commit{Id: "x", Action: &gnmi_ext.Commit_Commit{Commit: &gnmi_ext.CommitRequest{RollbackDuration: durationpb.New(time.Minute)}}}
	confirm := &gnmi_ext.Commit{Id: "x", Action: &gnmi_ext.Commit_Confirm{Confirm: &gnmi_ext.CommitConfirm{}}}
	cancel := &gnmi_ext.Commit{Id: "x", Action: &gnmi_ext.Commit_Cancel{Cancel: &gnmi_ext.CommitCancel{}}}
	longer := &gnmi_ext.Commit{Id: "x", Action: &gnmi_ext.Commit_SetRollbackDuration{SetRollbackDuration: &gnmi_ext.CommitSetRollbackDuration{
		RollbackDuration: durationpb.New(time.Hour)}}}
	for _, c := range []struct {
		then *gnmi_ext.Commit
		pass time.Duration
		want string
	}{{confirm, time.Hour, "2"}, {cancel, 0, "1"}, {nil, time.Minute, "1"}, {nil, time.Second, "2"}, {longer, 2 * time.Minute, "2"}, {longer, time.Hour, "1"}} {
		b := newBench(t)
		require.Equal(t, codes.OK, b.set(&gnmi.SetRequest{Update: []*gnmi.Update{json("/limits/max-wait", "1")}}))
		require.Equal(t, codes.OK, b.set(commit(wait, json("/limits/max-wait", "2"))))
		require.Equal(t, codes.InvalidArgument, b.set(&gnmi.SetRequest{Update: []*gnmi.Update{json("/limits/max-wait", "3")}}), "another change")
		require.Equal(t, codes.InvalidArgument, b.set(commit(confirm, json("/limits/max-wait", "3"))), "a change beside it")
		if c.then != nil {
			require.Equal(t, codes.OK, b.set(commit(c.then)))
		}
		b.now = b.now.Add(c.pass)
		b.owner.Tick()
		require.Equal(t, c.want, b.get("/limits/max-wait"))
	}
	require.Equal(t, codes.InvalidArgument, newBench(t).set(commit(&gnmi_ext.Commit{Id: "x"})))
	require.Equal(t, codes.InvalidArgument, newBench(t).set(commit(confirm)))
}

// TestOwnedLocked: a lock held over NETCONF keeps a Set out until it is released.
func TestOwnedLocked(t *testing.T) {
	b := newBench(t)
	var who datastore.Session
	require.NoError(t, b.owner.Do(func(s *datastore.Store) (err error) {
		if who, err = s.Open("op", "netconf"); err == nil {
			err = s.Lock(who.ID, datastore.Running)
		}
		return err
	}))
	r := &gnmi.SetRequest{Update: []*gnmi.Update{json("/limits/max-wait", "1")}}
	require.Equal(t, codes.FailedPrecondition, b.set(r))
	b.owner.Close(who.ID)
	require.Equal(t, codes.OK, b.set(r))
}

// TestOwnedSlow: a subscriber that does not read is let go with an error, and holds up nobody.
func TestOwnedSlow(t *testing.T) {
	b := newBench(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &subscriber{ctx: ctx, asks: make(chan *gnmi.SubscribeRequest, 1), told: make(chan *gnmi.SubscribeResponse)}
	s.asks <- &gnmi.SubscribeRequest{Request: &gnmi.SubscribeRequest_Subscribe{Subscribe: &gnmi.SubscriptionList{
		Subscription: []*gnmi.Subscription{{Path: at("/limits")}}, UpdatesOnly: true, Encoding: gnmi.Encoding_JSON_IETF}}}
	ended := make(chan error, 1)
	go func() { ended <- b.Subscribe(s) }()
	require.True(t, (<-s.told).GetSyncResponse())
	for i := range 2*mostBehind + 2 {
		require.Equal(t, codes.OK, b.set(&gnmi.SetRequest{Update: []*gnmi.Update{json("/limits/max-wait", strconv.Itoa(i))}}))
	}
	require.Empty(t, b.owned.watchers, "nothing is kept for it any more")
	for err := error(nil); err == nil; { // it reads at last
		select {
		case <-s.told:
		case err = <-ended:
			require.Equal(t, codes.ResourceExhausted, status.Code(err))
		}
	}
}

// TestOwnedRules: what a rule hides is not read.
func TestOwnedRules(t *testing.T) {
	b := newBench(t)
	require.Equal(t, codes.OK, b.set(&gnmi.SetRequest{Update: []*gnmi.Update{json("/limits/max-wait", "5"), json("/nacm/rule-list[name=a]",
		`{"rule":[{"name":"r","path":"/limits/max-wait","access-operations":"read","action":"deny"}]}`)}}))
	require.Equal(t, "5", b.get("/limits/max-wait"), "the rules are for no group yet")
	require.Equal(t, "NotFound", b.get("/nacm/rule-list[name=a]/name"))
	_, err := b.owner.Make(func(s *datastore.Store, now time.Time) (*datastore.Txn, error) {
		who, err := s.Open("op", "netconf")
		require.NoError(t, err)
		return s.Swap(who.ID, func(tree *schema.Node) error {
			return tree.Put(schema.Item{Path: "/nacm/rule-list[name='a']/group[.='*']", Value: "*"})
		}, datastore.Commit{}, now)
	})
	require.NoError(t, err)
	require.Equal(t, "NotFound", b.get("/limits/max-wait"))
	require.Equal(t, `"learned"`, b.get("/exchanges/exchange[number=2]/state/origin"))
}

// subscriber is one end of a subscription.
type subscriber struct {
	grpc.ServerStream
	ctx  context.Context
	asks chan *gnmi.SubscribeRequest
	told chan *gnmi.SubscribeResponse
}

func (s *subscriber) Context() context.Context { return s.ctx }

func (s *subscriber) Recv() (*gnmi.SubscribeRequest, error) {
	select {
	case r := <-s.asks:
		return r, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *subscriber) Send(r *gnmi.SubscribeResponse) error {
	select {
	case s.told <- r:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// TestOwnedSubscribe: who subscribes is told what is there, that this is all, and then what others change, whoever did.
func TestOwnedSubscribe(t *testing.T) {
	b := newBench(t)
	require.Equal(t, codes.OK, b.set(&gnmi.SetRequest{Update: []*gnmi.Update{json("/limits/max-wait", "1")}}))
	ctx, cancel := context.WithCancel(t.Context())
	s := &subscriber{ctx: ctx, asks: make(chan *gnmi.SubscribeRequest, 1), told: make(chan *gnmi.SubscribeResponse)}
	s.asks <- &gnmi.SubscribeRequest{Request: &gnmi.SubscribeRequest_Subscribe{Subscribe: &gnmi.SubscriptionList{
		Subscription: []*gnmi.Subscription{{Path: at("/limits")}}, Encoding: gnmi.Encoding_JSON_IETF}}}
	ended := make(chan error, 1)
	go func() { ended <- b.Subscribe(s) }()
	require.Equal(t, "1", string((<-s.told).GetUpdate().Update[0].Val.GetJsonIetfVal()))
	require.True(t, (<-s.told).GetSyncResponse())
	_, err := b.owner.Make(func(d *datastore.Store, now time.Time) (*datastore.Txn, error) {
		who, err := d.Open("op", "netconf")
		require.NoError(t, err)
		return d.Swap(who.ID, func(tree *schema.Node) error { return tree.Put(schema.Item{Path: "/limits/max-wait", Value: "2"}) },
			datastore.Commit{}, now)
	})
	require.NoError(t, err)
	b.owned.Poll()
	require.Equal(t, "2", string((<-s.told).GetUpdate().Update[0].Val.GetJsonIetfVal()))
	require.Equal(t, codes.OK, b.set(&gnmi.SetRequest{Delete: []*gnmi.Path{at("/limits/max-wait")}}))
	require.Len(t, (<-s.told).GetUpdate().Delete, 1)
	cancel()
	require.Error(t, <-ended)
}
