// Package netconf is a NETCONF server (RFC 6241) on the configuration's transactions: framing, sessions, operations
// and their errors, over SSH (RFC 6242). It knows messages and XML; what is allowed and what becomes of it is decided
// by packages datastore and schema.
package netconf

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Bounds of what a client may send before it is heard out.
const (
	mostMessage = 4 << 20
	mostChunk   = 1 << 20
)

// endOfMessage ends a message of version 1.0, and every hello (RFC 6242, 4.3).
const endOfMessage = "]]>]]>"

// Errors of framing: the connection can't be used after one.
var (
	errTooLong = fmt.Errorf("message is longer than %d bytes", mostMessage)
	errFraming = errors.New("wrong framing")
)

// framer reads and writes messages.
type framer struct {
	r       *bufio.Reader
	w       io.Writer
	chunked bool // since both ends have said that they know version 1.1
}

// read returns the next message.
func (f *framer) read() ([]byte, error) {
	if f.chunked {
		return f.readChunks()
	}
	var out []byte
	for {
		b, err := f.r.ReadSlice('>')
		out = append(out, b...)
		if len(out) > mostMessage+len(endOfMessage) {
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

// readChunks reads a message of version 1.1 (RFC 6242, 4.2).
func (f *framer) readChunks() ([]byte, error) {
	var out []byte
	for first := true; ; first = false {
		if err := f.expect("\n#"); err != nil {
			if first && errors.Is(err, io.EOF) {
				return nil, io.EOF
			}
			return nil, err
		}
		n, err := f.size()
		if err != nil {
			return nil, err
		}
		if n == 0 {
			if first {
				return nil, fmt.Errorf("%w: a message without a chunk", errFraming)
			}
			return out, nil
		}
		if len(out)+n > mostMessage {
			return nil, errTooLong
		}
		from := len(out)
		out = append(out, make([]byte, n)...)
		if _, err := io.ReadFull(f.r, out[from:]); err != nil {
			return nil, unexpected(err)
		}
	}
}

// expect reads what has to come next.
func (f *framer) expect(text string) error {
	for i := range len(text) {
		b, err := f.r.ReadByte()
		if err != nil {
			if i > 0 {
				err = unexpected(err)
			}
			return err
		}
		if b != text[i] {
			return fmt.Errorf("%w: %q where %q was expected", errFraming, b, text[i])
		}
	}
	return nil
}

// size reads a chunk's size and the line's end; 0 is the end of the chunks.
func (f *framer) size() (int, error) {
	var digits []byte
	for {
		b, err := f.r.ReadByte()
		switch {
		case err != nil:
			return 0, unexpected(err)
		case b == '\n' && string(digits) == "#":
			return 0, nil
		case b == '\n':
			n, err := strconv.Atoi(string(digits))
			if err != nil || n < 1 || digits[0] == '0' || digits[0] == '+' {
				return 0, fmt.Errorf("%w: chunk size %q", errFraming, digits)
			}
			if n > mostChunk {
				return 0, errTooLong
			}
			return n, nil
		case len(digits) >= 10:
			return 0, fmt.Errorf("%w: chunk size %q", errFraming, digits)
		}
		digits = append(digits, b)
	}
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// write writes a message.
func (f *framer) write(message []byte) error {
	out := make([]byte, 0, len(message)+32)
	if !f.chunked {
		out = append(append(out, message...), endOfMessage...)
	} else {
		for len(message) > 0 {
			n := min(len(message), mostChunk)
			out = append(strconv.AppendInt(append(out, "\n#"...), int64(n), 10), '\n')
			out = append(out, message[:n]...)
			message = message[n:]
		}
		out = append(out, "\n##\n"...)
	}
	_, err := f.w.Write(out)
	return err
}
