// Package node runs one coordinator: the consensus library (hashicorp/raft) with its log in bbolt, its snapshots in files and
// its transport, around the machine of package coord. Clients' commands come over HTTP (see Handler).
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	mrand "math/rand/v2"
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
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/failpoint"
)

// Options are those of one coordinator.
type Options struct {
	Name             string            // unique among the coordinators
	Directory        string            // of log, snapshots and identity; it must be there
	ListenAddress    string            // for the other coordinators
	ClientAddress    string            // for clients
	PeerAddresses    map[string]string // other coordinators' addresses as they are reached from here, by name; else as they are known to all
	ClockRateBound   float64           // bound on the rate of all clocks
	SnapshotEntries  uint64            // entries between two snapshots
	HeartbeatTimeout time.Duration     // how long a leader may be silent before another is chosen
	Log              *slog.Logger
	OnFatal          func(error) // the process must end now
}

func (o Options) peerAddress(id string) string { return o.Name + "/" + id + "@" + o.ListenAddress }

// Bounds and times of a coordinator.
const (
	MaxCommandsInFlight = 8192 // of clients, under way at once: as many as sessions, as all may keep theirs at once
	// MaxOtherCommandsInFlight are under way at once that keep no session: about what a busy leader carries out in the second for which
	// clients wait (4,470 small ones were measured). Beyond it who comes is told when to come back, and sessions that are there are kept.
	MaxOtherCommandsInFlight = 4096
	MaxWatchers              = 16384                  // clients that wait for a change: two for each session
	tickInterval             = 200 * time.Millisecond // time passes in the agreed state at least this often
	maxElapsedPerCommand     = time.Second            // at most so much passes with one command: a leader that was stopped ends nobody at once
	proposeTimeout           = 2 * time.Second        // a command is taken over by the library
)

const defaultEpochInterval = 10 * time.Second

// Node is one coordinator.
type Node struct {
	options    Options
	identity   string // of the directory
	nonce      uint64 // of this run
	startEpoch uint64 // the disk's epoch when it started
	epoch      atomic.Uint64
	peerRunsMu sync.Mutex // guards what the disk knows of the others' runs
	store      *diskStore
	raft       *raft.Raft
	transport  *raft.NetworkTransport
	peers      *peerLayer

	mu           sync.Mutex // guards state, applied and waiting
	state        *coord.State
	appliedIndex uint64
	watches      map[string]chan struct{} // by lease: closed when it changes
	watchers     int                      // of who waits

	leaderClock struct { // the leader's clock
		sync.Mutex
		term uint64
		last time.Duration
	}
	commandsInFlight atomic.Int64      // commands under way
	rejected         atomic.Int64      // as a bound was reached
	tableReturns     *returnSchedule   // of clients that found a table full,
	commandReturns   *returnSchedule   // or too many commands under way
	readBarrier      sharedBarrier     // of readers
	duplicates       duplicateCommands // of commands under way

	latencyMu     sync.Mutex
	commitLatency *hdrhistogram.Histogram // of commands, from when they came to their answer, in microseconds

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start opens the directory and takes part. Close ends it.
func Start(o Options) (n *Node, err error) {
	if o.HeartbeatTimeout == 0 {
		o.HeartbeatTimeout = 250 * time.Millisecond
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = 8192
	}
	if o.OnFatal == nil {
		o.OnFatal = func(err error) { panic(err) }
	}
	n = &Node{options: o, state: coord.New(), watches: map[string]chan struct{}{}, commitLatency: hdrhistogram.New(1, 60_000_000, 2),
		tableReturns: tableReturns(), commandReturns: commandReturns()}
	log := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{o.Log}, DisableTime: true})
	snaps, floor, err := openSnapshots(o.Directory, log)
	if err != nil {
		return nil, err
	}
	if n.store, err = openStore(o.Directory, floor, o.OnFatal); err != nil {
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
	ln, err := net.Listen("tcp", o.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	n.peers = &peerLayer{Listener: ln, node: n, connections: map[net.Conn]bool{}}
	n.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: n.peers, MaxPool: 3, Timeout: 2 * time.Second,
		Logger: log, MsgpackUseNewTimeFormat: true})
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(n.identity), log
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = o.HeartbeatTimeout, o.HeartbeatTimeout, o.HeartbeatTimeout
	c.CommitTimeout = 20 * time.Millisecond
	c.SnapshotThreshold, c.SnapshotInterval, c.TrailingLogs = o.SnapshotEntries, 2*time.Second, o.SnapshotEntries/2+1
	c.BatchApplyCh, c.NoLegacyTelemetry = true, true
	if n.raft, err = raft.NewRaft(c, (*stateMachine)(n), n.store, n.store, snaps, n.transport); err != nil {
		return nil, errors.Join(fmt.Errorf("raft: %w", err), n.transport.Close())
	}
	n.readBarrier.propose = func() error { return n.raft.Barrier(proposeTimeout).Error() }
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wg.Go(func() { n.advanceTime(ctx) })
	n.wg.Go(func() { n.advanceEpoch(ctx) })
	return n, nil
}

// openSnapshots opens the directory's snapshots and tells the last entry that the newest of them holds.
func openSnapshots(dir string, log hclog.Logger) (store *raft.FileSnapshotStore, last uint64, err error) {
	if store, err = raft.NewFileSnapshotStoreWithLogger(dir, 2, log); err != nil {
		return nil, 0, err
	}
	all, err := store.List()
	if err == nil && len(all) > 0 {
		last = all[0].Index
	}
	return store, last, err
}

// logWriter passes what the library writes on to the log, a line an event.
type logWriter struct{ log *slog.Logger }

func (w logWriter) Write(p []byte) (int, error) {
	if w.log != nil {
		w.log.Warn("consensus", "text", strings.TrimSpace(string(p)))
	}
	return len(p), nil
}

// loadIdentity reads the directory's identity and epoch, or gives it one where it is empty.
func (n *Node) loadIdentity() error {
	id, err := n.store.Get([]byte(identityKey))
	if err != nil && err.Error() != "not found" {
		return err
	}
	if err != nil {
		raw := make([]byte, 8)
		if _, err := rand.Read(raw); err != nil {
			return err
		}
		id = []byte(hex.EncodeToString(raw))
		if err := n.store.Set([]byte(identityKey), id); err != nil {
			return err
		}
	}
	n.identity = string(id)
	epoch, err := n.store.GetUint64([]byte(epochKey))
	if err != nil {
		return err
	}
	n.startEpoch, n.nonce = epoch+1, mrand.Uint64()
	n.epoch.Store(epoch + 1)
	return n.store.SetUint64([]byte(epochKey), epoch+1)
}

// checkPeerRun books the run of another coordinator, and tells why it must not be talked to, or "". A disk that is as it was left gives
// each start an epoch above all that it had told; one that was put back from a copy gives one that is not above. A first line that
// comes late, from the same run or one that has ended, says nothing of the disk.
func (n *Node) checkPeerRun(id string, r processRun) string {
	n.peerRunsMu.Lock()
	defer n.peerRunsMu.Unlock()
	k := []byte(peerRunKeyPrefix + id)
	var known processRun
	v, err := n.store.Get(k)
	switch {
	case err != nil && err.Error() != "not found":
		return err.Error()
	case err == nil && len(v) == 16:
		known.nonce, known.epoch = binary.LittleEndian.Uint64(v), binary.LittleEndian.Uint64(v[8:])
	}
	if r.nonce != known.nonce && r.startEpoch <= known.epoch {
		return fmt.Sprintf("%s (it started at epoch %d, and %d was seen)", outdatedDisk, r.startEpoch, known.epoch)
	}
	if r.nonce == known.nonce && r.epoch <= known.epoch {
		return ""
	}
	v = binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, r.nonce), r.epoch)
	if err := n.store.Set(k, v); err != nil {
		return err.Error()
	}
	return ""
}

// advanceEpoch lets the disk's epoch grow and tells all others, so that a copy put back later is known as one.
func (n *Node) advanceEpoch(ctx context.Context) {
	t := time.NewTicker(epochInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		next := n.epoch.Load() + 1
		if n.store.SetUint64([]byte(epochKey), next) != nil {
			return // fatal has been called
		}
		n.epoch.Store(next)
		for _, s := range n.voters() {
			if string(s.ID) != n.identity {
				if c, err := n.peers.Dial(s.Address, handshakeTimeout); err == nil {
					c.Close()
				}
			}
		}
	}
}

func (n *Node) voters() []raft.Server {
	f := n.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}

// Close ends the coordinator.
func (n *Node) Close() error {
	n.cancel()
	err := n.raft.Shutdown().Error()
	n.wg.Wait()
	return errors.Join(err, n.transport.Close(), n.store.Close())
}

// advanceTime lets time pass in the agreed state while this coordinator leads, and tells the bound on clock rate where it changed.
func (n *Node) advanceTime(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if n.raft.State() != raft.Leader {
			continue
		}
		n.mu.Lock()
		idle, rate := len(n.state.Sessions) == 0, n.state.ClockRateBound
		n.mu.Unlock()
		n.leaderClock.Lock()
		fresh := clock.Now()-n.leaderClock.last < tickInterval/2
		n.leaderClock.Unlock()
		switch {
		case rate != n.options.ClockRateBound:
			_, _ = n.Propose(coord.Command{Op: coord.OpSetClockRate, ClockRateBound: n.options.ClockRateBound}) // the next tick tries again
		case !idle && !fresh:
			_, _ = n.Propose(coord.Command{Op: coord.OpTick}) // likewise
		}
	}
}

// ErrNotLeader tells that another coordinator must be asked, or that what became of the command isn't known; it may be
// repeated with its number.
var ErrNotLeader = errors.New("not the leader")

// Propose has a command agreed on and carried out.
func (n *Node) Propose(c coord.Command) (coord.Response, error) {
	limit := int64(maxCommands(c.Op))
	if n.commandsInFlight.Add(1) > limit {
		n.commandsInFlight.Add(-1)
		return n.withRetryAfter(coord.Response{Code: coord.CodeLimitReached, Text: fmt.Sprintf("commands under way: %d at most", limit)}, n.commandReturns), nil
	}
	defer n.commandsInFlight.Add(-1)
	if a, refused := n.rejectsSession(c); refused {
		return n.withRetryAfter(a, n.tableReturns), nil
	}
	return n.duplicates.do(c, func() (coord.Response, error) { return n.proposeAndWait(c) })
}

// maxCommands is how many commands may be under way where one more is to be carried out.
func maxCommands(op coord.Op) int {
	if op == coord.OpKeepAlive {
		return MaxCommandsInFlight
	}
	return MaxOtherCommandsInFlight
}

// proposeAndWait has a command written to the log and waits until it is carried out.
func (n *Node) proposeAndWait(c coord.Command) (coord.Response, error) {
	began := time.Now()
	n.mu.Lock()
	c.Version = n.state.Version
	n.mu.Unlock()
	f, err := n.submit(c)
	if err != nil {
		return coord.Response{}, err
	}
	if err := f.Error(); err != nil {
		return coord.Response{}, fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	a, ok := f.Response().(coord.Response)
	if !ok {
		return a, fmt.Errorf("no answer: %v", f.Response())
	}
	if a.Code == coord.CodeLimitReached {
		a = n.withRetryAfter(a, n.tableReturns)
	}
	n.latencyMu.Lock()
	_ = n.commitLatency.RecordValue(min(time.Since(began).Microseconds(), 60_000_000)) // within the bound
	n.latencyMu.Unlock()
	return a, nil
}

// submit measures what has passed on the leader's clock and hands the command to the library, in one order: the log's.
func (n *Node) submit(c coord.Command) (raft.ApplyFuture, error) {
	n.leaderClock.Lock()
	defer n.leaderClock.Unlock()
	// The clock is read after the term: what another leader has measured before this term was chosen can't be in it, and
	// the machine drops it if the entry comes to stand under another term.
	c.Term = n.raft.CurrentTerm()
	now := clock.Now()
	if c.Term == n.leaderClock.term {
		c.Elapsed = min(now-n.leaderClock.last, maxElapsedPerCommand)
	}
	if failpoint.Is("wall-clock") {
		now = time.Duration(clock.Wall().UnixNano())
		if c.Term == n.leaderClock.term {
			c.Elapsed = now - n.leaderClock.last
		}
	}
	n.leaderClock.term, n.leaderClock.last = c.Term, now
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	if n.raft.State() != raft.Leader {
		return nil, ErrNotLeader
	}
	return n.raft.Apply(text, proposeTimeout), nil
}

// LinearizableRead calls f with the state as all have agreed on it, not older than the call.
func (n *Node) LinearizableRead(f func(*coord.State)) error {
	if !failpoint.Is("stale-read") {
		if n.raft.State() != raft.Leader {
			return ErrNotLeader
		}
		if err := n.readBarrier.wait(); err != nil {
			return fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.state)
	return nil
}

// WatchLease waits until a lease is held with another token than this one (0: is free), has another record, or ctx ends. It tells
// nothing but that it may be worth asking.
func (n *Node) WatchLease(ctx context.Context, lease string, token uint64) error {
	return n.watch(ctx, lease, func(s *coord.State) bool {
		l := s.Leases[lease]
		return (l == nil) != (token == 0) || l != nil && l.Token != token
	})
}

// What may be watched beside leases, whose names have no such byte.
const (
	rolloutWatchKey = "\x00rollout"
	drainsWatchKey  = "\x00drains"
)

// WatchRollout waits until who is out has a newer version than this one, or ctx ends; with drains alone, until the set of
// drained servers has.
func (n *Node) WatchRollout(ctx context.Context, drains bool, after uint64) error {
	key := rolloutWatchKey
	if drains {
		key = drainsWatchKey
	}
	return n.watch(ctx, key, func(s *coord.State) bool {
		version, drain := s.RolloutVersions()
		return drains && drain > after || !drains && version > after
	})
}

// watch waits until what stands under the key may have changed, ctx ends, or news has it that there is no need to.
func (n *Node) watch(ctx context.Context, lease string, news func(*coord.State) bool) error {
	n.mu.Lock()
	if news(n.state) {
		n.mu.Unlock()
		return nil
	}
	if n.watchers >= MaxWatchers {
		n.mu.Unlock()
		n.rejected.Add(1)
		return &LimitError{Text: fmt.Sprintf("watchers: %d at most", MaxWatchers), RetryAfter: n.tableReturns.nextRetryAfter(clock.Now())}
	}
	c := n.watches[lease]
	if c == nil {
		c = make(chan struct{})
		n.watches[lease] = c
	}
	n.watchers++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.watchers--
		n.mu.Unlock()
	}()
	select {
	case <-c:
	case <-ctx.Done():
	}
	return nil
}

// Leader names the leader as far as it is known here; "" otherwise.
func (n *Node) Leader() string {
	addr, _ := n.raft.LeaderWithID()
	name, _, _, err := peerAddress(addr).split()
	if err != nil {
		return ""
	}
	return name
}

// stateMachine is the agreed state as the library drives it.
type stateMachine Node

// Apply carries out an entry of the log.
func (m *stateMachine) Apply(l *raft.Log) any {
	var c coord.Command
	if err := json.Unmarshal(l.Data, &c); err != nil { // all coordinators refuse it alike
		return coord.Response{Code: coord.CodeInvalid, Text: err.Error()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	version, drains := m.state.RolloutVersions()
	revision := m.state.Revision()
	a := m.state.Apply(c, l.Term)
	if a.Code == coord.CodeUnknownVersion { // going on would leave this state behind the others'
		m.options.OnFatal(fmt.Errorf("%s: this program is too old for what the others agree on", a.Text))
	}
	m.appliedIndex = l.Index
	changed := m.state.ChangedLeases()
	if v, d := m.state.RolloutVersions(); v != version {
		changed = append(changed, rolloutWatchKey)
		if d != drains {
			changed = append(changed, drainsWatchKey)
		}
	}
	if m.state.Revision() != revision {
		changed = append(changed, documentsWatchKey)
	}
	for _, name := range changed {
		if w := m.watches[name]; w != nil {
			close(w)
			delete(m.watches, name)
		}
	}
	return a
}

// Snapshot takes the state as it is.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	crashPoint("snapshot-begun")
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := m.state.Marshal()
	crashPoint("snapshot-taken")
	return stateSnapshot(text), err
}

// Restore replaces the state by a snapshot.
func (m *stateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	crashPoint("restore-begun")
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	s, err := coord.Unmarshal(text)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	for name, w := range m.watches { // all may have changed
		close(w)
		delete(m.watches, name)
	}
	return nil
}

type stateSnapshot []byte

// Persist writes the snapshot; the library syncs it and gives it its name.
func (s stateSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s[:len(s)/2]); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	crashPoint("snapshot-half-written")
	if _, err := sink.Write(s[len(s)/2:]); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	crashPoint("snapshot-written")
	err := sink.Close()
	crashPoint("snapshot-named") // and the log not cut yet
	return err
}

// Release lets the state go.
func (stateSnapshot) Release() {}

// Recover makes a coordinator's directory the only voter's, after a majority was lost for good, and raises all tokens above
// any that the lost ones may have given. What they had agreed on and this one hadn't heard of is gone.
func Recover(o Options) error {
	n := &Node{options: o, state: coord.New(), watches: map[string]chan struct{}{}}
	snaps, floor, err := openSnapshots(o.Directory, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	disk, err := openStore(o.Directory, floor, o.OnFatal)
	if err != nil {
		return err
	}
	n.store = disk
	if err := n.loadIdentity(); err != nil {
		return errors.Join(err, disk.Close())
	}
	addr, trans := raft.NewInmemTransport(raft.ServerAddress(o.peerAddress(n.identity)))
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(n.identity), hclog.NewNullLogger()
	err = raft.RecoverCluster(c, (*recoveryStateMachine)(n), disk, disk, snaps, trans, raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(n.identity), Address: addr}}})
	return errors.Join(err, disk.Close())
}

// recoveryStateMachine is the machine whose snapshot has its tokens raised and its sessions ended: nobody holds anything.
type recoveryStateMachine Node

func (m *recoveryStateMachine) Apply(l *raft.Log) any         { return (*stateMachine)(m).Apply(l) }
func (m *recoveryStateMachine) Restore(r io.ReadCloser) error { return (*stateMachine)(m).Restore(r) }
func (m *recoveryStateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Apply(coord.Command{Version: coord.Version, Op: coord.OpRaiseTokens, Token: m.state.LastToken + 1<<40}, 0)
	text, err := m.state.Marshal()
	return stateSnapshot(text), err
}

// MakeDirectory makes a coordinator's directory.
func MakeDirectory(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("dir: %w", err)
	}
	return os.MkdirAll(filepath.Join(dir, "snapshots"), 0o700)
}
