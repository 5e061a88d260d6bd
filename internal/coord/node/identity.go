package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"time"

	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// The keys under which this package stores values, in addition to the library's keys.
const (
	identityKey      = "identity"
	epochKey         = "epoch"
	peerRunKeyPrefix = "seen/"
)

const (
	// defaultEpochInterval is how often the directory's epoch increases. An old copy of the
	// directory that is restored after at least this time is recognized.
	defaultEpochInterval = 10 * time.Second

	identityBytes = 8
	peerRunBytes  = 16 // nonce and epoch
)

// processRun identifies one run of a coordinator's process.
type processRun struct {
	nonce      uint64 // random, drawn at the start
	startEpoch uint64 // the directory's epoch at the start
	epoch      uint64 // the directory's epoch now
}

func (n *Node) currentRun() processRun {
	return processRun{nonce: n.nonce, startEpoch: n.startEpoch, epoch: n.epoch.Load()}
}

// loadIdentity reads the directory's identity and increments its epoch. An empty directory gets a
// new identity.
func (n *Node) loadIdentity() error {
	identity, err := n.store.Get([]byte(identityKey))
	if errors.Is(err, raftboltdb.ErrKeyNotFound) {
		identity, err = n.newIdentity()
	}
	if err != nil {
		return err
	}
	epoch, err := n.store.GetUint64([]byte(epochKey))
	if err != nil {
		return err
	}
	n.identity = string(identity)
	n.startEpoch = epoch + 1
	n.nonce = mrand.Uint64()
	n.epoch.Store(n.startEpoch)
	return n.store.SetUint64([]byte(epochKey), n.startEpoch)
}

func (n *Node) newIdentity() ([]byte, error) {
	random := make([]byte, identityBytes)
	if _, err := rand.Read(random); err != nil {
		return nil, err
	}
	identity := []byte(hex.EncodeToString(random))
	return identity, n.store.Set([]byte(identityKey), identity)
}

// checkPeerRun records the run of another coordinator. It returns an outdatedDiskError if the
// peer's disk was restored from an old copy, which lacks recent votes; this coordinator must then
// not communicate with the peer.
//
// Each start of a process on its own disk gets an epoch above all those that earlier runs sent; a
// start on an old copy doesn't. A delayed handshake, of the same run or of one that has ended,
// proves nothing about the disk.
func (n *Node) checkPeerRun(identity string, run processRun) error {
	n.peerRunsMu.Lock()
	defer n.peerRunsMu.Unlock()
	key := []byte(peerRunKeyPrefix + identity)
	stored, err := n.store.Get(key)
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return err
	}
	known := decodePeerRun(stored)
	if run.nonce != known.nonce && run.startEpoch <= known.epoch {
		return &outdatedDiskError{startEpoch: run.startEpoch, knownEpoch: known.epoch}
	}
	if run.nonce == known.nonce && run.epoch <= known.epoch {
		return nil
	}
	return n.store.Set(key, encodePeerRun(run))
}

func encodePeerRun(run processRun) []byte {
	encoded := binary.LittleEndian.AppendUint64(nil, run.nonce)
	return binary.LittleEndian.AppendUint64(encoded, run.epoch)
}

// decodePeerRun decodes a stored run. It returns the zero run if nothing is stored.
func decodePeerRun(stored []byte) processRun {
	if len(stored) != peerRunBytes {
		return processRun{}
	}
	return processRun{
		nonce: binary.LittleEndian.Uint64(stored),
		epoch: binary.LittleEndian.Uint64(stored[8:]),
	}
}

// outdatedDiskPrefix begins the rejection text for an outdated disk. The peer recognizes it and
// must exit. Programs of different versions exchange it.
const outdatedDiskPrefix = "your disk is older than one that was seen of you"

// outdatedDiskError is the error for a peer whose disk is older than in an earlier run of the peer.
type outdatedDiskError struct {
	startEpoch uint64
	knownEpoch uint64
}

func (e *outdatedDiskError) Error() string {
	return fmt.Sprintf("%s (it started at epoch %d, and %d was seen)", outdatedDiskPrefix, e.startEpoch, e.knownEpoch)
}

// advanceEpoch periodically increments the directory's epoch and sends it to all peers, so that
// they recognize an old copy that is restored later. Start starts it; it ends with ctx.
func (n *Node) advanceEpoch(ctx context.Context) {
	ticker := time.NewTicker(epochInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		next := n.epoch.Load() + 1
		if n.store.SetUint64([]byte(epochKey), next) != nil {
			return // OnFatal has been called
		}
		n.epoch.Store(next)
		n.exchangeHandshakes()
	}
}

// exchangeHandshakes exchanges handshakes with all peers.
func (n *Node) exchangeHandshakes() {
	for _, server := range n.servers() {
		if string(server.ID) == n.identity {
			continue
		}
		if connection, err := n.peers.Dial(server.Address, handshakeTimeout); err == nil {
			connection.Close()
		}
	}
}
