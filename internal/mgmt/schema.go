// Package mgmt is the management interface: gNMI on the replicated store, after the YANG model.
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

// Schema is the model, as paths and values are checked against it.
type Schema struct {
	root    *yang.Entry
	modules []*gnmi.ModelData
	of      map[string]string // the module of each node at the top
	checked bool              // values are checked by whoever takes them
}

// errNoNode tells that the model has no such node.
var errNoNode = errors.New("no such node in the model")

// NewSchema reads the model.
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
		Version: model.Revision}}, of: map[string]string{"border-control": model.Module}}, nil
}

// NewFullSchema reads all models as one tree, for a Source that checks values itself.
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
	s := &Schema{root: &yang.Entry{Name: "root", Kind: yang.DirectoryEntry, Dir: map[string]*yang.Entry{}}, of: map[string]string{},
		checked: true}
	for _, x := range m.Modules {
		e := yang.ToEntry(set.Modules[x.Name])
		flatten(e)
		s.modules = append(s.modules, &gnmi.ModelData{Name: x.Name, Organization: model.Organization, Version: x.Revision})
		for name, top := range e.Dir {
			s.root.Dir[name], s.of[name] = top, x.Name
		}
	}
	for _, x := range below(s.root) { // a leafref's values are written as those of its target
		if x.Type != nil && x.Type.Kind == yang.Yleafref {
			to := x.Find(x.Type.Path)
			if to == nil || to.Type == nil {
				return nil, fmt.Errorf("mgmt: model: %s: leafref to no node: %s", x.Path(), x.Type.Path)
			}
			x.Type = to.Type
		}
	}
	return s, nil
}

// flatten puts the nodes of all cases in the place of their choices, which are no nodes of the data.
func flatten(x *yang.Entry) {
	for name, c := range x.Dir {
		flatten(c)
		if c.IsChoice() || c.IsCase() {
			delete(x.Dir, name)
			for n, under := range c.Dir {
				x.Dir[n] = under
			}
		}
	}
}

// known tells whether a module is served.
func (s *Schema) known(name string) bool {
	return slices.ContainsFunc(s.modules, func(m *gnmi.ModelData) bool { return m.GetName() == name })
}

// elem is an element of a path.
type elem struct {
	name string
	keys map[string]string
}

// path is a path from the root.
type path []elem

// String writes a path as it is stored.
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

func sortedKeys(m map[string]string) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// parsePath reads a path as it is stored.
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

// fromGNMI joins a prefix and a path; module names before node names are left off.
func (s *Schema) fromGNMI(prefix, tail *gnmi.Path) (path, error) {
	var p path
	for _, part := range []*gnmi.Path{prefix, tail} {
		//lint:ignore SA1019 the form that the protocol has withdrawn has to be refused by name
		if len(part.GetElement()) > 0 {
			return nil, errors.New("paths of the old form are not taken")
		}
		if o := part.GetOrigin(); o != "" && !s.known(o) {
			return nil, fmt.Errorf("unknown origin %q", o)
		}
		for _, e := range part.GetElem() {
			name := e.GetName()
			if module, rest, ok := strings.Cut(name, ":"); ok {
				if !s.known(module) {
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

// gnmi writes a path as a message.
func (p path) gnmi() *gnmi.Path {
	out := &gnmi.Path{}
	for _, e := range p {
		out.Elem = append(out.Elem, &gnmi.PathElem{Name: e.name, Key: e.keys})
	}
	return out
}

// wild tells whether a path may name more than one node.
func (p path) wild() bool {
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

// covers tells whether a stored path is the node that p names, or lies under it.
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

// entries returns the model's nodes that a path names.
func (s *Schema) entries(p path) ([]*yang.Entry, error) {
	at := []*yang.Entry{s.root}
	for _, e := range p {
		var next []*yang.Entry
		for _, x := range at {
			switch e.name {
			case "...":
				next = append(next, below(x)...)
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
		if at = next; len(at) == 0 {
			return nil, fmt.Errorf("%w: %s", errNoNode, p)
		}
	}
	return at, nil
}

// below returns a node and all under it.
func below(x *yang.Entry) []*yang.Entry {
	out := []*yang.Entry{x}
	for _, c := range x.Dir {
		out = append(out, below(c)...)
	}
	return out
}

// entry returns the one node that a path without wild cards names.
func (s *Schema) entry(p path) (*yang.Entry, error) {
	if p.wild() {
		return nil, fmt.Errorf("%s names more than one node", p)
	}
	x, err := s.entries(p)
	if err != nil {
		return nil, err
	}
	return x[0], nil
}

// defaults returns the leaves of the configuration that have one, with it.
func (s *Schema) defaults() map[string]string {
	out := map[string]string{}
	var walk func(x *yang.Entry, at path)
	walk = func(x *yang.Entry, at path) {
		if v := x.DefaultValues(); x.IsLeaf() && len(v) == 1 && !x.ReadOnly() {
			out[at.String()] = v[0]
		}
		for name, c := range x.Dir {
			if !c.IsList() {
				walk(c, append(slices.Clone(at), elem{name: name}))
			}
		}
	}
	walk(s.root, nil)
	return out
}

// check tells whether a text is a value of a leaf.
func (s *Schema) check(x *yang.Entry, text string) error {
	if s.checked {
		return nil
	}
	t := x.Type
	bad := fmt.Errorf("%s: %q is not a value of type %s", x.Name, text, t.Name)
	switch t.Kind {
	case yang.Yenum:
		if !t.Enum.IsDefined(text) {
			return bad
		}
	case yang.Ybool:
		if text != "true" && text != "false" {
			return bad
		}
	case yang.Yint8, yang.Yint16, yang.Yint32, yang.Yint64, yang.Yuint8, yang.Yuint16, yang.Yuint32, yang.Yuint64:
		n, err := yang.ParseInt(text)
		if err != nil || text != n.String() {
			return bad
		}
		if r := (yang.YangRange{{Min: n, Max: n}}); len(t.Range) > 0 && !t.Range.Contains(r) {
			return fmt.Errorf("%s: %s is outside %s", x.Name, text, t.Range)
		}
	case yang.Ystring:
		r := yang.YangRange{{Min: yang.FromInt(int64(len(text))), Max: yang.FromInt(int64(len(text)))}}
		if len(t.Length) > 0 && !t.Length.Contains(r) {
			return bad
		}
	default:
		return fmt.Errorf("%s: values of type %s can't be set", x.Name, t.Name)
	}
	return nil
}

// bare tells whether JSON writes a leaf's value without quotes (RFC 7951: 64-bit numbers have them).
func bare(x *yang.Entry) bool {
	switch x.Type.Kind {
	case yang.Ybool, yang.Yint8, yang.Yint16, yang.Yint32, yang.Yuint8, yang.Yuint16, yang.Yuint32:
		return true
	}
	return false
}

// typed is a leaf's value as gNMI's own types write it.
func typed(x *yang.Entry, text string) *gnmi.TypedValue {
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
