// Package journal stores the records of configuration transactions on disk. A record is stored as a whole or not at
// all, however and whenever the process ends. The package handles the order and the checksums of records; apart from
// their number and kind, it does not interpret them.
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

// Sizes, in bytes except for maxOpenFiles. They are small because a journal holds a few hundred records, of which few
// are read after the start.
const (
	memTableSize   = 1 << 20
	cacheSize      = 1 << 20
	maxOpenFiles   = 16
	checksumSize   = 16
	maxRecordBytes = 16 << 20 // of one encoded record
)

// ErrBroken is returned when a record could not be written, for example on a full disk, and for every later write until
// the journal is reopened. The record that failed may or may not be found then.
var ErrBroken = errors.New("journal: broken")

// Names in the journal's folder.
const (
	recordsDir     = "records" // the database of the storage library (pebble)
	recordsTempDir = "records.new"
	lastFile       = "last" // the number of the last record; see Journal.writeLast
	lastTempFile   = "last.new"
)

// errClosed is returned for writes after Close.
var errClosed = errors.New("journal: closed")

// Journal is an open journal in a folder. It is not safe for concurrent use.
type Journal struct {
	db     *pebble.DB
	cache  *pebble.Cache
	fs     vfs.FS
	dir    string
	broken error
}

// fatalError is the panic value for a failure after which the storage library can't continue.
type fatalError struct{ text string }

// logger passes the storage library's messages to log; once limits fatal messages to the first. Fatalf must not return
// and must not end the process, so it panics; recoverFatal recovers the panic where the library was called.
type logger struct {
	log  *slog.Logger
	once *sync.Once
}

// Infof, Errorf and Fatalf implement pebble.Logger. Info messages are dropped.
func (logger) Infof(string, ...any) {}

func (l logger) Errorf(format string, args ...any) {
	l.log.Warn("journal", "line", fmt.Sprintf(format, args...))
}

func (l logger) Fatalf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.once.Do(func() { l.log.Error("journal", "line", text) })
	panic(fatalError{text})
}

// Open opens the journal in a folder, which it creates if needed, and returns it with its records in order. A damaged
// record is an error that names the record, as the records after it can't be applied without it.
func Open(fs vfs.FS, dir string, log *slog.Logger) (j *Journal, records []datastore.Record, err error) {
	defer recoverFatal(&err)
	if err := errors.Join(fs.MkdirAll(dir, 0o700), syncDir(fs, fs.PathDir(dir))); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	path, tempPath := fs.PathJoin(dir, recordsDir), fs.PathJoin(dir, recordsTempDir)
	if _, err := fs.Stat(path); oserror.IsNotExist(err) {
		// The first files that the library creates are not safe from a power cut, so the database is created under a
		// temporary name and renamed once it is complete.
		if err := fs.RemoveAll(tempPath); err != nil {
			return nil, nil, fmt.Errorf("journal: %w", err)
		}
		db, cache, err := openRecords(fs, tempPath, log)
		if err != nil {
			return nil, nil, err
		}
		err = db.Close()
		cache.Unref()
		if err := errors.Join(err, fs.Rename(tempPath, path), syncDir(fs, dir)); err != nil {
			return nil, nil, fmt.Errorf("journal: %w", err)
		}
	}
	db, cache, err := openRecords(fs, path, log)
	if err != nil {
		return nil, nil, err
	}
	j = &Journal{db: db, cache: cache, fs: fs, dir: dir}
	if records, err = j.readRecords(); err == nil {
		err = j.checkLast(records)
	}
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("journal: %s: %w", dir, err), j.Close())
	}
	return j, records, nil
}

// openRecords opens the database of records. The caller must close it and then release the cache.
func openRecords(fs vfs.FS, path string, log *slog.Logger) (*pebble.DB, *pebble.Cache, error) {
	cache := pebble.NewCache(cacheSize)
	db, err := pebble.Open(path, &pebble.Options{FS: fs, Cache: cache, MemTableSize: memTableSize, MaxOpenFiles: maxOpenFiles,
		Logger: logger{log, &sync.Once{}}, FormatMajorVersion: pebble.FormatNewest})
	if err != nil {
		cache.Unref()
		return nil, nil, fmt.Errorf("journal: %s: %w", path, err)
	}
	return db, cache, nil
}

// recoverFatal recovers a panic of logger.Fatalf and stores it in err as an ErrBroken. It must be deferred directly.
// Other panics continue.
func recoverFatal(err *error) {
	switch p := recover().(type) {
	case nil:
	case fatalError:
		*err = fmt.Errorf("%w: %s", ErrBroken, p.text)
	default:
		panic(p)
	}
}

// readRecords reads all records in order and verifies their checksums and numbers.
func (j *Journal) readRecords() (records []datastore.Record, err error) {
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
		if len(key) != 8 || len(value) < checksumSize {
			return nil, fmt.Errorf("record %x is damaged", key)
		}
		n := binary.BigEndian.Uint64(key)
		if s := checksum(key, value[checksumSize:]); !bytes.Equal(s[:], value[:checksumSize]) {
			return nil, fmt.Errorf("record %d is damaged: its checksum is wrong", n)
		}
		var r datastore.Record
		if err := json.Unmarshal(value[checksumSize:], &r); err != nil {
			return nil, fmt.Errorf("record %d: %w", n, err)
		}
		if r.Revision != n {
			return nil, fmt.Errorf("record %d is damaged: it contains the number %d", n, r.Revision)
		}
		records = append(records, r)
	}
	return records, nil
}

// writeLast writes the number of the last record to a separate file, after that record is on disk. The library treats
// damage in its last log as the point where a power cut ended the log, and drops what follows as never written. Without
// the separate file, acknowledged records could be lost unnoticed.
func (j *Journal) writeLast(n uint64) error {
	k := recordKey(n)
	s := checksum([]byte(lastFile), k)
	next := j.fs.PathJoin(j.dir, lastTempFile)
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

// syncDir makes the creation and renaming of files in a folder durable.
func syncDir(fs vfs.FS, dir string) error {
	d, err := fs.OpenDir(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// checkLast returns an error if the records end before the last acknowledged one, whose number writeLast has stored.
func (j *Journal) checkLast(records []datastore.Record) error {
	f, err := j.fs.Open(j.fs.PathJoin(j.dir, lastFile))
	if oserror.IsNotExist(err) {
		if len(records) > 1 { // with one record, the process may have ended before the file was created
			return fmt.Errorf("%s is missing", lastFile)
		}
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close() // read only, so the error does not matter
	b, err := io.ReadAll(io.LimitReader(f, checksumSize+9))
	if err != nil {
		return err
	}
	if len(b) != checksumSize+8 {
		return fmt.Errorf("%s is damaged: it has %d bytes", lastFile, len(b))
	}
	if s := checksum([]byte(lastFile), b[checksumSize:]); !bytes.Equal(s[:], b[:checksumSize]) {
		return fmt.Errorf("%s is damaged: its checksum is wrong", lastFile)
	}
	last := uint64(0)
	if len(records) > 0 {
		last = records[len(records)-1].Revision
	}
	if n := binary.BigEndian.Uint64(b[checksumSize:]); n > last {
		return fmt.Errorf("record %d was acknowledged, and the last that can be read is %d: the log is damaged", n, last)
	}
	return nil
}

// checksum returns the checksum of a record. It covers the key, so a record stored under another's key is detected.
func checksum(key, payload []byte) (out [checksumSize]byte) {
	h := blake3.New(checksumSize, nil)
	_, _ = h.Write(key) // never fails, see hash.Hash
	_, _ = h.Write(payload)
	copy(out[:], h.Sum(nil))
	return out
}

// recordKey returns the key of record n. Keys sort in the order of the numbers.
func recordKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// encode returns the key of a record and its value, the checksum followed by the JSON encoding.
func encode(r datastore.Record) (k, value []byte, err error) {
	payload, err := json.Marshal(r)
	if err != nil {
		return nil, nil, fmt.Errorf("journal: record %d: %w", r.Revision, err)
	}
	if len(payload) > maxRecordBytes {
		return nil, nil, fmt.Errorf("journal: record %d has %d bytes, %d are the most", r.Revision, len(payload), maxRecordBytes)
	}
	k = recordKey(r.Revision)
	s := checksum(k, payload)
	return k, append(s[:], payload...), nil
}

// Append stores a record. When it returns nil, the record is on disk.
func (j *Journal) Append(r datastore.Record) error {
	return j.writeRecord(r, nil)
}

// Trim replaces all records up to and including the base's number with the base, atomically.
func (j *Journal) Trim(base datastore.Record) error {
	return j.writeRecord(base, func(b *pebble.Batch) error { return b.DeleteRange(recordKey(0), recordKey(base.Revision), nil) })
}

// writeRecord writes a record in one batch with the operations that prepare adds first, if it is not nil.
func (j *Journal) writeRecord(r datastore.Record, prepare func(*pebble.Batch) error) (err error) {
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
				err = fmt.Errorf("%w: record %d: %w", ErrBroken, r.Revision, err)
			}
			j.broken = err
		}
	}()
	defer recoverFatal(&err)
	b := j.db.NewBatch()
	if prepare != nil {
		if err := prepare(b); err != nil {
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
		return nil // a base replaces older records; the last record is still the same
	}
	return j.writeLast(r.Revision)
}

// Close closes the journal. It leaves the database of a broken journal open, as the library would wait for writes that
// can't succeed.
func (j *Journal) Close() (err error) {
	defer recoverFatal(&err)
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
