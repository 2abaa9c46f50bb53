package sipfront

import (
	"hash/maphash"
	"net"
	"sync"
	"time"

	"brookmux/internal/storm"
)

// acceptQueue holds new connections until the pacer schedules them. They are accepted but not read: what their
// callers send stays in the kernel's buffers.
type acceptQueue struct {
	mu      sync.Mutex
	pacer   *storm.Pacer
	origin  time.Time
	lastID  uint64
	waiting map[uint64]net.Conn
	timer   *time.Timer
	closed  bool
}

// SetPace paces new connections with p. It must be called before Serve.
func (f *Front) SetPace(p *storm.Pacer) {
	f.acceptQueue = &acceptQueue{pacer: p, origin: time.Now(), waiting: map[uint64]net.Conn{}}
}

// admit serves a new connection at once, queues it, or closes it if the pacer rejects it.
func (f *Front) admit(nc net.Conn) {
	q := f.acceptQueue
	if q == nil {
		f.addConn(nc)
		return
	}
	q.mu.Lock()
	if q.closed {
		q.mu.Unlock()
		nc.Close()
		return
	}
	q.lastID++
	admitted, waits := q.pacer.Arrive(time.Since(q.origin), maphash.String(f.seed, callerGroup(nc)), q.lastID)
	if waits {
		q.waiting[q.lastID] = nc
		if q.timer == nil {
			q.timer = time.AfterFunc(0, f.serveWaiting)
		}
	}
	q.mu.Unlock()
	if admitted {
		f.addConn(nc)
	} else if !waits {
		f.log.Debug("connection rejected by the pacer", "from", nc.RemoteAddr().String())
		nc.Close()
	}
}

// serveWaiting serves the queued connections that are due and closes those that have waited too long.
func (f *Front) serveWaiting() {
	q := f.acceptQueue
	q.mu.Lock()
	if q.closed { // the timer fired before close
		q.mu.Unlock()
		return
	}
	due, expired, delay := q.pacer.Next(time.Since(q.origin))
	dueConns, expiredConns := q.takeWaiting(due), q.takeWaiting(expired)
	if q.timer = nil; delay > 0 {
		q.timer = time.AfterFunc(delay, f.serveWaiting)
	}
	q.mu.Unlock()
	for _, nc := range dueConns {
		f.addConn(nc)
	}
	for _, nc := range expiredConns {
		nc.Close()
	}
}

// takeWaiting removes queued connections and returns them. The lock must be held.
func (q *acceptQueue) takeWaiting(ids []uint64) []net.Conn {
	var out []net.Conn
	for _, id := range ids {
		out = append(out, q.waiting[id])
		delete(q.waiting, id)
	}
	return out
}

// close closes the queued connections and rejects those that arrive later.
func (q *acceptQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for id, nc := range q.waiting {
		nc.Close()
		delete(q.waiting, id)
	}
}
