// Package largefleet plays one real router before thousands of cache servers, while their list changes
// in the ways that discovery tells it, on a processor that the router shares with others. It judges
// from outside whether each request got its final answer, and measures what the router used.
package largefleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/model"
)

// ListChange says how the list of servers changes, and how discovery tells it.
type ListChange string

// The changes of the list.
const (
	// NoChange leaves the list as it is.
	NoChange ListChange = "none"
	// ReplaceAtOnce replaces six in ten servers by new ones, in one answer.
	ReplaceAtOnce ListChange = "replace-at-once"
	// ReplaceOneByOne does so one server at a time, spread over changeTime.
	ReplaceOneByOne ListChange = "replace-one-by-one"
	// ReplaceInPieces does so a hundred servers at a time.
	ReplaceInPieces ListChange = "replace-in-pieces"
	// ReplaceOutOfOrder does so with each change told up to 1.5 s late, and so out of order.
	ReplaceOutOfOrder ListChange = "replace-out-of-order"
	// ReplaceByWholeLists does so in pieces, each told as a complete list.
	ReplaceByWholeLists ListChange = "replace-by-whole-lists"
	// ShrinkAndReturn removes two thirds of the servers at once and adds them again.
	ShrinkAndReturn ListChange = "shrink-and-return"
	// RestartInPlace restarts all servers at their addresses, told in one answer.
	RestartInPlace ListChange = "restart-in-place"
	// SucceedInPlace puts new servers at the addresses of all others, told in one answer.
	SucceedInPlace ListChange = "succeed-in-place"
	// DrainQuarter begins to drain a quarter of the servers, one at a time.
	DrainQuarter ListChange = "drain-quarter"
)

// ListChanges are all changes of the list.
var ListChanges = []ListChange{NoChange, ReplaceAtOnce, ReplaceOneByOne, ReplaceInPieces, ReplaceOutOfOrder,
	ReplaceByWholeLists, ShrinkAndReturn, RestartInPlace, SucceedInPlace, DrainQuarter}

// ProcessEvent says what happens to the router's process meanwhile.
type ProcessEvent string

// The events of the process.
const (
	// NoEvent lets the process run.
	NoEvent ProcessEvent = "none"
	// Upgrade starts a second process that takes over, and ends the first once the second is ready.
	Upgrade ProcessEvent = "upgrade"
	// HastyUpgrade ends the first process some 0.5 s after the start of the second, ready or not.
	HastyUpgrade ProcessEvent = "hasty-upgrade"
	// Restart ends the process and starts another one.
	Restart ProcessEvent = "restart"
	// Crash kills the process and starts another one.
	Crash ProcessEvent = "crash"
	// Reload sends five SIGHUP within 0.1 s.
	Reload ProcessEvent = "reload"
	// MoveDiscovery moves discovery to another address, told by SIGHUP.
	MoveDiscovery ProcessEvent = "move-discovery"
)

// ProcessEvents are all events of the process.
var ProcessEvents = []ProcessEvent{NoEvent, Upgrade, HastyUpgrade, Restart, Crash, Reload, MoveDiscovery}

// Params says what to play.
type Params struct {
	// Command starts the router.
	Command []string
	Seed    uint64
	// Servers is the number of cache servers.
	Servers int
	// BusyLoops is the number of processes that share the router's processor and never rest; without any,
	// the router has the whole machine.
	BusyLoops int
	// Slot selects the processor that is shared.
	Slot   int
	Change ListChange
	Event  ProcessEvent
	// Duration is how long requests are sent.
	Duration time.Duration
	// Outage is how long discovery is down before it tells the change.
	Outage time.Duration
	// Wait is how long a client waits for its answer.
	Wait time.Duration
	// PerSecond is the number of requests a second.
	PerSecond float64
	// LeaveShare is the share of clients that leave within 0.1 s.
	LeaveShare float64
	// HangShare is the share of the servers that read requests and never answer.
	HangShare float64
	// SilencesWatches is set if the watches that are open when the list begins to change are never answered.
	SilencesWatches bool
	// IsAgent is set if discovery is an agent of the router's own.
	IsAgent bool
	// MemoryMB and Sockets are the router's limits.
	MemoryMB, Sockets int
}

const (
	routerName = "r0"
	// firstChangeAt is when the list begins to change, and changeTime how long that takes where it is not
	// told in one answer.
	firstChangeAt = 3 * time.Second
	changeTime    = 7 * time.Second
	// eventDelay is how long after the first change the process gets its event.
	eventDelay = 1500 * time.Millisecond
	// pieces is the number of pieces of a list that is told in pieces.
	pieces = 20
	// replacedShare is the share of the servers that are replaced, and shrunkShare of those removed.
	replacedShare = 0.6
	shrunkShare   = 2.0 / 3
	drainedShare  = 0.25
	// outOfOrderLateMS is how late a change is told at most if changes come out of order, ms.
	outOfOrderLateMS = 1500
	// drainGrace is how long after it was told of a drain the router may still send to a server, with the
	// slack of the rule.
	drainGrace = 2 * time.Second
	// leaveSlack is how long after a client has left an attempt for it may begin.
	leaveSlack = 150 * time.Millisecond
	// maxEvents limits the events of the lists that were sent.
	maxEvents = 2_000_000
)

// player holds a run in progress.
type player struct {
	params    Params
	dir       string
	rng       *rand.Rand
	clock     *fakes.Clock
	journal   *checker.Journal
	servers   *cacheServers
	origin    *origin
	discovery *fakes.Discovery
	usage     usage
	listen    string
	listAt    string
	adminAt   string
	// entries is the list, and next the number of the next new server.
	entries []model.Entry
	next    int
	// mu guards current, the newest process.
	mu      sync.Mutex
	current *process
}

// Play plays a run with logs in dir, and returns what clients and servers saw.
func Play(ctx context.Context, params Params, dir string) (result Result, err error) {
	p := &player{params: params, dir: dir, rng: rand.New(rand.NewPCG(params.Seed, 5)), clock: fakes.NewClock(),
		journal: checker.NewJournal(maxEvents),
		usage:   usage{sampledMB: map[int]float64{}, sampledFiles: map[int]int{}}}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return result, fmt.Errorf("large fleet: %w", err)
	}
	if p.listen, err = fleet.FreeAddr(); err != nil {
		return result, err
	}
	if p.servers, err = startCacheServers(p.clock, p.params.HangShare); err != nil {
		return result, err
	}
	defer p.servers.close()
	if p.origin, err = startOrigin(); err != nil {
		return result, err
	}
	defer p.origin.close()
	if err := p.startDiscovery(); err != nil {
		return result, err
	}
	defer p.discovery.Close()
	return p.play(ctx)
}

// startDiscovery starts discovery with the first list.
func (p *player) startDiscovery() (err error) {
	for range p.params.Servers {
		p.entries = append(p.entries, p.newEntry(0))
	}
	all := append(slices.Clone(p.entries), model.Entry{ID: "s-ffffff63", Addr: p.origin.listener.Addr().String(),
		Zone: "a", Kind: "origin", State: "active", Weight: 1})
	directory := model.DirectoryParams{}
	if p.params.Change == ReplaceOutOfOrder {
		directory.LateMS[1] = outOfOrderLateMS
	}
	p.discovery = fakes.NewDiscovery(directory, p.params.Seed, all, p.clock, p.journal)
	p.listAt, err = p.openDiscovery()
	return err
}

func (p *player) openDiscovery() (string, error) {
	return p.discovery.OpenListener(routerName, func(e model.Entry) string { return e.Addr })
}

// newEntry returns a server that is not on the list yet.
func (p *player) newEntry(startedMillis float64) model.Entry {
	number := p.next
	p.next++
	return model.Entry{ID: fmt.Sprintf("s-%08x", 11+7*number), Addr: p.servers.addr(number), Zone: "a", Kind: "box",
		State: "active", Weight: 1, Started: startedMillis}
}

// play runs router and load while the list changes.
func (p *player) play(ctx context.Context) (result Result, err error) {
	if err := p.writeConfig(p.listAt); err != nil {
		return result, err
	}
	p.current, err = p.startProcess()
	defer func() { p.stop(p.newest()) }()
	if err != nil {
		return result, err
	}
	stopLoops, err := p.startBusyLoops()
	if err != nil {
		return result, err
	}
	defer stopLoops()
	l := &load{clock: p.clock, address: p.listen, params: p.params, rng: rand.New(rand.NewPCG(p.params.Seed, 6))}
	loaded, stopLoad := context.WithTimeout(ctx, p.params.Duration)
	defer stopLoad()
	var running sync.WaitGroup
	running.Go(func() { p.changeList(loaded) })
	var eventErr error
	running.Go(func() {
		if pause(loaded, firstChangeAt+p.params.Outage+eventDelay) {
			eventErr = p.playEvent(loaded)
		}
	})
	l.run(loaded)
	running.Wait()
	p.stop(p.newest())
	return p.judge(l.exchanges), errors.Join(eventErr, ctx.Err())
}

func (p *player) newest() *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// pause waits, and reports whether ctx has not ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
