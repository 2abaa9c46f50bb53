package corelink

import (
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux"
	"brookmux/internal/core"
)

// losses counts the set-ups that were reported lost.
type losses struct {
	core.Events
	mu   sync.Mutex
	keys []string
	cuts int // of calls that stand
}

func (l *losses) Lost(_ brookmux.SwitchID, keys []string, loss core.Loss) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if loss.Cut {
		l.cuts++
	}
	l.keys = append(l.keys, keys...)
}

// TestTurnover: cores that take each other's address, each under an id of its own, leave no connection and no
// goroutine behind, and every set-up sent to one of them gets its outcome.
func TestTurnover(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { // a core that hears, and says nothing
				_, _ = io.Copy(io.Discard, c)
				c.Close()
			}()
		}
	}()
	events := &losses{}
	p := New(t.Context(), Config{Connections: 3, Origin: time.Now(), Log: slog.New(slog.DiscardHandler)})
	p.Serve(events)
	const cores = 500
	for i := range brookmux.SwitchID(cores) {
		p.Update([]Core{{ID: i + 1, Addr: l.Addr().String()}})
		p.SetUp(i+1, core.Attempt{Key: "0000000000000001", Left: time.Second})
	}
	p.Update(nil)
	p.keepers.Wait()
	p.readers.Wait()
	require.Empty(t, p.endpoints)
	require.Len(t, events.keys, cores)
}

// TestStartForgotten: a list that has lost the time of a core's start, as when it drains, tells of no start: calls there
// go on.
func TestStartForgotten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	events := &losses{}
	p := New(t.Context(), Config{Connections: 1, Origin: time.Now(), Log: slog.New(slog.DiscardHandler)})
	p.Serve(events)
	p.Update([]Core{{ID: 1, Addr: l.Addr().String(), Since: time.Second}})
	p.Update([]Core{{ID: 1, Addr: l.Addr().String(), Draining: true}})
	events.mu.Lock()
	defer events.mu.Unlock()
	require.Zero(t, events.cuts)
	require.True(t, p.endpoints[1].Draining)
}

// TestReleaseDropped: a release that waits for a connection is not sent after another set-up of its call.
func TestReleaseDropped(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	p := New(t.Context(), Config{Connections: 1, Origin: time.Now(), Log: slog.New(slog.DiscardHandler)})
	p.Serve(&losses{})
	p.Update([]Core{{ID: 1, Addr: address}})
	p.Release(1, "000000000000000a", 16)
	p.Release(1, "000000000000000b", 16)
	p.SetUp(1, core.Attempt{Key: "000000000000000a", Left: time.Second})
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Len(t, p.endpoints[1].releases, 1)
	require.Equal(t, "000000000000000b", p.endpoints[1].releases[0].call)
}
