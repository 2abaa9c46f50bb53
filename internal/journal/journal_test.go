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

var quiet = slog.New(slog.DiscardHandler)

// fill makes a journal of records 1 to n.
func fill(t *testing.T, fs vfs.FS, n uint64) (records []datastore.Record) {
	j, kept, err := Open(fs, "j", quiet)
	require.NoError(t, err)
	require.Empty(t, kept)
	for i := range n {
		r := datastore.Record{N: i + 1, Kind: datastore.KindCommit, User: "op", At: time.Unix(int64(i), 0).UTC(), Comment: "x"}
		require.NoError(t, j.Append(r))
		records = append(records, r)
	}
	require.NoError(t, j.Close())
	return records
}

// read reads a file.
func read(t *testing.T, fs vfs.FS, path string) []byte {
	f, err := fs.Open(path)
	require.NoError(t, err)
	defer f.Close()
	b, err := io.ReadAll(f)
	require.NoError(t, err)
	return b
}

// write puts a file in another's place.
func write(t *testing.T, fs vfs.FS, path string, b []byte) {
	f, err := fs.Create(path, vfs.WriteCategoryUnspecified)
	require.NoError(t, err)
	_, err = f.Write(b)
	require.NoError(t, err)
	require.NoError(t, f.Sync())
	require.NoError(t, f.Close())
}

// TestFlipped: one byte of what is on disk is wrong, each in turn. The journal is as it was or does not open; no record
// is missing or other than it was.
func TestFlipped(t *testing.T) {
	disk := vfs.NewMem()
	records := fill(t, disk, 12)
	names, err := disk.List("j/records")
	require.NoError(t, err)
	tried, refused := 0, 0
	for _, name := range append(names, "../last") {
		path := disk.PathJoin("j/records", name)
		if name == "../last" {
			path = "j/last"
		} else if !strings.HasSuffix(name, ".log") && !strings.HasSuffix(name, ".sst") {
			continue
		}
		whole := read(t, disk, path)
		for i := range whole {
			copied := vfs.NewMem()
			ok, err := vfs.Clone(disk, copied, "j", "j")
			require.NoError(t, err)
			require.True(t, ok)
			b := append([]byte(nil), whole...)
			b[i] ^= 0x40
			write(t, copied, path, b)
			tried++
			j, kept, err := Open(copied, "j", quiet)
			if err != nil {
				refused++
				continue
			}
			require.Equal(t, records, kept, "byte %d of %s", i, name)
			require.NoError(t, j.Close())
		}
	}
	t.Logf("%d bytes flipped, %d times refused", tried, refused)
	require.Greater(t, tried, 1000)
}

// TestDamaged: a record that the library takes for whole and that is not is named.
func TestDamaged(t *testing.T) {
	disk := vfs.NewMem()
	fill(t, disk, 3)
	for _, c := range []struct {
		words string
		at    uint64
		with  func([]byte) []byte
	}{{"record 2 is damaged: its checksum", 2, func(b []byte) []byte { b[len(b)-3]++; return b }},
		{"record 0000000000000002 is damaged", 2, func([]byte) []byte { return []byte("short") }},
		{"record 3 is damaged", 3, func([]byte) []byte { _, v, _ := encode(datastore.Record{N: 1}); return v }}} {
		copied := vfs.NewMem()
		_, err := vfs.Clone(disk, copied, "j", "j")
		require.NoError(t, err)
		j, _, err := Open(copied, "j", quiet)
		require.NoError(t, err)
		v, closer, err := j.db.Get(key(c.at))
		require.NoError(t, err)
		b := c.with(append([]byte(nil), v...))
		require.NoError(t, closer.Close())
		require.NoError(t, j.db.Set(key(c.at), b, pebble.Sync))
		require.NoError(t, j.Close())
		_, _, err = Open(copied, "j", quiet)
		require.ErrorContains(t, err, c.words)
	}
}

// TestTrim: a base takes the place of all before it, and what came later stays.
func TestTrim(t *testing.T) {
	disk := vfs.NewMem()
	records := fill(t, disk, 9)
	j, _, err := Open(disk, "j", quiet)
	require.NoError(t, err)
	base := datastore.Record{N: 5, Kind: datastore.KindBase, At: time.Unix(0, 0).UTC()}
	require.NoError(t, j.Trim(base))
	require.ErrorContains(t, j.Append(datastore.Record{N: 10, Comment: strings.Repeat("x", mostBytes)}), "are the most")
	require.NoError(t, j.Append(datastore.Record{N: 10, Kind: datastore.KindConfirm, At: base.At}), "that broke nothing")
	require.NoError(t, j.Close())
	_, kept, err := Open(disk, "j", quiet)
	require.NoError(t, err)
	require.Equal(t, append(append([]datastore.Record{base}, records[5:]...),
		datastore.Record{N: 10, Kind: datastore.KindConfirm, At: base.At}), kept)
}
