// Package netconf implements a NETCONF server (RFC 6241) over SSH (RFC 6242) and a client for the command line. It
// handles framing, sessions, operations and their errors. Packages datastore and schema validate and apply the changes.
package netconf

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Limits on the size of a message and of one chunk, in bytes. They bound the memory that a peer can make the reader use
// before its message is complete.
const (
	maxMessageSize = 4 << 20
	maxChunkSize   = 1 << 20
)

// endOfMessage terminates a message of version 1.0, and every hello (RFC 6242, 4.3).
const endOfMessage = "]]>]]>"

// Framing errors. The connection cannot be used after one.
var (
	errTooLong = fmt.Errorf("message is longer than %d bytes", maxMessageSize)
	errFraming = errors.New("invalid framing")
)

// framer reads and writes framed messages: with the end-of-message marker of version 1.0, or in the chunks of version
// 1.1. It does no locking.
type framer struct {
	r       *bufio.Reader
	w       io.Writer
	chunked bool // set once both peers have announced version 1.1
}

// read returns the next message. It returns io.EOF if the input ends between messages.
func (f *framer) read() ([]byte, error) {
	if f.chunked {
		return f.readChunks()
	}
	var out []byte
	for {
		b, err := f.r.ReadSlice('>')
		out = append(out, b...)
		if len(out) > maxMessageSize+len(endOfMessage) {
			return nil, errTooLong
		}
		if text, ok := bytes.CutSuffix(out, []byte(endOfMessage)); ok {
			return text, nil
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if len(bytes.TrimSpace(out)) > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// readChunks reads a message with chunked framing (RFC 6242, 4.2).
func (f *framer) readChunks() ([]byte, error) {
	var out []byte
	for first := true; ; first = false {
		if err := f.expect("\n#"); err != nil {
			if first && errors.Is(err, io.EOF) {
				return nil, io.EOF
			}
			return nil, err
		}
		n, err := f.readChunkSize()
		if err != nil {
			return nil, err
		}
		if n == 0 {
			if first {
				return nil, fmt.Errorf("%w: message without a chunk", errFraming)
			}
			return out, nil
		}
		if len(out)+n > maxMessageSize {
			return nil, errTooLong
		}
		start := len(out)
		out = append(out, make([]byte, n)...)
		if _, err := io.ReadFull(f.r, out[start:]); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
}

// expect reads text and fails on any other input. It returns io.EOF if the input ends before the first byte.
func (f *framer) expect(text string) error {
	for i := range len(text) {
		b, err := f.r.ReadByte()
		if err != nil {
			if i > 0 {
				err = unexpectedEOF(err)
			}
			return err
		}
		if b != text[i] {
			return fmt.Errorf("%w: %q where %q was expected", errFraming, b, text[i])
		}
	}
	return nil
}

// readChunkSize reads the size of a chunk and the end of its line. 0 marks the end of the chunks.
func (f *framer) readChunkSize() (int, error) {
	var digits []byte
	for {
		b, err := f.r.ReadByte()
		switch {
		case err != nil:
			return 0, unexpectedEOF(err)
		case b == '\n' && string(digits) == "#":
			return 0, nil
		case b == '\n':
			n, err := strconv.Atoi(string(digits))
			if err != nil || n < 1 || digits[0] == '0' || digits[0] == '+' {
				return 0, fmt.Errorf("%w: chunk size %q", errFraming, digits)
			}
			if n > maxChunkSize {
				return 0, errTooLong
			}
			return n, nil
		case len(digits) >= 10:
			return 0, fmt.Errorf("%w: chunk size %q", errFraming, digits)
		}
		digits = append(digits, b)
	}
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, for input that ends within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// write writes a message with its framing, in one Write call.
func (f *framer) write(message []byte) error {
	out := make([]byte, 0, len(message)+32)
	if !f.chunked {
		out = append(append(out, message...), endOfMessage...)
	} else {
		for len(message) > 0 {
			n := min(len(message), maxChunkSize)
			out = append(strconv.AppendInt(append(out, "\n#"...), int64(n), 10), '\n')
			out = append(out, message[:n]...)
			message = message[n:]
		}
		out = append(out, "\n##\n"...)
	}
	_, err := f.w.Write(out)
	return err
}
