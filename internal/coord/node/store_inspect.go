package node

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

// The layout of the two meta pages of a bbolt file, from bbolt's documentation of the format: a
// page header of 16 bytes; magic, version, page size and flags (4 bytes each); root (16); freelist,
// number of pages and transaction (8 each); and an FNV-1a checksum of the content after the header.
const (
	pageHeaderBytes   = 16
	metaBytes         = 56
	metaChecksumBytes = 8
	metaMagic         = 0xED0CDAED
	pageSizeOffset    = 8  // in the meta page's content
	pageCountOffset   = 40 // in the meta page's content
	minPageSize       = 512
	maxPageSize       = 1 << 20
)

// The buckets of raft-boltdb, and the keys that the library stores in the stable bucket.
const (
	logBucket    = "logs"
	stableBucket = "conf"

	logKeyBytes = 8

	currentTermKey       = "CurrentTerm"
	lastVoteTermKey      = "LastVoteTerm"
	lastVoteCandidateKey = "LastVoteCand"
)

// inspectFile detects damage that bbolt ignores. If a meta page is damaged, bbolt silently falls
// back to the older one and loses the last transaction, which may include a vote. A damaged key
// looks like a key that was never written.
func inspectFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := inspectMetaPages(file); err != nil {
		return err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: openTimeout})
	if err != nil {
		return fmt.Errorf("%w: %v", errDamaged, err)
	}
	defer db.Close()
	return db.View(inspectBuckets)
}

// inspectMetaPages checks both meta pages; bbolt uses the more recent valid one.
func inspectMetaPages(file *os.File) error {
	page := make([]byte, pageHeaderBytes+metaBytes+metaChecksumBytes)
	if _, err := file.ReadAt(page, 0); err != nil {
		return fmt.Errorf("%w: %v", errDamaged, err)
	}
	pageSize := int64(binary.LittleEndian.Uint32(page[pageHeaderBytes+pageSizeOffset:]))
	if pageSize < minPageSize || pageSize > maxPageSize {
		return fmt.Errorf("%w: the first page is invalid", errDamaged)
	}
	for _, offset := range []int64{0, pageSize} {
		if _, err := file.ReadAt(page, offset); err != nil {
			return fmt.Errorf("%w: %v", errDamaged, err)
		}
		if err := inspectMetaPage(file, page[pageHeaderBytes:], pageSize); err != nil {
			return err
		}
	}
	return nil
}

// inspectMetaPage checks a meta page's content.
func inspectMetaPage(file *os.File, meta []byte, pageSize int64) error {
	checksum := fnv.New64a()
	_, _ = checksum.Write(meta[:metaBytes])
	hasMagic := binary.LittleEndian.Uint32(meta) == metaMagic
	if !hasMagic || binary.LittleEndian.Uint64(meta[metaBytes:]) != checksum.Sum64() {
		return fmt.Errorf("%w: a meta page is invalid, and the other one may lack the last transaction", errDamaged)
	}
	// Free pages are written and read later: if the file is truncated within them, the fault comes
	// then.
	size, err := file.Stat()
	if err != nil {
		return err
	}
	if pages := binary.LittleEndian.Uint64(meta[pageCountOffset:]); pages > uint64(size.Size()/pageSize) {
		return fmt.Errorf("%w: the file has %d bytes, want %d pages of %d bytes",
			errDamaged, size.Size(), pages, pageSize)
	}
	return nil
}

// inspectBuckets reads every byte of all keys and values in order: if a page points outside the
// file, the fault happens now, while openStore reports it as damage. It doesn't use tx.Check, which
// reads on its own goroutine, where a fault would terminate the process.
func inspectBuckets(tx *bbolt.Tx) error {
	return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
		if err := inspectOrder(bucket); err != nil {
			return err
		}
		switch string(name) {
		case logBucket:
			return bucket.ForEach(inspectLogKey)
		case stableBucket:
			return bucket.ForEach(inspectStableKey)
		}
		return fmt.Errorf("%w: unknown bucket %q", errDamaged, name)
	})
}

func inspectOrder(bucket *bbolt.Bucket) error {
	var before []byte
	return bucket.ForEach(func(key, value []byte) error {
		if before != nil && bytes.Compare(before, key) >= 0 {
			return fmt.Errorf("%w: keys out of order", errDamaged)
		}
		before = key
		xxhash.Sum64(value) // reads every byte of the value
		return nil
	})
}

func inspectLogKey(key, _ []byte) error {
	if len(key) != logKeyBytes {
		return fmt.Errorf("%w: log key of %d bytes", errDamaged, len(key))
	}
	return nil
}

func inspectStableKey(key, _ []byte) error {
	known := []string{currentTermKey, lastVoteTermKey, lastVoteCandidateKey, identityKey, epochKey}
	if strings.HasPrefix(string(key), peerRunKeyPrefix) || slices.Contains(known, string(key)) {
		return nil
	}
	return fmt.Errorf("%w: unknown key %q", errDamaged, key)
}
