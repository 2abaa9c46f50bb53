package sipfront

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const byeAcknowledgement = "SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"

// TestReleaseOnTestedConnection guards against calls that are left standing while callers only test: the release must
// be written to a connection whose test has passed, in either order, after the answer to the test.
func TestReleaseOnTestedConnection(t *testing.T) {
	for _, releasedFirst := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f, _ := newReadyFront(t)
			if releasedFirst {
				f.ReleaseOrphan("a1", 16)
			}
			p := connectTo(t, f)
			require.Zero(t, p.count("BYE"))
			fmt.Fprintf(p, requestFormat, "OPTIONS", 1)
			synctest.Wait()
			if !releasedFirst {
				f.ReleaseOrphan("a1", 16)
			}
			require.Equal(t, 1, p.count("BYE"))
			require.Contains(t, p.startLines[0], "200")
			p.Close()
		})
	}
}

// TestReleaseWaitsForAcknowledgement guards against releases that are lost with a caller that only tests: they also go
// to the next connection that is used for calls, unless they were acknowledged.
func TestReleaseWaitsForAcknowledgement(t *testing.T) {
	for _, acknowledged := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f, _ := newReadyFront(t)
			tester := connectTo(t, f)
			fmt.Fprintf(tester, requestFormat, "OPTIONS", 1)
			synctest.Wait()
			f.ReleaseOrphan("a1", 16)
			require.Equal(t, 1, tester.count("BYE"))
			want := 1
			if acknowledged {
				fmt.Fprintf(tester, byeAcknowledgement, "a1")
				want = 0
			}
			time.Sleep(100 * time.Millisecond)
			caller := connectTo(t, f)
			fmt.Fprintf(caller, inviteFormat, "00000000000000b2", "page")
			require.Equal(t, want, caller.count("BYE"))
			require.Empty(t, f.unsent)
			tester.Close()
			caller.Close()
		})
	}
}
