package node

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
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

const (
	logFileName   = "log.db"
	openTimeout   = 5 * time.Second // to acquire the file's lock
	checksumBytes = 8

	// unsyncedEntries is how many entries the mutant "unsynced" keeps in memory only.
	unsyncedEntries = 50
)

// diskStore stores the log and the votes in one file, each entry and value with a checksum:
// otherwise a bit flipped on disk would be replicated.
type diskStore struct {
	*raftboltdb.BoltStore
	onFatal func(error) // called when a value can't be stored: the process must exit

	mu           sync.Mutex
	syncLatency  *hdrhistogram.Histogram // of log writes with their sync, in microseconds
	unsyncedLogs []*raft.Log             // used by the mutant "unsynced" only
}

// openStore opens the log of a directory and verifies all of it. Entries up to snapshotIndex may be
// missing, as a snapshot covers them. The error wraps errDamaged if the content of the file is
// corrupt.
func openStore(directory string, snapshotIndex uint64, onFatal func(error)) (d *diskStore, err error) {
	path := filepath.Join(directory, logFileName)
	// Reading a memory-mapped file that was truncated faults beyond its end. SetPanicOnFault turns
	// the fault into a panic, and the recover below turns the panic into an error.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			d = nil
			err = fmt.Errorf("%s: %w (%v)", path, errDamaged, p)
		}
	}()
	_, statErr := os.Stat(path)
	exists := statErr == nil
	if exists {
		if err := inspectFile(path); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	// The free list is recomputed at each start instead of read from the file: with a damaged one,
	// pages in use would be overwritten.
	options := &bbolt.Options{Timeout: openTimeout, NoFreelistSync: true}
	store, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: options, MsgpackUseNewTimeFormat: true})
	if err != nil && exists && !errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: %w (%v)", path, errDamaged, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	d = &diskStore{BoltStore: store, onFatal: onFatal, syncLatency: newLatencyHistogram()}
	if err := d.verify(snapshotIndex); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), store.Close())
	}
	return d, nil
}

// verify reads all entries and values. A snapshot received from the leader leaves a gap between the
// entries before it and those after it.
func (d *diskStore) verify(snapshotIndex uint64) error {
	first, err := d.FirstIndex()
	if err != nil {
		return err
	}
	last, err := d.LastIndex()
	if err != nil {
		return err
	}
	var entry raft.Log
	for i := first; i <= last && last > 0; i++ {
		err := d.GetLog(i, &entry)
		isCovered := errors.Is(err, raft.ErrLogNotFound) && i <= snapshotIndex
		if err != nil && !isCovered {
			return fmt.Errorf("entry %d: %w: %v", i, errDamaged, err)
		}
	}
	isUsed := last > 0
	for _, key := range []string{currentTermKey, identityKey, epochKey} {
		if err := d.verifyKey(key, isUsed); err != nil {
			return err
		}
	}
	for _, key := range []string{lastVoteTermKey, lastVoteCandidateKey} { // missing if this coordinator has never voted
		if err := d.verifyKey(key, false); err != nil {
			return err
		}
	}
	return nil
}

// verifyKey reads a value, which may be missing unless it is required, and checks it for damage.
func (d *diskStore) verifyKey(key string, isRequired bool) error {
	_, err := d.Get([]byte(key))
	isMissing := errors.Is(err, raftboltdb.ErrKeyNotFound)
	if err == nil || isMissing && !isRequired {
		return nil
	}
	return fmt.Errorf("%s: %w: %v", key, errDamaged, err)
}

func entryChecksum(l *raft.Log) []byte {
	var head [17]byte
	binary.LittleEndian.PutUint64(head[:], l.Index)
	binary.LittleEndian.PutUint64(head[8:], l.Term)
	head[16] = byte(l.Type)
	h := xxhash.New()
	_, _ = h.Write(head[:])
	_, _ = h.Write(l.Data)
	return h.Sum(nil)
}

// withChecksums returns copies of the entries with their checksums as extensions.
func withChecksums(logs []*raft.Log) []*raft.Log {
	checksummed := make([]*raft.Log, len(logs))
	for i, l := range logs {
		c := *l
		c.Extensions = entryChecksum(l)
		checksummed[i] = &c
	}
	return checksummed
}

// GetLog reads an entry and verifies its checksum.
func (d *diskStore) GetLog(index uint64, l *raft.Log) error {
	if unsynced := d.findUnsynced(index); unsynced != nil {
		*l = *unsynced
		return nil
	}
	*l = raft.Log{} // a field whose stored name is damaged must not keep a previous value
	if err := d.BoltStore.GetLog(index, l); err != nil {
		return err
	}
	if l.Index != index || string(l.Extensions) != string(entryChecksum(l)) {
		return fmt.Errorf("entry %d: %w", index, errDamaged)
	}
	l.Extensions = nil
	return nil
}

func (d *diskStore) findUnsynced(index uint64) *raft.Log {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.unsyncedLogs {
		if l.Index == index {
			return l
		}
	}
	return nil
}

// StoreLog writes an entry and syncs it.
func (d *diskStore) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries and returns once they are synced. An entry that was acknowledged to the
// leader before its sync could be committed and then lost.
func (d *diskStore) StoreLogs(logs []*raft.Log) error {
	if failpoint.IsInjected("unsynced") {
		return d.storeUnsynced(logs)
	}
	checksummed := withChecksums(logs)
	began := time.Now()
	slowSync()
	err := d.BoltStore.StoreLogs(checksummed)
	d.mu.Lock()
	recordLatency(d.syncLatency, began)
	d.mu.Unlock()
	return err
}

// storeUnsynced keeps the most recent entries in memory only, like a disk that loses unsynced
// writes.
func (d *diskStore) storeUnsynced(logs []*raft.Log) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsyncedLogs = append(d.unsyncedLogs, logs...)
	written := len(d.unsyncedLogs) - unsyncedEntries
	if written <= 0 {
		return nil
	}
	checksummed := withChecksums(d.unsyncedLogs[:written])
	d.unsyncedLogs = slices.Clone(d.unsyncedLogs[written:])
	return d.BoltStore.StoreLogs(checksummed)
}

// LastIndex returns the index of the most recent entry, or 0.
func (d *diskStore) LastIndex() (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.unsyncedLogs); n > 0 {
		return d.unsyncedLogs[n-1].Index, nil
	}
	return d.BoltStore.LastIndex()
}

// FirstIndex returns the index of the oldest entry, or 0.
func (d *diskStore) FirstIndex() (uint64, error) {
	first, err := d.BoltStore.FirstIndex()
	d.mu.Lock()
	defer d.mu.Unlock()
	if first == 0 && len(d.unsyncedLogs) > 0 {
		first = d.unsyncedLogs[0].Index
	}
	return first, err
}

// DeleteRange removes the entries from low through high.
func (d *diskStore) DeleteRange(low, high uint64) error {
	d.mu.Lock()
	d.unsyncedLogs = slices.DeleteFunc(d.unsyncedLogs, func(l *raft.Log) bool {
		return l.Index >= low && l.Index <= high
	})
	d.mu.Unlock()
	return d.BoltStore.DeleteRange(low, high)
}

// Set stores a value with its checksum. If a vote can't be stored, the process must exit: it could
// vote twice in one term.
func (d *diskStore) Set(key, value []byte) error {
	checksummed := binary.LittleEndian.AppendUint64(slices.Clone(value), xxhash.Sum64(value))
	err := d.BoltStore.Set(key, checksummed)
	if err != nil {
		d.onFatal(fmt.Errorf("%s can't be written: %w", key, err))
	}
	return err
}

// Get reads a value and verifies its checksum. For a missing key it returns
// raftboltdb.ErrKeyNotFound unwrapped, which the consensus library recognizes by its text.
func (d *diskStore) Get(key []byte) ([]byte, error) {
	stored, err := d.BoltStore.Get(key)
	if err != nil {
		return nil, err
	}
	n := len(stored) - checksumBytes
	if n < 0 || binary.LittleEndian.Uint64(stored[n:]) != xxhash.Sum64(stored[:n]) {
		return nil, fmt.Errorf("%s: %w", key, errDamaged)
	}
	return stored[:n], nil
}

// SetUint64 stores a number under a key.
func (d *diskStore) SetUint64(key []byte, value uint64) error {
	return d.Set(key, binary.LittleEndian.AppendUint64(nil, value))
}

// GetUint64 reads a number, or 0 for a missing key.
func (d *diskStore) GetUint64(key []byte) (uint64, error) {
	stored, err := d.Get(key)
	if errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if len(stored) != 8 {
		return 0, fmt.Errorf("%s: %w", key, errDamaged)
	}
	return binary.LittleEndian.Uint64(stored), nil
}

// syncLatencyMillis returns quantiles of the time that a log write with its sync takes.
func (d *diskStore) syncLatencyMillis() (p50, p99 float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return quantilesMillis(d.syncLatency)
}

// quantilesMillis returns quantiles, in milliseconds, of a histogram of microseconds.
func quantilesMillis(histogram *hdrhistogram.Histogram) (p50, p99 float64) {
	p50 = float64(histogram.ValueAtQuantile(50)) / 1000
	p99 = float64(histogram.ValueAtQuantile(99)) / 1000
	return p50, p99
}
