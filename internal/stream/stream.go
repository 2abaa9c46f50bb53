// Package stream holds what every connection of the border controller has in common: a reader that never
// buffers more than a message may hold, and a writer with a bounded buffer and deadlines.
package stream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"
)

// MaxMessage is the most bytes that one message may hold.
const MaxMessage = 16 << 10

const (
	readBuffer  = 4 << 10
	writeQueue  = 512              // messages that may wait for a connection
	writeWithin = 2 * time.Second  // a write that takes longer ends the connection
	writeBuffer = 16 << 10         // messages that wait are written together, up to this
	drainWithin = time.Second      // how long a peer that was told off may go on sending
	drainMost   = 1 << 20          // and how much
	keepProbe   = 15 * time.Second // TCP keep-alive, so that a peer that vanished is noticed
)

// ErrTooLarge tells that a message went over MaxMessage.
var ErrTooLarge = errors.New("message is larger than 16 KiB")

// Reader reads messages from a connection. Call Begin before each message.
type Reader struct {
	*textproto.Reader
	from  io.Reader
	total int // bytes read from the connection
	start int // position at which the message began
	limit int // position that the message may not pass
}

// NewReader returns a Reader on from.
func NewReader(from io.Reader) *Reader {
	r := &Reader{from: from}
	r.Reader = textproto.NewReader(bufio.NewReaderSize(budget{r}, readBuffer))
	r.Begin()
	return r
}

// budget hands the connection's bytes to the buffer, and none past what the message may hold. Without it a
// peer that sends no line end would make textproto collect its bytes without bound.
type budget struct{ r *Reader }

// Read implements io.Reader.
func (b budget) Read(p []byte) (int, error) {
	left := b.r.limit - b.r.total
	if left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := b.r.from.Read(p[:min(len(p), left)])
	b.r.total += n
	return n, err
}

// Begin starts a message.
func (r *Reader) Begin() {
	r.start = r.total - r.R.Buffered()
	r.limit = r.start + MaxMessage + readBuffer // the buffer may hold the start of what follows
}

// Size is how much of the message has been read.
func (r *Reader) Size() int { return r.total - r.R.Buffered() - r.start }

// Body reads the n bytes that end a message.
func (r *Reader) Body(n int) ([]byte, error) {
	if n < 0 || r.Size()+n > MaxMessage {
		return nil, ErrTooLarge
	}
	b := make([]byte, n)
	_, err := io.ReadFull(r.R, b)
	return b, err
}

// Line reads one line without its end.
func (r *Reader) Line() ([]byte, error) {
	line, err := r.ReadLineBytes()
	if err == nil && r.Size() > MaxMessage {
		return nil, ErrTooLarge
	}
	return line, err
}

// Writer writes messages to a connection from a goroutine of its own, so that nobody waits for a peer.
type Writer struct {
	conn  net.Conn
	queue chan []byte
	end   chan struct{}
	once  sync.Once
	half  atomic.Bool   // Finish leaves the connection open for reading
	done  chan struct{} // closed when nothing more is written
}

// NewWriter returns a Writer on conn and starts its goroutine, which ends with Close.
func NewWriter(conn net.Conn) *Writer {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetKeepAlivePeriod(keepProbe) // only a help: deadlines hold without it
	}
	w := &Writer{conn: conn, queue: make(chan []byte, writeQueue), end: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Send queues a message. It tells false if the connection is over; a full buffer ends it.
func (w *Writer) Send(message []byte) bool {
	select {
	case <-w.end:
		return false
	default:
	}
	select {
	case w.queue <- message:
		return true
	default:
		w.Close()
		return false
	}
}

// Close ends the connection: its reader sees an error and reports what the end means.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.end) })
	w.conn.Close()
}

// Done is closed once nothing more is written: what was queued has been, or the connection is over.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Finish writes what is queued, then ends the connection.
func (w *Writer) Finish() {
	select {
	case w.queue <- nil:
	default:
		w.Close()
	}
}

// HalfClose writes what is queued, then ends the writing half. The connection stays open for reading.
func (w *Writer) HalfClose() {
	w.half.Store(true)
	w.Finish()
}

// Part writes what is queued, ends the writing half, and closes the connection once the peer has had time to
// read that: what it still sends is read and dropped for a while. Were the connection closed at once, the
// peer's system would be told of a reset, and could drop the last answer unread. The caller of Part must have
// ended its own reading.
func (w *Writer) Part() {
	w.half.Store(true)
	w.Finish()
	if w.conn.SetReadDeadline(time.Now().Add(drainWithin)) == nil {
		_, _ = io.CopyN(io.Discard, w.conn, drainMost) // whatever ends it
	}
	w.Close()
}

// hangUp ends the writing half where Part asked for that, else the connection.
func (w *Writer) hangUp() {
	if t, ok := w.conn.(interface{ CloseWrite() error }); ok && w.half.Load() {
		w.once.Do(func() { close(w.end) })
		if t.CloseWrite() == nil {
			return
		}
	}
	w.Close()
}

// run writes what is queued, joining messages that wait.
func (w *Writer) run() {
	defer close(w.done)
	defer w.hangUp()
	buf := make([]byte, 0, 1024)
	for {
		var m []byte
		select {
		case m = <-w.queue:
		case <-w.end:
			return
		}
		buf, last := buf[:0], m == nil
		for more := !last; more; {
			buf = append(buf, m...)
			more = false
			if len(buf) < writeBuffer {
				select {
				case m = <-w.queue:
					last = m == nil
					more = !last
				default:
				}
			}
		}
		if len(buf) > 0 {
			if err := w.conn.SetWriteDeadline(time.Now().Add(writeWithin)); err != nil {
				return
			}
			if _, err := w.conn.Write(buf); err != nil {
				return
			}
		}
		if last {
			return
		}
	}
}
