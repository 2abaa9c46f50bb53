// Command brookmux is the border controller: it wires the fronts, the core and the links to the cores
// together and runs them from start to exit.
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

// before is how far the clock's zero lies before the start: cores that started earlier than that started
// long ago.
const before = time.Hour

func main() { os.Exit(command(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// signals are what the program is told from outside: to end, or to read its configuration again.
type signals struct{ stop, reload chan os.Signal }

// tune keeps the process within its limits.
func tune(c config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.cores))))
	debug.SetMemoryLimit(c.memory * 3 / 4)
}

// run is the program from start to exit. What holds for the whole process is left to its caller.
func run(ctx context.Context, getenv func(string) string, signals signals, log *slog.Logger,
	level *slog.LevelVar, tune func(config)) error {
	conf, err := load(getenv("GW_CONFIG"), getenv("GW_LISTEN"), cmp.Or(getenv("BROOKMUX_M3UA"), "deploy/m3ua.toml"),
		cmp.Or(getenv("BROOKMUX_STORE"), "deploy/store.toml"), cmp.Or(getenv("BROOKMUX_STORM"), "deploy/storm.toml"),
		cmp.Or(getenv("BROOKMUX_NETCONF"), "deploy/netconf.toml"))
	if err != nil {
		return err
	}
	log = log.With("name", conf.name)
	tune(conf)

	phase := &lifecycle.Lifecycle{}
	phase.Watch(func(from, to lifecycle.State) { log.Info("phase", "from", from.String(), "to", to.String()) })
	reader := directory.Reader{Zones: conf.settings.Zones, Origin: time.Now().Add(-before)}
	known, err := reader.Known(conf.known)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	merge := &directory.Merge{}
	links := &trunks{Pool: corelink.New(ctx, corelink.Config{ConnectTimeout: conf.settings.ConnectTimeout, Log: log,
		Connections: connectionsPerCore(conf.sockets), Origin: reader.Origin})}
	links.m3ua = m3ua.NewClient(conf.m3ua, log, func(list []brookmux.Switch) { merge.Set("m3ua", brookmux.Full, list) })
	var front *sipfront.Front
	reports := make(chan core.Counts, 1)
	damping, err := damper(conf)
	if err != nil {
		return err
	}
	var peering atomic.Pointer[m3ua.Server]
	var associations sync.WaitGroup
	engine, err := core.New(core.Config{Storm: damping, Condition: func(exchange int, c core.Condition) {
		if s := peering.Load(); s != nil {
			s.SetCondition(exchange, c)
		}
	}, Settings: conf.settings, Seed: conf.seed, Trunks: links, Log: log,
		Origin: reader.Origin, Reports: reports, MostBytes: conf.memory / 8,
		ReleaseOrphan: func(key string, cause core.Cause) { front.ReleaseOrphan(key, cause) },
		Took:          func() { _ = phase.To(lifecycle.Serving) }, // not ahead when it already drains
	})
	if err != nil {
		return err
	}
	links.Serve(engine)
	merge.Told = engine.Listed
	callers, peers := shares(conf.sockets, len(conf.m3ua.Peers))
	front = sipfront.New(engine, phase, callers, log)
	if err := tell(conf, front); err != nil {
		return err
	}
	listener, err := listen(conf.listen, log)
	if err != nil {
		return err
	}

	failed := make(chan error, 6)
	go func() { failed <- engine.Run(ctx) }()
	place := &placement{links: links, merge: merge, here: conf.settings.Module.Here, engine: engine,
		now: func() time.Duration { return time.Since(reader.Origin) }}
	place.told(known, brookmux.Cached)
	names, err := directory.NewService(reader, conf.nameserver, known.Serial, log,
		func(l directory.List) { place.told(l, brookmux.Full) })
	if err != nil {
		return err
	}
	go func() { failed <- names.Run(ctx) }()
	manager, err := openManager(conf.manage, &manager{name: conf.name, log: log, level: level, usualLevel: level.Level(), engine: engine,
		front: front, most: conf.settings.MostHeld})
	if err != nil {
		return err
	}
	defer manager.close()
	go manager.publish(ctx, phase, reports)
	over := &overlay{engine: engine, front: front, most: manager.setMost, settings: conf.settings, bytes: conf.memory / 8,
		callers: callers}
	operator, err := openOperator(ctx, conf.op, place, over, manager, conf.settings.Zones, failed)
	if err != nil {
		return err
	}
	defer operator.close()
	if operator == nil {
		go manager.follow(ctx)
	}
	if err := manager.serve(conf.manage, operator, failed); err != nil {
		return err
	}
	// Before either front listens: the first call makes it serving, and from there no way leads back.
	if err := phase.To(lifecycle.Ready); err != nil {
		return err
	}
	if conf.m3ua.Enabled {
		if err := serveM3UA(ctx, conf, engine, links, peers, log, failed, &peering, &associations); err != nil {
			return err
		}
	}
	reloader := &reloader{path: getenv("GW_CONFIG"), listen: getenv("GW_LISTEN"), conf: conf.platform,
		peers: len(conf.m3ua.Peers), reader: reader, names: names, links: links.Pool, over: over,
		tune: tune, log: log}
	reloader.serve = func(l net.Listener) {
		serving, stop := context.WithCancel(ctx)
		reloader.unserve = stop
		go func() {
			if err := front.Serve(serving, l); err != nil || ctx.Err() != nil {
				failed <- err
			}
		}()
	}
	reloader.serve(listener)
	kill := time.Time{}
	for drained := (<-chan struct{})(nil); ; {
		select {
		case err := <-failed:
			return errors.Join(errors.New("stopped by itself"), err)
		case <-signals.reload: // also while draining: what is open still follows the name service
			reloader.reload()
			continue
		case <-signals.stop:
			if drained != nil {
				continue
			}
			if err := phase.To(lifecycle.Draining); err != nil {
				return err
			}
			kill = time.Now().Add(killAfter(reloader.conf.settings))
			front.Drain(kill)
			drained = engine.Drain()
			continue
		case <-drained:
		}
		break
	}
	shutDown(front, links, kill, log)
	cancel()
	links.Wait()
	associations.Wait()
	return phase.To(lifecycle.Stopped)
}

// listen opens the SIP front's port.
func listen(address string, log *slog.Logger) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	log.Info("sip listens", "address", l.Addr().String())
	return l, nil
}

// shares is how many descriptors SIP callers and M3UA peers get: a third of all together. A peer that comes back
// may hold two for a moment.
func shares(sockets, peers int) (sip, m3ua int) {
	callers := sockets / 3
	m3ua = min(2*peers, callers/2)
	return callers - m3ua, m3ua
}

// connectionsPerCore is how many connections to each core the descriptors allow. The more there are, the fewer set-ups one
// that fails takes with it. A core sends a group's state on four at most: three leave one for the time in which
// a new connection takes the place of another.
func connectionsPerCore(sockets int) int { return max(1, min(3, sockets/64)) }

// serveM3UA starts the second front.
func serveM3UA(ctx context.Context, conf config, engine *core.Engine, links *trunks, peers int, log *slog.Logger,
	failed chan<- error, peering *atomic.Pointer[m3ua.Server], associations *sync.WaitGroup) error {
	if conf.m3ua.Listen != "" {
		l, err := net.Listen("tcp", conf.m3ua.Listen)
		if err != nil {
			return fmt.Errorf("m3ua: listen: %w", err)
		}
		log.Info("m3ua listens", "address", l.Addr().String())
		server := m3ua.NewServer(conf.m3ua, engine, peers, log)
		server.TellLevel = conf.storm.Enabled && conf.storm.Told.Level
		server.TellNetwork = conf.storm.Enabled && conf.storm.Told.Network
		peering.Store(server)
		engine.Conditions() // what has been told while nobody was there to hear it
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

// trunks are the ways to the cores: JSON lines, or M3UA for the exchanges that are reached by it.
type trunks struct {
	*corelink.Pool
	m3ua *m3ua.Client
}

// SetUp implements core.Trunks, as do the methods below.
func (t *trunks) SetUp(to brookmux.SwitchID, a core.Attempt) { t.to(to).SetUp(to, a) }

// Release gives a set-up up, or ends a call.
func (t *trunks) Release(to brookmux.SwitchID, key string, cause core.Cause) {
	t.to(to).Release(to, key, cause)
}

// to is the way to a core.
func (t *trunks) to(id brookmux.SwitchID) core.Trunks {
	if t.m3ua.Serves(id) {
		return t.m3ua
	}
	return t.Pool
}

// cores lists whom the pool connects to: all that run but the own exchange.
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
