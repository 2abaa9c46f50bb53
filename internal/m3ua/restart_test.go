package m3ua

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/testhost"
)

const (
	linkID      = brookmux.SwitchID(901)
	waitTimeout = 5 * time.Second
)

// recorder is the engine of both ends. At the server it answers each set-up; it records everything else.
type recorder struct {
	mu       sync.Mutex
	answered []string // keys at the client
	ended    []string // keys at the client
	lost     []string // keys at the client
	offered  []core.Request
	hungUp   []string // keys at the server
	mute     bool     // set-ups are not answered
}

func (r *recorder) record(list *[]string, keys ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, keys...)
}

// recorded returns a condition that holds once a list has exactly these keys, in any order.
func (r *recorder) recorded(list *[]string, keys ...string) func() bool {
	return func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return slices.Equal(slices.Sorted(slices.Values(*list)), slices.Sorted(slices.Values(keys)))
	}
}

func (r *recorder) Answered(_ brookmux.SwitchID, key string, _ []byte, _ brookmux.Report) {
	r.record(&r.answered, key)
}
func (r *recorder) Ended(_ brookmux.SwitchID, key string, _ core.Outcome) { r.record(&r.ended, key) }
func (r *recorder) Lost(_ brookmux.SwitchID, keys []string, _ core.Loss)  { r.record(&r.lost, keys...) }
func (r *recorder) Moved(_, _ brookmux.SwitchID)                          {}
func (r *recorder) Reported(brookmux.SwitchID, brookmux.Report, bool)     {}
func (r *recorder) Congested(brookmux.SwitchID, int)                      {}
func (r *recorder) Ignored(brookmux.SwitchID, string, string)             {}
func (r *recorder) CallerConnected(string)                                {}
func (r *recorder) CallerLost(core.Caller, []string)                      {}

func (r *recorder) Hangup(_ core.Caller, key string, _ core.Cause, _ func(bool)) {
	r.record(&r.hungUp, key)
}

func (r *recorder) Offer(request core.Request) {
	r.mu.Lock()
	r.offered = append(r.offered, request)
	mute := r.mute
	r.mu.Unlock()
	if !mute {
		request.Caller.Answered(request.Key, nil)
	}
}

// serverKey returns the key at the server of the n-th call.
func (r *recorder) serverKey(n int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.offered[n].Key
}

// ends is a client and a server of an association, each of which can be restarted.
type ends struct {
	*recorder
	t          *testing.T
	config     Config
	client     *Client
	server     *Server
	stopClient func()
	stopServer func()
}

func newEnds(t *testing.T) *ends {
	e := &ends{recorder: &recorder{}, t: t}
	address := net.JoinHostPort(testhost.Host(), "2905")
	e.config = Config{Enabled: true, Listen: address, PointCode: 100, RoutingContext: 1,
		Classes:   []Category{{Category: 10, Name: "page"}},
		Exchanges: []Exchange{{Number: 1, PointCode: 100}},
		Peers:     []Peer{{ASP: 1, PointCode: 100}},
		Links:     []Link{{ID: uint32(linkID), Number: 1, Address: address, PointCode: 100, ASP: 1, Circuits: 4}}}
	require.NoError(t, e.config.validate())
	e.startServer()
	e.startClient()
	t.Cleanup(func() { e.stopClient(); e.stopServer() })
	return e
}

func (e *ends) startServer() {
	l, err := net.Listen("tcp", e.config.Listen)
	require.NoError(e.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	e.server = NewServer(e.config, e.recorder, 4, slog.New(slog.DiscardHandler))
	served := make(chan struct{})
	server := e.server
	go func() { _ = server.Serve(ctx, l); close(served) }()
	e.stopServer = func() { cancel(); <-served; server.Wait() }
}

func (e *ends) startClient() {
	active := make(chan struct{}, 16)
	ctx, cancel := context.WithCancel(context.Background())
	e.client = NewClient(e.config, slog.New(slog.DiscardHandler), func(reachable []brookmux.Switch) {
		if len(reachable) > 0 {
			active <- struct{}{}
		}
	})
	ended := make(chan struct{})
	client := e.client
	go func() { client.Run(ctx, e.recorder); close(ended) }()
	e.stopClient = func() { cancel(); <-ended }
	select {
	case <-active:
	case <-time.After(waitTimeout):
		e.t.Fatal("the association does not become active")
	}
}

func (e *ends) eventually(condition func() bool, what string) {
	e.t.Helper()
	require.Eventually(e.t, condition, waitTimeout, time.Millisecond, what)
}

// setUp sets up calls over the link and waits until they stand.
func (e *ends) setUp(keys ...string) {
	for _, key := range keys {
		e.client.SetUp(linkID, core.Attempt{Key: key, Class: "page", Number: "12", Timeout: time.Second})
		e.eventually(func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return slices.Contains(e.answered, key)
		}, key+" is answered")
	}
}

// clientKnows reports whether the client has a circuit in use by a call.
func (e *ends) clientKnows(key string) func() bool {
	return func() bool { return e.client.links[linkID].group.findCall(key) != nil }
}

// restartClient restarts the client and waits until it knows a call.
func (e *ends) restartClient(key string) {
	e.stopClient()
	e.startClient()
	e.eventually(e.clientKnows(key), key+" is announced to the client")
}

const (
	firstCall  = "00000000000000a1"
	secondCall = "00000000000000b2"
	thirdCall  = "00000000000000c3"
)

// TestClientRestart guards against calls that are left standing or cut when the client's process restarts: each end of
// such a call must reach the other end, and new calls must not take its circuit.
func TestClientRestart(t *testing.T) {
	e := newEnds(t)
	e.setUp(firstCall, secondCall)
	e.restartClient(secondCall)
	e.setUp(thirdCall)
	require.Empty(t, e.hungUp, "a call was released though nobody hung up")

	require.True(t, e.server.ReleaseOrphan(e.serverKey(0), core.NormalClearing))
	e.eventually(e.recorded(&e.ended, firstCall), "the end at the server reaches the client")
	e.client.ReleaseAnywhere(secondCall, core.NormalClearing)
	e.eventually(e.recorded(&e.hungUp, e.serverKey(1)), "the end at the client reaches the server")
}

// TestServerRestart is TestClientRestart for the server's process. It also releases calls before they are announced.
func TestServerRestart(t *testing.T) {
	for _, announced := range []bool{true, false} {
		e := newEnds(t)
		e.setUp(firstCall, secondCall)
		e.stopServer()
		e.startServer()
		first := e.serverKey(0)
		if announced {
			e.eventually(func() bool {
				return len(e.server.peers[1].allGroups()) > 0 && e.server.ReleaseOrphan(first, core.NormalClearing)
			},
				"the call is announced to the server")
		} else {
			require.False(t, e.server.ReleaseOrphan(first, core.NormalClearing))
		}
		e.eventually(e.recorded(&e.ended, firstCall), "the end at the server reaches the client")
		e.client.Release(linkID, secondCall, core.NormalClearing)
		e.eventually(e.recorded(&e.hungUp, e.serverKey(1)), "the end at the client reaches the server")
	}
}

// TestReleaseBeforeAnnouncement: a caller hangs up before the client knows the circuit of its call.
func TestReleaseBeforeAnnouncement(t *testing.T) {
	e := newEnds(t)
	e.setUp(firstCall)
	e.stopClient()
	e.client = NewClient(e.config, slog.New(slog.DiscardHandler), func([]brookmux.Switch) {})
	e.client.ReleaseAnywhere(firstCall, core.NormalClearing)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { e.client.Run(ctx, e.recorder); close(ended) }()
	e.stopClient = func() { cancel(); <-ended }
	e.eventually(e.recorded(&e.hungUp, e.serverKey(0)), "the call is released once it is announced")
}

// TestSetUpOnCircuitInUse guards against a set-up that ends a call of an earlier process: the client seizes the circuit
// of that call before it is announced, and gives the set-up up.
func TestSetUpOnCircuitInUse(t *testing.T) {
	for _, release := range []bool{false, true} {
		e := newEnds(t)
		e.setUp(firstCall)
		group := e.client.links[linkID].group
		standing, _ := group.lookup(1)
		group.free(1) // as after a restart
		e.client.SetUp(linkID, core.Attempt{Key: secondCall, Class: "page", Number: "12", Timeout: time.Second})
		if release {
			e.client.Release(linkID, secondCall, core.NormalClearing)
		}
		e.server.peers[1].allGroups()[0].announceStanding()
		e.eventually(e.clientKnows(firstCall), "the call is announced again")
		if !release {
			e.eventually(e.recorded(&e.lost, secondCall), "the set-up is reported")
		}
		e.setUp(thirdCall)
		require.Empty(t, e.hungUp, "a call was released though nobody hung up")
		require.Len(t, e.offered, 2, "the set-up on the circuit in use was served")
		adopted, _ := group.lookup(1)
		require.Equal(t, standing.keys, adopted.keys)
	}
}
