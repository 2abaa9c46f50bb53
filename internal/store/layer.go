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

// The first byte of a connection says what it is for.
const (
	forRaft    = 'R'
	forForward = 'F'
)

const (
	greetWithin = 2 * time.Second
	mostForward = 1 << 20
)

// layer is one port for Raft and for the changes that members hand to the one that leads.
type layer struct {
	net.Listener
	raft    chan net.Conn
	forward chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newLayer(l net.Listener) *layer {
	x := &layer{Listener: l, raft: make(chan net.Conn), forward: make(chan net.Conn), done: make(chan struct{})}
	go x.accept()
	return x
}

// accept sorts the connections that come.
func (l *layer) accept() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return
		}
		go l.sort(c)
	}
}

// sort reads what a connection is for.
func (l *layer) sort(c net.Conn) {
	var b [1]byte
	if c.SetReadDeadline(time.Now().Add(greetWithin)) != nil {
		c.Close()
		return
	}
	if _, err := io.ReadFull(c, b[:]); err != nil || c.SetReadDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	to := l.raft
	switch b[0] {
	case forRaft:
	case forForward:
		to = l.forward
	default:
		c.Close()
		return
	}
	select {
	case to <- c:
	case <-l.done:
		c.Close()
	}
}

// Accept implements net.Listener for Raft.
func (l *layer) Accept() (net.Conn, error) {
	select {
	case c := <-l.raft:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *layer) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// Dial implements raft.StreamLayer.
func (l *layer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return dial(context.Background(), string(address), timeout, forRaft)
}

// dial opens a connection for one of the purposes.
func dial(ctx context.Context, address string, timeout time.Duration, what byte) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte{what}); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// serve makes the changes that other members hand on, one a connection: a line with the change, and back a
// line with the revision or an error's word.
func (l *layer) serve(apply func([]byte) (uint64, error)) {
	for {
		select {
		case c := <-l.forward:
			go answer(c, apply)
		case <-l.done:
			return
		}
	}
}

// answer serves one connection.
func answer(c net.Conn, apply func([]byte) (uint64, error)) {
	defer c.Close()
	if c.SetDeadline(time.Now().Add(transportWithin+applyWithin)) != nil {
		return
	}
	line, err := bufio.NewReader(io.LimitReader(c, mostForward)).ReadBytes('\n')
	if err != nil {
		return
	}
	word := ""
	rev, err := apply(line)
	switch {
	case err == nil:
		word = "ok " + strconv.FormatUint(rev, 10)
	case errors.Is(err, ErrStale):
		word = "stale"
	default:
		word = "no " + err.Error()
	}
	_, _ = io.WriteString(c, word+"\n") // the member that asked sees the end of the connection
}

// forward hands a change to the member that leads.
func forward(ctx context.Context, leader string, command []byte) (uint64, error) {
	c, err := dial(ctx, leader, transportWithin, forForward)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if err := c.SetDeadline(time.Now().Add(transportWithin + applyWithin)); err != nil {
		return 0, err
	}
	if _, err := c.Write(append(command, '\n')); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	switch word {
	case "ok":
		return strconv.ParseUint(rest, 10, 64)
	case "stale":
		return 0, ErrStale
	}
	return 0, fmt.Errorf("%w: %s", ErrNoLeader, rest)
}
