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

// Limits on connections. Connections that have not logged in must not keep out clients that can.
const (
	maxPendingLogins   = 16 // connections that have not logged in; a new one replaces the oldest
	loginTimeout       = 10 * time.Second
	maxAuthTries       = 6  // authentication attempts of one connection
	maxSessionsPerConn = 4  // concurrent sessions on one connection
	maxClients         = 16 // connections that have logged in
	writeTimeout       = 10 * time.Second

	// keepAliveInterval is the time between two keep-alives, and the time to answer one. A client that does not answer
	// in time is disconnected, which ends its sessions and releases their locks.
	keepAliveInterval = 20 * time.Second
)

// Access supplies the host keys and the keys that users may log in with. It is queried for each connection and log-in,
// so that a change applies from the next one on. It must be safe for concurrent use.
type Access interface {
	// HostKeys returns the host keys of the server. With several, clients can learn the new key before the old one is
	// removed.
	HostKeys() []ssh.Signer
	// AuthorizedKeys returns the public keys that a user may log in with, none for an unknown user.
	AuthorizedKeys(user string) []ssh.PublicKey
}

// Listener serves NETCONF over SSH (RFC 6242), with public key authentication only.
type Listener struct {
	server            *Server
	access            Access
	log               *slog.Logger
	keepAliveInterval time.Duration // between two keep-alives, and the time to answer one

	mu       sync.Mutex
	pending  []net.Conn            // connections that have not logged in, the oldest first
	clients  map[net.Conn]struct{} // connections that have logged in
	handlers sync.WaitGroup
}

// NewListener returns a Listener that runs its sessions on a Server.
func NewListener(server *Server, access Access, log *slog.Logger) *Listener {
	return &Listener{server: server, access: access, log: log, keepAliveInterval: keepAliveInterval, clients: map[net.Conn]struct{}{}}
}

// Serve accepts connections until the context ends, which closes them all and is not an error, or the listener is
// closed. It returns when all connections have ended.
func (l *Listener) Serve(ctx context.Context, listener net.Listener) error {
	defer l.handlers.Wait()
	defer context.AfterFunc(ctx, func() {
		listener.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.clients {
			c.Close()
		}
		for _, c := range l.pending {
			c.Close()
		}
	})()
	for {
		c, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("netconf: accept: %w", err)
		case err != nil: // for example out of file descriptors; later calls may succeed
			l.log.Warn("netconf accept", "error", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		l.mu.Lock()
		if len(l.pending) >= maxPendingLogins {
			l.pending[0].Close()
			l.pending = l.pending[1:]
		}
		l.pending = append(l.pending, c)
		l.mu.Unlock()
		l.handlers.Go(func() {
			if err := l.serveConn(ctx, c); err != nil {
				l.log.Debug("netconf connection ended", "from", c.RemoteAddr().String(), "error", err)
			}
			c.Close()
			l.mu.Lock()
			defer l.mu.Unlock()
			l.removePending(c)
			delete(l.clients, c)
		})
	}
}

// removePending removes a connection from those that have not logged in, and reports whether it was one of them. The
// caller holds l.mu.
func (l *Listener) removePending(c net.Conn) bool {
	for i, x := range l.pending {
		if x == c {
			l.pending = append(l.pending[:i:i], l.pending[i+1:]...)
			return true
		}
	}
	return false
}

// sshConfig returns the SSH configuration of a new connection, with the current host keys. Users' keys are looked up at
// each log-in.
func (l *Listener) sshConfig() *ssh.ServerConfig {
	c := &ssh.ServerConfig{MaxAuthTries: maxAuthTries, PublicKeyCallback: func(m ssh.ConnMetadata, key ssh.PublicKey) (*ssh.Permissions, error) {
		for _, k := range l.access.AuthorizedKeys(m.User()) {
			if bytes.Equal(k.Marshal(), key.Marshal()) {
				return &ssh.Permissions{Extensions: map[string]string{"key": ssh.FingerprintSHA256(key)}}, nil
			}
		}
		return nil, fmt.Errorf("netconf: unknown key for user %q", m.User())
	}}
	for _, k := range l.access.HostKeys() {
		c.AddHostKey(k)
	}
	return c
}

// serveConn serves one connection: the log-in, then its sessions, until the connection and all sessions have ended.
func (l *Listener) serveConn(ctx context.Context, netConn net.Conn) error {
	if err := netConn.SetDeadline(time.Now().Add(loginTimeout)); err != nil {
		return err
	}
	conn, channels, requests, err := ssh.NewServerConn(netConn, l.sshConfig())
	if err != nil {
		return err
	}
	l.mu.Lock()
	admitted := l.removePending(netConn) && len(l.clients) < maxClients && ctx.Err() == nil
	if admitted {
		l.clients[netConn] = struct{}{}
	}
	l.mu.Unlock()
	if !admitted {
		return errors.New("too many connections")
	}
	if err := netConn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	l.log.Info("netconf login", "user", conn.User(), "from", netConn.RemoteAddr().String(), "key", conn.Permissions.Extensions["key"])
	go ssh.DiscardRequests(requests)
	done := make(chan struct{})
	defer close(done)
	go l.monitorKeepAlive(conn, netConn, done)
	var sessions sync.WaitGroup
	defer sessions.Wait()
	slots := make(chan struct{}, maxSessionsPerConn)
	for c := range channels {
		if c.ChannelType() != "session" {
			_ = c.Reject(ssh.UnknownChannelType, "sessions only") // if the connection has failed, the loop ends anyway
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = c.Reject(ssh.ResourceShortage, "too many sessions")
			continue
		}
		channel, channelRequests, err := c.Accept()
		if err != nil {
			return err
		}
		sessions.Go(func() {
			defer func() { <-slots }()
			l.serveChannel(netConn, conn.User(), channel, channelRequests)
		})
	}
	return conn.Wait()
}

// monitorKeepAlive sends keep-alives until done is closed, and closes the connection if the client does not answer one
// in time.
func (l *Listener) monitorKeepAlive(conn ssh.Conn, netConn net.Conn, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(l.keepAliveInterval):
		}
		timer := time.AfterFunc(l.keepAliveInterval, func() {
			l.log.Warn("netconf connection closed", "reason", "keep-alive not answered", "user", conn.User())
			netConn.Close()
		})
		_, _, err := conn.SendRequest("keepalive@openssh.com", true, nil)
		timer.Stop()
		if err != nil {
			return // the connection has ended
		}
	}
}

// serveChannel waits for the request of the netconf subsystem on a channel and runs the session (RFC 6242, 3).
func (l *Listener) serveChannel(netConn net.Conn, user string, channel ssh.Channel, requests <-chan *ssh.Request) {
	defer channel.Close()
	for r := range requests {
		var sub struct{ Name string }
		ok := r.Type == "subsystem" && ssh.Unmarshal(r.Payload, &sub) == nil && sub.Name == "netconf"
		if r.WantReply {
			if err := r.Reply(ok, nil); err != nil {
				return
			}
		}
		if ok {
			go ssh.DiscardRequests(requests)
			if err := l.server.Serve(timeoutChannel{channel, netConn}, user); err != nil {
				l.log.Debug("netconf session ended", "user", user, "error", err)
			}
			return
		}
	}
}

// timeoutChannel is an SSH channel that closes the connection if a write takes longer than writeTimeout, as with a
// client that does not read. SSH channels have no deadlines of their own.
type timeoutChannel struct {
	ssh.Channel
	netConn net.Conn
}

// Write implements io.Writer.
func (t timeoutChannel) Write(b []byte) (int, error) {
	timer := time.AfterFunc(writeTimeout, func() { t.netConn.Close() })
	defer timer.Stop()
	return t.Channel.Write(b)
}
