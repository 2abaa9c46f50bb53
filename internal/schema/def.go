// Package schema loads YANG models and validates configuration trees against them: types, ranges, patterns, keys,
// leafrefs, must, when, unique, mandatory, min-elements and max-elements (RFC 7950). All constraints are read from the
// models; none is duplicated in code. The package does not depend on sessions, transactions or transports.
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

// Kind is the kind of a data node.
type Kind int

// The kinds of data nodes (RFC 7950, 4.2.2).
const (
	Container Kind = iota
	List
	Leaf
	LeafList
)

// Def is a data node of a model. All instances of the node share it, and it does not change after Load.
type Def struct {
	Name, Module, Namespace string
	Kind                    Kind
	Parent                  *Def // nil for the root
	Children                []*Def
	Keys                    []string // names of the key leaves of a list, in the model's order
	Config                  bool
	Presence                bool // a presence container (RFC 7950, 7.5.1)
	Mandatory               bool
	Default                 []string
	Type                    *yang.YangType // of a leaf or leaf-list
	Min, Max                uint64         // min-elements and max-elements; Max 0 is unbounded
	Description, Units      string

	UserOrdered          bool   // a list with "ordered-by user": entries stay in insertion order (RFC 7950, 7.7.7)
	choiceName, caseName string // the choice and the case the node belongs to, or empty

	byName        map[string]*Def
	position      int
	musts         []condition
	when          *condition
	uniques       [][][]string // for each unique statement, leaf paths relative to the list entry
	leafrefTarget *Def         // the leaf that a leafref refers to
	patterns      map[*yang.YangType][]pattern
}

// condition is the compiled XPath expression of a must or when statement (RFC 7950, 7.5.3 and 7.21.5). message and
// appTag belong to a must.
type condition struct {
	text, message, appTag string
	expr                  *xpath.Expr
}

// Module describes a loaded YANG module; Text is its source.
type Module struct{ Name, Namespace, Prefix, Revision, Text string }

// Model is a set of modules compiled into one tree of definitions.
type Model struct {
	Root    *Def
	Modules []Module // sorted by name
	ID      string   // hash over the names and texts of all modules
}

// Load reads all *.yang modules in the root of a file system. A model with statements that this package can't enforce
// (such as anydata, leaf-lists with "ordered-by user" or leafrefs with predicates) is rejected with an error that names
// the node.
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
			return nil, fmt.Errorf("schema: file %s.yang does not define a module of that name", name)
		}
		m.Modules = append(m.Modules, Module{Name: name, Namespace: x.Namespace.Name, Prefix: x.Prefix.Name,
			Revision: x.Current(), Text: texts[name]})
		if err := m.Root.addEntries(yang.ToEntry(x), name, x.Namespace.Name); err != nil {
			return nil, err
		}
	}
	hash := blake3.New(16, nil)
	for _, x := range m.Modules {
		_, _ = hash.Write([]byte(x.Name + "\x00" + x.Text + "\x00")) // never fails, see hash.Hash
	}
	m.ID = hex.EncodeToString(hash.Sum(nil))
	return m, m.Root.resolve()
}

// addEntries adds the data nodes below e to d, recursively. Choices and cases are not data nodes; their children become
// children of d.
func (d *Def) addEntries(e *yang.Entry, module, namespace string) error {
	return d.addCaseEntries(e, module, namespace, "", "")
}

// addCaseEntries is addEntries for the nodes of a case; choiceName and caseName are empty outside choices.
func (d *Def) addCaseEntries(e *yang.Entry, module, namespace, choiceName, caseName string) error {
	for _, name := range slices.Sorted(maps.Keys(e.Dir)) {
		x := e.Dir[name]
		if x.RPC != nil || x.Kind == yang.NotificationEntry {
			continue
		}
		if x.IsChoice() {
			if choiceName != "" || x.Mandatory == yang.TSTrue || len(x.DefaultValues()) > 0 {
				return fmt.Errorf("schema: %s/%s: nested choices, mandatory choices and choices with defaults are not supported", d, name)
			}
			for _, c := range slices.Sorted(maps.Keys(x.Dir)) {
				if err := d.addCaseEntries(x.Dir[c], module, namespace, name, c); err != nil {
					return err
				}
			}
			continue
		}
		if d.byName[name] != nil {
			return fmt.Errorf("schema: %s: two sibling nodes have this name", d.byName[name])
		}
		c := &Def{Name: name, Module: module, Namespace: namespace, Parent: d, choiceName: choiceName, caseName: caseName, Config: !x.ReadOnly(),
			Description: x.Description, Units: x.Units, Type: x.Type, Mandatory: x.Mandatory == yang.TSTrue,
			Default: x.DefaultValues(), byName: map[string]*Def{}}
		switch {
		case x.IsList():
			c.UserOrdered = x.ListAttr.OrderedByUser
			c.Kind, c.Keys = List, strings.Fields(x.Key)
			if c.Config && len(c.Keys) == 0 {
				return fmt.Errorf("schema: %s: a configuration list needs a key", c)
			}
		case x.IsLeafList():
			if c.Kind = LeafList; x.ListAttr.OrderedByUser {
				return fmt.Errorf("schema: %s: ordered-by user is not supported on a leaf-list", c)
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
		if err := c.readConstraints(x); err != nil {
			return err
		}
		d.Children = append(d.Children, c)
		d.byName[name] = c
		if err := c.addEntries(x, module, namespace); err != nil {
			return err
		}
	}
	// Keys come first, in the model's order (RFC 7950, 7.8.5).
	slices.SortStableFunc(d.Children, func(a, b *Def) int { return cmp.Compare(d.keyRank(a.Name), d.keyRank(b.Name)) })
	for i, c := range d.Children {
		c.position = i
	}
	return nil
}

// keyRank returns the index of a child among the keys of a list; all other children rank behind the keys.
func (d *Def) keyRank(name string) int {
	if i := slices.Index(d.Keys, name); i >= 0 {
		return i
	}
	return len(d.Keys)
}

// readConstraints reads presence, must, when, unique and the type of a node from its YANG statement.
func (d *Def) readConstraints(x *yang.Entry) error {
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
		c, err := d.compileCondition(m.Name)
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
		c, err := d.compileCondition(when.Name)
		if err != nil {
			return err
		}
		d.when = c
	}
	for _, u := range unique {
		var set [][]string
		for _, p := range strings.Fields(u.Name) {
			set = append(set, strings.Split(stripPrefixes(p), "/"))
		}
		d.uniques = append(d.uniques, set)
	}
	if d.Type != nil {
		d.patterns = map[*yang.YangType][]pattern{}
		if err := d.compileType(d.Type); err != nil {
			return err
		}
	}
	return nil
}

// compileCondition compiles the XPath expression of a must or when statement.
func (d *Def) compileCondition(text string) (*condition, error) {
	expr, err := xpath.Compile(stripPrefixes(text))
	if err != nil {
		return nil, fmt.Errorf("schema: %s: %q: %w", d, text, err)
	}
	return &condition{text: text, expr: expr}, nil
}

// resolve checks the keys and unique statements of d and its descendants, and resolves their leafrefs.
func (d *Def) resolve() error {
	for _, k := range d.Keys {
		if c := d.byName[k]; c == nil || c.Kind != Leaf {
			return fmt.Errorf("schema: %s: key %s is not a leaf", d, k)
		}
	}
	for _, set := range d.uniques {
		for _, p := range set {
			at := d
			for _, name := range p {
				if at = at.byName[name]; at == nil || at.Kind == List || at.Kind == LeafList {
					return fmt.Errorf("schema: %s: unique path is not a leaf of the entry: %s", d, strings.Join(p, "/"))
				}
			}
		}
	}
	if d.Type != nil && d.Type.Kind == yang.Yleafref {
		if err := d.resolveLeafref(); err != nil {
			return err
		}
	}
	for _, c := range d.Children {
		if err := c.resolve(); err != nil {
			return err
		}
	}
	return nil
}

// resolveLeafref finds the target of a leafref.
func (d *Def) resolveLeafref() error {
	text := stripPrefixes(d.Type.Path)
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
			return fmt.Errorf("schema: %s: leafref target does not exist: %s", d, d.Type.Path)
		}
	}
	if at.Kind != Leaf || at.Type.Kind == yang.Yleafref {
		return fmt.Errorf("schema: %s: leafref target is not a leaf, or is a leafref itself: %s", d, d.Type.Path)
	}
	// Validate accepts the value of any instance of the target. With a list above both nodes it would also accept
	// values from other entries of that list.
	for x := d.Parent; x != nil; x = x.Parent {
		if x.Kind == List && strings.HasPrefix(at.String(), x.String()+"/") {
			return fmt.Errorf("schema: %s: leafref to a target in the same list is not supported", d)
		}
	}
	d.leafrefTarget = at
	return nil
}

// Child returns the child with a name, or nil.
func (d *Def) Child(name string) *Def { return d.byName[name] }

// HasValue reports whether instances have a value: leaves and leaf-lists do.
func (d *Def) HasValue() bool { return d.Kind == Leaf || d.Kind == LeafList }

// IsKey reports whether a node is a key of its list. It must not be called on the root.
func (d *Def) IsKey() bool { return d.Parent.Kind == List && slices.Contains(d.Parent.Keys, d.Name) }

// String returns the schema path from the root, without prefixes and keys. The root's is empty.
func (d *Def) String() string {
	if d.Parent == nil {
		return ""
	}
	return d.Parent.String() + "/" + d.Name
}

// stripPrefixes removes the module prefixes from the names in an XPath expression. Names stay unambiguous, since
// addEntries rejects siblings of the same name. Quoted strings and axes (name::) are not changed.
func stripPrefixes(text string) string {
	var b strings.Builder
	var quote rune
	nameStart := 0 // offset in b at which the current name starts
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
			nameStart = b.Len()
			i++
			continue
		case r == ':':
			s := b.String()[:nameStart]
			b.Reset()
			b.WriteString(s)
			continue
		}
		b.WriteRune(r)
		if quote != 0 || !(r == '-' || r == '_' || r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z') {
			nameStart = b.Len()
		}
	}
	return b.String()
}

// elementCount formats a number of elements for messages.
func elementCount(n uint64) string { return strconv.FormatUint(n, 10) + " elements" }
