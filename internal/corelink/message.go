// Package corelink keeps the connections to the cores, which speak JSON lines: a few to each, with the set-ups open on
// them, load reports and the state of groups. Calls that stand on a core hold a lease on it, see package liveness.
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

// message is one line from a core.
type message struct {
	kind, id, note string
	cause          core.Cause
	report         brookmux.Report
	sdp            []byte
}

// errForm tells that a line holds JSON that is none of the messages, errBrokenLine that one did not end.
var (
	errForm       = errors.New("line holds no message")
	errBrokenLine = errors.New("line did not end")
)

// The types of messages.
const (
	kindAnswer   = "answer"
	kindRelease  = "release"
	kindReleased = "released"
	kindProgress = "progress"
	kindState    = "state"
	kindPing     = "ping"
	kindPong     = "pong"
)

// kinds are the types of the messages that a core may send.
var kinds = map[string]bool{kindAnswer: true, kindRelease: true, kindReleased: true, kindProgress: true, kindState: true,
	kindPing: true, kindPong: true}

// parse reads a line. The message shares nothing with it or with the parser.
func parse(p *fastjson.Parser, line []byte) (message, error) {
	v, err := p.ParseBytes(line)
	if err != nil {
		return message{}, fmt.Errorf("line can't be read: %w", err)
	}
	m := message{kind: string(v.GetStringBytes("type")), id: string(v.GetStringBytes("id")),
		cause: core.Cause(v.GetInt("cause")), report: settings.NoReport(),
		sdp: append([]byte(nil), v.GetStringBytes("sdp")...)}
	fields := v.Get("fields")
	switch {
	case !kinds[m.kind], m.id == "", fields != nil && fields.Type() != fastjson.TypeObject:
		return message{}, errForm
	case m.kind == kindAnswer && (v.Get("sdp") == nil || v.Get("sdp").Type() != fastjson.TypeString):
		return message{}, errForm // an answer without a description is not whole
	case m.kind == kindRelease && (m.cause <= 0 || m.cause > 127):
		return message{}, errForm
	}
	m.note = string(fields.GetStringBytes("note"))
	readLoad(&m.report, string(fields.GetStringBytes("load")))
	return m, nil
}

// evidence is what the message tells of the process that sent it.
func (m message) evidence() liveness.Message {
	e := liveness.Message{GroupState: m.kind == kindState, Free: m.report.Free, Size: m.report.Size}
	if m.kind == kindAnswer || m.kind == kindRelease {
		e.Call = m.id
	}
	return e
}

// readLoad reads a report such as "x0:12;x1:40;queue:3"; what can't be read is left absent.
func readLoad(r *brookmux.Report, text string) {
	for part := range strings.SplitSeq(text, ";") {
		name, value, ok := strings.Cut(part, ":")
		if f, err := strconv.ParseFloat(value, 64); ok && err == nil {
			settings.Figure(r, strings.TrimSpace(name), f)
		}
	}
}

// outcome translates the end of an attempt or call.
func (m message) outcome() core.Outcome {
	o := core.Outcome{Report: m.report, Cause: m.cause}
	switch m.cause {
	case 16:
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
		o.Reason = brookmux.ReasonTurnedBack
	case "far_swamped":
		o.Reason = brookmux.ReasonFarFull
	case "swamped":
		o.Reason = brookmux.ReasonProcessorFull
	case "occupied":
		o.Reason = brookmux.ReasonLineBusy
	}
	return o
}

// setUpLine writes a set-up.
func setUpLine(a core.Attempt) []byte {
	b := make([]byte, 0, 160+len(a.Description)+len(a.Description)/8)
	b = append(b, `{"type":"setup","id":`...)
	b = jsontext.Append(b, a.Key)
	b = append(b, `,"fields":{"class":`...)
	b = jsontext.Append(b, a.Class)
	b = append(b, `,"key":`...)
	b = jsontext.Append(b, a.Number)
	b = append(b, `,"left":"`...)
	b = strconv.AppendInt(b, int64((a.Left+time.Millisecond-1)/time.Millisecond), 10)
	b = append(b, `"},"sdp":`...)
	b = jsontext.Append(b, a.Description)
	return append(b, "}\n"...)
}

// causeLine writes a message that holds a cause only.
func causeLine(kind, id string, cause core.Cause) []byte {
	b := append([]byte(nil), `{"type":"`+kind+`","id":`...)
	b = jsontext.Append(b, id)
	b = append(b, `,"fields":{},"cause":`...)
	b = strconv.AppendInt(b, int64(cause), 10)
	return append(b, "}\n"...)
}
