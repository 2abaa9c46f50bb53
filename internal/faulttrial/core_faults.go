package faulttrial

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// waitResumed waits while the core is paused, and reports whether it is still running.
func (c *CoreProcess) waitResumed() bool {
	for {
		c.mu.Lock()
		resumed, paused, ended := c.resumed, c.paused, c.ended
		c.mu.Unlock()
		if ended {
			return false
		}
		if !paused {
			return true
		}
		<-resumed
	}
}

// Hang simulates a process that hangs: the kernel still accepts connections, but nothing is read or written. Restore
// ends it.
func (c *CoreProcess) Hang() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vanished {
		return
	}
	c.pause()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: "hang"})
}

// pause stops reading and writing. The caller holds c.mu.
func (c *CoreProcess) pause() {
	if !c.paused {
		c.paused, c.resumed = true, make(chan struct{})
	}
}

// CutOff simulates a machine that loses its network: open connections stay open without any traffic, and new ones are
// not established. Calls continue, and the releases of those that end are sent after Restore.
func (c *CoreProcess) CutOff() {
	c.mu.Lock()
	c.pause()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: "cut off"})
	c.mu.Unlock()
	for _, link := range c.links {
		link.fillAcceptQueue()
	}
}

// Vanish simulates a machine that fails permanently: as CutOff, and its calls end.
func (c *CoreProcess) Vanish() {
	c.CutOff()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vanished = true
	c.cutCalls("vanished")
}

// VanishInPlace simulates a machine that fails permanently and whose address another one takes at once: its connections
// stay open without any traffic, and its calls end.
func (c *CoreProcess) VanishInPlace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pause()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: "vanished in place"})
	c.vanished = true
	c.cutCalls("vanished")
}

// Vanished reports whether the core's machine has failed for good.
func (c *CoreProcess) Vanished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vanished
}

// cutCalls ends all calls without sending anything; how is the text of their events. The caller holds c.mu.
func (c *CoreProcess) cutCalls(how string) {
	for id, call := range c.calls {
		if call.stands {
			c.record.Add(Event{Kind: CoreEnd, Call: id, Core: c.ID, Controller: call.link.controller, Text: how})
		} else {
			c.record.Add(Event{Kind: CoreGivenUp, Call: id, Core: c.ID, Text: how})
		}
		call.timer.Stop()
		delete(c.calls, id)
		call.link.used--
	}
}

// Restore ends Hang or CutOff: calls whose hold time has passed end, and the connections accepted meanwhile are served.
func (c *CoreProcess) Restore() {
	if c.Vanished() {
		return
	}
	for _, link := range c.links {
		link.emptyAcceptQueue()
	}
	c.mu.Lock()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: "back"})
	if c.paused {
		c.paused = false
		close(c.resumed)
	}
	var pending []*coreCall
	for _, call := range c.calls {
		if call.endPending {
			pending = append(pending, call)
		}
	}
	var unserved []net.Conn
	var links []*controllerLink
	for _, link := range c.links {
		for _, conn := range link.unserved {
			unserved, links = append(unserved, conn), append(links, link)
		}
		link.unserved = nil
	}
	c.mu.Unlock()
	for _, call := range pending {
		c.finish(call)
	}
	for i, conn := range unserved {
		go c.serveConnection(links[i], conn)
	}
}

// Crash simulates the end of the process: its connections are reset, its ports refuse connections and its calls end.
func (c *CoreProcess) Crash() {
	c.terminate("crashed", true)
}

// Exit simulates the end of a process that closes its connections in order. Its ports then refuse connections and its
// calls have ended.
func (c *CoreProcess) Exit() {
	c.terminate("crashed: closed in order", false)
}

// FreeAddresses closes the listeners of a core that has vanished, so that another core can listen there. Open
// connections stay open without any traffic.
func (c *CoreProcess) FreeAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, link := range c.links {
		link.listener.Close()
		for _, conn := range link.queueFillers {
			conn.Close()
		}
		link.queueFillers = nil
	}
}

// terminate ends the process. With reset, its connections end with a RST instead of a FIN.
func (c *CoreProcess) terminate(how string, reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: how})
	c.cutCalls(how)
	c.ended = true
	if c.paused {
		c.paused = false
		close(c.resumed)
	}
	for _, link := range c.links {
		link.listener.Close()
		for _, conn := range link.queueFillers {
			conn.Close()
		}
		open := link.unserved
		for conn := range link.conns {
			open = append(open, conn.Conn)
		}
		for _, conn := range open {
			if tcpConn, ok := conn.(*net.TCPConn); ok && reset {
				_ = tcpConn.SetLinger(0)
			}
			conn.Close()
		}
	}
}

// DropIdleConnections closes ("close"), resets ("reset") or ignores without closing ("forget") the connections that
// have no set-up in progress. Calls may stand on them.
func (c *CoreProcess) DropIdleConnections(how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.paused || c.ended {
		return // such a core acts on nothing
	}
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: how + " idle connections"})
	busy := map[*coreConn]bool{}
	for _, call := range c.calls {
		if !call.stands {
			busy[call.conn] = true
		}
	}
	for name, link := range c.links {
		kept := 0
		for conn := range link.conns {
			if busy[conn] {
				kept++
				continue
			}
			switch how {
			case "forget":
				conn.forgotten.Store(true)
				delete(link.conns, conn)
			case "reset":
				_ = conn.Conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			default:
				conn.Close()
			}
		}
		if kept == 0 {
			c.record.Add(Event{Kind: CoreUnlinked, Core: c.ID, Controller: name})
		}
	}
}

// SetAcceptDelay sets the time after which a new connection is served.
func (c *CoreProcess) SetAcceptDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Add(Event{Kind: Fault, Core: c.ID, Text: fmt.Sprintf("connections come up %v late", delay)})
	for _, link := range c.links {
		link.acceptDelay = delay
	}
}

// setBacklog sets the length of a listener's accept queue.
func setBacklog(listener *net.TCPListener, length int) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) })
}

// fillAcceptQueue prevents new connections: it sets the accept queue to its minimum length and fills it, so that the
// kernel drops further SYNs.
func (link *controllerLink) fillAcceptQueue() {
	link.core.mu.Lock()
	link.unreachable = true
	link.core.mu.Unlock()
	_ = link.listener.SetDeadline(time.Now()) // makes acceptConnections return
	setBacklog(link.listener, 0)
	for range 8 {
		conn, err := net.DialTimeout("tcp", link.address, 30*time.Millisecond)
		if err != nil {
			break
		}
		link.core.mu.Lock()
		link.queueFillers = append(link.queueFillers, conn)
		link.core.mu.Unlock()
	}
}

// emptyAcceptQueue reverts fillAcceptQueue: new connections are accepted again.
func (link *controllerLink) emptyAcceptQueue() {
	link.core.mu.Lock()
	unreachable, fillers := link.unreachable, link.queueFillers
	link.unreachable, link.queueFillers = false, nil
	link.core.mu.Unlock()
	if !unreachable {
		return
	}
	setBacklog(link.listener, syscall.SOMAXCONN)
	for _, conn := range fillers {
		conn.Close()
	}
	_ = link.listener.SetDeadline(time.Time{})
	go link.acceptConnections(link.listener)
}
