package sipfront

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux/internal/core"
	"brookmux/internal/lifecycle"
)

const (
	inviteFormat = "INVITE sip:aa@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nX-Tier: %s\r\nX-Deadline: 3000\r\n" +
		"X-Attrs: dest:1;width:1;via:-1\r\nContent-Length: 0\r\n\r\n"
	requestFormat = "%s sip:aa@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 %[1]s\r\nContent-Length: 0\r\n\r\n"
)

// recordingEngine records the set-ups that are offered and lost. It knows no other calls.
type recordingEngine struct {
	stubEngine
	offered []core.Request
	lost    []string
}

func (e *recordingEngine) Offer(r core.Request) { e.offered = append(e.offered, r) }
func (e *recordingEngine) CallerLost(_ core.Caller, keys []string) {
	e.lost = append(e.lost, keys...)
}
func (e *recordingEngine) Hangup(_ core.Caller, _ string, _ core.Cause, done func(bool)) { done(false) }
func (e *recordingEngine) Withdraw(_ core.Caller, _ string, done func(bool, bool)) {
	done(false, false)
}

// peer is the caller's end of a connection. It records the start lines of the messages.
type peer struct {
	net.Conn
	startLines []string
	ended      bool
}

// count returns the number of messages with a method or status.
func (p *peer) count(what string) (n int) {
	synctest.Wait()
	for _, line := range p.startLines {
		if strings.Contains(line, what) {
			n++
		}
	}
	return n
}

// newReadyFront returns a front that is ready, and its engine.
func newReadyFront(t *testing.T) (*Front, *recordingEngine) {
	phase := &lifecycle.Lifecycle{}
	require.NoError(t, phase.Advance(lifecycle.Ready))
	e := &recordingEngine{}
	return New(e, phase, 10, slog.New(slog.NewTextHandler(io.Discard, nil))), e
}

// connectTo connects a caller to a front.
func connectTo(t *testing.T, f *Front) *peer {
	near, far := net.Pipe()
	f.addConn(halfCloser{near})
	p := &peer{Conn: far}
	go func() {
		s := bufio.NewScanner(far)
		for s.Scan() {
			if strings.HasPrefix(s.Text(), "SIP/2.0 ") || strings.HasSuffix(s.Text(), " SIP/2.0") {
				p.startLines = append(p.startLines, s.Text())
			}
		}
		p.ended = true
	}()
	t.Cleanup(func() { far.Close(); near.Close() })
	return p
}

// connect returns the engine of a front with one connected caller, which has one set-up open.
func connect(t *testing.T) (*recordingEngine, *peer) {
	f, e := newReadyFront(t)
	p := connectTo(t, f)
	fmt.Fprintf(p, inviteFormat, "00000000000000a1", "page")
	synctest.Wait()
	require.Len(t, e.offered, 1)
	return e, p
}

// TestCallsOfEarlierProcess guards against a connection that ends, with its open set-ups, because callers release or
// cancel calls of an earlier process.
func TestCallsOfEarlierProcess(t *testing.T) {
	for _, method := range []string{"BYE", "CANCEL"} {
		synctest.Test(t, func(t *testing.T) {
			e, p := connect(t)
			for i := range 3 * maxFaults {
				fmt.Fprintf(p, requestFormat, method, i)
			}
			require.Equal(t, 3*maxFaults, p.count("481"), method)
			e.offered[0].Caller.Answered(e.offered[0].Key, nil)
			require.Equal(t, 1, p.count("200"), method)
			time.Sleep(idleTimeout / 2)
			synctest.Wait()
			require.False(t, p.ended, method)
			p.Close()
		})
	}
}

// TestOpenSetUpsAreAnswered guards against set-ups without an answer: this side ends a connection for messages that it
// rejects or can't read, while a set-up is open on it. The set-up must be answered before.
func TestOpenSetUpsAreAnswered(t *testing.T) {
	tests := []struct {
		name, text string
		repeat     int
		wait       time.Duration // until this side stops reading
	}{
		{"faulty messages", fmt.Sprintf(requestFormat, "REFER", 7), 2 * maxFaults, 0},
		{"reused id", fmt.Sprintf(inviteFormat, "00000000000000b2", "page") + fmt.Sprintf(inviteFormat, "00000000000000b2", "voice"), 1, 0},
		{"unreadable message", "NOTHING THAT CAN BE READ\r\n\r\n", 1, 0},
		{"incomplete message", "INVITE sip:aa@net SIP/2.0\r\n", 1, messageTimeout},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			e, p := connect(t)
			for range test.repeat {
				fmt.Fprint(p, test.text)
			}
			time.Sleep(test.wait)
			synctest.Wait()
			require.False(t, p.ended, test.name)
			require.NotContains(t, e.lost, e.offered[0].Key, test.name)
			time.Sleep(400 * time.Millisecond)
			e.offered[0].Caller.Refuse(e.offered[0].Key, core.Verdict{})
			synctest.Wait() // for the writer and the caller's reader; no time passes
			require.Equal(t, 1, p.count("503"), test.name)
			fmt.Fprintf(p, requestFormat, "REFER", 8)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			require.True(t, p.ended, test.name)
		})
	}
}

// TestCallerGoneAfterUnreadableMessage guards against a wait for answers that outlives the caller's connection.
func TestCallerGoneAfterUnreadableMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, p := connect(t)
		fmt.Fprint(p, "NOTHING THAT CAN BE READ\r\n\r\n")
		p.Close()
		time.Sleep(2 * discardInterval)
		synctest.Wait()
		require.Equal(t, []string{e.offered[0].Key}, e.lost)
	})
}
