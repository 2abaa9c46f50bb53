package sipfront

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether a socket holds input, or a listening socket a connection, that this process has not read or
// accepted yet. On a busy machine that can be a while after it came. Without a socket it reports false.
func hasUnread(socket any) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		unread = err == nil && n > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return err == nil && unread
}
