package netconf

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/stretchr/testify/require"

	"brookmux/internal/datastore"
	"brookmux/internal/journal"
	"brookmux/internal/transact"
)

// largeConfig returns a configuration with the given numbers of exchanges and circuit groups, four leaves each.
func largeConfig(exchanges, groups int) string {
	var b strings.Builder
	b.WriteString(`<exchanges xmlns="urn:brookmux:exchanges">`)
	for i := range exchanges {
		fmt.Fprintf(&b, "<exchange><number>%d</number><address>10.0.%d.%d:5060</address><zone>east</zone><planned-load>7.5</planned-load></exchange>",
			i, i/250, i%250)
	}
	b.WriteString(`</exchanges><circuit-groups xmlns="urn:brookmux:circuits">`)
	for a := 0; a < exchanges && groups > 0; a++ {
		for c := a + 1; c < exchanges && groups > 0; c++ {
			fmt.Fprintf(&b, "<group><a>%d</a><b>%d</b><size>%d</size><reserve>2</reserve></group>", a, c, 10+c)
			groups--
		}
	}
	b.WriteString("</circuit-groups>")
	return b.String()
}

// TestLargeEdit checks that an edit of ten thousand leaves is validated, committed, read back and removed again.
func TestLargeEdit(t *testing.T) {
	ts := newTestServer(t)
	c := ts.dial("1.1")
	require.Equal(t, "<ok/>", c.rpc(editConfigXML("candidate", "", largeConfig(250, 2250))))
	require.Equal(t, "<ok/>", c.rpc("<commit/>"))
	got := c.rpc("<get-config><source><running/></source></get-config>")
	require.Equal(t, 2250, strings.Count(got, "<group>"))
	require.Equal(t, "<data>"+largeConfig(250, 2250)+"</data>", reorder(got))
	require.Equal(t, "<ok/>", c.rpc(editConfigXML("running", "<default-operation>replace</default-operation>", maxWaitXML("1"))))
	require.Equal(t, "<data>"+maxWaitXML("1")+"</data>", c.rpc("<get-config><source><running/></source></get-config>"))
}

// reorder puts the leaves and the top-level nodes of a reply in the order of largeConfig. The server sorts them by
// name.
func reorder(s string) string {
	groups, exchanges, _ := strings.Cut(strings.TrimSuffix(strings.TrimPrefix(s, "<data>"), "</data>"), "<exchanges")
	groups = moveAfter(groups, "<reserve>2</reserve>", "<size>")
	return "<data><exchanges" + moveAfter(exchanges, "<planned-load>7.5</planned-load>", "<zone>east</zone>") + groups + "</data>"
}

// moveAfter moves each occurrence of piece behind the element next, which follows it.
func moveAfter(s, piece, next string) string {
	parts := strings.Split(s, piece)
	for i := 1; i < len(parts); i++ {
		end := strings.Index(parts[i], "</"+next[1:strings.IndexByte(next, '>')]+">")
		end += len("</" + next[1:strings.IndexByte(next, '>')] + ">")
		parts[i] = parts[i][:end] + piece + parts[i][end:]
	}
	return strings.Join(parts, "")
}

// newBenchSession returns a session of a server that keeps its journal on disk.
func newBenchSession(b *testing.B) *session {
	ts := newTestServer(&testing.T{})
	j, _, err := journal.Open(vfs.Default, b.TempDir(), discardLog)
	require.NoError(b, err)
	b.Cleanup(func() { require.NoError(b, j.Close()) })
	ts.Owner, err = transact.New(transact.Config{Store: datastore.Config{Model: ts.Model, Keep: 50, MaxSessions: 4}, Journal: j, Now: time.Now, Log: discardLog})
	require.NoError(b, err)
	sess := &session{server: ts.Server, log: discardLog}
	require.NoError(b, ts.Owner.Do(func(s *datastore.Store) (err error) { sess.dsSession, err = s.OpenSession("op", "bench"); return err }))
	return sess
}

// mustSucceed executes an operation and fails the benchmark if the reply has an error.
func (sess *session) mustSucceed(b *testing.B, op string) {
	if got := string(sess.handleMessage([]byte(`<rpc xmlns="` + baseNS + `" message-id="7">` + op + `</rpc>`))); strings.Contains(got, "<rpc-error>") {
		b.Fatal(got)
	}
}

// BenchmarkEdit measures an edit of one and of a thousand leaves of the candidate, with a thousand leaves in running.
func BenchmarkEdit(b *testing.B) {
	for _, leaves := range []int{1, 1000} {
		b.Run(fmt.Sprint(leaves), func(b *testing.B) {
			sess := newBenchSession(b)
			sess.mustSucceed(b, editConfigXML("running", "", largeConfig(50, 200)))
			for i := 0; b.Loop(); i++ {
				if leaves == 1 {
					sess.mustSucceed(b, editConfigXML("candidate", "", maxWaitXML(fmt.Sprint(i%1000))))
				} else {
					sess.mustSucceed(b, editConfigXML("candidate", "", largeConfig(50, 200)))
				}
			}
		})
	}
}

// BenchmarkGet measures a get of the whole tree, with a thousand leaves in running.
func BenchmarkGet(b *testing.B) {
	sess := newBenchSession(b)
	sess.mustSucceed(b, editConfigXML("running", "", largeConfig(50, 200)))
	for b.Loop() {
		sess.mustSucceed(b, "<get/>")
	}
}

// BenchmarkCommit measures transactions with the journal on disk, with a thousand leaves in running.
func BenchmarkCommit(b *testing.B) {
	sess := newBenchSession(b)
	sess.mustSucceed(b, editConfigXML("running", "", largeConfig(50, 200)))
	for i := 0; b.Loop(); i++ {
		sess.mustSucceed(b, editConfigXML("running", "", maxWaitXML(fmt.Sprint(i%1000))))
	}
}
