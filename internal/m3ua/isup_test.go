package m3ua

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux/internal/core"
)

// TestFits guards against descriptions that pass the size check but make an IAM with the longest number too large for
// an M3UA message. The check must also accept 15000 bytes, and reject a description as large as a message, which is the
// limit of the SIP front.
func TestFits(t *testing.T) {
	for n := 0; n <= maxMessageSize; n += 13 {
		description := make([]byte, n)
		encoded := isupMessage{kind: kindIAM, number: string(make([]byte, maxDigits)), timeout: 1,
			description: description}.append(nil)
		if size := len(protocolData{payload: encoded}.toMessage(1).Append(nil)); descriptionFits(description) {
			require.LessOrEqual(t, size, maxMessageSize, "%d bytes", n)
		}
	}
	require.True(t, descriptionFits(make([]byte, 15000)))
	require.False(t, descriptionFits(make([]byte, maxMessageSize)))
}

// TestCallKeys: the call keys of a message are read as they were written, beside its other parameters, and a parameter
// of the same type with other content is ignored.
func TestCallKeys(t *testing.T) {
	keys := callKeys{client: "9B1f03aa5c7e0001", server: "c3b85a3054d1761c"}
	for _, m := range []isupMessage{
		{kind: kindIAM, number: "12", description: []byte("offer")},
		{kind: kindANM, description: []byte("answer")},
		{kind: kindREL, cause: core.NormalClearing},
		{kind: kindREL, cause: core.Congestion, level: 2, retryAfter: time.Second},
	} {
		for _, m.keys = range []callKeys{{}, {client: keys.client}, keys} {
			read, err := parseISUP(m.append(nil))
			require.NoError(t, err)
			require.Equal(t, m, read)
		}
	}
	for _, value := range []string{"", "\x00", "\x00" + keys.client[1:], "\x01" + keys.client, "\x00" + keys.client + "x"} {
		require.Empty(t, parseCallKeys([]byte(value)), "%q", value)
	}
}
