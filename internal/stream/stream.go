// Package stream provides the reader and writer that all connections of the border controller use: a reader that bounds
// the bytes buffered for a message, and a writer with a bounded queue and write deadlines.
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

// MaxMessage is the maximum size of a message in bytes.
const MaxMessage = 16 << 10

const (
	readBuffer      = 4 << 10
	writeQueue      = 512              // maximum number of messages queued for a connection
	writeTimeout    = 2 * time.Second  // a write that takes longer ends the connection
	writeBuffer     = 16 << 10         // queued messages are joined into one write until it reaches this size
	lingerTimeout   = time.Second      // maximum time for which LingerClose discards input
	maxLingerBytes  = 1 << 20          // maximum number of bytes that LingerClose discards
	keepAlivePeriod = 15 * time.Second // TCP keep-alive, to detect a peer that vanished
)

// ErrTooLarge reports that a message exceeds MaxMessage.
var ErrTooLarge = errors.New("message is larger than 16 KiB")

// Reader reads messages from a connection. The caller calls Begin before each message.
type Reader struct {
	*textproto.Reader
	src   io.Reader
	total int // bytes read from the connection
	start int // position of the first byte of the message
	limit int // position at which reading for the message stops
}

// NewReader returns a Reader that reads from src. The first message has begun.
func NewReader(src io.Reader) *Reader {
	r := &Reader{src: src}
	r.Reader = textproto.NewReader(bufio.NewReaderSize(limitedReader{r}, readBuffer))
	r.Begin()
	return r
}

// limitedReader reads the connection's bytes up to the limit of the current message. Without it textproto would buffer
// without bound the bytes of a peer that sends no line end.
type limitedReader struct{ r *Reader }

// Read implements io.Reader. It returns ErrTooLarge once the limit is reached.
func (b limitedReader) Read(p []byte) (int, error) {
	left := b.r.limit - b.r.total
	if left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := b.r.src.Read(p[:min(len(p), left)])
	b.r.total += n
	return n, err
}

// Begin starts a message at the current position and resets the size limit.
func (r *Reader) Begin() {
	r.start = r.total - r.R.Buffered()
	r.limit = r.start + MaxMessage + readBuffer // the read buffer may hold the start of the next message
}

// Size returns the number of bytes of the message that have been read.
func (r *Reader) Size() int { return r.total - r.R.Buffered() - r.start }

// Body reads n bytes, the body that ends a message. It returns ErrTooLarge if n is negative or the message would exceed
// MaxMessage.
func (r *Reader) Body(n int) ([]byte, error) {
	if n < 0 || r.Size()+n > MaxMessage {
		return nil, ErrTooLarge
	}
	b := make([]byte, n)
	_, err := io.ReadFull(r.R, b)
	return b, err
}

// Line reads one line and returns it without its line end. It returns ErrTooLarge if the message exceeds MaxMessage.
func (r *Reader) Line() ([]byte, error) {
	line, err := r.ReadLineBytes()
	if err == nil && r.Size() > MaxMessage {
		return nil, ErrTooLarge
	}
	return line, err
}

// Writer writes messages to a connection from its own goroutine, so that senders never block on a slow peer.
type Writer struct {
	conn      net.Conn
	queue     chan []byte   // a nil message ends the writing
	closed    chan struct{} // closed to end the writing; Send then returns false
	closeOnce sync.Once
	halfClose atomic.Bool   // after the queue is written, only the writing half is closed
	done      chan struct{} // closed when no more bytes are written
}

// NewWriter returns a Writer on conn and starts its goroutine. The goroutine runs until a write fails or the caller
// calls Close, Finish, HalfClose or LingerClose, so the caller must call one of them.
func NewWriter(conn net.Conn) *Writer {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetKeepAlivePeriod(keepAlivePeriod) // best effort: the write deadlines apply without it
	}
	w := &Writer{conn: conn, queue: make(chan []byte, writeQueue), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Send queues a message. It returns false if the connection has ended; if the queue is full, it ends the connection and
// returns false.
func (w *Writer) Send(message []byte) bool {
	select {
	case <-w.closed:
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

// Close ends the connection at once and drops the queued messages. A pending read on the connection fails with an
// error.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closed) })
	w.conn.Close()
}

// Done returns a channel that is closed when no more bytes are written: the queue has been written or the connection
// has ended.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Finish ends the connection after the queued messages have been written. It does not wait for that; if the queue is
// full, it ends the connection at once.
func (w *Writer) Finish() {
	select {
	case w.queue <- nil:
	default:
		w.Close()
	}
}

// HalfClose closes the writing half after the queued messages have been written. The connection stays open for reading.
func (w *Writer) HalfClose() {
	w.halfClose.Store(true)
	w.Finish()
}

// LingerClose closes the connection after a linger. The writing half is closed once the queued messages have been
// written. Meanwhile LingerClose reads and discards input, until the peer ends the connection or for at most
// lingerTimeout and maxLingerBytes, and then closes the connection. Closing at once while input is unread would make
// the local system send a reset, on which the peer's system may drop the last response unread. The caller must have
// stopped reading.
func (w *Writer) LingerClose() {
	w.halfClose.Store(true)
	w.Finish()
	if w.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, w.conn, maxLingerBytes) // the connection is closed whatever the error
	}
	w.Close()
}

// closeWriting closes the writing half after a HalfClose or LingerClose, and the whole connection otherwise.
func (w *Writer) closeWriting() {
	if t, ok := w.conn.(interface{ CloseWrite() error }); ok && w.halfClose.Load() {
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
		var m []byte
		select {
		case m = <-w.queue:
		case <-w.closed:
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
			if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
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
