// Package directory maintains the membership list of cores. It starts from the events in the configuration and then
// polls the name service over DNS for newer lists.
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

// serviceName is the name that SRV queries for the list ask for.
const serviceName = "_app._tcp.cluster.lan."

// Entry is a core in the membership list.
type Entry struct {
	brookmux.Switch
	Addr string // host:port
}

// List is a complete membership list with its serial number; a list with a greater number is newer.
type List struct {
	Serial  uint32
	Entries []Entry // the cores that have not left, sorted by ID
}

// Reader decodes configuration events and DNS answers into lists.
type Reader struct {
	Zones  []string  // zone names; the index is Switch.Zone
	Origin time.Time // time zero of Switch.Since
}

// clockTime converts Unix milliseconds to the time since Origin. Zero and negative values give 0, which means long ago;
// other times give at least 1 ns.
func (r Reader) clockTime(unix int64) time.Duration {
	if unix <= 0 {
		return 0
	}
	return max(1, time.UnixMilli(unix).Sub(r.Origin))
}

// parseID parses a core's ID, which is "s-" followed by hexadecimal digits.
func parseID(text string) (brookmux.SwitchID, error) {
	_, digits, _ := strings.Cut(text, "-")
	n, err := strconv.ParseUint(digits, 16, 32)
	if err != nil {
		return 0, fmt.Errorf("core id %q: %w", text, err)
	}
	return brookmux.SwitchID(n), nil
}

// ParseEvents applies the events of a configuration in order and returns the resulting list. An event that is marked
// complete replaces the list; others update it.
func (r Reader) ParseEvents(v *fastjson.Value) (List, error) {
	l := List{Serial: uint32(v.GetUint("rev"))}
	byID := map[brookmux.SwitchID]Entry{}
	for _, n := range v.GetArray("notices") {
		pool := n.Get("pool")
		if pool.GetBool("complete") {
			clear(byID)
		}
		for _, m := range pool.GetArray("members") {
			e, err := r.parseMember(m)
			if err != nil {
				return l, fmt.Errorf("directory: known: %w", err)
			}
			if byID[e.ID] = e; e.State == brookmux.Gone {
				delete(byID, e.ID)
			}
		}
	}
	l.Entries = sortedEntries(byID)
	return l, nil
}

// parseMember decodes one member of an event.
func (r Reader) parseMember(m *fastjson.Value) (Entry, error) {
	states := map[string]brookmux.SwitchState{
		"Ready": brookmux.Ready, "Terminating": brookmux.Draining, "Gone": brookmux.Gone}
	state, ok := states[string(m.GetStringBytes("phase"))]
	if !ok {
		return Entry{}, fmt.Errorf("unknown phase %q", m.GetStringBytes("phase"))
	}
	n, err := parseID(string(m.GetStringBytes("id")))
	return Entry{Addr: string(m.GetStringBytes("host_port")), Switch: brookmux.Switch{ID: n, State: state,
		Number: m.GetInt("cell"), Zone: slices.Index(r.Zones, string(m.GetStringBytes("locality"))),
		Since: r.clockTime(m.GetInt64("up_since_ms"))}}, err
}

// sortedEntries returns the entries sorted by ID.
func sortedEntries(byID map[brookmux.SwitchID]Entry) []Entry {
	out := make([]Entry, 0, len(byID))
	for _, e := range byID {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return int(int64(a.ID) - int64(b.ID)) })
	return out
}

// encodeQuery encodes a DNS query for the complete list.
func encodeQuery(id uint16) ([]byte, error) {
	b := dnsmessage.NewBuilder(nil, dnsmessage.Header{ID: id, RecursionDesired: false})
	if err := b.StartQuestions(); err != nil {
		return nil, err
	}
	err := b.Question(dnsmessage.Question{Name: dnsmessage.MustNewName(serviceName),
		Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET})
	if err != nil {
		return nil, err
	}
	return b.Finish()
}

// ParseAnswer decodes a DNS answer: the SRV records, the SOA record with the serial number, and the A and TXT records
// of the targets. It returns the query ID of the answer, also with an error if the message could be unpacked.
func (r Reader) ParseAnswer(packet []byte) (uint16, List, error) {
	var m dnsmessage.Message
	if err := m.Unpack(packet); err != nil {
		return 0, List{}, fmt.Errorf("directory: answer: %w", err)
	}
	if !m.Response || m.RCode != dnsmessage.RCodeSuccess || m.Truncated {
		return m.ID, List{}, fmt.Errorf("directory: answer: %v, response %v, truncated %v", m.RCode, m.Response, m.Truncated)
	}
	if len(m.Questions) != 1 || !strings.EqualFold(m.Questions[0].Name.String(), serviceName) ||
		m.Questions[0].Type != dnsmessage.TypeSRV {
		return m.ID, List{}, errors.New("directory: answer to a different question")
	}
	l, hasSerial := List{}, false
	ports, addrs := map[string]uint16{}, map[string]string{}
	entries := map[string]Entry{}
	texts := map[string][]string{}
	for _, part := range [][]dnsmessage.Resource{m.Answers, m.Authorities, m.Additionals} {
		for _, rr := range part {
			name := strings.ToLower(rr.Header.Name.String())
			switch b := rr.Body.(type) {
			case *dnsmessage.SOAResource:
				l.Serial, hasSerial = b.Serial, true
			case *dnsmessage.SRVResource:
				target := strings.ToLower(b.Target.String())
				labels := strings.SplitN(target, ".", 3)
				n, err := parseID(labels[0])
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
	if !hasSerial {
		return m.ID, l, errors.New("directory: answer has no SOA record")
	}
	byID := map[brookmux.SwitchID]Entry{}
	for target, e := range entries {
		if addrs[target] == "" || texts[target] == nil {
			return m.ID, l, fmt.Errorf("directory: target %q lacks an A or TXT record", target)
		}
		e.Addr = net.JoinHostPort(addrs[target], strconv.Itoa(int(ports[target])))
		for _, t := range texts[target] {
			key, value, _ := strings.Cut(t, "=")
			n, err := strconv.ParseInt(value, 10, 64)
			switch {
			case key == "cell" && err == nil:
				e.Number = int(n)
			case key == "started" && err == nil:
				e.Since = r.clockTime(n)
			case key == "cell" || key == "started":
				return m.ID, l, fmt.Errorf("directory: TXT string %q of %q: %w", t, target, err)
			}
		}
		byID[e.ID] = e
	}
	l.Entries = sortedEntries(byID)
	return m.ID, l, nil
}

// Switches returns the entries without their addresses, in the type that the root package uses.
func (l List) Switches() []brookmux.Switch {
	var out []brookmux.Switch
	for _, e := range l.Entries {
		out = append(out, e.Switch)
	}
	return out
}

// Merger combines the lists of several sources into one. OnChange must be set before the first Set. Set may be called
// from any goroutine.
type Merger struct {
	OnChange func(brookmux.Members) // receives the combined list after each Set, in order, with the lock held

	mu    sync.Mutex
	parts map[string][]brookmux.Switch
}

// Set replaces the list of a source and passes the combined list, ordered by source name, to OnChange.
func (m *Merger) Set(source string, kind brookmux.ListKind, list []brookmux.Switch) {
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
	m.OnChange(all)
}
