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
	askEvery   = 200 * time.Millisecond
	answerLast = 3 * time.Second // an answer that comes later than this is to no question of ours
	answerMost = 8 << 10
	logEvery   = 5 * time.Second
)

// Service follows the name service: it asks for the whole list every so often and hands each newer one on.
// Use NewService, then Run; Move may be called from any goroutine.
type Service struct {
	reader Reader
	log    *slog.Logger
	told   func(List)

	mu     sync.Mutex
	conn   net.Conn             // to the present address
	asked  map[uint16]time.Time // questions that may still be answered, by id
	serial uint32
	logged time.Time
}

// NewService returns a Service that has a list of this number and asks at server. told gets each newer one,
// one at a time.
func NewService(r Reader, server string, serial uint32, log *slog.Logger, told func(List)) (*Service, error) {
	s := &Service{serial: serial, log: log, told: told}
	conn, err := Dial(server)
	if err != nil {
		return nil, err
	}
	s.Move(conn, r)
	return s, nil
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
	s.conn, s.reader, s.asked = conn, r, map[uint16]time.Time{}
	s.mu.Unlock()
	if old != nil {
		old.Close() // wakes Run, which reads from the new one
	}
	s.ask()
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
	go s.repeat(ctx)
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
			s.complain(err)
			select { // refused: the service is down for the moment
			case <-time.After(askEvery):
			case <-ctx.Done():
			}
		default:
			s.answered(buf[:n])
		}
	}
}

// present is the connection to the present address.
func (s *Service) present() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// answered reads an answer. One that can't be used, or is to no question of ours, leaves the list as it is;
// the next question is out soon.
func (s *Service) answered(packet []byte) {
	s.mu.Lock()
	reader := s.reader
	s.mu.Unlock()
	id, l, err := reader.Answer(packet)
	s.mu.Lock()
	at, ok := s.asked[id]
	delete(s.asked, id)
	s.mu.Unlock()
	if err == nil && (!ok || time.Since(at) > answerLast) {
		err = fmt.Errorf("directory: answer with id %d is to no open question", id)
	}
	if err != nil {
		s.complain(err)
		return
	}
	s.Take(l)
}

// complain logs what is wrong with the name service, now and then.
func (s *Service) complain(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.logged) > logEvery {
		s.log.Warn("name service", "error", err)
		s.logged = time.Now()
	}
}

// repeat sends a question every so often.
func (s *Service) repeat(ctx context.Context) {
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.ask()
		case <-ctx.Done():
			return
		}
	}
}

// ask sends a question and forgets those that are too old to be answered.
func (s *Service) ask() {
	number := uint16(rand.Uint32())
	q, err := query(number)
	if err != nil {
		s.complain(err)
		return
	}
	s.mu.Lock()
	for id, at := range s.asked {
		if time.Since(at) > answerLast {
			delete(s.asked, id)
		}
	}
	s.asked[number] = time.Now()
	conn := s.conn
	s.mu.Unlock()
	_, _ = conn.Write(q) // a lost question is asked again at the next tick
}
