package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/corelink"
	"brookmux/internal/datastore"
	"brookmux/internal/directory"
	"brookmux/internal/intent"
	"brookmux/internal/schema"
	"brookmux/internal/settings"
)

// exchangeTable merges the exchanges of the membership list with those that operators have configured, and passes the
// result to the links, the decision module and the engine.
type exchangeTable struct {
	links      *trunks
	listMerger *directory.Merger
	here       int
	engine     *core.Engine
	now        func() time.Duration // on the engine's clock

	mu             sync.Mutex
	exchangeMerger intent.Merger
	listed         directory.List
	linked         []brookmux.Switch // exchanges whose M3UA association is active
	groups         []intent.Group
	hasConfigured  bool // cores that only operators have configured were passed on
	statuses       map[int]intent.ExchangeOrigin
	nextUpdate     time.Duration
	pendingEvents  [][][2]string              // to be sent by sendEvents
	notify         func(string, ...[2]string) // sends an event to the subscribers; nil until openOperator sets it
	onDraining     func()                     // called after each list, without the lock
}

// setListed replaces the membership list.
func (t *exchangeTable) setListed(l directory.List, kind brookmux.ListKind) {
	t.mu.Lock()
	t.listed = l
	t.exchangeMerger.SetDrainingAddresses(t.drainingAddresses())
	t.update(kind)
	onDraining := t.onDraining
	t.mu.Unlock()
	t.sendEvents()
	if onDraining != nil {
		onDraining()
	}
}

// setLinked replaces the exchanges that are reached over M3UA.
func (t *exchangeTable) setLinked(list []brookmux.Switch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.linked = list
	t.updateLinked()
}

// updateLinked passes the exchanges that are reached over M3UA on, with the states in force. The lock must be held.
func (t *exchangeTable) updateLinked() {
	t.listMerger.Set("m3ua", brookmux.Full, t.exchangeMerger.WithAdminState(t.linked))
}

// sendEvents sends the pending exchange-state-change events. The lock must not be held.
func (t *exchangeTable) sendEvents() {
	t.mu.Lock()
	pendingEvents, notify := t.pendingEvents, t.notify
	t.pendingEvents = nil
	t.mu.Unlock()
	for _, e := range pendingEvents {
		if notify != nil {
			notify("exchange-state-change", e...)
		}
	}
}

// draining returns the exchanges that the membership list reports as draining or gone, by number.
func (t *exchangeTable) draining() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]string{}
	for n, status := range t.statuses {
		if status.Listed == "draining" || status.Listed == "gone" {
			out[fmt.Sprint(n)] = status.Listed
		}
	}
	return out
}

// drainingAddresses returns the addresses of the cores that the membership list reports as draining. The lock must be held.
func (t *exchangeTable) drainingAddresses() map[string]bool {
	out := map[string]bool{}
	for _, e := range t.listed.Entries {
		if e.State == brookmux.Draining {
			out[e.Addr] = true
		}
	}
	return out
}

// recordDrains passes the exchanges and the addresses that drain to the guard on configuration changes.
func (t *exchangeTable) recordDrains(d *datastore.Drains) {
	d.SetStates(t.draining())
	t.mu.Lock()
	defer t.mu.Unlock()
	d.SetAddresses(t.drainingAddresses())
}

// update merges both sources, records an event for each exchange whose status changed, and passes the cores, the lists
// and the sizes of the configured circuit groups on. The lock must be held.
func (t *exchangeTable) update(kind brookmux.ListKind) {
	all, configured, statuses, nextUpdate := t.exchangeMerger.Merge(t.now(), t.listed.Switches())
	for _, n := range slices.Sorted(maps.Keys(statuses)) {
		if status := statuses[n]; t.statuses != nil && t.statuses[n] != status {
			t.pendingEvents = append(t.pendingEvents, [][2]string{{"number", fmt.Sprint(n)}, {"told", status.Listed},
				{"origin", string(status.Origin)}})
		}
	}
	for _, n := range slices.Sorted(maps.Keys(t.statuses)) {
		if _, ok := statuses[n]; !ok {
			t.pendingEvents = append(t.pendingEvents, [][2]string{{"number", fmt.Sprint(n)}, {"told", "gone"}})
		}
	}
	t.statuses, t.nextUpdate = statuses, nextUpdate
	to := cores(t.listed, t.here)
	var switches []brookmux.Switch
	for _, c := range configured {
		if c.Number != t.here {
			to = append(to, corelink.Core{ID: c.ID, Addr: c.Address, Since: c.Since, Draining: c.State == brookmux.Draining})
		}
		switches = append(switches, c.Switch)
	}
	t.links.Update(to)
	t.listMerger.Set("names", kind, all)
	if len(configured) > 0 || t.hasConfigured {
		t.hasConfigured = len(configured) > 0
		t.listMerger.Set("config", brookmux.Full, switches)
	}
	for _, g := range t.groups {
		r := settings.EmptyReport()
		r.Size = g.Size
		for _, s := range append(all[:len(all):len(all)], switches...) {
			if s.Number == g.Number {
				t.engine.Reported(s.ID, r, true)
			}
		}
	}
}

// setConfigured replaces the exchanges and circuit groups that operators have configured; start marks the first call.
func (t *exchangeTable) setConfigured(list []intent.Exchange, groups []intent.Group, start bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exchangeMerger.SetConfigured(t.now(), list, start)
	t.groups = groups
	t.update(brookmux.Full)
	if len(t.linked) > 0 {
		t.updateLinked()
	}
}

// addRemoved adds exchanges that operators removed before the program started.
func (t *exchangeTable) addRemoved(list []intent.RemovedExchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exchangeMerger.AddRemoved(t.now(), list)
	t.update(brookmux.Full)
}

// tick drops removed exchanges whose drain (intent.DrainAfterRemoval) is over.
func (t *exchangeTable) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nextUpdate > 0 && t.now() >= t.nextUpdate {
		t.update(brookmux.Full)
	}
}

// addState adds the operational state of the exchanges to a tree.
func (t *exchangeTable) addState(tree *schema.Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, status := range t.statuses {
		prefix := fmt.Sprintf("/exchanges/exchange[number='%d']/state/", n)
		_ = tree.Put(schema.Item{Path: prefix + "origin", Value: string(status.Origin)}) // in the model, see the tests
		if status.Listed != "" {
			_ = tree.Put(schema.Item{Path: prefix + "told", Value: status.Listed})
		}
	}
}

// exchangesPart applies a committed configuration's exchanges and circuit groups.
type exchangesPart struct {
	*exchangeTable
	zones   []string
	started bool
}

// Name implements transact.Part, as does Apply.
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
	p.setConfigured(list, intent.Groups(tree, p.here), !p.started)
	p.started = true
	return nil
}
