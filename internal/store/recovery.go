package store

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// recoveryInterval is the time between two attempts of a member without a leader to end its recovery by itself.
const recoveryInterval = 250 * time.Millisecond

// Keys of the stable store.
var (
	recoveringKey  = []byte("Recovering")  // 1 while the member has not caught up
	currentTermKey = []byte("CurrentTerm") // Raft's own
)

// newGuard returns the guard on the votes of this member, on a transport, and starts it.
func (s *Store) newGuard(t raftTransport, onDisk bool) *voteGuard {
	id := s.setup.config.LocalID
	header := raft.RPCHeader{ProtocolVersion: s.setup.config.ProtocolVersion, ID: []byte(id), Addr: t.EncodePeer(id, t.LocalAddr())}
	var others []raft.Server
	for _, m := range s.setup.members {
		if m.ID != id {
			others = append(others, m)
		}
	}
	g := &voteGuard{raftTransport: t, log: s.log, logs: s.setup.logs, raft: &s.raft, caughtUp: s.finishRecovery,
		incoming: make(chan raft.RPC), done: s.done}
	g.poll = &logPoll{transport: t, header: header, others: others, onDisk: onDisk, timeout: s.setup.config.ElectionTimeout / 2,
		silentSince: map[raft.ServerID]time.Time{}}
	return g
}

// start starts Raft. A member without a log, or that had not caught up when it ended, has to recover first.
func (s *Store) start() error {
	position, err := s.lastPosition()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	interrupted, err := s.isRecovering()
	if err != nil {
		return err
	}
	isEmpty := position == logPosition{}
	alone := s.guard == nil || len(s.guard.poll.others) == 0
	if isEmpty && alone {
		if err := s.writeBootstrap(); err != nil {
			return err
		}
	}
	recovers := !alone && (isEmpty || interrupted)
	if recovers {
		if err := s.setup.stable.SetUint64(recoveringKey, 1); err != nil {
			return fmt.Errorf("store: %w", err)
		}
		s.guard.recovering.Store(true)
	}
	if err := s.startRaft(); err != nil {
		return err
	}
	if s.guard != nil {
		go s.guard.run()
	}
	if recovers {
		s.recovery.Go(s.recover)
	}
	return nil
}

// startRaft creates a Raft instance from the setup.
func (s *Store) startRaft() error {
	x := s.setup
	r, err := raft.NewRaft(x.config, s.fsm, x.logs, x.stable, x.snapshots, x.transport)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.raft.Store(r)
	return nil
}

// isRecovering reports whether the member ended before it had caught up.
func (s *Store) isRecovering() (bool, error) {
	v, err := s.setup.stable.GetUint64(recoveringKey)
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return false, fmt.Errorf("store: %w", err)
	}
	return v == 1, nil
}

// recover ends the recovery of this member if no other one has a newer log. It returns when the recovery has ended, by
// that or as a leader has sent the log, and when the store is closed.
func (s *Store) recover() {
	ticker := time.NewTicker(recoveryInterval)
	defer ticker.Stop()
	for s.guard.recovering.Load() {
		if err := s.tryToStart(); err != nil {
			s.log.Error("store: no recovery", "error", err)
		}
		select {
		case <-ticker.C:
		case <-s.done:
			return
		}
	}
}

// tryToStart ends the recovery if there is no leader and no other member has a newer log. Without any log, this member
// bootstraps the cluster.
func (s *Store) tryToStart() error {
	if leader, _ := s.raft.Load().LeaderWithID(); leader != "" {
		return nil // it sends its log
	}
	position, err := s.lastPosition()
	if err != nil {
		return err
	}
	isEmpty := position == logPosition{}
	if isEmpty {
		position = bootstrapPosition
	}
	if !s.guard.poll.noneNewer(position, s.setup.config.LocalID) {
		return nil
	}
	if isEmpty {
		if err := s.restartBootstrapped(); err != nil {
			return err
		}
	}
	s.finishRecovery()
	return nil
}

// finishRecovery ends the recovery.
func (s *Store) finishRecovery() {
	if err := s.setup.stable.SetUint64(recoveringKey, 0); err != nil {
		s.log.Error("store: no recovery", "error", err)
		return
	}
	if s.guard.recovering.Swap(false) {
		s.log.Info("store: the member has recovered", "last", s.raft.Load().LastIndex())
	}
}

// lastPosition returns the position of the last entry in the log, or of the last snapshot if the log is empty.
func (s *Store) lastPosition() (logPosition, error) {
	last, err := s.setup.logs.LastIndex()
	if err != nil {
		return logPosition{}, err
	}
	if last > 0 {
		var entry raft.Log
		err := s.setup.logs.GetLog(last, &entry)
		return logPosition{entry.Index, entry.Term}, err
	}
	snapshots, err := s.setup.snapshots.List()
	if err != nil || len(snapshots) == 0 {
		return logPosition{}, err
	}
	return logPosition{snapshots[0].Index, snapshots[0].Term}, nil
}

// restartBootstrapped replaces Raft by an instance with the first configuration, unless a leader has sent its log
// meanwhile.
func (s *Store) restartBootstrapped() error {
	if err := s.raft.Load().Shutdown().Error(); err != nil {
		return err
	}
	position, err := s.lastPosition()
	if err != nil {
		return err
	}
	if (position == logPosition{}) {
		if err := s.writeBootstrap(); err != nil {
			return err
		}
	}
	return s.startRaft()
}

// writeBootstrap writes the first configuration to the empty log, as raft.BootstrapCluster does. The first election is
// in a term after the current time in milliseconds, so that no entry looks like one of an earlier cluster of these
// members: Raft takes entries of the same index and term for the same.
func (s *Store) writeBootstrap() error {
	current, err := s.setup.stable.GetUint64(currentTermKey)
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return fmt.Errorf("store: bootstrap: %w", err)
	}
	if err := s.setup.stable.SetUint64(currentTermKey, max(current, uint64(time.Now().UnixMilli()))); err != nil {
		return fmt.Errorf("store: bootstrap: %w", err)
	}
	entry := &raft.Log{Index: bootstrapPosition.index, Term: bootstrapPosition.term, Type: raft.LogConfiguration,
		Data: raft.EncodeConfiguration(raft.Configuration{Servers: s.setup.members})}
	if err := s.setup.logs.StoreLog(entry); err != nil {
		return fmt.Errorf("store: bootstrap: %w", err)
	}
	return nil
}
