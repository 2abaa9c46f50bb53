package sipfront

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"brookmux/internal/lifecycle"
	"brookmux/internal/stream"
)

// awaitMessage waits for the first byte of a message and sets the read deadline for the rest of it. It fails once the
// connection has been idle too long, so that idle connections do not hold descriptors that active callers need. While it
// waits, it closes the writing half when the front asks for that.
func (c *conn) awaitMessage(r *stream.Reader) error {
	deadline, received := time.Now().Add(idleTimeout), c.received.Load()
	if !received {
		deadline = c.createdAt.Add(firstMessageTimeout)
	}
	for {
		if err := c.startWaiting(deadline, r.R.Buffered()); err != nil {
			return err
		}
		b, err := r.R.Peek(1)
		closeRequested := c.stopWaiting()
		switch {
		case err == nil && (b[0] == '\r' || b[0] == '\n'): // keep-alive
			_, _ = r.R.Discard(1) // the byte is buffered: Discard cannot fail
		case err == nil && !received:
			return c.nc.SetReadDeadline(deadline)
		case err == nil:
			return c.nc.SetReadDeadline(time.Now().Add(messageTimeout))
		case errors.Is(err, os.ErrDeadlineExceeded) && closeRequested:
			c.halfClose() // if input has arrived meanwhile it is read first
		case errors.Is(err, os.ErrDeadlineExceeded) && received && (!c.idle() || c.standingCalls.Load() > 0):
			deadline = time.Now().Add(idleTimeout)
		default:
			return err
		}
	}
}

// startWaiting sets the read deadline for the wait for a message. buffered is the number of bytes of it that are buffered.
func (c *conn) startWaiting(deadline time.Time, buffered int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = buffered == 0
	return c.nc.SetReadDeadline(deadline)
}

// stopWaiting ends the wait for a message and reports whether the front has interrupted it to close the connection.
func (c *conn) stopWaiting() (closeRequested bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closeRequested = c.closeRequested
	c.waiting, c.closeRequested = false, false
	return closeRequested
}

// endDue returns why this side has to end the connection, or nil. While a set-up is pending, its answer is still due.
func (c *conn) endDue() error {
	switch {
	case !c.idle():
		return nil
	case c.keyReused:
		return errKeyReused
	case c.faults.Load() >= maxFaults: // a caller may resend a rejected message without end
		return errTooManyFaults
	}
	return nil
}

// evict closes a connection that has no pending set-ups and no unread input, and reports whether it did. Set-ups read
// afterwards are ignored: the caller sees the close and resends them on another connection.
func (c *conn) evict() bool {
	c.mu.Lock()
	idle := len(c.invites) == 0 && !stream.HasUnread(c.nc)
	c.closing = c.closing || idle
	c.mu.Unlock()
	if idle {
		c.Finish()
	}
	return idle
}

// closeGracefully asks the goroutine that reads the connection to close its writing half, if it waits for a message and no
// set-up is pending. Only that goroutine knows whether input is buffered: on a busy machine a set-up can be in the buffer
// for longer than drainIdleTime. The front's lock must be held.
func (c *conn) closeGracefully(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.waiting || len(c.invites) > 0 {
		return
	}
	c.closeRequested, c.closeWait = true, c.front.limitWait(now, closeTimeout)
	_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // interrupts the wait; if the connection has ended, that ends it too
}

// halfClose closes the writing half once the queued output is written, unless a set-up is pending or input is unread.
// Reading continues until the caller closes the connection too, for at most closeTimeout: an immediate close would discard
// output that the caller has not read. Set-ups read afterwards are ignored, as after evict. It is called by the goroutine
// that reads the connection, with no input buffered.
func (c *conn) halfClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || len(c.invites) > 0 || stream.HasUnread(c.nc) {
		return
	}
	c.closing, c.halfClosed = true, true
	c.HalfClose()
	time.AfterFunc(c.closeWait, c.Close)
}

// expectsTraffic reports whether a message was received within drainIdleTime or a set-up of a caller that goes on in the drain
// within drainSetUpTime, or the acknowledgement of a release may still arrive. The front's lock must be held.
func (c *conn) expectsTraffic(now time.Time) bool {
	if now.UnixNano()-c.lastReceived.Load() < int64(drainIdleTime) {
		return true
	}
	if c.setUpMayFollow(now) {
		return true
	}
	if !c.front.callersAcknowledge.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.byes {
		if now.Sub(s.writtenAt) < c.front.limitWait(s.writtenAt, drainAckWait) {
			return true
		}
	}
	return false
}

// setUpMayFollow reports whether the caller has sent set-ups in the drain and the last one so recently that another one may
// follow. Its caller may read the end of the connection late, behind releases, and a set-up that it sends before that gets
// no answer. The front's lock must be held.
func (c *conn) setUpMayFollow(now time.Time) bool {
	drainStart := time.Now().Add(-c.front.phase.Since(lifecycle.Draining))
	lastSetUp := time.Unix(0, c.lastSetUp.Load())
	return lastSetUp.After(drainStart) && now.Sub(lastSetUp) < c.front.limitWait(lastSetUp, drainSetUpTime)
}

// connectionEnded reports whether an error of reading means that the connection can't be used any more, because the
// caller or the writer has ended it.
func connectionEnded(err error) bool {
	opErr := (*net.OpError)(nil)
	return errors.Is(err, io.EOF) || errors.As(err, &opErr) && !opErr.Timeout()
}

// awaitAnswers waits until no set-up is pending or the caller ends the connection. Input is read and discarded, as the
// start of the next message in it is not known. The wait ends with the last deadline, by which the engine has answered.
func (c *conn) awaitAnswers() {
	for !c.idle() {
		err := c.nc.SetReadDeadline(time.Now().Add(discardInterval))
		if err == nil {
			_, err = io.Copy(io.Discard, c.nc)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// cleanlyClosed reports whether the caller closed the connection after the writing half was closed, and so has read
// all that was written. err is the error that ended reading.
func (c *conn) cleanlyClosed(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.halfClosed && errors.Is(err, io.EOF)
}

// markClosing marks the connection as closing, and removes and returns the keys of its pending set-ups.
func (c *conn) markClosing() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	keys := make([]string, 0, len(c.invites))
	for k := range c.invites {
		keys = append(keys, k)
	}
	if len(c.invites) > 0 {
		c.front.shares.active.Add(-1)
	}
	clear(c.invites)
	return keys
}
