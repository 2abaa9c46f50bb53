// Package intent turns the running configuration into what the parts of the program take, and decides whose word
// counts where operators and the platform speak of the same thing (RFC 8342, 5.3.4). It has no I/O, no clock and no
// goroutine, and does not know how configuration came to be.
//
// Whose word counts, node by node:
//
//   - An exchange that the platform's list has is where and since when the list says (learned). What operators set of
//     it can only take work away: draining or out-of-service holds, in-service does not undo a drain of the list. One
//     that the list has had and has no more is gone, whatever is set of it, until the list has it again.
//   - An exchange that only operators have set is as they set it (intended).
//   - Aims, deadlines and worth of classes, and bounds, are what operators set; what they did not set is what the
//     platform's settings say (system). Classes that the platform does not have can't be added: their widths and
//     effects are the platform's.
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

// Origin is whose word is in force.
type Origin string

// The origins (RFC 8342, 5.3.4).
const (
	Intended Origin = "intended"
	Learned  Origin = "learned"
	System   Origin = "system"
)

// Linger is how long an exchange that was taken out of the configuration goes on with the calls that stand on it,
// as a drain: until then it is known, and gets nothing new.
const Linger = 2 * time.Minute

// Exchange is one that operators have set.
type Exchange struct {
	Number  int
	Address string
	Zone    int
	State   brookmux.SwitchState
	Planned float64 // set-ups a second that it is planned to bear, 0 where that is not said
}

// text is a leaf's value; defaults have to be set in the tree.
func text(n *schema.Node, leaf string) string {
	v, _ := n.Leaf(leaf)
	return v
}

// number is a leaf's value as a number; the model has made sure that it is one.
func number(n *schema.Node, leaf string) (float64, bool) {
	v, ok := n.Leaf(leaf)
	f, err := strconv.ParseFloat(v, 64)
	return f, ok && err == nil
}

// Exchanges reads those of a tree that has its defaults. Zones are named as in the platform's settings.
func Exchanges(tree *schema.Node, zones []string) ([]Exchange, error) {
	list := tree.Get("exchanges")
	if list == nil {
		return nil, nil
	}
	var out []Exchange
	for _, x := range list.Children() {
		n, _ := number(x, "number")
		e := Exchange{Number: int(n), Address: text(x, "address"), Zone: slices.Index(zones, text(x, "zone")), State: brookmux.Ready}
		if e.Zone < 0 {
			return nil, fmt.Errorf("%s: zone %q is none of the platform's: %v", x.Path(), text(x, "zone"), zones)
		}
		e.Planned, _ = number(x, "planned-load")
		if text(x, "admin-state") != "in-service" {
			e.State = brookmux.Draining
		}
		out = append(out, e)
	}
	return out, nil
}

// Group is the size of a group from the own exchange to another.
type Group struct {
	Number int // the other end
	Size   float64
}

// Groups reads the groups that end at the own exchange.
func Groups(tree *schema.Node, here int) []Group {
	list := tree.Get("circuit-groups")
	if list == nil {
		return nil
	}
	var out []Group
	for _, g := range list.Children() {
		a, _ := number(g, "a")
		b, _ := number(g, "b")
		size, _ := number(g, "size")
		switch here {
		case int(a):
			out = append(out, Group{int(b), size})
		case int(b):
			out = append(out, Group{int(a), size})
		}
	}
	return out
}

// Settings puts what operators set over the platform's settings.
func Settings(s settings.Settings, tree *schema.Node) (settings.Settings, error) {
	s.Module.Classes = slices.Clone(s.Module.Classes)
	if list := tree.Get("classes"); list != nil {
		for _, x := range list.Children() {
			i := slices.Index(s.ClassNames, text(x, "name"))
			if i < 0 {
				return s, fmt.Errorf("%s: the platform has no class of this name: %v", x.Path(), s.ClassNames)
			}
			c := &s.Module.Classes[i]
			aim, _ := number(x, "aim")
			deadline, _ := number(x, "deadline")
			worth, _ := number(x, "worth")
			late, _ := number(x, "late-worth")
			c.Aim, c.Deadline, c.Worth, c.LateWorth = settings.MS(aim), settings.MS(deadline), worth, late/worth
			if width, ok := number(x, "width"); ok && i < len(s.Widths) && s.Widths[i] > 0 && s.Widths[i] != width {
				return s, fmt.Errorf("%s: the platform's calls of this class take %v circuits", x.Path(), s.Widths[i])
			}
		}
	}
	if l := tree.Get("limits"); l != nil {
		if v, ok := number(l, "max-open-calls"); ok {
			s.MostHeld = int(v)
		}
		if v, ok := number(l, "max-wait"); ok && s.Module.RetryAfter {
			s.Module.MaxRetryAfter = settings.MS(v)
		}
	}
	return s, nil
}

// Callers is the bound on callers' connections, or most where there is none that is lower.
func Callers(tree *schema.Node, most int) int {
	if l := tree.Get("limits"); l != nil {
		if v, ok := number(l, "max-callers"); ok {
			return min(most, int(v))
		}
	}
	return most
}

// Core is an exchange's core that only operators have set.
type Core struct {
	brookmux.Switch
	Address string
}

// Word is whose word is in force of an exchange, for its state.
type Word struct {
	Origin Origin
	Told   string // what the list says: ready, draining, gone, or empty where it says nothing
}

// known is a core that was placed. One under another address is another core.
type known struct {
	Core
	until time.Duration // it lingers until then; 0 while it is set
}

// Placer holds the cores that operators have set, beside those that the platform lists.
type Placer struct {
	wanted map[int]Exchange
	cores  []known
	listed map[int]bool // numbers that the list has had; false for those that it has no more
}

// Want takes the exchanges that are set. At the program's start they count as there since long ago, and later as
// started now: none is known to be warm.
func (p *Placer) Want(now time.Duration, list []Exchange, start bool) {
	p.wanted = map[int]Exchange{}
	for _, x := range list {
		p.wanted[x.Number] = x
	}
	for i := range p.cores {
		k := &p.cores[i]
		if x, ok := p.wanted[k.Number]; ok && x.Address == k.Address {
			k.until = 0
			k.Zone = x.Zone
		} else if k.until == 0 {
			k.until = now + Linger
		}
	}
	for _, x := range list {
		if !slices.ContainsFunc(p.cores, func(k known) bool { return k.Number == x.Number && k.Address == x.Address }) {
			c := Core{Switch: brookmux.Switch{ID: p.id(x), Number: x.Number, Zone: x.Zone}, Address: x.Address}
			if !start {
				c.Since = now
			}
			p.cores = append(p.cores, known{Core: c})
		}
	}
}

// id makes a core's id of what it is known by, the same at each start.
func (p *Placer) id(x Exchange) brookmux.SwitchID {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%d %s", x.Number, x.Address) // never fails, see hash.Hash
	id := brookmux.SwitchID(h.Sum32())
	for id == 0 || slices.ContainsFunc(p.cores, func(k known) bool { return k.ID == id }) {
		id++
	}
	return id
}

// Place joins what is listed and what is set: the listed cores as they count, those that only operators have set,
// whose word is in force, and when to ask again (0: at the next change).
func (p *Placer) Place(now time.Duration, listed []brookmux.Switch) (all []brookmux.Switch, own []Core, words map[int]Word, again time.Duration) {
	p.cores = slices.DeleteFunc(p.cores, func(k known) bool { return k.until > 0 && k.until <= now })
	words = map[int]Word{}
	ids := map[brookmux.SwitchID]bool{}
	for _, s := range listed {
		w := Word{Learned, map[brookmux.SwitchState]string{brookmux.Ready: "ready", brookmux.Draining: "draining"}[s.State]}
		if x, ok := p.wanted[s.Number]; ok && x.State == brookmux.Draining && s.State == brookmux.Ready {
			s.State, w.Origin = brookmux.Draining, Intended
		}
		if old, ok := words[s.Number]; !ok || old.Told != "ready" {
			words[s.Number] = w
		}
		ids[s.ID] = true
		all = append(all, s)
	}
	// What the list had and has no more is gone by its word: what operators set does not take its place.
	if p.listed == nil {
		p.listed = map[int]bool{}
	}
	for n := range p.listed {
		p.listed[n] = false
	}
	for _, s := range listed {
		p.listed[s.Number] = true
	}
	for n, there := range p.listed {
		if _, wanted := p.wanted[n]; wanted && !there {
			words[n] = Word{Learned, "gone"}
		}
	}
	for _, k := range p.cores {
		_, isListed := words[k.Number]
		if isListed && words[k.Number].Told != "" || ids[k.ID] {
			continue // the list knows better
		}
		c := k.Core
		if c.State = brookmux.Draining; k.until == 0 {
			c.State = p.wanted[k.Number].State
		} else if again == 0 || k.until < again {
			again = k.until
		}
		own = append(own, c)
	}
	for _, c := range own {
		if _, ok := p.wanted[c.Number]; ok { // not one that only lingers
			words[c.Number] = Word{Origin: Intended}
		}
	}
	return all, own, words, again
}
