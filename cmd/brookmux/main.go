// Command brookmux is the border controller: it wires the fronts, the core and the links to the cores
// together and runs them from start to exit.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"brookmux"
	"brookmux/internal/core"
	"brookmux/internal/corelink"
	"brookmux/internal/directory"
	"brookmux/internal/lifecycle"
	"brookmux/internal/sipfront"
)

// before is how far the clock's zero lies before the start: cores that started earlier than that started
// long ago.
const before = time.Hour

func main() {
	log := slog.New(slog.NewTextHandler(os.Stdout, nil))
	if err := run(context.Background(), log); err != nil {
		log.Error("brookmux", "error", err)
		os.Exit(1)
	}
}

// run is the program from start to exit.
func run(ctx context.Context, log *slog.Logger) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	conf, err := load(os.Getenv("GW_CONFIG"), os.Getenv("GW_LISTEN"))
	if err != nil {
		return err
	}
	log = log.With("name", conf.name)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(conf.cores))))
	debug.SetMemoryLimit(conf.memory * 3 / 4)

	phase := &lifecycle.Lifecycle{}
	phase.Watch(func(from, to lifecycle.State) { log.Info("phase", "from", from.String(), "to", to.String()) })
	reader := directory.Reader{Zones: conf.settings.Zones, Origin: time.Now().Add(-before)}
	known, err := reader.Known(conf.known)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pool := corelink.New(ctx, conf.settings.ConnectTimeout, log)
	var front *sipfront.Front
	engine, err := core.New(core.Config{Settings: conf.settings, Seed: conf.seed, Trunks: pool, Log: log,
		Origin: reader.Origin,
		Stray:  func(key string, cause core.Cause) { front.Stray(key, cause) },
		Took:   func() { _ = phase.To(lifecycle.Serving) }, // not ahead when it already drains
	})
	if err != nil {
		return err
	}
	pool.Serve(engine)
	front = sipfront.New(engine, phase, conf.sockets/3, log)
	listener, err := net.Listen("tcp", conf.listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}

	failed := make(chan error, 3)
	go func() { failed <- engine.Run(ctx) }()
	told := func(l directory.List, kind brookmux.ListKind) {
		pool.Update(cores(l, conf.settings.Module.Here))
		engine.Listed(l.Members(kind))
	}
	told(known, brookmux.Cached)
	go func() {
		failed <- reader.Follow(ctx, conf.nameserver, known.Serial, log,
			func(l directory.List) { told(l, brookmux.Full) })
	}()
	if err := phase.To(lifecycle.Ready); err != nil {
		return err
	}
	go func() { failed <- front.Serve(ctx, listener) }()

	select {
	case err := <-failed:
		return errors.Join(errors.New("stopped by itself"), err)
	case <-stop:
	}
	if err := phase.To(lifecycle.Draining); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return errors.Join(errors.New("stopped by itself"), err)
	case <-engine.Drain():
	}
	front.Close()
	cancel()
	pool.Wait()
	return phase.To(lifecycle.Stopped)
}

// cores lists whom the pool connects to: all that run but the own exchange.
func cores(l directory.List, here int) []corelink.Core {
	var out []corelink.Core
	for _, e := range l.Entries {
		if e.Number != here {
			out = append(out, corelink.Core{ID: e.ID, Addr: e.Addr, Since: e.Since})
		}
	}
	return out
}
