package node

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"dockhinge.example/dockhinge/internal/mutant"
)

// disk is the log and the votes in one file, each entry and value with a checksum, as a bit that flips on a disk would
// otherwise be agreed on.
type disk struct {
	*raftboltdb.BoltStore
	fatal func(error) // the vote can't be kept: the process must end

	mu    sync.Mutex
	syncs *hdrhistogram.Histogram // of writes with their sync, in microseconds
	held  []*raft.Log             // with the mutant unsynced only
}

// errDamaged tells that what stands on the disk isn't what was written.
var errDamaged = errors.New("the log is damaged; this coordinator must come back with an empty directory, as a new member")

func openDisk(dir string, fatal func(error)) (d *disk, err error) {
	path := filepath.Join(dir, "log.db")
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a file that was cut off under its map
	defer func() {
		if p := recover(); p != nil {
			d, err = nil, fmt.Errorf("%s: %w (%v)", path, errDamaged, p)
		}
	}()
	_, missing := os.Stat(path)
	store, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: 5 * time.Second}, MsgpackUseNewTimeFormat: true})
	if err != nil {
		if missing == nil && !errors.Is(err, bbolt.ErrTimeout) {
			return nil, fmt.Errorf("%s: %w (%v)", path, errDamaged, err)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	d = &disk{BoltStore: store, fatal: fatal, syncs: hdrhistogram.New(1, 60_000_000, 2)}
	if err := d.check(); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), store.Close())
	}
	return d, nil
}

// check reads all that is there.
func (d *disk) check() error {
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
		if err := d.GetLog(i, &l); err != nil {
			return fmt.Errorf("entry %d: %w: %v", i, errDamaged, err)
		}
	}
	for _, k := range []string{"CurrentTerm", "LastVoteTerm", "LastVoteCand"} { // raft's own names
		if _, err := d.Get([]byte(k)); err != nil && err.Error() != "not found" {
			return err
		}
	}
	return nil
}

func logSum(l *raft.Log) []byte {
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
func (d *disk) GetLog(i uint64, l *raft.Log) error {
	d.mu.Lock()
	for _, h := range d.held {
		if h.Index == i {
			*l = *h
			d.mu.Unlock()
			return nil
		}
	}
	d.mu.Unlock()
	if err := d.BoltStore.GetLog(i, l); err != nil {
		return err
	}
	if l.Index != i || string(l.Extensions) != string(logSum(l)) {
		return fmt.Errorf("entry %d: %w", i, errDamaged)
	}
	l.Extensions = nil
	return nil
}

// StoreLog writes an entry.
func (d *disk) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries and returns once they are synced.
func (d *disk) StoreLogs(logs []*raft.Log) error {
	if mutant.Is("unsynced") {
		return d.storeLater(logs)
	}
	summed := make([]*raft.Log, len(logs))
	for i, l := range logs {
		c := *l
		c.Extensions = logSum(l)
		summed[i] = &c
	}
	began := time.Now()
	slowSync()
	err := d.BoltStore.StoreLogs(summed)
	d.mu.Lock()
	_ = d.syncs.RecordValue(min(time.Since(began).Microseconds(), 60_000_000)) // within the bound
	d.mu.Unlock()
	return err
}

// storeLater keeps the newest entries in memory only, as a disk does with what was not synced.
func (d *disk) storeLater(logs []*raft.Log) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = append(d.held, logs...)
	n := len(d.held) - 50
	if n <= 0 {
		return nil
	}
	var down []*raft.Log
	for _, l := range d.held[:n] {
		c := *l
		c.Extensions = logSum(l)
		down = append(down, &c)
	}
	d.held = append([]*raft.Log(nil), d.held[n:]...)
	return d.BoltStore.StoreLogs(down)
}

// LastIndex is that of the newest entry.
func (d *disk) LastIndex() (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.held); n > 0 {
		return d.held[n-1].Index, nil
	}
	return d.BoltStore.LastIndex()
}

// FirstIndex is that of the oldest entry.
func (d *disk) FirstIndex() (uint64, error) {
	first, err := d.BoltStore.FirstIndex()
	d.mu.Lock()
	defer d.mu.Unlock()
	if first == 0 && len(d.held) > 0 {
		first = d.held[0].Index
	}
	return first, err
}

// DeleteRange forgets entries.
func (d *disk) DeleteRange(low, high uint64) error {
	d.mu.Lock()
	kept := d.held[:0]
	for _, h := range d.held {
		if h.Index < low || h.Index > high {
			kept = append(kept, h)
		}
	}
	d.held = kept
	d.mu.Unlock()
	return d.BoltStore.DeleteRange(low, high)
}

// Set keeps a value with its checksum. Where a vote can't be kept, the process must not go on: it would vote twice.
func (d *disk) Set(k, v []byte) error {
	err := d.BoltStore.Set(k, binary.LittleEndian.AppendUint64(append([]byte(nil), v...), xxhash.Sum64(v)))
	if err != nil {
		d.fatal(fmt.Errorf("%s can't be written: %w", k, err))
	}
	return err
}

// Get reads a value and holds it against its checksum.
func (d *disk) Get(k []byte) ([]byte, error) {
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
func (d *disk) SetUint64(k []byte, v uint64) error {
	return d.Set(k, binary.LittleEndian.AppendUint64(nil, v))
}

// GetUint64 reads a number; 0 where there is none.
func (d *disk) GetUint64(k []byte) (uint64, error) {
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

// quantiles of the time that a write with its sync takes, in milliseconds.
func (d *disk) quantiles() (p50, p99 float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(d.syncs.ValueAtQuantile(50)) / 1000, float64(d.syncs.ValueAtQuantile(99)) / 1000
}
