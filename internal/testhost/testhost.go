// Package testhost gives each test or trial a loopback address of its own. A port that one has closed may be given out
// again at once, and whoever still dials it would reach another's listener; at an address of its own nobody else does.
package testhost

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	hosts    = 254 // of a process, one after another
	networks = 254 // by process, each of 256 processes
)

var last atomic.Uint32

// Host returns an address in 127.0.0.0/8 that no other test of this process has had among its last 253, and no process
// uses whose id is not a multiple of 65,024 away.
func Host() string { return address(os.Getpid(), last.Add(1)) }

func address(pid int, n uint32) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%networks, pid&0xff, 1+n%hosts)
}
