package stream

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// maxQueuedBytes is the size of the messages that may wait to be written on a connection. It is large, as many messages
	// can be due at the same moment, before the writer's goroutine runs: the ends of all calls of a core, say.
	maxQueuedBytes  = 2 << 20
	pauseBytes      = 64 << 10         // while more is queued, WaitForRoom waits
	maxReusedQueue  = 64               // messages; the memory of a longer queue is released when it has been written
	messageOverhead = 64               // bytes that a queued message takes beside its own
	writeTimeout    = 2 * time.Second  // a write that takes longer ends the connection
	writeBuffer     = 16 << 10         // queued messages are joined into one write until it reaches this size
	lingerTimeout   = time.Second      // maximum time for which LingerClose discards input
	maxLingerBytes  = 1 << 20          // maximum number of bytes that LingerClose discards
	keepAlivePeriod = 15 * time.Second // TCP keep-alive, to detect a peer that vanished
)

// Writer writes messages to a connection from its own goroutine, so that senders never block on a slow peer.
type Writer struct {
	conn      net.Conn
	closed    chan struct{} // closed to end the writing; Send then returns false
	closeOnce sync.Once
	wake      chan struct{} // tells the goroutine that a message was queued or finishing was set
	done      chan struct{} // closed when no more bytes are written

	mu        sync.Mutex
	queue     [][]byte
	queued    int           // bytes of the messages in queue
	drained   chan struct{} // closed when queued falls to pauseBytes, nil if nobody waits for that
	finishing bool          // nothing more is queued; the connection ends when the queue has been written
	halfClose bool          // after the queue is written, only the writing half is closed
}

// NewWriter returns a Writer on conn and starts its goroutine. The goroutine runs until a write fails or the caller
// calls Close, Finish, HalfClose or LingerClose, so the caller must call one of them.
func NewWriter(conn net.Conn) *Writer {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetKeepAlivePeriod(keepAlivePeriod) // best effort: the write deadlines apply without it
	}
	w := &Writer{conn: conn, closed: make(chan struct{}), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Send queues a message. It returns false if the connection has ended or is being finished; if maxQueuedBytes are queued,
// it ends the connection and returns false.
func (w *Writer) Send(message []byte) bool {
	accepted, full := w.enqueue(message)
	if full {
		w.Close()
	}
	return accepted
}

// enqueue adds a message to the queue and reports whether it did, or whether the queue is full.
func (w *Writer) enqueue(message []byte) (accepted, full bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	size := len(message) + messageOverhead
	switch {
	case w.isClosed() || w.finishing:
		return false, false
	case w.queued+size > maxQueuedBytes:
		return false, true
	}
	w.queue = append(w.queue, message)
	w.queued += size
	w.notify()
	return true, false
}

// WaitForRoom waits until little is queued or the writing has ended. A reader that calls it before each message takes no
// further requests from a peer that does not read the answers.
func (w *Writer) WaitForRoom() {
	w.mu.Lock()
	if w.queued <= pauseBytes {
		w.mu.Unlock()
		return
	}
	if w.drained == nil {
		w.drained = make(chan struct{})
	}
	drained := w.drained
	w.mu.Unlock()
	select {
	case <-drained:
	case <-w.done:
	case <-w.closed:
	}
}

// isClosed reports whether the writing has ended.
func (w *Writer) isClosed() bool {
	select {
	case <-w.closed:
		return true
	default:
		return false
	}
}

// notify wakes the goroutine.
func (w *Writer) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Close ends the connection at once and drops the queued messages. A pending read on the connection fails with an
// error.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closed) })
	w.conn.Close()
}

// Done returns a channel that is closed when no more bytes are written: the queue has been written or the connection
// has ended.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Finish ends the connection after the queued messages have been written. It does not wait for that.
func (w *Writer) Finish() { w.finish(false) }

// HalfClose closes the writing half after the queued messages have been written. The connection stays open for reading.
func (w *Writer) HalfClose() { w.finish(true) }

// finish ends the queue. With halfClose, the connection stays open for reading.
func (w *Writer) finish(halfClose bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishing, w.halfClose = true, w.halfClose || halfClose
	w.notify()
}

// LingerClose closes the connection after a linger. The writing half is closed once the queued messages have been
// written. Meanwhile LingerClose reads and discards input, until the peer ends the connection or for at most
// lingerTimeout and maxLingerBytes, and then closes the connection. Closing at once while input is unread would make
// the local system send a reset, on which the peer's system may drop the last response unread. The caller must have
// stopped reading.
func (w *Writer) LingerClose() {
	w.HalfClose()
	if w.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, w.conn, maxLingerBytes) // the connection is closed whatever the error
	}
	w.Close()
}

// closeWriting closes the writing half after a HalfClose or LingerClose, and the whole connection otherwise.
func (w *Writer) closeWriting() {
	w.mu.Lock()
	halfClose := w.halfClose
	w.mu.Unlock()
	if t, ok := w.conn.(interface{ CloseWrite() error }); ok && halfClose {
		w.closeOnce.Do(func() { close(w.closed) })
		if t.CloseWrite() == nil {
			return
		}
	}
	w.Close()
}

// run writes the queued messages, joining those that wait into one write.
func (w *Writer) run() {
	defer close(w.done)
	defer w.closeWriting()
	buf := make([]byte, 0, 1024)
	for {
		select {
		case <-w.wake:
		case <-w.closed:
			return
		}
		for last := false; !last; {
			buf, last = w.takeQueued(buf[:0])
			if len(buf) == 0 {
				break
			}
			if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return
			}
			if _, err := w.conn.Write(buf); err != nil {
				return
			}
		}
		if w.isFinished() {
			return
		}
	}
}

// takeQueued appends queued messages to buf until it has writeBuffer bytes, and reports whether those were all.
func (w *Writer) takeQueued(buf []byte) (out []byte, last bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for ; n < len(w.queue) && len(buf) < writeBuffer; n++ {
		buf = append(buf, w.queue[n]...)
		w.queued -= len(w.queue[n]) + messageOverhead
		w.queue[n] = nil
	}
	switch {
	case n < len(w.queue):
		w.queue = w.queue[n:]
	case n <= maxReusedQueue:
		w.queue = w.queue[:0]
	default:
		w.queue = nil
	}
	if w.drained != nil && w.queued <= pauseBytes {
		close(w.drained)
		w.drained = nil
	}
	return buf, len(w.queue) == 0
}

// isFinished reports whether the queue has been ended and written.
func (w *Writer) isFinished() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.finishing && len(w.queue) == 0
}
