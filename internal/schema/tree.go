package schema

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Node is an instance of a definition. While a tree changes, only one goroutine may use it.
type Node struct {
	Def    *Def
	Value  string // of a leaf or an element of a leaf-list
	Parent *Node

	id          string
	children    map[string]*Node
	sorted      []*Node // cache of Children; nil after a child was added or removed
	seq         int     // insertion number among the siblings; orders the entries of user-ordered lists
	lastSeq     int     // last insertion number given to a child
	sortedIndex int     // index in the parent's sorted children when they were last sorted
}

// index returns the index of a node among siblings, its parent's Children.
func (n *Node) index(siblings []*Node) int {
	if n.sortedIndex < len(siblings) && siblings[n.sortedIndex] == n {
		return n.sortedIndex
	}
	return slices.Index(siblings, n)
}

// NewTree returns the root of a new empty tree.
func (m *Model) NewTree() *Node { return &Node{Def: m.Root} }

// childID returns the key of a child in Node.children: its name, followed by the keys of a list entry or the value of a
// leaf-list element.
func childID(d *Def, keys []string) string {
	if d.Kind != List && d.Kind != LeafList {
		return d.Name
	}
	n := len(d.Name)
	for _, k := range keys {
		n += 1 + len(k)
	}
	b := append(make([]byte, 0, n), d.Name...)
	for _, k := range keys {
		b = append(append(b, 0), k...) // no value contains a zero byte, see canonicalBuiltin
	}
	return string(b)
}

// Keys returns the keys of a list entry or the value of a leaf-list element, and nil for other nodes.
func (n *Node) Keys() []string {
	if n.Def.Kind == LeafList {
		return []string{n.Value}
	}
	if n.Def.Kind != List {
		return nil
	}
	return strings.Split(n.id, "\x00")[1:]
}

// Get returns a child, or nil. keys are the keys of a list entry or the value of a leaf-list element, in canonical
// form.
func (n *Node) Get(name string, keys ...string) *Node {
	d := n.Def.byName[name]
	if d == nil {
		return nil
	}
	return n.children[childID(d, keys)]
}

// Leaf returns the value of a child leaf, and whether the leaf exists.
func (n *Node) Leaf(name string) (string, bool) {
	if c := n.children[name]; c != nil && c.Def.Kind == Leaf {
		return c.Value, true
	}
	return "", false
}

// Len returns the number of children.
func (n *Node) Len() int { return len(n.children) }

// Children returns the children in document order: by definition, then entries and elements by their keys, or by
// insertion in user-ordered lists. The caller must not change the slice.
func (n *Node) Children() []*Node {
	if n.sorted == nil && len(n.children) > 0 {
		n.sorted = make([]*Node, 0, len(n.children))
		for _, c := range n.children {
			n.sorted = append(n.sorted, c)
		}
		slices.SortFunc(n.sorted, func(a, b *Node) int {
			if a.Def != b.Def {
				return cmp.Or(cmp.Compare(a.Def.position, b.Def.position), cmp.Compare(a.id, b.id))
			}
			if a.Def.UserOrdered {
				return cmp.Compare(a.seq, b.seq)
			}
			return slices.CompareFunc(a.Keys(), b.Keys(), compareKeys)
		})
		for i, c := range n.sorted {
			c.sortedIndex = i
		}
	}
	return n.sorted
}

// compareKeys orders integers by value, and other keys as text.
func compareKeys(a, b string) int {
	x, errX := strconv.ParseInt(a, 10, 64)
	y, errY := strconv.ParseInt(b, 10, 64)
	if errX == nil && errY == nil {
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(a, b))
	}
	return cmp.Compare(a, b)
}

// ErrExists reports that a child to add already exists, ErrMissing that there is no node at a path.
var (
	ErrExists  = errors.New("it is there already")
	ErrMissing = errors.New("it is not there")
)

// Add adds a child. keys are the keys of a list entry, whose key leaves are added too, or the value of a leaf or a
// leaf-list element; they have to be canonical. A child that already exists is returned with ErrExists. Children of
// other cases of the same choice are removed.
func (n *Node) Add(d *Def, keys ...string) (*Node, error) {
	if d.Parent != n.Def {
		return nil, fmt.Errorf("schema: %s has no child %s", n.Def, d)
	}
	id := childID(d, keys)
	if c := n.children[id]; c != nil {
		return c, ErrExists
	}
	c := &Node{Def: d, Parent: n, id: id}
	if d.HasValue() && len(keys) > 0 {
		c.Value = keys[0]
	}
	if n.children == nil {
		n.children = map[string]*Node{}
	}
	for _, x := range n.children { // a node of one case removes the nodes of the others (RFC 7950, 7.9)
		if d.choiceName != "" && x.Def.choiceName == d.choiceName && x.Def.caseName != d.caseName {
			n.Remove(x)
		}
	}
	n.lastSeq++
	c.seq = n.lastSeq
	n.children[id], n.sorted = c, nil
	if d.Kind == List {
		if len(keys) != len(d.Keys) {
			delete(n.children, id)
			return nil, fmt.Errorf("schema: %s needs %d keys", d, len(d.Keys))
		}
		for i, k := range d.Keys {
			if _, err := c.Add(d.byName[k], keys[i]); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// Set sets the value of a child leaf, which has to be canonical, and reports whether that changed the tree.
func (n *Node) Set(d *Def, value string) (bool, error) {
	c, err := n.Add(d, value)
	if errors.Is(err, ErrExists) {
		changed := c.Value != value
		c.Value = value
		return changed, nil
	}
	return true, err
}

// Remove removes a child with its descendants, and nothing if c is not a child of n.
func (n *Node) Remove(c *Node) {
	if n.children[c.id] == c {
		delete(n.children, c.id)
		n.sorted, c.Parent = nil, nil
	}
}

// Clone returns a deep copy of a node. The copy has no parent.
func (n *Node) Clone() *Node {
	c := &Node{Def: n.Def, Value: n.Value, id: n.id, seq: n.seq, lastSeq: n.lastSeq}
	if len(n.children) > 0 {
		c.children = make(map[string]*Node, len(n.children))
		for id, k := range n.children {
			x := k.Clone()
			x.Parent = c
			c.children[id] = x
		}
	}
	return c
}

// AddCopy adds a deep copy of x as a child, replaces a child with the same name and keys, and returns the copy.
func (n *Node) AddCopy(x *Node) *Node {
	c := x.Clone()
	n.lastSeq++
	c.Parent, c.seq = n, n.lastSeq
	if n.children == nil {
		n.children = map[string]*Node{}
	}
	n.children[c.id], n.sorted = c, nil
	return c
}

// Walk calls f for a node and its descendants in document order. It skips the descendants of a node for which f returns
// false.
func (n *Node) Walk(f func(*Node) bool) {
	if !f(n) {
		return
	}
	for _, c := range n.Children() {
		c.Walk(f)
	}
}

// Path returns the path from the root, with keys: an instance-identifier without prefixes.
func (n *Node) Path() string {
	if n.Parent == nil {
		return "/"
	}
	var b strings.Builder
	n.writePath(&b)
	return b.String()
}

// writePath writes the path of a node; the root's is empty.
func (n *Node) writePath(b *strings.Builder) {
	if n.Parent == nil {
		return
	}
	n.Parent.writePath(b)
	b.WriteString("/" + n.Def.Name)
	for i, k := range n.Keys() {
		name := "."
		if n.Def.Kind == List {
			name = n.Def.Keys[i]
		}
		b.WriteString("[" + name + "=" + Quote(k) + "]")
	}
}

// Quote quotes a value for a path. Quoted strings have no escapes (RFC 7950, 14): a value without single quotes is put
// in single quotes, any other in double quotes, with &quot; for double quotes in the value.
func Quote(v string) string {
	if !strings.Contains(v, "'") {
		return "'" + v + "'"
	}
	return `"` + strings.ReplaceAll(v, `"`, "&quot;") + `"`
}

// Find returns the node below n at a path in the form of Path, or an error that wraps ErrMissing.
func (n *Node) Find(text string) (*Node, error) {
	steps, err := ParsePath(text)
	if err != nil {
		return nil, err
	}
	at := n
	for _, s := range steps {
		d := at.Def.byName[s.Name]
		if d == nil {
			return nil, fmt.Errorf("%s: no node %s in the model", text, s.Name)
		}
		keys, err := s.canonicalKeys(d)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", text, err)
		}
		if at = at.children[childID(d, keys)]; at == nil {
			return nil, fmt.Errorf("%s: %w", text, ErrMissing)
		}
	}
	return at, nil
}

// Step is one node of a path.
type Step struct {
	Name string
	Keys map[string]string // "." for an element of a leaf-list
}

// canonicalKeys returns the keys of a step in the model's order and in canonical form.
func (s Step) canonicalKeys(d *Def) ([]string, error) {
	names := d.Keys
	if d.Kind == LeafList {
		names = []string{"."}
	}
	if len(s.Keys) != len(names) {
		return nil, fmt.Errorf("%s needs the keys %s", d.Name, strings.Join(names, ", "))
	}
	out := make([]string, 0, len(names))
	for _, k := range names {
		v, ok := s.Keys[k]
		if !ok {
			return nil, fmt.Errorf("%s needs the key %s", d.Name, k)
		}
		leaf := d
		if k != "." {
			leaf = d.byName[k]
		}
		v, err := leaf.Canonical(v)
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}

// ParsePath parses a path in the form of Path. Prefixes of names are ignored. The model is not consulted.
func ParsePath(text string) ([]Step, error) {
	var out []Step
	rest := text
	syntaxError := func(why string) ([]Step, error) { return nil, fmt.Errorf("path %q: %s", truncate(text), why) }
	for rest = strings.TrimSuffix(rest, "/"); rest != ""; {
		var ok bool
		if rest, ok = strings.CutPrefix(rest, "/"); !ok {
			return syntaxError("a / is needed")
		}
		end := strings.IndexAny(rest, "/[")
		if end < 0 {
			end = len(rest)
		}
		s := Step{Name: rest[:end]}
		if i := strings.IndexByte(s.Name, ':'); i >= 0 {
			s.Name = s.Name[i+1:]
		}
		if s.Name == "" {
			return syntaxError("a name is missing")
		}
		for rest = rest[end:]; strings.HasPrefix(rest, "["); {
			name, tail, ok := strings.Cut(rest[1:], "=")
			if name = strings.TrimSpace(name); !ok || len(tail) < 2 || tail[0] != '\'' && tail[0] != '"' {
				return syntaxError("a key and a quoted value are needed")
			}
			end := strings.IndexByte(tail[1:], tail[0])
			if end < 0 || !strings.HasPrefix(tail[end+2:], "]") {
				return syntaxError("a key does not end")
			}
			if i := strings.IndexByte(name, ':'); i >= 0 {
				name = name[i+1:]
			}
			if s.Keys == nil {
				s.Keys = map[string]string{}
			}
			if _, twice := s.Keys[name]; twice {
				return syntaxError("a key is given twice")
			}
			s.Keys[name] = strings.ReplaceAll(tail[1:end+1], "&quot;", `"`)
			rest = tail[end+3:]
		}
		out = append(out, s)
	}
	return out, nil
}
