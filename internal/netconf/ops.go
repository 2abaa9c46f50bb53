package netconf

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/beevik/etree"

	"brookmux/internal/datastore"
	"brookmux/internal/schema"
)

// rpcs are the operations, by namespace and name. One that returns no body and no error is answered with ok.
var rpcs map[string]func(*session, *etree.Element) ([]byte, error)

func init() { // the operations need the table to be complete
	rpcs = map[string]func(*session, *etree.Element) ([]byte, error){
		base + " get":                   (*session).get,
		base + " get-config":            (*session).getConfig,
		base + " edit-config":           (*session).editConfig,
		base + " copy-config":           (*session).copyConfig,
		base + " delete-config":         (*session).deleteConfig,
		base + " lock":                  (*session).lock,
		base + " unlock":                (*session).unlock,
		base + " commit":                (*session).commit,
		base + " cancel-commit":         (*session).cancelCommit,
		base + " discard-changes":       (*session).discard,
		base + " validate":              (*session).validate,
		base + " close-session":         (*session).closeSession,
		base + " kill-session":          (*session).killSession,
		monitoring + " get-schema":      (*session).getSchema,
		events + " create-subscription": (*session).subscribe,
		history + " rollback":           (*session).rollback,
	}
}

// target reads the datastore that a parameter names.
func target(op *etree.Element, name string) (datastore.Target, error) {
	e := only(op, name)
	if e == nil {
		return "", missing(name)
	}
	kids := e.ChildElements()
	if len(kids) != 1 {
		return "", bad(name, "one datastore is needed")
	}
	switch t := datastore.Target(kids[0].Tag); t {
	case datastore.Running, datastore.Candidate, datastore.Startup:
		return t, nil
	case "url":
		return "", protocol("operation-not-supported", "url is not supported", [2]string{"bad-element", "url"})
	}
	return "", unknown(kids[0].Tag)
}

// params refuses parameters that are not known.
func params(op *etree.Element, names ...string) error {
	for _, c := range op.ChildElements() {
		ok := false
		for _, n := range names {
			ok = ok || c.Tag == n
		}
		if !ok {
			return unknown(c.Tag)
		}
	}
	return nil
}

// choice reads a parameter that is one of a list of words.
func choice[T any](op *etree.Element, name string, usual T, words map[string]T) (T, error) {
	e := only(op, name)
	if e == nil {
		return usual, nil
	}
	v, ok := words[strings.TrimSpace(e.Text())]
	if !ok {
		return usual, bad(name, strconv.Quote(e.Text())+" is not one of its values")
	}
	return v, nil
}

var modes = map[string]mode{"explicit": explicit, "report-all": reportAll, "trim": trim, "report-all-tagged": tagAll}

// data writes a tree as a request wants it.
func (x *session) data(op *etree.Element, tree *schema.Node) ([]byte, error) {
	m, err := choice(op, "with-defaults", explicit, modes)
	if err != nil {
		return nil, err
	}
	tree = m.shown(tree)
	if r := x.rules(); r != nil {
		r.Shown(x.who.User, tree)
	}
	tree, err = filtered(tree, only(op, "filter"))
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	b.WriteString("<data>")
	writeTree(&b, tree, m)
	b.WriteString("</data>")
	return b.Bytes(), nil
}

// read returns a copy of a datastore.
func (x *session) read(t datastore.Target) (tree *schema.Node, err error) {
	err = x.server.Owner.Do(func(s *datastore.Store) error {
		tree, err = s.Get(t)
		return err
	})
	return tree, err
}

func (x *session) get(op *etree.Element) ([]byte, error) {
	if err := params(op, "filter", "with-defaults"); err != nil {
		return nil, err
	}
	tree, err := x.read(datastore.Running)
	if err != nil {
		return nil, err
	}
	library(tree, x.server.Model)
	x.server.Owner.Look(func(s *datastore.Store) { s.Tell(tree) })
	if x.server.State != nil {
		x.server.State(tree)
	}
	return x.data(op, tree)
}

func (x *session) getConfig(op *etree.Element) ([]byte, error) {
	if err := params(op, "source", "filter", "with-defaults"); err != nil {
		return nil, err
	}
	t, err := target(op, "source")
	if err != nil {
		return nil, err
	}
	tree, err := x.read(t)
	if err != nil {
		return nil, err
	}
	return x.data(op, tree)
}

func (x *session) editConfig(op *etree.Element) ([]byte, error) {
	if err := params(op, "target", "default-operation", "test-option", "error-option", "config"); err != nil {
		return nil, err
	}
	t, err := target(op, "target")
	if err != nil {
		return nil, err
	}
	def, err := choice(op, "default-operation", datastore.Merge, map[string]datastore.Operation{"merge": datastore.Merge,
		"replace": datastore.Replace, "none": datastore.None})
	if err != nil {
		return nil, err
	}
	var e datastore.Edit
	if e.Test, err = choice(op, "test-option", datastore.TestThenSet, map[string]datastore.TestOption{
		"test-then-set": datastore.TestThenSet, "set": datastore.Set, "test-only": datastore.TestOnly}); err != nil {
		return nil, err
	}
	if e.OnError, err = choice(op, "error-option", datastore.StopOnError, map[string]datastore.ErrorOption{
		"stop-on-error": datastore.StopOnError, "continue-on-error": datastore.ContinueOnError,
		"rollback-on-error": datastore.RollbackOnError}); err != nil {
		return nil, err
	}
	config := only(op, "config")
	if config == nil {
		return nil, missing("config")
	}
	if e.Root, err = editOf(x.server.Model, config, def); err != nil {
		return nil, err
	}
	switch {
	case t == datastore.Candidate:
		return nil, x.server.Owner.Do(func(s *datastore.Store) error { return s.Edit(x.who.ID, e) })
	case t == datastore.Startup:
		return nil, protocol("operation-not-supported", "startup is changed by copy-config and delete-config")
	case e.Test == datastore.TestOnly:
		return nil, x.server.Owner.Do(func(s *datastore.Store) error { return s.Try(x.who.ID, e) })
	}
	return nil, x.make(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Change(x.who.ID, e, datastore.Commit{}, at)
	})
}

// make carries out a transaction.
func (x *session) make(f func(*datastore.Store, time.Time) (*datastore.Txn, error)) error {
	_, err := x.server.Owner.Make(f)
	return err
}

// source reads the configuration that a parameter names or holds.
func (x *session) source(op *etree.Element) (*schema.Node, error) {
	e := only(op, "source")
	if e == nil {
		return nil, missing("source")
	}
	if config := only(e, "config"); config != nil {
		return configOf(x.server.Model, config)
	}
	t, err := target(op, "source")
	if err != nil {
		return nil, err
	}
	tree, err := x.read(t)
	if r := x.rules(); r != nil && err == nil {
		r.Shown(x.who.User, tree) // what may not be read is not copied (RFC 8341, 3.2.4)
	}
	return tree, err
}

func (x *session) copyConfig(op *etree.Element) ([]byte, error) {
	if err := params(op, "target", "source", "with-defaults"); err != nil {
		return nil, err
	}
	t, err := target(op, "target")
	if err != nil {
		return nil, err
	}
	if from, err := target(op, "source"); err == nil && from == t {
		return nil, bad("target", "source and target are the same")
	}
	tree, err := x.source(op)
	if err != nil {
		return nil, err
	}
	if t == datastore.Candidate {
		return nil, x.server.Owner.Do(func(s *datastore.Store) error { return s.Replace(x.who.ID, tree) })
	}
	return nil, x.make(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Copy(x.who.ID, t, tree, at)
	})
}

func (x *session) deleteConfig(op *etree.Element) ([]byte, error) {
	if err := params(op, "target"); err != nil {
		return nil, err
	}
	t, err := target(op, "target")
	if err != nil {
		return nil, err
	}
	if t != datastore.Startup {
		return nil, bad("target", "only startup can be deleted")
	}
	return nil, x.make(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Copy(x.who.ID, t, x.server.Model.NewTree(), at)
	})
}

func (x *session) lock(op *etree.Element) ([]byte, error) {
	return nil, x.locks(op, (*datastore.Store).Lock)
}

func (x *session) unlock(op *etree.Element) ([]byte, error) {
	return nil, x.locks(op, (*datastore.Store).Unlock)
}

func (x *session) locks(op *etree.Element, f func(*datastore.Store, datastore.SessionID, datastore.Target) error) error {
	if err := params(op, "target"); err != nil {
		return err
	}
	t, err := target(op, "target")
	if err != nil {
		return err
	}
	return x.server.Owner.Do(func(s *datastore.Store) error { return f(s, x.who.ID, t) })
}

func (x *session) commit(op *etree.Element) ([]byte, error) {
	if err := params(op, "confirmed", "confirm-timeout", "persist", "persist-id"); err != nil {
		return nil, err
	}
	c := datastore.Commit{Confirmed: only(op, "confirmed") != nil, Persist: text(op, "persist"), PersistID: text(op, "persist-id")}
	if e := only(op, "confirm-timeout"); e != nil {
		n, err := strconv.ParseUint(strings.TrimSpace(e.Text()), 10, 32)
		if err != nil || n == 0 {
			return nil, bad("confirm-timeout", "a number of seconds is needed")
		}
		c.Timeout = time.Duration(n) * time.Second
	}
	if !c.Confirmed && (c.Persist != "" || c.Timeout > 0) {
		return nil, bad("commit", "persist and confirm-timeout are for a confirmed commit")
	}
	return nil, x.make(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) { return s.Commit(x.who.ID, c, at) })
}

// text is a parameter's text, or empty.
func text(op *etree.Element, name string) string {
	if e := only(op, name); e != nil {
		return strings.TrimSpace(e.Text())
	}
	return ""
}

func (x *session) cancelCommit(op *etree.Element) ([]byte, error) {
	if err := params(op, "persist-id"); err != nil {
		return nil, err
	}
	return nil, x.make(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Cancel(x.who.ID, text(op, "persist-id"), at)
	})
}

func (x *session) discard(op *etree.Element) ([]byte, error) {
	if err := params(op); err != nil {
		return nil, err
	}
	return nil, x.server.Owner.Do(func(s *datastore.Store) error { return s.Discard(x.who.ID) })
}

func (x *session) validate(op *etree.Element) ([]byte, error) {
	if err := params(op, "source"); err != nil {
		return nil, err
	}
	tree, err := x.source(op)
	if err != nil {
		return nil, err
	}
	return nil, x.server.Owner.Do(func(s *datastore.Store) error { return s.Check(tree) })
}

func (x *session) closeSession(op *etree.Element) ([]byte, error) {
	if err := params(op); err != nil {
		return nil, err
	}
	x.ending = true
	return nil, nil
}

func (x *session) killSession(op *etree.Element) ([]byte, error) {
	if err := params(op, "session-id"); err != nil {
		return nil, err
	}
	n, err := strconv.ParseUint(text(op, "session-id"), 10, 32)
	id := datastore.SessionID(n)
	if err != nil || id == x.who.ID {
		return nil, bad("session-id", "the number of another session is needed")
	}
	x.server.mu.Lock()
	other := x.server.live[id]
	x.server.mu.Unlock()
	if other == nil {
		return nil, bad("session-id", fmt.Sprintf("no session %d is open", n))
	}
	other.conn.Close()
	x.server.Owner.Close(id) // its locks are free when this is answered
	return nil, nil
}

// rollback puts an earlier revision in force again (module brookmux-transactions).
func (x *session) rollback(op *etree.Element) ([]byte, error) {
	if err := params(op, "revision", "comment"); err != nil {
		return nil, err
	}
	n, err := strconv.ParseUint(text(op, "revision"), 10, 64)
	if err != nil {
		return nil, bad("revision", "the number of a revision is needed")
	}
	return nil, x.make(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Rollback(x.who.ID, n, at, text(op, "comment"))
	})
}

// library adds the modules to a tree (RFC 8525).
func library(tree *schema.Node, m *schema.Model) {
	const at = "/yang-library/"
	items := []schema.Item{{Path: at + "content-id", Value: m.ID}, {Path: at + "schema[name='all']/module-set[.='all']", Value: "all"}}
	for _, x := range m.Modules {
		module := at + "module-set[name='all']/module[name=" + schema.Quote(x.Name) + "]/"
		items = append(items, schema.Item{Path: module + "revision", Value: x.Revision}, schema.Item{Path: module + "namespace", Value: x.Namespace})
	}
	for _, i := range items {
		_ = tree.Put(i) // the model has all of them, see the tests
	}
}

// getSchema returns a module's text (RFC 6022, 3.1).
func (x *session) getSchema(op *etree.Element) ([]byte, error) {
	if err := params(op, "identifier", "version", "format"); err != nil {
		return nil, err
	}
	name, version, format := text(op, "identifier"), text(op, "version"), text(op, "format")
	if name == "" {
		return nil, missing("identifier")
	}
	if _, rest, ok := strings.Cut(format, ":"); ok {
		format = rest
	}
	for _, m := range x.server.Model.Modules {
		if m.Name == name && (version == "" || version == m.Revision) && (format == "" || format == "yang") {
			var b bytes.Buffer
			b.WriteString(`<data xmlns="` + monitoring + `">`)
			escape(&b, m.Text)
			b.WriteString("</data>")
			return b.Bytes(), nil
		}
	}
	return nil, &rpcError{kind: "application", tag: "invalid-value", message: "there is no such schema"}
}
