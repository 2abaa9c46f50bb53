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

// ledger records the messages of every call on all protocols and checks these rules: a call has at most one open
// attempt, it is not sent again within the release wait after a failed attempt, and its caller receives one final
// answer.
type ledger struct {
	t         *testing.T
	expected  map[string]int       // by caller and call: final answers expected from the program
	received  map[string]int       // by caller and call: final answers received
	abandoned map[string]bool      // by caller and call: cancelled or connection ended, so an answer is optional
	attemptAt map[string]string    // by call: the core or exchange with the open attempt
	failedAt  map[string]time.Time // by call: when an attempt was cancelled or reset

	standing map[string]bool // answered calls that are not over, by caller and call; by Call-ID alone for SIP
	released map[string]bool // by core and call: the program has sent a release
}

const releaseWait = 300 * time.Millisecond // releaseGuardMs in the program's configuration

// callKey identifies a call of an actor.
func callKey(actor, call string) string { return actor + "/" + call }

func newLedger(t *testing.T) *ledger {
	return &ledger{t: t, expected: map[string]int{}, received: map[string]int{}, abandoned: map[string]bool{},
		attemptAt: map[string]string{}, failedAt: map[string]time.Time{}, standing: map[string]bool{},
		released: map[string]bool{}}
}

// recordSent records a message that an actor sends.
func (l *ledger) recordSent(actor string, b []byte) {
	switch actor[0] {
	case 'c':
		v, err := fastjson.ParseBytes(b)
		if err != nil {
			return // malformed on purpose
		}
		call := string(v.GetStringBytes("id"))
		if string(v.GetStringBytes("type")) == "release" {
			l.attemptEnded(actor, call, v.GetInt("cause") == 41)
		}
	case 'p':
		if kind, cic := isup(b); kind == 0x01 {
			l.expected[callKey(actor, cic)]++
		} else if kind == 0x0c {
			l.abandoned[callKey(actor, cic)] = true
			delete(l.standing, callKey(actor, cic))
		}
	case 'x':
		if kind, cic := isup(b); kind == 0x0c {
			l.attemptEnded(actor, actor+cic, false)
		}
	default:
		method, _, _ := strings.Cut(string(b), " ")
		if k := callKey(actor, callID(b)); method == "INVITE" && l.received[k] >= l.expected[k] {
			l.expected[k]++ // a repeated INVITE with the same Call-ID expects no further answer
		} else if method == "CANCEL" {
			l.abandoned[callKey(actor, callID(b))] = true
		} else if method == "BYE" {
			delete(l.standing, callID(b))
		}
	}
}

// recordReceived records a message that an actor receives from the program.
func (l *ledger) recordReceived(actor string, b []byte) {
	switch actor[0] {
	case 'c':
		v, err := fastjson.ParseBytes(b)
		require.NoError(l.t, err)
		call := string(v.GetStringBytes("id"))
		switch string(v.GetStringBytes("type")) {
		case "setup":
			l.attemptStarted(actor, call)
		case "release":
			l.released[callKey(actor, call)] = true
			l.attemptEnded(actor, call, true)
		}
	case 'p':
		switch kind, cic := isup(b); kind {
		case 0x09:
			l.standing[callKey(actor, cic)] = true
		case 0x0c:
			delete(l.standing, callKey(actor, cic))
		}
		// A circuit carries successive calls. A REL is a final answer only if the call has none yet.
		if kind, cic := isup(b); kind == 0x09 ||
			kind == 0x0c && l.received[callKey(actor, cic)] < l.expected[callKey(actor, cic)] {
			l.received[callKey(actor, cic)]++
		}
	case 'x':
		if kind, cic := isup(b); kind == 0x01 {
			l.attemptStarted(actor, actor+cic)
		} else if kind == 0x0c {
			l.attemptEnded(actor, actor+cic, true)
		}
	default:
		text, k := string(b), callKey(actor, callID(b))
		if strings.HasPrefix(text, "SIP/2.0 ") && strings.Contains(text, " INVITE\r\n") && b[8] > '1' {
			l.received[k]++
			l.standing[callID(b)] = l.standing[callID(b)] || b[8] == '2'
		} else if strings.HasPrefix(text, "BYE ") {
			delete(l.standing, callID(b))
		}
	}
}

// attemptStarted records a set-up: the call must have no open attempt, and its release wait must be over.
func (l *ledger) attemptStarted(core, call string) {
	require.Empty(l.t, l.attemptAt[call], "%s receives call %s during its attempt at %s", core, call, l.attemptAt[call])
	if since, ok := l.failedAt[call]; ok {
		require.GreaterOrEqual(l.t, time.Since(since), releaseWait, "call %s is sent again within the release wait", call)
	}
	l.attemptAt[call] = core
}

// attemptEnded records the end of an attempt; failed starts the call's release wait.
func (l *ledger) attemptEnded(core, call string, failed bool) {
	if l.attemptAt[call] == core {
		delete(l.attemptAt, call)
		if failed {
			l.failedAt[call] = time.Now()
		}
	}
}

// connectionEnded records the end of an actor's connection: attempts on it end, and its callers expect no answer.
// connOfCall maps calls to the connections of a core; it is nil if the actor has only one connection. startWait
// starts the release wait of the ended attempts.
func (l *ledger) connectionEnded(actor string, connOfCall map[string]net.Conn, conn net.Conn, startWait bool) {
	for call, core := range l.attemptAt {
		if core == actor && (connOfCall == nil || connOfCall[call] == conn) {
			l.attemptEnded(actor, call, startWait)
		}
	}
	for k := range l.expected {
		if strings.HasPrefix(k, actor+"/") {
			l.abandoned[k] = true
		}
	}
}

// dropRepeatedReleases returns a core's unread messages without the releases that it has already received: the program
// may repeat a release on another connection, as the core may not have read the first one.
func (l *ledger) dropRepeatedReleases(core, text string) string {
	var out strings.Builder
	for line := range strings.Lines(text) {
		v, err := fastjson.Parse(line)
		if err == nil && string(v.GetStringBytes("type")) == "release" &&
			l.released[callKey(core, string(v.GetStringBytes("id")))] {
			continue
		}
		out.WriteString(line)
	}
	return out.String()
}

// dropFinalReleases returns the unread messages of a caller, peer or exchange without one release for each call that
// stood until the end, and without M3UA BEATs.
func (l *ledger) dropFinalReleases(actor string, b []byte) []byte {
	var out []byte
	for len(b) > 0 {
		n := len(b)
		if actor[0] == 'p' || actor[0] == 'x' {
			if len(b) >= 8 {
				n = min(n, int(binary.BigEndian.Uint32(b[4:8])))
			}
			kind, cic := isup(b[:n])
			if k := callKey(actor, cic); kind == 0x0c && l.standing[k] {
				delete(l.standing, k)
			} else if !isBeat(b[:n]) {
				out = append(out, b[:n]...)
			}
		} else {
			if i := strings.Index(string(b), "\r\n\r\n"); i >= 0 && strings.HasPrefix(string(b), "BYE ") {
				n = i + len("\r\n\r\n") // a BYE has no body
			}
			if id := callID(b[:n]); strings.HasPrefix(string(b), "BYE ") && l.standing[id] {
				delete(l.standing, id)
			} else {
				out = append(out, b[:n]...)
			}
		}
		b = b[n:]
	}
	return out
}

// checkAnswers asserts that every call received its final answer, and none received more than one; the answer is
// optional for abandoned calls.
func (l *ledger) checkAnswers() {
	for k := range l.expected {
		if l.abandoned[k] {
			require.LessOrEqual(l.t, l.received[k], l.expected[k], "final answers to %s", k)
		} else {
			require.Equal(l.t, l.expected[k], l.received[k], "final answers to %s", k)
		}
	}
}

// callID returns the Call-ID of a SIP message.
func callID(b []byte) string {
	_, rest, _ := strings.Cut(string(b), "\r\nCall-ID: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// isup returns the type and circuit identification code (CIC) of the ISUP message in an M3UA DATA message, whose last
// parameter is the protocol data. It returns 0 and "" for other messages.
func isup(b []byte) (kind byte, cic string) {
	const routingContext, label = 8, 4 + 12
	if len(b) < 8+routingContext+label+3 || b[2] != 1 || b[3] != 1 {
		return 0, ""
	}
	message := b[8+routingContext+label:]
	return message[2], fmt.Sprint(binary.LittleEndian.Uint16(message))
}
