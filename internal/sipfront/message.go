// Package sipfront is the platform's front for callers that use SIP over TCP. It translates SIP messages into requests
// to the core and the core's answers into SIP messages; it makes no routing or admission decisions.
package sipfront

import (
	"errors"
	"fmt"
	"math"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"brookmux/internal/core"
	"brookmux/internal/stream"
)

// message is a SIP request or response.
type message struct {
	method string // of the request, or of the request that a response belongs to
	uri    string
	status int // of a response, 0 for a request
	header textproto.MIMEHeader
	body   []byte
}

// messageError is an error in a message whose start line and headers were read, so that it can be answered with a
// status.
type messageError struct {
	status int
	reason string
}

// Error implements error.
func (e *messageError) Error() string { return fmt.Sprintf("%d %s", e.status, e.reason) }

// compactHeaders maps compact header names to their long forms (RFC 3261, 7.3.3).
var compactHeaders = map[string]string{"I": "Call-Id", "V": "Via", "L": "Content-Length", "F": "From", "T": "To"}

// readMessage reads one message. If the error is a *messageError, the message holds what a response needs.
func readMessage(r *stream.Reader) (message, error) {
	var m message
	line := ""
	for line == "" { // empty lines between messages are keep-alives
		r.Begin()
		b, err := r.Line()
		if err != nil {
			return m, err
		}
		line = string(b)
	}
	var err error
	m.header, err = readHeader(r)
	for short, long := range compactHeaders {
		if v := m.header[short]; v != nil && m.header[long] == nil {
			m.header[long] = v
		}
	}
	if r.Size() > stream.MaxMessage {
		err = stream.ErrTooLarge
	}
	if err == nil {
		err = m.parseStartLine(line)
	}
	if err == nil {
		err = m.readBody(r)
	}
	var protocol textproto.ProtocolError
	if errors.As(err, &protocol) {
		err = &messageError{400, "malformed header"}
		if m.parseStartLine(line) != nil {
			return m, protocol
		}
	}
	return m, err
}

// parseStartLine parses a request line or a status line.
func (m *message) parseStartLine(line string) error {
	if rest, ok := strings.CutPrefix(line, "SIP/2.0 "); ok {
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || status < 100 || status > 699 {
			return fmt.Errorf("status line %.40q", line)
		}
		m.status = status
		_, m.method, _ = strings.Cut(strings.TrimSpace(m.header.Get("Cseq")), " ")
		return nil
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[2] != "SIP/2.0" || parts[0] == "" {
		return fmt.Errorf("request line %.40q", line)
	}
	m.method, m.uri = parts[0], parts[1]
	return nil
}

// readBody reads the body. Content-Length is mandatory.
func (m *message) readBody(r *stream.Reader) error {
	lengths := m.header["Content-Length"]
	if len(lengths) != 1 { // with two different values, the start of the next message would be ambiguous
		return &messageError{400, "Content-Length is missing or malformed"}
	}
	n, err := strconv.ParseUint(lengths[0], 10, 64) // digits only
	if errors.Is(err, strconv.ErrRange) || err == nil && n > stream.MaxMessage {
		return &messageError{413, "message is larger than 16 KiB"}
	} else if err != nil {
		return &messageError{400, "Content-Length is missing or malformed"}
	}
	if m.body, err = r.Body(int(n)); errors.Is(err, stream.ErrTooLarge) {
		return &messageError{413, "message is larger than 16 KiB"}
	}
	return err
}

// callID returns the Call-ID, which identifies the call.
func (m message) callID() string { return m.header.Get("Call-Id") }

// isCallKey reports whether s is a valid call key: 16 hex digits.
func isCallKey(s string) bool {
	_, err := strconv.ParseUint(s, 16, 64)
	return len(s) == 16 && err == nil
}

// parseInteger parses an integer of X-Attrs, which may be written as "2" or "2.0". Its magnitude must be below 1<<20.
func parseInteger(text string) (int, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return int(v), err == nil && v == math.Trunc(v) && math.Abs(v) < 1<<20
}

// toRequest converts an INVITE into a request to the core. The error is a *messageError.
func (m message) toRequest() (core.Request, error) {
	number, ok := strings.CutPrefix(m.uri, "sip:")
	if number, _, ok = splitAddress(number, ok); !ok {
		return core.Request{}, &messageError{400, "address is not sip:NUMBER@HOST"}
	}
	if !isCallKey(m.callID()) {
		return core.Request{}, &messageError{400, "Call-ID is not 16 hex digits"}
	}
	timeout, err := strconv.ParseInt(m.header.Get("X-Deadline"), 10, 32)
	if err != nil || timeout <= 0 {
		return core.Request{}, &messageError{400, "X-Deadline is missing or malformed"}
	}
	r := core.Request{Key: m.callID(), Class: m.header.Get("X-Tier"), Number: number, Width: 1, Via: -1, Destination: -1,
		Resent:    m.header.Get("X-Resent") != "" && m.header.Get("X-Resent") != "0",
		Remaining: time.Duration(timeout) * time.Millisecond, Description: m.body}
	if r.Class == "" {
		return r, &messageError{400, "X-Tier is missing"}
	}
	for attr := range strings.SplitSeq(m.header.Get("X-Attrs"), ";") {
		name, text, _ := strings.Cut(attr, ":")
		v, ok := parseInteger(text)
		if !ok && attr != "" {
			return r, &messageError{400, "X-Attrs is malformed"}
		}
		switch strings.TrimSpace(name) {
		case "dest":
			r.Destination = v
		case "width":
			if r.Width = float64(v); v < 1 {
				return r, &messageError{400, "X-Attrs names no circuit"}
			}
		case "via":
			r.Via = v
		case "transit":
			r.Transit = v != 0
		}
	}
	if r.Destination < 0 {
		return r, &messageError{400, "X-Attrs names no destination"}
	}
	return r, nil
}

// splitAddress splits an address at its first @. It is valid if ok is true and the user part is not empty.
func splitAddress(address string, ok bool) (user, host string, valid bool) {
	user, host, at := strings.Cut(address, "@")
	return user, host, ok && at && user != ""
}

// echoedHeaders are the headers that a response copies from its request.
var echoedHeaders = []string{"Via", "From", "To", "Call-Id", "Cseq"}

// response returns the status line and the echoed headers of a response to m. The caller appends further headers and
// the body.
func (m message) response(status int, reason string) []byte {
	b := make([]byte, 0, 256)
	b = append(b, "SIP/2.0 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(append(b, ' '), reason...), "\r\n"...)
	for _, name := range echoedHeaders {
		for _, v := range m.header[name] {
			b = appendHeader(b, wireName(name), v)
		}
	}
	return b
}

// wireName returns the SIP spelling of a canonical MIME header name.
func wireName(name string) string {
	switch name {
	case "Call-Id":
		return "Call-ID"
	case "Cseq":
		return "CSeq"
	}
	return name
}

// appendHeader appends a header line.
func appendHeader(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// appendBody appends Content-Length, the end of the headers and the body.
func appendBody(b, body []byte) []byte {
	b = appendHeader(b, "Content-Length", strconv.Itoa(len(body)))
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// byeRequest returns the BYE that releases a call that stood.
func byeRequest(key string, cause core.Cause) []byte {
	b := []byte("BYE sip:peer@net SIP/2.0\r\n")
	b = appendHeader(b, "Via", "SIP/2.0/TCP brookmux;branch=z9hG4bK"+key)
	b = appendHeader(b, "Call-ID", key)
	b = appendHeader(b, "CSeq", "2 BYE")
	b = appendHeader(b, "Reason", fmt.Sprintf("Q.850;cause=%d", cause))
	return appendBody(b, nil)
}

// cause returns the Q.850 cause of a BYE, NormalClearing if it has no valid one.
func (m message) cause() core.Cause {
	_, text, _ := strings.Cut(m.header.Get("Reason"), "cause=")
	text, _, _ = strings.Cut(text, ";")
	if n, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && n > 0 && n < 128 {
		return core.Cause(n)
	}
	return core.NormalClearing
}
