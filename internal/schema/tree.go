package schema

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Node is an instance of a definition. A tree belongs to one goroutine while it changes.
type Node struct {
	Def    *Def
	Value  string // of a leaf or an element of a leaf-list
	Parent *Node

	id     string
	kids   map[string]*Node
	sorted []*Node // nil when a child came or went
	turn   int     // of an entry in a list ordered by users: when it came
	turns  int     // given to the children so far
	place  int     // among the sorted children of the parent, as of the last sorting
}

// index is a node's place among its parent's children.
func (n *Node) index(kids []*Node) int {
	if n.place < len(kids) && kids[n.place] == n {
		return n.place
	}
	return slices.Index(kids, n)
}

// NewTree returns an empty tree: its root.
func (m *Model) NewTree() *Node { return &Node{Def: m.Root} }

// ident is what tells a child from its siblings: the name, and the keys or the value where there may be more.
func ident(d *Def, keys []string) string {
	if d.Kind != List && d.Kind != LeafList {
		return d.Name
	}
	n := len(d.Name)
	for _, k := range keys {
		n += 1 + len(k)
	}
	b := append(make([]byte, 0, n), d.Name...)
	for _, k := range keys {
		b = append(append(b, 0), k...) // no value holds a zero, see canonical
	}
	return string(b)
}

// Keys returns a list entry's keys, or an element's value.
func (n *Node) Keys() []string {
	if n.Def.Kind == LeafList {
		return []string{n.Value}
	}
	if n.Def.Kind != List {
		return nil
	}
	return strings.Split(n.id, "\x00")[1:]
}

// Get returns a child, or nil; keys tell entries of lists and elements of leaf-lists, in canonical form.
func (n *Node) Get(name string, keys ...string) *Node {
	d := n.Def.byName[name]
	if d == nil {
		return nil
	}
	return n.kids[ident(d, keys)]
}

// Leaf returns a leaf's value, and whether it is there.
func (n *Node) Leaf(name string) (string, bool) {
	if c := n.kids[name]; c != nil && c.Def.Kind == Leaf {
		return c.Value, true
	}
	return "", false
}

// Len is the number of children.
func (n *Node) Len() int { return len(n.kids) }

// Children returns the children in their order: the model's, then by keys, numbers by their value.
func (n *Node) Children() []*Node {
	if n.sorted == nil && len(n.kids) > 0 {
		n.sorted = make([]*Node, 0, len(n.kids))
		for _, c := range n.kids {
			n.sorted = append(n.sorted, c)
		}
		slices.SortFunc(n.sorted, func(a, b *Node) int {
			if a.Def != b.Def {
				return cmp.Or(cmp.Compare(a.Def.order, b.Def.order), cmp.Compare(a.id, b.id))
			}
			if a.Def.Ordered {
				return cmp.Compare(a.turn, b.turn)
			}
			return slices.CompareFunc(a.Keys(), b.Keys(), compareKeys)
		})
		for i, c := range n.sorted {
			c.place = i
		}
	}
	return n.sorted
}

// compareKeys orders numbers by their value, and all else as text.
func compareKeys(a, b string) int {
	x, errX := strconv.ParseInt(a, 10, 64)
	y, errY := strconv.ParseInt(b, 10, 64)
	if errX == nil && errY == nil {
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(a, b))
	}
	return cmp.Compare(a, b)
}

// ErrExists and ErrMissing tell that a child is there already, or is not there.
var (
	ErrExists  = errors.New("it is there already")
	ErrMissing = errors.New("it is not there")
)

// Add adds a child. keys are those of a list entry, which get their leaves, or the value of a leaf or an element.
// Values have to be canonical. One that is there already is returned with ErrExists.
func (n *Node) Add(d *Def, keys ...string) (*Node, error) {
	if d.Parent != n.Def {
		return nil, fmt.Errorf("schema: %s has no child %s", n.Def, d)
	}
	id := ident(d, keys)
	if c := n.kids[id]; c != nil {
		return c, ErrExists
	}
	c := &Node{Def: d, Parent: n, id: id}
	if d.Leafy() && len(keys) > 0 {
		c.Value = keys[0]
	}
	if n.kids == nil {
		n.kids = map[string]*Node{}
	}
	for _, x := range n.kids { // another case of the same choice goes (RFC 7950, 7.9)
		if d.choice != "" && x.Def.choice == d.choice && x.Def.branch != d.branch {
			n.Remove(x)
		}
	}
	n.turns++
	c.turn = n.turns
	n.kids[id], n.sorted = c, nil
	if d.Kind == List {
		if len(keys) != len(d.Keys) {
			delete(n.kids, id)
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

// Set sets a leaf's value, which has to be canonical, and tells whether that changed anything.
func (n *Node) Set(d *Def, value string) (bool, error) {
	c, err := n.Add(d, value)
	if errors.Is(err, ErrExists) {
		changed := c.Value != value
		c.Value = value
		return changed, nil
	}
	return true, err
}

// Remove takes a child off.
func (n *Node) Remove(c *Node) {
	if n.kids[c.id] == c {
		delete(n.kids, c.id)
		n.sorted, c.Parent = nil, nil
	}
}

// Clone copies a node with all under it. The copy has no parent.
func (n *Node) Clone() *Node {
	c := &Node{Def: n.Def, Value: n.Value, id: n.id, turn: n.turn, turns: n.turns}
	if len(n.kids) > 0 {
		c.kids = make(map[string]*Node, len(n.kids))
		for id, k := range n.kids {
			x := k.Clone()
			x.Parent = c
			c.kids[id] = x
		}
	}
	return c
}

// Adopt puts a copy of a node with all under it in, in place of one with the same keys.
func (n *Node) Adopt(x *Node) *Node {
	c := x.Clone()
	n.turns++
	c.Parent, c.turn = n, n.turns
	if n.kids == nil {
		n.kids = map[string]*Node{}
	}
	n.kids[c.id], n.sorted = c, nil
	return c
}

// Walk visits a node and all under it in order; it does not go below one for which f tells false.
func (n *Node) Walk(f func(*Node) bool) {
	if !f(n) {
		return
	}
	for _, c := range n.Children() {
		c.Walk(f)
	}
}

// Path returns the path from the root, with keys: an instance identifier without prefixes.
func (n *Node) Path() string {
	if n.Parent == nil {
		return "/"
	}
	var b strings.Builder
	n.path(&b)
	return b.String()
}

func (n *Node) path(b *strings.Builder) {
	if n.Parent == nil {
		return
	}
	n.Parent.path(b)
	b.WriteString("/" + n.Def.Name)
	for i, k := range n.Keys() {
		name := "."
		if n.Def.Kind == List {
			name = n.Def.Keys[i]
		}
		b.WriteString("[" + name + "=" + Quote(k) + "]")
	}
}

// Quote writes a value in a path (RFC 7950, 14: a quoted string has no escapes, so the quotes are chosen).
func Quote(v string) string {
	if !strings.Contains(v, "'") {
		return "'" + v + "'"
	}
	return `"` + strings.ReplaceAll(v, `"`, "&quot;") + `"`
}

// Find returns the node at a path as Path writes it.
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
		keys, err := s.values(d)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", text, err)
		}
		if at = at.kids[ident(d, keys)]; at == nil {
			return nil, fmt.Errorf("%s: %w", text, ErrMissing)
		}
	}
	return at, nil
}

// Step is an element of a path.
type Step struct {
	Name string
	Keys map[string]string // "." for an element of a leaf-list
}

// values returns the keys in the model's order and in canonical form.
func (s Step) values(d *Def) ([]string, error) {
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

// ParsePath reads a path as Path writes it; prefixes of names are passed over.
func ParsePath(text string) ([]Step, error) {
	var out []Step
	rest := text
	bad := func(why string) ([]Step, error) { return nil, fmt.Errorf("path %q: %s", clip(text), why) }
	for rest = strings.TrimSuffix(rest, "/"); rest != ""; {
		var ok bool
		if rest, ok = strings.CutPrefix(rest, "/"); !ok {
			return bad("a / is needed")
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
			return bad("a name is missing")
		}
		for rest = rest[end:]; strings.HasPrefix(rest, "["); {
			name, tail, ok := strings.Cut(rest[1:], "=")
			if name = strings.TrimSpace(name); !ok || len(tail) < 2 || tail[0] != '\'' && tail[0] != '"' {
				return bad("a key and a quoted value are needed")
			}
			end := strings.IndexByte(tail[1:], tail[0])
			if end < 0 || !strings.HasPrefix(tail[end+2:], "]") {
				return bad("a key does not end")
			}
			if i := strings.IndexByte(name, ':'); i >= 0 {
				name = name[i+1:]
			}
			if s.Keys == nil {
				s.Keys = map[string]string{}
			}
			if _, twice := s.Keys[name]; twice {
				return bad("a key is given twice")
			}
			s.Keys[name] = strings.ReplaceAll(tail[1:end+1], "&quot;", `"`)
			rest = tail[end+3:]
		}
		out = append(out, s)
	}
	return out, nil
}
