// Package datastore implements the configuration datastores: candidate, running and startup, sessions and their locks,
// edits, transactions with confirmed commit, history and rollback (RFC 6241, RFC 8342). It has no I/O, no clock and no
// goroutine: methods take the current time and return transactions. The owner of a Store makes them durable, applies
// them and reports the result back. Package schema defines and validates the trees.
package datastore

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"brookmux/internal/schema"
)

// Target names a datastore (RFC 8342, 5).
type Target string

// The datastores.
const (
	Running   Target = "running"
	Candidate Target = "candidate"
	Startup   Target = "startup"
)

// SessionID identifies a session; 0 means no session (RFC 6241, 7.5).
type SessionID uint32

// Session is an open management session of a user.
type Session struct {
	ID   SessionID
	User string
	Via  string // netconf, gnmi or system
}

// Error is the failure of a request, with one or more faults to report to the client.
type Error struct {
	Faults []schema.Fault
	Holder SessionID // session that holds the conflicting lock or pending commit; 0 if none
}

// Error implements error.
func (e *Error) Error() string {
	messages := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		messages = append(messages, f.Error())
	}
	return strings.Join(messages, "; ")
}

// newError returns an Error with one fault.
func newError(tag schema.Tag, path, format string, args ...any) *Error {
	return &Error{Faults: []schema.Fault{{Tag: tag, Path: path, Message: fmt.Sprintf(format, args...)}}}
}

// Guard checks a change of running against conditions outside the model, such as the current state of the network, and
// returns the faults that it finds. It must not modify the trees.
type Guard func(old, new *schema.Node) []schema.Fault

// Config holds the parameters of a Store.
type Config struct {
	Model       *schema.Model
	Keep        int // minimum number of past revisions that stay available
	MaxSessions int // maximum number open at the same time
	Guards      []Guard
	Access      Access // nil: every session may change everything
}

// Access returns a fault for each of the changes from old to next that the session may not make. The access rules are
// those in running, also if the change is to another datastore or alters the rules.
type Access func(who Session, running, old, next *schema.Node, changes []schema.Change) []schema.Fault

// Store holds the state of all datastores. It is not safe for concurrent use: its owner serializes the calls.
type Store struct {
	Config
	running, candidate, startup *schema.Node
	candidateEdited             bool // the candidate was changed since it was copied from running
	sessions                    map[SessionID]Session
	locks                       map[Target]SessionID
	lastSession                 SessionID
	lastRevision                uint64        // number of the last completed transaction
	history                     []Record      // the most recent transactions, oldest first; see Config.Keep
	minRevision                 uint64        // the oldest revision available, the one before history[0]
	oldest                      content       // of the datastores after minRevision
	inProgress                  *Txn          // nil if no transaction is in progress
	pending                     *confirmation // the commit that awaits its confirmation, or nil
}

// content is that of the datastores that transactions change.
type content struct{ running, startup *schema.Node }

// clone returns a deep copy.
func (x content) clone() content { return content{x.running.Clone(), x.startup.Clone()} }

// errNoSession is returned for a session that does not exist or has ended.
var errNoSession = errors.New("datastore: no such session")

// New returns a Store with empty datastores. Restore fills it from stored records.
func New(c Config) (*Store, error) {
	if c.Model == nil || c.Keep < 1 || c.MaxSessions < 1 {
		return nil, errors.New("datastore: a model is needed, and Keep and MaxSessions must be at least 1")
	}
	return &Store{Config: c, running: c.Model.NewTree(), candidate: c.Model.NewTree(), startup: c.Model.NewTree(),
		oldest: content{c.Model.NewTree(), c.Model.NewTree()}, sessions: map[SessionID]Session{}, locks: map[Target]SessionID{}}, nil
}

// OpenSession opens a session, unless Config.MaxSessions are open already.
func (s *Store) OpenSession(user, via string) (Session, error) {
	if len(s.sessions) >= s.MaxSessions {
		return Session{}, newError(schema.ResourceDenied, "", "%d sessions are open", len(s.sessions))
	}
	for s.lastSession++; s.lastSession == 0 || s.sessions[s.lastSession].ID != 0; s.lastSession++ {
	}
	x := Session{s.lastSession, user, via}
	s.sessions[x.ID] = x
	return x, nil
}

// CloseSession ends a session for whatever reason. It releases the session's locks and discards the edits of a
// candidate that the session had locked (RFC 6241, 8.3.5.2). If the session has a pending commit without a persist
// value, CloseSession begins and returns the transaction that reverts it (8.4.1); otherwise it returns nil.
func (s *Store) CloseSession(id SessionID, at time.Time) *Txn {
	closed, ok := s.sessions[id]
	if !ok {
		return nil
	}
	delete(s.sessions, id)
	for t, holder := range s.locks {
		if holder == id {
			s.unlock(t)
		}
	}
	if conf := s.pending; conf != nil && conf.session == id && conf.persist == "" {
		if s.inProgress != nil { // let that transaction end first; RevertExpired then reverts the commit
			conf.deadline = at
			return nil
		}
		return s.beginRevert(closed, at, KindRevert, "its session ended before it was confirmed")
	}
	return nil
}

// FindSession returns an open session by its id, and whether it is open.
func (s *Store) FindSession(id SessionID) (Session, bool) {
	x, ok := s.sessions[id]
	return x, ok
}

// Lock locks a datastore for a session (RFC 6241, 7.5). It fails if the datastore is locked. The candidate can't be
// locked while it has uncommitted edits, nor running while a commit of another session is pending.
func (s *Store) Lock(id SessionID, t Target) error {
	if _, ok := s.sessions[id]; !ok {
		return errNoSession
	}
	if holder := s.locks[t]; holder != 0 {
		e := newError(schema.LockDenied, "", "%s is locked by session %d", t, holder)
		e.Holder = holder
		return e
	}
	switch {
	case t == Candidate && s.candidateEdited:
		return newError(schema.LockDenied, "", "the candidate has edits that are neither committed nor discarded")
	case t == Running && s.pending != nil && s.pending.session != id:
		e := newError(schema.LockDenied, "", "a commit of session %d waits for its confirmation", s.pending.session)
		e.Holder = s.pending.session
		return e
	}
	s.locks[t] = id
	return nil
}

// Unlock releases a lock of the session. Unlocking the candidate discards its edits.
func (s *Store) Unlock(id SessionID, t Target) error {
	if s.locks[t] != id || id == 0 {
		return newError(schema.OperationFailed, "", "%s is not locked by this session", t)
	}
	s.unlock(t)
	return nil
}

// unlock releases a lock, and discards the edits of the candidate if that was locked.
func (s *Store) unlock(t Target) {
	delete(s.locks, t)
	if t == Candidate {
		s.discard()
	}
}

// checkLock returns an error if the session has ended or another session has locked the datastore.
func (s *Store) checkLock(id SessionID, t Target) error {
	if _, ok := s.sessions[id]; !ok {
		return errNoSession
	}
	if holder := s.locks[t]; holder != 0 && holder != id {
		e := newError(schema.InUse, "", "%s is locked by session %d", t, holder)
		e.Holder = holder
		return e
	}
	return nil
}

// Get returns a copy of the content of a datastore.
func (s *Store) Get(t Target) (*schema.Node, error) {
	x, err := s.tree(t)
	if err != nil {
		return nil, err
	}
	return x.Clone(), nil
}

// tree returns the content of a datastore itself, not a copy.
func (s *Store) tree(t Target) (*schema.Node, error) {
	switch t {
	case Running:
		return s.running, nil
	case Candidate:
		return s.candidate, nil
	case Startup:
		return s.startup, nil
	}
	return nil, newError(schema.InvalidValue, "", "no datastore %q", t)
}

// Edit changes the candidate. Running and startup are changed by transactions only, see Commit, Change, Swap and Copy.
// With an error option that allows it, a part of the edit may be applied although an error is returned.
func (s *Store) Edit(id SessionID, e Edit) error {
	if err := s.checkLock(id, Candidate); err != nil {
		return err
	}
	next, err := s.applyEdit(s.candidate, e)
	if next == nil || e.Test == TestOnly {
		return err
	}
	if err := s.checkAccess(id, s.candidate, next); err != nil {
		return err
	}
	s.candidate, s.candidateEdited = next, true
	return err
}

// checkAccess returns an error if the session may not make the changes from old to next.
func (s *Store) checkAccess(id SessionID, old, next *schema.Node) error {
	if s.Access == nil {
		return nil
	}
	if faults := s.Access(s.sessions[id], s.running, old, next, schema.Diff(old, next)); len(faults) > 0 {
		return &Error{Faults: faults}
	}
	return nil
}

// applyEdit returns a copy of base with an edit applied, and its faults as an error. The tree is nil if nothing of the
// edit is to be kept.
func (s *Store) applyEdit(base *schema.Node, e Edit) (*schema.Node, error) {
	next := base.Clone()
	faults := e.apply(next)
	if len(faults) == 0 && e.Test != Set {
		faults = s.Model.Validate(next)
		if len(faults) > 0 {
			return nil, &Error{Faults: faults}
		}
	}
	switch {
	case len(faults) == 0:
		return next, nil
	case e.OnError == RollbackOnError || e.Test == TestOnly:
		return nil, &Error{Faults: faults}
	}
	return next, &Error{Faults: faults}
}

// TestEdit applies and validates an edit on a copy of running and returns its error. It changes nothing.
func (s *Store) TestEdit(id SessionID, e Edit) error {
	if err := s.checkLock(id, Running); err != nil {
		return err
	}
	e.Test = TestOnly
	_, err := s.applyEdit(s.running, e)
	return err
}

// Replace replaces the candidate with a complete configuration (RFC 6241, 7.3).
func (s *Store) Replace(id SessionID, tree *schema.Node) error {
	if err := s.checkLock(id, Candidate); err != nil {
		return err
	}
	if err := s.checkAccess(id, s.candidate, tree); err != nil {
		return err
	}
	s.candidate, s.candidateEdited = tree.Clone(), true
	return nil
}

// Discard resets the candidate to a copy of running (RFC 6241, 8.3.4.2).
func (s *Store) Discard(id SessionID) error {
	if err := s.checkLock(id, Candidate); err != nil {
		return err
	}
	s.discard()
	return nil
}

// discard resets the candidate without checking for locks.
func (s *Store) discard() { s.candidate, s.candidateEdited = s.running.Clone(), false }

// Validate checks the content of a datastore as a whole, against the model and the guards.
func (s *Store) Validate(t Target) error {
	x, err := s.tree(t)
	if err != nil {
		return err
	}
	return s.Check(x)
}

// Check returns an error if the model or a guard does not allow next as the running configuration.
func (s *Store) Check(next *schema.Node) error {
	faults := s.Model.Validate(next)
	if len(faults) == 0 {
		faults = s.runGuards(next)
	}
	if len(faults) > 0 {
		return &Error{Faults: faults}
	}
	return nil
}

// runGuards returns the faults of all guards for a change from running to next.
func (s *Store) runGuards(next *schema.Node) (faults []schema.Fault) {
	for _, g := range s.Guards {
		faults = append(faults, g(s.running, next)...)
	}
	return faults
}
