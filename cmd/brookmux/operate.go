package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"golang.org/x/crypto/ssh"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/corelink"
	"brookmux/internal/datastore"
	"brookmux/internal/directory"
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
	usualKeep    = 50
	mostSessions = 32
	operateEvery = 250 * time.Millisecond
)

// operateConfig is what deploy/netconf.toml says.
type operateConfig struct {
	Enabled  bool     `toml:"enabled"`
	Listen   string   `toml:"listen"`    // where NETCONF listens; empty: nowhere
	HostKeys []string `toml:"host_keys"` // files; several while one takes another's place
	Journal  string   `toml:"journal"`   // the folder of what was committed; empty: in memory
	Keep     int      `toml:"keep"`      // revisions that can be gone back to, 0 for the usual 50
	Users    []struct {
		Name string   `toml:"name"`
		Keys []string `toml:"keys"` // as in authorized_keys
		// Recovery is for one who may do everything, whatever the rules under /nacm say (RFC 8341, 3.5.2).
		Recovery bool `toml:"recovery"`
	} `toml:"user"`

	hosts []ssh.Signer
	users map[string][]ssh.PublicKey
	all   map[string]bool // recovery users
}

// loadOperate reads the file; where there is none, operators change nothing while the program runs.
func loadOperate(path string) (operateConfig, error) {
	var c operateConfig
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

// check reads the keys and names the field that can't be served.
func (c *operateConfig) check() error {
	if !c.Enabled {
		return nil
	}
	if c.Keep < 0 || c.Keep > 1000 {
		return fmt.Errorf("keep is %d: 1 to 1000 are possible, 0 for %d", c.Keep, usualKeep)
	}
	if c.Keep == 0 {
		c.Keep = usualKeep
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
		c.hosts = append(c.hosts, k)
	}
	c.users, c.all = map[string][]ssh.PublicKey{}, map[string]bool{}
	for i, u := range c.Users {
		if u.Name == "" || c.users[u.Name] != nil {
			return fmt.Errorf("user[%d]: a name is needed, of each user once", i)
		}
		c.all[u.Name] = u.Recovery
		for n, text := range u.Keys {
			k, _, _, _, err := ssh.ParseAuthorizedKey([]byte(text))
			if err != nil {
				return fmt.Errorf("user[%d].keys[%d]: %w", i, n, err)
			}
			c.users[u.Name] = append(c.users[u.Name], k)
		}
		if len(u.Keys) == 0 {
			return fmt.Errorf("user[%d].keys: one at least is needed", i)
		}
	}
	if c.Listen != "" && (len(c.hosts) == 0 || len(c.users) == 0) {
		return errors.New("listen: host_keys and a user are needed")
	}
	return nil
}

// access is who may log in, by the file.
type access struct{ operateConfig }

// HostKeys and Keys implement netconf.Access.
func (a access) HostKeys() []ssh.Signer           { return a.hosts }
func (a access) Keys(user string) []ssh.PublicKey { return a.users[user] }

// placement joins the exchanges that the platform lists with those that operators have set, for the links and the
// module.
type placement struct {
	links  *trunks
	merge  *directory.Merge
	here   int
	engine *core.Engine
	now    func() time.Duration // on the engine's clock

	mu     sync.Mutex
	placer intent.Placer
	listed directory.List
	groups []intent.Group
	own    bool // cores that only operators have set are known
	words  map[int]intent.Word
	again  time.Duration
	events [][][2]string              // not yet told
	event  func(string, ...[2]string) // nil while nobody can be told
	drains func(map[string]string)    // told what drains by the list's word, without the lock
}

// told takes the name service's list.
func (p *placement) told(l directory.List, kind brookmux.ListKind) {
	p.mu.Lock()
	p.listed = l
	p.place(kind)
	drains := p.drains
	p.mu.Unlock()
	p.tell()
	if drains != nil {
		drains(p.draining())
	}
}

// tell hands on what has changed of exchanges, without the lock.
func (p *placement) tell() {
	p.mu.Lock()
	events, event := p.events, p.event
	p.events = nil
	p.mu.Unlock()
	for _, e := range events {
		if event != nil {
			event("exchange-state-change", e...)
		}
	}
}

// draining are the exchanges that have been told to drain, or that they are gone.
func (p *placement) draining() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]string{}
	for n, w := range p.words {
		if w.Told == "draining" || w.Told == "gone" {
			out[fmt.Sprint(n)] = w.Told
		}
	}
	return out
}

// place hands on what is known by now. The lock is held.
func (p *placement) place(kind brookmux.ListKind) {
	all, own, words, again := p.placer.Place(p.now(), p.listed.Switches())
	for _, n := range slices.Sorted(maps.Keys(words)) {
		if w := words[n]; p.words != nil && p.words[n] != w {
			p.events = append(p.events, [][2]string{{"number", fmt.Sprint(n)}, {"told", w.Told}, {"origin", string(w.Origin)}})
		}
	}
	for _, n := range slices.Sorted(maps.Keys(p.words)) {
		if _, ok := words[n]; !ok {
			p.events = append(p.events, [][2]string{{"number", fmt.Sprint(n)}, {"told", "gone"}})
		}
	}
	p.words, p.again = words, again
	to := cores(p.listed, p.here)
	var switches []brookmux.Switch
	for _, c := range own {
		if c.Number != p.here {
			to = append(to, corelink.Core{ID: c.ID, Addr: c.Address, Since: c.Since, Draining: c.State == brookmux.Draining})
		}
		switches = append(switches, c.Switch)
	}
	p.links.Update(to)
	p.merge.Set("names", kind, all)
	if len(own) > 0 || p.own {
		p.own = len(own) > 0
		p.merge.Set("config", brookmux.Full, switches)
	}
	for _, g := range p.groups {
		r := settings.NoReport()
		r.Size = g.Size
		for _, s := range append(all[:len(all):len(all)], switches...) {
			if s.Number == g.Number {
				p.engine.Reported(s.ID, r, true)
			}
		}
	}
}

// want takes what operators have set.
func (p *placement) want(list []intent.Exchange, groups []intent.Group, start bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Want(p.now(), list, start)
	p.groups = groups
	p.place(brookmux.Full)
}

// tick lets what lingers go when it is time.
func (p *placement) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.again > 0 && p.now() >= p.again {
		p.place(brookmux.Full)
	}
}

// stormEvents tells of each scope whose state is another than it was last.
func stormEvents(was map[storm.Scope]storm.State, s *core.Storm, event func(string, ...[2]string)) map[storm.Scope]storm.State {
	if s == nil {
		return nil
	}
	now := map[storm.Scope]storm.State{}
	for _, x := range s.Scopes {
		if now[x.Scope] = x.State; was[x.Scope] != x.State { // none is as calm
			event("storm-state-change", [2]string{"kind", x.Scope.Kind}, [2]string{"name", x.Scope.Name}, [2]string{"state", x.State.String()})
		}
	}
	return now
}

// state adds what is seen of the exchanges to a tree.
func (p *placement) state(tree *schema.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, w := range p.words {
		at := fmt.Sprintf("/exchanges/exchange[number='%d']/state/", n)
		_ = tree.Put(schema.Item{Path: at + "origin", Value: string(w.Origin)}) // the model has them, see the tests
		if w.Told != "" {
			_ = tree.Put(schema.Item{Path: at + "told", Value: w.Told})
		}
	}
}

// overlay puts what operators have set over the platform's settings, whichever of the two is new.
type overlay struct {
	engine *core.Engine
	front  *sipfront.Front
	most   func(int) // calls open at a time

	mu       sync.Mutex
	tree     *schema.Node // with defaults; nil while nothing is set
	settings settings.Settings
	bytes    int64
	callers  int
}

// platform takes the platform's settings, or returns an error and changes nothing.
func (o *overlay) platform(s settings.Settings, bytes int64, callers int) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.force(s, bytes, callers, o.tree); err != nil {
		return err
	}
	o.settings, o.bytes, o.callers = s, bytes, callers
	return nil
}

// set takes what operators have set, or returns an error and changes nothing.
func (o *overlay) set(tree *schema.Node) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tree != nil && same(o.tree, tree, "classes", "limits") {
		return nil // the core's settings are not put in force anew for a change elsewhere
	}
	if err := o.force(o.settings, o.bytes, o.callers, tree); err != nil {
		return err
	}
	o.tree = tree
	return nil
}

// same tells whether two trees agree in what stands under some nodes at the top.
func same(a, b *schema.Node, tops ...string) bool {
	for _, name := range tops {
		x, y := a.Get(name), b.Get(name)
		if (x == nil) != (y == nil) || x != nil && len(schema.Diff(x, y)) > 0 {
			return false
		}
	}
	return true
}

// force puts both in force. The lock is held.
func (o *overlay) force(s settings.Settings, bytes int64, callers int, tree *schema.Node) (err error) {
	if tree != nil {
		if s, err = intent.Settings(s, tree); err != nil {
			return err
		}
		callers = intent.Callers(tree, callers)
	}
	if err := o.engine.Configure(s, bytes); err != nil {
		return err
	}
	o.front.SetMost(callers)
	o.most(s.MostHeld)
	return nil
}

// settingsPart and exchangesPart let the configuration take effect.
type settingsPart struct{ *overlay }

// Name and Apply implement transact.Part.
func (settingsPart) Name() string { return "settings" }

func (p settingsPart) Apply(_ uint64, running *schema.Node, _ []schema.Change) error {
	return p.set(schema.WithDefaults(running))
}

type exchangesPart struct {
	*placement
	zones   []string
	started bool
}

// Name and Apply implement transact.Part.
func (*exchangesPart) Name() string { return "exchanges" }

func (p *exchangesPart) Apply(_ uint64, running *schema.Node, _ []schema.Change) error {
	tree := schema.WithDefaults(running)
	list, err := intent.Exchanges(tree, p.zones)
	if err != nil {
		return err
	}
	planned := map[int]float64{}
	for _, x := range list {
		planned[x.Number] = x.Planned
	}
	p.engine.SetPlanned(planned)
	p.want(list, intent.Groups(tree, p.here), !p.started)
	p.started = true
	return nil
}

// atStart refuses what is read at the start only, from files of its own.
func atStart(_, next *schema.Node) (faults []schema.Fault) {
	for node, file := range map[string]string{"storm": "deploy/storm.toml", "m3ua": "deploy/m3ua.toml"} {
		if n := next.Get(node); n != nil && (n.Len() > 0 || n.Def.Presence) {
			faults = append(faults, schema.Fault{Tag: schema.OperationUnknown, Path: n.Path(),
				Message: "it is read at the start only, from " + file})
		}
	}
	return faults
}

// operator is what operators change the program with while it runs.
type operator struct {
	owner  *transact.Owner
	server *netconf.Server
	gnmi   *mgmt.Owned
	model  *schema.Model
	all    map[string]bool // recovery users
	log    *slog.Logger
}

// openOperator opens the journal, lets what it holds take effect and serves NETCONF, as the file says.
func openOperator(ctx context.Context, c operateConfig, place *placement, over *overlay, m *manager, zones []string,
	failed chan<- error) (*operator, error) {
	log := m.log
	if !c.Enabled {
		return nil, nil
	}
	model, err := schema.Load(yang.Files)
	if err != nil {
		return nil, err
	}
	o := &operator{log: log, model: model, all: c.all}
	drains := &datastore.Drains{}
	drains.Told(place.draining())
	conf := transact.Config{Store: datastore.Config{Model: model, Keep: c.Keep, Sessions: mostSessions,
		Guards: []datastore.Guard{drains.Guard, atStart, nacm.Check},
		Access: func(who datastore.Session, running, old, next *schema.Node, changes []schema.Change) []schema.Fault {
			if c.all[who.User] {
				return nil
			}
			return nacm.Of(running).Changes(who.User, old, next, changes)
		}}, Now: time.Now, Log: log,
		Parts: []transact.Part{settingsPart{over}, managerPart{m}, &exchangesPart{placement: place, zones: zones}},
		Told: func(e transact.Event) {
			if o.server != nil {
				o.server.Told(e)
			}
		}}
	if c.Journal != "" {
		j, kept, err := journal.Open(vfs.Default, c.Journal, log)
		if err != nil {
			return nil, err
		}
		conf.Journal, conf.Kept = j, kept
		log.Info("journal", "folder", c.Journal, "records", len(kept))
	}
	if o.owner, err = transact.New(conf); err != nil {
		if conf.Journal != nil {
			err = errors.Join(err, conf.Journal.Close())
		}
		return nil, err
	}
	place.mu.Lock()
	place.drains = func(list map[string]string) {
		_ = o.owner.Do(func(*datastore.Store) error { drains.Told(list); return nil }) // it can't fail
	}
	place.mu.Unlock()
	place.drains(place.draining()) // what came in between
	o.gnmi = mgmt.NewOwned(o.owner, place.state, func() map[string]string {
		set, _ := m.store.List("/border-control/controllers/")
		return set
	}, o.rules)
	o.server = netconf.NewServer(netconf.Config{Owner: o.owner, Model: model, State: place.state, Now: time.Now, Log: log, Rules: o.rules})
	place.mu.Lock()
	place.event = o.server.Event
	place.mu.Unlock()
	m.mu.Lock()
	m.event = o.server.Event
	m.mu.Unlock()
	go o.tick(ctx, place)
	if c.Listen == "" {
		return o, nil
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("netconf: listen: %w", err), o.owner.End())
	}
	log.Info("netconf listens", "address", l.Addr().String())
	go func() {
		if err := netconf.NewListener(o.server, access{c}, log).Serve(ctx, l); err != nil {
			failed <- err
		}
	}()
	return o, nil
}

// rules are those that hold for a user now, nil for one who may do everything.
func (o *operator) rules(user string) (r *nacm.Rules) {
	if o.all[user] {
		return nil
	}
	o.owner.Look(func(s *datastore.Store) {
		if tree, err := s.Get(datastore.Running); err == nil {
			r = nacm.Of(tree)
		}
	})
	return r
}

// tick takes back what was not confirmed in time, and lets go what lingered.
func (o *operator) tick(ctx context.Context, place *placement) {
	t := time.NewTicker(operateEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			o.owner.Tick()
			place.tick()
			place.tell()
			o.gnmi.Poll()
		}
	}
}

// close ends the sessions and the journal.
func (o *operator) close() {
	if o == nil {
		return
	}
	o.server.Close()
	if err := o.owner.End(); err != nil {
		o.log.Warn("journal", "error", err)
	}
}
