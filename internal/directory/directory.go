// Package directory follows the list of cores: the events that the configuration holds, and later the name
// service, asked by DNS.
package directory

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fastjson"
	"golang.org/x/net/dns/dnsmessage"

	"brookmux"
)

const service = "_app._tcp.cluster.lan."

// Entry is a core as listed.
type Entry struct {
	brookmux.Switch
	Addr string
}

// List is the whole list as of an event.
type List struct {
	Serial  uint32
	Entries []Entry // those that run, by id
}

// Reader turns the wire's words into entries.
type Reader struct {
	Zones  []string  // by index
	Origin time.Time // the clock's zero
}

// since puts a Unix millisecond on the own clock; 0 means long ago.
func (r Reader) since(unix int64) time.Duration {
	if unix <= 0 {
		return 0
	}
	return max(1, time.UnixMilli(unix).Sub(r.Origin))
}

// id reads a core's id, "s-" and hex digits.
func id(text string) (brookmux.SwitchID, error) {
	_, digits, _ := strings.Cut(text, "-")
	n, err := strconv.ParseUint(digits, 16, 32)
	if err != nil {
		return 0, fmt.Errorf("core id %q: %w", text, err)
	}
	return brookmux.SwitchID(n), nil
}

// Known reads the events that a configuration holds, in order, into the list that they leave.
func (r Reader) Known(v *fastjson.Value) (List, error) {
	l := List{Serial: uint32(v.GetUint("rev"))}
	byID := map[brookmux.SwitchID]Entry{}
	for _, n := range v.GetArray("notices") {
		pool := n.Get("pool")
		if pool.GetBool("complete") {
			clear(byID)
		}
		for _, m := range pool.GetArray("members") {
			e, err := r.member(m)
			if err != nil {
				return l, fmt.Errorf("directory: known: %w", err)
			}
			if byID[e.ID] = e; e.State == brookmux.Gone {
				delete(byID, e.ID)
			}
		}
	}
	l.Entries = sorted(byID)
	return l, nil
}

// member reads a line of an event.
func (r Reader) member(m *fastjson.Value) (Entry, error) {
	states := map[string]brookmux.SwitchState{
		"Ready": brookmux.Ready, "Terminating": brookmux.Draining, "Gone": brookmux.Gone}
	state, ok := states[string(m.GetStringBytes("phase"))]
	if !ok {
		return Entry{}, fmt.Errorf("unknown phase %q", m.GetStringBytes("phase"))
	}
	n, err := id(string(m.GetStringBytes("id")))
	return Entry{Addr: string(m.GetStringBytes("host_port")), Switch: brookmux.Switch{ID: n, State: state,
		Number: m.GetInt("cell"), Zone: slices.Index(r.Zones, string(m.GetStringBytes("locality"))),
		Since: r.since(m.GetInt64("up_since_ms"))}}, err
}

// sorted lists entries by id.
func sorted(byID map[brookmux.SwitchID]Entry) []Entry {
	out := make([]Entry, 0, len(byID))
	for _, e := range byID {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return int(int64(a.ID) - int64(b.ID)) })
	return out
}

// encodeQuery writes a query for the whole list.
func encodeQuery(number uint16) ([]byte, error) {
	b := dnsmessage.NewBuilder(nil, dnsmessage.Header{ID: number, RecursionDesired: false})
	if err := b.StartQuestions(); err != nil {
		return nil, err
	}
	err := b.Question(dnsmessage.Question{Name: dnsmessage.MustNewName(service),
		Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET})
	if err != nil {
		return nil, err
	}
	return b.Finish()
}

// Answer reads an answer: SRV records, the SOA with the serial, and what the targets' A and TXT records say.
func (r Reader) Answer(packet []byte) (uint16, List, error) {
	var m dnsmessage.Message
	if err := m.Unpack(packet); err != nil {
		return 0, List{}, fmt.Errorf("directory: answer: %w", err)
	}
	if !m.Response || m.RCode != dnsmessage.RCodeSuccess || m.Truncated {
		return m.ID, List{}, fmt.Errorf("directory: answer: %v, response %v, truncated %v", m.RCode, m.Response, m.Truncated)
	}
	if len(m.Questions) != 1 || !strings.EqualFold(m.Questions[0].Name.String(), service) ||
		m.Questions[0].Type != dnsmessage.TypeSRV {
		return m.ID, List{}, errors.New("directory: answer is to another question")
	}
	l, numbered := List{}, false
	ports, addrs := map[string]uint16{}, map[string]string{}
	entries := map[string]Entry{}
	texts := map[string][]string{}
	for _, part := range [][]dnsmessage.Resource{m.Answers, m.Authorities, m.Additionals} {
		for _, rr := range part {
			name := strings.ToLower(rr.Header.Name.String())
			switch b := rr.Body.(type) {
			case *dnsmessage.SOAResource:
				l.Serial, numbered = b.Serial, true
			case *dnsmessage.SRVResource:
				target := strings.ToLower(b.Target.String())
				labels := strings.SplitN(target, ".", 3)
				n, err := id(labels[0])
				if err != nil || len(labels) < 2 {
					return m.ID, l, fmt.Errorf("directory: target %q: %w", target, err)
				}
				e := Entry{Switch: brookmux.Switch{ID: n, State: brookmux.Ready, Zone: slices.Index(r.Zones, labels[1])}}
				if b.Priority > 0 {
					e.State = brookmux.Draining
				}
				entries[target], ports[target] = e, b.Port
			case *dnsmessage.AResource:
				addrs[name] = net.IP(b.A[:]).String()
			case *dnsmessage.TXTResource:
				texts[name] = b.TXT
			}
		}
	}
	if !numbered {
		return m.ID, l, errors.New("directory: answer has no SOA record")
	}
	byID := map[brookmux.SwitchID]Entry{}
	for target, e := range entries {
		if addrs[target] == "" || texts[target] == nil {
			return m.ID, l, fmt.Errorf("directory: no address or text for %q", target)
		}
		e.Addr = net.JoinHostPort(addrs[target], strconv.Itoa(int(ports[target])))
		for _, t := range texts[target] {
			key, value, _ := strings.Cut(t, "=")
			n, err := strconv.ParseInt(value, 10, 64)
			switch {
			case key == "cell" && err == nil:
				e.Number = int(n)
			case key == "started" && err == nil:
				e.Since = r.since(n)
			case key == "cell" || key == "started":
				return m.ID, l, fmt.Errorf("directory: text %q of %q: %w", t, target, err)
			}
		}
		byID[e.ID] = e
	}
	l.Entries = sorted(byID)
	return m.ID, l, nil
}

// Switches are the list's lines in the module's words.
func (l List) Switches() []brookmux.Switch {
	var out []brookmux.Switch
	for _, e := range l.Entries {
		out = append(out, e.Switch)
	}
	return out
}

// Merge joins the lists of several sources into the one that the module knows.
type Merge struct {
	Told func(brookmux.Members) // called in the order of the changes

	mu    sync.Mutex
	parts map[string][]brookmux.Switch
}

// Set takes a source's whole list.
func (m *Merge) Set(source string, kind brookmux.ListKind, list []brookmux.Switch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.parts == nil {
		m.parts = map[string][]brookmux.Switch{}
	}
	m.parts[source] = list
	all := brookmux.Members{Kind: kind}
	for _, name := range slices.Sorted(maps.Keys(m.parts)) {
		all.Switches = append(all.Switches, m.parts[name]...)
	}
	m.Told(all)
}
