package playback

import (
	"context"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// log holds the program's output and wakes waiters when it grows.
type log struct {
	mu      sync.Mutex
	text    strings.Builder
	updated *sync.Cond
}

func newLog() *log {
	l := &log{}
	l.updated = sync.NewCond(&l.mu)
	return l
}

// Write implements io.Writer.
func (l *log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updated.Broadcast()
	return l.text.Write(b)
}

// String returns the whole output.
func (l *log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// await waits until the log contains text at least count times and reports whether it does within stepTimeout.
func (l *log) await(text string, count int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.updated.Broadcast()
	})()
	l.mu.Lock()
	defer l.mu.Unlock()
	for strings.Count(l.text.String(), text) < count {
		if ctx.Err() != nil {
			return false
		}
		l.updated.Wait()
	}
	return true
}

// address waits for the log line with a listener's address and returns the address from the last such line.
func (l *log) address(t *testing.T, front string) string {
	require.True(t, l.await(`msg="`+front+`"`, 1), "%s", l)
	all := regexp.MustCompile(`msg="`+front+`".* address=(\S+)`).FindAllStringSubmatch(l.String(), -1)
	return all[len(all)-1][1]
}
