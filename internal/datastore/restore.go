package datastore

import (
	"fmt"
	"time"

	"brookmux/internal/schema"
)

// Trim tells what need not be kept any more, once twice as many records are kept as can be gone back to: the base
// takes the place of all records up to its number. The owner makes that durable, in one step, before it calls
// Trimmed. ok is false while nothing is to be done. What a waiting commit may go back to is kept.
func (s *Store) Trim() (base Record, ok bool, err error) {
	if len(s.history) < 2*s.Keep || s.under != nil {
		return Record{}, false, nil
	}
	n := s.last - uint64(s.Keep)
	if s.waits != nil {
		n = min(n, s.waits.before)
	}
	if n <= s.floor {
		return Record{}, false, nil
	}
	running, err := s.Revision(n)
	if err != nil {
		return Record{}, false, err
	}
	startup := s.startup.Clone()
	for i := len(s.history) - 1; i >= 0 && s.history[i].N > n; i-- {
		if r := s.history[i]; r.Kind == KindStartup {
			if err := startup.Patch(inverse(r.Changes)); err != nil {
				return Record{}, false, fmt.Errorf("datastore: startup of revision %d: %w", r.N, err)
			}
		}
	}
	return Record{N: n, Kind: KindBase, At: s.history[0].At, Items: running.Items(), Startup: startup.Items()}, true, nil
}

// Trimmed forgets the records that a base has taken the place of.
func (s *Store) Trimmed(base Record) {
	for len(s.history) > 0 && s.history[0].N <= base.N {
		s.history = s.history[1:]
	}
	s.history = append([]Record(nil), s.history...)
	s.floor = base.N
}

// Restore takes the records that were kept, in their order, into a new Store. A commit that still waited for its
// confirmation is taken back (RFC 6241, 8.4.1: also when the device starts again) by the transaction that is
// returned, if any; the owner makes it durable before anything else.
func (s *Store) Restore(records []Record, at time.Time) (*Txn, error) {
	for i, r := range records {
		if r.Kind == KindBase {
			if i > 0 {
				return nil, fmt.Errorf("datastore: record %d is a base in the middle", r.N)
			}
			if err := s.base(r); err != nil {
				return nil, err
			}
			continue
		}
		if r.N != s.last+1 {
			return nil, fmt.Errorf("datastore: record %d follows %d", r.N, s.last)
		}
		t := &Txn{Record: r, Old: s.running, fresh: true}
		tree := s.running
		if r.Kind == KindStartup {
			tree = s.startup
		}
		next := tree.Clone()
		if err := next.Patch(r.Changes); err != nil {
			return nil, fmt.Errorf("datastore: record %d: %w", r.N, err)
		}
		if r.Kind == KindStartup {
			t.startup = next
		} else {
			t.New = next
		}
		s.enter(t)
	}
	if s.waits == nil {
		return nil, nil
	}
	return s.back(Session{Via: "system"}, at, KindRevert, "the controller started again before it was confirmed"), nil
}

// base takes a base.
func (s *Store) base(r Record) error {
	for _, x := range []struct {
		tree  *schema.Node
		items []schema.Item
	}{{s.running, r.Items}, {s.startup, r.Startup}} {
		for _, i := range x.items {
			if err := x.tree.Put(i); err != nil {
				return fmt.Errorf("datastore: base %d: %w", r.N, err)
			}
		}
	}
	s.last, s.floor = r.N, r.N
	s.discard()
	return nil
}
