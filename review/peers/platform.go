//go:build review2

package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// memberState is the state of a core in the name service's list.
type memberState string

// The states, as the events name them.
const (
	ready       memberState = "Ready"
	terminating memberState = "Terminating"
	gone        memberState = "Gone"
)

// member is a core in the name service's list.
type member struct {
	id      string
	address string
	number  int
	state   memberState
}

// event returns the member as it stands in an event of the configuration.
func (m member) event() string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"kochi","flavor":"std","cell":%d,"phase":%q,"size":1,"up_since_ms":0}`,
		m.id, m.address, m.number, m.state)
}

// discovery is the stand-in name service of one controller: it answers each query with the whole list.
type discovery struct {
	trial *trial
	conn  net.PacketConn

	mu      sync.Mutex
	serial  uint32
	members []member
	events  []string             // all events up to now, for the configuration
	told    map[uint32]time.Time // when an answer with a serial number was first sent
}

// newDiscovery starts a name service with a list, whose event has number 1.
func newDiscovery(t *trial, members ...member) (*discovery, error) {
	conn, err := net.ListenPacket("udp", net.JoinHostPort(t.host, "0"))
	if err != nil {
		return nil, err
	}
	d := &discovery{trial: t, conn: conn, serial: 1, members: members, told: map[uint32]time.Time{}}
	var list []string
	for _, m := range members {
		list = append(list, m.event())
	}
	d.events = []string{fmt.Sprintf(`{"rev":1,"pool":{"revision":1,"complete":true,"members":[%s]}}`, strings.Join(list, ","))}
	go d.serve()
	return d, nil
}

// change makes an event: the core with this id has a new state.
func (d *discovery) change(id string, to memberState) uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serial++
	for i, m := range d.members {
		if m.id != id {
			continue
		}
		m.state = to
		d.events = append(d.events, fmt.Sprintf(`{"rev":%d,"pool":{"revision":%d,"complete":false,"members":[%s]}}`, d.serial, d.serial, m.event()))
		if d.members[i] = m; to == gone {
			d.members = append(d.members[:i:i], d.members[i+1:]...)
		}
		break
	}
	d.trial.log("discovery", "event %d: %s is %s", d.serial, id, to)
	return d.serial
}

// known returns the events up to now, as the configuration holds them.
func (d *discovery) known() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf(`{"rev":%d,"notices":[%s]}`, d.serial, strings.Join(d.events, ","))
}

// wasTold reports whether an answer with this number, or a later one, was sent.
func (d *discovery) wasTold(serial uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n := range d.told {
		if n >= serial {
			return true
		}
	}
	return false
}

// serve answers queries until the socket is closed.
func (d *discovery) serve() {
	b := make([]byte, 1024)
	for {
		n, from, err := d.conn.ReadFrom(b)
		if err != nil {
			return
		}
		answer, serial, err := d.answer(b[:n])
		if err != nil {
			continue
		}
		if _, err := d.conn.WriteTo(answer, from); err != nil {
			continue
		}
		d.mu.Lock()
		if _, ok := d.told[serial]; !ok {
			d.told[serial] = time.Now()
			d.trial.log("discovery", "list %d sent", serial)
		}
		d.mu.Unlock()
	}
}

// answer encodes the answer to a query.
func (d *discovery) answer(query []byte) ([]byte, uint32, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var q dnsmessage.Message
	if err := q.Unpack(query); err != nil {
		return nil, 0, err
	}
	service := dnsmessage.MustNewName("_app._tcp.cluster.lan.")
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: q.ID, Response: true, Authoritative: true}, Questions: q.Questions}
	head := func(name dnsmessage.Name, kind dnsmessage.Type) dnsmessage.ResourceHeader {
		return dnsmessage.ResourceHeader{Name: name, Type: kind, Class: dnsmessage.ClassINET, TTL: 1}
	}
	for _, x := range d.members {
		host, portText, err := net.SplitHostPort(x.address)
		if err != nil {
			return nil, 0, err
		}
		port, err := strconv.ParseUint(portText, 10, 16)
		if err != nil {
			return nil, 0, err
		}
		target := dnsmessage.MustNewName(x.id + ".kochi.hosts.")
		priority := uint16(0)
		if x.state == terminating {
			priority = 1
		}
		m.Answers = append(m.Answers, dnsmessage.Resource{Header: head(service, dnsmessage.TypeSRV),
			Body: &dnsmessage.SRVResource{Priority: priority, Weight: 10, Port: uint16(port), Target: target}})
		m.Additionals = append(m.Additionals, dnsmessage.Resource{Header: head(target, dnsmessage.TypeA),
			Body: &dnsmessage.AResource{A: [4]byte(net.ParseIP(host).To4())}},
			dnsmessage.Resource{Header: head(target, dnsmessage.TypeTXT),
				Body: &dnsmessage.TXTResource{TXT: []string{"kind=std", fmt.Sprintf("cell=%d", x.number), "started=0"}}})
	}
	m.Authorities = []dnsmessage.Resource{{Header: head(service, dnsmessage.TypeSOA),
		Body: &dnsmessage.SOAResource{NS: service, MBox: service, Serial: d.serial}}}
	packet, err := m.Pack()
	return packet, d.serial, err
}

// settingsJSON are settings like those of a small deployment.
const settingsJSON = `{"instances":5,"discovery":"push","classes":[
{"name":"result-page","aimMs":1500,"deadlineMs":9000,"gain":1,"lateValue":0.25,"effect":"repeatable","group":"all"},
{"name":"round-update","aimMs":1000,"deadlineMs":6000,"gain":8,"lateValue":0.1,"effect":"repeatable","group":"all"}],
"zones":["tvm","kochi"],"loadReport":{"how":"piggyback","names":["idle","circuits","avg_ms"]},
"permissions":{"maxAttempts":6,"retryAfter":true,"maxRetryAfterMs":2000,"connectTimeoutMs":500,"keepaliveMs":600000,"mostHeld":20000},
"rules":{"coldFrom":0.3,"warmWithinMs":14000,"fallMultiple":4,"drainGraceMs":1000,"graceToAnswerMs":20,"tipAfterMs":2000},
"specifics":{"here":0,"shape":"network","releaseGuardMs":300,"channelsNeeded":[1,1],"classHoldMs":[11000,6600]}}`

// writeConfig writes the platform's file of a controller and returns its path.
func (t *trial) writeConfig(name, listen string, d *discovery) (string, error) {
	path := t.path(name + ".json")
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"nameserver":%q,"known":%s,"settings":%s}`, name, listen, d.conn.LocalAddr(), d.known(), settingsJSON)
	t.log("platform", "configuration: known is %s", d.known())
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// writeFile writes an operators' file and returns its path.
func (t *trial) writeFile(name, text string) (string, error) {
	path := t.path(name)
	t.log("operators", "%s: %s", name, strings.ReplaceAll(strings.TrimSpace(text), "\n", " | "))
	return path, os.WriteFile(path, []byte(text), 0o600)
}
