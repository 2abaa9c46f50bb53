// Package corelink maintains the connections to the cores, which exchange JSON lines. It keeps several connections to
// each core and tracks the set-ups open on them, load reports and the state of groups. Calls that stand on a core hold
// a lease on it; see package liveness.
package corelink

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/jsontext"
	"brookmux/internal/liveness"
	"brookmux/internal/settings"
)

// normalRelease is the cause of the release of a call that has come to its end.
const normalRelease core.Cause = 16

// message is a line received from a core.
type message struct {
	kind, id, note string
	cause          core.Cause
	report         brookmux.Report
	sdp            []byte
}

// errInvalidMessage reports a line of valid JSON that is not a valid message, errIncompleteLine a line without an end.
var (
	errInvalidMessage = errors.New("line is not a valid message")
	errIncompleteLine = errors.New("line is incomplete")
)

// Message types.
const (
	kindAnswer   = "answer"
	kindRelease  = "release"
	kindReleased = "released"
	kindProgress = "progress"
	kindState    = "state"
	kindPing     = "ping"
	kindPong     = "pong"
)

// acceptedKinds holds the message types that a core may send.
var acceptedKinds = map[string]bool{kindAnswer: true, kindRelease: true, kindReleased: true, kindProgress: true,
	kindState: true, kindPing: true, kindPong: true}

// parse decodes a line. The returned message does not refer to the line or to the parser.
func parse(p *fastjson.Parser, line []byte) (message, error) {
	v, err := p.ParseBytes(line)
	if err != nil {
		return message{}, fmt.Errorf("line is not valid JSON: %w", err)
	}
	m := message{kind: string(v.GetStringBytes("type")), id: string(v.GetStringBytes("id")),
		cause: core.Cause(v.GetInt("cause")), report: settings.EmptyReport(),
		sdp: append([]byte(nil), v.GetStringBytes("sdp")...)}
	fields := v.Get("fields")
	switch {
	case !acceptedKinds[m.kind], m.id == "", fields != nil && fields.Type() != fastjson.TypeObject:
		return message{}, errInvalidMessage
	case m.kind == kindAnswer && (v.Get("sdp") == nil || v.Get("sdp").Type() != fastjson.TypeString):
		return message{}, errInvalidMessage // an answer must have a session description
	case m.kind == kindRelease && (m.cause <= 0 || m.cause > 127):
		return message{}, errInvalidMessage
	}
	m.note = string(fields.GetStringBytes("note"))
	parseLoad(&m.report, string(fields.GetStringBytes("load")))
	return m, nil
}

// evidence returns what the message shows about the process that sent it, for the lease.
func (m message) evidence() liveness.Message {
	e := liveness.Message{GroupState: m.kind == kindState, Free: m.report.Free, Size: m.report.Size}
	// The process that follows one that has died may report its calls as cut.
	if m.kind == kindAnswer || m.kind == kindRelease && m.cause == normalRelease {
		e.Call = m.id
	}
	return e
}

// parseLoad decodes a load report such as "x0:12;x1:40;queue:3" into r. Parts that cannot be decoded are skipped.
func parseLoad(r *brookmux.Report, text string) {
	for part := range strings.SplitSeq(text, ";") {
		name, value, ok := strings.Cut(part, ":")
		if f, err := strconv.ParseFloat(value, 64); ok && err == nil {
			settings.SetReportValue(r, strings.TrimSpace(name), f)
		}
	}
}

// outcome maps a release to the outcome of the attempt or call that it ends.
func (m message) outcome() core.Outcome {
	o := core.Outcome{Report: m.report, Cause: m.cause}
	switch m.cause {
	case normalRelease:
		o.Result = brookmux.ResultOK
	case 34:
		o.Result = brookmux.ResultFull
	case 41:
		o.Result = brookmux.ResultReset
	case 102:
		o.Result = brookmux.ResultMoot
	default: // 17, 47
		o.Result = brookmux.ResultError
	}
	switch m.note {
	case "blocked":
		o.Reason = brookmux.ReasonNoCircuit
	case "bounced":
		o.Reason = brookmux.ReasonRejectedByTandem
	case "far_swamped":
		o.Reason = brookmux.ReasonDestinationFull
	case "swamped":
		o.Reason = brookmux.ReasonProcessorFull
	case "occupied":
		o.Reason = brookmux.ReasonLineBusy
	}
	return o
}

// encodeSetUp encodes a set-up. The time left is rounded up to a whole millisecond.
func encodeSetUp(a core.Attempt) []byte {
	b := make([]byte, 0, 160+len(a.Description)+len(a.Description)/8)
	b = append(b, `{"type":"setup","id":`...)
	b = jsontext.Append(b, a.Key)
	b = append(b, `,"fields":{"class":`...)
	b = jsontext.Append(b, a.Class)
	b = append(b, `,"key":`...)
	b = jsontext.Append(b, a.Number)
	b = append(b, `,"left":"`...)
	b = strconv.AppendInt(b, int64((a.Timeout+time.Millisecond-1)/time.Millisecond), 10)
	b = append(b, `"},"sdp":`...)
	b = jsontext.Append(b, a.Description)
	return append(b, "}\n"...)
}

// encodeCause encodes a message that has a cause and empty fields.
func encodeCause(kind, id string, cause core.Cause) []byte {
	b := append([]byte(nil), `{"type":"`+kind+`","id":`...)
	b = jsontext.Append(b, id)
	b = append(b, `,"fields":{},"cause":`...)
	b = strconv.AppendInt(b, int64(cause), 10)
	return append(b, "}\n"...)
}
