package datastore

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"brookmux/internal/schema"
)

// Kind is what a transaction is for.
type Kind string

// The kinds.
const (
	KindCommit   Kind = "commit"   // a new running configuration
	KindConfirm  Kind = "confirm"  // the waiting commit stays; nothing changes
	KindRevert   Kind = "revert"   // the waiting commit is taken back
	KindRollback Kind = "rollback" // an earlier revision is in force again
	KindStartup  Kind = "startup"  // a new startup configuration
	KindBase     Kind = "base"     // all of it, in place of older records
)

// Record is a transaction as it is kept: what it changed, and who did so when. One record is durable as a whole or
// not at all, and the order of their numbers is that in which they took effect.
type Record struct {
	N       uint64          `json:"n"` // the revision that it makes; every record makes one
	Kind    Kind            `json:"kind"`
	Of      uint64          `json:"of,omitempty"` // the revision that is in force again
	Session SessionID       `json:"session,omitempty"`
	User    string          `json:"user,omitempty"`
	Via     string          `json:"via,omitempty"`
	At      time.Time       `json:"at"`
	Comment string          `json:"comment,omitempty"`
	Timeout time.Duration   `json:"timeout,omitempty"` // of a commit that waits for its confirmation, in nanoseconds
	Persist string          `json:"persist,omitempty"`
	Before  uint64          `json:"before,omitempty"` // the revision that it goes back to without one
	Changes []schema.Change `json:"changes,omitempty"`
	Items   []schema.Item   `json:"items,omitempty"`   // of a base: running
	Startup []schema.Item   `json:"startup,omitempty"` // of a base
}

// Txn is a transaction under way. Its Record is made durable between Ready and Made; then New takes effect.
type Txn struct {
	Record
	Old, New *schema.Node // running before and after; not to be changed
	fresh    bool         // the candidate is what running is once it is made
	startup  *schema.Node // of KindStartup
}

// confirmation is a commit that waits for one (RFC 6241, 8.4).
type confirmation struct {
	before  uint64 // the revision that is in force again without it
	session SessionID
	persist string
	until   time.Time
}

// Commit is how the candidate is committed (RFC 6241, 8.3.4.1 and 8.4.5).
type Commit struct {
	Confirmed bool
	Timeout   time.Duration // 0 is ten minutes
	Persist   string        // the commit outlives its session, and is confirmed by this
	PersistID string        // of the waiting commit
	Comment   string
}

const defaultTimeout = 10 * time.Minute

// commitable tells whether a session may make a transaction of running.
func (s *Store) commitable(id SessionID, persist string) error {
	if err := s.free(id, Running); err != nil {
		return err
	}
	if s.under != nil {
		return wrong(schema.InUse, "", "transaction %d is under way", s.under.N)
	}
	w := s.waits
	switch {
	case w == nil && persist != "":
		return wrong(schema.InvalidValue, "", "no commit waits for a confirmation")
	case w != nil && w.persist != "" && w.persist != persist:
		e := wrong(schema.InvalidValue, "", "a commit waits for a confirmation with its persist-id")
		e.Holder = w.session
		return e
	case w != nil && w.persist == "" && w.session != id:
		e := wrong(schema.InUse, "", "a commit of session %d waits for its confirmation", w.session)
		e.Holder = w.session
		return e
	}
	return nil
}

// Commit begins the transaction that makes running what the candidate is, or confirms one that waits.
func (s *Store) Commit(id SessionID, c Commit, at time.Time) (*Txn, error) {
	if err := s.commitable(id, c.PersistID); err != nil {
		return nil, err
	}
	if err := s.free(id, Candidate); err != nil {
		return nil, err
	}
	t, err := s.begin(id, s.candidate, at, c.Comment)
	if err != nil {
		return nil, err
	}
	t.fresh = true
	s.confirms(t, c)
	return t, nil
}

// confirms says what a transaction means for the confirmation of this or an earlier one.
func (s *Store) confirms(t *Txn, c Commit) {
	if c.Confirmed {
		if t.Timeout = c.Timeout; t.Timeout <= 0 {
			t.Timeout = defaultTimeout
		}
		t.Persist, t.Before = c.Persist, t.N-1
		if s.waits != nil { // one commit is extended: the way back is that of the first
			t.Before = s.waits.before
		}
	} else if s.waits != nil && len(t.Changes) == 0 {
		t.Kind = KindConfirm
	}
}

// Change begins a transaction of running without the candidate: an edit of running, or a gNMI Set, which may wait
// for a confirmation as a commit does.
func (s *Store) Change(id SessionID, e Edit, c Commit, at time.Time) (*Txn, error) {
	if err := s.commitable(id, c.PersistID); err != nil {
		return nil, err
	}
	if e.OnError != RollbackOnError {
		e.OnError = StopOnError // a transaction is made whole, or not at all
	}
	e.Test = Set // begin validates
	next := s.running.Clone()
	if faults := e.apply(next); len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	t, err := s.begin(id, next, at, c.Comment)
	if err != nil {
		return nil, err
	}
	s.confirms(t, c)
	return t, nil
}

// Swap is Change by a function that changes a copy of running.
func (s *Store) Swap(id SessionID, f func(*schema.Node) error, c Commit, at time.Time) (*Txn, error) {
	if err := s.commitable(id, c.PersistID); err != nil {
		return nil, err
	}
	next := s.running.Clone()
	if err := f(next); err != nil {
		return nil, err
	}
	t, err := s.begin(id, next, at, c.Comment)
	if err != nil {
		return nil, err
	}
	s.confirms(t, c)
	return t, nil
}

// Copy begins the transaction that puts a whole configuration in the place of running or startup.
func (s *Store) Copy(id SessionID, to Target, tree *schema.Node, at time.Time) (*Txn, error) {
	if to == Running {
		if err := s.commitable(id, ""); err != nil {
			return nil, err
		}
		return s.begin(id, tree, at, "")
	}
	if err := s.free(id, Startup); err != nil {
		return nil, err
	}
	if s.under != nil {
		return nil, wrong(schema.InUse, "", "transaction %d is under way", s.under.N)
	}
	if to != Startup {
		return nil, wrong(schema.InvalidValue, "", "no datastore %q to copy to by a transaction", to)
	}
	if err := s.allowed(id, s.startup, tree); err != nil {
		return nil, err
	}
	if faults := s.Model.Validate(tree); len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	t := s.txn(s.sessions[id], KindStartup, s.running, at)
	t.startup = tree.Clone()
	t.Changes = schema.Diff(s.startup, t.startup)
	return t, nil
}

// Rollback begins the transaction that puts an earlier revision in force again.
func (s *Store) Rollback(id SessionID, to uint64, at time.Time, comment string) (*Txn, error) {
	if err := s.commitable(id, ""); err != nil {
		return nil, err
	}
	tree, err := s.Revision(to)
	if err != nil {
		return nil, err
	}
	t, err := s.begin(id, tree, at, comment)
	if err != nil {
		return nil, err
	}
	t.Kind, t.Of = KindRollback, to
	return t, nil
}

// begin starts a transaction towards a tree, which is checked as a whole.
func (s *Store) begin(id SessionID, next *schema.Node, at time.Time, comment string) (*Txn, error) {
	if err := s.allowed(id, s.running, next); err != nil {
		return nil, err
	}
	if err := s.Check(next); err != nil {
		return nil, err
	}
	t := s.txn(s.sessions[id], KindCommit, next.Clone(), at)
	t.Comment = comment
	return t, nil
}

// txn is the one that is under way from now on.
func (s *Store) txn(who Session, kind Kind, next *schema.Node, at time.Time) *Txn {
	t := &Txn{Record: Record{N: s.last + 1, Kind: kind, Session: who.ID, User: who.User, Via: who.Via, At: at},
		Old: s.running, New: next}
	t.Changes = schema.Diff(t.Old, next)
	s.under = t
	return t
}

// Ready tells whether a transaction may be made durable: what was seen of the network since it began counts. If it
// may not, it is over. A way back is always ready: what is in force must not depend on what is seen.
func (s *Store) Ready(t *Txn) error {
	if s.under != t {
		return wrong(schema.OperationFailed, "", "transaction %d is not under way", t.N)
	}
	if t.Kind == KindRevert || t.Kind == KindConfirm || t.Kind == KindStartup {
		return nil
	}
	if faults := s.guard(t.New); len(faults) > 0 {
		s.under = nil
		return &Error{Faults: faults}
	}
	return nil
}

// Dropped tells that a transaction could not be made durable: nothing has changed.
func (s *Store) Dropped(t *Txn) {
	if s.under == t {
		s.under = nil
	}
}

// Made tells that a transaction is durable: from now on it is in force.
func (s *Store) Made(t *Txn) error {
	if s.under != t {
		return wrong(schema.OperationFailed, "", "transaction %d is not under way", t.N)
	}
	s.under = nil
	s.enter(t)
	return nil
}

// Failed tells that what was made could not take effect. The transaction that takes it back is under way then.
func (s *Store) Failed(t *Txn, at time.Time, why string) *Txn {
	if s.under != nil || s.last != t.N || t.N <= s.floor {
		return nil
	}
	s.waits = &confirmation{before: t.N - 1}
	if t.Timeout > 0 {
		s.waits.before = t.Before // nobody confirms what did not take effect
	}
	return s.back(Session{Via: "system"}, at, KindRevert, why)
}

// back begins the transaction that takes the waiting commit back.
func (s *Store) back(who Session, at time.Time, kind Kind, why string) *Txn {
	tree, err := s.Revision(s.waits.before)
	if err != nil { // it is kept as long as something waits for it, see trim
		tree = s.running
	}
	t := s.txn(who, kind, tree, at)
	t.Of, t.Comment = s.waits.before, why
	return t
}

// Cancel begins the transaction that takes the waiting commit back at a session's wish (RFC 6241, 8.4.4.1).
func (s *Store) Cancel(id SessionID, persistID string, at time.Time) (*Txn, error) {
	if s.waits == nil {
		return nil, wrong(schema.OperationFailed, "", "no commit waits for a confirmation")
	}
	if err := s.commitable(id, persistID); err != nil {
		return nil, err
	}
	return s.back(s.sessions[id], at, KindRevert, "cancelled"), nil
}

// Expired begins the transaction that takes the waiting commit back when its time is up, or returns nil.
func (s *Store) Expired(at time.Time) *Txn {
	if s.waits == nil || s.under != nil || at.Before(s.waits.until) {
		return nil
	}
	return s.back(Session{Via: "system"}, at, KindRevert, "not confirmed in time")
}

// Waits tells until when a commit waits for its confirmation, and whether one does.
func (s *Store) Waits() (time.Time, bool) {
	if s.waits == nil {
		return time.Time{}, false
	}
	return s.waits.until, true
}

// enter takes what a transaction made.
func (s *Store) enter(t *Txn) {
	r := t.Record
	s.last = r.N
	s.history = append(s.history, r)
	if r.Kind == KindStartup {
		s.startup = t.startup
		return
	}
	s.running = t.New
	if t.fresh || !s.edited {
		s.discard()
	}
	if s.waits = nil; r.Timeout > 0 {
		s.waits = &confirmation{before: r.Before, session: r.Session, persist: r.Persist, until: r.At.Add(r.Timeout)}
	}
}

// Revision returns running as an earlier transaction left it.
func (s *Store) Revision(n uint64) (*schema.Node, error) {
	if n > s.last || n < s.floor {
		return nil, wrong(schema.InvalidValue, "", "revision %d is not kept: %d to %d are", n, s.floor, s.last)
	}
	tree := s.running.Clone()
	for _, r := range slices.Backward(s.history) {
		if r.N <= n {
			break
		}
		if r.Kind == KindStartup {
			continue
		}
		if err := tree.Patch(inverse(r.Changes)); err != nil {
			return nil, fmt.Errorf("datastore: revision %d: %w", r.N, err)
		}
	}
	return tree, nil
}

// inverse takes changes back.
func inverse(changes []schema.Change) []schema.Change {
	out := make([]schema.Change, 0, len(changes))
	for _, c := range slices.Backward(changes) {
		out = append(out, schema.Change{Path: c.Path, Old: c.New, New: c.Old})
	}
	return out
}

// Diff returns what changed between two revisions.
func (s *Store) Diff(from, to uint64) ([]schema.Change, error) {
	a, err := s.Revision(from)
	if err != nil {
		return nil, err
	}
	b, err := s.Revision(to)
	if err != nil {
		return nil, err
	}
	return schema.Diff(a, b), nil
}

// History returns the records that are kept, the oldest first.
func (s *Store) History() []Record { return slices.Clone(s.history) }

// Tell adds the history to a tree, as the module brookmux-transactions has it. What a comment holds that a tree can't is
// left out.
func (s *Store) Tell(tree *schema.Node) {
	for _, r := range s.history {
		at := fmt.Sprintf("/transactions/transaction[revision='%d']/", r.N)
		for leaf, v := range map[string]string{"kind": string(r.Kind), "user": r.User, "via": r.Via, "comment": r.Comment,
			"at": r.At.UTC().Format(time.RFC3339Nano), "changes": strconv.Itoa(len(r.Changes))} {
			if v != "" {
				_ = tree.Put(schema.Item{Path: at + leaf, Value: v}) // see above
			}
		}
		if r.Of > 0 {
			_ = tree.Put(schema.Item{Path: at + "of", Value: strconv.FormatUint(r.Of, 10)}) // a number is one that it can hold
		}
	}
}

// Last is the number of the last transaction that was made.
func (s *Store) Last() uint64 { return s.last }
