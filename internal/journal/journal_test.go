package journal

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/stretchr/testify/require"

	"brookmux/internal/datastore"
)

var discardLog = slog.New(slog.DiscardHandler)

// fillJournal creates a journal with records 1 to n and returns them.
func fillJournal(t *testing.T, fs vfs.FS, n uint64) (records []datastore.Record) {
	j, kept, err := Open(fs, "j", discardLog)
	require.NoError(t, err)
	require.Empty(t, kept)
	for i := range n {
		r := datastore.Record{Revision: i + 1, Kind: datastore.KindCommit, User: "op", At: time.Unix(int64(i), 0).UTC(), Comment: "x"}
		require.NoError(t, j.Append(r))
		records = append(records, r)
	}
	require.NoError(t, j.Close())
	return records
}

func readFile(t *testing.T, fs vfs.FS, path string) []byte {
	f, err := fs.Open(path)
	require.NoError(t, err)
	defer f.Close()
	b, err := io.ReadAll(f)
	require.NoError(t, err)
	return b
}

// writeFile replaces the content of a file.
func writeFile(t *testing.T, fs vfs.FS, path string, b []byte) {
	f, err := fs.Create(path, vfs.WriteCategoryUnspecified)
	require.NoError(t, err)
	_, err = f.Write(b)
	require.NoError(t, err)
	require.NoError(t, f.Sync())
	require.NoError(t, f.Close())
}

// TestFlipped changes one bit of each byte on disk in turn. The journal must then either fail to open or return all
// records unchanged: no damage may go unnoticed.
func TestFlipped(t *testing.T) {
	disk := vfs.NewMem()
	records := fillJournal(t, disk, 12)
	names, err := disk.List("j/records")
	require.NoError(t, err)
	flipped, refused := 0, 0
	for _, name := range append(names, "../last") {
		path := disk.PathJoin("j/records", name)
		if name == "../last" {
			path = "j/last"
		} else if !strings.HasSuffix(name, ".log") && !strings.HasSuffix(name, ".sst") {
			continue
		}
		original := readFile(t, disk, path)
		for i := range original {
			clone := vfs.NewMem()
			ok, err := vfs.Clone(disk, clone, "j", "j")
			require.NoError(t, err)
			require.True(t, ok)
			b := append([]byte(nil), original...)
			b[i] ^= 0x40
			writeFile(t, clone, path, b)
			flipped++
			j, kept, err := Open(clone, "j", discardLog)
			if err != nil {
				refused++
				continue
			}
			require.Equal(t, records, kept, "byte %d of %s", i, name)
			require.NoError(t, j.Close())
		}
	}
	t.Logf("%d bytes changed, %d journals did not open", flipped, refused)
	require.Greater(t, flipped, 1000)
}

// TestDamaged checks that the error names a damaged record that the library itself reads without an error.
func TestDamaged(t *testing.T) {
	disk := vfs.NewMem()
	fillJournal(t, disk, 3)
	for _, c := range []struct {
		words string
		at    uint64
		with  func([]byte) []byte
	}{{"record 2 is damaged: its checksum", 2, func(b []byte) []byte { b[len(b)-3]++; return b }},
		{"record 0000000000000002 is damaged", 2, func([]byte) []byte { return []byte("short") }},
		{"record 3 is damaged", 3, func([]byte) []byte { _, v, _ := encode(datastore.Record{Revision: 1}); return v }}} {
		clone := vfs.NewMem()
		_, err := vfs.Clone(disk, clone, "j", "j")
		require.NoError(t, err)
		j, _, err := Open(clone, "j", discardLog)
		require.NoError(t, err)
		v, closer, err := j.db.Get(recordKey(c.at))
		require.NoError(t, err)
		b := c.with(append([]byte(nil), v...))
		require.NoError(t, closer.Close())
		require.NoError(t, j.db.Set(recordKey(c.at), b, pebble.Sync))
		require.NoError(t, j.Close())
		_, _, err = Open(clone, "j", discardLog)
		require.ErrorContains(t, err, c.words)
	}
}

// TestTrim checks that a base replaces all records up to its number and that later records stay.
func TestTrim(t *testing.T) {
	disk := vfs.NewMem()
	records := fillJournal(t, disk, 9)
	j, _, err := Open(disk, "j", discardLog)
	require.NoError(t, err)
	base := datastore.Record{Revision: 5, Kind: datastore.KindBase, At: time.Unix(0, 0).UTC()}
	require.NoError(t, j.Trim(base))
	require.ErrorContains(t, j.Append(datastore.Record{Revision: 10, Comment: strings.Repeat("x", maxRecordBytes)}), "are the most")
	require.NoError(t, j.Append(datastore.Record{Revision: 10, Kind: datastore.KindConfirm, At: base.At}), "a record that is too large does not break the journal")
	require.NoError(t, j.Close())
	_, kept, err := Open(disk, "j", discardLog)
	require.NoError(t, err)
	require.Equal(t, append(append([]datastore.Record{base}, records[5:]...),
		datastore.Record{Revision: 10, Kind: datastore.KindConfirm, At: base.At}), kept)
}
