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

// gnmiVersion is the version of the gNMI specification that the server implements.
const gnmiVersion = "0.10.0"

// Server implements the gNMI service on a Source.
type Server struct {
	gnmi.UnimplementedGNMIServer
	schema *Schema
	source Source
	log    *slog.Logger
}

// Source provides the values that a Server serves, by path. It is implemented by Replicated and Transactional.
type Source interface {
	// List returns the paths that begin with prefix and their values, and a revision.
	List(prefix string) (map[string]string, uint64)
	// Watch returns the changes from now on. The channel is closed by cancel, and when its reader lags too far behind.
	Watch() (changes <-chan []store.Op, cancel func())
	// Readable returns a function that reports whether the user of ctx may read a path.
	Readable(ctx context.Context) func(path string) bool
	// Set makes all changes or, if it returns an error, none. The error is a gRPC status.
	Set(ctx context.Context, ops []store.Op, commit *gnmi_ext.Commit) error
}

// Replicated serves the replicated store as a Source.
type Replicated struct{ *store.Store }

// Readable implements Source: all paths are readable.
func (r Replicated) Readable(context.Context) func(string) bool {
	return func(string) bool { return true }
}

// Set implements Source. It doesn't support the commit-confirmed extension.
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

// NewServer returns a Server that serves the values of s, which schema describes.
func NewServer(schema *Schema, s Source, log *slog.Logger) *Server {
	return &Server{schema: schema, source: s, log: log}
}

// Capabilities implements gnmi.GNMIServer: it returns the models, the encodings and the gNMI version.
func (s *Server) Capabilities(context.Context, *gnmi.CapabilityRequest) (*gnmi.CapabilityResponse, error) {
	return &gnmi.CapabilityResponse{
		SupportedModels:    s.schema.modules,
		SupportedEncodings: []gnmi.Encoding{gnmi.Encoding_JSON, gnmi.Encoding_JSON_IETF, gnmi.Encoding_PROTO},
		GNMIVersion:        gnmiVersion,
	}, nil
}

// modelStatus returns the gRPC status for a path or value that doesn't match the model.
func modelStatus(err error) error {
	code := codes.InvalidArgument
	if errors.Is(err, errNoNode) {
		code = codes.NotFound
	}
	return status.Error(code, err.Error())
}

// checkEncoding returns a gRPC status if an encoding is not supported.
func checkEncoding(e gnmi.Encoding) error {
	if e == gnmi.Encoding_JSON || e == gnmi.Encoding_JSON_IETF || e == gnmi.Encoding_PROTO {
		return nil
	}
	return status.Errorf(codes.Unimplemented, "encoding %v", e)
}

// valuesWithDefaults returns the source's values by path, with the defaults of configuration leaves that are not set.
func (s *Server) valuesWithDefaults() map[string]string {
	out := s.schema.defaults()
	current, _ := s.source.List("")
	maps.Copy(out, current)
	return out
}

// leaf is a value with its path and schema node.
type leaf struct {
	path  path
	entry *yang.Entry
	value string
}

// leavesUnder returns the leaves that p covers, that the user of ctx may read and whose schema node matches, sorted by
// path.
func (s *Server) leavesUnder(ctx context.Context, p path, match func(*yang.Entry) bool) []leaf {
	var out []leaf
	values, readable := s.valuesWithDefaults(), s.source.Readable(ctx)
	for _, key := range slices.Sorted(maps.Keys(values)) {
		leafPath := parsePath(key)
		if !p.covers(leafPath) || !readable(key) {
			continue
		}
		// Values stored under an older or newer model may have no node in this one, and are left out.
		if x, err := s.schema.entry(leafPath); err == nil && x.IsLeaf() && match(x) {
			out = append(out, leaf{leafPath, x, values[key]})
		}
	}
	return out
}

// Get implements gnmi.GNMIServer. A path that names one container or list entry gives a JSON object, unless the
// encoding is PROTO; any other path gives an update for each leaf.
func (s *Server) Get(ctx context.Context, r *gnmi.GetRequest) (*gnmi.GetResponse, error) {
	if err := checkEncoding(r.GetEncoding()); err != nil {
		return nil, err
	}
	if err := s.schema.checkModels(r.GetUseModels()); err != nil {
		return nil, err
	}
	match := func(x *yang.Entry) bool {
		switch r.GetType() {
		case gnmi.GetRequest_CONFIG:
			return !x.ReadOnly()
		case gnmi.GetRequest_STATE, gnmi.GetRequest_OPERATIONAL:
			return x.ReadOnly()
		}
		return true
	}
	resp := &gnmi.GetResponse{}
	for _, requested := range r.GetPath() {
		p, err := s.schema.pathFromGNMI(r.GetPrefix(), requested)
		if err != nil {
			return nil, modelStatus(err)
		}
		nodes, err := s.schema.entries(p)
		if err != nil {
			return nil, modelStatus(err)
		}
		leaves := s.leavesUnder(ctx, p, match)
		n := &gnmi.Notification{Timestamp: time.Now().UnixNano()}
		switch {
		case len(leaves) == 0:
			return nil, status.Errorf(codes.NotFound, "nothing at %s", p)
		case p.hasWildcard() || r.GetEncoding() == gnmi.Encoding_PROTO || nodes[0].IsLeaf() || nodes[0].IsList() && !hasAllKeys(p, nodes[0]):
			for _, l := range leaves {
				n.Update = append(n.Update, l.toUpdate(r.GetEncoding()))
			}
		default:
			text := s.schema.objectJSON(leaves, len(p), r.GetEncoding() == gnmi.Encoding_JSON_IETF && len(p) == 0)
			n.Update = append(n.Update, &gnmi.Update{Path: p.toGNMI(), Val: jsonValue(r.GetEncoding(), text)})
		}
		resp.Notification = append(resp.Notification, n)
	}
	return resp, nil
}

// checkModels returns a gRPC status if one of the models is not served.
func (s *Schema) checkModels(models []*gnmi.ModelData) error {
	for _, m := range models {
		if !s.hasModule(m.GetName()) {
			return status.Errorf(codes.Unimplemented, "model %q", m.GetName())
		}
	}
	return nil
}

// hasAllKeys reports whether the last element of a path gives all keys of list, and so names a single entry.
func hasAllKeys(p path, list *yang.Entry) bool {
	return len(p) > 0 && len(p[len(p)-1].keys) == len(strings.Fields(list.Key))
}

// jsonValue returns JSON text as a value of the requested encoding: JSON, else JSON_IETF.
func jsonValue(e gnmi.Encoding, text []byte) *gnmi.TypedValue {
	if e == gnmi.Encoding_JSON {
		return &gnmi.TypedValue{Value: &gnmi.TypedValue_JsonVal{JsonVal: text}}
	}
	return &gnmi.TypedValue{Value: &gnmi.TypedValue_JsonIetfVal{JsonIetfVal: text}}
}

// toUpdate returns the leaf as a gNMI update.
func (l leaf) toUpdate(e gnmi.Encoding) *gnmi.Update {
	v := typedValue(l.entry, l.value)
	if e != gnmi.Encoding_PROTO {
		v = jsonValue(e, l.appendJSON(nil))
	}
	return &gnmi.Update{Path: l.path.toGNMI(), Val: v}
}

// appendJSON appends the leaf's value to b as JSON.
func (l leaf) appendJSON(b []byte) []byte {
	if unquotedJSON(l.entry) {
		return append(b, l.value...)
	}
	return jsontext.Append(b, l.value)
}

// objectJSON returns the JSON object of the node that is depth elements from the root and contains all of leaves,
// which are sorted by path. With qualified, the names of its own members, but not those of nested objects, carry their
// module names (RFC 7951, 4).
func (s *Schema) objectJSON(leaves []leaf, depth int, qualified bool) []byte {
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
		if qualified {
			b = jsontext.Append(b, s.moduleOf[name]+":"+name)
		} else {
			b = jsontext.Append(b, name)
		}
		b = append(b, ':')
		switch first := leaves[i]; {
		case len(first.path) == depth+1:
			b = first.appendJSON(b)
		case first.path[depth].keys != nil:
			b = s.appendList(b, leaves[i:end], depth)
		default:
			b = append(b, s.objectJSON(leaves[i:end], depth+1, false)...)
		}
		i = end
	}
	return append(b, '}')
}

// appendList appends to b the JSON array of a list whose entries hold leaves, sorted by path.
func (s *Schema) appendList(b []byte, leaves []leaf, depth int) []byte {
	b = append(b, '[')
	for i := 0; i < len(leaves); {
		entryPath, end := leaves[i].path[:depth+1].String(), i
		for end < len(leaves) && leaves[end].path[:depth+1].String() == entryPath {
			end++
		}
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, s.objectJSON(leaves[i:end], depth+1, false)...)
		i = end
	}
	return append(b, ']')
}

// Set implements gnmi.GNMIServer. It makes all changes of the request or, if one is invalid, none.
func (s *Server) Set(ctx context.Context, r *gnmi.SetRequest) (*gnmi.SetResponse, error) {
	resp := &gnmi.SetResponse{Prefix: r.GetPrefix(), Timestamp: time.Now().UnixNano()}
	var change store.Change
	add := func(op gnmi.UpdateResult_Operation, target *gnmi.Path, v *gnmi.TypedValue) error {
		ops, err := s.storeOps(r.GetPrefix(), target, v, op)
		change.Ops = append(change.Ops, ops...)
		resp.Response = append(resp.Response, &gnmi.UpdateResult{Path: target, Op: op})
		return err
	}
	for _, p := range r.GetDelete() {
		if err := add(gnmi.UpdateResult_DELETE, p, nil); err != nil {
			return nil, modelStatus(err)
		}
	}
	for _, u := range r.GetReplace() {
		if err := add(gnmi.UpdateResult_REPLACE, u.GetPath(), u.GetVal()); err != nil {
			return nil, modelStatus(err)
		}
	}
	for _, u := range r.GetUpdate() {
		if err := add(gnmi.UpdateResult_UPDATE, u.GetPath(), u.GetVal()); err != nil {
			return nil, modelStatus(err)
		}
	}
	if len(r.GetUnionReplace()) > 0 {
		if len(change.Ops)+len(resp.Response) > 0 || !s.schema.checkedBySource {
			return nil, status.Error(codes.Unimplemented, "union_replace beside other changes")
		}
		for p := range s.schema.root.Dir { // the union of the given values replaces all of the configuration
			if ops, err := s.storeOps(nil, path{{name: p}}.toGNMI(), nil, gnmi.UpdateResult_DELETE); err == nil {
				change.Ops = append(change.Ops, ops...)
			}
		}
		for _, u := range r.GetUnionReplace() {
			if err := add(gnmi.UpdateResult_UNION_REPLACE, u.GetPath(), u.GetVal()); err != nil {
				return nil, modelStatus(err)
			}
		}
	}
	var commit *gnmi_ext.Commit
	for _, x := range r.GetExtension() {
		if e := x.GetCommit(); e != nil {
			commit = e
		}
	}
	if len(change.Ops) == 0 && commit == nil {
		return resp, nil
	}
	if err := s.source.Set(ctx, change.Ops, commit); err != nil {
		return nil, err
	}
	s.log.Info("configuration set", "changes", len(change.Ops))
	return resp, nil
}

// storeOps returns the operations on the store for one operation of a Set on a path: deletes for DELETE and REPLACE,
// and the new values for all but DELETE.
func (s *Server) storeOps(prefix, relative *gnmi.Path, v *gnmi.TypedValue, op gnmi.UpdateResult_Operation) ([]store.Op, error) {
	p, err := s.schema.pathFromGNMI(prefix, relative)
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
		current, _ := s.source.List("")
		for _, text := range slices.Sorted(maps.Keys(current)) {
			storedPath := parsePath(text)
			if y, err := s.schema.entry(storedPath); p.covers(storedPath) && err == nil && !y.ReadOnly() {
				if s.schema.checkedBySource { // the source deletes the node with all its descendants
					text = storedPath[:len(p)].String()
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
		return s.opsFromJSON(out, p, x, t.JsonVal)
	case *gnmi.TypedValue_JsonIetfVal:
		return s.opsFromJSON(out, p, x, t.JsonIetfVal)
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
	return append(out, store.Op{Path: p.String(), Value: text}), s.schema.checkValue(x, text)
}

// opsFromJSON appends to out the operations that set node x at p to a JSON value.
func (s *Server) opsFromJSON(out []store.Op, p path, x *yang.Entry, text []byte) ([]store.Op, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, err
	}
	return s.opsFromValue(out, p, x, v)
}

// opsFromValue appends to out the operations that set node x at p to v: the value of a leaf, an object with the values
// of child nodes or, for a list, also an array of entries.
func (s *Server) opsFromValue(out []store.Op, p path, x *yang.Entry, v *fastjson.Value) ([]store.Op, error) {
	if x.ReadOnly() {
		return nil, errors.New(p.String() + " is state and can't be set")
	}
	if x.IsLeaf() {
		text := string(v.GetStringBytes())
		switch v.Type() {
		case fastjson.TypeString:
		case fastjson.TypeNumber, fastjson.TypeTrue, fastjson.TypeFalse:
			if text = v.String(); !unquotedJSON(x) {
				return nil, errors.New(p.String() + ": a string is needed")
			}
		default:
			return nil, errors.New(p.String() + ": one value is needed")
		}
		return append(out, store.Op{Path: p.String(), Value: text}), s.schema.checkValue(x, text)
	}
	if x.IsList() && v.Type() == fastjson.TypeArray {
		for _, entry := range v.GetArray() {
			entryPath := append(slices.Clone(p[:len(p)-1]), elem{p[len(p)-1].name, map[string]string{}})
			for _, k := range strings.Fields(x.Key) {
				if key := entry.Get(k); key == nil {
					return nil, errors.New(p.String() + ": an entry has no " + k)
				} else if key.Type() == fastjson.TypeString {
					entryPath[len(entryPath)-1].keys[k] = string(key.GetStringBytes())
				} else {
					entryPath[len(entryPath)-1].keys[k] = key.String()
				}
			}
			var err error
			if out, err = s.opsFromValue(out, entryPath, x, entry); err != nil {
				return nil, err
			}
		}
		return out, nil
	}
	object, err := v.Object()
	if err != nil || x.IsList() && !hasAllKeys(p, x) {
		return nil, errors.New(p.String() + ": an object is needed, or an array of a list's entries")
	}
	object.Visit(func(key []byte, member *fastjson.Value) {
		name := string(key)
		if module, rest, ok := strings.Cut(name, ":"); ok && s.schema.hasModule(module) {
			name = rest
		}
		child := x.Dir[name]
		if err == nil && child == nil {
			err = errors.New(p.String() + " has no node " + name)
		}
		if err == nil {
			out, err = s.opsFromValue(out, append(slices.Clone(p), elem{name: name}), child, member)
		}
	})
	return out, err
}
