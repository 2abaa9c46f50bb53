package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/openconfig/gnmi/proto/gnmi"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"brookmux/internal/core"
	"brookmux/internal/lifecycle"
	"brookmux/internal/mgmt"
	"brookmux/internal/schema"
	"brookmux/internal/sipfront"
	"brookmux/internal/store"
	"brookmux/internal/storm"
	"brookmux/internal/tomlfile"
)

// Paths of the model that the program itself reads and writes.
const (
	configPath     = "/border-control/config/"
	controllerPath = "/border-control/controllers/controller[name=%s]/"
)

const (
	publishWithin = 5 * time.Second

	mostOperators   = 8 // gNMI connections, so that descriptors are left for calls
	mostStreams     = 32
	mostRequest     = 64 << 10
	handshakeWithin = 5 * time.Second
	operatorIdle    = 5 * time.Minute // connections without a call end; others are asked whether they are there
)

// manageConfig is what deploy/store.toml says.
type manageConfig struct {
	Bind    string         `toml:"bind"`   // where the other replicas reach this one; empty: alone, no port
	Dir     string         `toml:"dir"`    // where the replica's log is kept; empty: in memory
	GNMI    string         `toml:"gnmi"`   // where gNMI listens; empty: nowhere
	TLS     tlsFiles       `toml:"tls"`    // for gNMI; without it, gNMI listens on loopback only
	Members []store.Member `toml:"member"` // all replicas, with bind
}

// tlsFiles name a certificate with its key, and the authority whose clients are let in.
type tlsFiles struct {
	Cert     string `toml:"cert"`
	Key      string `toml:"key"`
	ClientCA string `toml:"client_ca"`
}

// credentials returns what gNMI is served with: both ends show certificates, or the address is loopback.
func (c manageConfig) credentials() (credentials.TransportCredentials, error) {
	if c.TLS == (tlsFiles{}) {
		host, _, err := net.SplitHostPort(c.GNMI)
		if err != nil {
			return nil, fmt.Errorf("gnmi: %w", err)
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return nil, fmt.Errorf("gnmi: %s is not loopback: tls is needed", c.GNMI)
		}
		return insecure.NewCredentials(), nil
	}
	cert, err := tls.LoadX509KeyPair(c.TLS.Cert, c.TLS.Key)
	if err != nil {
		return nil, fmt.Errorf("gnmi: certificate: %w", err)
	}
	ca, err := os.ReadFile(c.TLS.ClientCA)
	if err != nil {
		return nil, fmt.Errorf("gnmi: client authority: %w", err)
	}
	clients := x509.NewCertPool()
	if !clients.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("gnmi: client authority %s holds no certificate", c.TLS.ClientCA)
	}
	return credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: clients,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}), nil
}

// loadManage reads the file; where there is none, the store is one member in memory.
func loadManage(path string) (manageConfig, error) {
	var c manageConfig
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return c, nil
	}
	if err != nil {
		return c, fmt.Errorf("store: configuration: %w", err)
	}
	if err := tomlfile.Decode(text, &c); err != nil {
		return c, fmt.Errorf("store: configuration %s: %w", path, err)
	}
	return c, nil
}

// manager ties the store to the program: what is configured takes effect, and what there is to tell is kept.
type manager struct {
	name  string
	store *store.Store
	log   *slog.Logger
	level *slog.LevelVar

	usualLevel slog.Level // where operators have set none
	engine     *core.Engine
	front      *sipfront.Front
	grpc       *grpc.Server

	mu        sync.Mutex
	event     func(string, ...[2]string) // nil while nobody can be told
	committed *string                    // max-open-calls as it was committed; nil where it is set in the store
	most      int                        // calls open at a time, by the settings; what is set by gNMI goes before it
}

// setMost takes what the settings say of the calls open at a time.
func (m *manager) setMost(n int) {
	m.mu.Lock()
	m.most = n
	m.mu.Unlock()
	value, _ := m.store.Get(configPath + "max-open-calls")
	m.mu.Lock()
	if m.committed != nil {
		value = *m.committed
	}
	m.mu.Unlock()
	m.effect("max-open-calls", value)
}

// openManager opens the store.
func openManager(c manageConfig, m *manager) (*manager, error) {
	var err error
	if m.store, err = store.Open(store.Config{ID: m.name, Bind: c.Bind, Dir: c.Dir, Members: c.Members, Log: m.log}); err != nil {
		return nil, err
	}
	return m, nil
}

// serve opens gNMI where the file says so, on the transactional configuration if there is one.
func (m *manager) serve(c manageConfig, op *operator, failed chan<- error) error {
	if c.GNMI == "" {
		return nil
	}
	source, schema, err := mgmt.Source(mgmt.Replicated{Store: m.store}), (*mgmt.Schema)(nil), error(nil)
	if op == nil {
		schema, err = mgmt.NewSchema()
	} else {
		source = op.gnmi
		schema, err = mgmt.NewFullSchema(op.model)
	}
	if err != nil {
		return err
	}
	creds, err := c.credentials()
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.GNMI)
	if err != nil {
		return fmt.Errorf("gnmi: listen: %w", err)
	}
	m.log.Info("gnmi listens", "address", l.Addr().String())
	m.grpc = grpc.NewServer(grpc.Creds(creds), grpc.MaxConcurrentStreams(mostStreams), grpc.MaxRecvMsgSize(mostRequest),
		grpc.ConnectionTimeout(handshakeWithin), grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: operatorIdle, Time: operatorIdle}))
	gnmi.RegisterGNMIServer(m.grpc, mgmt.NewServer(schema, source, m.log))
	go func() {
		if err := m.grpc.Serve(netutil.LimitListener(l, mostOperators)); err != nil {
			failed <- fmt.Errorf("gnmi: %w", err)
		}
	}()
	return nil
}

// leaves are those of the border controller itself that take effect here.
var leaves = []string{"admin-state", "log-level", "max-open-calls", "report-interval"}

// managerPart lets them take effect where they are part of the transactional configuration.
type managerPart struct{ *manager }

// Name and Apply implement transact.Part.
func (managerPart) Name() string { return "controller" }

func (m managerPart) Apply(_ uint64, running *schema.Node, _ []schema.Change) error {
	at := running.Get("border-control")
	if at != nil {
		at = at.Get("config")
	}
	for _, leaf := range leaves {
		value := ""
		if at != nil {
			value, _ = at.Leaf(leaf)
		}
		if leaf == "max-open-calls" {
			m.mu.Lock()
			m.committed = &value
			m.mu.Unlock()
		}
		m.effect(leaf, value)
	}
	return nil
}

// follow lets the configuration take effect, now and at each change, until the context ends.
func (m *manager) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changes, cancel := m.store.Watch()
		set, _ := m.store.List(configPath)
		for _, leaf := range leaves {
			m.effect(leaf, set[configPath+leaf])
		}
		m.watch(ctx, changes)
		cancel()
	}
}

// watch follows changes until the channel closes, as it does where they came faster than they took effect.
func (m *manager) watch(ctx context.Context, changes <-chan []store.Op) {
	for {
		select {
		case <-ctx.Done():
			return
		case ops, open := <-changes:
			if !open {
				return
			}
			for _, op := range ops {
				if leaf, ok := strings.CutPrefix(op.Path, configPath); ok {
					m.effect(leaf, op.Value)
					m.log.Info("configured", "leaf", leaf, "value", op.Value)
				}
			}
		}
	}
}

// effect lets one leaf take effect; an empty value is one that is not set. Values were checked against the
// model before they came into the store.
func (m *manager) effect(leaf, value string) {
	n, _ := strconv.Atoi(value) // not a number: 0, as if not set
	switch leaf {
	case "admin-state":
		m.front.SetInService(value != "out-of-service")
	case "log-level":
		if value == "" || m.level.UnmarshalText([]byte(value)) != nil {
			m.level.Set(m.usualLevel)
		}
	case "max-open-calls":
		m.mu.Lock()
		defer m.mu.Unlock()
		if n == 0 {
			n = m.most
		}
		m.engine.SetMostOpen(n)
	case "report-interval":
		m.engine.SetReportEvery(max(time.Duration(n)*time.Second, 0))
	}
}

// publish keeps the phase and the counters in the store whenever there are new ones, until the context ends.
func (m *manager) publish(ctx context.Context, phase *lifecycle.Lifecycle, reports <-chan core.Counts) {
	base := fmt.Sprintf(controllerPath, m.name)
	var states map[storm.Scope]storm.State
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-reports:
			m.mu.Lock()
			event := m.event
			m.mu.Unlock()
			if event != nil {
				states = stormEvents(states, n.Storm, event)
			}
			ops := []store.Op{{Path: base + "name", Value: m.name}, {Path: base + "phase", Value: phase.State().String()}}
			for name, v := range map[string]int{"taken": n.Taken, "stood": n.Stood, "refused": n.Refused, "failed": n.Failed,
				"withdrawn": n.Withdrawn + n.CallerLost, "sent": n.Sent, "cut": n.Cut, "guards": n.Guards} {
				ops = append(ops, store.Op{Path: base + "counters/" + name, Value: strconv.Itoa(v)})
			}
			if m.grpc != nil { // else nobody reads it
				ops = append(ops, stormOps(base+"storm/", n.Storm)...)
			}
			ctx, cancel := context.WithTimeout(ctx, publishWithin)
			if _, err := m.store.Apply(ctx, store.Change{Ops: ops}); err != nil {
				m.log.Warn("state not kept", "error", err)
			}
			cancel()
		}
	}
}

// close ends gNMI and the store.
func (m *manager) close() {
	if m.grpc != nil {
		m.grpc.Stop()
	}
	if err := m.store.Close(); err != nil {
		m.log.Warn("store", "error", err)
	}
}
