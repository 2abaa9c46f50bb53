package datastore

import (
	"fmt"

	"brookmux/internal/schema"
)

// Drains records which exchanges are draining or gone according to the membership list. Its Guard keeps configuration
// changes from sending them new calls. The zero value is ready to use.
type Drains struct{ states map[string]string }

// SetStates replaces the recorded states. The map holds the state, "draining" or "gone", of each exchange that takes no
// new calls, by exchange number.
func (d *Drains) SetStates(list map[string]string) { d.states = list }

// Guard rejects a change that would send new calls to an exchange that is draining or gone: one that adds it or puts
// it in service, changes its address, or gives it more circuits. The fault is resource-denied (RFC 6241) with the path
// of the exchange.
func (d *Drains) Guard(old, new *schema.Node) (faults []schema.Fault) {
	list := new.Get("exchanges")
	if list == nil || len(d.states) == 0 {
		return nil
	}
	for _, x := range list.Children() {
		number := x.Keys()[0]
		told, listed := d.states[number]
		if !listed || adminState(x) != "in-service" {
			continue
		}
		reason := ""
		var before *schema.Node
		if l := old.Get("exchanges"); l != nil {
			before = l.Get("exchange", number)
		}
		switch {
		case before == nil:
			reason = "it would be new"
		case adminState(before) != "in-service":
			reason = "it would be in service again"
		case leafValue(before, "address") != leafValue(x, "address"):
			reason = "it would get work at another address"
		case circuitCount(new, number) > circuitCount(old, number):
			reason = "it would get more circuits"
		default:
			continue
		}
		faults = append(faults, schema.Fault{Tag: schema.ResourceDenied, AppTag: "node-drains", Path: x.Path(),
			Message: fmt.Sprintf("exchange %s has been told %s: %s", number, told, reason)})
	}
	return faults
}

// leafValue returns the value of a leaf, or "" if it is not set.
func leafValue(n *schema.Node, leaf string) string {
	v, _ := n.Leaf(leaf)
	return v
}

// adminState returns the admin-state of an exchange, or the model's default if it is not set.
func adminState(x *schema.Node) string {
	if v, ok := x.Leaf("admin-state"); ok {
		return v
	}
	return x.Def.Child("admin-state").Default[0]
}

// circuitCount returns the number of circuits in the groups that end at an exchange.
func circuitCount(tree *schema.Node, number string) (n int) {
	groups := tree.Get("circuit-groups")
	if groups == nil {
		return 0
	}
	for _, g := range groups.Children() {
		if k := g.Keys(); k[0] == number || k[1] == number {
			var size int
			if _, err := fmt.Sscan(leafValue(g, "size"), &size); err == nil {
				n += size
			}
		}
	}
	return n
}
