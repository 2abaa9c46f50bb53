package m3ua

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFits: a description that is said to fit does, with everything beside it, and the largest that a caller
// of the other front can send is told apart.
func TestFits(t *testing.T) {
	for n := 0; n <= maxMessage; n += 13 {
		d := make([]byte, n)
		u := isup{kind: kindIAM, number: string(make([]byte, mostDigits)), left: 1, description: d}.append(nil)
		if size := len(transfer{user: u}.message(1).Append(nil)); fits(d) {
			require.LessOrEqual(t, size, maxMessage, "%d bytes", n)
		}
	}
	require.True(t, fits(make([]byte, 15000)))
	require.False(t, fits(make([]byte, maxMessage)))
}
