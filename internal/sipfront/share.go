package sipfront

import (
	"sync/atomic"
	"time"
)

const (
	// maxSharedSetUps bounds the set-ups in progress of all connections together. A connection that has more than its
	// share of them is not read while it gets answers, so that others don't wait behind what it has sent.
	maxSharedSetUps = 512
	// minShare is the number of set-ups that any connection may have in progress.
	minShare = 4
	// shareWait is how long a connection waits for one of its answers before a further set-up is refused.
	shareWait = 50 * time.Millisecond
)

// shareCounter counts the connections that have set-ups in progress.
type shareCounter struct{ active atomic.Int32 }

// share returns the number of set-ups that each connection may have in progress.
func (s *shareCounter) share() int {
	return max(minShare, min(maxPendingSetUps, maxSharedSetUps/max(1, int(s.active.Load()))))
}

// awaitShare waits until the connection has fewer set-ups in progress than its share, as long as they are being answered.
func (c *conn) awaitShare() {
	for c.overShare() {
		select {
		case <-c.inviteTaken:
		case <-c.Done():
			return
		case <-time.After(shareWait):
			return
		}
	}
}

// overShare reports whether the connection has its share of set-ups in progress, or more.
func (c *conn) overShare() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.invites) >= c.front.shares.share()
}

// addInvite records a set-up in progress. The connection's lock is held.
func (c *conn) addInvite(key string, p pendingInvite) {
	if len(c.invites) == 0 {
		c.front.shares.active.Add(1)
	}
	c.invites[key] = p
}

// takeInvite removes a pending set-up and returns it, and whether there was one.
func (c *conn) takeInvite(key string) (pendingInvite, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.invites[key]
	if !ok {
		return p, false
	}
	delete(c.invites, key)
	if len(c.invites) == 0 {
		c.front.shares.active.Add(-1)
	}
	select {
	case c.inviteTaken <- struct{}{}:
	default:
	}
	return p, true
}
