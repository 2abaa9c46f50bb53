package m3ua

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux/internal/testhost"
)

// TestLeaveWritesAll guards against releases that are lost in the program's exit: what was said before an association ends
// with its context reaches a far end that answers each message, and one that never ends it keeps it for leaveWithin only.
func TestLeaveWritesAll(t *testing.T) {
	for name, ends := range map[string]bool{"far end ends it": true, "far end never does": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", net.JoinHostPort(testhost.Host(), "0"))
			require.NoError(t, err)
			defer l.Close()
			near, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			far, err := l.Accept()
			require.NoError(t, err)
			defer far.Close()
			s := newSession(near, 1, slog.New(slog.DiscardHandler))
			ctx, cancel := context.WithCancel(t.Context())
			over := make(chan time.Duration, 1)
			go func() {
				_ = s.run(ctx, time.Minute, time.Minute)
				over <- 0
			}()
			const messages = 300
			for range messages {
				require.True(t, s.say(Message{classTransfer, typeData, []Param{word(paramContext, 1)}}))
			}
			began := time.Now()
			cancel()
			r := bufio.NewReader(far)
			for range messages {
				_, err := Read(r)
				require.NoError(t, err)
				_, err = far.Write(Message{classASPSM, typeBeatAck, nil}.Append(nil))
				require.NoError(t, err) // or the far end takes the association for broken, with what it has not read
			}
			if ends {
				far.Close()
			}
			<-over
			if !ends {
				require.GreaterOrEqual(t, time.Since(began), leaveWithin)
			}
			require.Less(t, time.Since(began), leaveWithin+time.Second)
		})
	}
}
