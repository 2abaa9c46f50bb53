package loopback

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Load describes the calls and the behavior of callers.
type Load struct {
	Rate         float64       // calls per second
	MaxRedials   int           // maximum further tries of a call
	IgnoreAdvice float64       // share of the callers that ignore retry advice
	Aim          time.Duration // calls answered within this are served in time; for the evaluation only
	Deadline     time.Duration // time after which callers abandon a call
	Seed         uint64
	To           []int // destination exchanges, in rotation; empty for exchange 1
}

// Call is the result of a call with all its tries.
type Call struct {
	FirstTryAt   time.Duration // first try, since the start of the load
	TimeToAnswer time.Duration // from the first try to the answer; 0 if never answered
	Tries        int
	AdvisedWaits []time.Duration // waits from the retry advice
	Unanswered   int             // tries without a final answer
}

// Callers runs the calls of a Load to an address, each try on its own connection.
type Callers struct {
	Load
	address      string
	startedAt    time.Time
	mu           sync.Mutex
	calls        []*Call
	lastKey      uint64
	nextExchange int // counts the tries; index into To
}

// Call starts calls until the context ends, and returns their results after the last one has been answered or
// abandoned.
func (l Load) Call(ctx context.Context, address string) []*Call {
	c := &Callers{Load: l, address: address, startedAt: time.Now(), lastKey: l.Seed << 32}
	rng := rand.New(rand.NewPCG(l.Seed, 11))
	var all sync.WaitGroup
	for at := c.startedAt; ctx.Err() == nil; {
		at = at.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(at)):
			callerRNG := rand.New(rand.NewPCG(rng.Uint64(), 12))
			all.Go(func() { c.runCall(callerRNG) })
		case <-ctx.Done():
		}
	}
	all.Wait()
	return c.calls
}

// runCall makes a call with its further tries and records the result.
func (c *Callers) runCall(rng *rand.Rand) {
	first, ignoresAdvice, number := time.Now(), rng.Float64() < c.IgnoreAdvice, rng.Uint64()|1
	k := &Call{FirstTryAt: first.Sub(c.startedAt)}
	for k.Tries <= c.MaxRedials {
		k.Tries++
		timeout := time.Duration((0.3 + 0.1*rng.Float64()) * float64(c.Deadline))
		stood, answered, retryAfter := c.try(number, k.Tries > 1, min(timeout, c.Deadline-time.Since(first)))
		if stood {
			k.TimeToAnswer = max(1, time.Since(first))
			break
		}
		if !answered {
			k.Unanswered++
		}
		if retryAfter > 0 {
			k.AdvisedWaits = append(k.AdvisedWaits, retryAfter)
		}
		wait := retryAfter
		if wait == 0 || ignoresAdvice {
			wait = 300*time.Millisecond + time.Duration(rng.Float64()*float64(900*time.Millisecond))
		}
		if time.Since(first)+wait >= c.Deadline {
			break
		}
		time.Sleep(wait)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, k)
}

// try makes one set-up. It reports whether the call stands, whether there was a final answer, and the wait from the
// retry advice, 0 without advice.
func (c *Callers) try(number uint64, resent bool, timeout time.Duration) (stood, answered bool,
	retryAfter time.Duration) {
	deadline := time.Now().Add(timeout)
	conn, err := net.DialTimeout("tcp", c.address, timeout)
	if err != nil {
		return false, false, 0
	}
	c.mu.Lock()
	c.lastKey++
	key, exchange := fmt.Sprintf("%016x", c.lastKey), 1
	if len(c.To) > 0 {
		exchange = c.To[c.nextExchange%len(c.To)]
		c.nextExchange++
	}
	c.mu.Unlock()
	resentHeader := ""
	if resent {
		resentHeader = "X-Resent: 1\r\n"
	}
	fmt.Fprintf(conn, "INVITE sip:%016x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nX-Tier: page\r\n"+
		"X-Deadline: %d\r\n%sX-Attrs: dest:%d;width:1;via:-1\r\nContent-Length: 0\r\n\r\n", number, key,
		timeout.Milliseconds(), resentHeader, exchange)
	r := textproto.NewReader(bufio.NewReader(conn))
	for conn.SetReadDeadline(deadline) == nil {
		m, err := read(r)
		if err != nil {
			break
		}
		if m.status == 0 { // release of a call whose own connection has ended; it may arrive on any connection
			m.confirmRelease(conn)
			continue
		}
		if m.status >= 200 && m.status < 300 {
			fmt.Fprintf(conn, "ACK sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n", key)
			go awaitRelease(conn, r, key)
			return true, true, 0
		}
		if m.status >= 300 {
			conn.Close()
			ms, _ := strconv.Atoi(m.header.Get("X-Cooldown")) // 0 if missing
			return false, true, time.Duration(ms) * time.Millisecond
		}
	}
	fmt.Fprintf(conn, "CANCEL sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n", key)
	conn.Close()
	return false, false, 0
}

// awaitRelease keeps the connection of a standing call open until the call is released, and confirms releases.
func awaitRelease(conn net.Conn, r *textproto.Reader, key string) {
	defer conn.Close()
	for conn.SetReadDeadline(time.Now().Add(10*holdTime)) == nil {
		m, err := read(r)
		if err != nil {
			return
		}
		if m.confirmRelease(conn); m.status == 0 && m.header.Get("Call-Id") == key {
			return
		}
	}
}

// message is a SIP response, or a request if its status is 0.
type message struct {
	status int
	header textproto.MIMEHeader
}

// confirmRelease answers a request, which is a BYE, with 200 OK. It ignores responses.
func (m message) confirmRelease(conn net.Conn) {
	if m.status == 0 {
		fmt.Fprintf(conn, "SIP/2.0 200 OK\r\nVia: %s\r\nCall-ID: %s\r\nCSeq: %s\r\nContent-Length: 0\r\n\r\n", m.header.Get("Via"),
			m.header.Get("Call-Id"), m.header.Get("Cseq"))
	}
}

// read reads one message and discards its body.
func read(r *textproto.Reader) (message, error) {
	line, err := r.ReadLine()
	if err != nil {
		return message{}, err
	}
	m := message{}
	if m.header, err = r.ReadMIMEHeader(); err != nil {
		return m, err
	}
	n, _ := strconv.Atoi(m.header.Get("Content-Length")) // 0 if missing: no body
	if _, err := r.R.Discard(n); err != nil {
		return m, err
	}
	if rest, ok := strings.CutPrefix(line, "SIP/2.0 "); ok {
		code, _, _ := strings.Cut(rest, " ")
		if m.status, err = strconv.Atoi(code); err != nil {
			return m, fmt.Errorf("loopback: status line %q", line)
		}
	}
	return m, nil
}
