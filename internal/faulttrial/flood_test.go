package faulttrial

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	steadyRate     = 20              // set-ups a second of the client beside a flood
	steadyDeadline = 3 * time.Second // until which each of them needs its final answer
)

// steadyClient sets up calls at a steady rate on a connection of its own and measures when their final answers arrive.
type steadyClient struct {
	conn   net.Conn
	prefix string

	mu        sync.Mutex
	sentAt    map[string]time.Time
	durations []time.Duration
	done      chan struct{}
}

// newSteadyClient returns a client on a connection; its calls have ids with a prefix of one digit.
func newSteadyClient(conn net.Conn, prefix string) *steadyClient {
	return &steadyClient{conn: conn, prefix: prefix, sentAt: map[string]time.Time{}, done: make(chan struct{})}
}

// run sends set-ups for a duration, and reads answers until the last deadline has passed.
func (s *steadyClient) run(d time.Duration) {
	go s.readAnswers()
	start := time.Now()
	for i := 0; time.Since(start) < d; i++ {
		id := fmt.Sprintf("%s%015x", s.prefix, i)
		s.mu.Lock()
		s.sentAt[id] = time.Now()
		s.mu.Unlock()
		message := strings.Replace(invite(id, "page", "", ""), "X-Deadline: 2000", "X-Deadline: 3000", 1)
		if _, err := io.WriteString(s.conn, message); err != nil {
			break
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / steadyRate)))
	}
	time.Sleep(steadyDeadline)
	s.conn.Close()
	<-s.done
}

// readAnswers records the time of each set-up's final answer until the connection ends.
func (s *steadyClient) readAnswers() {
	defer close(s.done)
	r := textproto.NewReader(bufio.NewReader(s.conn))
	for {
		m, err := readSIP(r)
		if err != nil {
			return
		}
		s.mu.Lock()
		if sentAt, open := s.sentAt[m.header.Get("Call-Id")]; open && m.status >= 200 && time.Since(sentAt) <= steadyDeadline {
			s.durations = append(s.durations, time.Since(sentAt))
			delete(s.sentAt, m.header.Get("Call-Id"))
		}
		s.mu.Unlock()
	}
}

// result returns the number of set-ups without a final answer by their deadline, and the quantiles of the time to the others' answers.
func (s *steadyClient) result() (unanswered int, p50, p99 time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.durations)
	if n := len(s.durations); n > 0 {
		p50, p99 = s.durations[n/2], s.durations[n*99/100]
	}
	return len(s.sentAt), p50, p99
}

// TestFloodOfSetUpsLeavesOthersServed guards against set-ups that are answered late or never: other clients send set-ups as
// fast as their connections take them.
func TestFloodOfSetUpsLeavesOthersServed(t *testing.T) {
	for _, connections := range []int{1, 4, crowdSize} {
		for _, size := range []int{300, maxHeadSize} {
			for _, reading := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d connections, %d bytes, reading %v", connections, size, reading), func(t *testing.T) {
					l := newTestLab(t, func(c *LabConfig) {
						c.Cores, c.Circuits = 1, 1e6
						c.Settings.Classes[0].Deadline = steadyDeadline
						c.Core = CoreBehaviour{Hold: 300 * time.Millisecond}
					})
					client := newSteadyClient(dialController(t, l), "a")
					stop := time.Now().Add(floodLength)
					for i := range connections {
						go floodSetUps(l.Controller(0).Address(), i, size, reading, stop)
					}
					client.run(floodLength)
					l.Controller(0).RecordUsage()
					unanswered, p50, p99 := client.result()
					t.Logf("unanswered %d of %d, p50 %v, p99 %v", unanswered, unanswered+len(client.durations), p50, p99)
					require.Zero(t, unanswered)
					require.Less(t, p99, l.Settings.Classes[0].Aim)
				})
			}
		}
	}
}

// floodSetUps sends set-ups as fast as the connection takes them, and opens another one when the controller closes it.
func floodSetUps(address string, client, size int, reading bool, stop time.Time) {
	body := strings.Repeat("x", size-min(size, 200))
	for i := 0; time.Now().Before(stop); {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		if reading {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
		_ = conn.SetWriteDeadline(stop)
		for err == nil && time.Now().Before(stop) {
			_, err = io.WriteString(conn, invite(fmt.Sprintf("f%03x%012x", client, i), "page", "", body))
			i++
		}
		conn.Close()
	}
}
