package schema

import (
	"fmt"
	"strings"

	"github.com/antchfx/xpath"
)

// Tag is an error's kind (RFC 6241, appendix A).
type Tag string

// The tags that validation and edits use.
const (
	DataExists       Tag = "data-exists"
	DataMissing      Tag = "data-missing"
	InvalidValue     Tag = "invalid-value"
	MissingElement   Tag = "missing-element"
	UnknownElement   Tag = "unknown-element"
	BadElement       Tag = "bad-element"
	OperationFailed  Tag = "operation-failed"
	ResourceDenied   Tag = "resource-denied"
	AccessDenied     Tag = "access-denied"
	LockDenied       Tag = "lock-denied"
	InUse            Tag = "in-use"
	OperationUnknown Tag = "operation-not-supported"
)

// Fault is what is wrong at a place. It is an error.
type Fault struct {
	Tag     Tag
	AppTag  string
	Path    string // of the instance
	Message string
}

// Error implements error.
func (f Fault) Error() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// mostFaults bounds what one validation reports.
const mostFaults = 100

// checker is one validation.
type checker struct {
	faults  []Fault
	targets map[*Def]map[string]struct{}
	root    *Node
}

// Validate tells all that is wrong with a tree as a whole, or the first hundred faults of it (RFC 7950, 8.3.3, with
// the tags of section 15). Values are canonical already. Conditions see defaults as if they were set.
func (m *Model) Validate(tree *Node) []Fault {
	k := &checker{root: tree.Clone(), targets: map[*Def]map[string]struct{}{}}
	k.root.fill()
	k.node(k.root)
	return k.faults
}

// WithDefaults returns a copy of a tree in which all defaults in use are set (RFC 6243, 3.1), as conditions see it.
func WithDefaults(tree *Node) *Node {
	c := tree.Clone()
	c.fill()
	return c
}

// fill sets the defaults under a node; containers without presence are always there.
func (n *Node) fill() {
	for _, d := range n.Def.Children {
		if !d.Config {
			continue
		}
		switch {
		case d.Kind == Container && !d.Presence:
			_, _ = n.Add(d) // there already is as good
		case d.Kind == Leaf && len(d.Default) == 1:
			if v, err := d.Canonical(d.Default[0]); err == nil {
				_, _ = n.Add(d, v)
			}
		}
	}
	for _, c := range n.kids {
		if !c.Def.Leafy() {
			c.fill()
		}
	}
}

// fault books one, and tells whether there is room for more.
func (k *checker) fault(tag Tag, app string, at *Node, under, message string) bool {
	path := at.Path()
	if under != "" {
		path = strings.TrimSuffix(path, "/") + "/" + under
	}
	if len(k.faults) < mostFaults {
		k.faults = append(k.faults, Fault{tag, app, path, message})
	}
	return len(k.faults) < mostFaults
}

// node checks a node and all under it.
func (k *checker) node(n *Node) {
	d := n.Def
	if len(k.faults) >= mostFaults || d.Parent != nil && !d.Config {
		return
	}
	if d.when != nil && !holds(*d.when, n) {
		k.fault(UnknownElement, "", n, "", "it is there only when "+d.when.text)
	}
	if d.target != nil {
		if _, ok := k.values(d.target)[n.Value]; !ok {
			k.fault(DataMissing, "instance-required", n, "", fmt.Sprintf("there is no %s of the value %q", d.target, n.Value))
		}
	}
	counts := map[*Def]uint64{}
	for _, c := range n.Children() {
		counts[c.Def]++
	}
	for _, c := range d.Children { // what is missing comes first: conditions fail where it is
		k.child(n, c, counts[c])
	}
	for _, c := range d.musts {
		if !holds(c, n) {
			message := c.message
			if message == "" {
				message = "must " + c.text
			}
			k.fault(OperationFailed, c.appTag, n, "", message)
		}
	}
	for _, c := range n.Children() {
		k.node(c)
	}
}

// child checks what a node says of one kind of its children.
func (k *checker) child(n *Node, c *Def, count uint64) {
	switch {
	case !c.Config:
		return
	case c.Mandatory && count == 0 && c.wanted(n):
		k.fault(DataMissing, "", n, c.Name, "it is mandatory")
	case c.Min > 0 && count < c.Min:
		k.fault(OperationFailed, "too-few-elements", n, c.Name, "at least "+elements(c.Min)+" are needed")
	case c.Max > 0 && count > c.Max:
		k.fault(OperationFailed, "too-many-elements", n, c.Name, "at most "+elements(c.Max)+" are allowed")
	}
	for _, set := range c.uniques {
		k.unique(n, c, set)
	}
}

// wanted tells whether a mandatory child without an instance is missed: not where its condition does not hold. The
// condition is one of the child, and is evaluated on one that is there for that.
func (d *Def) wanted(n *Node) bool {
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

// unique checks that no two entries agree in all leaves of a set; entries without one of them don't count.
func (k *checker) unique(n *Node, list *Def, set [][]string) {
	seen := map[string]*Node{}
	for _, e := range n.Children() {
		if e.Def != list {
			continue
		}
		values := make([]string, 0, len(set))
		for _, p := range set {
			at := e
			for _, name := range p {
				if at = at.kids[name]; at == nil {
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
			if !k.fault(OperationFailed, "data-not-unique", e, "",
				fmt.Sprintf("%s is that of %s too", strings.Join(names, " with "), first.Path())) {
				return
			}
			continue
		}
		seen[id] = e
	}
}

// values returns the values of all instances of a definition.
func (k *checker) values(d *Def) map[string]struct{} {
	if v, ok := k.targets[d]; ok {
		return v
	}
	var line []*Def
	for x := d; x.Parent != nil; x = x.Parent {
		line = append(line, x)
	}
	out := map[string]struct{}{}
	var collect func(n *Node, depth int)
	collect = func(n *Node, depth int) {
		if depth < 0 {
			out[n.Value] = struct{}{}
			return
		}
		for _, c := range n.Children() {
			if c.Def == line[depth] {
				collect(c, depth-1)
			}
		}
	}
	collect(k.root, len(line)-1)
	k.targets[d] = out
	return out
}

// holds evaluates a condition with a node as its context.
func holds(c must, n *Node) bool {
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

// Select returns the nodes under a tree that an expression names, in document order (RFC 6241, 8.9). Prefixes of
// names are passed over.
func Select(tree *Node, expression string) (out []*Node, err error) {
	defer func() { // the library panics on some expressions that compile
		if p := recover(); p != nil {
			out, err = nil, fmt.Errorf("xpath %q: %v", clip(expression), p)
		}
	}()
	e, err := xpath.Compile(bare(expression))
	if err != nil {
		return nil, fmt.Errorf("xpath %q: %w", clip(expression), err)
	}
	it, ok := e.Evaluate(&navigator{tree}).(*xpath.NodeIterator)
	if !ok {
		return nil, fmt.Errorf("xpath %q: it names no nodes", clip(expression))
	}
	for it.MoveNext() {
		if x, ok := it.Current().(*navigator); ok {
			out = append(out, x.at)
		}
	}
	return out, nil
}

// navigator walks a tree for XPath.
type navigator struct{ at *Node }

// NodeType and the methods below implement xpath.NodeNavigator.
func (x *navigator) NodeType() xpath.NodeType {
	if x.at.Parent == nil {
		return xpath.RootNode
	}
	return xpath.ElementNode
}

func (x *navigator) LocalName() string { return x.at.Def.Name }
func (x *navigator) Prefix() string    { return "" }

// Value is the text of a node and of all under it (XPath 1.0, 5.2).
func (x *navigator) Value() string {
	if x.at.Def.Leafy() {
		return x.at.Value
	}
	var b strings.Builder
	x.at.Walk(func(n *Node) bool {
		b.WriteString(n.Value)
		return true
	})
	return b.String()
}

func (x *navigator) Copy() xpath.NodeNavigator { return &navigator{x.at} }

func (x *navigator) MoveToRoot() {
	for x.at.Parent != nil {
		x.at = x.at.Parent
	}
}

func (x *navigator) MoveToParent() bool {
	if x.at.Parent == nil {
		return false
	}
	x.at = x.at.Parent
	return true
}

func (x *navigator) MoveToNextAttribute() bool { return false }

func (x *navigator) MoveToChild() bool {
	if kids := x.at.Children(); len(kids) > 0 {
		x.at = kids[0]
		return true
	}
	return false
}

func (x *navigator) MoveToFirst() bool {
	if x.at.Parent == nil {
		return false
	}
	x.at = x.at.Parent.Children()[0]
	return true
}

func (x *navigator) MoveToNext() bool     { return x.move(1) }
func (x *navigator) MoveToPrevious() bool { return x.move(-1) }

// move goes to a sibling.
func (x *navigator) move(by int) bool {
	if x.at.Parent == nil {
		return false
	}
	kids := x.at.Parent.Children()
	i := x.at.index(kids) + by
	if i < 0 || i >= len(kids) {
		return false
	}
	x.at = kids[i]
	return true
}

func (x *navigator) MoveTo(other xpath.NodeNavigator) bool {
	o, ok := other.(*navigator)
	if ok {
		x.at = o.at
	}
	return ok
}
