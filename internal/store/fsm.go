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

const watchQueue = 256

// append writes a change as JSON.
func (c Change) append(b []byte) []byte {
	b = append(b, `{"if":"`...)
	b = strconv.AppendUint(b, c.If, 10)
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

// parseChange reads a change.
func parseChange(b []byte) (Change, error) {
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return Change{}, fmt.Errorf("store: change can't be read: %w", err)
	}
	var c Change
	if c.If, err = strconv.ParseUint(string(v.GetStringBytes("if")), 10, 64); err != nil {
		return c, fmt.Errorf("store: change can't be read: %w", err)
	}
	for _, op := range v.GetArray("ops") {
		c.Ops = append(c.Ops, Op{Path: string(op.GetStringBytes("path")), Value: string(op.GetStringBytes("value")),
			Delete: !op.Exists("value")})
	}
	return c, nil
}

// fsm is the replicated map.
type fsm struct {
	mu       sync.RWMutex
	values   map[string]string
	revision uint64 // of the last change
	watches  map[chan []Op]struct{}
}

// result is what a change came to.
type result struct {
	revision uint64
	err      error
}

func newFSM() *fsm {
	return &fsm{values: map[string]string{}, watches: map[chan []Op]struct{}{}}
}

// Apply implements raft.FSM.
func (f *fsm) Apply(l *raft.Log) any {
	c, err := parseChange(l.Data)
	if err != nil {
		return result{err: err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.If != 0 && c.If != f.revision {
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
	f.tell(c.Ops)
	return result{f.revision, nil}
}

// tell hands a change to those who watch. The lock is held.
func (f *fsm) tell(ops []Op) {
	for w := range f.watches {
		select {
		case w <- ops:
		default:
			delete(f.watches, w)
			close(w)
		}
	}
}

// watch returns a channel of the changes from now on.
func (f *fsm) watch() (<-chan []Op, func()) {
	w := make(chan []Op, watchQueue)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watches[w] = struct{}{}
	return w, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if _, open := f.watches[w]; open {
			delete(f.watches, w)
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

// Restore implements raft.FSM. Those who watch are told of all that a snapshot changes.
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
	f.values, f.revision = map[string]string{}, c.If
	ops := c.Ops
	for _, op := range c.Ops {
		f.values[op.Path] = op.Value
	}
	for path := range old {
		if _, ok := f.values[path]; !ok {
			ops = append(ops, Op{Path: path, Delete: true})
		}
	}
	f.tell(ops)
	return nil
}

// snapshot is the map at one time, kept in the form of a change.
type snapshot struct {
	values   map[string]string
	revision uint64
}

// Persist implements raft.FSMSnapshot.
func (s *snapshot) Persist(sink raft.SnapshotSink) error {
	c := Change{If: s.revision}
	for path, v := range s.values {
		c.Ops = append(c.Ops, Op{Path: path, Value: v})
	}
	if _, err := sink.Write(c.append(nil)); err != nil {
		sink.Cancel()
		return fmt.Errorf("store: snapshot: %w", err)
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s *snapshot) Release() {}
