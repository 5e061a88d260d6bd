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
	Name          string            // unique among the coordinators
	Dir           string            // of log, snapshots and identity; it must be there
	Listen        string            // for the other coordinators
	API           string            // for clients
	Peers         map[string]string // other coordinators' addresses as they are reached from here, by name; else as they are known to all
	Rate          float64           // bound on the rate of all clocks
	SnapshotEvery uint64            // entries between two snapshots
	Beat          time.Duration     // how long a leader may be silent before another is chosen
	Log           *slog.Logger
	Fatal         func(error) // the process must end now
}

func (o Options) address(id string) string { return o.Name + "/" + id + "@" + o.Listen }

// Bounds and times of a coordinator.
const (
	MaxCommands = 8192 // of clients, under way at once: as many as sessions, as all may keep theirs at once
	// MaxOtherCommands are under way at once that keep no session: about what a busy leader carries out in the second for which
	// clients wait (4,470 small ones were measured). Beyond it who comes is told when to come back, and sessions that are there are kept.
	MaxOtherCommands = 4096
	MaxWatchers      = 16384                  // clients that wait for a change: two for each session
	tickEvery        = 200 * time.Millisecond // time passes in the agreed state at least this often
	maxAdvance       = time.Second            // at most so much passes with one command: a leader that was stopped ends nobody at once
	applyWithin      = 2 * time.Second        // a command is taken over by the library
)

const defaultEpochEvery = 10 * time.Second

// Node is one coordinator.
type Node struct {
	o     Options
	id    string // of the directory
	nonce uint64 // of this run
	began uint64 // the disk's epoch when it started
	epoch atomic.Uint64
	meet  sync.Mutex // guards what the disk knows of the others' runs
	disk  *disk
	raft  *raft.Raft
	trans *raft.NetworkTransport
	link  *link

	mu      sync.Mutex // guards state, applied and waiting
	state   *coord.State
	applied uint64
	waiting map[string]chan struct{} // by lease: closed when it changes
	count   int                      // of who waits

	stamp struct { // the leader's clock
		sync.Mutex
		term uint64
		last time.Duration
	}
	under    atomic.Int64    // commands under way
	refused  atomic.Int64    // as a bound was reached
	tables   *returnSchedule // of clients that found a table full,
	commands *returnSchedule // or too many commands under way
	barrier  sharedBarrier   // of readers
	repeats  repeats         // of commands under way

	figures sync.Mutex
	commits *hdrhistogram.Histogram // of commands, from when they came to their answer, in microseconds

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start opens the directory and takes part. Close ends it.
func Start(o Options) (n *Node, err error) {
	if o.Beat == 0 {
		o.Beat = 250 * time.Millisecond
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = 8192
	}
	if o.Fatal == nil {
		o.Fatal = func(err error) { panic(err) }
	}
	n = &Node{o: o, state: coord.New(), waiting: map[string]chan struct{}{}, commits: hdrhistogram.New(1, 60_000_000, 2),
		tables: tableReturns(), commands: commandReturns()}
	log := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{o.Log}, DisableTime: true})
	snaps, floor, err := snapshots(o.Dir, log)
	if err != nil {
		return nil, err
	}
	if n.disk, err = openDisk(o.Dir, floor, o.Fatal); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, n.disk.Close())
		}
	}()
	if err := n.identify(); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	n.link = &link{Listener: ln, n: n, conns: map[net.Conn]bool{}}
	n.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: n.link, MaxPool: 3, Timeout: 2 * time.Second,
		Logger: log, MsgpackUseNewTimeFormat: true})
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(n.id), log
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = o.Beat, o.Beat, o.Beat
	c.CommitTimeout = 20 * time.Millisecond
	c.SnapshotThreshold, c.SnapshotInterval, c.TrailingLogs = o.SnapshotEvery, 2*time.Second, o.SnapshotEvery/2+1
	c.BatchApplyCh, c.NoLegacyTelemetry = true, true
	if n.raft, err = raft.NewRaft(c, (*machine)(n), n.disk, n.disk, snaps, n.trans); err != nil {
		return nil, errors.Join(fmt.Errorf("raft: %w", err), n.trans.Close())
	}
	n.barrier.propose = func() error { return n.raft.Barrier(applyWithin).Error() }
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wg.Go(func() { n.tick(ctx) })
	n.wg.Go(func() { n.age(ctx) })
	return n, nil
}

// snapshots opens the directory's snapshots and tells the last entry that the newest of them holds.
func snapshots(dir string, log hclog.Logger) (store *raft.FileSnapshotStore, last uint64, err error) {
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

// identify reads the directory's identity and epoch, or gives it one where it is empty.
func (n *Node) identify() error {
	id, err := n.disk.Get([]byte(identityKey))
	if err != nil && err.Error() != "not found" {
		return err
	}
	if err != nil {
		raw := make([]byte, 8)
		if _, err := rand.Read(raw); err != nil {
			return err
		}
		id = []byte(hex.EncodeToString(raw))
		if err := n.disk.Set([]byte(identityKey), id); err != nil {
			return err
		}
	}
	n.id = string(id)
	epoch, err := n.disk.GetUint64([]byte(epochKey))
	if err != nil {
		return err
	}
	n.began, n.nonce = epoch+1, mrand.Uint64()
	n.epoch.Store(epoch + 1)
	return n.disk.SetUint64([]byte(epochKey), epoch+1)
}

// seen books the run of another coordinator, and tells why it must not be talked to, or "". A disk that is as it was left gives
// each start an epoch above all that it had told; one that was put back from a copy gives one that is not above. A first line that
// comes late, from the same run or one that has ended, says nothing of the disk.
func (n *Node) seen(id string, r run) string {
	n.meet.Lock()
	defer n.meet.Unlock()
	k := []byte(seenKey + id)
	var known run
	v, err := n.disk.Get(k)
	switch {
	case err != nil && err.Error() != "not found":
		return err.Error()
	case err == nil && len(v) == 16:
		known.nonce, known.epoch = binary.LittleEndian.Uint64(v), binary.LittleEndian.Uint64(v[8:])
	}
	if r.nonce != known.nonce && r.start <= known.epoch {
		return fmt.Sprintf("%s (it started at epoch %d, and %d was seen)", oldDisk, r.start, known.epoch)
	}
	if r.nonce == known.nonce && r.epoch <= known.epoch {
		return ""
	}
	v = binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, r.nonce), r.epoch)
	if err := n.disk.Set(k, v); err != nil {
		return err.Error()
	}
	return ""
}

// age lets the disk's epoch grow and tells all others, so that a copy put back later is known as one.
func (n *Node) age(ctx context.Context) {
	t := time.NewTicker(epochEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		next := n.epoch.Load() + 1
		if n.disk.SetUint64([]byte(epochKey), next) != nil {
			return // fatal has been called
		}
		n.epoch.Store(next)
		for _, s := range n.voters() {
			if string(s.ID) != n.id {
				if c, err := n.link.Dial(s.Address, helloWithin); err == nil {
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
	return errors.Join(err, n.trans.Close(), n.disk.Close())
}

// tick lets time pass in the agreed state while this coordinator leads, and tells the bound on clock rate where it changed.
func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
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
		idle, rate := len(n.state.Sessions) == 0, n.state.Rate
		n.mu.Unlock()
		n.stamp.Lock()
		fresh := clock.Now()-n.stamp.last < tickEvery/2
		n.stamp.Unlock()
		switch {
		case rate != n.o.Rate:
			_, _ = n.Do(coord.Command{Op: coord.Configure, Rate: n.o.Rate}) // the next tick tries again
		case !idle && !fresh:
			_, _ = n.Do(coord.Command{Op: coord.Tick}) // likewise
		}
	}
}

// ErrNotLeader tells that another coordinator must be asked, or that what became of the command isn't known; it may be
// repeated with its number.
var ErrNotLeader = errors.New("not the leader")

// Do has a command agreed on and carried out.
func (n *Node) Do(c coord.Command) (coord.Answer, error) {
	limit := int64(maxCommands(c.Op))
	if n.under.Add(1) > limit {
		n.under.Add(-1)
		return n.full(coord.Answer{Code: coord.Full, Text: fmt.Sprintf("commands under way: %d at most", limit)}, n.commands), nil
	}
	defer n.under.Add(-1)
	if a, refused := n.refusesSession(c); refused {
		return n.full(a, n.tables), nil
	}
	return n.repeats.do(c, func() (coord.Answer, error) { return n.agree(c) })
}

// maxCommands is how many commands may be under way where one more is to be carried out.
func maxCommands(op coord.Op) int {
	if op == coord.Keep {
		return MaxCommands
	}
	return MaxOtherCommands
}

// agree has a command written to the log and waits until it is carried out.
func (n *Node) agree(c coord.Command) (coord.Answer, error) {
	began := time.Now()
	n.mu.Lock()
	c.V = n.state.V
	n.mu.Unlock()
	f, err := n.propose(c)
	if err != nil {
		return coord.Answer{}, err
	}
	if err := f.Error(); err != nil {
		return coord.Answer{}, fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	a, ok := f.Response().(coord.Answer)
	if !ok {
		return a, fmt.Errorf("no answer: %v", f.Response())
	}
	if a.Code == coord.Full {
		a = n.full(a, n.tables)
	}
	n.figures.Lock()
	_ = n.commits.RecordValue(min(time.Since(began).Microseconds(), 60_000_000)) // within the bound
	n.figures.Unlock()
	return a, nil
}

// propose measures what has passed on the leader's clock and hands the command to the library, in one order: the log's.
func (n *Node) propose(c coord.Command) (raft.ApplyFuture, error) {
	n.stamp.Lock()
	defer n.stamp.Unlock()
	// The clock is read after the term: what another leader has measured before this term was chosen can't be in it, and
	// the machine drops it if the entry comes to stand under another term.
	c.Term = n.raft.CurrentTerm()
	now := clock.Now()
	if c.Term == n.stamp.term {
		c.Advance = min(now-n.stamp.last, maxAdvance)
	}
	if failpoint.Is("wall-clock") {
		now = time.Duration(clock.Wall().UnixNano())
		if c.Term == n.stamp.term {
			c.Advance = now - n.stamp.last
		}
	}
	n.stamp.term, n.stamp.last = c.Term, now
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	if n.raft.State() != raft.Leader {
		return nil, ErrNotLeader
	}
	return n.raft.Apply(text, applyWithin), nil
}

// Read calls f with the state as all have agreed on it, not older than the call.
func (n *Node) Read(f func(*coord.State)) error {
	if !failpoint.Is("stale-read") {
		if n.raft.State() != raft.Leader {
			return ErrNotLeader
		}
		if err := n.barrier.wait(); err != nil {
			return fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.state)
	return nil
}

// Watch waits until a lease is held with another token than this one (0: is free), has another record, or ctx ends. It tells
// nothing but that it may be worth asking.
func (n *Node) Watch(ctx context.Context, lease string, token uint64) error {
	return n.watch(ctx, lease, func(s *coord.State) bool {
		l := s.Leases[lease]
		return (l == nil) != (token == 0) || l != nil && l.Token != token
	})
}

// What may be watched beside leases, whose names have no such byte.
const (
	rolloutKey = "\x00rollout"
	drainsKey  = "\x00drains"
)

// WatchRollout waits until who is out has a newer version than this one, or ctx ends; with drains alone, until the set of
// drained servers has.
func (n *Node) WatchRollout(ctx context.Context, drains bool, after uint64) error {
	key := rolloutKey
	if drains {
		key = drainsKey
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
	if n.count >= MaxWatchers {
		n.mu.Unlock()
		n.refused.Add(1)
		return &FullError{Text: fmt.Sprintf("watchers: %d at most", MaxWatchers), RetryAfter: n.tables.next(clock.Now())}
	}
	c := n.waiting[lease]
	if c == nil {
		c = make(chan struct{})
		n.waiting[lease] = c
	}
	n.count++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.count--
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
	name, _, _, err := address(addr).apart()
	if err != nil {
		return ""
	}
	return name
}

// machine is the agreed state as the library drives it.
type machine Node

// Apply carries out an entry of the log.
func (m *machine) Apply(l *raft.Log) any {
	var c coord.Command
	if err := json.Unmarshal(l.Data, &c); err != nil { // all coordinators refuse it alike
		return coord.Answer{Code: coord.Bad, Text: err.Error()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	version, drains := m.state.RolloutVersions()
	revision := m.state.Revision()
	a := m.state.Apply(c, l.Term)
	if a.Code == coord.Newer { // going on would leave this state behind the others'
		m.o.Fatal(fmt.Errorf("%s: this program is too old for what the others agree on", a.Text))
	}
	m.applied = l.Index
	changed := m.state.Changed()
	if v, d := m.state.RolloutVersions(); v != version {
		changed = append(changed, rolloutKey)
		if d != drains {
			changed = append(changed, drainsKey)
		}
	}
	if m.state.Revision() != revision {
		changed = append(changed, changesKey)
	}
	for _, name := range changed {
		if w := m.waiting[name]; w != nil {
			close(w)
			delete(m.waiting, name)
		}
	}
	return a
}

// Snapshot takes the state as it is.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	step("snapshot-begun")
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := m.state.Marshal()
	step("snapshot-taken")
	return snapshot(text), err
}

// Restore replaces the state by a snapshot.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	step("restore-begun")
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
	for name, w := range m.waiting { // all may have changed
		close(w)
		delete(m.waiting, name)
	}
	return nil
}

type snapshot []byte

// Persist writes the snapshot; the library syncs it and gives it its name.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s[:len(s)/2]); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	step("snapshot-half-written")
	if _, err := sink.Write(s[len(s)/2:]); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	step("snapshot-written")
	err := sink.Close()
	step("snapshot-named") // and the log not cut yet
	return err
}

// Release lets the state go.
func (snapshot) Release() {}

// Recover makes a coordinator's directory the only voter's, after a majority was lost for good, and raises all tokens above
// any that the lost ones may have given. What they had agreed on and this one hadn't heard of is gone.
func Recover(o Options) error {
	n := &Node{o: o, state: coord.New(), waiting: map[string]chan struct{}{}}
	snaps, floor, err := snapshots(o.Dir, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	disk, err := openDisk(o.Dir, floor, o.Fatal)
	if err != nil {
		return err
	}
	n.disk = disk
	if err := n.identify(); err != nil {
		return errors.Join(err, disk.Close())
	}
	addr, trans := raft.NewInmemTransport(raft.ServerAddress(o.address(n.id)))
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(n.id), hclog.NewNullLogger()
	err = raft.RecoverCluster(c, (*raised)(n), disk, disk, snaps, trans, raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(n.id), Address: addr}}})
	return errors.Join(err, disk.Close())
}

// raised is the machine whose snapshot has its tokens raised and its sessions ended: nobody holds anything.
type raised Node

func (m *raised) Apply(l *raft.Log) any         { return (*machine)(m).Apply(l) }
func (m *raised) Restore(r io.ReadCloser) error { return (*machine)(m).Restore(r) }
func (m *raised) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Apply(coord.Command{V: coord.Version, Op: coord.Raise, Token: m.state.Token + 1<<40}, 0)
	text, err := m.state.Marshal()
	return snapshot(text), err
}

// MakeDir makes a coordinator's directory.
func MakeDir(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("dir: %w", err)
	}
	return os.MkdirAll(filepath.Join(dir, "snapshots"), 0o700)
}
