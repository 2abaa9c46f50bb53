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

// Paths of the model that the program reads and writes.
const (
	configPath     = "/border-control/config/"
	controllerPath = "/border-control/controllers/controller[name=%s]/"
)

const (
	publishTimeout = 5 * time.Second

	maxOperatorConnections = 8 // gNMI connections; leaves descriptors for calls
	maxStreams             = 32
	maxRequestBytes        = 64 << 10
	handshakeTimeout       = 5 * time.Second
	operatorIdleTimeout    = 5 * time.Minute // closes connections without an RPC; keepalive interval of the others
)

// storeConfig is the content of deploy/store.toml.
type storeConfig struct {
	Bind    string         `toml:"bind"`   // address for the other replicas; empty for a single replica without a port
	Dir     string         `toml:"dir"`    // directory of the replica's log; empty to keep it in memory
	GNMI    string         `toml:"gnmi"`   // address of the gNMI listener; empty for none
	TLS     tlsFiles       `toml:"tls"`    // for gNMI; without it, only a loopback address is allowed
	Members []store.Member `toml:"member"` // all replicas; used with bind
}

// tlsFiles names the files of the server's certificate and key, and of the CA that signs client certificates.
type tlsFiles struct {
	Cert     string `toml:"cert"`
	Key      string `toml:"key"`
	ClientCA string `toml:"client_ca"`
}

// credentials returns the transport credentials of the gNMI server: mutual TLS, or none if no files are set, in which
// case the address must be loopback.
func (c storeConfig) credentials() (credentials.TransportCredentials, error) {
	if c.TLS == (tlsFiles{}) {
		host, _, err := net.SplitHostPort(c.GNMI)
		if err != nil {
			return nil, fmt.Errorf("gnmi: %w", err)
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return nil, fmt.Errorf("gnmi: %s is not a loopback address: tls is needed", c.GNMI)
		}
		return insecure.NewCredentials(), nil
	}
	cert, err := tls.LoadX509KeyPair(c.TLS.Cert, c.TLS.Key)
	if err != nil {
		return nil, fmt.Errorf("gnmi: certificate: %w", err)
	}
	ca, err := os.ReadFile(c.TLS.ClientCA)
	if err != nil {
		return nil, fmt.Errorf("gnmi: client CA: %w", err)
	}
	clients := x509.NewCertPool()
	if !clients.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("gnmi: client CA file %s holds no certificate", c.TLS.ClientCA)
	}
	return credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: clients,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}), nil
}

// loadStore reads the file. Without a file, the store is a single replica in memory.
func loadStore(path string) (storeConfig, error) {
	var c storeConfig
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

// manager connects the replicated store to the program: it applies configured leaves and publishes state and counters.
type manager struct {
	name  string
	store *store.Store
	log   *slog.Logger
	level *slog.LevelVar

	defaultLevel slog.Level // used while no log level is configured
	engine       *core.Engine
	front        *sipfront.Front
	grpc         *grpc.Server

	mu        sync.Mutex
	notify    func(string, ...[2]string) // sends an event to the subscribers; nil until openOperator sets it
	committed *string                    // committed max-open-calls; nil while the store holds it
	maxOpen   int                        // limit of the settings on calls open at a time; max-open-calls takes precedence
}

// setMaxOpen sets the limit of the settings on calls open at a time, and applies it unless max-open-calls is set.
func (m *manager) setMaxOpen(n int) {
	m.mu.Lock()
	m.maxOpen = n
	m.mu.Unlock()
	value, _ := m.store.Get(configPath + "max-open-calls")
	m.mu.Lock()
	if m.committed != nil {
		value = *m.committed
	}
	m.mu.Unlock()
	m.applyLeaf("max-open-calls", value)
}

// openManager opens the store of m and returns m.
func openManager(c storeConfig, m *manager) (*manager, error) {
	var err error
	if m.store, err = store.Open(store.Config{ID: m.name, Bind: c.Bind, Dir: c.Dir, Members: c.Members, Log: m.log}); err != nil {
		return nil, err
	}
	return m, nil
}

// serve starts the gNMI server if an address is configured. It serves the transactional configuration if op is not nil,
// else the replicated store. Errors of the server go to failed.
func (m *manager) serve(c storeConfig, op *operator, failed chan<- error) error {
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
	m.grpc = grpc.NewServer(grpc.Creds(creds), grpc.MaxConcurrentStreams(maxStreams), grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: operatorIdleTimeout, Time: operatorIdleTimeout}))
	gnmi.RegisterGNMIServer(m.grpc, mgmt.NewServer(schema, source, m.log))
	go func() {
		if err := m.grpc.Serve(netutil.LimitListener(l, maxOperatorConnections)); err != nil {
			failed <- fmt.Errorf("gnmi: %w", err)
		}
	}()
	return nil
}

// controllerLeaves are the configuration leaves of the border controller that applyLeaf applies.
var controllerLeaves = []string{"admin-state", "log-level", "max-open-calls", "report-interval"}

// managerPart applies controllerLeaves from a committed transactional configuration.
type managerPart struct{ *manager }

// Name implements transact.Part, as does Apply.
func (managerPart) Name() string { return "controller" }

func (m managerPart) Apply(_ uint64, running *schema.Node, _ []schema.Change) error {
	node := running.Get("border-control")
	if node != nil {
		node = node.Get("config")
	}
	for _, leaf := range controllerLeaves {
		value := ""
		if node != nil {
			value, _ = node.Leaf(leaf)
		}
		if leaf == "max-open-calls" {
			m.mu.Lock()
			m.committed = &value
			m.mu.Unlock()
		}
		m.applyLeaf(leaf, value)
	}
	return nil
}

// applyChanges applies the configuration in the store now and at each change, until the context ends.
func (m *manager) applyChanges(ctx context.Context) {
	for ctx.Err() == nil {
		changes, cancel := m.store.Watch()
		set, _ := m.store.List(configPath)
		for _, leaf := range controllerLeaves {
			m.applyLeaf(leaf, set[configPath+leaf])
		}
		m.watch(ctx, changes)
		cancel()
	}
}

// watch applies changes until the context ends or the channel closes. The store closes the channel if changes arrive
// faster than they are applied.
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
					m.applyLeaf(leaf, op.Value)
					m.log.Info("configured", "leaf", leaf, "value", op.Value)
				}
			}
		}
	}
}

// applyLeaf applies one leaf; an empty value means that the leaf is not set. Values are checked against the model
// before they enter the store.
func (m *manager) applyLeaf(leaf, value string) {
	n, _ := strconv.Atoi(value) // 0, as for an unset leaf, if it is not a number
	switch leaf {
	case "admin-state":
		m.front.SetInService(value != "out-of-service")
	case "log-level":
		if value == "" || m.level.UnmarshalText([]byte(value)) != nil {
			m.level.Set(m.defaultLevel)
		}
	case "max-open-calls":
		m.mu.Lock()
		defer m.mu.Unlock()
		if n == 0 {
			n = m.maxOpen
		}
		m.engine.SetMaxOpenCalls(n)
	case "report-interval":
		m.engine.SetReportInterval(max(time.Duration(n)*time.Second, 0))
	}
}

// publish writes the phase and the counters of each report to the store, and sends an event for each storm state that
// changed, until the context ends.
func (m *manager) publish(ctx context.Context, phase *lifecycle.Lifecycle, reports <-chan core.Counts) {
	base := fmt.Sprintf(controllerPath, m.name)
	var states map[storm.Scope]storm.State
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-reports:
			m.mu.Lock()
			notify := m.notify
			m.mu.Unlock()
			if notify != nil {
				states = stormEvents(states, n.Storm, notify)
			}
			ops := []store.Op{{Path: base + "name", Value: m.name}, {Path: base + "phase", Value: phase.State().String()}}
			for name, v := range map[string]int{"taken": n.Taken, "stood": n.Stood, "refused": n.Refused, "failed": n.Failed,
				"withdrawn": n.Withdrawn + n.CallerLost, "sent": n.Sent, "cut": n.Cut, "guards": n.Guards} {
				ops = append(ops, store.Op{Path: base + "counters/" + name, Value: strconv.Itoa(v)})
			}
			if m.grpc != nil { // without gNMI nobody reads it
				ops = append(ops, stormOps(base+"storm/", n.Storm)...)
			}
			ctx, cancel := context.WithTimeout(ctx, publishTimeout)
			if _, err := m.store.Apply(ctx, store.Change{Ops: ops}); err != nil {
				m.log.Warn("state not stored", "error", err)
			}
			cancel()
		}
	}
}

// close stops the gNMI server and closes the store.
func (m *manager) close() {
	if m.grpc != nil {
		m.grpc.Stop()
	}
	if err := m.store.Close(); err != nil {
		m.log.Warn("store", "error", err)
	}
}
