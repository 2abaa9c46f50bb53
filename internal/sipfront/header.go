package sipfront

import (
	"bufio"
	"bytes"
	"errors"
	"net/textproto"

	"golang.org/x/net/http/httpguts"

	"brookmux/internal/stream"
)

// maxFieldValues is the number of values of a header field that a message may have. Via has one for each proxy.
const maxFieldValues = 100

// usedHeaders are the header fields that are read, in canonical form. All others are dropped as they are read: a message
// could hold thousands of them, each of which would take many times its own size.
var usedHeaders = []string{"Via", "From", "To", "Call-Id", "Cseq", "Content-Length", "Reason", "X-Tier", "X-Deadline", "X-Resent",
	"X-Attrs", "I", "V", "L", "F", "T"}

// usedHeader returns the canonical form of a header field's name if the field is read, or else "".
func usedHeader(name []byte) string {
	for _, used := range usedHeaders {
		if len(used) == len(name) && bytes.EqualFold(name, []byte(used)) {
			return used
		}
	}
	return ""
}

// readHeader reads the header fields of a message up to the empty line that ends them, and returns those that are used. A
// textproto.ProtocolError means that a field is malformed; the fields before it are returned.
func readHeader(r *stream.Reader) (textproto.MIMEHeader, error) {
	header := textproto.MIMEHeader{}
	continued, err := continues(r)
	if err != nil {
		return header, err
	}
	if continued {
		return header, textproto.ProtocolError("header begins with white space")
	}
	var scratch []byte
	for {
		line, err := readField(r, scratch[:0])
		if err != nil || len(line) == 0 {
			return header, err
		}
		scratch = line
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || len(name) > 0 && !httpguts.ValidHeaderFieldName(string(name)) {
			return header, textproto.ProtocolError("malformed header field")
		}
		key := usedHeader(name)
		if key == "" {
			continue
		}
		if len(header[key]) >= maxFieldValues {
			return header, textproto.ProtocolError("too many values of a header field")
		}
		header[key] = append(header[key], string(bytes.TrimLeft(value, " \t")))
	}
}

// continues reports whether the next line begins with white space, and so continues the header field before it.
func continues(r *stream.Reader) (bool, error) {
	next, err := r.R.Peek(1)
	return err == nil && (next[0] == ' ' || next[0] == '\t'), err
}

// readField appends a line without white space at its ends to buf, with the lines that continue it, each after a space. It
// returns an empty slice for the empty line that ends a header.
func readField(r *stream.Reader, buf []byte) ([]byte, error) {
	for {
		start := len(buf)
		withLine, err := appendLine(r, buf)
		if err != nil {
			return withLine, err
		}
		buf = append(withLine[:start], bytes.Trim(withLine[start:], " \t\r\n")...)
		if len(buf) == 0 {
			return buf, nil
		}
		continued, err := continues(r)
		if err != nil || !continued {
			return buf, err
		}
		buf = append(buf, ' ')
	}
}

// appendLine appends the next line with its line end to buf.
func appendLine(r *stream.Reader, buf []byte) ([]byte, error) {
	for {
		part, err := r.R.ReadSlice('\n')
		buf = append(buf, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return buf, err
		}
	}
}

// echoedHeader returns the header fields that a response to the message echoes, without the rest.
func (m message) echoedHeader() textproto.MIMEHeader {
	echoed := textproto.MIMEHeader{}
	for _, name := range echoedHeaders {
		if values := m.header[name]; len(values) > 0 {
			echoed[name] = values
		}
	}
	return echoed
}

// headerSize returns the approximate number of bytes that header fields take in memory.
func headerSize(header textproto.MIMEHeader) int {
	const stringOverhead = 16
	size := 0
	for name, values := range header {
		size += len(name) + stringOverhead
		for _, v := range values {
			size += len(v) + stringOverhead
		}
	}
	return size
}
