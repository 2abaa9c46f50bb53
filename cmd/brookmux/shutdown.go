package main

import (
	"log/slog"
	"time"

	"brookmux/internal/settings"
	"brookmux/internal/sipfront"
)

// The platform kills a stopping program after the longest class deadline, of which it counts at most maxKillDeadline,
// plus killMargin (protocol page, "Figures").
const (
	maxKillDeadline = 3 * time.Second
	killMargin      = 700 * time.Millisecond
)

const (
	callerShutdownTimeout  = 4 * time.Second        // time to answer callers that still send after a drain
	coreShutdownTimeout    = 300 * time.Millisecond // time for cores to read their releases
	minCoreShutdownTimeout = 50 * time.Millisecond  // the same, shortly before the kill
)

// killDelay returns the time from the stop signal until the platform may kill the program.
func killDelay(s settings.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Module.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxKillDeadline) + killMargin
}

// shutDown closes the connections to callers, then those to cores, each after the other end has read everything written
// to it, and logs what was not read. killTime is the time at which the program may be killed.
func shutDown(front *sipfront.Front, links *trunks, killTime time.Time, log *slog.Logger) {
	callers := front.Shutdown(time.Now().Add(callerShutdownTimeout))
	wait := coreShutdownTimeout
	if left := time.Until(killTime); left > 0 {
		wait = max(minCoreShutdownTimeout, min(wait, left-minCoreShutdownTimeout))
	}
	cores := links.Shutdown(time.Now().Add(wait))
	log.Info("shut_down", "releases_unacknowledged", callers.Unacknowledged, "releases_without_connection", callers.Unsent,
		"callers_open", callers.Open, "core_releases_without_connection", cores.Unsent, "cores_open", cores.Open)
}
