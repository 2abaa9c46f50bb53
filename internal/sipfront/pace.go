package sipfront

import (
	"hash/maphash"
	"net"
	"sync"
	"time"

	"brookmux/internal/storm"
)

// paced holds new connections until storm's pacer gives them their turn. They are accepted and not yet read: what
// their callers send waits in the kernel.
type paced struct {
	mu      sync.Mutex
	pacer   *storm.Pacer
	origin  time.Time
	next    uint64
	waiting map[uint64]net.Conn
	timer   *time.Timer
	closed  bool
}

// SetPace gives new connections their turn; it is called before Serve.
func (f *Front) SetPace(p *storm.Pacer) {
	f.paced = &paced{pacer: p, origin: time.Now(), waiting: map[uint64]net.Conn{}}
}

// admit takes a new connection: at once, in its turn, or not at all.
func (f *Front) admit(nc net.Conn) {
	p := f.paced
	if p == nil {
		f.take(nc)
		return
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		nc.Close()
		return
	}
	p.next++
	served, waits := p.pacer.Come(time.Since(p.origin), maphash.String(f.seed, group(nc)), p.next)
	if waits {
		p.waiting[p.next] = nc
		if p.timer == nil {
			p.timer = time.AfterFunc(0, f.turns)
		}
	}
	p.mu.Unlock()
	if served {
		f.take(nc)
	} else if !waits {
		f.log.Debug("connection over the pace", "from", nc.RemoteAddr().String())
		nc.Close()
	}
}

// turns serves the connections whose turn has come, and ends those that have waited too long.
func (f *Front) turns() {
	p := f.paced
	p.mu.Lock()
	if p.closed { // the timer had fired before the close
		p.mu.Unlock()
		return
	}
	served, late, again := p.pacer.Next(time.Since(p.origin))
	take, end := p.leave(served), p.leave(late)
	if p.timer = nil; again > 0 {
		p.timer = time.AfterFunc(again, f.turns)
	}
	p.mu.Unlock()
	for _, nc := range take {
		f.take(nc)
	}
	for _, nc := range end {
		nc.Close()
	}
}

// leave takes connections off those that wait. The lock is held.
func (p *paced) leave(ids []uint64) []net.Conn {
	var out []net.Conn
	for _, id := range ids {
		out = append(out, p.waiting[id])
		delete(p.waiting, id)
	}
	return out
}

// close ends the connections that wait, and those that come after.
func (p *paced) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for id, nc := range p.waiting {
		nc.Close()
		delete(p.waiting, id)
	}
}
