package faulttrial

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

const (
	serviceName      = "_app._tcp.cluster.lan."
	maxQueryAge      = 4 * time.Second // in mode Crowded, a query that has waited longer is dropped
	maxQueuedQueries = 256
)

// MemberState is the state of a core in the membership list.
type MemberState string

// The states of a core. Gone removes it from the list.
const (
	Ready    MemberState = "ready"
	Draining MemberState = "draining"
	Gone     MemberState = "gone"
)

// Member is an entry of the membership list.
type Member struct {
	ID        string
	Number    int
	State     MemberState
	Addresses map[string]string // by controller
	Started   time.Time         // zero: started long before the trial
}

// DiscoveryMode is a mode of operation of discovery: normal or one of its faults.
type DiscoveryMode string

// The modes of discovery.
const (
	Prompt  DiscoveryMode = "prompt"  // queries are answered at once
	Silent  DiscoveryMode = "silent"  // queries are not answered
	Refused DiscoveryMode = "refused" // the port is closed
	Slow    DiscoveryMode = "slow"    // each answer is sent after the delay given to SetMode
	Crowded DiscoveryMode = "crowded" // all controllers' queries share a queue; each takes the delay given to SetMode
	Failing DiscoveryMode = "failing" // answers have the response code SERVFAIL
	Short   DiscoveryMode = "short"   // answers are truncated to half their length
	WrongID DiscoveryMode = "wrong"   // answers have a wrong message id
	Older   DiscoveryMode = "older"   // answers have the list before its last change
	Lossy   DiscoveryMode = "lossy"   // every other query is not answered
)

// Discovery is a stand-in for the discovery service: a DNS server over UDP with a separate address for each controller.
// Create it with NewDiscovery. Its methods are safe for concurrent use.
type Discovery struct {
	record *Recorder
	host   string

	mu         sync.Mutex
	serial     uint32
	members    map[string]Member
	previous   map[string]Member // the members before the last change
	mode       DiscoveryMode
	delay      time.Duration
	sockets    map[string]net.PacketConn
	queue      chan query
	queryCount int
	closed     bool
}

// query is a received DNS query.
type query struct {
	controller string
	id         [2]byte
	client     net.Addr
	socket     net.PacketConn
	receivedAt time.Time
}

// NewDiscovery starts a Discovery that serves the controllers at free ports of the host. Its list has serial 1.
func NewDiscovery(host string, controllers []string, members []Member, record *Recorder) (*Discovery, error) {
	d := &Discovery{host: host, record: record, serial: 1, members: map[string]Member{}, mode: Prompt, sockets: map[string]net.PacketConn{},
		queue: make(chan query, maxQueuedQueries)}
	for _, m := range members {
		d.members[m.ID] = m
	}
	d.previous = d.copyMembers()
	for _, name := range controllers {
		if err := d.listen(name, net.JoinHostPort(host, "0")); err != nil {
			d.Close()
			return nil, err
		}
	}
	go d.serveQueue()
	return d, nil
}

// listen opens the socket of a controller and serves it.
func (d *Discovery) listen(controller, address string) error {
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return fmt.Errorf("faulttrial: discovery: %w", err)
	}
	d.mu.Lock()
	d.sockets[controller] = socket
	d.mu.Unlock()
	go d.serve(controller, socket)
	return nil
}

// Address returns the address that a controller queries.
func (d *Discovery) Address(controller string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sockets[controller].LocalAddr().String()
}

// Move changes the address for a controller and closes the former one. In mode Refused it does nothing.
func (d *Discovery) Move(controller string) error {
	d.mu.Lock()
	old, refused := d.sockets[controller], d.mode == Refused
	d.mu.Unlock()
	if refused {
		return nil // no address is open
	}
	if err := d.listen(controller, net.JoinHostPort(d.host, "0")); err != nil {
		return err
	}
	return old.Close()
}

// QueryCount returns the number of queries received.
func (d *Discovery) QueryCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queryCount
}

// Serial returns the serial of the list, which each change increments.
func (d *Discovery) Serial() uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serial
}

// Set adds or replaces an entry of the list, or removes it if its state is Gone. A zero start time leaves that of a
// listed member as it is.
func (d *Discovery) Set(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.previous = d.copyMembers()
	if current, listed := d.members[m.ID]; listed && m.Started.IsZero() {
		m.Started = current.Started
	}
	if m.State == Gone {
		delete(d.members, m.ID)
	} else {
		d.members[m.ID] = m
	}
	d.serial++
	e := Event{Kind: DiscoverySet, Core: m.ID, Serial: d.serial, Text: string(m.State)}
	if !m.Started.IsZero() {
		e.Started = d.record.Since(m.Started)
	}
	d.record.Add(e)
}

// copyMembers returns a copy of the list. The caller holds d.mu, unless d is not shared yet.
func (d *Discovery) copyMembers() map[string]Member {
	out := map[string]Member{}
	for id, m := range d.members {
		out[id] = m
	}
	return out
}

// SetMode changes the mode, and the delay that Slow and Crowded use. Refused closes the sockets; leaving it opens them
// again at the same addresses.
func (d *Discovery) SetMode(mode DiscoveryMode, delay time.Duration) error {
	d.mu.Lock()
	previous := d.mode
	d.mode, d.delay = mode, delay
	addresses := map[string]string{}
	for name, socket := range d.sockets {
		addresses[name] = socket.LocalAddr().String()
		if mode == Refused && previous != Refused {
			socket.Close()
		}
	}
	d.record.Add(Event{Kind: DiscoveryFault, Text: fmt.Sprintf("%s %v", mode, delay)})
	d.mu.Unlock()
	if previous == Refused && mode != Refused {
		for name, address := range addresses {
			if err := d.listen(name, address); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close closes the sockets. It may be called more than once.
func (d *Discovery) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	for _, socket := range d.sockets {
		socket.Close()
	}
	close(d.queue)
}

// serve answers the queries of a controller, as the mode says, until the socket is closed.
func (d *Discovery) serve(controller string, socket net.PacketConn) {
	buf := make([]byte, 512)
	for {
		n, from, err := socket.ReadFrom(buf)
		if err != nil {
			return
		}
		if n < 2 {
			continue
		}
		d.mu.Lock()
		d.queryCount++
		mode, delay, queryCount, closed := d.mode, d.delay, d.queryCount, d.closed
		q := query{controller, [2]byte(buf[:2]), from, socket, time.Now()}
		if mode == Crowded && !closed {
			select {
			case d.queue <- q:
			default: // the queue is full: dropped
			}
		}
		d.mu.Unlock()
		switch {
		case mode == Silent, mode == Crowded, mode == Lossy && queryCount%2 == 0:
		case mode == Slow:
			time.AfterFunc(delay, func() { d.answer(q, mode) })
		default:
			d.answer(q, mode)
		}
	}
}

// serveQueue answers the queries of mode Crowded one after another.
func (d *Discovery) serveQueue() {
	for q := range d.queue {
		d.mu.Lock()
		delay := d.delay
		d.mu.Unlock()
		if time.Since(q.receivedAt) > maxQueryAge {
			continue
		}
		time.Sleep(delay)
		d.answer(q, Prompt)
	}
}

// answer sends the answer to a query. Only answers that a controller can use are recorded.
func (d *Discovery) answer(q query, mode DiscoveryMode) {
	d.mu.Lock()
	serial, members := d.serial, d.members
	if mode == Older {
		serial, members = d.serial-1, d.previous
	}
	packet, err := buildAnswer(q.controller, serial, members, mode)
	d.mu.Unlock()
	if err != nil {
		panic(err) // the list is built by this package
	}
	copy(packet, q.id[:])
	if mode == WrongID {
		packet[0] ^= 0x55
	}
	if mode == Short {
		packet = packet[:len(packet)/2]
	}
	correct := mode == Prompt || mode == Slow || mode == Lossy
	if correct {
		d.record.Add(Event{Kind: DiscoverySent, Controller: q.controller, Serial: serial, Asked: d.record.Since(q.receivedAt)})
	}
	_, _ = q.socket.WriteTo(packet, q.client) // the controller may have ended
}

// buildAnswer returns a DNS answer with the whole list: SRV, A and TXT records with the addresses for the controller,
// and the serial in an SOA record.
func buildAnswer(controller string, serial uint32, members map[string]Member, mode DiscoveryMode) ([]byte, error) {
	class, service := dnsmessage.ClassINET, dnsmessage.MustNewName(serviceName)
	message := dnsmessage.Message{Header: dnsmessage.Header{Response: true, Authoritative: true}}
	if mode == Failing {
		message.RCode = dnsmessage.RCodeServerFailure
	}
	message.Questions = []dnsmessage.Question{{Name: service, Type: dnsmessage.TypeSRV, Class: class}}
	message.Authorities = []dnsmessage.Resource{{Header: dnsmessage.ResourceHeader{Name: service, Class: class},
		Body: &dnsmessage.SOAResource{NS: service, MBox: service, Serial: serial}}}
	for _, member := range members {
		host, port, err := net.SplitHostPort(member.Addresses[controller])
		if err != nil {
			return nil, fmt.Errorf("faulttrial: address of %s: %w", member.ID, err)
		}
		portNumber, err := strconv.ParseUint(port, 10, 16)
		if err != nil {
			return nil, fmt.Errorf("faulttrial: address of %s: %w", member.ID, err)
		}
		name := dnsmessage.MustNewName(member.ID + ".east.hosts.")
		priority, started := uint16(0), int64(0)
		if member.State == Draining {
			priority = 1
		}
		if !member.Started.IsZero() {
			started = member.Started.UnixMilli()
		}
		message.Answers = append(message.Answers, dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: service, Class: class},
			Body: &dnsmessage.SRVResource{Priority: priority, Weight: 10, Port: uint16(portNumber), Target: name}})
		message.Additionals = append(message.Additionals,
			dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: name, Class: class},
				Body: &dnsmessage.AResource{A: [4]byte(net.ParseIP(host).To4())}},
			dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: name, Class: class},
				Body: &dnsmessage.TXTResource{TXT: []string{"kind=std", fmt.Sprintf("cell=%d", member.Number), fmt.Sprintf("started=%d", started)}}})
	}
	return message.Pack()
}

// KnownMembers returns the present list as JSON in the form of a controller's configuration, which uses it at its
// start.
func (d *Discovery) KnownMembers(controller string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var entries []string
	for _, m := range d.members {
		phase := "Ready"
		if m.State == Draining {
			phase = "Terminating"
		}
		started := int64(0)
		if !m.Started.IsZero() {
			started = m.Started.UnixMilli()
		}
		entries = append(entries, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"east","flavor":"std","cell":%d,"phase":%q,"size":1,"up_since_ms":%d}`,
			m.ID, m.Addresses[controller], m.Number, phase, started))
	}
	slices.Sort(entries)
	return fmt.Sprintf(`{"rev":%d,"notices":[{"rev":%d,"pool":{"revision":%d,"complete":true,"members":[%s]}}]}`,
		d.serial, d.serial, d.serial, strings.Join(entries, ","))
}

// Listed reports whether a core is on the list.
func (d *Discovery) Listed(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.members[id]
	return ok
}
