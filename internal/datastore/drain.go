package datastore

import (
	"fmt"

	"brookmux/internal/schema"
)

// Drains records which exchanges are draining or gone according to the membership list. Its Guard keeps configuration
// changes from sending them new calls. The zero value is ready to use.
type Drains struct {
	states    map[string]string
	addresses map[string]bool
}

// SetStates replaces the recorded states. The map holds the state, "draining" or "gone", of each exchange that takes no
// new calls, by exchange number.
func (d *Drains) SetStates(list map[string]string) { d.states = list }

// SetAddresses replaces the recorded addresses of the nodes that are draining. That of a node that has gone may be in use by
// another one.
func (d *Drains) SetAddresses(list map[string]bool) { d.addresses = list }

// Guard rejects a change that would send new calls to an exchange that is draining or gone: one that adds it or puts
// it in service, changes its address, or gives it more circuits. It also rejects one that would send calls to the address of
// a node that is draining under another number. The fault is resource-denied (RFC 6241) with the path
// of the exchange.
func (d *Drains) Guard(old, new *schema.Node) (faults []schema.Fault) {
	list := new.Get("exchanges")
	if list == nil || len(d.states) == 0 && len(d.addresses) == 0 {
		return nil
	}
	for _, x := range list.Children() {
		number, address := x.Keys()[0], leafValue(x, "address")
		if adminState(x) != "in-service" {
			continue
		}
		reason := newWork(old, new, x)
		told, listed := d.states[number]
		message := ""
		switch {
		case reason == "":
			continue
		case listed:
			message = fmt.Sprintf("exchange %s has been told %s: %s", number, told, reason)
		case d.addresses[address]:
			message = fmt.Sprintf("the node at %s has been told draining: exchange %s would send calls there: %s", address, number, reason)
		default:
			continue
		}
		faults = append(faults, schema.Fault{Tag: schema.ResourceDenied, AppTag: "node-drains", Path: x.Path(), Message: message})
	}
	return faults
}

// newWork returns why a change gives new work to an exchange of the new configuration that is in service, or "".
func newWork(old, new, x *schema.Node) string {
	var before *schema.Node
	if l := old.Get("exchanges"); l != nil {
		before = l.Get("exchange", x.Keys()[0])
	}
	switch {
	case before == nil:
		return "it would be new"
	case adminState(before) != "in-service":
		return "it would be in service again"
	case leafValue(before, "address") != leafValue(x, "address"):
		return "it would get work at another address"
	case circuitCount(new, x.Keys()[0]) > circuitCount(old, x.Keys()[0]):
		return "it would get more circuits"
	}
	return ""
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
