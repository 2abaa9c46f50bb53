package mgmt

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/openconfig/gnmi/proto/gnmi"
	"github.com/openconfig/gnmi/proto/gnmi_ext"
	"github.com/openconfig/goyang/pkg/yang"
	"github.com/valyala/fastjson"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"brookmux/internal/jsontext"
	"brookmux/internal/store"
)

// version of the gNMI specification that the server follows.
const version = "0.10.0"

// Server serves gNMI on a store.
type Server struct {
	gnmi.UnimplementedGNMIServer
	schema *Schema
	store  Source
	log    *slog.Logger
}

// Source holds what a Server serves, by path. The replicated store is one, and Owned another.
type Source interface {
	// List returns the paths under a prefix with their values, and a revision.
	List(prefix string) (map[string]string, uint64)
	// Watch returns the changes from now on; the channel closes with cancel, and when its reader lags too far behind.
	Watch() (changes <-chan []store.Op, cancel func())
	// Readable tells what the caller may read, by path.
	Readable(ctx context.Context) func(path string) bool
	// Set makes a change as one, or returns a gRPC status and changes nothing.
	Set(ctx context.Context, ops []store.Op, commit *gnmi_ext.Commit) error
}

// Replicated is the replicated store as a Source.
type Replicated struct{ *store.Store }

// Readable implements Source: all of it.
func (r Replicated) Readable(context.Context) func(string) bool {
	return func(string) bool { return true }
}

// Set implements Source.
func (r Replicated) Set(ctx context.Context, ops []store.Op, commit *gnmi_ext.Commit) error {
	if commit != nil {
		return status.Error(codes.Unimplemented, "commit-confirmed")
	}
	switch _, err := r.Apply(ctx, store.Change{Ops: ops}); {
	case errors.Is(err, store.ErrNoLeader):
		return status.Error(codes.Unavailable, err.Error())
	case errors.Is(err, store.ErrStale):
		return status.Error(codes.Aborted, err.Error())
	case err != nil:
		return status.Error(codes.Internal, err.Error())
	}
	return nil
}

// NewServer returns a Server.
func NewServer(schema *Schema, s Source, log *slog.Logger) *Server {
	return &Server{schema: schema, store: s, log: log}
}

// Capabilities implements gnmi.GNMIServer, as do the methods below.
func (s *Server) Capabilities(context.Context, *gnmi.CapabilityRequest) (*gnmi.CapabilityResponse, error) {
	return &gnmi.CapabilityResponse{
		SupportedModels:    s.schema.modules,
		SupportedEncodings: []gnmi.Encoding{gnmi.Encoding_JSON, gnmi.Encoding_JSON_IETF, gnmi.Encoding_PROTO},
		GNMIVersion:        version,
	}, nil
}

// wrong is the gRPC error of a path or value that the model does not have.
func wrong(err error) error {
	code := codes.InvalidArgument
	if errors.Is(err, errNoNode) {
		code = codes.NotFound
	}
	return status.Error(code, err.Error())
}

// encodes tells whether an encoding is spoken here.
func encodes(e gnmi.Encoding) error {
	if e == gnmi.Encoding_JSON || e == gnmi.Encoding_JSON_IETF || e == gnmi.Encoding_PROTO {
		return nil
	}
	return status.Errorf(codes.Unimplemented, "encoding %v", e)
}

// values are the store's leaves, with the defaults of those of the configuration that are not set.
func (s *Server) values() map[string]string {
	out := s.schema.defaults()
	set, _ := s.store.List("")
	maps.Copy(out, set)
	return out
}

// leaf is a value with its path and node.
type leaf struct {
	path  path
	entry *yang.Entry
	text  string
}

// under returns the leaves that a path covers, by path.
func (s *Server) under(ctx context.Context, p path, want func(*yang.Entry) bool) []leaf {
	var out []leaf
	all, readable := s.values(), s.store.Readable(ctx)
	for _, text := range slices.Sorted(maps.Keys(all)) {
		at := parsePath(text)
		if !p.covers(at) || !readable(text) {
			continue
		}
		// What an older or newer model left in the store has no node here, and is not shown.
		if x, err := s.schema.entry(at); err == nil && x.IsLeaf() && want(x) {
			out = append(out, leaf{at, x, all[text]})
		}
	}
	return out
}

// Get returns values.
func (s *Server) Get(ctx context.Context, r *gnmi.GetRequest) (*gnmi.GetResponse, error) {
	if err := encodes(r.GetEncoding()); err != nil {
		return nil, err
	}
	if err := s.schema.serves(r.GetUseModels()); err != nil {
		return nil, err
	}
	want := func(x *yang.Entry) bool {
		switch r.GetType() {
		case gnmi.GetRequest_CONFIG:
			return !x.ReadOnly()
		case gnmi.GetRequest_STATE, gnmi.GetRequest_OPERATIONAL:
			return x.ReadOnly()
		}
		return true
	}
	out := &gnmi.GetResponse{}
	for _, one := range r.GetPath() {
		p, err := s.schema.fromGNMI(r.GetPrefix(), one)
		if err != nil {
			return nil, wrong(err)
		}
		nodes, err := s.schema.entries(p)
		if err != nil {
			return nil, wrong(err)
		}
		leaves := s.under(ctx, p, want)
		n := &gnmi.Notification{Timestamp: time.Now().UnixNano()}
		switch {
		case len(leaves) == 0:
			return nil, status.Errorf(codes.NotFound, "nothing at %s", p)
		case p.wild() || r.GetEncoding() == gnmi.Encoding_PROTO || nodes[0].IsLeaf() || nodes[0].IsList() && !full(p, nodes[0]):
			for _, l := range leaves {
				n.Update = append(n.Update, l.update(r.GetEncoding()))
			}
		default:
			text := s.schema.tree(leaves, len(p), r.GetEncoding() == gnmi.Encoding_JSON_IETF && len(p) == 0)
			n.Update = append(n.Update, &gnmi.Update{Path: p.gnmi(), Val: jsonValue(r.GetEncoding(), text)})
		}
		out.Notification = append(out.Notification, n)
	}
	return out, nil
}

// serves refuses models that are not served.
func (s *Schema) serves(models []*gnmi.ModelData) error {
	for _, m := range models {
		if !s.known(m.GetName()) {
			return status.Errorf(codes.Unimplemented, "model %q", m.GetName())
		}
	}
	return nil
}

// full tells whether a path names one entry of a list.
func full(p path, list *yang.Entry) bool {
	return len(p) > 0 && len(p[len(p)-1].keys) == len(strings.Fields(list.Key))
}

// jsonValue wraps JSON text in an encoding.
func jsonValue(e gnmi.Encoding, text []byte) *gnmi.TypedValue {
	if e == gnmi.Encoding_JSON {
		return &gnmi.TypedValue{Value: &gnmi.TypedValue_JsonVal{JsonVal: text}}
	}
	return &gnmi.TypedValue{Value: &gnmi.TypedValue_JsonIetfVal{JsonIetfVal: text}}
}

// update is a leaf as a message.
func (l leaf) update(e gnmi.Encoding) *gnmi.Update {
	v := typed(l.entry, l.text)
	if e != gnmi.Encoding_PROTO {
		v = jsonValue(e, l.json(nil))
	}
	return &gnmi.Update{Path: l.path.gnmi(), Val: v}
}

// json appends a leaf's value.
func (l leaf) json(b []byte) []byte {
	if bare(l.entry) {
		return append(b, l.text...)
	}
	return jsontext.Append(b, l.text)
}

// tree writes leaves, which are sorted by path, as the JSON object of the node so many elements from the root.
func (s *Schema) tree(leaves []leaf, depth int, named bool) []byte {
	b := []byte{'{'}
	for i := 0; i < len(leaves); {
		name := leaves[i].path[depth].name
		end := i
		for end < len(leaves) && leaves[end].path[depth].name == name {
			end++
		}
		if i > 0 {
			b = append(b, ',')
		}
		if named {
			b = jsontext.Append(b, s.of[name]+":"+name)
		} else {
			b = jsontext.Append(b, name)
		}
		b = append(b, ':')
		switch first := leaves[i]; {
		case len(first.path) == depth+1:
			b = first.json(b)
		case first.path[depth].keys != nil:
			b = s.list(b, leaves[i:end], depth)
		default:
			b = append(b, s.tree(leaves[i:end], depth+1, false)...)
		}
		i = end
	}
	return append(b, '}')
}

// list writes the entries of a list.
func (s *Schema) list(b []byte, leaves []leaf, depth int) []byte {
	b = append(b, '[')
	for i := 0; i < len(leaves); {
		at, end := leaves[i].path[:depth+1].String(), i
		for end < len(leaves) && leaves[end].path[:depth+1].String() == at {
			end++
		}
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, s.tree(leaves[i:end], depth+1, false)...)
		i = end
	}
	return append(b, ']')
}

// Set changes the configuration: all of it, or nothing where one part is wrong.
func (s *Server) Set(ctx context.Context, r *gnmi.SetRequest) (*gnmi.SetResponse, error) {
	out := &gnmi.SetResponse{Prefix: r.GetPrefix(), Timestamp: time.Now().UnixNano()}
	var c store.Change
	add := func(op gnmi.UpdateResult_Operation, one *gnmi.Path, v *gnmi.TypedValue) error {
		ops, err := s.ops(r.GetPrefix(), one, v, op)
		c.Ops = append(c.Ops, ops...)
		out.Response = append(out.Response, &gnmi.UpdateResult{Path: one, Op: op})
		return err
	}
	for _, p := range r.GetDelete() {
		if err := add(gnmi.UpdateResult_DELETE, p, nil); err != nil {
			return nil, wrong(err)
		}
	}
	for _, u := range r.GetReplace() {
		if err := add(gnmi.UpdateResult_REPLACE, u.GetPath(), u.GetVal()); err != nil {
			return nil, wrong(err)
		}
	}
	for _, u := range r.GetUpdate() {
		if err := add(gnmi.UpdateResult_UPDATE, u.GetPath(), u.GetVal()); err != nil {
			return nil, wrong(err)
		}
	}
	if len(r.GetUnionReplace()) > 0 {
		if len(c.Ops)+len(out.Response) > 0 || !s.schema.checked {
			return nil, status.Error(codes.Unimplemented, "union_replace beside other changes")
		}
		for p := range s.schema.root.Dir { // all of the configuration makes way for the union of what is given
			if ops, err := s.ops(nil, path{{name: p}}.gnmi(), nil, gnmi.UpdateResult_DELETE); err == nil {
				c.Ops = append(c.Ops, ops...)
			}
		}
		for _, u := range r.GetUnionReplace() {
			if err := add(gnmi.UpdateResult_UNION_REPLACE, u.GetPath(), u.GetVal()); err != nil {
				return nil, wrong(err)
			}
		}
	}
	var commit *gnmi_ext.Commit
	for _, x := range r.GetExtension() {
		if e := x.GetCommit(); e != nil {
			commit = e
		}
	}
	if len(c.Ops) == 0 && commit == nil {
		return out, nil
	}
	if err := s.store.Set(ctx, c.Ops, commit); err != nil {
		return nil, err
	}
	s.log.Info("configuration set", "changes", len(c.Ops))
	return out, nil
}

// ops turns one part of a Set into changes of the store.
func (s *Server) ops(prefix, one *gnmi.Path, v *gnmi.TypedValue, op gnmi.UpdateResult_Operation) ([]store.Op, error) {
	p, err := s.schema.fromGNMI(prefix, one)
	if err != nil {
		return nil, err
	}
	x, err := s.schema.entry(p)
	if err != nil {
		return nil, err
	}
	if x.ReadOnly() {
		return nil, errors.New(p.String() + " is state and can't be set")
	}
	var out []store.Op
	if op == gnmi.UpdateResult_DELETE || op == gnmi.UpdateResult_REPLACE {
		set, _ := s.store.List("")
		for _, text := range slices.Sorted(maps.Keys(set)) {
			at := parsePath(text)
			if y, err := s.schema.entry(at); p.covers(at) && err == nil && !y.ReadOnly() {
				if s.schema.checked { // the node itself goes, with all in it
					text = at[:len(p)].String()
				}
				if op := (store.Op{Path: text, Delete: true}); len(out) == 0 || out[len(out)-1] != op {
					out = append(out, op)
				}
			}
		}
		if op == gnmi.UpdateResult_DELETE {
			return out, nil
		}
	}
	var text string
	switch t := v.GetValue().(type) {
	case *gnmi.TypedValue_JsonVal:
		return s.fromJSON(out, p, x, t.JsonVal)
	case *gnmi.TypedValue_JsonIetfVal:
		return s.fromJSON(out, p, x, t.JsonIetfVal)
	case *gnmi.TypedValue_StringVal:
		text = t.StringVal
	case *gnmi.TypedValue_UintVal:
		text = yang.FromUint(t.UintVal).String()
	case *gnmi.TypedValue_IntVal:
		text = yang.FromInt(t.IntVal).String()
	case *gnmi.TypedValue_BoolVal:
		text = map[bool]string{true: "true", false: "false"}[t.BoolVal]
	default:
		return nil, errors.New(p.String() + ": no value, or one of a type that is not taken")
	}
	if !x.IsLeaf() {
		return nil, errors.New(p.String() + " is no leaf: its value has to be JSON")
	}
	return append(out, store.Op{Path: p.String(), Value: text}), s.schema.check(x, text)
}

// fromJSON reads a node's value.
func (s *Server) fromJSON(out []store.Op, p path, x *yang.Entry, text []byte) ([]store.Op, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, err
	}
	return s.fromValue(out, p, x, v)
}

// fromValue reads a node's value: a leaf's, or an object with those of the nodes under it.
func (s *Server) fromValue(out []store.Op, p path, x *yang.Entry, v *fastjson.Value) ([]store.Op, error) {
	if x.ReadOnly() {
		return nil, errors.New(p.String() + " is state and can't be set")
	}
	if x.IsLeaf() {
		text := string(v.GetStringBytes())
		switch v.Type() {
		case fastjson.TypeString:
		case fastjson.TypeNumber, fastjson.TypeTrue, fastjson.TypeFalse:
			if text = v.String(); !bare(x) {
				return nil, errors.New(p.String() + ": a string is needed")
			}
		default:
			return nil, errors.New(p.String() + ": one value is needed")
		}
		return append(out, store.Op{Path: p.String(), Value: text}), s.schema.check(x, text)
	}
	if x.IsList() && v.Type() == fastjson.TypeArray {
		for _, entry := range v.GetArray() {
			at := append(slices.Clone(p[:len(p)-1]), elem{p[len(p)-1].name, map[string]string{}})
			for _, k := range strings.Fields(x.Key) {
				if key := entry.Get(k); key == nil {
					return nil, errors.New(p.String() + ": an entry has no " + k)
				} else if key.Type() == fastjson.TypeString {
					at[len(at)-1].keys[k] = string(key.GetStringBytes())
				} else {
					at[len(at)-1].keys[k] = key.String()
				}
			}
			var err error
			if out, err = s.fromValue(out, at, x, entry); err != nil {
				return nil, err
			}
		}
		return out, nil
	}
	object, err := v.Object()
	if err != nil || x.IsList() && !full(p, x) {
		return nil, errors.New(p.String() + ": an object is needed, or an array of a list's entries")
	}
	object.Visit(func(key []byte, member *fastjson.Value) {
		name := string(key)
		if module, rest, ok := strings.Cut(name, ":"); ok && s.schema.known(module) {
			name = rest
		}
		child := x.Dir[name]
		if err == nil && child == nil {
			err = errors.New(p.String() + " has no node " + name)
		}
		if err == nil {
			out, err = s.fromValue(out, append(slices.Clone(p), elem{name: name}), child, member)
		}
	})
	return out, err
}
