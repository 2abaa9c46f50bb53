package main

import (
	"fmt"
	"log/slog"

	"brookmux/internal/directory"
)

// reloader lets a new platform configuration take effect while the program runs.
type reloader struct {
	path   string
	conf   platform // in force
	reader directory.Reader
	names  *directory.Service
	log    *slog.Logger
}

// reload reads the file again. One that can't be used is logged, and what was in force stays.
func (r *reloader) reload() {
	if err := r.replace(); err != nil {
		r.log.Warn("configuration not replaced", "error", err)
		return
	}
	r.log.Info("configuration replaced", "nameserver", r.conf.nameserver)
}

// replace checks all of a new configuration before any of it takes effect.
func (r *reloader) replace() error {
	next, err := loadPlatform(r.path, r.conf.listen)
	if err != nil {
		return err
	}
	if next.name != r.conf.name {
		return fmt.Errorf("configuration is for %q", next.name)
	}
	known, err := r.reader.Known(next.known)
	if err != nil {
		return err
	}
	if next.nameserver != r.conf.nameserver {
		if err := r.names.Move(next.nameserver); err != nil {
			return err
		}
	}
	r.names.Take(known) // older than the list in hand, as a rule: the numbers go on
	r.conf = next
	return nil
}
