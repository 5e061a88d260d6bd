package fleet

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/node"
	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/scenario"
)

const (
	relayDelayMillis = 60   // one-way delay of a delayed link
	fullDiskBytes    = 4096 // file size at which the simulated disk is full

	fullDiskEndS      = 0.3 // time for a coordinator that can't continue to exit
	damagedDiskEndS   = 1.0 // time for a coordinator that finds its disk damaged to exit
	emptyDiskWaitS    = 0.5 // time in which a coordinator with an empty disk must not act as its former voter
	replaceTimeout    = 60 * time.Second
	memberCallTimeout = 5 * time.Second
)

// relayFaults counts the faults in force on a relay, since faults may overlap.
type relayFaults struct{ cut, holdToTarget, holdFromTarget, delay int }

// network returns the relay's settings for these faults.
func (f *relayFaults) network() fakes.NetworkConditions {
	return fakes.NetworkConditions{Cut: f.cut > 0,
		HoldToTarget: f.holdToTarget > 0, HoldFromTarget: f.holdFromTarget > 0,
		DelayMS: relayDelayMillis * float64(f.delay)}
}

// relayFault selects the counter of one kind of fault.
type relayFault func(*relayFaults) *int

func cutFault(f *relayFaults) *int            { return &f.cut }
func holdToTargetFault(f *relayFaults) *int   { return &f.holdToTarget }
func holdFromTargetFault(f *relayFaults) *int { return &f.holdFromTarget }
func delayFault(f *relayFaults) *int          { return &f.delay }

// faultLinks puts a fault on relays and removes it after forS seconds.
func (a *coordinatorGroup) faultLinks(ctx context.Context, forS float64, fault relayFault, relays ...*fakes.Relay) {
	change := func(by int) {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, relay := range relays {
			faults := a.relayFaults[relay]
			*fault(faults) += by
			relay.SetConditions(faults.network())
		}
	}
	change(1)
	wait(ctx, forS)
	change(-1)
}

// faultProcess calls first, waits forS seconds and calls last. Faults of one process don't overlap:
// it does nothing while another fault of the process is in force.
func (a *coordinatorGroup) faultProcess(ctx context.Context, p *restartableProcess, forS float64, first, last func()) {
	a.mu.Lock()
	isFaulty := a.processFault[p]
	a.processFault[p] = true
	a.mu.Unlock()
	if isFaulty {
		return
	}
	first()
	wait(ctx, forS)
	last()
	a.mu.Lock()
	a.processFault[p] = false
	a.mu.Unlock()
}

// killAndRestart kills a process and starts it again after a time.
func (a *coordinatorGroup) killAndRestart(ctx context.Context, p *restartableProcess, forS float64) {
	a.faultProcess(ctx, p, forS, p.kill, func() { a.restart(p) })
}

// pauseAndResume pauses a process and resumes it after a time.
func (a *coordinatorGroup) pauseAndResume(ctx context.Context, p *restartableProcess, forS float64) {
	a.faultProcess(ctx, p, forS, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
}

// restart starts a process that is down.
func (a *coordinatorGroup) restart(p *restartableProcess) {
	if err := p.start(); err != nil {
		a.fail("%v", err)
	}
}

// play plays one fault of the schedule.
func (a *coordinatorGroup) play(ctx context.Context, t scenario.ScheduledFault) {
	c := a.nodes[t.Target%len(a.nodes)]
	switch t.What {
	case "kill-coordinator":
		a.killAndRestart(ctx, c.restartableProcess, t.ForS)
	case "stop-coordinator":
		a.pauseAndResume(ctx, c.restartableProcess, t.ForS)
	case "kill-holder":
		a.killAndRestart(ctx, a.holders[t.Target], t.ForS)
	case "stop-holder":
		a.pauseAndResume(ctx, a.holders[t.Target], t.ForS)
	case "disk-full":
		a.fillDisk(ctx, c, t.ForS)
	case "restart-all":
		var wg sync.WaitGroup
		for _, c := range a.nodes {
			wg.Go(func() { a.killAndRestart(ctx, c.restartableProcess, t.ForS) })
		}
		wg.Wait()
	case "damage", "wipe":
		a.faultProcess(ctx, c.restartableProcess, t.ForS, c.kill, func() { a.damageOrWipeDisk(ctx, c, t) })
	default:
		a.playLinkFault(ctx, t)
	}
}

// playLinkFault plays a fault of the network between two coordinators, holders and coordinators, or
// holders and resource.
func (a *coordinatorGroup) playLinkFault(ctx context.Context, t scenario.ScheduledFault) {
	switch t.What {
	case "cut":
		a.faultLinks(ctx, t.ForS, cutFault, a.raftRelays[link{t.Target, t.Peer}], a.raftRelays[link{t.Peer, t.Target}])
	case "hold-there":
		a.faultLinks(ctx, t.ForS, holdToTargetFault, a.raftRelays[link{t.Target, t.Peer}])
	case "delay":
		a.faultLinks(ctx, t.ForS, delayFault,
			a.raftRelays[link{t.Target, t.Peer}], a.raftRelays[link{t.Peer, t.Target}])
	case "cut-clients":
		var relays []*fakes.Relay
		coordinator := t.Target % len(a.nodes)
		for holder := range a.holders {
			relays = append(relays, a.clientRelays[link{holder, coordinator}])
		}
		a.faultLinks(ctx, t.ForS, cutFault, relays...)
	case "hold-answers":
		a.faultLinks(ctx, t.ForS, holdFromTargetFault, a.someClientRelays(t)...)
	case "hold-asks":
		a.faultLinks(ctx, t.ForS, holdToTargetFault, a.someClientRelays(t)...)
	case "slow-then-cut":
		a.slowThenCut(ctx, t)
	case "late-acts":
		a.faultLinks(ctx, t.ForS, holdToTargetFault, a.resourceRelays[t.Target])
	}
}

// someClientRelays returns the relays from a holder to the coordinator that the fault names or,
// depending on the fault's random number, to all coordinators.
func (a *coordinatorGroup) someClientRelays(t scenario.ScheduledFault) []*fakes.Relay {
	var relays []*fakes.Relay
	affectsAll := t.U < 0.5
	for coordinator := range a.nodes {
		if affectsAll || coordinator == t.Peer {
			relays = append(relays, a.clientRelays[link{t.Target, coordinator}])
		}
	}
	return relays
}

// slowThenCut delays a holder's traffic, and holds back its requests after a third of the time.
func (a *coordinatorGroup) slowThenCut(ctx context.Context, t scenario.ScheduledFault) {
	var relays []*fakes.Relay
	for coordinator := range a.nodes {
		relays = append(relays, a.clientRelays[link{t.Target, coordinator}])
	}
	var both sync.WaitGroup
	both.Go(func() { a.faultLinks(ctx, t.ForS, delayFault, relays...) })
	both.Go(func() {
		if wait(ctx, t.ForS/3) {
			a.faultLinks(ctx, t.ForS, holdToTargetFault, relays...)
		}
	})
	both.Wait()
}

// fillDisk makes a coordinator's disk full for a time. A coordinator that exits because of that is
// restarted afterwards.
func (a *coordinatorGroup) fillDisk(ctx context.Context, c *coordinator, forS float64) {
	a.faultProcess(ctx, c.restartableProcess, forS, func() { limitFile(c.restartableProcess, fullDiskBytes) }, func() {
		limitFile(c.restartableProcess, unix.RLIM_INFINITY)
		wait(context.WithoutCancel(ctx), fullDiskEndS)
		if up, _ := c.running(); !up {
			a.restart(c.restartableProcess)
		}
	})
}

// limitFile limits the size of the files that a process may write, to simulate a full disk.
func limitFile(p *restartableProcess, bytes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		// it may have ended
		_ = unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}, nil)
	}
}

// damageOrWipeDisk damages or empties a stopped coordinator's disk and starts it. A coordinator
// that rejects its disk, or has lost it, returns with an empty directory as a new member, after
// the old member has been removed.
func (a *coordinatorGroup) damageOrWipeDisk(ctx context.Context, c *coordinator, t scenario.ScheduledFault) {
	ctx = context.WithoutCancel(ctx)
	if t.What == "damage" && a.survivesDamage(ctx, c, t.U) {
		return
	}
	if err := os.RemoveAll(c.data); err != nil {
		a.fail("%v", err)
		return
	}
	a.restart(c.restartableProcess)
	wait(ctx, emptyDiskWaitS)
	if err := retryUntil(ctx, replaceTimeout, func() error { return a.replaceMember(ctx, c) }); err != nil {
		a.fail("%s could not be replaced: %v", c.name, err)
	}
}

// survivesDamage damages a coordinator's log and starts it. It returns true if the coordinator need
// not be replaced: the damage hit nothing in use, or the file could not be damaged. A coordinator
// that exits must log the reason.
func (a *coordinatorGroup) survivesDamage(ctx context.Context, c *coordinator, u float64) bool {
	if err := a.damage(filepath.Join(c.data, "log.db"), u); err != nil {
		a.fail("%v", err)
		return true
	}
	a.restart(c.restartableProcess)
	wait(ctx, damagedDiskEndS)
	if up, _ := c.running(); up {
		return true
	}
	if !strings.Contains(c.logTail(20), "damaged") {
		a.fail("%s with a damaged disk exited without logging the damage:\n%s", c.name, c.logTail(10))
	}
	return false
}

// replaceMember removes a coordinator's old member from the group and adds its new one.
func (a *coordinatorGroup) replaceMember(ctx context.Context, c *coordinator) error {
	s, err := c.status(ctx)
	if err != nil {
		return err
	}
	leader, err := a.leader(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	err = client.Call(ctx, http.MethodDelete, leader.api, "/v1/members/"+c.name, nil, nil)
	if err != nil && !strings.Contains(err.Error(), "is none") {
		return err
	}
	member := node.Member{Name: c.name, Identity: s.Identity, Address: c.listen, SupportedVersion: s.SupportedVersion}
	return client.Call(ctx, http.MethodPost, leader.api, "/v1/members", member, nil)
}

// damage truncates a file or flips one of its bits.
func (a *coordinatorGroup) damage(path string, u float64) error {
	s, err := os.Stat(path)
	if err != nil {
		return err
	}
	a.mu.Lock()
	at := a.rng.Int64N(s.Size())
	a.mu.Unlock()
	if u < 0.5 {
		return os.Truncate(path, at)
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	b := make([]byte, 1)
	if _, err := f.ReadAt(b, at); err != nil {
		return err
	}
	b[0] ^= 1 << (at % 8)
	_, err = f.WriteAt(b, at)
	return err
}
