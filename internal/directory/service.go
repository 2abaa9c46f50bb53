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
	maxAnswerSize = 8 << 10         // bytes
	logInterval   = 5 * time.Second // minimum time between two log entries of a fault
	slowAnswer    = time.Second     // an answer that takes longer is logged
)

// Fault is a kind of failed exchange with the name service. The values appear as reasons in the log.
type Fault string

// Faults of the exchange with the name service.
const (
	FaultTimeout      Fault = "silent"      // no answer within the timeout
	FaultRefused      Fault = "refused"     // nothing listens at the address
	FaultInvalid      Fault = "unreadable"  // the answer cannot be used, or reports a failure
	FaultUnknownQuery Fault = "no_query"    // the answer matches no stored query
	FaultSendFailed   Fault = "unsent"      // the query could not be encoded or sent
	FaultSlow         Fault = "slow_answer" // the answer was accepted but late
)

// Service polls the name service for the complete list and passes on each newer one. Whether an answer is newer is
// decided by its serial number, however late it arrives. Use NewService, then Run; Move may be called from any
// goroutine.
type Service struct {
	reader Reader
	log    *slog.Logger
	onList func(List)
	wakeUp chan struct{} // signals a change of the schedule

	mu         sync.Mutex
	conn       net.Conn // to the current address
	schedule   *schedule
	serial     uint32
	lastLogged map[Fault]time.Time
}

// NewService returns a Service that queries server and starts with a list of the given serial number. It calls onList
// with each newer list, one call at a time and with the lock of the Service held.
func NewService(r Reader, server string, serial uint32, log *slog.Logger, onList func(List)) (*Service, error) {
	conn, err := Dial(server)
	if err != nil {
		return nil, err
	}
	return &Service{serial: serial, log: log, onList: onList, conn: conn, reader: r, wakeUp: make(chan struct{}, 1),
		schedule: newSchedule(), lastLogged: map[Fault]time.Time{}}, nil
}

// Check returns an error if server is not a valid host:port address of a name service; the host must be an IP address.
func Check(server string) error {
	if _, err := netip.ParseAddrPort(server); err != nil {
		return fmt.Errorf("directory: name service: %w", err)
	}
	return nil
}

// Dial opens a UDP socket to a name service.
func Dial(server string) (net.Conn, error) {
	conn, err := net.Dial("udp", server)
	if err != nil {
		return nil, fmt.Errorf("directory: %w", err)
	}
	return conn, nil
}

// Move switches to another address and to another reader for its answers. The current list and its serial number are
// kept. Later answers from the old address are ignored, because whatever may listen there now is not the name service.
// Move takes ownership of conn.
func (s *Service) Move(conn net.Conn, r Reader) {
	s.mu.Lock()
	old := s.conn
	s.conn, s.reader = conn, r
	s.schedule.reset()
	s.mu.Unlock()
	old.Close() // unblocks Run, which then reads from the new connection
	s.wake()
}

// wake makes runQueries reevaluate the schedule. It does not block.
func (s *Service) wake() {
	select {
	case s.wakeUp <- struct{}{}:
	default:
	}
}

// Update passes a list on if its serial number is greater than that of the current list, and reports whether it was.
func (s *Service) Update(l List) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Serial <= s.serial { // answers may arrive out of order, and a service may send an old list
		return false
	}
	s.serial = l.Serial
	s.onList(l)
	s.log.Info("list", "serial", l.Serial, "cores", len(l.Entries))
	return true
}

// Run sends queries and reads answers until the context ends, and closes the connection. It always returns nil.
func (s *Service) Run(ctx context.Context) error {
	go s.runQueries(ctx)
	defer context.AfterFunc(ctx, func() { s.currentConn().Close() })()
	buf := make([]byte, maxAnswerSize+1)
	for {
		conn := s.currentConn()
		n, err := conn.Read(buf)
		switch {
		case ctx.Err() != nil:
			s.currentConn().Close()
			return nil
		case errors.Is(err, net.ErrClosed) && conn != s.currentConn(): // Move replaced the connection
		case err != nil:
			s.refused(err)
			select { // delays the retry while the service is down
			case <-time.After(queryInterval):
			case <-ctx.Done():
			}
		default:
			s.handleAnswer(conn, buf[:n])
		}
	}
}

// currentConn returns the connection to the current address.
func (s *Service) currentConn() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// clock returns the current time on the schedule's clock. The caller holds the lock.
func (s *Service) clock() time.Duration { return time.Since(s.reader.Origin) }

// random returns a random number from -1 to 1.
func random() float64 { return 2*rand.Float64() - 1 }

// refused records a read error, which is taken to mean that nothing listens at the address. Outstanding queries are
// lost.
func (s *Service) refused(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule.refused(random())
	s.logFault(FaultRefused, err)
}

// handleAnswer processes an answer. One that cannot be used or that matches no stored query leaves the list unchanged.
func (s *Service) handleAnswer(from net.Conn, packet []byte) {
	s.mu.Lock()
	reader := s.reader
	s.mu.Unlock()
	id, list, err := reader.ParseAnswer(packet)
	if s.recordAnswer(from, id, err) {
		s.Update(list)
	}
	s.wake()
}

// recordAnswer updates the schedule with an answer and reports whether its list is accepted.
func (s *Service) recordAnswer(from net.Conn, id uint16, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from != s.conn {
		return false
	}
	if err != nil {
		s.schedule.rejected(id, random())
		s.logFault(FaultInvalid, err)
		return false
	}
	delay, known := s.schedule.answered(id, s.clock())
	if !known {
		s.logFault(FaultUnknownQuery, fmt.Errorf("answer with unknown query ID %d", id))
	} else if delay > slowAnswer {
		s.logFault(FaultSlow, fmt.Errorf("answer after %v", delay.Round(time.Millisecond)))
	}
	return known
}

// logFault logs a fault of the name service, at most once per logInterval and kind. The caller holds the lock.
func (s *Service) logFault(fault Fault, err error) {
	if time.Since(s.lastLogged[fault]) > logInterval {
		s.log.Warn("discovery_fault", "reason", string(fault), "failures", s.schedule.failures, "interval", s.schedule.interval(),
			"delay", s.schedule.delay, "serial", s.serial, "error", err)
		s.lastLogged[fault] = time.Now()
	}
}

// runQueries sends queries according to the schedule until the context ends.
func (s *Service) runQueries(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.wakeUp:
		case <-ctx.Done():
			return
		}
		timer.Reset(s.sendIfDue())
	}
}

// sendIfDue sends a query if one is due, and returns the time until the schedule has to be checked again.
func (s *Service) sendIfDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if lost := s.schedule.tick(now, random()); lost > 0 {
		s.logFault(FaultTimeout, fmt.Errorf("%d queries without an answer", lost))
	}
	if s.schedule.due(now) {
		s.sendQuery(now)
	}
	return max(time.Millisecond, s.schedule.nextDue(now)-now)
}

// sendQuery sends a query. Writing to the UDP socket does not block. The caller holds the lock.
func (s *Service) sendQuery(now time.Duration) {
	id := uint16(rand.Uint32())
	for s.schedule.inUse(id) {
		id++
	}
	packet, err := encodeQuery(id)
	if err != nil {
		s.schedule.failed(random())
		s.logFault(FaultSendFailed, err)
		return
	}
	s.schedule.sent(id, now)
	if _, err := s.conn.Write(packet); err != nil && !errors.Is(err, net.ErrClosed) {
		s.schedule.rejected(id, random())
		s.logFault(FaultSendFailed, err)
	}
}
