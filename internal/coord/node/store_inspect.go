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

// The layout of a bbolt file's two meta pages, from bbolt's documentation of the file: 16 bytes of
// page header, then magic, version, page size and flags (4 bytes each), root (16), freelist, number
// of pages and transaction (8 each), and an FNV-1a checksum of all that.
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

// The buckets of raft-boltdb, and the keys that the library stores in the second one.
const (
	logBucket    = "logs"
	stableBucket = "conf"

	logKeyBytes = 8

	currentTermKey       = "CurrentTerm"
	lastVoteTermKey      = "LastVoteTerm"
	lastVoteCandidateKey = "LastVoteCand"
)

// inspectFile finds damage that bbolt would pass over. A meta page that is damaged has bbolt go back
// silently to the one before, which forgets the last transaction and with it, perhaps, a vote; and a
// key that is damaged looks like one that was never written.
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

// inspectMetaPages checks both meta pages, of which bbolt takes the newer valid one.
func inspectMetaPages(file *os.File) error {
	page := make([]byte, pageHeaderBytes+metaBytes+metaChecksumBytes)
	if _, err := file.ReadAt(page, 0); err != nil {
		return fmt.Errorf("%w: %v", errDamaged, err)
	}
	pageSize := int64(binary.LittleEndian.Uint32(page[pageHeaderBytes+pageSizeOffset:]))
	if pageSize < minPageSize || pageSize > maxPageSize {
		return fmt.Errorf("%w: its first page is invalid", errDamaged)
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
		return fmt.Errorf("%w: a meta page is invalid, and the one before it is older", errDamaged)
	}
	// Pages that are free now are written and read later: a file that was cut off in them faults then.
	size, err := file.Stat()
	if err != nil {
		return err
	}
	if pages := binary.LittleEndian.Uint64(meta[pageCountOffset:]); pages > uint64(size.Size()/pageSize) {
		return fmt.Errorf("%w: it has %d bytes, and %d pages of %d bytes stand in it",
			errDamaged, size.Size(), pages, pageSize)
	}
	return nil
}

// inspectBuckets reads each byte of each key and value, in their order: where a page points outside
// the file, the fault comes now, when openStore reports it as damage. It is not done by tx.Check,
// which reads on a goroutine of its own, whose fault would end the process.
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
		return fmt.Errorf("%w: bucket %q", errDamaged, name)
	})
}

func inspectOrder(bucket *bbolt.Bucket) error {
	var before []byte
	return bucket.ForEach(func(key, value []byte) error {
		if before != nil && bytes.Compare(before, key) >= 0 {
			return fmt.Errorf("%w: keys out of order", errDamaged)
		}
		before = key
		xxhash.Sum64(value) // reads it
		return nil
	})
}

func inspectLogKey(key, _ []byte) error {
	if len(key) != logKeyBytes {
		return fmt.Errorf("%w: an entry's key of %d bytes", errDamaged, len(key))
	}
	return nil
}

func inspectStableKey(key, _ []byte) error {
	known := []string{currentTermKey, lastVoteTermKey, lastVoteCandidateKey, identityKey, epochKey}
	if strings.HasPrefix(string(key), peerRunKeyPrefix) || slices.Contains(known, string(key)) {
		return nil
	}
	return fmt.Errorf("%w: key %q", errDamaged, key)
}
