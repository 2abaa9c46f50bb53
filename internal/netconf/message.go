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

// Namespaces.
const (
	base       = "urn:ietf:params:xml:ns:netconf:base:1.0"
	monitoring = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring"
	defaults   = "urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults"
	history    = "urn:brookmux:transactions"
	tagged     = "urn:ietf:params:xml:ns:netconf:default:1.0"
)

const mostDepth = 64

// parse reads a message's XML. Document types, processing instructions beside the declaration, what is not UTF-8 and
// what is nested too deeply are refused before a tree is made of it (RFC 6241, 3).
func parse(message []byte) (*etree.Element, error) {
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
			if depth++; depth > mostDepth {
				return nil, fmt.Errorf("it is nested more than %d deep", mostDepth)
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

// rpcError is an error as a reply has it (RFC 6241, 4.3 and appendix A).
type rpcError struct {
	kind    string // transport, rpc, protocol or application
	tag     string
	appTag  string
	path    string
	message string
	info    [][2]string // elements of error-info
}

// Error implements error.
func (e *rpcError) Error() string { return e.tag + ": " + e.message }

// protocol returns an error of the protocol layer.
func protocol(tag, message string, info ...[2]string) *rpcError {
	return &rpcError{kind: "protocol", tag: tag, message: message, info: info}
}

// missing, unknown and bad name an element that is at fault.
func missing(name string) *rpcError {
	return protocol("missing-element", name+" is missing", [2]string{"bad-element", name})
}
func unknown(name string) *rpcError {
	return protocol("unknown-element", name+" is not known here", [2]string{"bad-element", name})
}
func bad(name, why string) *rpcError {
	return protocol("invalid-value", name+": "+why, [2]string{"bad-element", name})
}

// rpcErrors turns what went wrong into the errors of a reply.
func rpcErrors(err error) []*rpcError {
	if e := (*rpcError)(nil); errors.As(err, &e) {
		return []*rpcError{e}
	}
	e := (*datastore.Error)(nil)
	if !errors.As(err, &e) {
		return []*rpcError{{kind: "application", tag: "operation-failed", message: err.Error()}}
	}
	out := make([]*rpcError, 0, len(e.Faults))
	for _, f := range e.Faults {
		x := &rpcError{kind: "application", tag: string(f.Tag), appTag: f.AppTag, path: f.Path, message: f.Message}
		switch f.Tag {
		case schema.LockDenied, schema.InUse:
			if x.kind = "protocol"; f.Tag == schema.LockDenied {
				x.info = append(x.info, [2]string{"session-id", fmt.Sprint(e.Holder)})
			}
		case schema.UnknownElement, schema.BadElement, schema.MissingElement:
			name := f.Path[strings.LastIndexByte(f.Path, '/')+1:]
			name, _, _ = strings.Cut(name, "[")
			x.info = append(x.info, [2]string{"bad-element", name})
		}
		out = append(out, x)
	}
	return out
}

// write appends an error's XML.
func (e *rpcError) write(b *bytes.Buffer, m *schema.Model) {
	b.WriteString("<rpc-error>")
	element(b, "error-type", e.kind)
	element(b, "error-tag", e.tag)
	element(b, "error-severity", "error")
	if e.appTag != "" {
		element(b, "error-app-tag", e.appTag)
	}
	if e.path != "" {
		path, names := qualified(m, e.path)
		b.WriteString("<error-path" + names + ">")
		escape(b, path)
		b.WriteString("</error-path>")
	}
	if e.message != "" {
		b.WriteString(`<error-message xml:lang="en">`)
		escape(b, e.message)
		b.WriteString("</error-message>")
	}
	if len(e.info) > 0 {
		b.WriteString("<error-info>")
		for _, i := range e.info {
			element(b, i[0], i[1])
		}
		b.WriteString("</error-info>")
	}
	b.WriteString("</rpc-error>")
}

// element appends an element with a text.
func element(b *bytes.Buffer, name, text string) {
	b.WriteString("<" + name + ">")
	escape(b, text)
	b.WriteString("</" + name + ">")
}

func escape(b *bytes.Buffer, text string) {
	_ = xml.EscapeText(b, []byte(text)) // a buffer takes everything
}

// qualified writes a path with the prefixes of its modules, and the declarations of these.
func qualified(m *schema.Model, path string) (out, names string) {
	steps, err := schema.ParsePath(path)
	if err != nil {
		return path, ""
	}
	prefixes := map[string]string{}
	for _, x := range m.Modules {
		prefixes[x.Namespace] = x.Prefix
	}
	seen := map[string]bool{}
	at := m.Root
	var b strings.Builder
	for _, s := range steps {
		if at = at.Child(s.Name); at == nil {
			return path, ""
		}
		p := prefixes[at.Namespace]
		if !seen[p] {
			seen[p] = true
			names += " xmlns:" + p + `="` + at.Namespace + `"`
		}
		b.WriteString("/" + p + ":" + s.Name)
		for _, k := range at.Keys {
			if v, ok := s.Keys[k]; ok {
				b.WriteString("[" + p + ":" + k + "='" + strings.ReplaceAll(v, "'", "&apos;") + "']")
			}
		}
		if v, ok := s.Keys["."]; ok {
			b.WriteString("[.='" + strings.ReplaceAll(v, "'", "&apos;") + "']")
		}
	}
	return b.String(), names
}

// configOf reads a whole configuration, as copy-config and validate have it: an edit that replaces all.
func configOf(m *schema.Model, config *etree.Element) (*schema.Node, error) {
	root, err := editOf(m, config, datastore.Merge)
	if err != nil {
		return nil, err
	}
	return datastore.Edit{Root: root}.Tree(m)
}

// editOf reads the parts of a config element. Its own operation is the default one.
func editOf(m *schema.Model, config *etree.Element, op datastore.Operation) (*datastore.Part, error) {
	root := &datastore.Part{Def: m.Root, Op: op}
	under := op
	if op == datastore.Replace {
		under = datastore.Merge // all that was there has gone
	}
	return root, children(root, config, under, "")
}

// children reads the parts under one.
func children(p *datastore.Part, e *etree.Element, op datastore.Operation, path string) error {
	for _, c := range e.ChildElements() {
		d := p.Def.Child(c.Tag)
		at := path + "/" + c.Tag
		ns := c.NamespaceURI()
		switch {
		case d == nil:
			return &rpcError{kind: "application", tag: "unknown-element", path: path, message: at + " is not in the model",
				info: [][2]string{{"bad-element", c.Tag}}}
		case ns != d.Namespace:
			return &rpcError{kind: "application", tag: "unknown-namespace", path: at, message: at + " is in the namespace " +
				d.Namespace, info: [][2]string{{"bad-element", c.Tag}, {"bad-namespace", ns}}}
		}
		x := &datastore.Part{Def: d, Op: op, Path: at}
		if err := attributes(x, c); err != nil {
			return err
		}
		if p.Def.Kind == schema.List && d.IsKey() {
			if x.Op != op {
				return &rpcError{kind: "protocol", tag: "bad-attribute", path: at, message: "a key has no operation of its own",
					info: [][2]string{{"bad-attribute", "operation"}, {"bad-element", c.Tag}}}
			}
			continue // it was read with its entry
		}
		if err := read(x, c, at); err != nil {
			return err
		}
		p.Parts = append(p.Parts, x)
	}
	return nil
}

// operations are the names of the edit operations (RFC 6241, 7.2).
var operations = map[string]datastore.Operation{"merge": datastore.Merge, "replace": datastore.Replace,
	"create": datastore.Create, "delete": datastore.Delete, "remove": datastore.Remove}

// attributes reads an element's operation.
func attributes(x *datastore.Part, e *etree.Element) error {
	for _, a := range e.Attr {
		if a.Space == "xmlns" || a.Space == "" && a.Key == "xmlns" {
			continue
		}
		op, ok := operations[a.Value]
		switch {
		case a.Key != "operation" || a.NamespaceURI() != base:
			return &rpcError{kind: "protocol", tag: "unknown-attribute", path: x.Path, message: a.Key + " is not known here",
				info: [][2]string{{"bad-attribute", a.Key}, {"bad-element", e.Tag}}}
		case !ok:
			return &rpcError{kind: "protocol", tag: "bad-attribute", path: x.Path, message: a.Value + " is no operation",
				info: [][2]string{{"bad-attribute", a.Key}, {"bad-element", e.Tag}}}
		}
		x.Op = op
	}
	return nil
}

// read reads a part's keys, value and children.
func read(x *datastore.Part, e *etree.Element, path string) error {
	d := x.Def
	gone := x.Op == datastore.Delete || x.Op == datastore.Remove
	if d.Leafy() {
		if kids := e.ChildElements(); len(kids) > 0 {
			return &rpcError{kind: "application", tag: "unknown-element", path: path, message: d.Name + " has a value, not children",
				info: [][2]string{{"bad-element", kids[0].Tag}}}
		}
		v, err := d.Canonical(e.Text())
		if err != nil && !(gone && d.Kind == schema.Leaf) {
			return &rpcError{kind: "application", tag: "invalid-value", path: path, message: err.Error()}
		}
		x.Value = v
		return nil
	}
	for _, c := range e.Child {
		if t, ok := c.(*etree.CharData); ok && strings.TrimSpace(t.Data) != "" {
			return &rpcError{kind: "application", tag: "bad-element", path: path, message: d.Name + " has children, not a text",
				info: [][2]string{{"bad-element", d.Name}}}
		}
	}
	for _, k := range d.Keys {
		c := only(e, k)
		if c == nil {
			return &rpcError{kind: "application", tag: "missing-element", path: path, message: "the key " + k + " is missing, or there twice",
				info: [][2]string{{"bad-element", k}}}
		}
		v, err := d.Child(k).Canonical(c.Text())
		if err != nil {
			return &rpcError{kind: "application", tag: "invalid-value", path: path + "/" + k, message: err.Error()}
		}
		x.Keys = append(x.Keys, v)
		path += "[" + k + "=" + schema.Quote(v) + "]"
	}
	x.Path = path
	if gone {
		return nil
	}
	under := x.Op
	if under == datastore.Create || under == datastore.Replace {
		under = datastore.Merge // it is new
	}
	return children(x, e, under, path)
}

// only returns the one child of a name, or nil.
func only(e *etree.Element, name string) *etree.Element {
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
