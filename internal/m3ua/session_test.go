package m3ua

import (
	"bufio"
	"bytes"
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux/internal/testhost"
)

// TestLeaveWritesAll guards against releases that are lost when the program exits: messages queued before the context
// ends must reach a far end that answers each of them. A far end that never closes delays the end by closeTimeout only.
func TestLeaveWritesAll(t *testing.T) {
	for name, farCloses := range map[string]bool{"far end ends it": true, "far end never does": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", net.JoinHostPort(testhost.Host(), "0"))
			require.NoError(t, err)
			defer l.Close()
			near, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			far, err := l.Accept()
			require.NoError(t, err)
			defer far.Close()
			a := newAssociation(near, 1, slog.New(slog.DiscardHandler))
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan time.Duration, 1)
			go func() {
				_ = a.serve(ctx, time.Minute, time.Minute)
				ended <- 0
			}()
			const messages = 300
			for range messages {
				require.True(t, a.sendMessage(Message{classTransfer, typeData,
					[]Param{uint32Param(paramRoutingContext, 1)}}))
			}
			start := time.Now()
			cancel()
			r := bufio.NewReader(far)
			for range messages {
				_, err := Read(r)
				require.NoError(t, err)
				_, err = far.Write(Message{classASPSM, typeBeatAck, nil}.Append(nil))
				require.NoError(t, err) // a reset here would discard what the far end has not read
			}
			if farCloses {
				far.Close()
			}
			<-ended
			if !farCloses {
				require.GreaterOrEqual(t, time.Since(start), closeTimeout)
			}
			require.Less(t, time.Since(start), closeTimeout+time.Second)
		})
	}
}

// TestInvalidMessagesWithOpenSetUp guards against set-ups without an answer: a server ends an association after too many
// invalid messages, but not while a set-up is open on it.
func TestInvalidMessagesWithOpenSetUp(t *testing.T) {
	for _, open := range []bool{true, false} {
		l, err := net.Listen("tcp", net.JoinHostPort(testhost.Host(), "0"))
		require.NoError(t, err)
		defer l.Close()
		far, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer far.Close()
		near, err := l.Accept()
		require.NoError(t, err)
		a := newAssociation(near, 1, slog.New(slog.DiscardHandler))
		a.hasOpen = func() bool { return open }
		ended := make(chan error, 1)
		go func() { ended <- a.serve(t.Context(), time.Minute, time.Minute) }()
		invalid := bytes.Repeat(Message{Class: 9}.Append(nil), 2*maxFaults)
		_, err = far.Write(Message{classASPSM, typeBeat, nil}.Append(invalid))
		require.NoError(t, err)
		r, last := bufio.NewReader(far), Message{}
		for err = nil; err == nil && last.Type != typeBeatAck; {
			last, err = Read(r)
		}
		if open {
			require.NoError(t, err, "the message after the invalid ones is answered")
			continue
		}
		require.ErrorIs(t, <-ended, errTooManyFaults)
	}
}
