package corelink

import (
	"log/slog"
	"slices"
	"time"

	"brookmux/internal/core"
	"brookmux/internal/liveness"
)

// handOver passes the endpoint to a core that is newly listed, or listed with a later start, and returns the keys of the
// calls and set-ups that go on there. Connections opened before the start lead to a former process: they are replaced, and
// those that have been silent since then are closed. The set-ups that wait for a connection are not sent any more. The lock
// is held.
func (e *endpoint) handOver(to Core) (kept []string, unreached []core.Attempt) {
	h := e.lease.HandOver(to.Since)
	startedAt := e.pool.Origin.Add(to.Since)
	var former []*connection
	for c := range e.connections {
		if slices.Contains(h.Former, c.id) {
			former = append(former, c)
		}
	}
	slices.SortFunc(former, func(a, b *connection) int { return len(b.pending) - len(a.pending) }) // the last one may be kept
	for _, c := range former {
		if c.lastMessage.Before(startedAt) {
			e.abandon(c, closeBeforeStart)
		} else {
			c.retire(e.pool.sinceOrigin(time.Now()))
		}
	}
	unreached, e.waiting = e.waiting, nil
	e.pool.Log.Info("core_handed_over", "core", e.id(), "to", to.ID, "start", to.Since, "ended", len(h.Ended), "kept", len(h.Kept),
		"former_connections", len(former), "processes", e.lease.Processes())
	e.Since, e.Draining, e.unlisted = to.Since, to.Draining, false
	return h.Kept, unreached
}

// tickLease advances the lease, starts the check that it requests, and returns the expired calls. The lock is held.
func (e *endpoint) tickLease(now time.Time) []liveness.Expiry {
	d := e.lease.Tick(e.pool.sinceOrigin(now))
	e.logMerges()
	if d.Check != nil {
		e.startCheck(*d.Check, now)
	}
	for _, x := range d.Expired {
		e.pool.Log.Warn("core_lease_expired", "core", e.id(), "reason", x.Reason, "calls", len(x.Calls), "silent", x.UnresponsiveFor,
			"connections", len(e.connections), "processes", e.lease.Processes())
		if x.Reason == liveness.ReasonExpired {
			e.closeUnresponsiveSince(now.Add(-x.UnresponsiveFor))
		}
	}
	return d.Expired
}

// logMerges logs which processes with calls were taken for one. Each check of a quiet core merges one that has no calls. The
// lock is held.
func (e *endpoint) logMerges() {
	for _, m := range e.lease.TakeMerges() {
		level := slog.LevelInfo
		if m.Reason == liveness.MergeOverlap && m.Later == 0 {
			level = slog.LevelDebug
		}
		e.pool.Log.Log(e.ctx, level, "core_processes_merged", "core", e.id(), "reason", string(m.Reason), "calls", m.Calls,
			"later_calls", m.Later, "in_use", m.InUse)
	}
}

// closeUnresponsiveSince closes the connections that have received no message since a time. The lock is held.
func (e *endpoint) closeUnresponsiveSince(at time.Time) {
	for c := range e.connections {
		if !c.lastMessage.After(at) {
			e.close(c, closeExpired)
		}
	}
}

// startCheck carries out a check. A retired connection is replaced once it has ended, or has not been closed by the core in
// time. The lock is held.
func (e *endpoint) startCheck(check liveness.Check, now time.Time) {
	c := e.firstReplaceable(check.Close)
	switch {
	case c != nil && check.OpenFirst && e.makeRoom(now):
		e.requestReplacement(c)
	case c != nil:
		c.retire(e.pool.sinceOrigin(now))
	default:
		e.renew(check.Renew, now)
	}
}

// renew has one of the given connections replaced. One on which nothing was ever received is closed at once, as no core may
// ever serve it. The lock is held.
func (e *endpoint) renew(ids []liveness.ConnectionID, now time.Time) {
	c := e.firstReplaceable(ids)
	switch {
	case c == nil:
		e.wakeDialer() // fewer connections than configured may be open
	case c.messageReceived:
		c.retire(e.pool.sinceOrigin(now))
	default:
		e.close(c, closeUnheard)
	}
}

// replaceUnanswered has another connection opened in place of a retired one that the core has not closed in time. Without
// room for both, it closes the retired one. The lock is held.
func (e *endpoint) replaceUnanswered(c *connection, now time.Time) {
	unanswered := c.halfClosed && now.Sub(c.halfClosedAt) >= closeAnswerTimeout
	switch {
	case c.replaced || !unanswered && !e.lease.HoldsEvidence(c.id):
	case e.hasRoom():
		e.requestReplacement(c)
	case unanswered && e.lease.MayAbandon(c.id):
		e.close(c, closeUnanswered)
	}
}

// openAfter has a connection opened after the end of a retired one that another connection had replaced before: a release
// that the core was just writing there is sent again on the next one that is opened. The lock is held.
func (e *endpoint) openAfter(c *connection) {
	if !c.retired || !c.replaced || e.extraOpen || e.ctx.Err() != nil || !e.callsStand() || !e.hasRoom() {
		return
	}
	e.extraOpen = true
	e.pool.dialers.Go(e.keepExtra)
}

// keepExtra keeps one connection more than configured while calls stand.
func (e *endpoint) keepExtra() {
	e.runWhile(e.ctx, func() bool {
		e.pool.mu.Lock()
		defer e.pool.mu.Unlock()
		e.extraOpen = e.callsStand()
		return e.extraOpen
	})
}

// callsStand reports whether calls stand on the core. The lock is held.
func (e *endpoint) callsStand() bool { return e.lease.Calls() > 0 }

// hasRoom reports whether another connection may be opened to check the core: one more than configured. The lock is held.
func (e *endpoint) hasRoom() bool { return len(e.connections) <= e.pool.Connections }

// makeRoom closes a retired connection that the core has not closed in time, if there is no room for another one, and
// reports whether there is room then. The lock is held.
func (e *endpoint) makeRoom(now time.Time) bool {
	if e.hasRoom() {
		return true
	}
	for c := range e.connections {
		if c.halfClosed && now.Sub(c.halfClosedAt) >= closeAnswerTimeout {
			e.close(c, closeUnanswered)
			break
		}
	}
	return e.hasRoom()
}

// firstReplaceable returns the first of the given connections that has no open set-up and is not being replaced, or nil.
// The lock is held.
func (e *endpoint) firstReplaceable(ids []liveness.ConnectionID) *connection {
	for _, id := range ids {
		for c := range e.connections {
			if c.id == id && !c.retired && !c.replacing && len(c.pending) == 0 {
				return c
			}
		}
	}
	return nil
}
