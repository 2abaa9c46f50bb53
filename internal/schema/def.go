// Package schema enforces YANG models on configuration trees: types, ranges, patterns, keys, leafrefs, must,
// unique, mandatory and the numbers of elements (RFC 7950). All of it is read from the models; there are no
// hand-written twins. It owns the meaning of a tree, and knows nothing of sessions, transactions or wires.
package schema

import (
	"cmp"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path"
	"slices"
	"strconv"
	"strings"

	"github.com/antchfx/xpath"
	"github.com/openconfig/goyang/pkg/yang"
	"lukechampine.com/blake3"
)

// Kind is what a node of a model is.
type Kind int

// The kinds (RFC 7950, 4.2.2).
const (
	Container Kind = iota
	List
	Leaf
	LeafList
)

// Def is a node of a model, the same for all its instances.
type Def struct {
	Name, Module, Namespace string
	Kind                    Kind
	Parent                  *Def // nil for the root
	Children                []*Def
	Keys                    []string // of a list, in the model's order
	Config                  bool
	Presence                bool // a container that means something by being there
	Mandatory               bool
	Default                 []string
	Type                    *yang.YangType // of a leaf or leaf-list
	Min, Max                uint64         // elements; Max 0 for any number
	Description, Units      string

	Ordered        bool   // entries of a list stand in the order in which they came (RFC 7950, 7.7.7)
	choice, branch string // of which choice this is one case, if of any

	byName   map[string]*Def
	order    int
	musts    []must
	when     *must
	uniques  [][][]string // each a set of paths from the list entry down
	target   *Def         // of a leafref
	patterns map[*yang.YangType][]pattern
}

// must is a condition that an instance has to meet (RFC 7950, 7.5.3).
type must struct {
	text, message, appTag string
	expr                  *xpath.Expr
}

// Module is a module of the set.
type Module struct{ Name, Namespace, Prefix, Revision, Text string }

// Model is a set of modules as one tree of definitions.
type Model struct {
	Root    *Def
	Modules []Module // by name
	ID      string   // another one when any module is another
}

// Load reads all modules in a file system. What this package can't enforce (anydata, leaf-lists ordered by users,
// leafrefs with predicates) is refused by name, not passed over.
func Load(files fs.FS) (*Model, error) {
	set := yang.NewModules()
	names, err := fs.Glob(files, "*.yang")
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	texts := map[string]string{}
	for _, n := range names {
		text, err := fs.ReadFile(files, n)
		if err != nil {
			return nil, fmt.Errorf("schema: %w", err)
		}
		if err := set.Parse(string(text), n); err != nil {
			return nil, fmt.Errorf("schema: %w", err)
		}
		texts[strings.TrimSuffix(path.Base(n), ".yang")] = string(text)
	}
	if errs := set.Process(); len(errs) > 0 {
		return nil, fmt.Errorf("schema: %w", errors.Join(errs...))
	}
	m := &Model{Root: &Def{Config: true, byName: map[string]*Def{}}}
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		x, ok := set.Modules[name]
		if !ok {
			return nil, fmt.Errorf("schema: file %s.yang holds no module of that name", name)
		}
		m.Modules = append(m.Modules, Module{Name: name, Namespace: x.Namespace.Name, Prefix: x.Prefix.Name,
			Revision: x.Current(), Text: texts[name]})
		if err := m.Root.adopt(yang.ToEntry(x), name, x.Namespace.Name); err != nil {
			return nil, err
		}
	}
	all := blake3.New(16, nil)
	for _, x := range m.Modules {
		_, _ = all.Write([]byte(x.Name + "\x00" + x.Text + "\x00")) // never fails, see hash.Hash
	}
	m.ID = hex.EncodeToString(all.Sum(nil))
	return m, m.Root.finish()
}

// adopt adds the nodes of an entry to a definition. Choices and their cases are no nodes of the data.
func (d *Def) adopt(e *yang.Entry, module, namespace string) error {
	return d.adoptCase(e, module, namespace, "", "")
}

func (d *Def) adoptCase(e *yang.Entry, module, namespace, choice, branch string) error {
	for _, name := range slices.Sorted(maps.Keys(e.Dir)) {
		x := e.Dir[name]
		if x.RPC != nil || x.Kind == yang.NotificationEntry {
			continue
		}
		if x.IsChoice() {
			if choice != "" || x.Mandatory == yang.TSTrue || len(x.DefaultValues()) > 0 {
				return fmt.Errorf("schema: %s/%s: choices in choices, mandatory ones and defaults of them are not supported", d, name)
			}
			for _, c := range slices.Sorted(maps.Keys(x.Dir)) {
				if err := d.adoptCase(x.Dir[c], module, namespace, name, c); err != nil {
					return err
				}
			}
			continue
		}
		if d.byName[name] != nil {
			return fmt.Errorf("schema: %s: two nodes of this name", d.byName[name])
		}
		c := &Def{Name: name, Module: module, Namespace: namespace, Parent: d, choice: choice, branch: branch, Config: !x.ReadOnly(),
			Description: x.Description, Units: x.Units, Type: x.Type, Mandatory: x.Mandatory == yang.TSTrue,
			Default: x.DefaultValues(), byName: map[string]*Def{}}
		switch {
		case x.IsList():
			c.Ordered = x.ListAttr.OrderedByUser
			c.Kind, c.Keys = List, strings.Fields(x.Key)
			if c.Config && len(c.Keys) == 0 {
				return fmt.Errorf("schema: %s: a list of the configuration needs a key", c)
			}
		case x.IsLeafList():
			if c.Kind = LeafList; x.ListAttr.OrderedByUser {
				return fmt.Errorf("schema: %s: an order by users is not supported", c)
			}
		case x.IsLeaf():
			c.Kind = Leaf
		case x.Kind != yang.DirectoryEntry:
			return fmt.Errorf("schema: %s: this kind of node is not supported", c)
		}
		if x.ListAttr != nil {
			if c.Min = x.ListAttr.MinElements; x.ListAttr.MaxElements < 1<<63 {
				c.Max = x.ListAttr.MaxElements
			}
		}
		if err := c.read(x); err != nil {
			return err
		}
		d.Children = append(d.Children, c)
		d.byName[name] = c
		if err := c.adopt(x, module, namespace); err != nil {
			return err
		}
	}
	// Keys come first, in the model's order (RFC 7950, 7.8.5).
	slices.SortStableFunc(d.Children, func(a, b *Def) int { return cmp.Compare(d.rank(a.Name), d.rank(b.Name)) })
	for i, c := range d.Children {
		c.order = i
	}
	return nil
}

func (d *Def) rank(name string) int {
	if i := slices.Index(d.Keys, name); i >= 0 {
		return i
	}
	return len(d.Keys)
}

// read takes the conditions of a node from its statement.
func (d *Def) read(x *yang.Entry) error {
	var musts []*yang.Must
	var when *yang.Value
	var unique []*yang.Value
	switch n := x.Node.(type) {
	case *yang.Container:
		musts, when, d.Presence = n.Must, n.When, n.Presence != nil
	case *yang.List:
		musts, when, unique = n.Must, n.When, n.Unique
	case *yang.Leaf:
		musts, when = n.Must, n.When
	case *yang.LeafList:
		musts, when = n.Must, n.When
	}
	for _, m := range musts {
		c, err := d.condition(m.Name)
		if err != nil {
			return err
		}
		if m.ErrorMessage != nil {
			c.message = m.ErrorMessage.Name
		}
		if c.appTag = "must-violation"; m.ErrorAppTag != nil {
			c.appTag = m.ErrorAppTag.Name
		}
		d.musts = append(d.musts, *c)
	}
	if when != nil {
		c, err := d.condition(when.Name)
		if err != nil {
			return err
		}
		d.when = c
	}
	for _, u := range unique {
		var set [][]string
		for _, p := range strings.Fields(u.Name) {
			set = append(set, strings.Split(bare(p), "/"))
		}
		d.uniques = append(d.uniques, set)
	}
	if d.Type != nil {
		d.patterns = map[*yang.YangType][]pattern{}
		if err := d.supported(d.Type); err != nil {
			return err
		}
	}
	return nil
}

// condition compiles an expression.
func (d *Def) condition(text string) (*must, error) {
	expr, err := xpath.Compile(bare(text))
	if err != nil {
		return nil, fmt.Errorf("schema: %s: %q: %w", d, text, err)
	}
	return &must{text: text, expr: expr}, nil
}

// finish ties what points elsewhere in the tree.
func (d *Def) finish() error {
	for _, k := range d.Keys {
		if c := d.byName[k]; c == nil || c.Kind != Leaf {
			return fmt.Errorf("schema: %s: key %s is no leaf", d, k)
		}
	}
	for _, set := range d.uniques {
		for _, p := range set {
			at := d
			for _, name := range p {
				if at = at.byName[name]; at == nil || at.Kind == List || at.Kind == LeafList {
					return fmt.Errorf("schema: %s: unique names no leaf: %s", d, strings.Join(p, "/"))
				}
			}
		}
	}
	if d.Type != nil && d.Type.Kind == yang.Yleafref {
		if err := d.refer(); err != nil {
			return err
		}
	}
	for _, c := range d.Children {
		if err := c.finish(); err != nil {
			return err
		}
	}
	return nil
}

// refer finds the target of a leafref.
func (d *Def) refer() error {
	text := bare(d.Type.Path)
	at := d
	if rest, ok := strings.CutPrefix(text, "/"); ok {
		for at.Parent != nil {
			at = at.Parent
		}
		text = rest
	}
	if strings.ContainsAny(text, "[(") {
		return fmt.Errorf("schema: %s: leafrefs with predicates are not supported", d)
	}
	for _, name := range strings.Split(text, "/") {
		if name == ".." {
			at = at.Parent
		} else {
			at = at.byName[name]
		}
		if at == nil {
			return fmt.Errorf("schema: %s: leafref to no node: %s", d, d.Type.Path)
		}
	}
	if at.Kind != Leaf || at.Type.Kind == yang.Yleafref {
		return fmt.Errorf("schema: %s: leafref to what is no plain leaf: %s", d, d.Type.Path)
	}
	// All instances of the target are looked at: with a list above both, that would be too many.
	for x := d.Parent; x != nil; x = x.Parent {
		if x.Kind == List && strings.HasPrefix(at.String(), x.String()+"/") {
			return fmt.Errorf("schema: %s: leafref within a list entry: not supported", d)
		}
	}
	d.target = at
	return nil
}

// Child returns the child of a name, or nil.
func (d *Def) Child(name string) *Def { return d.byName[name] }

// Leafy tells whether instances have a value.
func (d *Def) Leafy() bool { return d.Kind == Leaf || d.Kind == LeafList }

// IsKey tells whether a leaf is a key of its list.
func (d *Def) IsKey() bool { return d.Parent.Kind == List && slices.Contains(d.Parent.Keys, d.Name) }

// String returns the path from the root, without keys.
func (d *Def) String() string {
	if d.Parent == nil {
		return ""
	}
	return d.Parent.String() + "/" + d.Name
}

// bare takes the prefixes off an expression's names: no two nodes of a name stand beside each other, see adopt.
// What stands in quotes is left alone, and so are axes.
func bare(text string) string {
	var b strings.Builder
	var quote rune
	word := 0 // where the present name began in b
	runes := []rune(text)
	for i := 0; i < len(runes); i++ {
		r := runes[i]
		switch {
		case quote != 0:
			if r == quote {
				quote = 0
			}
		case r == '"' || r == '\'':
			quote = r
		case r == ':' && i+1 < len(runes) && runes[i+1] == ':':
			b.WriteString("::")
			word = b.Len()
			i++
			continue
		case r == ':':
			s := b.String()[:word]
			b.Reset()
			b.WriteString(s)
			continue
		}
		b.WriteRune(r)
		if quote != 0 || !(r == '-' || r == '_' || r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z') {
			word = b.Len()
		}
	}
	return b.String()
}

// elements writes a number of elements.
func elements(n uint64) string { return strconv.FormatUint(n, 10) + " elements" }
