package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// Entry is a core in the list of the name service.
type Entry struct {
	ID       string // such as s-00000001
	Addr     string
	Zone     string
	Exchange int
	Draining bool
	Since    int64 // Unix milliseconds of a late start, or 0
}

// Names is the name service.
type Names struct {
	Addr string
	lab  *Lab
	conn net.PacketConn

	mu      sync.Mutex
	serial  uint32
	entries []Entry
	told    map[uint32]time.Time // when an answer with this number was first sent
}

// NewNames starts the name service with list number 1.
func (l *Lab) NewNames(entries ...Entry) *Names {
	conn, err := net.ListenPacket("udp", l.Host+":0")
	if err != nil {
		Fail("%v", err)
	}
	n := &Names{Addr: conn.LocalAddr().String(), lab: l, conn: conn, serial: 1, entries: entries, told: map[uint32]time.Time{}}
	go n.serve()
	return n
}

// Set makes a new list and returns its number.
func (n *Names) Set(entries ...Entry) uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serial++
	n.entries = entries
	n.lab.Log("names", "list %d: %+v", n.serial, entries)
	return n.serial
}

// Told returns when the list with this number was first sent, zero if it was not.
func (n *Names) Told(serial uint32) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.told[serial]
}

func (n *Names) serve() {
	b := make([]byte, 512)
	for {
		size, from, err := n.conn.ReadFrom(b)
		if err != nil {
			return
		}
		var m dnsmessage.Message
		if m.Unpack(b[:size]) != nil {
			continue
		}
		n.mu.Lock()
		answer, serial := n.answer(m), n.serial
		if n.told[serial].IsZero() {
			n.told[serial] = time.Now()
			n.lab.Log("names", "list %d sent", serial)
		}
		n.mu.Unlock()
		_, _ = n.conn.WriteTo(answer, from) // UDP
	}
}

// answer builds the answer to a query. The lock is held.
func (n *Names) answer(query dnsmessage.Message) []byte {
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: query.ID, Response: true, Authoritative: true}, Questions: query.Questions}
	head := func(name string, t dnsmessage.Type) dnsmessage.ResourceHeader {
		return dnsmessage.ResourceHeader{Name: dnsmessage.MustNewName(name), Type: t, Class: dnsmessage.ClassINET, TTL: 1}
	}
	for _, e := range n.entries {
		host, port, _ := net.SplitHostPort(e.Addr)
		p, _ := strconv.Atoi(port)
		target := e.ID + "." + e.Zone + ".hosts."
		priority := uint16(0)
		if e.Draining {
			priority = 1
		}
		m.Answers = append(m.Answers, dnsmessage.Resource{Header: head("_app._tcp.cluster.lan.", dnsmessage.TypeSRV),
			Body: &dnsmessage.SRVResource{Priority: priority, Weight: 10, Port: uint16(p), Target: dnsmessage.MustNewName(target)}})
		var a dnsmessage.AResource
		copy(a.A[:], net.ParseIP(host).To4())
		m.Additionals = append(m.Additionals, dnsmessage.Resource{Header: head(target, dnsmessage.TypeA), Body: &a},
			dnsmessage.Resource{Header: head(target, dnsmessage.TypeTXT), Body: &dnsmessage.TXTResource{
				TXT: []string{"kind=std", fmt.Sprintf("cell=%d", e.Exchange), fmt.Sprintf("started=%d", e.Since)}}})
	}
	soa := dnsmessage.SOAResource{NS: dnsmessage.MustNewName("ns.cluster.lan."), MBox: dnsmessage.MustNewName("ops.cluster.lan."),
		Serial: n.serial, Refresh: 1, Retry: 1, Expire: 1, MinTTL: 1}
	m.Authorities = []dnsmessage.Resource{{Header: head("cluster.lan.", dnsmessage.TypeSOA), Body: &soa}}
	b, err := m.Pack()
	if err != nil {
		n.lab.Log("names", "answer: %v", err)
	}
	return b
}

// Known returns the events of the configuration that hold a list.
func (n *Names) Known() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var members []string
	for _, e := range n.entries {
		phase := "Ready"
		if e.Draining {
			phase = "Terminating"
		}
		members = append(members, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"std","cell":%d,"phase":%q,"size":1,"up_since_ms":%d}`,
			e.ID, e.Addr, e.Zone, e.Exchange, phase, e.Since))
	}
	return fmt.Sprintf(`{"rev":%d,"notices":[{"rev":%d,"pool":{"revision":%d,"complete":true,"members":[%s]}}]}`,
		n.serial, n.serial, n.serial, strings.Join(members, ","))
}

// Config returns a platform configuration like that of a small deployment: seven controllers, two classes.
func Config(name, listen, nameserver, known string, here int) string {
	settings := map[string]any{
		"instances": 7, "me": here, "stage": 0, "zone": 0, "zones": []string{"tvm", "kochi", "thrissur", "kozhikode"},
		"classes": []map[string]any{
			{"name": "result-page", "aimMs": 1500, "deadlineMs": 9000, "gain": 1, "lateValue": 0.25, "effect": "repeatable",
				"group": "all", "stream": true, "dedupWindowMs": 5000},
			{"name": "round-update", "aimMs": 1000, "deadlineMs": 6000, "gain": 8, "lateValue": 0.1, "effect": "repeatable",
				"group": "all", "stream": true, "dedupWindowMs": 5000}},
		"clients": map[string]any{"marksRetry": true}, "discovery": "push", "granularityMs": 5, "kinds": []string{"std"},
		"layers": []string{"results-nodes"}, "loadReport": map[string]any{"how": "piggyback", "names": []string{"idle", "circuits", "avg_ms"}},
		"permissions": map[string]any{"cancel": true, "connectTimeoutMs": 500, "keepaliveMs": 600000, "maxAttempts": 6,
			"maxRetryAfterMs": 2000, "mostHeld": 20000, "retryAfter": true, "streamsPerConn": 1048576},
		"rules": map[string]any{"askWithinMs": 10000, "coldFrom": 0.3, "drainGraceMs": 1000, "fallMultiple": 4, "graceToAnswerMs": 20,
			"tipAfterMs": 2000, "warmWithinMs": 14000},
		"specifics": map[string]any{"channelsNeeded": []int{1, 1}, "classHoldMs": []int{11000, 6600}, "farReports": "piggyback",
			"here": here, "releaseGuardMs": 300, "retransmitMs": 500, "shape": "network"},
		"valueBy": "request", "weights": "silent", "workload": "trunks"}
	text, err := json.Marshal(map[string]any{"name": name, "listen": listen, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "nameserver": nameserver,
		"known": json.RawMessage(known), "settings": settings})
	if err != nil {
		Fail("%v", err)
	}
	return string(text)
}
