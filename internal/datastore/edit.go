package datastore

import (
	"errors"

	"brookmux/internal/schema"
)

// Operation is what an edit does to a node (RFC 6241, 7.2).
type Operation int

// The operations. None only leads to nodes below it.
const (
	Merge Operation = iota
	Replace
	Create
	Delete
	Remove
	None
)

// TestOption is whether an edit is validated (RFC 6241, 8.6.4.1).
type TestOption int

// The test options.
const (
	TestThenSet TestOption = iota
	Set
	TestOnly
)

// ErrorOption is what happens to the rest of an edit when a part of it fails.
type ErrorOption int

// The error options.
const (
	StopOnError ErrorOption = iota
	ContinueOnError
	RollbackOnError
)

// Edit is a change as a session asks for it.
type Edit struct {
	Root    *Part // of the tree's root; its own operation is the default one: Merge, Replace or None
	Test    TestOption
	OnError ErrorOption
}

// Part is a node of an edit. Keys and values are canonical.
type Part struct {
	Def   *schema.Def
	Op    Operation
	Keys  []string // of a list entry
	Value string   // of a leaf or an element
	Parts []*Part
	Path  string // as the session wrote it, for errors
}

// instance is what tells the node of a part from its siblings.
func (p *Part) instance() []string {
	if p.Def.Leafy() {
		return []string{p.Value}
	}
	return p.Keys
}

// apply makes the edit on a tree, and returns what could not be done.
func (e Edit) apply(root *schema.Node) []schema.Fault {
	a := &applier{on: e.OnError}
	if e.Root.Op == Replace {
		root.Drop()
	}
	a.parts(root, e.Root)
	return a.faults
}

// Tree returns what an edit makes of nothing: a whole configuration.
func (e Edit) Tree(m *schema.Model) (*schema.Node, error) {
	tree := m.NewTree()
	if faults := e.apply(tree); len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	return tree, nil
}

// applier is one edit under way.
type applier struct {
	on     ErrorOption
	faults []schema.Fault
}

// fault books what could not be done, and tells whether the rest is still to be tried.
func (a *applier) fault(tag schema.Tag, p *Part, message string) bool {
	a.faults = append(a.faults, schema.Fault{Tag: tag, Path: p.Path, Message: message})
	return a.on == ContinueOnError
}

// parts makes those under a node, and tells whether to go on.
func (a *applier) parts(at *schema.Node, p *Part) bool {
	for _, c := range p.Parts {
		if !a.part(at, c) {
			return false
		}
	}
	return true
}

// part makes one under its parent's node.
func (a *applier) part(at *schema.Node, p *Part) bool {
	d := p.Def
	if !d.Config {
		return a.fault(schema.InvalidValue, p, "it is state, and can't be set")
	}
	old := at.Get(d.Name, p.Keys...)
	if d.Kind == schema.LeafList {
		old = at.Get(d.Name, p.Value)
	}
	if d.IsKey() && p.Op != Merge && p.Op != None && p.Op != Replace {
		return a.fault(schema.BadElement, p, "a key can't be created or removed by itself")
	}
	switch p.Op {
	case Delete, Remove:
		if old == nil && p.Op == Delete {
			return a.fault(schema.DataMissing, p, "it is not there")
		}
		if old != nil {
			old.Drop()
		}
		return true
	case Create:
		if old != nil {
			return a.fault(schema.DataExists, p, "it is there already")
		}
	case Replace:
		if old != nil && !d.Leafy() {
			at.Remove(old)
		}
	case None:
		if old == nil && len(p.Parts) == 0 {
			return a.fault(schema.DataMissing, p, "it is not there")
		}
		if d.Leafy() {
			return true
		}
	}
	if d.Kind == schema.Leaf {
		if _, err := at.Set(d, p.Value); err != nil {
			return a.fault(schema.OperationFailed, p, err.Error())
		}
		return true
	}
	n, err := at.Add(d, p.instance()...)
	if err != nil && !errors.Is(err, schema.ErrExists) {
		return a.fault(schema.OperationFailed, p, err.Error())
	}
	ok := a.parts(n, p)
	if n.Len() == 0 && d.Kind == schema.Container && !d.Presence && n.Parent != nil {
		n.Drop() // it means nothing by itself
	}
	if p.Op == None && old == nil && n.Parent != nil && d.Kind == schema.List && n.Len() == len(d.Keys) {
		n.Drop() // nothing was made below what was not there
	}
	return ok
}
