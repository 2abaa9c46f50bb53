package datastore

import (
	"fmt"
	"slices"
	"time"

	"brookmux/internal/schema"
)

// Trim returns a base record that replaces all records up to and including its number, once the history holds at
// least twice Config.Keep records. The owner makes the replacement durable in one step and then calls FinishTrim. ok is
// false if there is nothing to trim. The revision that a pending commit may revert to is kept.
func (s *Store) Trim() (base Record, ok bool, err error) {
	if len(s.history) < 2*s.Keep || s.inProgress != nil {
		return Record{}, false, nil
	}
	n := s.lastRevision - uint64(s.Keep)
	if s.pending != nil {
		n = min(n, s.pending.revertTo)
	}
	if n <= s.minRevision {
		return Record{}, false, nil
	}
	x, err := s.replay(n)
	if err != nil {
		return Record{}, false, err
	}
	return Record{Revision: n, Kind: KindBase, At: s.history[0].At, Items: x.running.Items(), Startup: x.startup.Items()}, true, nil
}

// FinishTrim drops the records that the base replaces from the history. After an error nothing is dropped.
func (s *Store) FinishTrim(base Record) error {
	x, err := s.replay(base.Revision)
	if err != nil {
		return err
	}
	kept := slices.IndexFunc(s.history, func(r Record) bool { return r.Revision > base.Revision })
	if kept < 0 {
		kept = len(s.history)
	}
	s.history = slices.Clone(s.history[kept:])
	s.oldest, s.minRevision = x, base.Revision
	return nil
}

// Restore replays stored records, in their order, into a new Store. If the last commit was still pending, Restore
// begins and returns the transaction that reverts it, as RFC 6241, 8.4.1 requires after a restart; the owner must
// complete it first. Otherwise the returned transaction is nil.
func (s *Store) Restore(records []Record, at time.Time) (*Txn, error) {
	for i, r := range records {
		if r.Kind == KindBase {
			if i > 0 {
				return nil, fmt.Errorf("datastore: base record %d is not the first record", r.Revision)
			}
			if err := s.restoreBase(r); err != nil {
				return nil, err
			}
			continue
		}
		if r.Revision != s.lastRevision+1 {
			return nil, fmt.Errorf("datastore: record %d follows record %d", r.Revision, s.lastRevision)
		}
		t := &Txn{Record: r, Old: s.running, resetsCandidate: true}
		tree := s.running
		if r.Kind == KindStartup {
			tree = s.startup
		}
		next := tree.Clone()
		if err := next.Patch(r.Changes); err != nil {
			return nil, fmt.Errorf("datastore: record %d: %w", r.Revision, err)
		}
		if r.Kind == KindStartup {
			t.startup = next
		} else {
			t.New = next
		}
		s.install(t)
	}
	if s.pending == nil {
		return nil, nil
	}
	return s.beginRevert(Session{Via: "system"}, at, KindRevert, "the controller started again before it was confirmed"), nil
}

// restoreBase loads the content of a base record into the empty datastores.
func (s *Store) restoreBase(r Record) error {
	for _, x := range []struct {
		tree  *schema.Node
		items []schema.Item
	}{{s.running, r.Items}, {s.startup, r.Startup}} {
		for _, i := range x.items {
			if err := x.tree.Put(i); err != nil {
				return fmt.Errorf("datastore: base %d: %w", r.Revision, err)
			}
		}
	}
	s.lastRevision, s.minRevision = r.Revision, r.Revision
	s.oldest = content{s.running, s.startup}.clone()
	s.discard()
	return nil
}
