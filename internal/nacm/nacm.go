// Package nacm decides who may do what to which node, by the rules that are part of the configuration (RFC 8341). It
// has no I/O and knows no wires: users are names, and what they want are nodes, modules and operations.
package nacm

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"brookmux/internal/schema"
)

// Module is the module that holds the rules. Its nodes are closed to all whom no rule permits (RFC 8341, 3.2.8).
const Module = "ietf-netconf-acm"

// Op is what is done.
type Op string

// The operations (RFC 8341, 3.2.2).
const (
	Create Op = "create"
	Read   Op = "read"
	Update Op = "update"
	Delete Op = "delete"
	Exec   Op = "exec"
)

// rule is one rule as it is matched.
type rule struct {
	module, rpc, notification string // empty: not about one; "*" all
	path                      []schema.Step
	about                     bool // it is about data nodes of a path
	ops                       string
	permit                    bool
}

// list is a rule list.
type list struct {
	groups []string
	rules  []rule
}

// Rules are the rules of one running configuration.
type Rules struct {
	on                bool
	read, write, exec bool
	groups            map[string][]string // of a user
	lists             []list
}

// value is a leaf's value or what it has without being set.
func value(n *schema.Node, leaf string) string {
	if v, ok := n.Leaf(leaf); ok {
		return v
	}
	if d := n.Def.Child(leaf).Default; len(d) == 1 {
		return d[0]
	}
	return ""
}

// Of reads the rules of a tree. Where there is nothing under nacm, all is permitted: rules hold from the first one on.
func Of(tree *schema.Node) *Rules {
	r := &Rules{groups: map[string][]string{}}
	n := tree.Get("nacm")
	if n == nil || value(n, "enable-nacm") != "true" {
		return r
	}
	r.on = true
	r.read, r.write, r.exec = value(n, "read-default") == "permit", value(n, "write-default") == "permit", value(n, "exec-default") == "permit"
	if groups := n.Get("groups"); groups != nil {
		for _, g := range groups.Children() {
			for _, u := range g.Children() {
				if u.Def.Name == "user-name" {
					r.groups[u.Value] = append(r.groups[u.Value], g.Keys()[0])
				}
			}
		}
	}
	for _, l := range n.Children() {
		if l.Def.Name != "rule-list" {
			continue
		}
		var x list
		for _, c := range l.Children() {
			switch c.Def.Name {
			case "group":
				x.groups = append(x.groups, c.Value)
			case "rule":
				x.rules = append(x.rules, one(c))
			}
		}
		r.lists = append(r.lists, x)
	}
	return r
}

// one reads a rule.
func one(n *schema.Node) rule {
	x := rule{module: value(n, "module-name"), rpc: value(n, "rpc-name"), notification: value(n, "notification-name"),
		ops: value(n, "access-operations"), permit: value(n, "action") == "permit"}
	if p, ok := n.Leaf("path"); ok {
		x.about = true
		x.path, _ = schema.ParsePath(p) // see Check
	}
	return x
}

// Check tells what is wrong with rules beside what the model says: paths that can't be read, or that name no node.
func Check(_, tree *schema.Node) (faults []schema.Fault) {
	n := tree.Get("nacm")
	if n == nil {
		return nil
	}
	n.Walk(func(x *schema.Node) bool {
		if x.Def.Name != "path" || x.Def.Kind != schema.Leaf {
			return true
		}
		steps, err := schema.ParsePath(x.Value)
		d := tree.Def
		for _, s := range steps {
			if d != nil {
				d = d.Child(s.Name)
			}
		}
		if err == nil && d == nil {
			err = fmt.Errorf("%s names no node", x.Value)
		}
		if err != nil {
			faults = append(faults, schema.Fault{Tag: schema.InvalidValue, Path: x.Path(), Message: err.Error()})
		}
		return true
	})
	return faults
}

// matching returns the rules for a user, in their order.
func (r *Rules) matching(user string, f func(rule) bool) (permit, found bool) {
	for _, l := range r.lists {
		if !slices.ContainsFunc(l.groups, func(g string) bool { return g == "*" || slices.Contains(r.groups[user], g) }) {
			continue
		}
		for _, x := range l.rules {
			if f(x) {
				return x.permit, true
			}
		}
	}
	return false, false
}

// has tells whether a rule is about an operation.
func (x rule) has(op Op) bool {
	return x.ops == "*" || slices.Contains(strings.Fields(x.ops), string(op))
}

// Node tells whether a user may do something to a node (RFC 8341, 3.4.5).
func (r *Rules) Node(user string, n *schema.Node, op Op) bool {
	if !r.on {
		return true
	}
	permit, found := r.matching(user, func(x rule) bool {
		return (x.module == "*" || x.module == n.Def.Module) && x.rpc == "" && x.notification == "" && x.has(op) &&
			(!x.about || covers(x.path, n))
	})
	switch {
	case found:
		return permit
	case n.Def.Module == Module:
		return false
	case op == Read:
		return r.read
	}
	return r.write
}

// covers tells whether a path names a node, or one that it stands under. A list without keys is all its entries.
func covers(path []schema.Step, n *schema.Node) bool {
	var line []*schema.Node
	for x := n; x.Parent != nil; x = x.Parent {
		line = append(line, x)
	}
	slices.Reverse(line)
	if len(path) > len(line) {
		return false
	}
	for i, s := range path {
		if line[i].Def.Name != s.Name {
			return false
		}
		for k, v := range s.Keys {
			is := line[i].Value
			if k != "." {
				is, _ = line[i].Leaf(k)
			}
			if is != v {
				return false
			}
		}
	}
	return true
}

// Path tells whether a user may read what stands at a path, and all that it stands under, also where nothing does now.
func (r *Rules) Path(user string, root *schema.Def, path string) bool {
	if !r.on {
		return true
	}
	steps, err := schema.ParsePath(path)
	if err != nil {
		return false
	}
	at := &schema.Node{Def: root}
	for _, s := range steps {
		d := at.Def.Child(s.Name)
		if d == nil {
			return false
		}
		var keys []string
		for _, k := range d.Keys {
			keys = append(keys, s.Keys[k])
		}
		if d.Leafy() {
			keys = []string{s.Keys["."]}
		}
		c, err := at.Add(d, keys...)
		if err != nil && !errors.Is(err, schema.ErrExists) {
			return false
		}
		if !(d.Leafy() && d.IsKey()) && !r.Node(user, c, Read) {
			return false
		}
		at = c
	}
	return true
}

// closed are the operations that nobody may call whom no rule permits (RFC 8341, 3.2.8).
var closed = []string{"kill-session", "delete-config"}

// Call tells whether a user may call an operation (RFC 8341, 3.4.4).
func (r *Rules) Call(user, module, name string) bool {
	if !r.on || name == "close-session" {
		return true
	}
	permit, found := r.matching(user, func(x rule) bool {
		return (x.module == "*" || x.module == module) && !x.about && x.notification == "" && (x.rpc == "" || x.rpc == "*" || x.rpc == name) &&
			x.has(Exec)
	})
	if found {
		return permit
	}
	return r.exec && !slices.Contains(closed, name)
}

// Hear tells whether a user may be told of a notification (RFC 8341, 3.4.6).
func (r *Rules) Hear(user, module, name string) bool {
	if !r.on {
		return true
	}
	permit, found := r.matching(user, func(x rule) bool {
		return (x.module == "*" || x.module == module) && !x.about && x.rpc == "" &&
			(x.notification == "" || x.notification == "*" || x.notification == name) && x.has(Read)
	})
	if found {
		return permit
	}
	return r.read
}

// Shown takes off a tree what a user may not read.
func (r *Rules) Shown(user string, tree *schema.Node) {
	if !r.on {
		return
	}
	for _, c := range slices.Clone(tree.Children()) {
		if !r.Node(user, c, Read) && !(c.Def.Leafy() && c.Def.IsKey()) {
			tree.Remove(c)
			continue
		}
		r.Shown(user, c)
	}
}

// Changes tells which of the changes between two trees a user may not make.
func (r *Rules) Changes(user string, old, next *schema.Node, changes []schema.Change) (faults []schema.Fault) {
	if !r.on {
		return nil
	}
	for _, c := range changes {
		op, at := Update, next
		switch {
		case c.Old == nil:
			op = Create
		case c.New == nil:
			op, at = Delete, old
		}
		n, err := at.Find(c.Path)
		if err != nil || !r.Node(user, n, op) {
			faults = append(faults, schema.Fault{Tag: schema.AccessDenied, Path: c.Path,
				Message: fmt.Sprintf("%s may not %s it", user, op)})
			if len(faults) >= 10 {
				break
			}
		}
	}
	return faults
}
