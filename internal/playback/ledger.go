package playback

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
)

// ledger is what was seen of every call, on whichever wire, and the rules that it must keep.
type ledger struct {
	t     *testing.T
	asked map[string]int       // by caller and call: final answers owed by the program
	final map[string]int       // by caller and call: final answers got
	moot  map[string]bool      // given up by the caller, or its connection ended: no answer is owed
	out   map[string]string    // by call: the core that has an attempt
	bad   map[string]time.Time // by call: when an attempt was given up or reset

	stands   map[string]bool // by caller and call: answered, and not over
	released map[string]bool // by core and call: released by the program
}

const releaseWait = 300 * time.Millisecond

// key names a call on a caller's connection.
func key(actor, call string) string { return actor + "/" + call }

func newLedger(t *testing.T) *ledger {
	return &ledger{t: t, asked: map[string]int{}, final: map[string]int{}, moot: map[string]bool{},
		out: map[string]string{}, bad: map[string]time.Time{}, stands: map[string]bool{}, released: map[string]bool{}}
}

// sent books what an actor sends.
func (l *ledger) sent(actor string, b []byte) {
	switch actor[0] {
	case 'c':
		v, err := fastjson.ParseBytes(b)
		if err != nil {
			return // on purpose malformed
		}
		call := string(v.GetStringBytes("id"))
		if string(v.GetStringBytes("type")) == "release" {
			l.ended(actor, call, v.GetInt("cause") == 41)
		}
	case 'p':
		if kind, cic := isup(b); kind == 0x01 {
			l.asked[key(actor, cic)]++
		} else if kind == 0x0c {
			l.moot[key(actor, cic)] = true
			delete(l.stands, key(actor, cic))
		}
	case 'x':
		if kind, cic := isup(b); kind == 0x0c {
			l.ended(actor, actor+cic, false)
		}
	default:
		method, _, _ := strings.Cut(string(b), " ")
		if k := key(actor, callID(b)); method == "INVITE" && l.final[k] >= l.asked[k] {
			l.asked[k]++ // two under one id are owed one answer
		} else if method == "CANCEL" {
			l.moot[key(actor, callID(b))] = true
		} else if method == "BYE" {
			delete(l.stands, callID(b))
		}
	}
}

// got books what an actor gets from the program.
func (l *ledger) got(actor string, b []byte) {
	switch actor[0] {
	case 'c':
		v, err := fastjson.ParseBytes(b)
		require.NoError(l.t, err)
		call := string(v.GetStringBytes("id"))
		switch string(v.GetStringBytes("type")) {
		case "setup":
			l.begun(actor, call)
		case "release":
			l.released[key(actor, call)] = true
			l.ended(actor, call, true)
		}
	case 'p':
		switch kind, cic := isup(b); kind {
		case 0x09:
			l.stands[key(actor, cic)] = true
		case 0x0c:
			delete(l.stands, key(actor, cic))
		}
		// A circuit carries one call after another; a REL is its answer where none came before.
		if kind, cic := isup(b); kind == 0x09 || kind == 0x0c && l.final[key(actor, cic)] < l.asked[key(actor, cic)] {
			l.final[key(actor, cic)]++
		}
	case 'x':
		if kind, cic := isup(b); kind == 0x01 {
			l.begun(actor, actor+cic)
		} else if kind == 0x0c {
			l.ended(actor, actor+cic, true)
		}
	default:
		text, k := string(b), key(actor, callID(b))
		if strings.HasPrefix(text, "SIP/2.0 ") && strings.Contains(text, " INVITE\r\n") && b[8] > '1' {
			l.final[k]++
			l.stands[callID(b)] = l.stands[callID(b)] || b[8] == '2'
		} else if strings.HasPrefix(text, "BYE ") {
			delete(l.stands, callID(b))
		}
	}
}

// begun books a set-up: no other may be out, and the release wait must be over.
func (l *ledger) begun(core, call string) {
	require.Empty(l.t, l.out[call], "%s gets call %s while %s has it", core, call, l.out[call])
	if since, ok := l.bad[call]; ok {
		require.GreaterOrEqual(l.t, time.Since(since), releaseWait, "call %s is sent again too soon", call)
	}
	l.out[call] = core
}

// ended books the end of an attempt; after a bad one the release wait runs.
func (l *ledger) ended(core, call string, bad bool) {
	if l.out[call] == core {
		delete(l.out, call)
		if bad {
			l.bad[call] = time.Now()
		}
	}
}

// over books the end of a connection: attempts on it are reset, callers on it are owed nothing. on tells which
// of a core's connections has a call, nil where there is but one; now, whether the release wait runs from now on.
func (l *ledger) over(actor string, on map[string]net.Conn, conn net.Conn, now bool) {
	for call, core := range l.out {
		if core == actor && (on == nil || on[call] == conn) {
			l.ended(actor, call, now)
		}
	}
	for k := range l.asked {
		if strings.HasPrefix(k, actor+"/") {
			l.moot[k] = true
		}
	}
}

// repeated returns what a core got without releases that it had got before: they may come again on another
// connection, as the first may not have been read.
func (l *ledger) repeated(core, text string) string {
	var out strings.Builder
	for line := range strings.Lines(text) {
		v, err := fastjson.Parse(line)
		if err == nil && string(v.GetStringBytes("type")) == "release" && l.released[key(core, string(v.GetStringBytes("id")))] {
			continue
		}
		out.WriteString(line)
	}
	return out.String()
}

// overAtLast returns what a caller or peer got at the end without the releases of calls that stood until then, one
// each, and without the signs of an association that ends.
func (l *ledger) overAtLast(actor string, b []byte) []byte {
	var out []byte
	for len(b) > 0 {
		n := len(b)
		if actor[0] == 'p' || actor[0] == 'x' {
			if len(b) >= 8 {
				n = min(n, int(binary.BigEndian.Uint32(b[4:8])))
			}
			kind, cic := isup(b[:n])
			if k := key(actor, cic); kind == 0x0c && l.stands[k] {
				delete(l.stands, k)
			} else if !beat(b[:n]) {
				out = append(out, b[:n]...)
			}
		} else {
			if i := strings.Index(string(b), "\r\n\r\n"); i >= 0 && strings.HasPrefix(string(b), "BYE ") {
				n = i + len("\r\n\r\n") // a BYE has no body
			}
			if id := callID(b[:n]); strings.HasPrefix(string(b), "BYE ") && l.stands[id] {
				delete(l.stands, id)
			} else {
				out = append(out, b[:n]...)
			}
		}
		b = b[n:]
	}
	return out
}

// check asserts that every call got its one final answer.
func (l *ledger) check() {
	for k := range l.asked {
		if l.moot[k] {
			require.LessOrEqual(l.t, l.final[k], l.asked[k], "final answers to %s", k)
		} else {
			require.Equal(l.t, l.asked[k], l.final[k], "final answers to %s", k)
		}
	}
}

// callID reads a SIP message's call.
func callID(b []byte) string {
	_, rest, _ := strings.Cut(string(b), "\r\nCall-ID: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// isup reads the type and circuit of the ISUP message in an M3UA DATA message, in which the protocol data
// comes last.
func isup(b []byte) (kind byte, cic string) {
	const routingContext, label = 8, 4 + 12
	if len(b) < 8+routingContext+label+3 || b[2] != 1 || b[3] != 1 {
		return 0, ""
	}
	u := b[8+routingContext+label:]
	return u[2], fmt.Sprint(binary.LittleEndian.Uint16(u))
}
