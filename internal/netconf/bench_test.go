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

// large is a configuration of so many exchanges and groups: four leaves each.
func large(exchanges, groups int) string {
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

// TestLargeEdit: ten thousand leaves in one edit are validated, committed, read back and taken away again.
func TestLargeEdit(t *testing.T) {
	l := newLab(t)
	c := l.dial("1.1")
	require.Equal(t, "<ok/>", c.ask(edit("candidate", "", large(250, 2250))))
	require.Equal(t, "<ok/>", c.ask("<commit/>"))
	got := c.ask("<get-config><source><running/></source></get-config>")
	require.Equal(t, 2250, strings.Count(got, "<group>"))
	require.Equal(t, "<data>"+large(250, 2250)+"</data>", reorder(got))
	require.Equal(t, "<ok/>", c.ask(edit("running", "<default-operation>replace</default-operation>", wait("1"))))
	require.Equal(t, "<data>"+wait("1")+"</data>", c.ask("<get-config><source><running/></source></get-config>"))
}

// reorder puts leaves and top nodes in the order in which large writes them: by name is the server's.
func reorder(s string) string {
	groups, exchanges, _ := strings.Cut(strings.TrimSuffix(strings.TrimPrefix(s, "<data>"), "</data>"), "<exchanges")
	groups = swap(groups, "<reserve>2</reserve>", "<size>")
	return "<data><exchanges" + swap(exchanges, "<planned-load>7.5</planned-load>", "<zone>east</zone>") + groups + "</data>"
}

// swap moves each piece behind the element that follows it.
func swap(s, piece, next string) string {
	parts := strings.Split(s, piece)
	for i := 1; i < len(parts); i++ {
		end := strings.Index(parts[i], "</"+next[1:strings.IndexByte(next, '>')]+">")
		end += len("</" + next[1:strings.IndexByte(next, '>')] + ">")
		parts[i] = parts[i][:end] + piece + parts[i][end:]
	}
	return strings.Join(parts, "")
}

// benchLab is a lab whose journal is on disk.
func benchLab(b *testing.B) *session {
	l := newLab(&testing.T{})
	j, _, err := journal.Open(vfs.Default, b.TempDir(), quiet)
	require.NoError(b, err)
	b.Cleanup(func() { require.NoError(b, j.Close()) })
	l.Owner, err = transact.New(transact.Config{Store: datastore.Config{Model: l.Model, Keep: 50, Sessions: 4}, Journal: j, Now: time.Now, Log: quiet})
	require.NoError(b, err)
	x := &session{server: l.Server, log: quiet}
	require.NoError(b, l.Owner.Do(func(s *datastore.Store) (err error) { x.who, err = s.Open("op", "bench"); return err }))
	return x
}

// ok asks for an operation that has to be carried out.
func (x *session) ok(b *testing.B, op string) {
	if got := string(x.answer([]byte(`<rpc xmlns="` + base + `" message-id="7">` + op + `</rpc>`))); strings.Contains(got, "<rpc-error>") {
		b.Fatal(got)
	}
}

// BenchmarkEdit measures an edit of the candidate, beside a running configuration of so many leaves.
func BenchmarkEdit(b *testing.B) {
	for _, leaves := range []int{1, 1000} {
		b.Run(fmt.Sprint(leaves), func(b *testing.B) {
			x := benchLab(b)
			x.ok(b, edit("running", "", large(50, 200)))
			for i := 0; b.Loop(); i++ {
				if leaves == 1 {
					x.ok(b, edit("candidate", "", wait(fmt.Sprint(i%1000))))
				} else {
					x.ok(b, edit("candidate", "", large(50, 200)))
				}
			}
		})
	}
}

// BenchmarkGet measures a read of the whole tree of a thousand leaves.
func BenchmarkGet(b *testing.B) {
	x := benchLab(b)
	x.ok(b, edit("running", "", large(50, 200)))
	for b.Loop() {
		x.ok(b, "<get/>")
	}
}

// BenchmarkCommit measures transactions with the journal on disk, beside a thousand leaves.
func BenchmarkCommit(b *testing.B) {
	x := benchLab(b)
	x.ok(b, edit("running", "", large(50, 200)))
	for i := 0; b.Loop(); i++ {
		x.ok(b, edit("running", "", wait(fmt.Sprint(i%1000))))
	}
}
