package datastore

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"brookmux/internal/schema"
)

// Kind is the purpose of a transaction. Its values are stored in the journal and shown in the history.
type Kind string

// The kinds of transactions.
const (
	KindCommit   Kind = "commit"   // a new running configuration
	KindConfirm  Kind = "confirm"  // confirms the pending commit; changes no data
	KindRevert   Kind = "revert"   // reverts the pending commit, or one that could not be applied
	KindRollback Kind = "rollback" // restores an earlier revision
	KindStartup  Kind = "startup"  // a new startup configuration
	KindBase     Kind = "base"     // a full snapshot that replaces older records
)

// Record is the stored form of a transaction: what it changed, who made it and when. A record is durable as a whole or
// not at all. Records are numbered without gaps in the order in which they took effect.
type Record struct {
	Revision         uint64          `json:"n"` // the revision that it creates; every record creates one
	Kind             Kind            `json:"kind"`
	RestoredRevision uint64          `json:"of,omitempty"` // of a rollback or revert: the revision that it restores
	Session          SessionID       `json:"session,omitempty"`
	User             string          `json:"user,omitempty"`
	Via              string          `json:"via,omitempty"`
	At               time.Time       `json:"at"`
	Comment          string          `json:"comment,omitempty"`
	Timeout          time.Duration   `json:"timeout,omitempty"` // of a confirmed commit, in nanoseconds; else 0
	Persist          string          `json:"persist,omitempty"`
	RevertTo         uint64          `json:"before,omitempty"` // restored if a confirmed commit is not confirmed
	Changes          []schema.Change `json:"changes,omitempty"`
	Items            []schema.Item   `json:"items,omitempty"`   // of a base: the content of running
	Startup          []schema.Item   `json:"startup,omitempty"` // of a base: the content of startup
}

// Txn is a transaction in progress. The owner of the Store makes its Record durable between CheckReady and Complete;
// New is then the running configuration.
type Txn struct {
	Record
	Old, New        *schema.Node // running before and after; read-only
	resetsCandidate bool         // the candidate becomes a copy of running on completion
	startup         *schema.Node // of KindStartup: the new startup configuration
}

// confirmation describes a confirmed commit that is not yet confirmed (RFC 6241, 8.4).
type confirmation struct {
	revertTo uint64 // the revision to restore if it is not confirmed
	session  SessionID
	persist  string
	deadline time.Time
}

// Commit holds the parameters of a commit (RFC 6241, 8.3.4.1 and 8.4.5).
type Commit struct {
	Confirmed bool
	Timeout   time.Duration // to the confirmation; 0 for the default of ten minutes
	Persist   string        // if set, the commit outlives its session and is confirmed with this value
	PersistID string        // the persist value of the pending commit
	Comment   string
}

const defaultConfirmTimeout = 10 * time.Minute // RFC 6241, 8.4.1

// checkCommit returns an error if a session may not begin a transaction on running: another session holds the lock,
// another transaction is in progress, or a pending commit belongs to another session or needs another persist-id.
func (s *Store) checkCommit(id SessionID, persist string) error {
	if err := s.checkLock(id, Running); err != nil {
		return err
	}
	if s.inProgress != nil {
		return newError(schema.InUse, "", "transaction %d is under way", s.inProgress.Revision)
	}
	conf := s.pending
	switch {
	case conf == nil && persist != "":
		return newError(schema.InvalidValue, "", "no commit waits for a confirmation")
	case conf != nil && conf.persist != "" && conf.persist != persist:
		e := newError(schema.InvalidValue, "", "a commit waits for a confirmation with its persist-id")
		e.Holder = conf.session
		return e
	case conf != nil && conf.persist == "" && conf.session != id:
		e := newError(schema.InUse, "", "a commit of session %d waits for its confirmation", conf.session)
		e.Holder = conf.session
		return e
	}
	return nil
}

// Commit begins the transaction that copies the candidate to running. It also confirms the pending commit, if there is
// one, unless it is a confirmed commit itself and extends it.
func (s *Store) Commit(id SessionID, c Commit, at time.Time) (*Txn, error) {
	if err := s.checkCommit(id, c.PersistID); err != nil {
		return nil, err
	}
	if err := s.checkLock(id, Candidate); err != nil {
		return nil, err
	}
	t, err := s.begin(id, s.candidate, at, c.Comment)
	if err != nil {
		return nil, err
	}
	t.resetsCandidate = true
	s.setConfirmation(t, c)
	return t, nil
}

// setConfirmation sets the confirmation parameters of a confirmed commit. Any other commit confirms the pending one; it
// is of KindConfirm if it changes nothing.
func (s *Store) setConfirmation(t *Txn, c Commit) {
	if c.Confirmed {
		if t.Timeout = c.Timeout; t.Timeout <= 0 {
			t.Timeout = defaultConfirmTimeout
		}
		t.Persist, t.RevertTo = c.Persist, t.Revision-1
		if s.pending != nil { // extends the pending commit: revert to the revision before the first one
			t.RevertTo = s.pending.revertTo
		}
	} else if s.pending != nil && len(t.Changes) == 0 {
		t.Kind = KindConfirm
	}
}

// Change begins a transaction that edits running directly, without the candidate. Like a commit, it may require a
// confirmation.
func (s *Store) Change(id SessionID, e Edit, c Commit, at time.Time) (*Txn, error) {
	if err := s.checkCommit(id, c.PersistID); err != nil {
		return nil, err
	}
	if e.OnError != RollbackOnError {
		e.OnError = StopOnError // any fault fails the whole transaction
	}
	e.Test = Set // begin validates the result
	next := s.running.Clone()
	if faults := e.apply(next); len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	t, err := s.begin(id, next, at, c.Comment)
	if err != nil {
		return nil, err
	}
	s.setConfirmation(t, c)
	return t, nil
}

// Swap is like Change, but f makes the change, on a copy of running. gNMI Set uses it.
func (s *Store) Swap(id SessionID, f func(*schema.Node) error, c Commit, at time.Time) (*Txn, error) {
	if err := s.checkCommit(id, c.PersistID); err != nil {
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
	s.setConfirmation(t, c)
	return t, nil
}

// Copy begins the transaction that replaces running or startup with a complete configuration.
func (s *Store) Copy(id SessionID, to Target, tree *schema.Node, at time.Time) (*Txn, error) {
	if to == Running {
		if err := s.checkCommit(id, ""); err != nil {
			return nil, err
		}
		return s.begin(id, tree, at, "")
	}
	if err := s.checkLock(id, Startup); err != nil {
		return nil, err
	}
	if s.inProgress != nil {
		return nil, newError(schema.InUse, "", "transaction %d is under way", s.inProgress.Revision)
	}
	if to != Startup {
		return nil, newError(schema.InvalidValue, "", "no datastore %q to copy to by a transaction", to)
	}
	if err := s.checkAccess(id, s.startup, tree); err != nil {
		return nil, err
	}
	if faults := s.Model.Validate(tree); len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	t := s.startTxn(s.sessions[id], KindStartup, s.running, at)
	t.startup = tree.Clone()
	t.Changes = schema.Diff(s.startup, t.startup)
	return t, nil
}

// Rollback begins the transaction that restores an earlier revision of running.
func (s *Store) Rollback(id SessionID, to uint64, at time.Time, comment string) (*Txn, error) {
	if err := s.checkCommit(id, ""); err != nil {
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
	t.Kind, t.RestoredRevision = KindRollback, to
	return t, nil
}

// begin checks access to the changes, validates next as a whole, and starts the transaction that makes it running.
func (s *Store) begin(id SessionID, next *schema.Node, at time.Time, comment string) (*Txn, error) {
	if err := s.checkAccess(id, s.running, next); err != nil {
		return nil, err
	}
	if err := s.Check(next); err != nil {
		return nil, err
	}
	t := s.startTxn(s.sessions[id], KindCommit, next.Clone(), at)
	t.Comment = comment
	return t, nil
}

// startTxn creates a transaction and marks it as the one in progress. The caller has checked that there is no other.
func (s *Store) startTxn(session Session, kind Kind, next *schema.Node, at time.Time) *Txn {
	t := &Txn{Record: Record{Revision: s.lastRevision + 1, Kind: kind, Session: session.ID, User: session.User, Via: session.Via, At: at},
		Old: s.running, New: next}
	t.Changes = schema.Diff(t.Old, next)
	s.inProgress = t
	return t
}

// CheckReady runs the guards again immediately before a transaction is made durable, as the state of the network may
// have changed since it began. If it returns an error, the transaction has ended. Reverts, confirmations and startup
// changes always pass: a revert must not depend on the observed state of the network.
func (s *Store) CheckReady(t *Txn) error {
	if s.inProgress != t {
		return newError(schema.OperationFailed, "", "transaction %d is not under way", t.Revision)
	}
	if t.Kind == KindRevert || t.Kind == KindConfirm || t.Kind == KindStartup {
		return nil
	}
	if faults := s.runGuards(t.New); len(faults) > 0 {
		s.inProgress = nil
		return &Error{Faults: faults}
	}
	return nil
}

// Abort ends a transaction that could not be made durable. Nothing changes.
func (s *Store) Abort(t *Txn) {
	if s.inProgress == t {
		s.inProgress = nil
	}
}

// Complete puts a transaction in force. The caller has made its record durable.
func (s *Store) Complete(t *Txn) error {
	if s.inProgress != t {
		return newError(schema.OperationFailed, "", "transaction %d is not under way", t.Revision)
	}
	s.inProgress = nil
	s.install(t)
	return nil
}

// RevertFailed begins the transaction that reverts t, which was completed but could not be applied. It returns nil if
// another transaction is in progress, t is not the last one, or the revision before it is not kept.
func (s *Store) RevertFailed(t *Txn, at time.Time, reason string) *Txn {
	if s.inProgress != nil || s.lastRevision != t.Revision || t.Revision <= s.minRevision {
		return nil
	}
	s.pending = &confirmation{revertTo: t.Revision - 1}
	if t.Timeout > 0 {
		s.pending.revertTo = t.RevertTo // a commit that was not applied can't be confirmed
	}
	return s.beginRevert(Session{Via: "system"}, at, KindRevert, reason)
}

// beginRevert begins the transaction that reverts the pending commit.
func (s *Store) beginRevert(session Session, at time.Time, kind Kind, reason string) *Txn {
	tree, err := s.Revision(s.pending.revertTo)
	if err != nil { // not expected: Trim keeps this revision while a commit is pending
		tree = s.running
	}
	t := s.startTxn(session, kind, tree, at)
	t.RestoredRevision, t.Comment = s.pending.revertTo, reason
	return t
}

// Cancel begins the transaction that reverts the pending commit at the request of a session (RFC 6241, 8.4.4.1).
func (s *Store) Cancel(id SessionID, persistID string, at time.Time) (*Txn, error) {
	if s.pending == nil {
		return nil, newError(schema.OperationFailed, "", "no commit waits for a confirmation")
	}
	if err := s.checkCommit(id, persistID); err != nil {
		return nil, err
	}
	return s.beginRevert(s.sessions[id], at, KindRevert, "cancelled"), nil
}

// RevertExpired begins the transaction that reverts the pending commit if its confirmation timeout has expired.
// Otherwise, or while another transaction is in progress, it returns nil.
func (s *Store) RevertExpired(at time.Time) *Txn {
	if s.pending == nil || s.inProgress != nil || at.Before(s.pending.deadline) {
		return nil
	}
	return s.beginRevert(Session{Via: "system"}, at, KindRevert, "not confirmed in time")
}

// ConfirmDeadline returns the time at which the pending commit expires, and whether a commit is pending.
func (s *Store) ConfirmDeadline() (time.Time, bool) {
	if s.pending == nil {
		return time.Time{}, false
	}
	return s.pending.deadline, true
}

// install applies a completed transaction to the datastores, the history and the pending confirmation.
func (s *Store) install(t *Txn) {
	r := t.Record
	s.lastRevision = r.Revision
	s.history = append(s.history, r)
	if r.Kind == KindStartup {
		s.startup = t.startup
		return
	}
	s.running = t.New
	if t.resetsCandidate || !s.candidateEdited {
		s.discard()
	}
	if s.pending = nil; r.Timeout > 0 {
		s.pending = &confirmation{revertTo: r.RevertTo, session: r.Session, persist: r.Persist, deadline: r.At.Add(r.Timeout)}
	}
}

// Revision returns a copy of running as it was after transaction n. A revision before the oldest kept one is an error.
func (s *Store) Revision(n uint64) (*schema.Node, error) {
	if n > s.lastRevision || n < s.minRevision {
		return nil, newError(schema.InvalidValue, "", "revision %d is not kept: %d to %d are", n, s.minRevision, s.lastRevision)
	}
	x, err := s.replay(n)
	return x.running, err
}

// replay returns running and startup as they were after transaction n, which must be kept. It applies the changes of
// the kept records to the oldest revision. Undoing later records would not do: the change that removes an entry from a
// list that is ordered by the user does not say where it was.
func (s *Store) replay(n uint64) (content, error) {
	x := s.oldest.clone()
	for _, r := range s.history {
		if r.Revision > n {
			break
		}
		tree := x.running
		if r.Kind == KindStartup {
			tree = x.startup
		}
		if err := tree.Patch(r.Changes); err != nil {
			return content{}, fmt.Errorf("datastore: revision %d: %w", r.Revision, err)
		}
	}
	return x, nil
}

// Superseded is a running configuration that another one has replaced.
type Superseded struct {
	Running *schema.Node
	At      time.Time // when it was replaced
}

// SupersededSince returns the kept configurations that were replaced after a time, the last one first.
func (s *Store) SupersededSince(after time.Time) ([]Superseded, error) {
	var out []Superseded
	x := s.oldest.clone()
	for _, r := range s.history {
		if r.Kind == KindStartup || len(r.Changes) == 0 {
			continue
		}
		if r.At.After(after) {
			out = append(out, Superseded{x.running.Clone(), r.At})
		}
		if err := x.running.Patch(r.Changes); err != nil {
			return nil, fmt.Errorf("datastore: revision %d: %w", r.Revision, err)
		}
	}
	slices.Reverse(out)
	return out, nil
}

// Diff returns the changes from one revision of running to another.
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

// History returns a copy of the kept records, oldest first.
func (s *Store) History() []Record { return slices.Clone(s.history) }

// AddHistory adds the history to a tree, as the module brookmux-transactions defines it. A value that the model does
// not allow, such as a comment with unsupported characters, is left out.
func (s *Store) AddHistory(tree *schema.Node) {
	for _, r := range s.history {
		prefix := fmt.Sprintf("/transactions/transaction[revision='%d']/", r.Revision)
		for leaf, v := range map[string]string{"kind": string(r.Kind), "user": r.User, "via": r.Via, "comment": r.Comment,
			"at": r.At.UTC().Format(time.RFC3339Nano), "changes": strconv.Itoa(len(r.Changes))} {
			if v != "" {
				_ = tree.Put(schema.Item{Path: prefix + leaf, Value: v}) // left out if the model does not allow it
			}
		}
		if r.RestoredRevision > 0 {
			// A number is always valid here.
			_ = tree.Put(schema.Item{Path: prefix + "of", Value: strconv.FormatUint(r.RestoredRevision, 10)})
		}
	}
}

// LastRevision returns the number of the last completed transaction, which is the current revision.
func (s *Store) LastRevision() uint64 { return s.lastRevision }
