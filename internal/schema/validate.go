package schema

import (
	"fmt"
	"strings"

	"github.com/antchfx/xpath"
)

// Tag is a NETCONF error-tag (RFC 6241, appendix A).
type Tag string

// The error-tags of validation, edits and locks.
const (
	DataExists            Tag = "data-exists"
	DataMissing           Tag = "data-missing"
	InvalidValue          Tag = "invalid-value"
	MissingElement        Tag = "missing-element"
	UnknownElement        Tag = "unknown-element"
	BadElement            Tag = "bad-element"
	OperationFailed       Tag = "operation-failed"
	ResourceDenied        Tag = "resource-denied"
	AccessDenied          Tag = "access-denied"
	LockDenied            Tag = "lock-denied"
	InUse                 Tag = "in-use"
	OperationNotSupported Tag = "operation-not-supported"
)

// Fault is an error at an instance, with the fields of a NETCONF rpc-error. AppTag, the error-app-tag, may be empty.
type Fault struct {
	Tag     Tag
	AppTag  string
	Path    string // of the instance, or empty
	Message string
}

// Error returns the path and the message.
func (f Fault) Error() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// maxFaults is the maximum number of faults that one validation reports.
const maxFaults = 100

// checker holds the state of one validation. leafrefValues caches instanceValues.
type checker struct {
	faults        []Fault
	leafrefValues map[*Def]map[string]struct{}
	root          *Node
}

// Validate checks all constraints on a complete tree and returns the faults, at most maxFaults (RFC 7950, 8.3.3, with
// the tags of section 15). Values must already be canonical. XPath conditions see default values as if they were set.
// The tree is not changed.
func (m *Model) Validate(tree *Node) []Fault {
	k := &checker{root: tree.Clone(), leafrefValues: map[*Def]map[string]struct{}{}}
	k.root.fillDefaults()
	k.checkNode(k.root)
	return k.faults
}

// WithDefaults returns a copy of a tree in which all defaults in use are set (RFC 6243, 3.1), as conditions see them.
func WithDefaults(tree *Node) *Node {
	c := tree.Clone()
	c.fillDefaults()
	return c
}

// fillDefaults sets the default values below a node and adds its missing non-presence containers.
func (n *Node) fillDefaults() {
	for _, d := range n.Def.Children {
		if !d.Config {
			continue
		}
		switch {
		case d.Kind == Container && !d.Presence:
			_, _ = n.Add(d) // ErrExists is fine
		case d.Kind == Leaf && len(d.Default) == 1:
			if v, err := d.Canonical(d.Default[0]); err == nil {
				_, _ = n.Add(d, v)
			}
		}
	}
	for _, c := range n.children {
		if !c.Def.HasValue() {
			c.fillDefaults()
		}
	}
}

// addFault records a fault at a node, or at its child childName unless that is empty. It reports whether further faults
// can be recorded.
func (k *checker) addFault(tag Tag, appTag string, at *Node, childName, message string) bool {
	path := at.Path()
	if childName != "" {
		path = strings.TrimSuffix(path, "/") + "/" + childName
	}
	if len(k.faults) < maxFaults {
		k.faults = append(k.faults, Fault{tag, appTag, path, message})
	}
	return len(k.faults) < maxFaults
}

// checkNode checks a node and its descendants. State data is skipped.
func (k *checker) checkNode(n *Node) {
	d := n.Def
	if len(k.faults) >= maxFaults || d.Parent != nil && !d.Config {
		return
	}
	if d.when != nil && !holds(*d.when, n) {
		k.addFault(UnknownElement, "", n, "", "it is there only when "+d.when.text)
	}
	if d.leafrefTarget != nil {
		if _, ok := k.instanceValues(d.leafrefTarget)[n.Value]; !ok {
			k.addFault(DataMissing, "instance-required", n, "", fmt.Sprintf("there is no %s of the value %q", d.leafrefTarget, n.Value))
		}
	}
	counts := map[*Def]uint64{}
	for _, c := range n.Children() {
		counts[c.Def]++
	}
	for _, c := range d.Children { // missing children are reported first, since conditions fail because of them
		k.checkChild(n, c, counts[c])
	}
	for _, c := range d.musts {
		if !holds(c, n) {
			message := c.message
			if message == "" {
				message = "must " + c.text
			}
			k.addFault(OperationFailed, c.appTag, n, "", message)
		}
	}
	for _, c := range n.Children() {
		k.checkNode(c)
	}
}

// checkChild checks mandatory, min-elements, max-elements and unique of the child definition c in the instance n, which
// has count instances of it.
func (k *checker) checkChild(n *Node, c *Def, count uint64) {
	switch {
	case !c.Config:
		return
	case c.Mandatory && count == 0 && c.isRequired(n):
		k.addFault(DataMissing, "", n, c.Name, "it is mandatory")
	case c.Min > 0 && count < c.Min:
		k.addFault(OperationFailed, "too-few-elements", n, c.Name, "at least "+elementCount(c.Min)+" are needed")
	case c.Max > 0 && count > c.Max:
		k.addFault(OperationFailed, "too-many-elements", n, c.Name, "at most "+elementCount(c.Max)+" are allowed")
	}
	for _, set := range c.uniques {
		k.checkUnique(n, c, set)
	}
}

// isRequired reports whether a mandatory child has to exist in n: only if its when condition holds. The context node of
// the condition is the child, so a temporary instance is added to evaluate it.
func (d *Def) isRequired(n *Node) bool {
	if d.when == nil {
		return true
	}
	c, err := n.Add(d, "")
	if err != nil {
		return true
	}
	defer n.Remove(c)
	return holds(*d.when, c)
}

// checkUnique checks that no two entries of a list have equal values in all leaves of a unique statement. Entries that
// lack one of the leaves are ignored (RFC 7950, 7.8.3).
func (k *checker) checkUnique(n *Node, list *Def, set [][]string) {
	seen := map[string]*Node{}
	for _, e := range n.Children() {
		if e.Def != list {
			continue
		}
		values := make([]string, 0, len(set))
		for _, p := range set {
			at := e
			for _, name := range p {
				if at = at.children[name]; at == nil {
					break
				}
			}
			if at == nil {
				break
			}
			values = append(values, at.Value)
		}
		if len(values) < len(set) {
			continue
		}
		id := strings.Join(values, "\x00")
		if first := seen[id]; first != nil {
			var names []string
			for _, p := range set {
				names = append(names, strings.Join(p, "/"))
			}
			if !k.addFault(OperationFailed, "data-not-unique", e, "",
				fmt.Sprintf("%s is that of %s too", strings.Join(names, " with "), first.Path())) {
				return
			}
			continue
		}
		seen[id] = e
	}
}

// instanceValues returns the values of all instances of a leaf definition in the tree.
func (k *checker) instanceValues(d *Def) map[string]struct{} {
	if v, ok := k.leafrefValues[d]; ok {
		return v
	}
	var chain []*Def
	for x := d; x.Parent != nil; x = x.Parent {
		chain = append(chain, x)
	}
	out := map[string]struct{}{}
	var collect func(n *Node, depth int)
	collect = func(n *Node, depth int) {
		if depth < 0 {
			out[n.Value] = struct{}{}
			return
		}
		for _, c := range n.Children() {
			if c.Def == chain[depth] {
				collect(c, depth-1)
			}
		}
	}
	collect(k.root, len(chain)-1)
	k.leafrefValues[d] = out
	return out
}

// holds evaluates a condition with n as the context node, and converts the result to a boolean (XPath 1.0, 4.3).
func holds(c condition, n *Node) bool {
	switch v := c.expr.Evaluate(&navigator{n}).(type) {
	case bool:
		return v
	case float64:
		return v != 0 && v == v
	case string:
		return v != ""
	case *xpath.NodeIterator:
		return v.MoveNext()
	}
	return false
}

// Select returns the nodes of a tree that an XPath expression selects, in document order (RFC 6241, 8.9). Prefixes of
// names are ignored. An expression whose result is not a node-set is an error.
func Select(tree *Node, expression string) (out []*Node, err error) {
	defer func() { // the XPath library panics on some expressions that compile
		if p := recover(); p != nil {
			out, err = nil, fmt.Errorf("xpath %q: %v", truncate(expression), p)
		}
	}()
	e, err := xpath.Compile(stripPrefixes(expression))
	if err != nil {
		return nil, fmt.Errorf("xpath %q: %w", truncate(expression), err)
	}
	it, ok := e.Evaluate(&navigator{tree}).(*xpath.NodeIterator)
	if !ok {
		return nil, fmt.Errorf("xpath %q: it names no nodes", truncate(expression))
	}
	for it.MoveNext() {
		if x, ok := it.Current().(*navigator); ok {
			out = append(out, x.node)
		}
	}
	return out, nil
}

// navigator implements xpath.NodeNavigator on a tree.
type navigator struct{ node *Node }

// NodeType returns RootNode for the root and ElementNode for all other nodes.
func (x *navigator) NodeType() xpath.NodeType {
	if x.node.Parent == nil {
		return xpath.RootNode
	}
	return xpath.ElementNode
}

func (x *navigator) LocalName() string { return x.node.Def.Name }
func (x *navigator) Prefix() string    { return "" }

// Value returns the string-value of a node: the text of the node and its descendants (XPath 1.0, 5.2).
func (x *navigator) Value() string {
	if x.node.Def.HasValue() {
		return x.node.Value
	}
	var b strings.Builder
	x.node.Walk(func(n *Node) bool {
		b.WriteString(n.Value)
		return true
	})
	return b.String()
}

func (x *navigator) Copy() xpath.NodeNavigator { return &navigator{x.node} }

func (x *navigator) MoveToRoot() {
	for x.node.Parent != nil {
		x.node = x.node.Parent
	}
}

func (x *navigator) MoveToParent() bool {
	if x.node.Parent == nil {
		return false
	}
	x.node = x.node.Parent
	return true
}

func (x *navigator) MoveToNextAttribute() bool { return false }

func (x *navigator) MoveToChild() bool {
	if children := x.node.Children(); len(children) > 0 {
		x.node = children[0]
		return true
	}
	return false
}

func (x *navigator) MoveToFirst() bool {
	if x.node.Parent == nil {
		return false
	}
	x.node = x.node.Parent.Children()[0]
	return true
}

func (x *navigator) MoveToNext() bool     { return x.moveSibling(1) }
func (x *navigator) MoveToPrevious() bool { return x.moveSibling(-1) }

// moveSibling moves by an offset among the siblings, and reports whether there is such a sibling.
func (x *navigator) moveSibling(offset int) bool {
	if x.node.Parent == nil {
		return false
	}
	siblings := x.node.Parent.Children()
	i := x.node.index(siblings) + offset
	if i < 0 || i >= len(siblings) {
		return false
	}
	x.node = siblings[i]
	return true
}

func (x *navigator) MoveTo(other xpath.NodeNavigator) bool {
	o, ok := other.(*navigator)
	if ok {
		x.node = o.node
	}
	return ok
}
