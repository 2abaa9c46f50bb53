package playback

import (
	"context"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// log keeps what the program writes and tells when there is more.
type log struct {
	mu   sync.Mutex
	text strings.Builder
	more *sync.Cond
}

func newLog() *log {
	l := &log{}
	l.more = sync.NewCond(&l.mu)
	return l
}

// Write implements io.Writer.
func (l *log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.more.Broadcast()
	return l.text.Write(b)
}

// String returns all of it.
func (l *log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// await waits until the log holds a text so many times.
func (l *log) await(text string, times int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.more.Broadcast()
	})()
	l.mu.Lock()
	defer l.mu.Unlock()
	for strings.Count(l.text.String(), text) < times {
		if ctx.Err() != nil {
			return false
		}
		l.more.Wait()
	}
	return true
}

// address waits for the line that tells where a front listens, and takes the last one.
func (l *log) address(t *testing.T, front string) string {
	require.True(t, l.await(`msg="`+front+`"`, 1), "%s", l)
	all := regexp.MustCompile(`msg="`+front+`".* address=(\S+)`).FindAllStringSubmatch(l.String(), -1)
	return all[len(all)-1][1]
}
