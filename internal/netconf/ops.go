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

// rpcHandlers maps a namespace and an operation name, separated by a space, to the handler. A handler returns the body
// of the reply; a nil body without an error is answered with ok.
var rpcHandlers map[string]func(*session, *etree.Element) ([]byte, error)

// init fills rpcHandlers. No handler refers to the map, so an initializer of the variable would do as well.
func init() {
	rpcHandlers = map[string]func(*session, *etree.Element) ([]byte, error){
		baseNS + " get":                         (*session).get,
		baseNS + " get-config":                  (*session).getConfig,
		baseNS + " edit-config":                 (*session).editConfig,
		baseNS + " copy-config":                 (*session).copyConfig,
		baseNS + " delete-config":               (*session).deleteConfig,
		baseNS + " lock":                        (*session).lock,
		baseNS + " unlock":                      (*session).unlock,
		baseNS + " commit":                      (*session).commit,
		baseNS + " cancel-commit":               (*session).cancelCommit,
		baseNS + " discard-changes":             (*session).discardChanges,
		baseNS + " validate":                    (*session).validate,
		baseNS + " close-session":               (*session).closeSession,
		baseNS + " kill-session":                (*session).killSession,
		monitoringNS + " get-schema":            (*session).getSchema,
		notificationNS + " create-subscription": (*session).createSubscription,
		transactionsNS + " rollback":            (*session).rollback,
	}
}

// datastoreParam returns the datastore named by a parameter such as target or source.
func datastoreParam(op *etree.Element, name string) (datastore.Target, error) {
	e := onlyChild(op, name)
	if e == nil {
		return "", missingElement(name)
	}
	elems := e.ChildElements()
	if len(elems) != 1 {
		return "", invalidValue(name, "one datastore is needed")
	}
	switch t := datastore.Target(elems[0].Tag); t {
	case datastore.Running, datastore.Candidate, datastore.Startup:
		return t, nil
	case "url":
		return "", protocolError("operation-not-supported", "url is not supported", [2]string{"bad-element", "url"})
	}
	return "", unknownElement(elems[0].Tag)
}

// checkParams returns an error for the first parameter of an operation that is not in names.
func checkParams(op *etree.Element, names ...string) error {
	for _, c := range op.ChildElements() {
		ok := false
		for _, n := range names {
			ok = ok || c.Tag == n
		}
		if !ok {
			return unknownElement(c.Tag)
		}
	}
	return nil
}

// enumParam returns the value of a parameter that has a fixed set of words, or defaultValue if the parameter is absent.
func enumParam[T any](op *etree.Element, name string, defaultValue T, values map[string]T) (T, error) {
	e := onlyChild(op, name)
	if e == nil {
		return defaultValue, nil
	}
	v, ok := values[strings.TrimSpace(e.Text())]
	if !ok {
		return defaultValue, invalidValue(name, strconv.Quote(e.Text())+" is not one of its values")
	}
	return v, nil
}

// defaultsModes maps the values of with-defaults.
var defaultsModes = map[string]defaultsMode{"explicit": explicit, "report-all": reportAll, "trim": trim, "report-all-tagged": reportAllTagged}

// dataReply returns a tree as a data element, with the request's with-defaults mode and filter applied and without what
// the user may not read. It may change the tree.
func (sess *session) dataReply(op *etree.Element, tree *schema.Node) ([]byte, error) {
	mode, err := enumParam(op, "with-defaults", explicit, defaultsModes)
	if err != nil {
		return nil, err
	}
	tree = mode.apply(tree)
	if rules := sess.nacmRules(); rules != nil {
		rules.RemoveUnreadable(sess.dsSession.User, tree)
	}
	tree, err = applyFilter(tree, onlyChild(op, "filter"))
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	b.WriteString("<data>")
	writeChildren(&b, tree, mode)
	b.WriteString("</data>")
	return b.Bytes(), nil
}

// readDatastore returns a copy of the configuration in a datastore.
func (sess *session) readDatastore(t datastore.Target) (tree *schema.Node, err error) {
	err = sess.server.Owner.Do(func(s *datastore.Store) error {
		tree, err = s.Get(t)
		return err
	})
	return tree, err
}

// get handles get: running, the YANG library, the transaction history and the state data.
func (sess *session) get(op *etree.Element) ([]byte, error) {
	if err := checkParams(op, "filter", "with-defaults"); err != nil {
		return nil, err
	}
	tree, err := sess.readDatastore(datastore.Running)
	if err != nil {
		return nil, err
	}
	addYANGLibrary(tree, sess.server.Model)
	sess.server.Owner.View(func(s *datastore.Store) { s.AddHistory(tree) })
	if sess.server.AddState != nil {
		sess.server.AddState(tree)
	}
	return sess.dataReply(op, tree)
}

// getConfig handles get-config.
func (sess *session) getConfig(op *etree.Element) ([]byte, error) {
	if err := checkParams(op, "source", "filter", "with-defaults"); err != nil {
		return nil, err
	}
	t, err := datastoreParam(op, "source")
	if err != nil {
		return nil, err
	}
	tree, err := sess.readDatastore(t)
	if err != nil {
		return nil, err
	}
	return sess.dataReply(op, tree)
}

// editConfig handles edit-config. An edit of running is one transaction.
func (sess *session) editConfig(op *etree.Element) ([]byte, error) {
	if err := checkParams(op, "target", "default-operation", "test-option", "error-option", "config"); err != nil {
		return nil, err
	}
	t, err := datastoreParam(op, "target")
	if err != nil {
		return nil, err
	}
	defaultOp, err := enumParam(op, "default-operation", datastore.Merge, map[string]datastore.Operation{"merge": datastore.Merge,
		"replace": datastore.Replace, "none": datastore.None})
	if err != nil {
		return nil, err
	}
	var edit datastore.Edit
	if edit.Test, err = enumParam(op, "test-option", datastore.TestThenSet, map[string]datastore.TestOption{
		"test-then-set": datastore.TestThenSet, "set": datastore.Set, "test-only": datastore.TestOnly}); err != nil {
		return nil, err
	}
	if edit.OnError, err = enumParam(op, "error-option", datastore.StopOnError, map[string]datastore.ErrorOption{
		"stop-on-error": datastore.StopOnError, "continue-on-error": datastore.ContinueOnError,
		"rollback-on-error": datastore.RollbackOnError}); err != nil {
		return nil, err
	}
	config := onlyChild(op, "config")
	if config == nil {
		return nil, missingElement("config")
	}
	if edit.Root, err = parseEdit(sess.server.Model, config, defaultOp); err != nil {
		return nil, err
	}
	switch {
	case t == datastore.Candidate:
		return nil, sess.server.Owner.Do(func(s *datastore.Store) error { return s.Edit(sess.dsSession.ID, edit) })
	case t == datastore.Startup:
		return nil, protocolError("operation-not-supported", "startup is changed by copy-config and delete-config")
	case edit.Test == datastore.TestOnly:
		return nil, sess.server.Owner.Do(func(s *datastore.Store) error { return s.TestEdit(sess.dsSession.ID, edit) })
	}
	return nil, sess.execute(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Change(sess.dsSession.ID, edit, datastore.Commit{}, at)
	})
}

// execute runs the transaction that begin returns. When it returns nil, the transaction is durable and in force.
func (sess *session) execute(begin func(*datastore.Store, time.Time) (*datastore.Txn, error)) error {
	_, err := sess.server.Owner.Execute(begin)
	return err
}

// sourceConfig returns the configuration given by the source parameter: inline, or a copy of a datastore without what
// the user may not read.
func (sess *session) sourceConfig(op *etree.Element) (*schema.Node, error) {
	e := onlyChild(op, "source")
	if e == nil {
		return nil, missingElement("source")
	}
	if config := onlyChild(e, "config"); config != nil {
		return parseConfig(sess.server.Model, config)
	}
	t, err := datastoreParam(op, "source")
	if err != nil {
		return nil, err
	}
	tree, err := sess.readDatastore(t)
	if rules := sess.nacmRules(); rules != nil && err == nil {
		// copy-config omits nodes that the user may not read (RFC 8341, 3.2.4)
		rules.RemoveUnreadable(sess.dsSession.User, tree)
	}
	return tree, err
}

// copyConfig handles copy-config.
func (sess *session) copyConfig(op *etree.Element) ([]byte, error) {
	if err := checkParams(op, "target", "source", "with-defaults"); err != nil {
		return nil, err
	}
	t, err := datastoreParam(op, "target")
	if err != nil {
		return nil, err
	}
	if source, err := datastoreParam(op, "source"); err == nil && source == t {
		return nil, invalidValue("target", "source and target are the same")
	}
	tree, err := sess.sourceConfig(op)
	if err != nil {
		return nil, err
	}
	if t == datastore.Candidate {
		return nil, sess.server.Owner.Do(func(s *datastore.Store) error { return s.Replace(sess.dsSession.ID, tree) })
	}
	return nil, sess.execute(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Copy(sess.dsSession.ID, t, tree, at)
	})
}

// deleteConfig handles delete-config, which is allowed for startup only.
func (sess *session) deleteConfig(op *etree.Element) ([]byte, error) {
	if err := checkParams(op, "target"); err != nil {
		return nil, err
	}
	t, err := datastoreParam(op, "target")
	if err != nil {
		return nil, err
	}
	if t != datastore.Startup {
		return nil, invalidValue("target", "only startup can be deleted")
	}
	return nil, sess.execute(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Copy(sess.dsSession.ID, t, sess.server.Model.NewTree(), at)
	})
}

func (sess *session) lock(op *etree.Element) ([]byte, error) {
	return nil, sess.changeLock(op, (*datastore.Store).Lock)
}

func (sess *session) unlock(op *etree.Element) ([]byte, error) {
	return nil, sess.changeLock(op, (*datastore.Store).Unlock)
}

// changeLock applies change, Lock or Unlock, to the datastore in the target parameter.
func (sess *session) changeLock(op *etree.Element, change func(*datastore.Store, datastore.SessionID, datastore.Target) error) error {
	if err := checkParams(op, "target"); err != nil {
		return err
	}
	t, err := datastoreParam(op, "target")
	if err != nil {
		return err
	}
	return sess.server.Owner.Do(func(s *datastore.Store) error { return change(s, sess.dsSession.ID, t) })
}

// commit handles commit, confirmed commits and their confirmation.
func (sess *session) commit(op *etree.Element) ([]byte, error) {
	if err := checkParams(op, "confirmed", "confirm-timeout", "persist", "persist-id"); err != nil {
		return nil, err
	}
	c := datastore.Commit{Confirmed: onlyChild(op, "confirmed") != nil, Persist: childText(op, "persist"), PersistID: childText(op, "persist-id")}
	if e := onlyChild(op, "confirm-timeout"); e != nil {
		n, err := strconv.ParseUint(strings.TrimSpace(e.Text()), 10, 32)
		if err != nil || n == 0 {
			return nil, invalidValue("confirm-timeout", "a number of seconds is needed")
		}
		c.Timeout = time.Duration(n) * time.Second
	}
	if !c.Confirmed && (c.Persist != "" || c.Timeout > 0) {
		return nil, invalidValue("commit", "persist and confirm-timeout are for a confirmed commit")
	}
	return nil, sess.execute(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Commit(sess.dsSession.ID, c, at)
	})
}

// childText returns the trimmed text of a child element, or "" if there is not exactly one of the name.
func childText(op *etree.Element, name string) string {
	if e := onlyChild(op, name); e != nil {
		return strings.TrimSpace(e.Text())
	}
	return ""
}

// cancelCommit handles cancel-commit, which reverts a confirmed commit.
func (sess *session) cancelCommit(op *etree.Element) ([]byte, error) {
	if err := checkParams(op, "persist-id"); err != nil {
		return nil, err
	}
	return nil, sess.execute(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Cancel(sess.dsSession.ID, childText(op, "persist-id"), at)
	})
}

// discardChanges handles discard-changes.
func (sess *session) discardChanges(op *etree.Element) ([]byte, error) {
	if err := checkParams(op); err != nil {
		return nil, err
	}
	return nil, sess.server.Owner.Do(func(s *datastore.Store) error { return s.Discard(sess.dsSession.ID) })
}

// validate handles validate.
func (sess *session) validate(op *etree.Element) ([]byte, error) {
	if err := checkParams(op, "source"); err != nil {
		return nil, err
	}
	tree, err := sess.sourceConfig(op)
	if err != nil {
		return nil, err
	}
	return nil, sess.server.Owner.Do(func(s *datastore.Store) error { return s.Check(tree) })
}

// closeSession handles close-session. The session ends once the reply is sent.
func (sess *session) closeSession(op *etree.Element) ([]byte, error) {
	if err := checkParams(op); err != nil {
		return nil, err
	}
	sess.closing = true
	return nil, nil
}

// killSession handles kill-session.
func (sess *session) killSession(op *etree.Element) ([]byte, error) {
	if err := checkParams(op, "session-id"); err != nil {
		return nil, err
	}
	n, err := strconv.ParseUint(childText(op, "session-id"), 10, 32)
	id := datastore.SessionID(n)
	if err != nil || id == sess.dsSession.ID {
		return nil, invalidValue("session-id", "the number of another session is needed")
	}
	sess.server.mu.Lock()
	other := sess.server.sessions[id]
	sess.server.mu.Unlock()
	if other == nil {
		return nil, invalidValue("session-id", fmt.Sprintf("no session %d is open", n))
	}
	other.conn.Close()
	sess.server.Owner.CloseSession(id) // releases its locks before the reply is sent
	return nil, nil
}

// rollback handles rollback (module brookmux-transactions), which restores an earlier revision in running.
func (sess *session) rollback(op *etree.Element) ([]byte, error) {
	if err := checkParams(op, "revision", "comment"); err != nil {
		return nil, err
	}
	n, err := strconv.ParseUint(childText(op, "revision"), 10, 64)
	if err != nil {
		return nil, invalidValue("revision", "the number of a revision is needed")
	}
	return nil, sess.execute(func(s *datastore.Store, at time.Time) (*datastore.Txn, error) {
		return s.Rollback(sess.dsSession.ID, n, at, childText(op, "comment"))
	})
}

// addYANGLibrary adds the YANG library, the list of modules, to a tree (RFC 8525).
func addYANGLibrary(tree *schema.Node, m *schema.Model) {
	const root = "/yang-library/"
	items := []schema.Item{{Path: root + "content-id", Value: m.ID}, {Path: root + "schema[name='all']/module-set[.='all']", Value: "all"}}
	for _, mod := range m.Modules {
		module := root + "module-set[name='all']/module[name=" + schema.Quote(mod.Name) + "]/"
		items = append(items, schema.Item{Path: module + "revision", Value: mod.Revision}, schema.Item{Path: module + "namespace", Value: mod.Namespace})
	}
	for _, i := range items {
		_ = tree.Put(i) // cannot fail: the model includes ietf-yang-library; TestSessions reads it back
	}
}

// getSchema handles get-schema, which returns the text of a module (RFC 6022, 3.1).
func (sess *session) getSchema(op *etree.Element) ([]byte, error) {
	if err := checkParams(op, "identifier", "version", "format"); err != nil {
		return nil, err
	}
	name, version, format := childText(op, "identifier"), childText(op, "version"), childText(op, "format")
	if name == "" {
		return nil, missingElement("identifier")
	}
	if _, rest, ok := strings.Cut(format, ":"); ok {
		format = rest
	}
	for _, m := range sess.server.Model.Modules {
		if m.Name == name && (version == "" || version == m.Revision) && (format == "" || format == "yang") {
			var b bytes.Buffer
			b.WriteString(`<data xmlns="` + monitoringNS + `">`)
			writeEscaped(&b, m.Text)
			b.WriteString("</data>")
			return b.Bytes(), nil
		}
	}
	return nil, &rpcError{errorType: "application", tag: "invalid-value", message: "there is no such schema"}
}
