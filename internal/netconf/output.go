package netconf

import (
	"bytes"
	"errors"
	"strings"

	"github.com/beevik/etree"

	"brookmux/internal/schema"
)

// mode is how defaults are shown (RFC 6243, 3).
type mode string

// The modes; explicit is the basic one.
const (
	explicit  mode = "explicit"
	reportAll mode = "report-all"
	trim      mode = "trim"
	tagAll    mode = "report-all-tagged"
)

// shown applies a mode to a tree, which it may change.
func (m mode) shown(tree *schema.Node) *schema.Node {
	switch m {
	case reportAll, tagAll:
		return schema.WithDefaults(tree)
	case trim:
		var usual []*schema.Node
		tree.Walk(func(n *schema.Node) bool {
			if isDefault(n) {
				usual = append(usual, n)
			}
			return true
		})
		for _, n := range usual {
			n.Drop()
		}
	}
	return tree
}

// isDefault tells whether a leaf has the value that it has without being set.
func isDefault(n *schema.Node) bool {
	d := n.Def
	if d.Kind != schema.Leaf || len(d.Default) != 1 {
		return false
	}
	v, err := d.Canonical(d.Default[0])
	return err == nil && v == n.Value
}

// writeTree appends what is under a node.
func writeTree(b *bytes.Buffer, n *schema.Node, m mode) {
	for _, c := range n.Children() {
		writeNode(b, c, m)
	}
}

func writeNode(b *bytes.Buffer, n *schema.Node, m mode) {
	d := n.Def
	b.WriteString("<" + d.Name)
	if d.Parent.Namespace != d.Namespace {
		b.WriteString(` xmlns="` + d.Namespace + `"`)
	}
	if m == tagAll && isDefault(n) {
		b.WriteString(` xmlns:wd="` + tagged + `" wd:default="true"`)
	}
	if n.Len() == 0 && n.Value == "" {
		b.WriteString("/>")
		return
	}
	b.WriteString(">")
	escape(b, n.Value)
	writeTree(b, n, m)
	b.WriteString("</" + d.Name + ">")
}

// filtered returns what a filter leaves of a tree (RFC 6241, 6 and 8.9).
func filtered(tree *schema.Node, filter *etree.Element) (*schema.Node, error) {
	if filter == nil {
		return tree, nil
	}
	out := &schema.Node{Def: tree.Def}
	switch kind := filter.SelectAttrValue("type", "subtree"); kind {
	case "subtree":
		for _, f := range filter.ChildElements() {
			for _, c := range tree.Children() {
				if matches(c, f) {
					subtree(out, c, f)
				}
			}
		}
	case "xpath":
		text := filter.SelectAttrValue("select", "")
		if text == "" {
			return nil, protocol("missing-attribute", "the filter has no select", [2]string{"bad-attribute", "select"},
				[2]string{"bad-element", "filter"})
		}
		nodes, err := schema.Select(tree, text)
		if err != nil {
			return nil, &rpcError{kind: "protocol", tag: "invalid-value", message: err.Error()}
		}
		for _, n := range nodes {
			graft(out, n)
		}
	default:
		return nil, protocol("bad-attribute", kind+" is no type of filter", [2]string{"bad-attribute", "type"},
			[2]string{"bad-element", "filter"})
	}
	return out, nil
}

// matches tells whether a filter's element names a node; without a namespace it names one of any (RFC 6241, 6.2.1).
func matches(n *schema.Node, f *etree.Element) bool {
	ns := f.NamespaceURI()
	if n.Def.Name != f.Tag || ns != "" && ns != base && ns != n.Def.Namespace {
		return false
	}
	for _, a := range f.Attr { // no node here has attributes to match (6.2.2)
		if a.Space != "xmlns" && a.Key != "xmlns" {
			return false
		}
	}
	return true
}

// subtree adds what a filter's element selects of a node, and tells whether that is anything.
func subtree(to *schema.Node, n *schema.Node, f *etree.Element) bool {
	if n.Def.Leafy() {
		if text := strings.TrimSpace(f.Text()); text != "" && text != n.Value {
			return false
		}
		to.Adopt(n)
		return true
	}
	var content, others []*etree.Element
	for _, c := range f.ChildElements() {
		if len(c.ChildElements()) == 0 && strings.TrimSpace(c.Text()) != "" {
			content = append(content, c)
		} else {
			others = append(others, c)
		}
	}
	for _, c := range content { // all of them have to match (6.2.5)
		found := false
		for _, x := range n.Children() {
			found = found || matches(x, c) && x.Def.Leafy() && x.Value == strings.TrimSpace(c.Text())
		}
		if !found {
			return false
		}
	}
	if len(others) == 0 {
		merge(to, n)
		return true
	}
	part := shell(to, n)
	any := false
	for _, c := range content {
		for _, x := range n.Children() {
			if matches(x, c) && x.Value == strings.TrimSpace(c.Text()) {
				part.Adopt(x)
				any = true
			}
		}
	}
	for _, c := range others {
		for _, x := range n.Children() {
			if matches(x, c) && subtree(part, x, c) {
				any = true
			}
		}
	}
	if !any && part.Len() <= len(n.Def.Keys) {
		to.Remove(part)
	}
	return any
}

// shell returns the copy of a node without what is in it, but for its keys.
func shell(to, n *schema.Node) *schema.Node {
	c, err := to.Add(n.Def, n.Keys()...)
	if err != nil && !errors.Is(err, schema.ErrExists) {
		return to.Adopt(n) // can't be: it stood in a tree
	}
	return c
}

// merge adds a node with all in it to what is there of it.
func merge(to, n *schema.Node) {
	if n.Def.Leafy() {
		to.Adopt(n)
		return
	}
	c := shell(to, n)
	for _, x := range n.Children() {
		merge(c, x)
	}
}

// graft adds a node of another tree with all in it, under copies of what it stands under.
func graft(root, n *schema.Node) {
	if n.Parent == nil {
		for _, c := range n.Children() {
			merge(root, c)
		}
		return
	}
	merge(above(root, n.Parent), n)
}

func above(root, n *schema.Node) *schema.Node {
	if n.Parent == nil {
		return root
	}
	return shell(above(root, n.Parent), n)
}
