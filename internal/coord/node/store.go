package node

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// diskStore is the log and the votes in one file, each entry and value with a checksum, as a bit that flips on a disk would
// otherwise be agreed on.
type diskStore struct {
	*raftboltdb.BoltStore
	fatal func(error) // the vote can't be kept: the process must end

	mu           sync.Mutex
	syncLatency  *hdrhistogram.Histogram // of writes with their sync, in microseconds
	unsyncedLogs []*raft.Log             // with the mutant unsynced only
}

// errDamaged tells that what stands on the disk isn't what was written.
var errDamaged = errors.New("the log is damaged; this coordinator must come back with an empty directory, as a new member")

// openStore opens the log in dir and reads it through. Up to the entry floor, which a snapshot holds, entries may be missing.
func openStore(dir string, floor uint64, fatal func(error)) (d *diskStore, err error) {
	path := filepath.Join(dir, "log.db")
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a file that was cut off under its map
	defer func() {
		if p := recover(); p != nil {
			d, err = nil, fmt.Errorf("%s: %w (%v)", path, errDamaged, p)
		}
	}()
	if _, err := os.Stat(path); err == nil {
		if err := inspectFile(path); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	_, missing := os.Stat(path)
	// The list of free pages is worked out anew at each start: a spoilt one would have pages in use written over.
	store, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: 5 * time.Second,
		NoFreelistSync: true}, MsgpackUseNewTimeFormat: true})
	if err != nil {
		if missing == nil && !errors.Is(err, bolterrors.ErrTimeout) {
			return nil, fmt.Errorf("%s: %w (%v)", path, errDamaged, err)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	d = &diskStore{BoltStore: store, fatal: fatal, syncLatency: hdrhistogram.New(1, 60_000_000, 2)}
	if err := d.verify(floor); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), store.Close())
	}
	return d, nil
}

// metaPages are the two pages at a bbolt file's beginning of which the newer valid one holds: its layout, from bbolt's
// documentation of the file: 16 bytes of page header, then magic, version, page size and flags (4 bytes each), root (16), freelist,
// pages and transaction (8 each), and an FNV-1a checksum of all that.
const (
	pageHeader = 16
	metaBytes  = 56
	metaMagic  = 0xED0CDAED
)

// inspectFile finds damage that the file's own library would pass over: a meta page that is spoilt has it go back silently to the one
// before, which forgets the last transaction and with it, perhaps, a vote; and a key that is spoilt looks like one never written.
func inspectFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	head := make([]byte, pageHeader+metaBytes+8)
	if _, err := f.ReadAt(head, 0); err != nil {
		return fmt.Errorf("%w: %v", errDamaged, err)
	}
	pageSize := int64(binary.LittleEndian.Uint32(head[pageHeader+8:]))
	if pageSize < 512 || pageSize > 1<<20 {
		return fmt.Errorf("%w: its first page is spoilt", errDamaged)
	}
	for _, at := range []int64{0, pageSize} {
		if _, err := f.ReadAt(head, at); err != nil {
			return fmt.Errorf("%w: %v", errDamaged, err)
		}
		sum := fnv.New64a()
		_, _ = sum.Write(head[pageHeader : pageHeader+metaBytes])
		if binary.LittleEndian.Uint32(head[pageHeader:]) != metaMagic || binary.LittleEndian.Uint64(head[pageHeader+metaBytes:]) != sum.Sum64() {
			return fmt.Errorf("%w: a meta page is spoilt, and the one before it is older", errDamaged)
		}
		// Pages that are free now are written and read later: a file that was cut off in them faults then.
		size, err := f.Stat()
		if err != nil {
			return err
		}
		if pages := binary.LittleEndian.Uint64(head[pageHeader+40:]); pages > uint64(size.Size()/pageSize) {
			return fmt.Errorf("%w: it has %d bytes, and %d pages of %d bytes stand in it", errDamaged, size.Size(), pages, pageSize)
		}
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: 5 * time.Second})
	if err != nil {
		return fmt.Errorf("%w: %v", errDamaged, err)
	}
	defer db.Close()
	return db.View(func(tx *bbolt.Tx) error {
		// Each byte of each key and value is touched here, in their order: where a page points outside the file, the fault comes
		// now, when it can be told as what it is. Not by tx.Check, which reads on a goroutine of its own.
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			var before []byte
			if err := b.ForEach(func(k, v []byte) error {
				if before != nil && bytes.Compare(before, k) >= 0 {
					return fmt.Errorf("%w: keys out of order", errDamaged)
				}
				before = k
				xxhash.Sum64(v)
				return nil
			}); err != nil {
				return err
			}
			switch string(name) {
			case "logs":
				return b.ForEach(func(k, _ []byte) error {
					if len(k) != 8 {
						return fmt.Errorf("%w: an entry's key of %d bytes", errDamaged, len(k))
					}
					return nil
				})
			case "conf":
			default:
				return fmt.Errorf("%w: bucket %q", errDamaged, name)
			}
			return b.ForEach(func(k, _ []byte) error {
				switch {
				case strings.HasPrefix(string(k), peerRunKeyPrefix):
					return nil
				case slices.Contains([]string{"CurrentTerm", "LastVoteTerm", "LastVoteCand", identityKey, epochKey}, string(k)): // raft's and ours
					return nil
				}
				return fmt.Errorf("%w: key %q", errDamaged, k)
			})
		})
	})
}

// The keys of what this package keeps beside the library's.
const (
	identityKey      = "identity"
	epochKey         = "epoch"
	peerRunKeyPrefix = "seen/"
)

// verify reads all that is there. A snapshot that came from the leader leaves a hole between what the log had before and what
// came after it.
func (d *diskStore) verify(floor uint64) error {
	first, err := d.FirstIndex()
	if err != nil {
		return err
	}
	last, err := d.LastIndex()
	if err != nil {
		return err
	}
	var l raft.Log
	for i := first; i <= last && last > 0; i++ {
		if err := d.GetLog(i, &l); err != nil && !(errors.Is(err, raft.ErrLogNotFound) && i <= floor) {
			return fmt.Errorf("entry %d: %w: %v", i, errDamaged, err)
		}
	}
	for k, always := range map[string]bool{"CurrentTerm": true, identityKey: true, epochKey: true, "LastVoteTerm": false, "LastVoteCand": false} {
		if _, err := d.Get([]byte(k)); err != nil && (err.Error() != "not found" || always && last > 0) {
			return fmt.Errorf("%s: %w: %v", k, errDamaged, err)
		}
	}
	return nil
}

func entryChecksum(l *raft.Log) []byte {
	h := xxhash.New()
	var head [17]byte
	binary.LittleEndian.PutUint64(head[:], l.Index)
	binary.LittleEndian.PutUint64(head[8:], l.Term)
	head[16] = byte(l.Type)
	_, _ = h.Write(head[:])
	_, _ = h.Write(l.Data)
	return h.Sum(nil)
}

// GetLog reads an entry and holds it against its checksum.
func (d *diskStore) GetLog(i uint64, l *raft.Log) error {
	d.mu.Lock()
	for _, h := range d.unsyncedLogs {
		if h.Index == i {
			*l = *h
			d.mu.Unlock()
			return nil
		}
	}
	d.mu.Unlock()
	*l = raft.Log{} // a field whose name is spoilt must not keep what another entry had
	if err := d.BoltStore.GetLog(i, l); err != nil {
		return err
	}
	if l.Index != i || string(l.Extensions) != string(entryChecksum(l)) {
		return fmt.Errorf("entry %d: %w", i, errDamaged)
	}
	l.Extensions = nil
	return nil
}

// StoreLog writes an entry.
func (d *diskStore) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries and returns once they are synced.
func (d *diskStore) StoreLogs(logs []*raft.Log) error {
	if failpoint.Is("unsynced") {
		return d.storeUnsynced(logs)
	}
	summed := make([]*raft.Log, len(logs))
	for i, l := range logs {
		c := *l
		c.Extensions = entryChecksum(l)
		summed[i] = &c
	}
	began := time.Now()
	slowSync()
	err := d.BoltStore.StoreLogs(summed)
	d.mu.Lock()
	_ = d.syncLatency.RecordValue(min(time.Since(began).Microseconds(), 60_000_000)) // within the bound
	d.mu.Unlock()
	return err
}

// storeUnsynced keeps the newest entries in memory only, as a disk does with what was not synced.
func (d *diskStore) storeUnsynced(logs []*raft.Log) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsyncedLogs = append(d.unsyncedLogs, logs...)
	n := len(d.unsyncedLogs) - 50
	if n <= 0 {
		return nil
	}
	var down []*raft.Log
	for _, l := range d.unsyncedLogs[:n] {
		c := *l
		c.Extensions = entryChecksum(l)
		down = append(down, &c)
	}
	d.unsyncedLogs = append([]*raft.Log(nil), d.unsyncedLogs[n:]...)
	return d.BoltStore.StoreLogs(down)
}

// LastIndex is that of the newest entry.
func (d *diskStore) LastIndex() (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.unsyncedLogs); n > 0 {
		return d.unsyncedLogs[n-1].Index, nil
	}
	return d.BoltStore.LastIndex()
}

// FirstIndex is that of the oldest entry.
func (d *diskStore) FirstIndex() (uint64, error) {
	first, err := d.BoltStore.FirstIndex()
	d.mu.Lock()
	defer d.mu.Unlock()
	if first == 0 && len(d.unsyncedLogs) > 0 {
		first = d.unsyncedLogs[0].Index
	}
	return first, err
}

// DeleteRange forgets entries.
func (d *diskStore) DeleteRange(low, high uint64) error {
	d.mu.Lock()
	kept := d.unsyncedLogs[:0]
	for _, h := range d.unsyncedLogs {
		if h.Index < low || h.Index > high {
			kept = append(kept, h)
		}
	}
	d.unsyncedLogs = kept
	d.mu.Unlock()
	return d.BoltStore.DeleteRange(low, high)
}

// Set keeps a value with its checksum. Where a vote can't be kept, the process must not go on: it would vote twice.
func (d *diskStore) Set(k, v []byte) error {
	err := d.BoltStore.Set(k, binary.LittleEndian.AppendUint64(append([]byte(nil), v...), xxhash.Sum64(v)))
	if err != nil {
		d.fatal(fmt.Errorf("%s can't be written: %w", k, err))
	}
	return err
}

// Get reads a value and holds it against its checksum.
func (d *diskStore) Get(k []byte) ([]byte, error) {
	v, err := d.BoltStore.Get(k)
	if err != nil {
		return nil, err
	}
	n := len(v) - 8
	if n < 0 || binary.LittleEndian.Uint64(v[n:]) != xxhash.Sum64(v[:n]) {
		return nil, fmt.Errorf("%s: %w", k, errDamaged)
	}
	return v[:n], nil
}

// SetUint64 keeps a number.
func (d *diskStore) SetUint64(k []byte, v uint64) error {
	return d.Set(k, binary.LittleEndian.AppendUint64(nil, v))
}

// GetUint64 reads a number; 0 where there is none.
func (d *diskStore) GetUint64(k []byte) (uint64, error) {
	v, err := d.Get(k)
	if err != nil {
		if err.Error() == "not found" {
			return 0, nil
		}
		return 0, err
	}
	if len(v) != 8 {
		return 0, fmt.Errorf("%s: %w", k, errDamaged)
	}
	return binary.LittleEndian.Uint64(v), nil
}

// syncLatencyMillis of the time that a write with its sync takes, in milliseconds.
func (d *diskStore) syncLatencyMillis() (p50, p99 float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(d.syncLatency.ValueAtQuantile(50)) / 1000, float64(d.syncLatency.ValueAtQuantile(99)) / 1000
}
