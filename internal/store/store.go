// Package store keeps the configuration and the state of the border controllers in a small replicated store: a map
// from paths to values, replicated by Raft. On the platform it has a single member in memory and opens no port. Call
// processing doesn't depend on it.
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
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

const (
	maxPooledConns    = 3               // idle connections that Raft keeps to each member
	transportTimeout  = 2 * time.Second // to dial a member, and for Raft's network I/O
	applyTimeout      = 3 * time.Second // for Raft to accept a change
	snapshotThreshold = 256             // log entries between two snapshots
	trailingLogs      = 64              // log entries kept after a snapshot: a member that lags less needs no snapshot
	retainedSnapshots = 2               // snapshots kept on disk
)

// ErrStale reports that a change was rejected because its Change.IfRevision is not the store's current revision.
var ErrStale = errors.New("store: the revision is stale")

// ErrNoLeader reports that no change can be made at present: there is no majority of members, or an election is in
// progress. A change that was in progress may or may not have taken effect.
var ErrNoLeader = errors.New("store: no leader")

// Member is a replica as the others address it.
type Member struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
}

// Config configures a replica.
type Config struct {
	ID   string // unique among the members
	Bind string // address at which the other members reach it; empty: the only member, no port
	// Listener, if set, is already open on Bind. The replica closes it.
	Listener      net.Listener
	Dir           string   // directory of the log and the snapshots; empty: in memory
	Members       []Member // all members, this one included; unused without Bind
	ShortTimeouts bool     // short Raft time-outs, for members on one machine
	Log           *slog.Logger
}

// Op sets the value of a path, or deletes the path.
type Op struct {
	Path   string
	Value  string
	Delete bool
}

// Change is a list of operations that take effect together or not at all.
type Change struct {
	Ops        []Op
	IfRevision uint64 // the change is rejected unless the store has this revision; 0: any
}

// Store is one replica of the replicated map. It is created by Open and safe for concurrent use.
type Store struct {
	raft    atomic.Pointer[raft.Raft]
	fsm     *fsm
	layer   *streamLayer
	log     *slog.Logger
	closers []io.Closer
	setup   raftSetup
	guard   *voteGuard // nil if there are no other members

	done     chan struct{} // closed by Close
	recovery sync.WaitGroup
}

// raftSetup is what a Raft instance is created from.
type raftSetup struct {
	config    *raft.Config
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
	transport raft.Transport
	members   []raft.Server
}

// Open starts a replica. A member that has a log resumes from it. A new one takes over the log of the other members or,
// if none of them has one, bootstraps the cluster with Config.Members; it does so in the background, and changes fail
// with ErrNoLeader meanwhile. The caller closes the store.
func Open(c Config) (*Store, error) {
	s := &Store{fsm: newFSM(), log: c.Log, done: make(chan struct{})}
	s.setup.config = raftConfig(c)
	opened := false
	defer func() {
		if !opened {
			s.closeAll()
		}
	}()
	if err := s.openStorage(c); err != nil {
		return nil, err
	}
	if err := s.openTransport(c); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	if s.layer != nil {
		go s.layer.serveForwarded(s.applyLocal)
	}
	opened = true
	return s, nil
}

// raftConfig returns the configuration of Raft.
func raftConfig(c Config) *raft.Config {
	r := raft.DefaultConfig()
	r.LocalID = raft.ServerID(c.ID)
	r.SnapshotThreshold, r.TrailingLogs = snapshotThreshold, trailingLogs
	r.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{c.Log}, DisableTime: true})
	if c.ShortTimeouts || c.Bind == "" { // a single member has no others to wait for
		r.HeartbeatTimeout, r.ElectionTimeout = 150*time.Millisecond, 150*time.Millisecond
		r.LeaderLeaseTimeout, r.CommitTimeout = 100*time.Millisecond, 5*time.Millisecond
	}
	return r
}

// openStorage opens the log, Raft's stable store and the snapshots in Config.Dir, or in memory without one.
func (s *Store) openStorage(c Config) error {
	if c.Dir == "" {
		m := raft.NewInmemStore()
		s.setup.logs, s.setup.stable, s.setup.snapshots = m, m, raft.NewInmemSnapshotStore()
		return nil
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	bolt, err := raftboltdb.NewBoltStore(filepath.Join(c.Dir, "raft.db"))
	if err != nil {
		return fmt.Errorf("store: %s: %w", c.Dir, err)
	}
	s.closers = append(s.closers, bolt)
	snapshots, err := raft.NewFileSnapshotStore(c.Dir, retainedSnapshots, logWriter{c.Log})
	if err != nil {
		return fmt.Errorf("store: %s: %w", c.Dir, err)
	}
	s.setup.logs, s.setup.stable, s.setup.snapshots = bolt, bolt, snapshots
	return nil
}

// openTransport opens the transport to the other members. Without Config.Bind the transport is in memory and this
// member the only one.
func (s *Store) openTransport(c Config) error {
	if c.Bind == "" {
		addr, t := raft.NewInmemTransport("")
		s.setup.transport = t
		s.setup.members = []raft.Server{{ID: raft.ServerID(c.ID), Address: addr}}
		return nil
	}
	l, err := c.Listener, error(nil)
	if l == nil {
		l, err = net.Listen("tcp", c.Bind)
	}
	if err != nil {
		return fmt.Errorf("store: listen: %w", err)
	}
	s.layer = newStreamLayer(l)
	t := raft.NewNetworkTransport(s.layer, maxPooledConns, transportTimeout, logWriter{c.Log})
	s.closers = append(s.closers, t)
	for _, m := range c.Members {
		s.setup.members = append(s.setup.members, raft.Server{ID: raft.ServerID(m.ID), Address: raft.ServerAddress(m.Address)})
	}
	s.guard = s.newGuard(t, c.Dir != "")
	s.setup.transport = s.guard
	return nil
}

// Apply makes a change, on this member if it is the leader and through the leader otherwise, and returns the store's
// revision with the change. The error is or wraps ErrStale or ErrNoLeader where one of them applies. ctx bounds only
// forwarding to the leader.
func (s *Store) Apply(ctx context.Context, c Change) (uint64, error) {
	rev, err := s.applyLocal(c.appendJSON(nil))
	if !errors.Is(err, raft.ErrNotLeader) {
		return rev, mapRaftError(err)
	}
	leader, _ := s.raft.Load().LeaderWithID()
	if leader == "" || s.layer == nil {
		return 0, ErrNoLeader
	}
	rev, err = forward(ctx, string(leader), c.appendJSON(nil))
	return rev, mapRaftError(err)
}

// mapRaftError wraps in ErrNoLeader the errors of Raft that stand for a missing leader: not the leader, leadership lost
// or in transfer, and a time-out before Raft accepts the change. It returns ErrStale and ErrNoLeader unchanged.
func mapRaftError(err error) error {
	switch {
	case err == nil, errors.Is(err, ErrStale), errors.Is(err, ErrNoLeader):
		return err
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipLost),
		errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout):
		return fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	return fmt.Errorf("store: %w", err)
}

// applyLocal applies an encoded change on this member, which must be the leader: else the error is
// raft.ErrNotLeader.
func (s *Store) applyLocal(command []byte) (uint64, error) {
	f := s.raft.Load().Apply(command, applyTimeout)
	if err := f.Error(); err != nil {
		return 0, err
	}
	r := f.Response().(result)
	return r.revision, r.err
}

// Get returns the value of a path as this replica has it, which may lag behind the leader's, and whether it is set.
func (s *Store) Get(path string) (string, bool) { return s.fsm.get(path) }

// List returns the paths that begin with prefix and their values as this replica has them, and their revision.
func (s *Store) List(prefix string) (map[string]string, uint64) { return s.fsm.list(prefix) }

// Watch returns the changes from now on. The channel is closed by cancel, and when its reader lags more than
// watchQueueSize changes behind.
func (s *Store) Watch() (changes <-chan []Op, cancel func()) { return s.fsm.watch() }

// IsLeader reports whether this member is the leader.
func (s *Store) IsLeader() bool { return s.raft.Load().State() == raft.Leader }

// Close stops the replica and closes its transport and files.
func (s *Store) Close() error {
	close(s.done)
	s.recovery.Wait()
	err := s.raft.Load().Shutdown().Error()
	return errors.Join(err, s.closeAll())
}

// closeAll closes the transport and the log that Open has opened.
func (s *Store) closeAll() error {
	var errs []error
	for _, c := range s.closers {
		errs = append(errs, c.Close())
	}
	return errors.Join(errs...)
}

// logWriter writes the log lines of Raft to log, as warnings.
type logWriter struct{ log *slog.Logger }

// Write implements io.Writer.
func (l logWriter) Write(b []byte) (int, error) {
	l.log.Warn("store", "line", strings.TrimSpace(string(b)))
	return len(b), nil
}
