package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"

	"brookmux/internal/corelink"
	"brookmux/internal/directory"
)

// reloader lets a new platform configuration take effect while the program runs.
type reloader struct {
	path, listen string   // of the file; where callers connect, whatever it says, if not empty
	conf         platform // in force
	peers        int      // of the M3UA front
	reader       directory.Reader
	names        *directory.Service
	links        *corelink.Pool
	over         *overlay
	tune         func(config)
	serve        func(net.Listener)
	unserve      context.CancelFunc // ends what serve began last
	log          *slog.Logger
}

// reload reads the file again. One that can't be used is logged, and what was in force stays.
func (r *reloader) reload() {
	if err := r.replace(); err != nil {
		r.log.Warn("configuration not replaced", "error", err)
		return
	}
	r.log.Info("configuration replaced", "nameserver", r.conf.nameserver, "listen", r.conf.listen,
		"classes", r.conf.settings.ClassNames)
}

// replace checks all of a new configuration, and opens what it needs, before any of it takes effect. The seed
// is for the start only; a name is for good.
func (r *reloader) replace() error {
	next, err := loadPlatform(r.path, r.listen)
	if err != nil {
		return err
	}
	if next.name != r.conf.name {
		return fmt.Errorf("configuration is for %q", next.name)
	}
	reader := directory.Reader{Zones: next.settings.Zones, Origin: r.reader.Origin}
	known, err := reader.Known(next.known)
	if err != nil {
		return err
	}
	names, err := directory.Dial(next.nameserver)
	if err != nil {
		return err
	}
	var listener net.Listener
	if next.listen != r.conf.listen {
		if listener, err = listen(next.listen, r.log); err != nil {
			names.Close()
			return err
		}
	}
	callers, _ := shares(next.sockets, r.peers)
	if err := r.over.platform(next.settings, next.memory/8, callers); err != nil { // the last that can fail
		names.Close()
		if listener != nil {
			listener.Close()
		}
		return err
	}
	r.conf, r.reader = next, reader
	r.names.Move(names, reader)
	r.names.Take(known) // older than the list in hand, as a rule: the numbers go on
	r.links.SetConnectTimeout(next.settings.ConnectTimeout)
	r.tune(config{platform: next})
	if listener != nil {
		stop := r.unserve
		r.serve(listener) // connections that are open stay so
		stop()
	}
	return nil
}
