package playback

import (
	"bytes"
	"net"
	"strconv"
	"strings"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/dns/dnsmessage"
)

// startNameServer starts the name server on a new address.
func (s *session) startNameServer() {
	conn, err := net.ListenPacket("udp", net.JoinHostPort(s.host, "0"))
	require.NoError(s.t, err)
	s.nameServer = conn
	go s.serveNames(conn)
}

// setMembers sets the name server's answer to a member list with this SOA serial; each line is a core and its state.
func (s *session) setMembers(serial, lines string) {
	n, err := strconv.Atoi(serial)
	require.NoError(s.t, err)
	class, service := dnsmessage.ClassINET, dnsmessage.MustNewName("_app._tcp.cluster.lan.")
	m := dnsmessage.Message{Header: dnsmessage.Header{Response: true, Authoritative: true}}
	m.Questions = []dnsmessage.Question{{Name: service, Type: dnsmessage.TypeSRV, Class: class}}
	m.Authorities = []dnsmessage.Resource{{Header: dnsmessage.ResourceHeader{Name: service, Class: class},
		Body: &dnsmessage.SOAResource{NS: service, MBox: service, Serial: uint32(n)}}}
	for line := range strings.Lines(lines) {
		fields := strings.Fields(line)
		addr := s.actors[fields[0]].listener.Addr().(*net.TCPAddr)
		host := dnsmessage.MustNewName("s-0000000" + fields[0][1:] + ".east.hosts.")
		priority := uint16(0)
		if fields[1] == "draining" {
			priority = 1
		}
		m.Answers = append(m.Answers, dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: service, Class: class},
			Body: &dnsmessage.SRVResource{Priority: priority, Weight: 10, Port: uint16(addr.Port), Target: host}})
		m.Additionals = append(m.Additionals, dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: host, Class: class},
			Body: &dnsmessage.AResource{A: [4]byte(addr.IP.To4())}},
			dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: host, Class: class},
				Body: &dnsmessage.TXTResource{TXT: []string{"kind=std", "cell=" + fields[0][1:], "started=0"}}})
	}
	packet, err := m.Pack()
	require.NoError(s.t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameAnswer = packet
}

// serveNames answers the program's queries until conn is closed; without a member list it does not answer.
func (s *session) serveNames(conn net.PacketConn) {
	buf := make([]byte, 512)
	for {
		n, from, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		s.mu.Lock()
		b := bytes.Clone(s.nameAnswer)
		s.mu.Unlock()
		if n >= 2 && b != nil {
			copy(b, buf[:2])
			_, _ = conn.WriteTo(b, from) // the program may have exited
		}
	}
}
