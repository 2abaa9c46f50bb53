package main

import (
	"log/slog"
	"time"

	"brookmux/internal/settings"
	"brookmux/internal/sipfront"
)

// The platform kills a program that it has told to end after the longest deadline, of which it counts so much at most, and
// a margin (protocol page, "Figures").
const (
	killCounts = 3 * time.Second
	killMargin = 700 * time.Millisecond
)

const (
	callersWithin = 4 * time.Second        // after a drain, callers that go on sending are answered for so long
	coresWithin   = 300 * time.Millisecond // and releases to cores have so long to be read,
	coresLeast    = 50 * time.Millisecond  // or, shortly before the kill, so long
)

// killAfter is how long after it was told to end the program may be killed.
func killAfter(s settings.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Module.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, killCounts) + killMargin
}

// shutDown ends the connections to callers, then those to cores, each once what was written there has been read, and logs
// what was not. The program may be killed at a time.
func shutDown(front *sipfront.Front, links *trunks, kill time.Time, log *slog.Logger) {
	callers := front.Shutdown(time.Now().Add(callersWithin))
	wait := coresWithin
	if left := time.Until(kill); left > 0 {
		wait = max(coresLeast, min(wait, left-coresLeast))
	}
	cores := links.Shutdown(time.Now().Add(wait))
	log.Info("shut_down", "releases_unacknowledged", callers.Unacknowledged, "releases_without_connection", callers.Unsent,
		"callers_open", callers.Open, "core_releases_without_connection", cores.Unsent, "cores_open", cores.Open)
}
