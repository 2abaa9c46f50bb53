// Package testhost provides each test or trial with its own loopback address. The system may reassign a closed port
// at once, and a program that still dials it would then reach the listener of another test; with separate addresses
// it does not.
package testhost

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	hostsPerProcess = 254 // assigned in rotation
	secondOctets    = 254 // by process id, each for 256 consecutive ids
)

var lastIndex atomic.Uint32

// Host returns an address in 127.0.0.0/8 that differs from the last 253 addresses returned in this process. Two
// processes share addresses only if their ids differ by a multiple of 65,024.
func Host() string { return address(os.Getpid(), lastIndex.Add(1)) }

// address returns the n-th address of a process, in rotation.
func address(pid int, n uint32) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%secondOctets, pid&0xff, 1+n%hostsPerProcess)
}
