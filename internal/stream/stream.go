// Package stream provides the reader and writer that all connections of the border controller use: a reader that bounds
// the bytes buffered for a message, and a writer with a bounded queue and write deadlines.
package stream

import (
	"bufio"
	"errors"
	"io"
	"net/textproto"
)

// MaxMessage is the maximum size of a message in bytes.
const MaxMessage = 16 << 10

const readBuffer = 4 << 10

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
