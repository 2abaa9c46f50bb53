// Package datastore decides what happens to the configuration: candidate, running and startup, sessions and their
// locks, edits, transactions with confirmation, history and the way back (RFC 6241, RFC 8342). Events go in with
// the time at which they came, and transactions come out. It has no I/O, no clock and no goroutine: whoever owns a
// Store makes its transactions durable and lets them take effect, and says how that went. What a tree means is for
// package schema.
package datastore

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"brookmux/internal/schema"
)

// Target is a datastore (RFC 8342, 5).
type Target string

// The datastores.
const (
	Running   Target = "running"
	Candidate Target = "candidate"
	Startup   Target = "startup"
)

// SessionID tells sessions apart; 0 is none (RFC 6241, 7.5).
type SessionID uint32

// Session is one user's way in.
type Session struct {
	ID   SessionID
	User string
	Via  string // netconf, gnmi or system
}

// Error is why something was not done.
type Error struct {
	Faults []schema.Fault
	Holder SessionID // of the lock or commit in the way, 0 for none
}

// Error implements error.
func (e *Error) Error() string {
	words := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		words = append(words, f.Error())
	}
	return strings.Join(words, "; ")
}

// wrong returns an Error of one fault.
func wrong(tag schema.Tag, path, format string, args ...any) *Error {
	return &Error{Faults: []schema.Fault{{Tag: tag, Path: path, Message: fmt.Sprintf(format, args...)}}}
}

// Guard tells what is wrong with a change beside what the model says, as what is seen of the network now has it.
// It must not change the trees.
type Guard func(old, new *schema.Node) []schema.Fault

// Config says what a Store is.
type Config struct {
	Model    *schema.Model
	Keep     int // revisions that can be gone back to
	Sessions int // most at a time
	Guards   []Guard
	Access   Access // nil: everybody may change everything
}

// Access tells which of the changes between two trees a session may not make. The rules are those of running, as long
// as it is in force.
type Access func(who Session, running, old, next *schema.Node, changes []schema.Change) []schema.Fault

// Store is the state of all datastores. Its methods are called by one owner.
type Store struct {
	Config
	running, candidate, startup *schema.Node
	edited                      bool // the candidate differs from what it was copied from
	sessions                    map[SessionID]Session
	locks                       map[Target]SessionID
	lastID                      SessionID
	last                        uint64   // number of the last transaction
	history                     []Record // the last of them, see Config.Keep
	floor                       uint64   // the revision before the oldest of them
	under                       *Txn     // under way
	waits                       *confirmation
}

// errNoSession tells that a session has ended.
var errNoSession = errors.New("datastore: no such session")

// New returns a Store whose datastores are empty.
func New(c Config) (*Store, error) {
	if c.Model == nil || c.Keep < 1 || c.Sessions < 1 {
		return nil, errors.New("datastore: a model, a history and sessions are needed")
	}
	return &Store{Config: c, running: c.Model.NewTree(), candidate: c.Model.NewTree(), startup: c.Model.NewTree(),
		sessions: map[SessionID]Session{}, locks: map[Target]SessionID{}}, nil
}

// Open lets a session in.
func (s *Store) Open(user, via string) (Session, error) {
	if len(s.sessions) >= s.Sessions {
		return Session{}, wrong(schema.ResourceDenied, "", "%d sessions are open", len(s.sessions))
	}
	for s.lastID++; s.lastID == 0 || s.sessions[s.lastID].ID != 0; s.lastID++ {
	}
	x := Session{s.lastID, user, via}
	s.sessions[x.ID] = x
	return x, nil
}

// Close ends a session, whatever ended it: its locks are released, edits of a candidate that it had locked are
// discarded (RFC 6241, 8.3.5.2), and a commit of its own that waits for its confirmation is taken back by the
// transaction that is returned, if any (8.4.1).
func (s *Store) Close(id SessionID, at time.Time) *Txn {
	who, ok := s.sessions[id]
	if !ok {
		return nil
	}
	delete(s.sessions, id)
	for t, holder := range s.locks {
		if holder == id {
			s.unlock(t)
		}
	}
	if w := s.waits; w != nil && w.session == id && w.persist == "" {
		if s.under != nil { // it is made or not first; then Expired takes it back
			w.until = at
			return nil
		}
		return s.back(who, at, KindRevert, "its session ended before it was confirmed")
	}
	return nil
}

// SessionOf returns a session that is open.
func (s *Store) SessionOf(id SessionID) (Session, bool) {
	x, ok := s.sessions[id]
	return x, ok
}

// Lock gives a session a datastore to itself (RFC 6241, 7.5).
func (s *Store) Lock(id SessionID, t Target) error {
	if _, ok := s.sessions[id]; !ok {
		return errNoSession
	}
	if holder := s.locks[t]; holder != 0 {
		e := wrong(schema.LockDenied, "", "%s is locked by session %d", t, holder)
		e.Holder = holder
		return e
	}
	switch {
	case t == Candidate && s.edited:
		return wrong(schema.LockDenied, "", "the candidate has edits that are neither committed nor discarded")
	case t == Running && s.waits != nil && s.waits.session != id:
		e := wrong(schema.LockDenied, "", "a commit of session %d waits for its confirmation", s.waits.session)
		e.Holder = s.waits.session
		return e
	}
	s.locks[t] = id
	return nil
}

// Unlock gives it back.
func (s *Store) Unlock(id SessionID, t Target) error {
	if s.locks[t] != id || id == 0 {
		return wrong(schema.OperationFailed, "", "%s is not locked by this session", t)
	}
	s.unlock(t)
	return nil
}

func (s *Store) unlock(t Target) {
	delete(s.locks, t)
	if t == Candidate {
		s.discard()
	}
}

// free tells whether a session may change a datastore.
func (s *Store) free(id SessionID, t Target) error {
	if _, ok := s.sessions[id]; !ok {
		return errNoSession
	}
	if holder := s.locks[t]; holder != 0 && holder != id {
		e := wrong(schema.InUse, "", "%s is locked by session %d", t, holder)
		e.Holder = holder
		return e
	}
	return nil
}

// Get returns a copy of a datastore.
func (s *Store) Get(t Target) (*schema.Node, error) {
	x, err := s.tree(t)
	if err != nil {
		return nil, err
	}
	return x.Clone(), nil
}

func (s *Store) tree(t Target) (*schema.Node, error) {
	switch t {
	case Running:
		return s.running, nil
	case Candidate:
		return s.candidate, nil
	case Startup:
		return s.startup, nil
	}
	return nil, wrong(schema.InvalidValue, "", "no datastore %q", t)
}

// Edit changes the candidate. Running and startup are changed by transactions only, see Begin.
func (s *Store) Edit(id SessionID, e Edit) error {
	if err := s.free(id, Candidate); err != nil {
		return err
	}
	next, err := s.after(s.candidate, e)
	if next == nil || e.Test == TestOnly {
		return err
	}
	if err := s.allowed(id, s.candidate, next); err != nil {
		return err
	}
	s.candidate, s.edited = next, true
	return err
}

// allowed tells whether a session may turn one tree into another.
func (s *Store) allowed(id SessionID, old, next *schema.Node) error {
	if s.Access == nil {
		return nil
	}
	if faults := s.Access(s.sessions[id], s.running, old, next, schema.Diff(old, next)); len(faults) > 0 {
		return &Error{Faults: faults}
	}
	return nil
}

// after returns a tree with an edit made, or nil where nothing of it is kept, and what was wrong with it.
func (s *Store) after(base *schema.Node, e Edit) (*schema.Node, error) {
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

// Try tells what an edit of running would come to, and changes nothing.
func (s *Store) Try(id SessionID, e Edit) error {
	if err := s.free(id, Running); err != nil {
		return err
	}
	e.Test = TestOnly
	_, err := s.after(s.running, e)
	return err
}

// Replace puts a whole configuration in the candidate's place (RFC 6241, 7.3).
func (s *Store) Replace(id SessionID, tree *schema.Node) error {
	if err := s.free(id, Candidate); err != nil {
		return err
	}
	if err := s.allowed(id, s.candidate, tree); err != nil {
		return err
	}
	s.candidate, s.edited = tree.Clone(), true
	return nil
}

// Discard makes the candidate what running is (RFC 6241, 8.3.4.2).
func (s *Store) Discard(id SessionID) error {
	if err := s.free(id, Candidate); err != nil {
		return err
	}
	s.discard()
	return nil
}

func (s *Store) discard() { s.candidate, s.edited = s.running.Clone(), false }

// Validate tells what is wrong with a datastore as a whole, also with what is seen of the network now.
func (s *Store) Validate(t Target) error {
	x, err := s.tree(t)
	if err != nil {
		return err
	}
	return s.Check(x)
}

// Check tells whether a tree may become the running one.
func (s *Store) Check(next *schema.Node) error {
	faults := s.Model.Validate(next)
	if len(faults) == 0 {
		faults = s.guard(next)
	}
	if len(faults) > 0 {
		return &Error{Faults: faults}
	}
	return nil
}

func (s *Store) guard(next *schema.Node) (faults []schema.Fault) {
	for _, g := range s.Guards {
		faults = append(faults, g(s.running, next)...)
	}
	return faults
}
