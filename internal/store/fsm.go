package store

import (
	"fmt"
	"io"
	"maps"
	"strconv"
	"strings"
	"sync"

	"github.com/hashicorp/raft"
	"github.com/valyala/fastjson"

	"brookmux/internal/jsontext"
)

const watchQueueSize = 256 // changes that a watcher may lag behind before its channel is closed

// appendJSON appends the change to b as one line of JSON. It is the form of Raft log entries, snapshots and
// forwarded changes. The revision is a string, as it is a 64-bit number.
func (c Change) appendJSON(b []byte) []byte {
	b = append(b, `{"if":"`...)
	b = strconv.AppendUint(b, c.IfRevision, 10)
	b = append(b, `","ops":[`...)
	for i, op := range c.Ops {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"path":`...)
		b = jsontext.Append(b, op.Path)
		if !op.Delete {
			b = append(b, `,"value":`...)
			b = jsontext.Append(b, op.Value)
		}
		b = append(b, '}')
	}
	return append(b, "]}"...)
}

// parseChange decodes a change that appendJSON has written.
func parseChange(b []byte) (Change, error) {
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return Change{}, fmt.Errorf("store: decode change: %w", err)
	}
	var c Change
	if c.IfRevision, err = strconv.ParseUint(string(v.GetStringBytes("if")), 10, 64); err != nil {
		return c, fmt.Errorf("store: decode change: %w", err)
	}
	for _, op := range v.GetArray("ops") {
		c.Ops = append(c.Ops, Op{Path: string(op.GetStringBytes("path")), Value: string(op.GetStringBytes("value")),
			Delete: !op.Exists("value")})
	}
	return c, nil
}

// fsm is Raft's state machine: the replicated map from paths to values.
type fsm struct {
	mu       sync.RWMutex
	values   map[string]string
	revision uint64 // number of changes applied
	watchers map[chan []Op]struct{}
}

// result is the response of Apply: the revision after the change, and ErrStale if it was rejected.
type result struct {
	revision uint64
	err      error
}

func newFSM() *fsm {
	return &fsm{values: map[string]string{}, watchers: map[chan []Op]struct{}{}}
}

// Apply implements raft.FSM. A change for another revision than the current one is rejected with ErrStale.
func (f *fsm) Apply(l *raft.Log) any {
	c, err := parseChange(l.Data)
	if err != nil {
		return result{err: err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.IfRevision != 0 && c.IfRevision != f.revision {
		return result{f.revision, ErrStale}
	}
	f.revision++
	for _, op := range c.Ops {
		if op.Delete {
			delete(f.values, op.Path)
		} else {
			f.values[op.Path] = op.Value
		}
	}
	f.notify(c.Ops)
	return result{f.revision, nil}
}

// notify sends a change to all watchers, and closes the channel of each whose queue is full. The caller holds mu.
func (f *fsm) notify(ops []Op) {
	for w := range f.watchers {
		select {
		case w <- ops:
		default:
			delete(f.watchers, w)
			close(w)
		}
	}
}

// watch returns a channel of the changes applied from now on, and a function that closes it.
func (f *fsm) watch() (<-chan []Op, func()) {
	w := make(chan []Op, watchQueueSize)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers[w] = struct{}{}
	return w, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if _, open := f.watchers[w]; open {
			delete(f.watchers, w)
			close(w)
		}
	}
}

func (f *fsm) get(path string) (string, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	v, ok := f.values[path]
	return v, ok
}

// list returns the paths that begin with prefix and their values, and the current revision.
func (f *fsm) list(prefix string) (map[string]string, uint64) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := map[string]string{}
	for path, v := range f.values {
		if strings.HasPrefix(path, prefix) {
			out[path] = v
		}
	}
	return out, f.revision
}

// Snapshot implements raft.FSM.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return &snapshot{maps.Clone(f.values), f.revision}, nil
}

// Restore implements raft.FSM. Watchers receive all values of the snapshot, and a deletion for each path that it
// lacks.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	b, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("store: snapshot: %w", err)
	}
	c, err := parseChange(b)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.values
	f.values, f.revision = map[string]string{}, c.IfRevision
	ops := c.Ops
	for _, op := range c.Ops {
		f.values[op.Path] = op.Value
	}
	for path := range old {
		if _, ok := f.values[path]; !ok {
			ops = append(ops, Op{Path: path, Delete: true})
		}
	}
	f.notify(ops)
	return nil
}

// snapshot is a copy of the map at one revision. It is persisted in the form of a change.
type snapshot struct {
	values   map[string]string
	revision uint64
}

// Persist implements raft.FSMSnapshot.
func (s *snapshot) Persist(sink raft.SnapshotSink) error {
	c := Change{IfRevision: s.revision}
	for path, v := range s.values {
		c.Ops = append(c.Ops, Op{Path: path, Value: v})
	}
	if _, err := sink.Write(c.appendJSON(nil)); err != nil {
		sink.Cancel()
		return fmt.Errorf("store: snapshot: %w", err)
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot; there is nothing to free.
func (s *snapshot) Release() {}
