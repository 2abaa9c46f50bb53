package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
	"time"

	"brookmux"
)

const settings = `{"classes":[{"aimMs":1500,"deadlineMs":9000,"effect":"by_key","group":"cell","gain":3,"news":1}],
"instances":4,"discovery":"ask","loadReport":{"how":"pull","names":["idle","circuits","shoe_size","reduce"]},
"orgs":[{"allowancePerS":15}],"permissions":{"maxAttempts":6,"probes":true},
"specifics":{"here":2,"shape":"network","releaseGuardMs":300,"channelsNeeded":[2],"classHoldMs":[12100]}}`

func TestParseSettings(t *testing.T) {
	s, names, err := parseSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	k := s.Classes[0]
	if s.Here != 2 || !s.FollowMembers || s.Pools || s.Reports != brookmux.ReportsProbe || s.MaxAttempts != 6 ||
		s.ReleaseWait != 300*time.Millisecond || k.Effect != brookmux.Keyed ||
		k.Group != brookmux.ScopeCell || k.Hold != 12100*time.Millisecond || len(names) != 4 {
		t.Errorf("got %+v, names %v", s, names)
	}
	r := report(names, []float32{3, 8, 44, 0.5})
	if r.Free != 3 || r.Size != 8 || r.HoldBack != 0.5 || r.Wait != brookmux.Absent {
		t.Errorf("report: %+v", r)
	}
}

func TestBadSettings(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{`{"classes":`, "settings can't be read"},
		{`{"discovery":"rumour"}`, "discovery"},
		{`{"specifics":{"shape":"ring"}}`, "specifics.shape"},
		{`{"classes":[{"effect":"twice"}]}`, "classes.effect"},
	} {
		if _, _, err := parseSettings([]byte(tt.text)); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v, want %q", tt.text, err, tt.want)
		}
	}
}

// frame returns a batch of records at clock 1000 ms.
func frame(records []byte) []byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(8+len(records)))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(1000))
	return append(b, records...)
}

func TestServe(t *testing.T) {
	start := binary.LittleEndian.AppendUint64([]byte{16, 1, 0, 0, 0}, 9)
	start = binary.LittleEndian.AppendUint32(start, uint32(len(settings)))
	start = append(start, settings...)
	tests := []struct {
		name    string
		in      []byte
		frames  int
		problem string
	}{
		{"clean end", frame(nil), 1, ""},
		{"an instance starts", frame(start), 1, ""},
		{"cut short", frame(start)[:40], 0, "input ends at byte 40"},
		{"unknown record", frame([]byte{99}), 0, "unknown code 99 at byte 12"},
		{"unreadable settings", frame([]byte{16, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, '{'}), 0, "bootInfo"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			err := serve(bytes.NewReader(tt.in), &out)
			if tt.problem == "" && err != nil || tt.problem != "" && (err == nil || !strings.Contains(err.Error(), tt.problem)) {
				t.Errorf("error %v, want %q", err, tt.problem)
			}
			if got := out.Len() >= 8; got != (tt.frames > 0) {
				t.Errorf("%d bytes of reply", out.Len())
			}
		})
	}
}

// TestPanicBecomesException: a panic in a decision is replied as an EXCEPTION with its text.
func TestPanicBecomesException(t *testing.T) {
	l := &link{instances: map[uint32]*instance{1: {}}}
	l.withInstance(1, func(*instance) { panic("division by zero in a gate") })
	if !bytes.Contains(l.reply.Bytes(), []byte("division by zero in a gate")) {
		t.Error("the panic's text is not in the reply")
	}
}
