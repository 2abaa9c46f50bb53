// Package nacm implements the NETCONF access control model (RFC 8341): it decides which user may access which nodes,
// operations and notifications, by the rules in the configuration. It does no I/O and is independent of the transport.
package nacm

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"brookmux/internal/schema"
)

// Module is the YANG module of the rules. Access to its nodes is denied unless a rule permits it (RFC 8341, 3.2.8).
const Module = "ietf-netconf-acm"

// Op is an access operation.
type Op string

// The access operations (RFC 8341, 3.2.2).
const (
	Create Op = "create"
	Read   Op = "read"
	Update Op = "update"
	Delete Op = "delete"
	Exec   Op = "exec"
)

// rule is an access control rule. operations is "*" or a list of access operations separated by spaces.
type rule struct {
	module, rpc, notification string // names; "*" matches any, empty is not set
	path                      []schema.Step
	hasPath                   bool // the rule applies to the data nodes at path and below it
	operations                string
	permit                    bool
}

// ruleList is a rule-list entry: rules that apply to the users of some groups. Group "*" contains all users.
type ruleList struct {
	groups []string
	rules  []rule
}

// Rules are the access control rules of one configuration. They do not change after NewRules.
type Rules struct {
	enabled                                bool
	readDefault, writeDefault, execDefault bool
	groups                                 map[string][]string // group names by user name
	ruleLists                              []ruleList
}

// leafValue returns the value of a child leaf, else its default, else the empty string.
func leafValue(n *schema.Node, leaf string) string {
	if v, ok := n.Leaf(leaf); ok {
		return v
	}
	if d := n.Def.Child(leaf).Default; len(d) == 1 {
		return d[0]
	}
	return ""
}

// NewRules reads the rules from a configuration tree. Without a nacm container, or with enable-nacm false, all access
// is permitted.
func NewRules(tree *schema.Node) *Rules {
	r := &Rules{groups: map[string][]string{}}
	n := tree.Get("nacm")
	if n == nil || leafValue(n, "enable-nacm") != "true" {
		return r
	}
	r.enabled = true
	r.readDefault, r.writeDefault, r.execDefault = leafValue(n, "read-default") == "permit",
		leafValue(n, "write-default") == "permit", leafValue(n, "exec-default") == "permit"
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
		var x ruleList
		for _, c := range l.Children() {
			switch c.Def.Name {
			case "group":
				x.groups = append(x.groups, c.Value)
			case "rule":
				x.rules = append(x.rules, parseRule(c))
			}
		}
		r.ruleLists = append(r.ruleLists, x)
	}
	return r
}

// parseRule reads a rule entry.
func parseRule(n *schema.Node) rule {
	x := rule{module: leafValue(n, "module-name"), rpc: leafValue(n, "rpc-name"), notification: leafValue(n, "notification-name"),
		operations: leafValue(n, "access-operations"), permit: leafValue(n, "action") == "permit"}
	if p, ok := n.Leaf("path"); ok {
		x.hasPath = true
		x.path, _ = schema.ParsePath(p) // Check has rejected invalid paths
	}
	return x
}

// Check returns the faults in the rules of a tree that the YANG model does not exclude: paths that can't be parsed or
// that name no node of the model.
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

// firstMatch returns the action of the first rule for a user's groups that matches accepts, and whether there is one.
func (r *Rules) firstMatch(user string, matches func(rule) bool) (permit, found bool) {
	for _, l := range r.ruleLists {
		if !slices.ContainsFunc(l.groups, func(g string) bool { return g == "*" || slices.Contains(r.groups[user], g) }) {
			continue
		}
		for _, x := range l.rules {
			if matches(x) {
				return x.permit, true
			}
		}
	}
	return false, false
}

// appliesTo reports whether a rule applies to an access operation.
func (x rule) appliesTo(op Op) bool {
	return x.operations == "*" || slices.Contains(strings.Fields(x.operations), string(op))
}

// MayAccess reports whether a user may perform an access operation on a node (RFC 8341, 3.4.5).
func (r *Rules) MayAccess(user string, n *schema.Node, op Op) bool {
	if !r.enabled {
		return true
	}
	permit, found := r.firstMatch(user, func(x rule) bool {
		return (x.module == "*" || x.module == n.Def.Module) && x.rpc == "" && x.notification == "" && x.appliesTo(op) &&
			(!x.hasPath || pathCovers(x.path, n))
	})
	switch {
	case found:
		return permit
	case n.Def.Module == Module:
		return false
	case op == Read:
		return r.readDefault
	}
	return r.writeDefault
}

// pathCovers reports whether a path names a node or one of its ancestors. A list step without keys matches all entries.
func pathCovers(path []schema.Step, n *schema.Node) bool {
	var chain []*schema.Node
	for x := n; x.Parent != nil; x = x.Parent {
		chain = append(chain, x)
	}
	slices.Reverse(chain)
	if len(path) > len(chain) {
		return false
	}
	for i, s := range path {
		if chain[i].Def.Name != s.Name {
			return false
		}
		for k, v := range s.Keys {
			actual := chain[i].Value
			if k != "." {
				actual, _ = chain[i].Leaf(k)
			}
			if actual != v {
				return false
			}
		}
	}
	return true
}

// MayRead reports whether a user may read the node at a path and all its ancestors. The node need not exist in any
// tree.
func (r *Rules) MayRead(user string, root *schema.Def, path string) bool {
	if !r.enabled {
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
		if d.HasValue() {
			keys = []string{s.Keys["."]}
		}
		c, err := at.Add(d, keys...)
		if err != nil && !errors.Is(err, schema.ErrExists) {
			return false
		}
		if !(d.HasValue() && d.IsKey()) && !r.MayAccess(user, c, Read) {
			return false
		}
		at = c
	}
	return true
}

// deniedByDefault are the protocol operations that are denied unless a rule permits them (RFC 8341, 3.2.8).
var deniedByDefault = []string{"kill-session", "delete-config"}

// MayCall reports whether a user may call a protocol operation (RFC 8341, 3.4.4). close-session is always permitted.
func (r *Rules) MayCall(user, module, name string) bool {
	if !r.enabled || name == "close-session" {
		return true
	}
	permit, found := r.firstMatch(user, func(x rule) bool {
		return (x.module == "*" || x.module == module) && !x.hasPath && x.notification == "" && (x.rpc == "" || x.rpc == "*" || x.rpc == name) &&
			x.appliesTo(Exec)
	})
	if found {
		return permit
	}
	return r.execDefault && !slices.Contains(deniedByDefault, name)
}

// MayReceive reports whether a user may receive a notification (RFC 8341, 3.4.6).
func (r *Rules) MayReceive(user, module, name string) bool {
	if !r.enabled {
		return true
	}
	permit, found := r.firstMatch(user, func(x rule) bool {
		return (x.module == "*" || x.module == module) && !x.hasPath && x.rpc == "" &&
			(x.notification == "" || x.notification == "*" || x.notification == name) && x.appliesTo(Read)
	})
	if found {
		return permit
	}
	return r.readDefault
}

// RemoveUnreadable removes from a tree the nodes that a user may not read. Key leaves of readable entries stay.
func (r *Rules) RemoveUnreadable(user string, tree *schema.Node) {
	if !r.enabled {
		return
	}
	for _, c := range slices.Clone(tree.Children()) {
		if !r.MayAccess(user, c, Read) && !(c.Def.HasValue() && c.Def.IsKey()) {
			tree.Remove(c)
			continue
		}
		r.RemoveUnreadable(user, c)
	}
}

// DeniedChanges returns an access-denied fault for each change between two trees that a user may not make, at most 10.
func (r *Rules) DeniedChanges(user string, old, next *schema.Node, changes []schema.Change) (faults []schema.Fault) {
	if !r.enabled {
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
		if err != nil || !r.MayAccess(user, n, op) {
			faults = append(faults, schema.Fault{Tag: schema.AccessDenied, Path: c.Path,
				Message: fmt.Sprintf("%s may not %s it", user, op)})
			if len(faults) >= 10 {
				break
			}
		}
	}
	return faults
}
