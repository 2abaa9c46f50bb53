// Package transact executes configuration transactions: it makes each one durable, applies it to the parts of the
// program one by one, and reverts it if a part fails. It owns a datastore.Store, which makes the decisions, and the
// journal. It is independent of the management protocols, and accesses the program only through the Part interface.
package transact

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"brookmux/internal/datastore"
	"brookmux/internal/schema"
)

// Part is a part of the program that configuration is applied to, such as the engine, the directory or a front.
type Part interface {
	// Name returns the name of the part for error messages.
	Name() string
	// Apply applies a revision. It may be called again with the same revision, but never with an older one than
	// before. The whole tree is the configuration to apply; the changes are only a hint where to look, and may be
	// empty. Apply must not modify the tree or block on calls. If it returns an error, the transaction is reverted.
	Apply(revision uint64, running *schema.Node, changes []schema.Change) error
}

// Journal stores records durably; *journal.Journal implements it. With a nil Journal, an Owner keeps records in memory
// only.
type Journal interface {
	Append(datastore.Record) error
	Trim(base datastore.Record) error
	Close() error
}

// Event describes a completed transaction, for notifications and subscriptions.
type Event struct {
	datastore.Record
	Running    *schema.Node // after the transaction; read-only
	FailReason string       // why a part could not apply it, so that it is reverted; empty if it is in force
}

// Config holds the parameters of an Owner.
type Config struct {
	Store         datastore.Config
	Journal       Journal
	Records       []datastore.Record // records read from the journal when it was opened
	Parts         []Part
	Now           func() time.Time
	Log           *slog.Logger
	OnTransaction func(Event) // called with each transaction, in order; must not block or call the Owner; may be nil
}

// Owner serializes the requests of all sessions to its Store and executes their transactions. It is safe for concurrent
// use. Call processing never waits for it.
type Owner struct {
	Config
	mu    sync.Mutex
	store *datastore.Store
}

// New returns an Owner with the state restored from Config.Records. It reverts a commit that was still pending, and
// applies the running configuration to all parts.
func New(c Config) (*Owner, error) {
	store, err := datastore.New(c.Store)
	if err != nil {
		return nil, err
	}
	o := &Owner{Config: c, store: store}
	revert, err := store.Restore(c.Records, c.Now())
	if err != nil {
		return nil, err
	}
	if revert != nil {
		if err := o.persist(revert); err != nil {
			return nil, err
		}
		o.notify(revert, "")
	}
	running, err := store.Get(datastore.Running)
	if err != nil {
		return nil, err
	}
	now := &datastore.Txn{Record: datastore.Record{Revision: store.LastRevision(), Kind: datastore.KindBase}, New: running}
	if failed := o.apply(now); failed != nil {
		// A part can't apply the last transaction: the process ended after making it durable and before reverting it.
		revert := store.RevertFailed(now, c.Now(), failed.Error())
		if revert == nil {
			return nil, failed
		}
		if err := o.execute(revert); err != nil {
			return nil, errors.Join(failed, err)
		}
	}
	return o, nil
}

// View calls f with the store, for reading. f must not retain the store.
func (o *Owner) View(f func(*datastore.Store)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.store)
}

// Do calls f with the store for an operation that begins no transaction, such as an edit of the candidate or a lock.
func (o *Owner) Do(f func(*datastore.Store) error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return f(o.store)
}

// Execute executes the transaction that f begins, and returns its record. If the error is nil, the transaction is
// durable and applied to all parts. If f returns a nil transaction, Execute returns a zero record.
func (o *Owner) Execute(f func(*datastore.Store, time.Time) (*datastore.Txn, error)) (datastore.Record, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, err := f(o.store, o.Now())
	if err != nil || t == nil {
		return datastore.Record{}, err
	}
	return t.Record, o.execute(t)
}

// CloseSession ends a session, and reverts its pending commit if that does not outlive the session.
func (o *Owner) CloseSession(id datastore.SessionID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.executeRevert(o.store.CloseSession(id, o.Now()))
}

// Close waits for the request in progress and closes the journal. Later transactions fail if there is a journal.
func (o *Owner) Close() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.Journal == nil {
		return nil
	}
	return o.Journal.Close()
}

// Tick reverts a pending commit whose confirmation timeout has expired. The caller calls it a few times per second.
func (o *Owner) Tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.executeRevert(o.store.RevertExpired(o.Now()))
}

// executeRevert executes a revert that no session requested, if t is not nil, and logs its failure. The lock is held.
func (o *Owner) executeRevert(t *datastore.Txn) {
	if t == nil {
		return
	}
	if err := o.execute(t); err != nil {
		o.Log.Error("configuration change not reverted", "transaction", t.Revision, "error", err)
	}
}

// execute makes a transaction durable and applies it. If a part fails, it reverts the transaction and returns the
// error. The lock is held.
func (o *Owner) execute(t *datastore.Txn) error {
	if err := o.persist(t); err != nil {
		return err
	}
	failed := o.apply(t)
	if failed == nil {
		o.notify(t, "")
		o.trimJournal()
		return nil
	}
	o.notify(t, failed.Error())
	revert := o.store.RevertFailed(t, o.Now(), failed.Error())
	if revert == nil {
		return failed
	}
	err := o.persist(revert)
	if err == nil {
		if err = o.apply(revert); err == nil {
			o.notify(revert, "")
		}
	}
	if err != nil {
		o.Log.Error("configuration change not reverted", "transaction", t.Revision, "error", err)
	}
	return errors.Join(failed, err)
}

// persist makes a transaction durable in the journal and completes it in the store. It does not apply it to the parts.
func (o *Owner) persist(t *datastore.Txn) error {
	if err := o.store.CheckReady(t); err != nil {
		return err
	}
	if o.Journal != nil {
		if err := o.Journal.Append(t.Record); err != nil {
			o.store.Abort(t)
			return fmt.Errorf("transact: transaction %d: %w", t.Revision, err)
		}
	}
	return o.store.Complete(t)
}

// apply applies a transaction to all parts, up to the first that fails. A startup change or a confirmation does not
// change running and is not applied.
func (o *Owner) apply(t *datastore.Txn) error {
	if t.Kind == datastore.KindStartup || t.Kind == datastore.KindConfirm {
		return nil
	}
	for _, p := range o.Parts {
		if err := p.Apply(t.Revision, t.New, t.Changes); err != nil {
			return fmt.Errorf("transact: %s: transaction %d: %w", p.Name(), t.Revision, err)
		}
	}
	return nil
}

// notify logs a transaction, for the audit trail, and passes it to Config.OnTransaction.
func (o *Owner) notify(t *datastore.Txn, failed string) {
	o.Log.Info("configuration", "transaction", t.Revision, "kind", string(t.Kind), "session", uint32(t.Session), "user", t.User,
		"via", t.Via, "changes", len(t.Changes), "comment", t.Comment, "failed", failed)
	if o.OnTransaction != nil {
		o.OnTransaction(Event{Record: t.Record, Running: t.New, FailReason: failed})
	}
}

// trimJournal bounds the size of the journal and the history. A failure is logged only; the transactions stay in force.
func (o *Owner) trimJournal() {
	base, ok, err := o.store.Trim()
	if err == nil && ok && o.Journal != nil {
		err = o.Journal.Trim(base)
	}
	if err == nil && ok {
		err = o.store.FinishTrim(base)
	}
	if err != nil {
		o.Log.Error("journal not trimmed", "error", err)
	}
}
