package datastore

import (
	"fmt"

	"brookmux/internal/schema"
)

// Drains knows which exchanges have been told to drain or are gone, by the deployment's own list.
type Drains struct{ told map[string]string }

// Told takes the whole list anew: what each exchange that takes no new work was told, by its number.
func (d *Drains) Told(list map[string]string) { d.told = list }

// Guard refuses a change that would send new work to an exchange that was told to drain: one that puts it in
// service, gives it another address, or more circuits (RFC 6241: resource-denied, with the exchange's path).
func (d *Drains) Guard(old, new *schema.Node) (faults []schema.Fault) {
	list := new.Get("exchanges")
	if list == nil || len(d.told) == 0 {
		return nil
	}
	for _, x := range list.Children() {
		number := x.Keys()[0]
		word, drains := d.told[number]
		if !drains || state(x) != "in-service" {
			continue
		}
		why := ""
		var before *schema.Node
		if l := old.Get("exchanges"); l != nil {
			before = l.Get("exchange", number)
		}
		switch {
		case before == nil:
			why = "it would be new"
		case state(before) != "in-service":
			why = "it would be in service again"
		case value(before, "address") != value(x, "address"):
			why = "it would get work at another address"
		case circuits(new, number) > circuits(old, number):
			why = "it would get more circuits"
		default:
			continue
		}
		faults = append(faults, schema.Fault{Tag: schema.ResourceDenied, AppTag: "node-drains", Path: x.Path(),
			Message: fmt.Sprintf("exchange %s has been told %s: %s", number, word, why)})
	}
	return faults
}

func value(n *schema.Node, leaf string) string {
	v, _ := n.Leaf(leaf)
	return v
}

// state is an exchange's admin-state, with the default of the model.
func state(x *schema.Node) string {
	if v, ok := x.Leaf("admin-state"); ok {
		return v
	}
	return x.Def.Child("admin-state").Default[0]
}

// circuits is how many circuits end at an exchange.
func circuits(tree *schema.Node, number string) (n int) {
	groups := tree.Get("circuit-groups")
	if groups == nil {
		return 0
	}
	for _, g := range groups.Children() {
		if k := g.Keys(); k[0] == number || k[1] == number {
			var size int
			if _, err := fmt.Sscan(value(g, "size"), &size); err == nil {
				n += size
			}
		}
	}
	return n
}
