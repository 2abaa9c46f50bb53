package directory

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	answerMost  = 8 << 10
	logInterval = 5 * time.Second
	slowAnswer  = time.Second // an answer that takes longer is logged
)

// Fault is what is wrong with a call to the name service.
type Fault string

// The faults of a call.
const (
	FaultSilent     Fault = "silent"      // no answer in time
	FaultRefused    Fault = "refused"     // nothing listens at the address
	FaultUnreadable Fault = "unreadable"  // the answer can't be used, or reports a failure
	FaultNoQuery    Fault = "no_query"    // the answer is to no query of ours
	FaultUnsent     Fault = "unsent"      // the query could not be written
	FaultSlow       Fault = "slow_answer" // it counts, but came late
)

// Service follows the name service: it asks for the whole list every so often and hands each newer one on. An answer
// counts by its serial, however late it comes. Use NewService, then Run; Move may be called from any goroutine.
type Service struct {
	reader Reader
	log    *slog.Logger
	told   func(List)
	kick   chan struct{} // the schedule has changed

	mu       sync.Mutex
	conn     net.Conn // to the present address
	schedule *schedule
	serial   uint32
	logged   map[Fault]time.Time
}

// NewService returns a Service that has a list of this number and asks at server. told gets each newer one,
// one at a time.
func NewService(r Reader, server string, serial uint32, log *slog.Logger, told func(List)) (*Service, error) {
	conn, err := Dial(server)
	if err != nil {
		return nil, err
	}
	return &Service{serial: serial, log: log, told: told, conn: conn, reader: r, kick: make(chan struct{}, 1),
		schedule: newSchedule(), logged: map[Fault]time.Time{}}, nil
}

// Check tells whether a name service can be asked at an address.
func Check(server string) error {
	if _, err := netip.ParseAddrPort(server); err != nil {
		return fmt.Errorf("directory: name service: %w", err)
	}
	return nil
}

// Dial opens the way to a name service.
func Dial(server string) (net.Conn, error) {
	conn, err := net.Dial("udp", server)
	if err != nil {
		return nil, fmt.Errorf("directory: %w", err)
	}
	return conn, nil
}

// Move asks another address from now on, and reads its answers with another reader. The list in hand and its
// number stay. What the old address may still answer no longer counts: whoever has taken its place is not the name
// service.
func (s *Service) Move(conn net.Conn, r Reader) {
	s.mu.Lock()
	old := s.conn
	s.conn, s.reader = conn, r
	s.schedule.restart()
	s.mu.Unlock()
	old.Close() // wakes Run, which reads from the new one
	s.wake()
}

// wake has the schedule looked at.
func (s *Service) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Take hands a list on if it is newer than the one in hand, and tells whether it was.
func (s *Service) Take(l List) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Serial <= s.serial { // answers overtake each other, and a service may bring an old list
		return false
	}
	s.serial = l.Serial
	s.told(l)
	s.log.Info("list", "serial", l.Serial, "cores", len(l.Entries))
	return true
}

// Run asks until the context ends.
func (s *Service) Run(ctx context.Context) error {
	go s.ask(ctx)
	defer context.AfterFunc(ctx, func() { s.present().Close() })()
	buf := make([]byte, answerMost+1)
	for {
		conn := s.present()
		n, err := conn.Read(buf)
		switch {
		case ctx.Err() != nil:
			s.present().Close()
			return nil
		case errors.Is(err, net.ErrClosed) && conn != s.present(): // moved
		case err != nil:
			s.refused(err)
			select { // the service is down for the moment
			case <-time.After(queryInterval):
			case <-ctx.Done():
			}
		default:
			s.answered(conn, buf[:n])
		}
	}
}

// present is the connection to the present address.
func (s *Service) present() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// clock is the present time on the schedule's clock.
func (s *Service) clock() time.Duration { return time.Since(s.reader.Origin) }

// random is a number from -1 to 1.
func random() float64 { return 2*rand.Float64() - 1 }

// refused notes that nothing listens at the address. Queries that wait there are lost.
func (s *Service) refused(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule.refused(random())
	s.complain(FaultRefused, err)
}

// answered reads an answer. One that can't be used, or is to no query of ours, leaves the list as it is.
func (s *Service) answered(from net.Conn, packet []byte) {
	s.mu.Lock()
	reader := s.reader
	s.mu.Unlock()
	id, list, err := reader.Answer(packet)
	if s.note(from, id, err) {
		s.Take(list)
	}
	s.wake()
}

// note has the schedule follow an answer, and tells whether its list counts.
func (s *Service) note(from net.Conn, id uint16, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from != s.conn {
		return false
	}
	if err != nil {
		s.schedule.rejected(id, random())
		s.complain(FaultUnreadable, err)
		return false
	}
	delay, ours := s.schedule.answered(id, s.clock())
	if !ours {
		s.complain(FaultNoQuery, fmt.Errorf("answer under number %d", id))
	} else if delay > slowAnswer {
		s.complain(FaultSlow, fmt.Errorf("answer after %v", delay.Round(time.Millisecond)))
	}
	return ours
}

// complain logs what is wrong with the name service, each fault now and then. The lock is held.
func (s *Service) complain(fault Fault, err error) {
	if time.Since(s.logged[fault]) > logInterval {
		s.log.Warn("discovery_fault", "reason", string(fault), "failures", s.schedule.failures, "interval", s.schedule.interval(),
			"delay", s.schedule.delay, "serial", s.serial, "error", err)
		s.logged[fault] = time.Now()
	}
}

// ask sends queries as the schedule has it.
func (s *Service) ask(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.kick:
		case <-ctx.Done():
			return
		}
		timer.Reset(s.step())
	}
}

// step sends a query if one is due, and returns the time to the next look.
func (s *Service) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if lost := s.schedule.tick(now, random()); lost > 0 {
		s.complain(FaultSilent, fmt.Errorf("%d queries without an answer", lost))
	}
	if s.schedule.due(now) {
		s.send(now)
	}
	return max(time.Millisecond, s.schedule.next(now)-now)
}

// send writes a query. UDP does not block. The lock is held.
func (s *Service) send(now time.Duration) {
	id := uint16(rand.Uint32())
	for s.schedule.uses(id) {
		id++
	}
	packet, err := encodeQuery(id)
	if err != nil {
		s.schedule.failed(random())
		s.complain(FaultUnsent, err)
		return
	}
	s.schedule.sent(id, now)
	if _, err := s.conn.Write(packet); err != nil && !errors.Is(err, net.ErrClosed) {
		s.schedule.rejected(id, random())
		s.complain(FaultUnsent, err)
	}
}
