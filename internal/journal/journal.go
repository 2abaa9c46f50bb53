// Package journal keeps the records of the configuration's transactions on disk: one is there as a whole or not at
// all, whatever ends the process and whenever. It knows the order and the checksums of records, and nothing of what
// is in them.
package journal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"

	"github.com/cockroachdb/errors/oserror"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"lukechampine.com/blake3"

	"brookmux/internal/datastore"
)

// Sizes: a journal holds some hundred records, of which few are read after the start.
const (
	memTable  = 1 << 20
	cacheSize = 1 << 20
	openFiles = 16
	sumSize   = 16
	mostBytes = 16 << 20 // of one record
)

// ErrBroken tells that a record could not be written, as on a full disk, and that nothing more will be until the
// journal is opened again. Whether the record that failed is found then is not known.
var ErrBroken = errors.New("journal: broken")

// Names in the folder.
const (
	recordsDir = "records" // of the storage library
	recordsNew = "records.new"
	lastFile   = "last" // the number of the last record, by itself; see Journal.witness
	lastNext   = "last.new"
)

// errClosed tells that the journal was closed.
var errClosed = errors.New("journal: closed")

// Journal is open on a folder. Its methods may be called by one goroutine at a time.
type Journal struct {
	db     *pebble.DB
	cache  *pebble.Cache
	fs     vfs.FS
	dir    string
	broken error
}

// fatal is what the storage library can't go on after.
type fatal struct{ text string }

// logger hands the library's words on. Its Fatalf must not return, and must not end the process: the panic is
// caught where the library was called.
type logger struct {
	log  *slog.Logger
	once *sync.Once
}

// Infof and the methods below implement pebble.Logger.
func (logger) Infof(string, ...any) {}

func (l logger) Errorf(format string, args ...any) {
	l.log.Warn("journal", "line", fmt.Sprintf(format, args...))
}

func (l logger) Fatalf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.once.Do(func() { l.log.Error("journal", "line", text) })
	panic(fatal{text})
}

// Open opens the journal in a folder and returns it with the records that it holds, in their order. A record that
// was damaged is an error that names it: what came after it would be wrong without it.
func Open(fs vfs.FS, dir string, log *slog.Logger) (j *Journal, records []datastore.Record, err error) {
	defer caught(&err)
	if err := errors.Join(fs.MkdirAll(dir, 0o700), syncDir(fs, fs.PathDir(dir))); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	path, made := fs.PathJoin(dir, recordsDir), fs.PathJoin(dir, recordsNew)
	if _, err := fs.Stat(path); oserror.IsNotExist(err) {
		// The library's own first files are not safe from a power cut: they get their name once they are whole.
		if err := fs.RemoveAll(made); err != nil {
			return nil, nil, fmt.Errorf("journal: %w", err)
		}
		db, cache, err := openRecords(fs, made, log)
		if err != nil {
			return nil, nil, err
		}
		err = db.Close()
		cache.Unref()
		if err := errors.Join(err, fs.Rename(made, path), syncDir(fs, dir)); err != nil {
			return nil, nil, fmt.Errorf("journal: %w", err)
		}
	}
	db, cache, err := openRecords(fs, path, log)
	if err != nil {
		return nil, nil, err
	}
	j = &Journal{db: db, cache: cache, fs: fs, dir: dir}
	if records, err = j.read(); err == nil {
		err = j.whole(records)
	}
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("journal: %s: %w", dir, err), j.Close())
	}
	return j, records, nil
}

// openRecords opens the storage library.
func openRecords(fs vfs.FS, path string, log *slog.Logger) (*pebble.DB, *pebble.Cache, error) {
	cache := pebble.NewCache(cacheSize)
	db, err := pebble.Open(path, &pebble.Options{FS: fs, Cache: cache, MemTableSize: memTable, MaxOpenFiles: openFiles,
		Logger: logger{log, &sync.Once{}}, FormatMajorVersion: pebble.FormatNewest})
	if err != nil {
		cache.Unref()
		return nil, nil, fmt.Errorf("journal: %s: %w", path, err)
	}
	return db, cache, nil
}

// caught turns what the library can't go on after into an error.
func caught(err *error) {
	switch p := recover().(type) {
	case nil:
	case fatal:
		*err = fmt.Errorf("%w: %s", ErrBroken, p.text)
	default:
		panic(p)
	}
}

// read reads all records.
func (j *Journal) read() (records []datastore.Record, err error) {
	it, err := j.db.NewIter(nil)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, it.Close()) }()
	for ok := it.First(); ok; ok = it.Next() {
		value, err := it.ValueAndErr()
		if err != nil {
			return nil, err
		}
		key := it.Key()
		if len(key) != 8 || len(value) < sumSize {
			return nil, fmt.Errorf("record %x is damaged", key)
		}
		n := binary.BigEndian.Uint64(key)
		if s := sum(key, value[sumSize:]); !bytes.Equal(s[:], value[:sumSize]) {
			return nil, fmt.Errorf("record %d is damaged: its checksum is wrong", n)
		}
		var r datastore.Record
		if err := json.Unmarshal(value[sumSize:], &r); err != nil {
			return nil, fmt.Errorf("record %d: %w", n, err)
		}
		if r.N != n {
			return nil, fmt.Errorf("record %d is damaged: it says that it is %d", n, r.N)
		}
		records = append(records, r)
	}
	return records, nil
}

// witness keeps the number of the last record in a file of its own, once that record is on disk. The library takes
// damage in its last log for the place where a power cut ended it, and what follows for never written; without a
// second place, acknowledged records could be gone and nobody would know.
func (j *Journal) witness(n uint64) error {
	k := key(n)
	s := sum([]byte(lastFile), k)
	next := j.fs.PathJoin(j.dir, lastNext)
	f, err := j.fs.Create(next, vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	_, err = f.Write(append(s[:], k...))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := j.fs.Rename(next, j.fs.PathJoin(j.dir, lastFile)); err != nil {
		return err
	}
	return syncDir(j.fs, j.dir)
}

// syncDir makes the names in a folder durable.
func syncDir(fs vfs.FS, dir string) error {
	d, err := fs.OpenDir(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// whole tells whether the records reach as far as the last that was acknowledged.
func (j *Journal) whole(records []datastore.Record) error {
	f, err := j.fs.Open(j.fs.PathJoin(j.dir, lastFile))
	if oserror.IsNotExist(err) {
		if len(records) > 1 { // the first may have been cut off before the file was made
			return fmt.Errorf("%s is missing", lastFile)
		}
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close() // it was only read
	b, err := io.ReadAll(io.LimitReader(f, sumSize+9))
	if err != nil {
		return err
	}
	if len(b) != sumSize+8 {
		return fmt.Errorf("%s is damaged: it has %d bytes", lastFile, len(b))
	}
	if s := sum([]byte(lastFile), b[sumSize:]); !bytes.Equal(s[:], b[:sumSize]) {
		return fmt.Errorf("%s is damaged: its checksum is wrong", lastFile)
	}
	last := uint64(0)
	if len(records) > 0 {
		last = records[len(records)-1].N
	}
	if n := binary.BigEndian.Uint64(b[sumSize:]); n > last {
		return fmt.Errorf("record %d was acknowledged, and the last that can be read is %d: the log is damaged", n, last)
	}
	return nil
}

// sum is a record's checksum. The key is part of it: a record can't take another's place.
func sum(key, payload []byte) (out [sumSize]byte) {
	h := blake3.New(sumSize, nil)
	_, _ = h.Write(key) // never fails, see hash.Hash
	_, _ = h.Write(payload)
	copy(out[:], h.Sum(nil))
	return out
}

func key(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// encode writes a record.
func encode(r datastore.Record) (k, value []byte, err error) {
	payload, err := json.Marshal(r)
	if err != nil {
		return nil, nil, fmt.Errorf("journal: record %d: %w", r.N, err)
	}
	if len(payload) > mostBytes {
		return nil, nil, fmt.Errorf("journal: record %d has %d bytes, %d are the most", r.N, len(payload), mostBytes)
	}
	k = key(r.N)
	s := sum(k, payload)
	return k, append(s[:], payload...), nil
}

// Append keeps a record. When it returns nil, the record is on disk.
func (j *Journal) Append(r datastore.Record) error {
	return j.write(r, nil)
}

// Trim puts a base in the place of all records up to its number, in one step.
func (j *Journal) Trim(base datastore.Record) error {
	return j.write(base, func(b *pebble.Batch) error { return b.DeleteRange(key(0), key(base.N), nil) })
}

// write writes a record, and what goes with it before that.
func (j *Journal) write(r datastore.Record, before func(*pebble.Batch) error) (err error) {
	if j.broken != nil {
		return j.broken
	}
	k, value, err := encode(r)
	if err != nil {
		return err // nothing was written
	}
	defer func() {
		if err != nil {
			if !errors.Is(err, ErrBroken) {
				err = fmt.Errorf("%w: record %d: %w", ErrBroken, r.N, err)
			}
			j.broken = err
		}
	}()
	defer caught(&err)
	b := j.db.NewBatch()
	if before != nil {
		if err := before(b); err != nil {
			return err
		}
	}
	if err := b.Set(k, value, nil); err != nil {
		return err
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return err
	}
	if r.Kind == datastore.KindBase {
		return nil // what came after it stays the last
	}
	return j.witness(r.N)
}

// Close ends the journal. One that is broken is left as it is: the library would wait for what can't be written.
func (j *Journal) Close() (err error) {
	defer caught(&err)
	defer j.cache.Unref()
	if j.broken != nil {
		return nil
	}
	j.broken = errClosed
	if err := j.db.Close(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}
