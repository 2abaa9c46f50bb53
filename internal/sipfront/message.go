// Package sipfront is the platform's front: callers that speak SIP over TCP. It is thin: it turns messages
// into requests for the core and the core's answers into messages, and decides nothing.
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
	method string // of a request, else of the request that is answered
	uri    string
	status int // of a response, else 0
	header textproto.MIMEHeader
	body   []byte
}

// problem is an error that can be answered: the message's first line and headers were read.
type problem struct {
	status int
	why    string
}

// Error implements error.
func (p *problem) Error() string { return fmt.Sprintf("%d %s", p.status, p.why) }

// compact are the short forms of header names (RFC 3261, 7.3.3).
var compact = map[string]string{"I": "Call-Id", "V": "Via", "L": "Content-Length", "F": "From", "T": "To"}

// read reads one message. With an error that is a *problem, the message holds what an answer needs.
func read(r *stream.Reader) (message, error) {
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
	m.header, err = r.ReadMIMEHeader()
	for short, long := range compact {
		if v := m.header[short]; v != nil && m.header[long] == nil {
			m.header[long] = v
		}
	}
	if r.Size() > stream.MaxMessage {
		err = stream.ErrTooLarge
	}
	if err == nil {
		err = m.start(line)
	}
	if err == nil {
		err = m.content(r)
	}
	var protocol textproto.ProtocolError
	if errors.As(err, &protocol) {
		err = &problem{400, "malformed header"}
		if m.start(line) != nil {
			return m, protocol
		}
	}
	return m, err
}

// start reads the first line.
func (m *message) start(line string) error {
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

// content reads the body, whose length every message has to state.
func (m *message) content(r *stream.Reader) error {
	lengths := m.header["Content-Length"]
	if len(lengths) != 1 { // two that differ would have the next message start at either
		return &problem{400, "Content-Length is missing or malformed"}
	}
	n, err := strconv.ParseUint(lengths[0], 10, 64) // digits only
	if errors.Is(err, strconv.ErrRange) || err == nil && n > stream.MaxMessage {
		return &problem{413, "message is larger than 16 KiB"}
	} else if err != nil {
		return &problem{400, "Content-Length is missing or malformed"}
	}
	if m.body, err = r.Body(int(n)); errors.Is(err, stream.ErrTooLarge) {
		return &problem{413, "message is larger than 16 KiB"}
	}
	return err
}

// id is the call's name.
func (m message) id() string { return m.header.Get("Call-Id") }

// isKey tells whether a text is a call's name: 16 hex digits.
func isKey(s string) bool {
	_, err := strconv.ParseUint(s, 16, 64)
	return len(s) == 16 && err == nil
}

// figure reads one of the whole numbers of X-Attrs, which may be written as "2" or "2.0".
func figure(text string) (int, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return int(v), err == nil && v == math.Trunc(v) && math.Abs(v) < 1<<20
}

// request turns an INVITE into a request, or tells what is wrong with it.
func (m message) request() (core.Request, error) {
	number, ok := strings.CutPrefix(m.uri, "sip:")
	if number, _, ok = cutAt(number, ok); !ok {
		return core.Request{}, &problem{400, "address is not sip:NUMBER@HOST"}
	}
	if !isKey(m.id()) {
		return core.Request{}, &problem{400, "Call-ID is not 16 hex digits"}
	}
	left, err := strconv.ParseInt(m.header.Get("X-Deadline"), 10, 32)
	if err != nil || left <= 0 {
		return core.Request{}, &problem{400, "X-Deadline is missing or malformed"}
	}
	r := core.Request{Key: m.id(), Class: m.header.Get("X-Tier"), Number: number, Width: 1, Via: -1, Destination: -1,
		Resent: m.header.Get("X-Resent") != "" && m.header.Get("X-Resent") != "0",
		Left:   time.Duration(left) * time.Millisecond, Description: m.body}
	if r.Class == "" {
		return r, &problem{400, "X-Tier is missing"}
	}
	for part := range strings.SplitSeq(m.header.Get("X-Attrs"), ";") {
		name, text, _ := strings.Cut(part, ":")
		v, ok := figure(text)
		if !ok && part != "" {
			return r, &problem{400, "X-Attrs is malformed"}
		}
		switch strings.TrimSpace(name) {
		case "dest":
			r.Destination = v
		case "width":
			if r.Width = float64(v); v < 1 {
				return r, &problem{400, "X-Attrs names no circuit"}
			}
		case "via":
			r.Via = v
		case "transit":
			r.Transit = v != 0
		}
	}
	if r.Destination < 0 {
		return r, &problem{400, "X-Attrs names no destination"}
	}
	return r, nil
}

// cutAt cuts an address at its @, if it has a user part.
func cutAt(address string, ok bool) (user, host string, good bool) {
	user, host, at := strings.Cut(address, "@")
	return user, host, ok && at && user != ""
}

// dialog are the headers that an answer repeats.
var dialog = []string{"Via", "From", "To", "Call-Id", "Cseq"}

// answer writes the start of an answer to this request, up to the headers that are its own.
func (m message) answer(status int, reason string) []byte {
	b := make([]byte, 0, 256)
	b = append(b, "SIP/2.0 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(append(b, ' '), reason...), "\r\n"...)
	for _, name := range dialog {
		for _, v := range m.header[name] {
			b = header(b, wireName(name), v)
		}
	}
	return b
}

// wireName is a header's name as SIP writes it.
func wireName(name string) string {
	switch name {
	case "Call-Id":
		return "Call-ID"
	case "Cseq":
		return "CSeq"
	}
	return name
}

// header appends a header line.
func header(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// end appends the length and the body.
func end(b, body []byte) []byte {
	b = header(b, "Content-Length", strconv.Itoa(len(body)))
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// bye writes the release of a call that stood.
func bye(key string, cause core.Cause) []byte {
	b := []byte("BYE sip:peer@net SIP/2.0\r\n")
	b = header(b, "Via", "SIP/2.0/TCP brookmux;branch=z9hG4bK"+key)
	b = header(b, "Call-ID", key)
	b = header(b, "CSeq", "2 BYE")
	b = header(b, "Reason", fmt.Sprintf("Q.850;cause=%d", cause))
	return end(b, nil)
}

// cause reads the cause of a BYE; without one it is a normal clearing.
func (m message) cause() core.Cause {
	_, text, _ := strings.Cut(m.header.Get("Reason"), "cause=")
	text, _, _ = strings.Cut(text, ";")
	if n, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && n > 0 && n < 128 {
		return core.Cause(n)
	}
	return core.NormalClearing
}
