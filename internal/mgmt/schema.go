// Package mgmt serves the gNMI management interface on the replicated store or the transactional configuration, as
// described by the YANG models.
package mgmt

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/openconfig/gnmi/proto/gnmi"
	"github.com/openconfig/goyang/pkg/yang"

	"brookmux/internal/schema"
	model "brookmux/yang"
)

// Schema is the tree of the YANG models that are served. Paths and values are checked against it.
type Schema struct {
	root            *yang.Entry
	modules         []*gnmi.ModelData
	moduleOf        map[string]string // module name by the name of a top-level node
	checkedBySource bool              // the Source checks values, so checkValue accepts all
}

// errNoNode reports that no model has a node at a path.
var errNoNode = errors.New("no such node in the model")

// NewSchema returns the Schema of the module brookmux, whose values the Server checks itself.
func NewSchema() (*Schema, error) {
	set := yang.NewModules()
	if err := set.Parse(model.Model, model.Module+".yang"); err != nil {
		return nil, fmt.Errorf("mgmt: model: %w", err)
	}
	if errs := set.Process(); len(errs) > 0 {
		return nil, fmt.Errorf("mgmt: model: %w", errors.Join(errs...))
	}
	root, errs := set.GetModule(model.Module)
	if len(errs) > 0 {
		return nil, fmt.Errorf("mgmt: model: %w", errors.Join(errs...))
	}
	return &Schema{root: root, modules: []*gnmi.ModelData{{Name: model.Module, Organization: model.Organization,
		Version: model.Revision}}, moduleOf: map[string]string{"border-control": model.Module}}, nil
}

// NewFullSchema returns a Schema with the top-level nodes of all modules of m in one tree, for a Source that checks
// values itself.
func NewFullSchema(m *schema.Model) (*Schema, error) {
	set := yang.NewModules()
	for _, x := range m.Modules {
		if err := set.Parse(x.Text, x.Name+".yang"); err != nil {
			return nil, fmt.Errorf("mgmt: model: %w", err)
		}
	}
	if errs := set.Process(); len(errs) > 0 {
		return nil, fmt.Errorf("mgmt: model: %w", errors.Join(errs...))
	}
	s := &Schema{root: &yang.Entry{Name: "root", Kind: yang.DirectoryEntry, Dir: map[string]*yang.Entry{}}, moduleOf: map[string]string{},
		checkedBySource: true}
	for _, x := range m.Modules {
		e := yang.ToEntry(set.Modules[x.Name])
		flattenChoices(e)
		s.modules = append(s.modules, &gnmi.ModelData{Name: x.Name, Organization: model.Organization, Version: x.Revision})
		for name, top := range e.Dir {
			s.root.Dir[name], s.moduleOf[name] = top, x.Name
		}
	}
	for _, x := range subtree(s.root) { // a leafref has the value type of its target
		if x.Type != nil && x.Type.Kind == yang.Yleafref {
			target := x.Find(x.Type.Path)
			if target == nil || target.Type == nil {
				return nil, fmt.Errorf("mgmt: model: %s: leafref to a missing node: %s", x.Path(), x.Type.Path)
			}
			x.Type = target.Type
		}
	}
	return s, nil
}

// flattenChoices replaces choice and case nodes by the data nodes under them, as choices and cases are not part of
// data paths (RFC 7950, 7.9).
func flattenChoices(x *yang.Entry) {
	for name, c := range x.Dir {
		flattenChoices(c)
		if c.IsChoice() || c.IsCase() {
			delete(x.Dir, name)
			for n, node := range c.Dir {
				x.Dir[n] = node
			}
		}
	}
}

// hasModule reports whether a module is served.
func (s *Schema) hasModule(name string) bool {
	return slices.ContainsFunc(s.modules, func(m *gnmi.ModelData) bool { return m.GetName() == name })
}

// elem is an element of a path: a node name and, for a list, the values of its keys. Name and values may be wildcards
// in a requested path.
type elem struct {
	name string
	keys map[string]string
}

// path is a path from the root of the tree. It is empty for the root.
type path []elem

// String returns the path in the form used in the store: keys are sorted, and \ and ] in their values are escaped.
func (p path) String() string {
	var b strings.Builder
	for _, e := range p {
		b.WriteString("/" + e.name)
		for _, k := range sortedKeys(e.keys) {
			v := strings.NewReplacer(`\`, `\\`, `]`, `\]`).Replace(e.keys[k])
			b.WriteString("[" + k + "=" + v + "]")
		}
	}
	return b.String()
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys(m map[string]string) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// parsePath parses a path in the form that path.String writes.
func parsePath(text string) path {
	var p path
	for text != "" {
		text = strings.TrimPrefix(text, "/")
		end := strings.IndexAny(text, "/[")
		if end < 0 {
			return append(p, elem{name: text})
		}
		e := elem{name: text[:end]}
		for text = text[end:]; strings.HasPrefix(text, "["); {
			key, rest, _ := strings.Cut(text[1:], "=")
			var v strings.Builder
			for len(rest) > 0 && rest[0] != ']' {
				if rest[0] == '\\' && len(rest) > 1 {
					rest = rest[1:]
				}
				v.WriteByte(rest[0])
				rest = rest[1:]
			}
			if e.keys == nil {
				e.keys = map[string]string{}
			}
			e.keys[key], text = v.String(), strings.TrimPrefix(rest, "]")
		}
		p = append(p, e)
	}
	return p
}

// pathFromGNMI joins a prefix and a path relative to it, and strips the module names before node names. It rejects
// unknown origins and modules, but doesn't check that the nodes exist.
func (s *Schema) pathFromGNMI(prefix, relative *gnmi.Path) (path, error) {
	var p path
	for _, part := range []*gnmi.Path{prefix, relative} {
		//lint:ignore SA1019 the deprecated field has to be rejected explicitly
		if len(part.GetElement()) > 0 {
			return nil, errors.New("paths of the old form are not taken")
		}
		if o := part.GetOrigin(); o != "" && !s.hasModule(o) {
			return nil, fmt.Errorf("unknown origin %q", o)
		}
		for _, e := range part.GetElem() {
			name := e.GetName()
			if module, rest, ok := strings.Cut(name, ":"); ok {
				if !s.hasModule(module) {
					return nil, fmt.Errorf("unknown module %q", module)
				}
				name = rest
			}
			if name == "" {
				return nil, errors.New("a path element has no name")
			}
			p = append(p, elem{name, e.GetKey()})
		}
	}
	return p, nil
}

// toGNMI returns the path as a gNMI message.
func (p path) toGNMI() *gnmi.Path {
	out := &gnmi.Path{}
	for _, e := range p {
		out.Elem = append(out.Elem, &gnmi.PathElem{Name: e.name, Key: e.keys})
	}
	return out
}

// hasWildcard reports whether a path contains a wildcard, so that it may name more than one node.
func (p path) hasWildcard() bool {
	return slices.ContainsFunc(p, func(e elem) bool {
		if e.name == "*" || e.name == "..." {
			return true
		}
		for _, v := range e.keys {
			if v == "*" {
				return true
			}
		}
		return false
	})
}

// covers reports whether the node of a stored path matches p or lies under a node that does. An element "..." of p
// matches any number of elements, "*" one element or key value, and a missing key any value.
func (p path) covers(stored path) bool {
	if len(p) == 0 {
		return true
	}
	if p[0].name == "..." {
		for i := range len(stored) + 1 {
			if p[1:].covers(stored[i:]) {
				return true
			}
		}
		return false
	}
	if len(stored) == 0 || p[0].name != "*" && p[0].name != stored[0].name {
		return false
	}
	for k, v := range p[0].keys {
		if v != "*" && stored[0].keys[k] != v {
			return false
		}
	}
	return p[1:].covers(stored[1:])
}

// entries returns the schema nodes that a path names, or errNoNode if there are none.
func (s *Schema) entries(p path) ([]*yang.Entry, error) {
	nodes := []*yang.Entry{s.root}
	for _, e := range p {
		var next []*yang.Entry
		for _, x := range nodes {
			switch e.name {
			case "...":
				next = append(next, subtree(x)...)
			case "*":
				for _, c := range x.Dir {
					next = append(next, c)
				}
			default:
				if c := x.Dir[e.name]; c != nil {
					next = append(next, c)
				}
			}
		}
		for k := range e.keys {
			next = slices.DeleteFunc(next, func(x *yang.Entry) bool {
				return !x.IsList() || !slices.Contains(strings.Fields(x.Key), k)
			})
		}
		if nodes = next; len(nodes) == 0 {
			return nil, fmt.Errorf("%w: %s", errNoNode, p)
		}
	}
	return nodes, nil
}

// subtree returns a node and all its descendants.
func subtree(x *yang.Entry) []*yang.Entry {
	out := []*yang.Entry{x}
	for _, c := range x.Dir {
		out = append(out, subtree(c)...)
	}
	return out
}

// entry returns the schema node that a path names. It rejects paths with wildcards.
func (s *Schema) entry(p path) (*yang.Entry, error) {
	if p.hasWildcard() {
		return nil, fmt.Errorf("%s names more than one node", p)
	}
	x, err := s.entries(p)
	if err != nil {
		return nil, err
	}
	return x[0], nil
}

// defaults returns the default values of configuration leaves by path. It leaves out leaves under lists, which have
// no path without an entry.
func (s *Schema) defaults() map[string]string {
	out := map[string]string{}
	var walk func(x *yang.Entry, p path)
	walk = func(x *yang.Entry, p path) {
		if v := x.DefaultValues(); x.IsLeaf() && len(v) == 1 && !x.ReadOnly() {
			out[p.String()] = v[0]
		}
		for name, c := range x.Dir {
			if !c.IsList() {
				walk(c, append(slices.Clone(p), elem{name: name}))
			}
		}
	}
	walk(s.root, nil)
	return out
}

// checkValue returns an error if text is not a valid value of the leaf x.
func (s *Schema) checkValue(x *yang.Entry, text string) error {
	if s.checkedBySource {
		return nil
	}
	t := x.Type
	errInvalid := fmt.Errorf("%s: %q is not a value of type %s", x.Name, text, t.Name)
	switch t.Kind {
	case yang.Yenum:
		if !t.Enum.IsDefined(text) {
			return errInvalid
		}
	case yang.Ybool:
		if text != "true" && text != "false" {
			return errInvalid
		}
	case yang.Yint8, yang.Yint16, yang.Yint32, yang.Yint64, yang.Yuint8, yang.Yuint16, yang.Yuint32, yang.Yuint64:
		n, err := yang.ParseInt(text)
		if err != nil || text != n.String() {
			return errInvalid
		}
		if r := (yang.YangRange{{Min: n, Max: n}}); len(t.Range) > 0 && !t.Range.Contains(r) {
			return fmt.Errorf("%s: %s is outside %s", x.Name, text, t.Range)
		}
	case yang.Ystring:
		r := yang.YangRange{{Min: yang.FromInt(int64(len(text))), Max: yang.FromInt(int64(len(text)))}}
		if len(t.Length) > 0 && !t.Length.Contains(r) {
			return errInvalid
		}
	default:
		return fmt.Errorf("%s: values of type %s can't be set", x.Name, t.Name)
	}
	return nil
}

// unquotedJSON reports whether JSON writes the value of a leaf without quotes (RFC 7951 quotes 64-bit numbers).
func unquotedJSON(x *yang.Entry) bool {
	switch x.Type.Kind {
	case yang.Ybool, yang.Yint8, yang.Yint16, yang.Yint32, yang.Yuint8, yang.Yuint16, yang.Yuint32:
		return true
	}
	return false
}

// typedValue returns the value of a leaf as a gNMI scalar: a bool, a number or a string.
func typedValue(x *yang.Entry, text string) *gnmi.TypedValue {
	switch x.Type.Kind {
	case yang.Ybool:
		return &gnmi.TypedValue{Value: &gnmi.TypedValue_BoolVal{BoolVal: text == "true"}}
	case yang.Yuint8, yang.Yuint16, yang.Yuint32, yang.Yuint64:
		if n, err := strconv.ParseUint(text, 10, 64); err == nil {
			return &gnmi.TypedValue{Value: &gnmi.TypedValue_UintVal{UintVal: n}}
		}
	case yang.Yint8, yang.Yint16, yang.Yint32, yang.Yint64:
		if n, err := strconv.ParseInt(text, 10, 64); err == nil {
			return &gnmi.TypedValue{Value: &gnmi.TypedValue_IntVal{IntVal: n}}
		}
	}
	return &gnmi.TypedValue{Value: &gnmi.TypedValue_StringVal{StringVal: text}}
}
