package netconf

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/crypto/ssh"
)

// Bounds of connections. What has not logged in must not keep those out who can.
const (
	mostStrangers = 16 // connections that have not logged in; the oldest goes for the next
	loginWithin   = 10 * time.Second
	mostLogins    = 6  // keys that one connection may offer
	mostChannels  = 4  // sessions on one connection
	mostClients   = 16 // connections that have logged in
	writeWithin   = 10 * time.Second

	// A client that has not answered a keep-alive for keepAliveEvery is gone: its sessions end, and their locks with
	// them.
	keepAliveEvery = 20 * time.Second
)

// Access says who may log in. It is asked at each log-in: what has changed counts from the next one on.
type Access interface {
	// HostKeys are the keys that the server shows itself by. Several at once let clients learn the next one before
	// the last one goes.
	HostKeys() []ssh.Signer
	// Keys are those that a user may log in with; none for one who is not known.
	Keys(user string) []ssh.PublicKey
}

// Listener serves NETCONF over SSH (RFC 6242), with keys only.
type Listener struct {
	server    *Server
	access    Access
	log       *slog.Logger
	keepAlive time.Duration // between two keep-alives, and the time for an answer

	mu        sync.Mutex
	strangers []net.Conn // the oldest first
	clients   map[net.Conn]struct{}
	serving   sync.WaitGroup
}

// NewListener returns a Listener of a server.
func NewListener(s *Server, access Access, log *slog.Logger) *Listener {
	return &Listener{server: s, access: access, log: log, keepAlive: keepAliveEvery, clients: map[net.Conn]struct{}{}}
}

// Serve takes connections until the context ends or the listener fails, and returns when all of them are over.
func (l *Listener) Serve(ctx context.Context, from net.Listener) error {
	defer l.serving.Wait()
	defer context.AfterFunc(ctx, func() {
		from.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.clients {
			c.Close()
		}
		for _, c := range l.strangers {
			c.Close()
		}
	})()
	for {
		c, err := from.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("netconf: accept: %w", err)
		case err != nil: // no descriptor: others will come
			l.log.Warn("netconf accept", "error", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		l.mu.Lock()
		if len(l.strangers) >= mostStrangers {
			l.strangers[0].Close()
			l.strangers = l.strangers[1:]
		}
		l.strangers = append(l.strangers, c)
		l.mu.Unlock()
		l.serving.Go(func() {
			if err := l.connection(ctx, c); err != nil {
				l.log.Debug("netconf connection over", "from", c.RemoteAddr().String(), "error", err)
			}
			c.Close()
			l.mu.Lock()
			defer l.mu.Unlock()
			l.known(c)
			delete(l.clients, c)
		})
	}
}

// known takes a connection off those that have not logged in. The lock is held.
func (l *Listener) known(c net.Conn) bool {
	for i, x := range l.strangers {
		if x == c {
			l.strangers = append(l.strangers[:i:i], l.strangers[i+1:]...)
			return true
		}
	}
	return false
}

// config is how the next connection logs in.
func (l *Listener) config() *ssh.ServerConfig {
	c := &ssh.ServerConfig{MaxAuthTries: mostLogins, PublicKeyCallback: func(m ssh.ConnMetadata, key ssh.PublicKey) (*ssh.Permissions, error) {
		for _, k := range l.access.Keys(m.User()) {
			if bytes.Equal(k.Marshal(), key.Marshal()) {
				return &ssh.Permissions{Extensions: map[string]string{"key": ssh.FingerprintSHA256(key)}}, nil
			}
		}
		return nil, fmt.Errorf("netconf: key of %q is not known", m.User())
	}}
	for _, k := range l.access.HostKeys() {
		c.AddHostKey(k)
	}
	return c
}

// connection serves one connection.
func (l *Listener) connection(ctx context.Context, nc net.Conn) error {
	if err := nc.SetDeadline(time.Now().Add(loginWithin)); err != nil {
		return err
	}
	conn, channels, requests, err := ssh.NewServerConn(nc, l.config())
	if err != nil {
		return err
	}
	l.mu.Lock()
	in := l.known(nc) && len(l.clients) < mostClients && ctx.Err() == nil
	if in {
		l.clients[nc] = struct{}{}
	}
	l.mu.Unlock()
	if !in {
		return errors.New("too many connections")
	}
	if err := nc.SetDeadline(time.Time{}); err != nil {
		return err
	}
	l.log.Info("netconf login", "user", conn.User(), "from", nc.RemoteAddr().String(), "key", conn.Permissions.Extensions["key"])
	go ssh.DiscardRequests(requests)
	over := make(chan struct{})
	defer close(over)
	go l.watch(conn, nc, over)
	var sessions sync.WaitGroup
	defer sessions.Wait()
	open := make(chan struct{}, mostChannels)
	for c := range channels {
		if c.ChannelType() != "session" {
			_ = c.Reject(ssh.UnknownChannelType, "sessions only") // the connection's end shows by itself
			continue
		}
		select {
		case open <- struct{}{}:
		default:
			_ = c.Reject(ssh.ResourceShortage, "too many sessions")
			continue
		}
		ch, asked, err := c.Accept()
		if err != nil {
			return err
		}
		sessions.Go(func() {
			defer func() { <-open }()
			l.session(nc, conn.User(), ch, asked)
		})
	}
	return conn.Wait()
}

// watch ends a connection whose client does not answer keep-alives any more, until the connection is over.
func (l *Listener) watch(conn ssh.Conn, nc net.Conn, over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(l.keepAlive):
		}
		silent := time.AfterFunc(l.keepAlive, func() {
			l.log.Warn("netconf connection closed", "reason", "keep-alive not answered", "user", conn.User())
			nc.Close()
		})
		_, _, err := conn.SendRequest("keepalive@openssh.com", true, nil)
		silent.Stop()
		if err != nil {
			return // the connection is over
		}
	}
}

// session waits for the subsystem's request and serves it (RFC 6242, 3).
func (l *Listener) session(nc net.Conn, user string, ch ssh.Channel, asked <-chan *ssh.Request) {
	defer ch.Close()
	for r := range asked {
		var sub struct{ Name string }
		ok := r.Type == "subsystem" && ssh.Unmarshal(r.Payload, &sub) == nil && sub.Name == "netconf"
		if r.WantReply {
			if err := r.Reply(ok, nil); err != nil {
				return
			}
		}
		if ok {
			go ssh.DiscardRequests(asked)
			if err := l.server.Serve(timed{ch, nc}, user); err != nil {
				l.log.Debug("netconf session over", "user", user, "error", err)
			}
			return
		}
	}
}

// timed ends the connection of a client that does not read what it is sent: SSH channels know no deadlines.
type timed struct {
	ssh.Channel
	nc net.Conn
}

// Write implements io.Writer.
func (t timed) Write(b []byte) (int, error) {
	stuck := time.AfterFunc(writeWithin, func() { t.nc.Close() })
	defer stuck.Stop()
	return t.Channel.Write(b)
}
