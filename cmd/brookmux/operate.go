package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"golang.org/x/crypto/ssh"

	"brookmux/internal/core"
	"brookmux/internal/datastore"
	"brookmux/internal/intent"
	"brookmux/internal/journal"
	"brookmux/internal/mgmt"
	"brookmux/internal/nacm"
	"brookmux/internal/netconf"
	"brookmux/internal/schema"
	"brookmux/internal/settings"
	"brookmux/internal/sipfront"
	"brookmux/internal/storm"
	"brookmux/internal/tomlfile"
	"brookmux/internal/transact"
	"brookmux/yang"
)

const (
	// defaultKeep is the number of revisions kept for rollback if the file sets none.
	defaultKeep      = 50
	maxSessions      = 32
	operatorInterval = 250 * time.Millisecond
)

// netconfConfig is the content of deploy/netconf.toml, with the keys that check reads.
type netconfConfig struct {
	Enabled  bool     `toml:"enabled"`
	Listen   string   `toml:"listen"`    // address of the NETCONF listener; empty for none
	HostKeys []string `toml:"host_keys"` // files with private keys; several during a key change
	Journal  string   `toml:"journal"`   // directory of the commit journal; empty to keep it in memory
	Keep     int      `toml:"keep"`      // revisions kept for rollback, 0 for the default of 50
	Users    []struct {
		Name string   `toml:"name"`
		Keys []string `toml:"keys"` // as in authorized_keys
		// Recovery marks a user who may do everything, whatever the rules under /nacm (RFC 8341, 3.5.2).
		Recovery bool `toml:"recovery"`
	} `toml:"user"`

	hostSigners   []ssh.Signer
	userKeys      map[string][]ssh.PublicKey
	recoveryUsers map[string]bool // by name
}

// loadNETCONF reads and checks the file. Without a file it returns a disabled configuration: operators can't change the
// configuration while the program runs.
func loadNETCONF(path string) (netconfConfig, error) {
	var c netconfConfig
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return c, nil
	}
	if err != nil {
		return c, fmt.Errorf("netconf: configuration: %w", err)
	}
	if err := tomlfile.Decode(text, &c); err != nil {
		return c, fmt.Errorf("netconf: configuration %s: %w", path, err)
	}
	if err := c.check(); err != nil {
		return c, fmt.Errorf("netconf: configuration %s: %w", path, err)
	}
	return c, nil
}

// check reads the host keys and user keys, and fills in defaults. Its error names the field at fault.
func (c *netconfConfig) check() error {
	if !c.Enabled {
		return nil
	}
	if c.Keep < 0 || c.Keep > 1000 {
		return fmt.Errorf("keep is %d: must be 1 to 1000, or 0 for %d", c.Keep, defaultKeep)
	}
	if c.Keep == 0 {
		c.Keep = defaultKeep
	}
	for i, file := range c.HostKeys {
		text, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("host_keys[%d]: %w", i, err)
		}
		k, err := ssh.ParsePrivateKey(text)
		if err != nil {
			return fmt.Errorf("host_keys[%d]: %s: %w", i, file, err)
		}
		c.hostSigners = append(c.hostSigners, k)
	}
	c.userKeys, c.recoveryUsers = map[string][]ssh.PublicKey{}, map[string]bool{}
	for i, u := range c.Users {
		if u.Name == "" || c.userKeys[u.Name] != nil {
			return fmt.Errorf("user[%d]: name is missing or used twice", i)
		}
		c.recoveryUsers[u.Name] = u.Recovery
		for n, text := range u.Keys {
			k, _, _, _, err := ssh.ParseAuthorizedKey([]byte(text))
			if err != nil {
				return fmt.Errorf("user[%d].keys[%d]: %w", i, n, err)
			}
			c.userKeys[u.Name] = append(c.userKeys[u.Name], k)
		}
		if len(u.Keys) == 0 {
			return fmt.Errorf("user[%d].keys: at least one key is needed", i)
		}
	}
	if c.Listen != "" && (len(c.hostSigners) == 0 || len(c.userKeys) == 0) {
		return errors.New("listen: host_keys and a user are needed")
	}
	return nil
}

// access implements netconf.Access with the keys of the configuration file.
type access struct{ netconfConfig }

// HostKeys implements netconf.Access, as does AuthorizedKeys.
func (a access) HostKeys() []ssh.Signer                     { return a.hostSigners }
func (a access) AuthorizedKeys(user string) []ssh.PublicKey { return a.userKeys[user] }

// stormEvents sends an event for each scope whose storm state differs from the previous report, and returns the current
// states. It returns nil if storm control is off.
func stormEvents(previous map[storm.Scope]storm.State, s *core.Storm,
	notify func(string, ...[2]string)) map[storm.Scope]storm.State {
	if s == nil {
		return nil
	}
	current := map[storm.Scope]storm.State{}
	for _, x := range s.Scopes {
		if current[x.Scope] = x.State; previous[x.Scope] != x.State { // a missing state equals calm
			notify("storm-state-change", [2]string{"kind", x.Scope.Kind}, [2]string{"name", x.Scope.Name}, [2]string{"state", x.State.String()})
		}
	}
	return current
}

// overlay applies the operators' configuration over the platform's settings whenever either changes.
type overlay struct {
	engine     *core.Engine
	front      *sipfront.Front
	setMaxOpen func(int) // sets the limit on calls open at a time

	mu         sync.Mutex
	tree       *schema.Node // the operators' configuration with defaults; nil before the first
	settings   settings.Settings
	maxBytes   int64
	maxCallers int
}

// setPlatform replaces the platform's settings and limits, or returns an error and changes nothing.
func (o *overlay) setPlatform(s settings.Settings, maxBytes int64, maxCallers int) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.apply(s, maxBytes, maxCallers, o.tree); err != nil {
		return err
	}
	o.settings, o.maxBytes, o.maxCallers = s, maxBytes, maxCallers
	return nil
}

// setConfigured replaces the operators' configuration, or returns an error and changes nothing.
func (o *overlay) setConfigured(tree *schema.Node) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tree != nil && equalUnder(o.tree, tree, "classes", "limits") {
		return nil // a change elsewhere does not concern the engine's settings
	}
	if err := o.apply(o.settings, o.maxBytes, o.maxCallers, tree); err != nil {
		return err
	}
	o.tree = tree
	return nil
}

// equalUnder reports whether two trees are equal under the named top-level nodes.
func equalUnder(a, b *schema.Node, names ...string) bool {
	for _, name := range names {
		x, y := a.Get(name), b.Get(name)
		if (x == nil) != (y == nil) || x != nil && len(schema.Diff(x, y)) > 0 {
			return false
		}
	}
	return true
}

// apply applies the settings with the configuration over them to the engine and the front. The lock must be held.
func (o *overlay) apply(s settings.Settings, maxBytes int64, maxCallers int, tree *schema.Node) (err error) {
	if tree != nil {
		if s, err = intent.ApplySettings(s, tree); err != nil {
			return err
		}
		maxCallers = intent.MaxCallers(tree, maxCallers)
	}
	if err := o.engine.Configure(s, maxBytes); err != nil {
		return err
	}
	o.front.SetMaxConns(maxCallers)
	o.setMaxOpen(s.MaxOpenCalls)
	return nil
}

// settingsPart applies a committed configuration's classes and limits.
type settingsPart struct{ *overlay }

// Name implements transact.Part, as does Apply.
func (settingsPart) Name() string { return "settings" }

func (p settingsPart) Apply(_ uint64, running *schema.Node, _ []schema.Change) error {
	return p.setConfigured(schema.WithDefaults(running))
}

// rejectStartOnly is a datastore guard. It rejects the settings that are read only at start, from files of their own.
func rejectStartOnly(_, next *schema.Node) (faults []schema.Fault) {
	for node, file := range map[string]string{"storm": "deploy/storm.toml", "m3ua": "deploy/m3ua.toml"} {
		if n := next.Get(node); n != nil && (n.Len() > 0 || n.Def.Presence) {
			faults = append(faults, schema.Fault{Tag: schema.OperationNotSupported, Path: n.Path(),
				Message: "it is read at the start only, from " + file})
		}
	}
	return faults
}

// operator is the transactional configuration with its NETCONF and gNMI access.
type operator struct {
	owner         *transact.Owner
	server        *netconf.Server
	gnmi          *mgmt.Transactional
	model         *schema.Model
	recoveryUsers map[string]bool // by name
	log           *slog.Logger
}

// openOperator opens the journal, applies the configuration it holds and, if an address is configured, starts the
// NETCONF listener. It returns nil if NETCONF is not enabled. Errors of the listener go to failed.
func openOperator(ctx context.Context, c netconfConfig, table *exchangeTable, settingsOverlay *overlay, m *manager,
	zones []string, failed chan<- error) (*operator, error) {
	log := m.log
	if !c.Enabled {
		return nil, nil
	}
	model, err := schema.Load(yang.Files)
	if err != nil {
		return nil, err
	}
	o := &operator{log: log, model: model, recoveryUsers: c.recoveryUsers}
	drains := &datastore.Drains{}
	table.recordDrains(drains)
	conf := transact.Config{Store: datastore.Config{Model: model, Keep: c.Keep, MaxSessions: maxSessions,
		Guards: []datastore.Guard{drains.Guard, rejectStartOnly, nacm.Check},
		Access: func(who datastore.Session, running, old, next *schema.Node, changes []schema.Change) []schema.Fault {
			if c.recoveryUsers[who.User] {
				return nil
			}
			return nacm.NewRules(running).DeniedChanges(who.User, old, next, changes)
		}}, Now: time.Now, Log: log,
		Parts: []transact.Part{settingsPart{settingsOverlay}, managerPart{m},
			&exchangesPart{exchangeTable: table, zones: zones}},
		OnTransaction: func(e transact.Event) {
			if o.server != nil {
				o.server.PublishTransaction(e)
			}
		}}
	if c.Journal != "" {
		j, records, err := journal.Open(vfs.Default, c.Journal, log)
		if err != nil {
			return nil, err
		}
		conf.Journal, conf.Records = j, records
		log.Info("journal", "folder", c.Journal, "records", len(records))
	}
	if o.owner, err = transact.New(conf); err != nil {
		if conf.Journal != nil {
			err = errors.Join(err, conf.Journal.Close())
		}
		return nil, err
	}
	o.drainRemoved(table, zones)
	table.mu.Lock()
	table.onDraining = func() {
		_ = o.owner.Do(func(*datastore.Store) error { table.recordDrains(drains); return nil }) // can't fail
	}
	table.mu.Unlock()
	table.onDraining() // lists may have arrived since drains was filled
	o.gnmi = mgmt.NewTransactional(o.owner, table.addState, func() map[string]string {
		set, _ := m.store.List("/border-control/controllers/")
		return set
	}, o.rules)
	o.server = netconf.NewServer(netconf.Config{Owner: o.owner, Model: model, AddState: table.addState, Now: time.Now, Log: log, Rules: o.rules})
	table.mu.Lock()
	table.notify = o.server.PublishEvent
	table.mu.Unlock()
	m.mu.Lock()
	m.notify = o.server.PublishEvent
	m.mu.Unlock()
	go o.runPeriodic(ctx, table)
	if c.Listen == "" {
		return o, nil
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("netconf: listen: %w", err), o.owner.Close())
	}
	log.Info("netconf listens", "address", l.Addr().String())
	go func() {
		if err := netconf.NewListener(o.server, access{c}, log).Serve(ctx, l); err != nil {
			failed <- err
		}
	}()
	return o, nil
}

// drainRemoved has the exchanges drain that were removed shortly before the program started, or by the revert of a pending
// commit at the start: calls of the process before may stand there.
func (o *operator) drainRemoved(table *exchangeTable, zones []string) {
	now := time.Now()
	var former []datastore.Superseded
	var err error
	o.owner.View(func(s *datastore.Store) { former, err = s.SupersededSince(now.Add(-intent.DrainAfterRemoval)) })
	if err != nil {
		o.log.Error("removed exchanges not known", "error", err)
		return
	}
	var removed []intent.RemovedExchange
	for _, x := range former {
		list, err := intent.Exchanges(schema.WithDefaults(x.Running), zones)
		if err != nil {
			o.log.Warn("removed exchanges not known", "error", err)
			continue
		}
		for _, e := range list {
			removed = append(removed, intent.RemovedExchange{Exchange: e, Ago: now.Sub(x.At)})
		}
	}
	table.addRemoved(removed)
}

// rules returns the access control rules of the running configuration for a user, nil for a recovery user.
func (o *operator) rules(user string) (r *nacm.Rules) {
	if o.recoveryUsers[user] {
		return nil
	}
	o.owner.View(func(s *datastore.Store) {
		if tree, err := s.Get(datastore.Running); err == nil {
			r = nacm.NewRules(tree)
		}
	})
	return r
}

// runPeriodic reverts commits that were not confirmed in time, drops removed exchanges whose drain is over, and sends
// pending events to the subscribers of NETCONF and gNMI, until the context ends.
func (o *operator) runPeriodic(ctx context.Context, table *exchangeTable) {
	t := time.NewTicker(operatorInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			o.owner.Tick()
			table.tick()
			table.sendEvents()
			o.gnmi.PublishChanges()
		}
	}
}

// close ends the sessions and the journal.
func (o *operator) close() {
	if o == nil {
		return
	}
	o.server.Close()
	if err := o.owner.Close(); err != nil {
		o.log.Warn("journal", "error", err)
	}
}
