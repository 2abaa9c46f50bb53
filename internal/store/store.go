// Package store keeps the configuration and the state of the border controllers in a small replicated store
// of their own: a map from paths to values, on Raft. On the platform it is one member in memory and opens no
// port. It lies off the path of calls.
package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

const (
	maxPool           = 3
	transportWithin   = 2 * time.Second
	applyWithin       = 3 * time.Second
	snapshotThreshold = 256 // entries of the log between two snapshots
	trailing          = 64  // and how many are kept after one: members that lag less need no snapshot
	snapshotsKept     = 2
)

// ErrStale tells that a change was made for a revision that is no longer the present one.
var ErrStale = errors.New("store: the revision is stale")

// ErrNoLeader tells that no change can be made for the moment: too few members are there, or one is being
// elected. Whether a change that was under way took effect is not known.
var ErrNoLeader = errors.New("store: no leader")

// Member is one of the replicas.
type Member struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
}

// Config says what a replica is.
type Config struct {
	ID   string // among the members
	Bind string // where the other members reach it; empty: the only member, no port
	// Listener, if set, is open on Bind already.
	Listener net.Listener
	Dir      string   // where its log is kept; empty: in memory
	Members  []Member // all of them, with Bind
	Fast     bool     // short time-outs, for members on one machine
	Log      *slog.Logger
}

// Op sets a path's value, or deletes it.
type Op struct {
	Path   string
	Value  string
	Delete bool
}

// Change is what takes effect at once or not at all.
type Change struct {
	Ops []Op
	If  uint64 // only while the store's revision is this one; 0: whatever it is
}

// Store is one replica. Use Open.
type Store struct {
	raft   *raft.Raft
	fsm    *fsm
	layer  *layer
	log    *slog.Logger
	closes []io.Closer
}

// Open starts a replica. Members that are new start the cluster together; one that has a log goes on.
func Open(c Config) (*Store, error) {
	s := &Store{fsm: newFSM(), log: c.Log}
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(c.ID)
	conf.SnapshotThreshold, conf.TrailingLogs = snapshotThreshold, trailing
	conf.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: lineLog{c.Log},
		DisableTime: true})
	if c.Fast || c.Bind == "" { // a member that is alone has nobody to wait for
		conf.HeartbeatTimeout, conf.ElectionTimeout = 150*time.Millisecond, 150*time.Millisecond
		conf.LeaderLeaseTimeout, conf.CommitTimeout = 100*time.Millisecond, 5*time.Millisecond
	}
	opened := false
	defer func() {
		if !opened {
			s.closeAll()
		}
	}()
	logs, stable, snaps, err := s.disk(c)
	if err != nil {
		return nil, err
	}
	transport, members, err := s.network(c)
	if err != nil {
		return nil, err
	}
	known, err := raft.HasExistingState(logs, stable, snaps)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if s.raft, err = raft.NewRaft(conf, s.fsm, logs, stable, snaps, transport); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if !known {
		if err := s.raft.BootstrapCluster(raft.Configuration{Servers: members}).Error(); err != nil {
			return nil, fmt.Errorf("store: bootstrap: %w", err)
		}
	}
	if s.layer != nil {
		go s.layer.serve(s.apply)
	}
	opened = true
	return s, nil
}

// disk opens the log and the snapshots, in memory where there is no folder for them.
func (s *Store) disk(c Config) (raft.LogStore, raft.StableStore, raft.SnapshotStore, error) {
	if c.Dir == "" {
		m := raft.NewInmemStore()
		return m, m, raft.NewInmemSnapshotStore(), nil
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, nil, nil, fmt.Errorf("store: %w", err)
	}
	bolt, err := raftboltdb.NewBoltStore(filepath.Join(c.Dir, "raft.db"))
	if err != nil {
		return nil, nil, nil, fmt.Errorf("store: %s: %w", c.Dir, err)
	}
	s.closes = append(s.closes, bolt)
	snaps, err := raft.NewFileSnapshotStore(c.Dir, snapshotsKept, lineLog{c.Log})
	if err != nil {
		return nil, nil, nil, fmt.Errorf("store: %s: %w", c.Dir, err)
	}
	return bolt, bolt, snaps, nil
}

// network opens the way to the other members, and lists them all.
func (s *Store) network(c Config) (raft.Transport, []raft.Server, error) {
	if c.Bind == "" {
		addr, t := raft.NewInmemTransport("")
		return t, []raft.Server{{ID: raft.ServerID(c.ID), Address: addr}}, nil
	}
	l, err := c.Listener, error(nil)
	if l == nil {
		l, err = net.Listen("tcp", c.Bind)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("store: listen: %w", err)
	}
	s.layer = newLayer(l)
	t := raft.NewNetworkTransport(s.layer, maxPool, transportWithin, lineLog{c.Log})
	s.closes = append(s.closes, t)
	var members []raft.Server
	for _, m := range c.Members {
		members = append(members, raft.Server{ID: raft.ServerID(m.ID), Address: raft.ServerAddress(m.Address)})
	}
	return t, members, nil
}

// Apply makes a change, on this member or, where it does not lead, through the one that does. It returns the
// store's revision with the change.
func (s *Store) Apply(ctx context.Context, c Change) (uint64, error) {
	rev, err := s.apply(c.append(nil))
	if !errors.Is(err, raft.ErrNotLeader) {
		return rev, known(err)
	}
	leader, _ := s.raft.LeaderWithID()
	if leader == "" || s.layer == nil {
		return 0, ErrNoLeader
	}
	rev, err = forward(ctx, string(leader), c.append(nil))
	return rev, known(err)
}

// known turns Raft's errors into this package's.
func known(err error) error {
	switch {
	case err == nil, errors.Is(err, ErrStale), errors.Is(err, ErrNoLeader):
		return err
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipLost),
		errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout):
		return fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	return fmt.Errorf("store: %w", err)
}

// apply makes an encoded change on this member, which has to lead.
func (s *Store) apply(command []byte) (uint64, error) {
	f := s.raft.Apply(command, applyWithin)
	if err := f.Error(); err != nil {
		return 0, err
	}
	r := f.Response().(result)
	return r.revision, r.err
}

// Get returns a path's value as this member knows it.
func (s *Store) Get(path string) (string, bool) { return s.fsm.get(path) }

// List returns the paths under a prefix with their values, and the revision that they are of.
func (s *Store) List(prefix string) (map[string]string, uint64) { return s.fsm.list(prefix) }

// Watch returns the changes from now on. The channel closes with cancel, and when its reader lags too far
// behind.
func (s *Store) Watch() (changes <-chan []Op, cancel func()) { return s.fsm.watch() }

// Leads tells whether this member leads.
func (s *Store) Leads() bool { return s.raft.State() == raft.Leader }

// Close ends the replica.
func (s *Store) Close() error {
	err := s.raft.Shutdown().Error()
	return errors.Join(err, s.closeAll())
}

// closeAll closes what Open opened beside Raft.
func (s *Store) closeAll() error {
	var errs []error
	for _, c := range s.closes {
		errs = append(errs, c.Close())
	}
	return errors.Join(errs...)
}

// lineLog hands Raft's lines to the log.
type lineLog struct{ log *slog.Logger }

// Write implements io.Writer.
func (l lineLog) Write(b []byte) (int, error) {
	l.log.Warn("store", "line", strings.TrimSpace(string(b)))
	return len(b), nil
}
