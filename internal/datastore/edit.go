package datastore

import (
	"errors"

	"brookmux/internal/schema"
)

// Operation is the operation that an edit applies to a node (RFC 6241, 7.2).
type Operation int

// The operations. None leaves the node itself unchanged; only the parts below it apply.
const (
	Merge Operation = iota
	Replace
	Create
	Delete
	Remove
	None
)

// TestOption selects whether an edit is validated and whether it is applied (RFC 6241, 8.6.4.1).
type TestOption int

// The test options.
const (
	TestThenSet TestOption = iota
	Set
	TestOnly
)

// ErrorOption selects how an edit continues after a part of it fails (RFC 6241, 7.2).
type ErrorOption int

// The error options.
const (
	StopOnError ErrorOption = iota
	ContinueOnError
	RollbackOnError
)

// Edit is a change requested by a session.
type Edit struct {
	Root    *EditNode // for the root of the tree; its Op is the default operation: Merge, Replace or None
	Test    TestOption
	OnError ErrorOption
}

// EditNode is one part of an edit: an operation on a node, with the parts below it. Keys and values are in canonical
// form.
type EditNode struct {
	Def      *schema.Def
	Op       Operation
	Keys     []string // of a list entry
	Value    string   // of a leaf or a leaf-list entry
	Children []*EditNode
	Path     string // as given by the session, for error messages
}

// identity returns what distinguishes the part's node from siblings of the same name: its value or its keys.
func (p *EditNode) identity() []string {
	if p.Def.HasValue() {
		return []string{p.Value}
	}
	return p.Keys
}

// apply applies the edit to a tree, in place, and returns a fault for each part that failed.
func (e Edit) apply(root *schema.Node) []schema.Fault {
	a := &applier{onError: e.OnError}
	if e.Root.Op == Replace {
		root.RemoveSelf()
	}
	a.applyChildren(root, e.Root)
	return a.faults
}

// Tree applies the edit to an empty tree and returns the resulting configuration.
func (e Edit) Tree(m *schema.Model) (*schema.Node, error) {
	tree := m.NewTree()
	if faults := e.apply(tree); len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	return tree, nil
}

// applier is the state of applying one edit.
type applier struct {
	onError ErrorOption
	faults  []schema.Fault
}

// addFault records a part that failed, and reports whether to continue with the remaining parts.
func (a *applier) addFault(tag schema.Tag, p *EditNode, message string) bool {
	a.faults = append(a.faults, schema.Fault{Tag: tag, Path: p.Path, Message: message})
	return a.onError == ContinueOnError
}

// applyChildren applies the children of p to parent, the node of p. It reports whether to continue.
func (a *applier) applyChildren(parent *schema.Node, p *EditNode) bool {
	for _, c := range p.Children {
		if !a.applyNode(parent, c) {
			return false
		}
	}
	return true
}

// applyNode applies p below parent, the node of its parent. It reports whether to continue.
func (a *applier) applyNode(parent *schema.Node, p *EditNode) bool {
	d := p.Def
	if !d.Config {
		return a.addFault(schema.InvalidValue, p, "it is state, and can't be set")
	}
	old := parent.Get(d.Name, p.Keys...)
	if d.Kind == schema.LeafList {
		old = parent.Get(d.Name, p.Value)
	}
	if d.IsKey() && p.Op != Merge && p.Op != None && p.Op != Replace {
		return a.addFault(schema.BadElement, p, "a key can't be created or removed by itself")
	}
	switch p.Op {
	case Delete, Remove:
		if old == nil && p.Op == Delete {
			return a.addFault(schema.DataMissing, p, "it is not there")
		}
		if old != nil {
			old.RemoveSelf()
		}
		return true
	case Create:
		if old != nil {
			return a.addFault(schema.DataExists, p, "it is there already")
		}
	case Replace:
		if old != nil && !d.HasValue() {
			parent.Remove(old)
		}
	case None:
		if old == nil && len(p.Children) == 0 {
			return a.addFault(schema.DataMissing, p, "it is not there")
		}
		if d.HasValue() {
			return true
		}
	}
	if d.Kind == schema.Leaf {
		if _, err := parent.Set(d, p.Value); err != nil {
			return a.addFault(schema.OperationFailed, p, err.Error())
		}
		return true
	}
	n, err := parent.Add(d, p.identity()...)
	if err != nil && !errors.Is(err, schema.ErrExists) {
		return a.addFault(schema.OperationFailed, p, err.Error())
	}
	ok := a.applyChildren(n, p)
	if n.Len() == 0 && d.Kind == schema.Container && !d.Presence && n.Parent != nil {
		n.RemoveSelf() // an empty container without presence has no meaning (RFC 7950, 7.5.1)
	}
	if p.Op == None && old == nil && n.Parent != nil && d.Kind == schema.List && n.Len() == len(d.Keys) {
		n.RemoveSelf() // this entry was created only to reach nodes below it, and none were created
	}
	return ok
}
