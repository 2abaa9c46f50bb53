package store

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// The first byte of a connection gives its purpose.
const (
	connRaft    = 'R'
	connForward = 'F'
)

const (
	firstByteTimeout = 2 * time.Second // for a new connection to send its purpose
	maxForwardBytes  = 1 << 20         // bytes of a forwarded change
)

// streamLayer shares one listening port between Raft and the changes that members forward to the leader. It
// implements raft.StreamLayer.
type streamLayer struct {
	net.Listener
	raftConns    chan net.Conn
	forwardConns chan net.Conn
	done         chan struct{}
	closeOnce    sync.Once
}

// newStreamLayer returns a streamLayer on l, which it owns, and starts to accept connections.
func newStreamLayer(l net.Listener) *streamLayer {
	x := &streamLayer{Listener: l, raftConns: make(chan net.Conn), forwardConns: make(chan net.Conn), done: make(chan struct{})}
	go x.acceptLoop()
	return x
}

// acceptLoop dispatches each incoming connection, until the listener is closed.
func (l *streamLayer) acceptLoop() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return
		}
		go l.dispatch(c)
	}
}

// dispatch reads the purpose of a connection and hands it to Raft or to serveForwarded. It closes a connection that
// names no known purpose within firstByteTimeout.
func (l *streamLayer) dispatch(c net.Conn) {
	var b [1]byte
	if c.SetReadDeadline(time.Now().Add(firstByteTimeout)) != nil {
		c.Close()
		return
	}
	if _, err := io.ReadFull(c, b[:]); err != nil || c.SetReadDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	conns := l.raftConns
	switch b[0] {
	case connRaft:
	case connForward:
		conns = l.forwardConns
	default:
		c.Close()
		return
	}
	select {
	case conns <- c:
	case <-l.done:
		c.Close()
	}
}

// Accept implements net.Listener: it returns the next connection for Raft.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-l.raftConns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *streamLayer) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// Dial implements raft.StreamLayer: it opens a connection for Raft.
func (l *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return dial(context.Background(), string(address), timeout, connRaft)
}

// dial opens a connection and sends its purpose, connRaft or connForward.
func dial(ctx context.Context, address string, timeout time.Duration, purpose byte) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte{purpose}); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// serveForwarded applies the changes that other members forward, until the layer is closed. A connection carries one
// change: the request is a line with the change as JSON, the reply a line with "ok" and the revision, "stale", or
// "no" and the error.
func (l *streamLayer) serveForwarded(apply func([]byte) (uint64, error)) {
	for {
		select {
		case c := <-l.forwardConns:
			go handleForwarded(c, apply)
		case <-l.done:
			return
		}
	}
}

// handleForwarded applies the change of one connection, writes the reply and closes the connection.
func handleForwarded(c net.Conn, apply func([]byte) (uint64, error)) {
	defer c.Close()
	if c.SetDeadline(time.Now().Add(transportTimeout+applyTimeout)) != nil {
		return
	}
	line, err := bufio.NewReader(io.LimitReader(c, maxForwardBytes)).ReadBytes('\n')
	if err != nil {
		return
	}
	reply := ""
	rev, err := apply(line)
	switch {
	case err == nil:
		reply = "ok " + strconv.FormatUint(rev, 10)
	case errors.Is(err, ErrStale):
		reply = "stale"
	default:
		reply = "no " + err.Error()
	}
	_, _ = io.WriteString(c, reply+"\n") // the requesting member sees the end of the connection
}

// forward sends an encoded change to the leader and returns the store's revision with it. The error wraps ErrNoLeader
// if the leader can't be reached or fails, and is ErrStale if it rejects the revision.
func forward(ctx context.Context, leader string, command []byte) (uint64, error) {
	c, err := dial(ctx, leader, transportTimeout, connForward)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if err := c.SetDeadline(time.Now().Add(transportTimeout + applyTimeout)); err != nil {
		return 0, err
	}
	if _, err := c.Write(append(command, '\n')); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	status, detail, _ := strings.Cut(strings.TrimSpace(line), " ")
	switch status {
	case "ok":
		return strconv.ParseUint(detail, 10, 64)
	case "stale":
		return 0, ErrStale
	}
	return 0, fmt.Errorf("%w: %s", ErrNoLeader, detail)
}
