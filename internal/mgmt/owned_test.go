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

// testServer is a Server on a transactional configuration in memory, with a clock that the test sets.
type testServer struct {
	*Server
	t     *testing.T
	owner *transact.Owner
	owned *Transactional
	now   time.Time
}

// newTestServer returns a testServer on which exchange 9 drains, exchange 2 was learned and controller n0 serves.
func newTestServer(t *testing.T) *testServer {
	m, err := schema.Load(yang.Files)
	require.NoError(t, err)
	b := &testServer{t: t, now: time.Unix(1_800_000_000, 0)}
	drains := &datastore.Drains{}
	drains.SetStates(map[string]string{"9": "draining"})
	b.owner, err = transact.New(transact.Config{Store: datastore.Config{Model: m, Keep: 9, MaxSessions: 4, Guards: []datastore.Guard{drains.Guard}},
		Now: func() time.Time { return b.now }, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	b.owned = NewTransactional(b.owner, func(tree *schema.Node) {
		require.NoError(t, tree.Put(schema.Item{Path: "/exchanges/exchange[number='2']/state/origin", Value: "learned"}))
	}, func() map[string]string {
		return map[string]string{"/border-control/controllers/controller[name=n0]/phase": "serving"}
	}, func(user string) (r *nacm.Rules) {
		b.owner.View(func(s *datastore.Store) {
			tree, err := s.Get(datastore.Running)
			require.NoError(t, err)
			r = nacm.NewRules(tree)
		})
		return r
	})
	s, err := NewFullSchema(m)
	require.NoError(t, err)
	b.Server = NewServer(s, b.owned, slog.New(slog.DiscardHandler))
	return b
}

// gnmiPath returns a path in the form of path.String as a gNMI message.
func gnmiPath(text string) *gnmi.Path { return parsePath(text).toGNMI() }

// jsonUpdate returns an update of a path to a JSON_IETF value.
func jsonUpdate(path, value string) *gnmi.Update {
	return &gnmi.Update{Path: gnmiPath(path), Val: &gnmi.TypedValue{Value: &gnmi.TypedValue_JsonIetfVal{JsonIetfVal: []byte(value)}}}
}

// setCode makes a Set and returns its status code.
func (b *testServer) setCode(r *gnmi.SetRequest) codes.Code {
	_, err := b.Set(context.Background(), r)
	return status.Code(err)
}

// getJSON returns the JSON_IETF value at a path, or the status code as text.
func (b *testServer) getJSON(path string) string {
	r, err := b.Get(context.Background(), &gnmi.GetRequest{Path: []*gnmi.Path{gnmiPath(path)}, Encoding: gnmi.Encoding_JSON_IETF})
	if err != nil {
		return status.Code(err).String()
	}
	return string(r.Notification[0].Update[0].Val.GetJsonIetfVal())
}

const twoExchanges = `{"exchange":[{"number":1,"address":"10.0.0.1:1","zone":"east"},{"number":3,"address":"10.0.0.3:1","zone":"east","planned-load":"7.50"}]}`

// TestTransactionalSet checks that a Set is one transaction: its operations apply in the order of the gNMI
// specification, and if one is invalid nothing changes.
func TestTransactionalSet(t *testing.T) {
	b := newTestServer(t)
	require.Equal(t, codes.OK, b.setCode(&gnmi.SetRequest{Update: []*gnmi.Update{jsonUpdate("/exchanges", twoExchanges),
		jsonUpdate("/circuit-groups/group[a=1][b=3]", `{"a":1,"b":3,"size":9}`), jsonUpdate("/limits/max-wait", "5")}}))
	require.Equal(t, `"7.5"`, b.getJSON("/exchanges/exchange[number=3]/planned-load"))
	require.Equal(t, `{"a":1,"b":3,"reserve":0,"size":9}`, b.getJSON("/circuit-groups/group[a=1][b=3]"))
	require.Equal(t, `"learned"`, b.getJSON("/exchanges/exchange[number=2]/state/origin"))
	require.Equal(t, `"gnmi"`, b.getJSON("/transactions/transaction[revision=1]/via"))
	require.Equal(t, `"serving"`, b.getJSON("/border-control/controllers/controller[name=n0]/phase"))
	for _, c := range []struct {
		r    *gnmi.SetRequest
		want codes.Code
	}{
		{&gnmi.SetRequest{Delete: []*gnmi.Path{gnmiPath("/exchanges/exchange[number=3]")}}, codes.InvalidArgument}, // a circuit group refers to it
		{&gnmi.SetRequest{Update: []*gnmi.Update{jsonUpdate("/limits/max-wait", "600001")}}, codes.InvalidArgument},
		{&gnmi.SetRequest{Update: []*gnmi.Update{jsonUpdate("/limits/max-wait", "6"), jsonUpdate("/limits/speed", "6")}}, codes.NotFound},
		{&gnmi.SetRequest{Update: []*gnmi.Update{jsonUpdate("/exchanges", `{"exchange":[{"zone":"x"}]}`)}}, codes.InvalidArgument},
		{&gnmi.SetRequest{Update: []*gnmi.Update{jsonUpdate("/exchanges/exchange[number=2]/state/origin", `"system"`)}}, codes.InvalidArgument},
		{&gnmi.SetRequest{Update: []*gnmi.Update{jsonUpdate("/exchanges/exchange[number=9]", `{"address":"10.0.0.9:1","zone":"east"}`)}}, codes.FailedPrecondition},
		{&gnmi.SetRequest{UnionReplace: []*gnmi.Update{jsonUpdate("/limits", "{}")}, Delete: []*gnmi.Path{gnmiPath("/limits")}}, codes.Unimplemented},
	} {
		require.Equal(t, c.want, b.setCode(c.r), "%v", c.r)
		require.Equal(t, "5", b.getJSON("/limits/max-wait"))
	}
	// The order is delete, replace, update: a later operation overrides an earlier one.
	require.Equal(t, codes.OK, b.setCode(&gnmi.SetRequest{Delete: []*gnmi.Path{gnmiPath("/limits"), gnmiPath("/circuit-groups")},
		Replace: []*gnmi.Update{jsonUpdate("/exchanges/exchange[number=3]", `{"address":"10.0.0.4:1","zone":"west"}`)},
		Update:  []*gnmi.Update{jsonUpdate("/limits/max-wait", "7")}}))
	require.Equal(t, "7", b.getJSON("/limits/max-wait"))
	require.Equal(t, `"west"`, b.getJSON("/exchanges/exchange[number=3]/zone"))
	require.Equal(t, "NotFound", b.getJSON("/exchanges/exchange[number=3]/planned-load"), "replaced")
	require.Equal(t, codes.OK, b.setCode(&gnmi.SetRequest{UnionReplace: []*gnmi.Update{jsonUpdate("/limits", `{"max-callers":3}`), jsonUpdate("/limits", `{"max-open-calls":4}`)}}))
	require.Equal(t, `{"max-callers":3,"max-open-calls":4}`, b.getJSON("/limits"))
	require.Equal(t, "NotFound", b.getJSON("/exchanges/exchange[number=1]"))
}

// commitRequest returns a Set with the commit-confirmed extension.
func commitRequest(c *gnmi_ext.Commit, u ...*gnmi.Update) *gnmi.SetRequest {
	return &gnmi.SetRequest{Update: u, Extension: []*gnmi_ext.Extension{{Ext: &gnmi_ext.Extension_Commit{Commit: c}}}}
}

// TestTransactionalCommit checks that a confirmed commit stays pending after its RPC, and ends by a confirmation, a
// cancel or its rollback time, which a later request may extend. Meanwhile, other changes are rejected.
func TestTransactionalCommit(t *testing.T) {
	initial := &gnmi_ext.Commit{Id: "x", Action: &gnmi_ext.Commit_Commit{Commit: &gnmi_ext.CommitRequest{RollbackDuration: durationpb.New(time.Minute)}}}
	confirm := &gnmi_ext.Commit{Id: "x", Action: &gnmi_ext.Commit_Confirm{Confirm: &gnmi_ext.CommitConfirm{}}}
	cancel := &gnmi_ext.Commit{Id: "x", Action: &gnmi_ext.Commit_Cancel{Cancel: &gnmi_ext.CommitCancel{}}}
	extend := &gnmi_ext.Commit{Id: "x", Action: &gnmi_ext.Commit_SetRollbackDuration{SetRollbackDuration: &gnmi_ext.CommitSetRollbackDuration{
		RollbackDuration: durationpb.New(time.Hour)}}}
	for _, c := range []struct {
		then    *gnmi_ext.Commit
		elapsed time.Duration
		want    string
	}{{confirm, time.Hour, "2"}, {cancel, 0, "1"}, {nil, time.Minute, "1"}, {nil, time.Second, "2"}, {extend, 2 * time.Minute, "2"}, {extend, time.Hour, "1"}} {
		b := newTestServer(t)
		require.Equal(t, codes.OK, b.setCode(&gnmi.SetRequest{Update: []*gnmi.Update{jsonUpdate("/limits/max-wait", "1")}}))
		require.Equal(t, codes.OK, b.setCode(commitRequest(initial, jsonUpdate("/limits/max-wait", "2"))))
		require.Equal(t, codes.InvalidArgument, b.setCode(&gnmi.SetRequest{Update: []*gnmi.Update{jsonUpdate("/limits/max-wait", "3")}}), "a second change while the commit is pending")
		require.Equal(t, codes.InvalidArgument, b.setCode(commitRequest(confirm, jsonUpdate("/limits/max-wait", "3"))), "a confirmation with a change")
		if c.then != nil {
			require.Equal(t, codes.OK, b.setCode(commitRequest(c.then)))
		}
		b.now = b.now.Add(c.elapsed)
		b.owner.Tick()
		require.Equal(t, c.want, b.getJSON("/limits/max-wait"))
	}
	require.Equal(t, codes.InvalidArgument, newTestServer(t).setCode(commitRequest(&gnmi_ext.Commit{Id: "x"})))
	require.Equal(t, codes.InvalidArgument, newTestServer(t).setCode(commitRequest(confirm)))
}

// TestTransactionalLocked checks that a Set fails while a NETCONF session holds the lock of the running datastore.
func TestTransactionalLocked(t *testing.T) {
	b := newTestServer(t)
	var session datastore.Session
	require.NoError(t, b.owner.Do(func(s *datastore.Store) (err error) {
		if session, err = s.OpenSession("op", "netconf"); err == nil {
			err = s.Lock(session.ID, datastore.Running)
		}
		return err
	}))
	r := &gnmi.SetRequest{Update: []*gnmi.Update{jsonUpdate("/limits/max-wait", "1")}}
	require.Equal(t, codes.FailedPrecondition, b.setCode(r))
	b.owner.CloseSession(session.ID)
	require.Equal(t, codes.OK, b.setCode(r))
}

// TestTransactionalSlow checks that a subscriber that does not read is dropped with ResourceExhausted and doesn't block
// Sets.
func TestTransactionalSlow(t *testing.T) {
	b := newTestServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &testStream{ctx: ctx, requests: make(chan *gnmi.SubscribeRequest, 1), responses: make(chan *gnmi.SubscribeResponse)}
	s.requests <- &gnmi.SubscribeRequest{Request: &gnmi.SubscribeRequest_Subscribe{Subscribe: &gnmi.SubscriptionList{
		Subscription: []*gnmi.Subscription{{Path: gnmiPath("/limits")}}, UpdatesOnly: true, Encoding: gnmi.Encoding_JSON_IETF}}}
	ended := make(chan error, 1)
	go func() { ended <- b.Subscribe(s) }()
	require.True(t, (<-s.responses).GetSyncResponse())
	for i := range 2*watchQueueSize + 2 {
		require.Equal(t, codes.OK, b.setCode(&gnmi.SetRequest{Update: []*gnmi.Update{jsonUpdate("/limits/max-wait", strconv.Itoa(i))}}))
	}
	require.Empty(t, b.owned.watchers, "the watcher of the slow subscriber is removed")
	for err := error(nil); err == nil; { // the subscriber reads again
		select {
		case <-s.responses:
		case err = <-ended:
			require.Equal(t, codes.ResourceExhausted, status.Code(err))
		}
	}
}

// TestTransactionalRules checks that values that an access rule denies are not returned.
func TestTransactionalRules(t *testing.T) {
	b := newTestServer(t)
	require.Equal(t, codes.OK, b.setCode(&gnmi.SetRequest{Update: []*gnmi.Update{jsonUpdate("/limits/max-wait", "5"), jsonUpdate("/nacm/rule-list[name=a]",
		`{"rule":[{"name":"r","path":"/limits/max-wait","access-operations":"read","action":"deny"}]}`)}}))
	require.Equal(t, "5", b.getJSON("/limits/max-wait"), "the rule list has no group yet")
	require.Equal(t, "NotFound", b.getJSON("/nacm/rule-list[name=a]/name"))
	_, err := b.owner.Execute(func(s *datastore.Store, now time.Time) (*datastore.Txn, error) {
		session, err := s.OpenSession("op", "netconf")
		require.NoError(t, err)
		return s.Swap(session.ID, func(tree *schema.Node) error {
			return tree.Put(schema.Item{Path: "/nacm/rule-list[name='a']/group[.='*']", Value: "*"})
		}, datastore.Commit{}, now)
	})
	require.NoError(t, err)
	require.Equal(t, "NotFound", b.getJSON("/limits/max-wait"))
	require.Equal(t, `"learned"`, b.getJSON("/exchanges/exchange[number=2]/state/origin"))
}

// testStream is the server side of a Subscribe stream, whose messages the test sends and receives through channels.
type testStream struct {
	grpc.ServerStream
	ctx       context.Context
	requests  chan *gnmi.SubscribeRequest
	responses chan *gnmi.SubscribeResponse
}

func (s *testStream) Context() context.Context { return s.ctx }

func (s *testStream) Recv() (*gnmi.SubscribeRequest, error) {
	select {
	case r := <-s.requests:
		return r, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *testStream) Send(r *gnmi.SubscribeResponse) error {
	select {
	case s.responses <- r:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// TestTransactionalSubscribe checks that a subscriber receives the current values, a sync response, and then the
// changes made over NETCONF and gNMI.
func TestTransactionalSubscribe(t *testing.T) {
	b := newTestServer(t)
	require.Equal(t, codes.OK, b.setCode(&gnmi.SetRequest{Update: []*gnmi.Update{jsonUpdate("/limits/max-wait", "1")}}))
	ctx, cancel := context.WithCancel(t.Context())
	s := &testStream{ctx: ctx, requests: make(chan *gnmi.SubscribeRequest, 1), responses: make(chan *gnmi.SubscribeResponse)}
	s.requests <- &gnmi.SubscribeRequest{Request: &gnmi.SubscribeRequest_Subscribe{Subscribe: &gnmi.SubscriptionList{
		Subscription: []*gnmi.Subscription{{Path: gnmiPath("/limits")}}, Encoding: gnmi.Encoding_JSON_IETF}}}
	ended := make(chan error, 1)
	go func() { ended <- b.Subscribe(s) }()
	require.Equal(t, "1", string((<-s.responses).GetUpdate().Update[0].Val.GetJsonIetfVal()))
	require.True(t, (<-s.responses).GetSyncResponse())
	_, err := b.owner.Execute(func(d *datastore.Store, now time.Time) (*datastore.Txn, error) {
		session, err := d.OpenSession("op", "netconf")
		require.NoError(t, err)
		return d.Swap(session.ID, func(tree *schema.Node) error { return tree.Put(schema.Item{Path: "/limits/max-wait", Value: "2"}) },
			datastore.Commit{}, now)
	})
	require.NoError(t, err)
	b.owned.PublishChanges()
	require.Equal(t, "2", string((<-s.responses).GetUpdate().Update[0].Val.GetJsonIetfVal()))
	require.Equal(t, codes.OK, b.setCode(&gnmi.SetRequest{Delete: []*gnmi.Path{gnmiPath("/limits/max-wait")}}))
	require.Len(t, (<-s.responses).GetUpdate().Delete, 1)
	cancel()
	require.Error(t, <-ended)
}
