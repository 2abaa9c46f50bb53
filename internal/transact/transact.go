// Package transact carries the configuration's transactions out: it makes each durable, lets it take effect part by
// part, and takes it back where a part can't. It owns a datastore.Store and the journal; what is decided is decided
// there. It knows nothing of wires, and of the program only its parts.
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

// Part is a part of the program that configuration takes effect in, as the engine, the directory or a front.
type Part interface {
	// Name is for the log.
	Name() string
	// Apply lets a revision take effect. The same one may come again, and one that is older than what has taken
	// effect may not: what counts is the whole tree, the changes only say where to look. It must not block on
	// calls. An error takes the transaction back.
	Apply(revision uint64, running *schema.Node, changes []schema.Change) error
}

// Journal keeps records; *journal.Journal is one. nil is one in memory.
type Journal interface {
	Append(datastore.Record) error
	Trim(base datastore.Record) error
	Close() error
}

// Event tells that a transaction was made, for notifications and subscriptions.
type Event struct {
	datastore.Record
	Running *schema.Node // after it; not to be changed
	Failed  string       // why it was taken back right away, if it was
}

// Config says what an Owner is.
type Config struct {
	Store   datastore.Config
	Journal Journal
	Kept    []datastore.Record // that the journal held when it was opened
	Parts   []Part
	Now     func() time.Time
	Log     *slog.Logger
	Told    func(Event) // called with each transaction, in order; must not block or call back
}

// Owner serves sessions, one request at a time. No call of a border controller waits for it.
type Owner struct {
	Config
	mu    sync.Mutex
	store *datastore.Store
}

// New returns an Owner that has taken up what the journal held: a commit that waited for its confirmation is taken
// back, and all parts have what is in force.
func New(c Config) (*Owner, error) {
	store, err := datastore.New(c.Store)
	if err != nil {
		return nil, err
	}
	o := &Owner{Config: c, store: store}
	back, err := store.Restore(c.Kept, c.Now())
	if err != nil {
		return nil, err
	}
	if back != nil {
		if err := o.record(back); err != nil {
			return nil, err
		}
		o.tell(back, "")
	}
	running, err := store.Get(datastore.Running)
	if err != nil {
		return nil, err
	}
	now := &datastore.Txn{Record: datastore.Record{N: store.Last(), Kind: datastore.KindBase}, New: running}
	if failed := o.apply(now); failed != nil {
		// It ended between making a transaction and finding that it can't take effect.
		back := store.Failed(now, c.Now(), failed.Error())
		if back == nil {
			return nil, failed
		}
		if err := o.carry(back); err != nil {
			return nil, errors.Join(failed, err)
		}
	}
	return o, nil
}

// Look lets f read the store; it must not keep it.
func (o *Owner) Look(f func(*datastore.Store)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.store)
}

// Do lets f do something that makes no transaction, as an edit of the candidate or a lock.
func (o *Owner) Do(f func(*datastore.Store) error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return f(o.store)
}

// Make carries out the transaction that f begins, and returns its record. When it returns nil, the transaction is
// durable and in force in all parts.
func (o *Owner) Make(f func(*datastore.Store, time.Time) (*datastore.Txn, error)) (datastore.Record, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, err := f(o.store, o.Now())
	if err != nil || t == nil {
		return datastore.Record{}, err
	}
	return t.Record, o.carry(t)
}

// Close ends a session.
func (o *Owner) Close(id datastore.SessionID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settle(o.store.Close(id, o.Now()))
}

// End closes the journal, once nothing is under way. What comes after that is refused by it.
func (o *Owner) End() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.Journal == nil {
		return nil
	}
	return o.Journal.Close()
}

// Tick takes back a commit whose time for a confirmation is up. It is called some times a second.
func (o *Owner) Tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settle(o.store.Expired(o.Now()))
}

// settle carries out a way back that nobody waits for.
func (o *Owner) settle(t *datastore.Txn) {
	if t == nil {
		return
	}
	if err := o.carry(t); err != nil {
		o.Log.Error("configuration not taken back", "transaction", t.N, "error", err)
	}
}

// carry makes a transaction durable and lets it take effect. The lock is held.
func (o *Owner) carry(t *datastore.Txn) error {
	if err := o.record(t); err != nil {
		return err
	}
	failed := o.apply(t)
	if failed == nil {
		o.tell(t, "")
		o.trim()
		return nil
	}
	o.tell(t, failed.Error())
	back := o.store.Failed(t, o.Now(), failed.Error())
	if back == nil {
		return failed
	}
	err := o.record(back)
	if err == nil {
		if err = o.apply(back); err == nil {
			o.tell(back, "")
		}
	}
	if err != nil {
		o.Log.Error("configuration not taken back", "transaction", t.N, "error", err)
	}
	return errors.Join(failed, err)
}

// record makes a transaction durable, and in force as far as the store goes.
func (o *Owner) record(t *datastore.Txn) error {
	if err := o.store.Ready(t); err != nil {
		return err
	}
	if o.Journal != nil {
		if err := o.Journal.Append(t.Record); err != nil {
			o.store.Dropped(t)
			return fmt.Errorf("transact: transaction %d: %w", t.N, err)
		}
	}
	return o.store.Made(t)
}

// apply lets a transaction take effect in all parts.
func (o *Owner) apply(t *datastore.Txn) error {
	if t.Kind == datastore.KindStartup || t.Kind == datastore.KindConfirm {
		return nil
	}
	for _, p := range o.Parts {
		if err := p.Apply(t.N, t.New, t.Changes); err != nil {
			return fmt.Errorf("transact: %s: transaction %d: %w", p.Name(), t.N, err)
		}
	}
	return nil
}

// tell logs a transaction and hands it on: the audit trail.
func (o *Owner) tell(t *datastore.Txn, failed string) {
	o.Log.Info("configuration", "transaction", t.N, "kind", string(t.Kind), "session", uint32(t.Session), "user", t.User,
		"via", t.Via, "changes", len(t.Changes), "comment", t.Comment, "failed", failed)
	if o.Told != nil {
		o.Told(Event{Record: t.Record, Running: t.New, Failed: failed})
	}
}

// trim keeps the journal bounded. What was made stays made if that can't be done.
func (o *Owner) trim() {
	base, ok, err := o.store.Trim()
	if err == nil && ok && o.Journal != nil {
		err = o.Journal.Trim(base)
	}
	if err != nil {
		o.Log.Error("journal not trimmed", "error", err)
	} else if ok {
		o.store.Trimmed(base)
	}
}
