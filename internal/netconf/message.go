package netconf

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/beevik/etree"

	"brookmux/internal/datastore"
	"brookmux/internal/schema"
)

// XML namespaces of the base protocol, of get-schema, of defaults (RFC 6243) and of the rollback operation.
const (
	baseNS         = "urn:ietf:params:xml:ns:netconf:base:1.0"
	monitoringNS   = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring"
	withDefaultsNS = "urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults"
	transactionsNS = "urn:brookmux:transactions"
	defaultAttrNS  = "urn:ietf:params:xml:ns:netconf:default:1.0"
)

// maxDepth is the maximum nesting depth of elements in a message.
const maxDepth = 64

// parseXML parses a message and returns its root element. Before it builds a tree, it rejects document types,
// processing instructions other than the XML declaration, text that is not UTF-8 and elements nested deeper than
// maxDepth (RFC 6241, 3).
func parseXML(message []byte) (*etree.Element, error) {
	if !utf8.Valid(message) {
		return nil, errors.New("it is not UTF-8")
	}
	depth := 0
	for d := xml.NewDecoder(bytes.NewReader(message)); ; {
		token, err := d.RawToken()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		switch t := token.(type) {
		case xml.StartElement:
			if depth++; depth > maxDepth {
				return nil, fmt.Errorf("it is nested more than %d deep", maxDepth)
			}
		case xml.EndElement:
			depth--
		case xml.Directive:
			return nil, errors.New("it has a document type")
		case xml.ProcInst:
			if t.Target != "xml" {
				return nil, errors.New("it has a processing instruction")
			}
		}
	}
	doc := etree.NewDocument()
	if err := doc.ReadFromBytes(message); err != nil {
		return nil, err
	}
	root := doc.Root()
	if root == nil {
		return nil, errors.New("it has no element")
	}
	return root, nil
}

// rpcError is an rpc-error element of a reply (RFC 6241, 4.3 and appendix A).
type rpcError struct {
	errorType string // transport, rpc, protocol or application
	tag       string
	appTag    string
	path      string
	message   string
	info      [][2]string // names and texts of the elements of error-info
}

// Error implements error.
func (e *rpcError) Error() string { return e.tag + ": " + e.message }

// protocolError returns an error of the protocol layer.
func protocolError(tag, message string, info ...[2]string) *rpcError {
	return &rpcError{errorType: "protocol", tag: tag, message: message, info: info}
}

// missingElement, unknownElement and invalidValue return errors that name the faulty element in bad-element.
func missingElement(name string) *rpcError {
	return protocolError("missing-element", name+" is missing", [2]string{"bad-element", name})
}
func unknownElement(name string) *rpcError {
	return protocolError("unknown-element", name+" is not known here", [2]string{"bad-element", name})
}
func invalidValue(name, reason string) *rpcError {
	return protocolError("invalid-value", name+": "+reason, [2]string{"bad-element", name})
}

// toRPCErrors converts an error into the rpc-error elements of a reply: one for each fault of a datastore.Error, or one
// for any other error.
func toRPCErrors(err error) []*rpcError {
	if e := (*rpcError)(nil); errors.As(err, &e) {
		return []*rpcError{e}
	}
	e := (*datastore.Error)(nil)
	if !errors.As(err, &e) {
		return []*rpcError{{errorType: "application", tag: "operation-failed", message: err.Error()}}
	}
	out := make([]*rpcError, 0, len(e.Faults))
	for _, f := range e.Faults {
		rpcErr := &rpcError{errorType: "application", tag: string(f.Tag), appTag: f.AppTag, path: f.Path, message: f.Message}
		switch f.Tag {
		case schema.LockDenied, schema.InUse:
			if rpcErr.errorType = "protocol"; f.Tag == schema.LockDenied {
				rpcErr.info = append(rpcErr.info, [2]string{"session-id", fmt.Sprint(e.Holder)})
			}
		case schema.UnknownElement, schema.BadElement, schema.MissingElement:
			name := f.Path[strings.LastIndexByte(f.Path, '/')+1:]
			name, _, _ = strings.Cut(name, "[")
			rpcErr.info = append(rpcErr.info, [2]string{"bad-element", name})
		}
		out = append(out, rpcErr)
	}
	return out
}

// write appends the rpc-error element.
func (e *rpcError) write(b *bytes.Buffer, m *schema.Model) {
	b.WriteString("<rpc-error>")
	writeElement(b, "error-type", e.errorType)
	writeElement(b, "error-tag", e.tag)
	writeElement(b, "error-severity", "error")
	if e.appTag != "" {
		writeElement(b, "error-app-tag", e.appTag)
	}
	if e.path != "" {
		path, declarations := qualifyPath(m, e.path)
		b.WriteString("<error-path" + declarations + ">")
		writeEscaped(b, path)
		b.WriteString("</error-path>")
	}
	if e.message != "" {
		b.WriteString(`<error-message xml:lang="en">`)
		writeEscaped(b, e.message)
		b.WriteString("</error-message>")
	}
	if len(e.info) > 0 {
		b.WriteString("<error-info>")
		for _, i := range e.info {
			writeElement(b, i[0], i[1])
		}
		b.WriteString("</error-info>")
	}
	b.WriteString("</rpc-error>")
}

// writeElement appends an element that contains a text.
func writeElement(b *bytes.Buffer, name, text string) {
	b.WriteString("<" + name + ">")
	writeEscaped(b, text)
	b.WriteString("</" + name + ">")
}

// writeEscaped appends a text, escaped for XML.
func writeEscaped(b *bytes.Buffer, text string) {
	_ = xml.EscapeText(b, []byte(text)) // writing to a buffer never fails
}

// qualifyPath returns a path with the module prefix on each name, and the xmlns declarations of these prefixes. A path
// that is not in the model is returned unchanged.
func qualifyPath(m *schema.Model, path string) (qualified, declarations string) {
	steps, err := schema.ParsePath(path)
	if err != nil {
		return path, ""
	}
	prefixes := map[string]string{}
	for _, mod := range m.Modules {
		prefixes[mod.Namespace] = mod.Prefix
	}
	seen := map[string]bool{}
	def := m.Root
	var b strings.Builder
	for _, step := range steps {
		if def = def.Child(step.Name); def == nil {
			return path, ""
		}
		prefix := prefixes[def.Namespace]
		if !seen[prefix] {
			seen[prefix] = true
			declarations += " xmlns:" + prefix + `="` + def.Namespace + `"`
		}
		b.WriteString("/" + prefix + ":" + step.Name)
		for _, k := range def.Keys {
			if v, ok := step.Keys[k]; ok {
				b.WriteString("[" + prefix + ":" + k + "='" + strings.ReplaceAll(v, "'", "&apos;") + "']")
			}
		}
		if v, ok := step.Keys["."]; ok {
			b.WriteString("[.='" + strings.ReplaceAll(v, "'", "&apos;") + "']")
		}
	}
	return b.String(), declarations
}

// parseConfig reads a complete configuration, as in copy-config and validate, as an edit of an empty tree.
func parseConfig(m *schema.Model, config *etree.Element) (*schema.Node, error) {
	root, err := parseEdit(m, config, datastore.Merge)
	if err != nil {
		return nil, err
	}
	return datastore.Edit{Root: root}.Tree(m)
}

// parseEdit reads a config element into the nodes of an edit. The root has the default operation op.
func parseEdit(m *schema.Model, config *etree.Element, op datastore.Operation) (*datastore.EditNode, error) {
	root := &datastore.EditNode{Def: m.Root, Op: op}
	childOp := op
	if op == datastore.Replace {
		childOp = datastore.Merge // the root has replaced everything, so there is nothing left to replace below it
	}
	return root, parseChildren(root, config, childOp, "")
}

// parseChildren reads the child elements of e and adds them to parent. op is the operation that they inherit, path the
// path of e.
func parseChildren(parent *datastore.EditNode, e *etree.Element, op datastore.Operation, path string) error {
	for _, child := range e.ChildElements() {
		def := parent.Def.Child(child.Tag)
		childPath := path + "/" + child.Tag
		ns := child.NamespaceURI()
		switch {
		case def == nil:
			return &rpcError{errorType: "application", tag: "unknown-element", path: path, message: childPath + " is not in the model",
				info: [][2]string{{"bad-element", child.Tag}}}
		case ns != def.Namespace:
			return &rpcError{errorType: "application", tag: "unknown-namespace", path: childPath, message: childPath + " is in the namespace " +
				def.Namespace, info: [][2]string{{"bad-element", child.Tag}, {"bad-namespace", ns}}}
		}
		node := &datastore.EditNode{Def: def, Op: op, Path: childPath}
		if err := parseOperation(node, child); err != nil {
			return err
		}
		if parent.Def.Kind == schema.List && def.IsKey() {
			if node.Op != op {
				return &rpcError{errorType: "protocol", tag: "bad-attribute", path: childPath, message: "a key has no operation of its own",
					info: [][2]string{{"bad-attribute", "operation"}, {"bad-element", child.Tag}}}
			}
			continue // parseNode has read it with its list entry
		}
		if err := parseNode(node, child, childPath); err != nil {
			return err
		}
		parent.Children = append(parent.Children, node)
	}
	return nil
}

// editOperations maps the values of the operation attribute (RFC 6241, 7.2).
var editOperations = map[string]datastore.Operation{"merge": datastore.Merge, "replace": datastore.Replace,
	"create": datastore.Create, "delete": datastore.Delete, "remove": datastore.Remove}

// parseOperation sets the operation of a node from the attributes of its element. Other attributes are errors.
func parseOperation(node *datastore.EditNode, e *etree.Element) error {
	for _, a := range e.Attr {
		if a.Space == "xmlns" || a.Space == "" && a.Key == "xmlns" {
			continue
		}
		op, ok := editOperations[a.Value]
		switch {
		case a.Key != "operation" || a.NamespaceURI() != baseNS:
			return &rpcError{errorType: "protocol", tag: "unknown-attribute", path: node.Path, message: a.Key + " is not known here",
				info: [][2]string{{"bad-attribute", a.Key}, {"bad-element", e.Tag}}}
		case !ok:
			return &rpcError{errorType: "protocol", tag: "bad-attribute", path: node.Path, message: a.Value + " is no operation",
				info: [][2]string{{"bad-attribute", a.Key}, {"bad-element", e.Tag}}}
		}
		node.Op = op
	}
	return nil
}

// parseNode reads the keys, the value and the children of a node from its element, and completes its path with the
// keys. The value of a leaf and the children of a node are not needed to delete or remove it.
func parseNode(node *datastore.EditNode, e *etree.Element, path string) error {
	d := node.Def
	deleting := node.Op == datastore.Delete || node.Op == datastore.Remove
	if d.HasValue() {
		if elems := e.ChildElements(); len(elems) > 0 {
			return &rpcError{errorType: "application", tag: "unknown-element", path: path, message: d.Name + " has a value, not children",
				info: [][2]string{{"bad-element", elems[0].Tag}}}
		}
		v, err := d.Canonical(e.Text())
		if err != nil && !(deleting && d.Kind == schema.Leaf) {
			return &rpcError{errorType: "application", tag: "invalid-value", path: path, message: err.Error()}
		}
		node.Value = v
		return nil
	}
	for _, c := range e.Child {
		if t, ok := c.(*etree.CharData); ok && strings.TrimSpace(t.Data) != "" {
			return &rpcError{errorType: "application", tag: "bad-element", path: path, message: d.Name + " has children, not a text",
				info: [][2]string{{"bad-element", d.Name}}}
		}
	}
	for _, k := range d.Keys {
		c := onlyChild(e, k)
		if c == nil {
			return &rpcError{errorType: "application", tag: "missing-element", path: path, message: "the key " + k + " is missing, or there twice",
				info: [][2]string{{"bad-element", k}}}
		}
		v, err := d.Child(k).Canonical(c.Text())
		if err != nil {
			return &rpcError{errorType: "application", tag: "invalid-value", path: path + "/" + k, message: err.Error()}
		}
		node.Keys = append(node.Keys, v)
		path += "[" + k + "=" + schema.Quote(v) + "]"
	}
	node.Path = path
	if deleting {
		return nil
	}
	childOp := node.Op
	if childOp == datastore.Create || childOp == datastore.Replace {
		childOp = datastore.Merge // the node is new or emptied, so there is nothing left to create or replace below it
	}
	return parseChildren(node, e, childOp, path)
}

// onlyChild returns the child element with a name, or nil if there is none or more than one.
func onlyChild(e *etree.Element, name string) *etree.Element {
	var found *etree.Element
	for _, c := range e.ChildElements() {
		if c.Tag == name {
			if found != nil {
				return nil
			}
			found = c
		}
	}
	return found
}
