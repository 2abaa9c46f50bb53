package netconf

import (
	"bytes"
	"errors"
	"strings"

	"github.com/beevik/etree"

	"brookmux/internal/schema"
)

// defaultsMode says how leaves with default values are reported (RFC 6243, 3).
type defaultsMode string

// The modes of with-defaults. explicit is the basic mode, used when a request names none.
const (
	explicit        defaultsMode = "explicit"
	reportAll       defaultsMode = "report-all"
	trim            defaultsMode = "trim"
	reportAllTagged defaultsMode = "report-all-tagged"
)

// apply returns the tree with defaults added or removed as the mode requires. It may change the tree.
func (m defaultsMode) apply(tree *schema.Node) *schema.Node {
	switch m {
	case reportAll, reportAllTagged:
		return schema.WithDefaults(tree)
	case trim:
		var atDefault []*schema.Node
		tree.Walk(func(n *schema.Node) bool {
			if isDefault(n) {
				atDefault = append(atDefault, n)
			}
			return true
		})
		for _, n := range atDefault {
			n.RemoveSelf()
		}
	}
	return tree
}

// isDefault reports whether a node is a leaf whose value equals its schema default.
func isDefault(n *schema.Node) bool {
	d := n.Def
	if d.Kind != schema.Leaf || len(d.Default) != 1 {
		return false
	}
	v, err := d.Canonical(d.Default[0])
	return err == nil && v == n.Value
}

// writeChildren appends the children of a node as XML.
func writeChildren(b *bytes.Buffer, n *schema.Node, m defaultsMode) {
	for _, c := range n.Children() {
		writeNode(b, c, m)
	}
}

// writeNode appends a node as XML, with a namespace declaration where it differs from the parent's.
func writeNode(b *bytes.Buffer, n *schema.Node, m defaultsMode) {
	d := n.Def
	b.WriteString("<" + d.Name)
	if d.Parent.Namespace != d.Namespace {
		b.WriteString(` xmlns="` + d.Namespace + `"`)
	}
	if m == reportAllTagged && isDefault(n) {
		b.WriteString(` xmlns:wd="` + defaultAttrNS + `" wd:default="true"`)
	}
	if n.Len() == 0 && n.Value == "" {
		b.WriteString("/>")
		return
	}
	b.WriteString(">")
	writeEscaped(b, n.Value)
	writeChildren(b, n, m)
	b.WriteString("</" + d.Name + ">")
}

// applyFilter returns a copy of the part of a tree that a subtree or XPath filter selects (RFC 6241, 6 and 8.9). With a
// nil filter it returns the tree itself.
func applyFilter(tree *schema.Node, filter *etree.Element) (*schema.Node, error) {
	if filter == nil {
		return tree, nil
	}
	out := &schema.Node{Def: tree.Def}
	switch kind := filter.SelectAttrValue("type", "subtree"); kind {
	case "subtree":
		for _, f := range filter.ChildElements() {
			for _, c := range tree.Children() {
				if matchesElement(c, f) {
					selectSubtree(out, c, f)
				}
			}
		}
	case "xpath":
		text := filter.SelectAttrValue("select", "")
		if text == "" {
			return nil, protocolError("missing-attribute", "the filter has no select", [2]string{"bad-attribute", "select"},
				[2]string{"bad-element", "filter"})
		}
		nodes, err := schema.Select(tree, text)
		if err != nil {
			return nil, &rpcError{errorType: "protocol", tag: "invalid-value", message: err.Error()}
		}
		for _, n := range nodes {
			mergeWithAncestors(out, n)
		}
	default:
		return nil, protocolError("bad-attribute", kind+" is no type of filter", [2]string{"bad-attribute", "type"},
			[2]string{"bad-element", "filter"})
	}
	return out, nil
}

// matchesElement reports whether a filter element names a node. An element without a namespace, or in the one that it
// inherits from the request, matches a node of any namespace (RFC 6241, 6.2.1).
func matchesElement(n *schema.Node, filter *etree.Element) bool {
	ns := filter.NamespaceURI()
	if n.Def.Name != filter.Tag || ns != "" && ns != baseNS && ns != n.Def.Namespace {
		return false
	}
	for _, a := range filter.Attr { // nodes have no attributes, so an attribute match expression never matches (6.2.2)
		if a.Space != "xmlns" && a.Key != "xmlns" {
			return false
		}
	}
	return true
}

// selectSubtree adds to dst what a filter element selects of node n, and reports whether it selects anything.
func selectSubtree(dst *schema.Node, n *schema.Node, filter *etree.Element) bool {
	if n.Def.HasValue() {
		if text := strings.TrimSpace(filter.Text()); text != "" && text != n.Value {
			return false
		}
		dst.AddCopy(n)
		return true
	}
	var content, selections []*etree.Element
	for _, c := range filter.ChildElements() {
		if len(c.ChildElements()) == 0 && strings.TrimSpace(c.Text()) != "" {
			content = append(content, c)
		} else {
			selections = append(selections, c)
		}
	}
	for _, c := range content { // all content match nodes have to match (6.2.5)
		found := false
		for _, child := range n.Children() {
			found = found || matchesElement(child, c) && child.Def.HasValue() && child.Value == strings.TrimSpace(c.Text())
		}
		if !found {
			return false
		}
	}
	if len(selections) == 0 {
		mergeNode(dst, n)
		return true
	}
	dstNode := addCopyWithKeys(dst, n)
	selected := false
	for _, c := range content {
		for _, child := range n.Children() {
			if matchesElement(child, c) && child.Value == strings.TrimSpace(c.Text()) {
				dstNode.AddCopy(child)
				selected = true
			}
		}
	}
	for _, c := range selections {
		for _, child := range n.Children() {
			if matchesElement(child, c) && selectSubtree(dstNode, child, c) {
				selected = true
			}
		}
	}
	if !selected && dstNode.Len() <= len(n.Def.Keys) {
		dst.Remove(dstNode)
	}
	return selected
}

// addCopyWithKeys returns the copy of n below dst, and adds one with only the keys of n if there is none yet.
func addCopyWithKeys(dst, n *schema.Node) *schema.Node {
	c, err := dst.Add(n.Def, n.Keys()...)
	if err != nil && !errors.Is(err, schema.ErrExists) {
		return dst.AddCopy(n) // unreachable: n was in a tree, so its keys are valid
	}
	return c
}

// mergeNode adds a node and everything below it to dst, into the copy of it that dst may already have.
func mergeNode(dst, n *schema.Node) {
	if n.Def.HasValue() {
		dst.AddCopy(n)
		return
	}
	c := addCopyWithKeys(dst, n)
	for _, child := range n.Children() {
		mergeNode(c, child)
	}
}

// mergeWithAncestors adds a node of another tree and everything below it to the tree at root, below copies of its
// ancestors.
func mergeWithAncestors(root, n *schema.Node) {
	if n.Parent == nil {
		for _, c := range n.Children() {
			mergeNode(root, c)
		}
		return
	}
	mergeNode(addAncestors(root, n.Parent), n)
}

// addAncestors returns the copy of n in the tree at root. It adds the copy and those of the ancestors, with only their
// keys, where they are missing.
func addAncestors(root, n *schema.Node) *schema.Node {
	if n.Parent == nil {
		return root
	}
	return addCopyWithKeys(addAncestors(root, n.Parent), n)
}
