//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"

	"golang.org/x/net/dns/dnsmessage"
)

// member is a core in the name service's list, which is ready throughout.
type member struct {
	id      string
	address string
	number  int
}

// event returns the member as it stands in an event of the configuration.
func (m member) event() string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"kochi","flavor":"std","cell":%d,"phase":"Ready","size":1,"up_since_ms":0}`,
		m.id, m.address, m.number)
}

// listSerial is the number of the only event: the list does not change.
const listSerial = 1

// discovery is the stand-in name service: it answers each query with the whole list.
type discovery struct {
	trial   *trial
	conn    net.PacketConn
	members []member
}

// newDiscovery starts a name service with a list.
func newDiscovery(t *trial, members []member) (*discovery, error) {
	conn, err := net.ListenPacket("udp", net.JoinHostPort(t.host, "0"))
	if err != nil {
		return nil, err
	}
	d := &discovery{trial: t, conn: conn, members: members}
	go d.serve()
	return d, nil
}

// known returns the events up to now, as the configuration holds them.
func (d *discovery) known() string {
	var list []string
	for _, m := range d.members {
		list = append(list, m.event())
	}
	return fmt.Sprintf(`{"rev":%d,"notices":[{"rev":%d,"pool":{"revision":%d,"complete":true,"members":[%s]}}]}`,
		listSerial, listSerial, listSerial, strings.Join(list, ","))
}

// serve answers queries until the socket is closed.
func (d *discovery) serve() {
	b := make([]byte, 1024)
	for first := true; ; {
		n, from, err := d.conn.ReadFrom(b)
		if err != nil {
			return
		}
		answer, err := d.answer(b[:n])
		if err != nil {
			continue
		}
		if _, err := d.conn.WriteTo(answer, from); err == nil && first {
			d.trial.log("discovery", "list %d sent, and again at each query", listSerial)
			first = false
		}
	}
}

// answer encodes the answer to a query.
func (d *discovery) answer(query []byte) ([]byte, error) {
	var q dnsmessage.Message
	if err := q.Unpack(query); err != nil {
		return nil, err
	}
	service := dnsmessage.MustNewName("_app._tcp.cluster.lan.")
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: q.ID, Response: true, Authoritative: true}, Questions: q.Questions}
	head := func(name dnsmessage.Name, kind dnsmessage.Type) dnsmessage.ResourceHeader {
		return dnsmessage.ResourceHeader{Name: name, Type: kind, Class: dnsmessage.ClassINET, TTL: 1}
	}
	for _, x := range d.members {
		host, portText, err := net.SplitHostPort(x.address)
		if err != nil {
			return nil, err
		}
		port, err := strconv.ParseUint(portText, 10, 16)
		if err != nil {
			return nil, err
		}
		target := dnsmessage.MustNewName(x.id + ".kochi.hosts.")
		m.Answers = append(m.Answers, dnsmessage.Resource{Header: head(service, dnsmessage.TypeSRV),
			Body: &dnsmessage.SRVResource{Weight: 10, Port: uint16(port), Target: target}})
		m.Additionals = append(m.Additionals, dnsmessage.Resource{Header: head(target, dnsmessage.TypeA),
			Body: &dnsmessage.AResource{A: [4]byte(net.ParseIP(host).To4())}},
			dnsmessage.Resource{Header: head(target, dnsmessage.TypeTXT),
				Body: &dnsmessage.TXTResource{TXT: []string{"kind=std", fmt.Sprintf("cell=%d", x.number), "started=0"}}})
	}
	m.Authorities = []dnsmessage.Resource{{Header: head(service, dnsmessage.TypeSOA),
		Body: &dnsmessage.SOAResource{NS: service, MBox: service, Serial: listSerial}}}
	return m.Pack()
}

// settingsJSON are settings like those of a small deployment.
const settingsJSON = `{"instances":5,"discovery":"push","classes":[
{"name":"result-page","aimMs":1500,"deadlineMs":9000,"gain":1,"lateValue":0.25,"effect":"repeatable","group":"all"},
{"name":"round-update","aimMs":1000,"deadlineMs":6000,"gain":8,"lateValue":0.1,"effect":"repeatable","group":"all"}],
"zones":["tvm","kochi"],"loadReport":{"how":"piggyback","names":["idle","circuits","avg_ms"]},
"permissions":{"maxAttempts":6,"retryAfter":true,"maxRetryAfterMs":2000,"connectTimeoutMs":500,"keepaliveMs":600000,"mostHeld":20000},
"rules":{"coldFrom":0.3,"warmWithinMs":14000,"fallMultiple":4,"drainGraceMs":1000,"graceToAnswerMs":20,"tipAfterMs":2000},
"specifics":{"here":0,"shape":"network","releaseGuardMs":300,"channelsNeeded":[1,1],"classHoldMs":[11000,6600]}}`

// writeConfig writes the platform's file of a controller, with a new seed, and returns its path.
func (t *trial) writeConfig(name, listen string, d *discovery) (string, error) {
	path := t.path(name + ".json")
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"nameserver":%q,"known":%s,"settings":%s}`, name, listen, rand.Uint64(), d.conn.LocalAddr(), d.known(), settingsJSON)
	t.log("platform", "configuration: known is %s", d.known())
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// writeFile writes an operators' file and returns its path.
func (t *trial) writeFile(name, text string) (string, error) {
	path := t.path(name)
	t.log("operators", "%s: %s", name, strings.ReplaceAll(strings.TrimSpace(text), "\n", " | "))
	return path, os.WriteFile(path, []byte(text), 0o600)
}
