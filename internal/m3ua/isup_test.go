package m3ua

import (
	"testing"

	"github.com/stretchr/testify/require"
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
