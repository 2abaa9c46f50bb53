package stream

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// endless is a peer that never ends its line, and counts what was taken from it.
type endless struct{ taken int }

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.taken += len(p)
	return len(p), nil
}

// TestReaderBounds: of a message without end no more is buffered than a message may hold, whether it is a line
// or a header.
func TestReaderBounds(t *testing.T) {
	for _, read := range []func(*Reader) error{
		func(r *Reader) error { _, err := r.Line(); return err },
		func(r *Reader) error { _, err := r.ReadMIMEHeader(); return err },
		func(r *Reader) error { _, err := r.Body(MaxMessage + 1); return err },
	} {
		peer := &endless{}
		require.ErrorIs(t, read(NewReader(peer)), ErrTooLarge)
		require.LessOrEqual(t, peer.taken, MaxMessage+readBuffer)
	}
}

// TestReaderGoesOn: the bound is that of one message, not of the connection.
func TestReaderGoesOn(t *testing.T) {
	line := strings.Repeat("x", MaxMessage-1) + "\n"
	r := NewReader(strings.NewReader(strings.Repeat(line, 5)))
	for range 5 {
		r.Begin()
		got, err := r.Line()
		require.NoError(t, err)
		require.Len(t, got, MaxMessage-1)
		require.Equal(t, MaxMessage, r.Size())
	}
	r.Begin()
	_, err := r.Line()
	require.ErrorIs(t, err, io.EOF)
}

// TestWriterOverflow: a peer that reads nothing never blocks who sends; its connection ends.
func TestWriterOverflow(t *testing.T) {
	near, far := net.Pipe()
	w := NewWriter(near)
	sent := 0
	for w.Send([]byte("message")) {
		sent++
		require.LessOrEqual(t, sent, 2*writeQueue+writeBuffer)
	}
	require.GreaterOrEqual(t, sent, writeQueue)
	_, err := io.ReadAll(far)
	require.NoError(t, err) // the end of the connection, not of the test's patience
	require.False(t, w.Send([]byte("late")))
}

// TestWriterFinish: what was queued before the end is written.
func TestWriterFinish(t *testing.T) {
	near, far := net.Pipe()
	w := NewWriter(near)
	w.Send([]byte("one "))
	w.Send([]byte("two"))
	w.Finish()
	got, err := io.ReadAll(far)
	require.True(t, err == nil || errors.Is(err, io.ErrClosedPipe))
	require.Equal(t, "one two", string(got))
}
