// Package intent converts the running configuration to the form that the parts of the program use, and resolves the
// precedence between operators' configuration and the platform's data (RFC 8342, 5.3.4). It has no I/O, no clock and no
// goroutine, and does not depend on how the configuration was changed.
//
// The precedence by kind of node:
//
//   - An exchange in the platform's membership list has its address, zone and start time from the list (learned).
//     Operators' configuration can only keep new calls away from it: draining and out-of-service apply, but in-service
//     does not undo a drain from the list. An exchange that was listed and no longer is counts as gone, whatever is
//     configured for it, until it is listed again.
//   - An exchange that only operators have configured is as configured (intended).
//   - Aims, deadlines and worth of classes, and limits, are as operators configured them; where they configured none,
//     the platform's settings apply (system). Configuration can't add classes that the platform does not have, as their
//     widths and effects come from the platform.
package intent

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"brookmux"
	"brookmux/internal/schema"
	"brookmux/internal/settings"
)

// Origin is the source of the value in force.
type Origin string

// The origins (RFC 8342, 5.3.4).
const (
	Intended Origin = "intended"
	Learned  Origin = "learned"
	System   Origin = "system"
)

// DrainAfterRemoval is how long an exchange that was removed from the configuration stays known as draining: its
// standing calls continue and it gets no new ones.
const DrainAfterRemoval = 2 * time.Minute

// Exchange is an exchange as operators have configured it.
type Exchange struct {
	Number  int
	Address string
	Zone    int // index in the platform's zones
	State   brookmux.SwitchState
	Planned float64 // planned load in set-ups per second; 0 if not configured
}

// leafText returns the value of a leaf, or "" if it is not set. It does not apply defaults: the tree must contain them.
func leafText(n *schema.Node, leaf string) string {
	v, _ := n.Leaf(leaf)
	return v
}

// leafNumber returns the value of a leaf as a number, and whether it is set. The model ensures that it is a number.
func leafNumber(n *schema.Node, leaf string) (float64, bool) {
	v, ok := n.Leaf(leaf)
	f, err := strconv.ParseFloat(v, 64)
	return f, ok && err == nil
}

// Exchanges returns the configured exchanges of a tree that contains its defaults. zones are the names of the
// platform's zones; an exchange in any other zone is an error.
func Exchanges(tree *schema.Node, zones []string) ([]Exchange, error) {
	list := tree.Get("exchanges")
	if list == nil {
		return nil, nil
	}
	var out []Exchange
	for _, x := range list.Children() {
		n, _ := leafNumber(x, "number")
		e := Exchange{Number: int(n), Address: leafText(x, "address"), Zone: slices.Index(zones, leafText(x, "zone")), State: brookmux.Ready}
		if e.Zone < 0 {
			return nil, fmt.Errorf("%s: zone %q is none of the platform's: %v", x.Path(), leafText(x, "zone"), zones)
		}
		e.Planned, _ = leafNumber(x, "planned-load")
		if leafText(x, "admin-state") != "in-service" {
			e.State = brookmux.Draining
		}
		out = append(out, e)
	}
	return out, nil
}

// Group is a trunk group from the local exchange to another.
type Group struct {
	Number int     // of the exchange at the other end
	Size   float64 // in circuits
}

// Groups returns the configured trunk groups that end at the local exchange.
func Groups(tree *schema.Node, local int) []Group {
	list := tree.Get("circuit-groups")
	if list == nil {
		return nil
	}
	var out []Group
	for _, g := range list.Children() {
		a, _ := leafNumber(g, "a")
		b, _ := leafNumber(g, "b")
		size, _ := leafNumber(g, "size")
		switch local {
		case int(a):
			out = append(out, Group{int(b), size})
		case int(b):
			out = append(out, Group{int(a), size})
		}
	}
	return out
}

// ApplySettings returns the platform's settings with the configured values in their place. It does not modify the
// classes of s. A class that the platform does not have, or a width other than the platform's, is an error.
func ApplySettings(s settings.Settings, tree *schema.Node) (settings.Settings, error) {
	s.Module.Classes = slices.Clone(s.Module.Classes)
	if list := tree.Get("classes"); list != nil {
		for _, x := range list.Children() {
			i := slices.Index(s.ClassNames, leafText(x, "name"))
			if i < 0 {
				return s, fmt.Errorf("%s: the platform has no class of this name: %v", x.Path(), s.ClassNames)
			}
			c := &s.Module.Classes[i]
			aim, _ := leafNumber(x, "aim")
			deadline, _ := leafNumber(x, "deadline")
			worth, _ := leafNumber(x, "worth")
			lateWorth, _ := leafNumber(x, "late-worth")
			c.Aim, c.Deadline, c.Worth, c.LateWorth = settings.MS(aim), settings.MS(deadline), worth, lateWorth/worth
			if width, ok := leafNumber(x, "width"); ok && i < len(s.Widths) && s.Widths[i] > 0 && s.Widths[i] != width {
				return s, fmt.Errorf("%s: the platform's calls of this class take %v circuits", x.Path(), s.Widths[i])
			}
		}
	}
	if l := tree.Get("limits"); l != nil {
		if v, ok := leafNumber(l, "max-open-calls"); ok {
			s.MaxOpenCalls = int(v)
		}
		if v, ok := leafNumber(l, "max-wait"); ok && s.Module.RetryAfter {
			s.Module.MaxRetryAfter = settings.MS(v)
		}
	}
	return s, nil
}

// MaxCallers returns the maximum number of callers' connections: the configured limit, but no more than maxCallers.
func MaxCallers(tree *schema.Node, maxCallers int) int {
	if l := tree.Get("limits"); l != nil {
		if v, ok := leafNumber(l, "max-callers"); ok {
			return min(maxCallers, int(v))
		}
	}
	return maxCallers
}

// Core is the core of an exchange that only operators have configured.
type Core struct {
	brookmux.Switch
	Address string
}

// ExchangeOrigin is the origin of an exchange's state in force, with its state in the membership list.
type ExchangeOrigin struct {
	Origin Origin
	Listed string // state in the membership list: ready, draining or gone; empty if the list gives none
}

// placedCore is a core known from the configuration. The same exchange at another address is another core.
type placedCore struct {
	Core
	drainUntil time.Duration // when a removed core is dropped; 0 while it is configured
}

// Merger combines the cores that operators have configured with those in the membership list. The zero value is ready
// to use. It is not safe for concurrent use.
type Merger struct {
	configured map[int]Exchange
	cores      []placedCore
	listed     map[int]bool // by exchange number: true if listed now, false if listed earlier
	draining   map[string]bool
}

// SetDrainingAddresses replaces the addresses of the listed cores that drain. A core that operators have configured at one
// of them, under another number, drains too.
func (m *Merger) SetDrainingAddresses(list map[string]bool) { m.draining = list }

// SetConfigured replaces the configured exchanges. At the start of the program their cores count as started long ago;
// later, a new core counts as started now, as it is not known to be warm. Cores no longer configured drain.
func (m *Merger) SetConfigured(now time.Duration, list []Exchange, atStart bool) {
	m.configured = map[int]Exchange{}
	for _, x := range list {
		m.configured[x.Number] = x
	}
	for i := range m.cores {
		k := &m.cores[i]
		if x, ok := m.configured[k.Number]; ok && x.Address == k.Address {
			k.drainUntil = 0
			k.Zone = x.Zone
		} else if k.drainUntil == 0 {
			k.drainUntil = now + DrainAfterRemoval
		}
	}
	for _, x := range list {
		if !slices.ContainsFunc(m.cores, func(k placedCore) bool { return k.Number == x.Number && k.Address == x.Address }) {
			c := Core{Switch: brookmux.Switch{ID: m.id(x), Number: x.Number, Zone: x.Zone}, Address: x.Address}
			if !atStart {
				c.Since = now
			}
			m.cores = append(m.cores, placedCore{Core: c})
		}
	}
}

// WithAdminState returns a copy of ready exchanges, in which those that operators have configured as draining or out of
// service drain.
func (m *Merger) WithAdminState(list []brookmux.Switch) []brookmux.Switch {
	out := slices.Clone(list)
	for i := range out {
		if x, ok := m.configured[out[i].Number]; ok && x.State == brookmux.Draining {
			out[i].State = brookmux.Draining
		}
	}
	return out
}

// RemovedExchange is an exchange that was configured and no longer is.
type RemovedExchange struct {
	Exchange
	Ago time.Duration // since it was removed
}

// AddRemoved adds the cores of exchanges that were removed before the program started, the last removed ones first.
// Like those removed later, they drain until DrainAfterRemoval has passed since their removal.
func (m *Merger) AddRemoved(now time.Duration, list []RemovedExchange) {
	for _, x := range list {
		known := slices.ContainsFunc(m.cores, func(k placedCore) bool { return k.Address == x.Address })
		if known || x.Ago >= DrainAfterRemoval {
			continue
		}
		c := Core{Switch: brookmux.Switch{ID: m.id(x.Exchange), Number: x.Number, Zone: x.Zone}, Address: x.Address}
		m.cores = append(m.cores, placedCore{Core: c, drainUntil: now + DrainAfterRemoval - max(x.Ago, 0)})
	}
}

// id derives a core's id from the exchange number and address, so that it is the same after each start. It is unique
// among the placed cores, and not 0.
func (m *Merger) id(x Exchange) brookmux.SwitchID {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%d %s", x.Number, x.Address) // never fails, see hash.Hash
	id := brookmux.SwitchID(h.Sum32())
	for id == 0 || slices.ContainsFunc(m.cores, func(k placedCore) bool { return k.ID == id }) {
		id++
	}
	return id
}

// Merge combines the listed and the configured cores. It returns the listed cores with the states in force, the cores
// that only operators have configured, the origin of each exchange's state by exchange number, and the time at which to
// call Merge again (0: at the next change).
func (m *Merger) Merge(now time.Duration, listed []brookmux.Switch) (
	all []brookmux.Switch, unlisted []Core, origins map[int]ExchangeOrigin, next time.Duration,
) {
	m.cores = slices.DeleteFunc(m.cores, func(k placedCore) bool { return k.drainUntil > 0 && k.drainUntil <= now })
	origins = map[int]ExchangeOrigin{}
	listedIDs := map[brookmux.SwitchID]bool{}
	for _, s := range listed {
		origin := ExchangeOrigin{Learned, map[brookmux.SwitchState]string{brookmux.Ready: "ready", brookmux.Draining: "draining"}[s.State]}
		if x, ok := m.configured[s.Number]; ok && x.State == brookmux.Draining && s.State == brookmux.Ready {
			s.State, origin.Origin = brookmux.Draining, Intended
		}
		if old, ok := origins[s.Number]; !ok || old.Listed != "ready" {
			origins[s.Number] = origin
		}
		listedIDs[s.ID] = true
		all = append(all, s)
	}
	// An exchange that has left the list is gone: its configuration does not replace the list.
	if m.listed == nil {
		m.listed = map[int]bool{}
	}
	for n := range m.listed {
		m.listed[n] = false
	}
	for _, s := range listed {
		m.listed[s.Number] = true
	}
	for n, listedNow := range m.listed {
		if _, configured := m.configured[n]; configured && !listedNow {
			origins[n] = ExchangeOrigin{Learned, "gone"}
		}
	}
	for _, k := range m.cores {
		_, isListed := origins[k.Number]
		if isListed && origins[k.Number].Listed != "" || listedIDs[k.ID] {
			continue // the list takes precedence
		}
		c := k.Core
		if c.State = brookmux.Draining; k.drainUntil == 0 {
			c.State = m.configured[k.Number].State
		} else if next == 0 || k.drainUntil < next {
			next = k.drainUntil
		}
		if m.draining[k.Address] {
			c.State = brookmux.Draining
		}
		unlisted = append(unlisted, c)
	}
	for _, c := range unlisted {
		if _, ok := m.configured[c.Number]; ok { // not a removed one that is draining
			origins[c.Number] = ExchangeOrigin{Origin: Intended}
		}
	}
	return all, unlisted, origins, next
}
