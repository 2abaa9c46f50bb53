// Command brookmux is the border controller. It connects the SIP and M3UA fronts, the call engine and the links to the
// cores, and runs them from start to exit.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/corelink"
	"brookmux/internal/directory"
	"brookmux/internal/lifecycle"
	"brookmux/internal/m3ua"
	"brookmux/internal/sipfront"
)

// originOffset is how far the zero of the engine's clock lies before the start of the program. A core that started
// before that zero counts as long started.
const originOffset = time.Hour

func main() { os.Exit(runCommand(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// signals carries the process signals for run: stop ends the program, reload reads the platform configuration again.
type signals struct{ stop, reload chan os.Signal }

// setProcessLimits sets GOMAXPROCS from the configured number of cores, and the Go memory limit to three quarters of
// the configured memory.
func setProcessLimits(c config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.cores))))
	debug.SetMemoryLimit(c.memory * 3 / 4)
}

// run is the program from start to exit. It returns nil after a drain that a stop signal started, and an error if the
// start fails or a part of the program ends. Settings of the whole process (signals, log output, limits) belong to the
// caller; setLimits is called with the configuration at the start and after each reload.
func run(ctx context.Context, getenv func(string) string, signals signals, log *slog.Logger,
	level *slog.LevelVar, setLimits func(config)) error {
	conf, err := loadConfig(getenv("GW_CONFIG"), getenv("GW_LISTEN"), cmp.Or(getenv("BROOKMUX_M3UA"), "deploy/m3ua.toml"),
		cmp.Or(getenv("BROOKMUX_STORE"), "deploy/store.toml"), cmp.Or(getenv("BROOKMUX_STORM"), "deploy/storm.toml"),
		cmp.Or(getenv("BROOKMUX_NETCONF"), "deploy/netconf.toml"))
	if err != nil {
		return err
	}
	log = log.With("name", conf.name)
	setLimits(conf)

	phase := &lifecycle.Lifecycle{}
	phase.Watch(func(from, to lifecycle.State) { log.Info("phase", "from", from.String(), "to", to.String()) })
	reader := directory.Reader{Zones: conf.settings.Zones, Origin: time.Now().Add(-originOffset)}
	cachedList, err := reader.ParseEvents(conf.cachedList)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	merge := &directory.Merger{}
	links := &trunks{Pool: corelink.New(ctx, corelink.Config{ConnectTimeout: conf.settings.ConnectTimeout, IdleTimeout: conf.settings.Keepalive, Log: log,
		Connections: connectionsPerCore(conf.sockets), Origin: reader.Origin})}
	var table *exchangeTable
	links.m3ua = m3ua.NewClient(conf.m3ua, log, func(list []brookmux.Switch) { table.setLinked(list) })
	var front *sipfront.Front
	reports := make(chan core.Counts, 1)
	stormControl, err := newStorm(conf)
	if err != nil {
		return err
	}
	var m3uaServer atomic.Pointer[m3ua.Server]
	var associations sync.WaitGroup
	engine, err := core.New(core.Config{Storm: stormControl, OnConditionChange: func(exchange int, c core.Condition) {
		if s := m3uaServer.Load(); s != nil {
			s.SetCondition(exchange, c)
		}
	}, Settings: conf.settings, Seed: conf.seed, Trunks: links, AnswersWait: links.AnswersWait, Log: log,
		Origin: reader.Origin, Reports: reports, MaxBytes: conf.memory / 8,
		ReleaseOrphan: func(key string, cause core.Cause) {
			if s := m3uaServer.Load(); s == nil || !s.ReleaseOrphan(key, cause) {
				front.ReleaseOrphan(key, cause)
			}
		},
		OnFirstRequest: func() { _ = phase.Advance(lifecycle.Serving) }, // fails, without effect, while draining
	})
	if err != nil {
		return err
	}
	links.Serve(engine)
	merge.OnChange = engine.MembersChanged
	maxCallers, peers := splitDescriptors(conf.sockets, len(conf.m3ua.Peers))
	front = sipfront.New(engine, phase, maxCallers, log)
	if err := configureFront(conf, front); err != nil {
		return err
	}
	listener, err := listen(conf.listen, log)
	if err != nil {
		return err
	}

	failed := make(chan error, 6)
	go func() { failed <- engine.Run(ctx) }()
	table = &exchangeTable{links: links, listMerger: merge, here: conf.settings.Module.Here, engine: engine,
		now: func() time.Duration { return time.Since(reader.Origin) }}
	table.setListed(cachedList, brookmux.Cached)
	nameService, err := directory.NewService(reader, conf.nameserver, cachedList.Serial, log,
		func(l directory.List) { table.setListed(l, brookmux.Full) })
	if err != nil {
		return err
	}
	go func() { failed <- nameService.Run(ctx) }()
	manager, err := openManager(conf.store, &manager{name: conf.name, log: log, level: level,
		defaultLevel: level.Level(), engine: engine, front: front, maxOpen: conf.settings.MaxOpenCalls})
	if err != nil {
		return err
	}
	defer manager.close()
	go manager.publish(ctx, phase, reports)
	settingsOverlay := &overlay{engine: engine, front: front, setMaxOpen: manager.setMaxOpen,
		settings: conf.settings, maxBytes: conf.memory / 8, maxCallers: maxCallers}
	operator, err := openOperator(ctx, conf.netconf, table, settingsOverlay, manager, conf.settings.Zones, failed)
	if err != nil {
		return err
	}
	defer operator.close()
	if operator == nil {
		go manager.applyChanges(ctx)
	}
	if err := manager.serve(conf.store, operator, failed); err != nil {
		return err
	}
	// Before either front accepts calls: the first call changes the state to serving, and ready can't follow serving.
	if err := phase.Advance(lifecycle.Ready); err != nil {
		return err
	}
	if conf.m3ua.Enabled {
		if err := serveM3UA(ctx, conf, engine, links, peers, log, failed, &m3uaServer, &associations); err != nil {
			return err
		}
	}
	reloader := &reloader{path: getenv("GW_CONFIG"), listen: getenv("GW_LISTEN"), conf: conf.platform,
		peers: len(conf.m3ua.Peers), reader: reader, nameService: nameService, links: links.Pool,
		settingsOverlay: settingsOverlay, setLimits: setLimits, log: log}
	reloader.serve = func(l net.Listener) {
		serving, stop := context.WithCancel(ctx)
		reloader.stopServing = stop
		go func() {
			if err := front.Serve(serving, l); err != nil || ctx.Err() != nil {
				failed <- err
			}
		}()
	}
	reloader.serve(listener)
	killTime := time.Time{}
	for drained := (<-chan struct{})(nil); ; {
		select {
		case err := <-failed:
			return errors.Join(errors.New("stopped unexpectedly"), err)
		case <-signals.reload: // also while draining: open calls still depend on the name service
			reloader.reload()
			continue
		case <-signals.stop:
			if drained != nil {
				continue
			}
			if err := phase.Advance(lifecycle.Draining); err != nil {
				return err
			}
			killTime = time.Now().Add(killDelay(reloader.conf.settings))
			front.SetKillTime(killTime)
			drained = engine.Drain()
			continue
		case <-drained:
		}
		break
	}
	shutDown(front, links, killTime, log)
	cancel()
	links.Wait()
	associations.Wait()
	return phase.Advance(lifecycle.Stopped)
}

// listen opens the listener of the SIP front and logs its address.
func listen(address string, log *slog.Logger) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	log.Info("sip listens", "address", l.Addr().String())
	return l, nil
}

// splitDescriptors returns how many connections SIP callers and M3UA peers may hold: together a third of the
// descriptors. Each peer counts twice, as one that reconnects may hold two connections for a moment; peers get at most
// half of the share.
func splitDescriptors(sockets, peers int) (sip, m3ua int) {
	total := sockets / 3
	m3ua = min(2*peers, total/2)
	return total - m3ua, m3ua
}

// connectionsPerCore returns how many connections to open to each core with this many descriptors, 1 to 3. With more
// connections, one that fails affects fewer set-ups. A core sends a group's state on at most four connections; three
// leave one for the time in which a new connection replaces an old one.
func connectionsPerCore(sockets int) int { return max(1, min(3, sockets/64)) }

// serveM3UA starts the M3UA client, and the M3UA server if an address is configured. Errors of a running server go to
// failed; associations counts the goroutines to wait for at exit.
func serveM3UA(ctx context.Context, conf config, engine *core.Engine, links *trunks, maxPeers int, log *slog.Logger,
	failed chan<- error, m3uaServer *atomic.Pointer[m3ua.Server], associations *sync.WaitGroup) error {
	if conf.m3ua.Listen != "" {
		l, err := net.Listen("tcp", conf.m3ua.Listen)
		if err != nil {
			return fmt.Errorf("m3ua: listen: %w", err)
		}
		log.Info("m3ua listens", "address", l.Addr().String())
		server := m3ua.NewServer(conf.m3ua, engine, maxPeers, log)
		server.SendLevel = conf.storm.Enabled && conf.storm.Notify.Level
		server.SendConditions = conf.storm.Enabled && conf.storm.Notify.Network
		m3uaServer.Store(server)
		engine.RepublishConditions() // the conditions reported before the server existed
		associations.Go(func() {
			if err := server.Serve(ctx, l); err != nil {
				failed <- err
				return
			}
			server.Wait()
		})
	}
	associations.Go(func() { links.m3ua.Run(ctx, engine) })
	return nil
}

// trunks implements core.Trunks. It uses M3UA for the exchanges that are reached by it, and JSON lines for all others.
type trunks struct {
	*corelink.Pool
	m3ua *m3ua.Client
}

// SetUp implements core.Trunks.
func (t *trunks) SetUp(to brookmux.SwitchID, a core.Attempt) { t.linkTo(to).SetUp(to, a) }

// Release implements core.Trunks.
func (t *trunks) Release(to brookmux.SwitchID, key string, cause core.Cause) {
	t.linkTo(to).Release(to, key, cause)
}

// ReleaseAnywhere implements core.Trunks.
func (t *trunks) ReleaseAnywhere(key string, cause core.Cause) {
	t.Pool.ReleaseAnywhere(key, cause)
	t.m3ua.ReleaseAnywhere(key, cause)
}

// linkTo returns the link that serves a core.
func (t *trunks) linkTo(id brookmux.SwitchID) core.Trunks {
	if t.m3ua.Serves(id) {
		return t.m3ua
	}
	return t.Pool
}

// cores returns the cores of the membership list that the pool connects to: all but those of the local exchange.
func cores(l directory.List, here int) []corelink.Core {
	var out []corelink.Core
	for _, e := range l.Entries {
		if e.Number != here {
			out = append(out, corelink.Core{ID: e.ID, Addr: e.Addr, Since: e.Since,
				Draining: e.State == brookmux.Draining})
		}
	}
	return out
}
