package faulttrial

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// waitThaw returns once the core is not frozen, and tells whether it is alive.
func (c *CoreProcess) waitThaw() bool {
	for {
		c.mu.Lock()
		thaw, frozen, dead := c.thaw, c.frozen, c.dead
		c.mu.Unlock()
		if dead {
			return false
		}
		if !frozen {
			return true
		}
		<-thaw
	}
}

// Hang stops the process in the middle of its work: connections come up in the kernel, and nothing is read or written.
func (c *CoreProcess) Hang() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freeze()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: "hang"})
}

func (c *CoreProcess) freeze() {
	if !c.frozen {
		c.frozen, c.thaw = true, make(chan struct{})
	}
}

// CutOff takes the machine off the network: open connections stay open and silent, new ones never come up. Calls go
// on, and those that end are released after Return.
func (c *CoreProcess) CutOff() {
	c.mu.Lock()
	c.freeze()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: "cut off"})
	c.mu.Unlock()
	for _, w := range c.ways {
		w.fill()
	}
}

// Vanish takes the machine away for good, and its calls with it.
func (c *CoreProcess) Vanish() {
	c.CutOff()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endAll("vanished")
}

// endAll ends the calls. The lock is held.
func (c *CoreProcess) endAll(how string) {
	for id, call := range c.calls {
		if call.stands {
			c.record.Add(Event{Kind: CoreEnd, Call: id, Core: c.ID, Controller: call.way.controller, Text: how})
		} else {
			c.record.Add(Event{Kind: CoreGivenUp, Call: id, Core: c.ID, Text: how})
		}
		call.timer.Stop()
		delete(c.calls, id)
		call.way.used--
	}
}

// Return brings a core back that hung or was cut off.
func (c *CoreProcess) Return() {
	for _, w := range c.ways {
		w.empty()
	}
	c.mu.Lock()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: "back"})
	if c.frozen {
		c.frozen = false
		close(c.thaw)
	}
	var due []*coreCall
	for _, call := range c.calls {
		if call.due {
			due = append(due, call)
		}
	}
	var waiting []net.Conn
	var on []*way
	for _, w := range c.ways {
		for _, conn := range w.filled {
			waiting, on = append(waiting, conn), append(on, w)
		}
		w.filled = nil
	}
	c.mu.Unlock()
	for _, call := range due {
		c.finish(call)
	}
	for i, conn := range waiting {
		go c.accept(on[i], conn)
	}
}

// Crash ends the process: its connections are reset, its port refuses, its calls are cut.
func (c *CoreProcess) Crash() {
	c.end("crashed", true)
}

// Abandon frees the address of a core that has vanished, so that another may listen there. Its open connections stay
// open and silent.
func (c *CoreProcess) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.ways {
		w.listener.Close()
		for _, conn := range w.fillers {
			conn.Close()
		}
		w.fillers = nil
	}
}

// end takes the process away.
func (c *CoreProcess) end(how string, reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return
	}
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: how})
	c.endAll(how)
	c.dead = true
	if c.frozen {
		c.frozen = false
		close(c.thaw)
	}
	for _, w := range c.ways {
		w.listener.Close()
		for _, conn := range append(w.filled, w.fillers...) {
			conn.Close()
		}
		for x := range w.conns {
			if t, ok := x.Conn.(*net.TCPConn); ok && reset {
				_ = t.SetLinger(0)
			}
			x.Close()
		}
	}
}

// Disturb closes, resets or forgets the connections on which no set-up is open.
func (c *CoreProcess) Disturb(how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen || c.dead {
		return // it does nothing
	}
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: how + " idle connections"})
	busy := map[*coreConn]bool{}
	for _, call := range c.calls {
		if !call.stands {
			busy[call.on] = true
		}
	}
	for _, w := range c.ways {
		for x := range w.conns {
			if busy[x] {
				continue
			}
			switch how {
			case "forget":
				x.silent.Store(true)
				delete(w.conns, x)
			case "reset":
				_ = x.Conn.(*net.TCPConn).SetLinger(0)
				x.Close()
			default:
				x.Close()
			}
		}
	}
}

// SetLateUp has new connections be served so much later.
func (c *CoreProcess) SetLateUp(late time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: fmt.Sprintf("connections come up %v late", late)})
	for _, w := range c.ways {
		w.lateUp = late
	}
}

// setBacklog changes the length of a listener's accept queue.
func setBacklog(l *net.TCPListener, n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// fill has new connections never come up: the accept queue is as short as may be, and full.
func (w *way) fill() {
	w.core.mu.Lock()
	w.cut = true
	w.core.mu.Unlock()
	_ = w.listener.SetDeadline(time.Now()) // ends the accepting
	setBacklog(w.listener, 0)
	for range 8 {
		conn, err := net.DialTimeout("tcp", w.address, 30*time.Millisecond)
		if err != nil {
			break
		}
		w.core.mu.Lock()
		w.fillers = append(w.fillers, conn)
		w.core.mu.Unlock()
	}
}

// empty has new connections come up again.
func (w *way) empty() {
	w.core.mu.Lock()
	cut, fillers := w.cut, w.fillers
	w.cut, w.fillers = false, nil
	w.core.mu.Unlock()
	if !cut {
		return
	}
	setBacklog(w.listener, syscall.SOMAXCONN)
	for _, conn := range fillers {
		conn.Close()
	}
	_ = w.listener.SetDeadline(time.Time{})
	go w.accept(w.listener)
}
