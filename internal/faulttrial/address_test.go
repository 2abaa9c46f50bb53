package faulttrial

import (
	"context"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux/internal/testhost"
)

// TestFreedAddressCanBeTaken guards against trials that do not run because a core can't listen at a freed address: a
// process that is being started holds copies of all sockets for a moment.
func TestFreedAddressCanBeTaken(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(t.Context())
	var starts sync.WaitGroup
	defer starts.Wait()
	defer stop()
	for range 4 {
		starts.Go(func() {
			for ctx.Err() == nil {
				_ = exec.Command("true").Run() // only its start matters
			}
		})
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		start := func(addresses map[string]string) *CoreProcess {
			core, err := StartCore("s-1", testhost.Host(), 1, 10, []string{"n0"}, addresses, CoreBehaviour{}, 1, NewRecorder())
			require.NoError(t, err)
			return core
		}
		vanished := start(nil)
		vanished.FreeAddresses()
		start(vanished.Addresses()).Crash()
	}
}
