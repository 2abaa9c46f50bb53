package stream

import (
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether a socket holds input, or a listening socket a connection, that this process has not read or
// accepted yet. On a busy machine that can be a while after it came. Without a socket it reports false.
func HasUnread(socket any) bool {
	events, open := poll(socket, unix.POLLIN)
	return open && events&unix.POLLIN != 0
}

// AnyUnread reports whether one of several sockets holds input that this process has not read yet, see HasUnread.
func AnyUnread(sockets []any) bool { return slices.ContainsFunc(sockets, HasUnread) }

// Ended reports whether a connection carries no answers any more, also while input that came before is unread: the peer
// has closed its writing half or reset it, or this side has closed it. Without a socket it reports false.
func Ended(conn any) bool {
	if _, ok := conn.(syscall.Conn); !ok {
		return false
	}
	const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	events, open := poll(conn, closed)
	return !open || events&closed != 0
}

// poll returns which of the events have occurred at a socket, and whether the socket is open.
func poll(socket any, events int16) (occurred int16, open bool) {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(polled, 0); err == nil && n > 0 {
			occurred = polled[0].Revents
		}
	})
	return occurred, err == nil
}
