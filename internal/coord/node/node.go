// Package node runs one coordinator: it drives the state machine of package coord with the
// consensus library hashicorp/raft, which has its log in bbolt, its snapshots in files and a
// transport to the other coordinators. Clients send commands over HTTP (see Node.Handler).
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"dockhinge.example/dockhinge/internal/coord"
)

// Options configure one coordinator.
type Options struct {
	Name          string // unique among the coordinators
	Directory     string // of log, snapshots and identity; must exist
	ListenAddress string // host:port for the other coordinators
	ClientAddress string // host:port for clients

	// PeerAddresses override, by coordinator name, the addresses at which this coordinator connects
	// to the others.
	PeerAddresses map[string]string

	// ClockRateBound is the maximum fraction by which any clock may run fast or slow.
	ClockRateBound float64
	// SnapshotEntries is the number of log entries between two snapshots; 0: 8192.
	SnapshotEntries uint64
	// HeartbeatTimeout is how long a leader may be silent before another is elected; 0: 250 ms.
	HeartbeatTimeout time.Duration

	Log     *slog.Logger // nil: nothing is logged
	OnFatal func(error)  // called when the process must exit at once; nil: panic
}

func (o Options) peerAddress(identity string) string {
	return o.Name + "/" + identity + "@" + o.ListenAddress
}

const (
	defaultHeartbeatTimeout = 250 * time.Millisecond
	defaultSnapshotEntries  = 8192

	commitTimeout         = 20 * time.Millisecond // after which an idle leader sends followers the commit index
	snapshotCheckInterval = 2 * time.Second
	retainedSnapshots     = 2
	peerConnectionPool    = 3
	peerTimeout           = 2 * time.Second // of the library's requests to another coordinator

	// proposeTimeout is how long a command may wait until the library accepts it.
	proposeTimeout = 2 * time.Second

	// Histograms record up to a minute with two significant digits; longer times count as a minute.
	maxRecordedMicros = 60_000_000
	histogramDigits   = 2
)

// Node is one coordinator. Its methods may be called concurrently.
type Node struct {
	options    Options
	identity   string // stored in the directory
	nonce      uint64 // random, drawn when this process started
	startEpoch uint64 // the directory's epoch when this process started
	epoch      atomic.Uint64
	peerRunsMu sync.Mutex // guards the peers' runs in the store
	store      *diskStore
	raft       *raft.Raft
	transport  *raft.NetworkTransport
	peers      *peerLayer

	mu           sync.Mutex // guards the fields through watchers
	state        *coord.State
	appliedIndex uint64
	watches      map[string]chan struct{} // by lease name or watch key: closed at the next change
	watchers     int                      // clients that wait for a change

	leaderClock      leaderClock
	commandsInFlight atomic.Int64
	rejected         atomic.Int64   // requests rejected because of a limit
	tableRetries     *retrySchedule // retry times of clients rejected by a full table
	commandRetries   *retrySchedule // retry times of clients rejected by too many commands in flight
	readBarrier      sharedBarrier
	duplicates       duplicateCommands

	latencyMu     sync.Mutex              // guards commitLatency
	commitLatency *hdrhistogram.Histogram // of commands, in microseconds from receipt to response

	cancel context.CancelFunc // stops the goroutines of wg
	wg     sync.WaitGroup     // advanceTime and advanceEpoch
}

func newNode(o Options) *Node {
	return &Node{
		options:        o,
		state:          coord.New(),
		watches:        map[string]chan struct{}{},
		commitLatency:  newLatencyHistogram(),
		tableRetries:   newTableRetrySchedule(),
		commandRetries: newCommandRetrySchedule(),
	}
}

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, histogramDigits)
}

// recordLatency records the time since began. The caller must hold the lock of the histogram.
func recordLatency(histogram *hdrhistogram.Histogram, began time.Time) {
	_ = histogram.RecordValue(min(time.Since(began).Microseconds(), maxRecordedMicros)) // can't fail: within range
}

// Start opens the directory and starts the coordinator. Close stops it.
func Start(o Options) (n *Node, err error) {
	if o.HeartbeatTimeout == 0 {
		o.HeartbeatTimeout = defaultHeartbeatTimeout
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.OnFatal == nil {
		o.OnFatal = func(err error) { panic(err) }
	}
	n = newNode(o)
	log := hclog.New(&hclog.LoggerOptions{
		Name:        "raft",
		Level:       hclog.Warn,
		Output:      logWriter{o.Log},
		DisableTime: true,
	})
	snapshots, snapshotIndex, err := openSnapshots(o.Directory, log)
	if err != nil {
		return nil, err
	}
	n.store, err = openStore(o.Directory, snapshotIndex, o.OnFatal)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, n.store.Close())
		}
	}()
	if err := n.loadIdentity(); err != nil {
		return nil, err
	}
	if err := n.startRaft(snapshots, log); err != nil {
		return nil, err
	}
	n.readBarrier.propose = func() error { return n.raft.Barrier(proposeTimeout).Error() }
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wg.Go(func() { n.advanceTime(ctx) })
	n.wg.Go(func() { n.advanceEpoch(ctx) })
	return n, nil
}

// startRaft listens for peers and starts the consensus library.
func (n *Node) startRaft(snapshots raft.SnapshotStore, log hclog.Logger) error {
	listener, err := net.Listen("tcp", n.options.ListenAddress)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.peers = &peerLayer{Listener: listener, node: n, connections: map[net.Conn]bool{}}
	n.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:                  n.peers,
		MaxPool:                 peerConnectionPool,
		Timeout:                 peerTimeout,
		Logger:                  log,
		MsgpackUseNewTimeFormat: true,
	})
	n.raft, err = raft.NewRaft(n.raftConfig(log), (*stateMachine)(n), n.store, n.store, snapshots, n.transport)
	if err != nil {
		return errors.Join(fmt.Errorf("raft: %w", err), n.transport.Close())
	}
	return nil
}

func (n *Node) raftConfig(log hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.identity)
	c.Logger = log
	c.HeartbeatTimeout = n.options.HeartbeatTimeout
	c.ElectionTimeout = n.options.HeartbeatTimeout
	c.LeaderLeaseTimeout = n.options.HeartbeatTimeout
	c.CommitTimeout = commitTimeout
	c.SnapshotThreshold = n.options.SnapshotEntries
	c.SnapshotInterval = snapshotCheckInterval
	c.TrailingLogs = n.options.SnapshotEntries/2 + 1
	c.BatchApplyCh = true
	c.NoLegacyTelemetry = true
	return c
}

// openSnapshots opens the directory's snapshot store and returns the log index that its most recent
// snapshot covers, or 0.
func openSnapshots(directory string, log hclog.Logger) (*raft.FileSnapshotStore, uint64, error) {
	store, err := raft.NewFileSnapshotStoreWithLogger(directory, retainedSnapshots, log)
	if err != nil {
		return nil, 0, err
	}
	all, err := store.List()
	if err != nil || len(all) == 0 {
		return store, 0, err
	}
	return store, all[0].Index, nil
}

// logWriter forwards the library's log events, one per Write.
type logWriter struct{ log *slog.Logger }

func (w logWriter) Write(p []byte) (int, error) {
	if w.log != nil {
		w.log.Warn("consensus", "text", strings.TrimSpace(string(p)))
	}
	return len(p), nil
}

// Leader returns the name of the leader that this coordinator knows, or "".
func (n *Node) Leader() string {
	address, _ := n.raft.LeaderWithID()
	leader, err := parsePeerAddress(address)
	if err != nil {
		return ""
	}
	return leader.name
}

// Close stops the coordinator and its goroutines.
func (n *Node) Close() error {
	n.cancel()
	err := n.raft.Shutdown().Error()
	n.wg.Wait()
	return errors.Join(err, n.transport.Close(), n.store.Close())
}

// MakeDirectory creates a coordinator's directory if it doesn't exist.
func MakeDirectory(directory string) error {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return fmt.Errorf("dir: %w", err)
	}
	return os.MkdirAll(filepath.Join(directory, "snapshots"), 0o700)
}
