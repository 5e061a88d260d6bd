package largefleet

import (
	"context"
	"sync"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/lab/model"
)

// The states of a server on the list.
const (
	stateDraining = "leaving"
	stateRemoved  = "left"
)

const (
	// hastyDelay is how long after the start of its successor the old process of a hasty upgrade gets SIGTERM.
	hastyDelay = 500 * time.Millisecond
	// reloads is the number of SIGHUP in a series, reloadGap the time between two.
	reloads   = 5
	reloadGap = 20 * time.Millisecond
)

// changeList changes the list from firstChangeAt on.
func (p *player) changeList(ctx context.Context) {
	if !pause(ctx, firstChangeAt) {
		return
	}
	if p.params.Outage > 0 {
		p.discovery.SetDown(true)
		pause(ctx, p.params.Outage)
		defer p.discovery.SetDown(false)
	}
	if p.params.SilencesWatches {
		p.discovery.SilenceWatches()
	}
	count := int(replacedShare * float64(len(p.entries)))
	switch p.params.Change {
	case ReplaceAtOnce:
		p.tell(p.replacements(count))
	case ReplaceOneByOne, ReplaceOutOfOrder:
		p.tellInSteps(ctx, p.replacements(count), 2)
	case ReplaceInPieces:
		p.tellInSteps(ctx, p.replacements(count), max(2, 2*count/pieces))
	case ReplaceByWholeLists:
		p.tellWholeLists(ctx, p.replacements(count))
	case ShrinkAndReturn:
		p.shrinkAndReturn(ctx)
	case RestartInPlace:
		p.tell(p.restarts())
	case SucceedInPlace:
		p.tell(p.successors())
	case DrainQuarter:
		drains := p.withState(int(drainedShare*float64(len(p.entries))), stateDraining)
		p.tellInSteps(ctx, drains, 1)
	}
}

// tell makes changes known at once.
func (p *player) tell(changes []model.Entry) { p.discovery.ScheduleChanges(changes) }

// tellInSteps makes changes known some at a time, spread over changeTime.
func (p *player) tellInSteps(ctx context.Context, changes []model.Entry, stepSize int) {
	steps := (len(changes) + stepSize - 1) / stepSize
	begin := time.Now()
	for step := range steps {
		p.tell(changes[step*stepSize : min(len(changes), (step+1)*stepSize)])
		nextAt := begin.Add(time.Duration(step+1) * changeTime / time.Duration(steps))
		if !pause(ctx, time.Until(nextAt)) {
			return
		}
	}
}

// tellWholeLists makes changes known in pieces, after each of which discovery has forgotten which they were.
func (p *player) tellWholeLists(ctx context.Context, changes []model.Entry) {
	size := max(2, len(changes)/pieces)
	for len(changes) > 0 {
		n := min(size, len(changes))
		p.discovery.ReplaceList(changes[:n])
		changes = changes[n:]
		if !pause(ctx, changeTime/pieces) {
			return
		}
	}
}

// replacements returns, for some servers, their removals and the starts of new ones, in turn.
func (p *player) replacements(count int) (changes []model.Entry) {
	for i := range count {
		old := p.entries[i]
		old.State = stateRemoved
		p.entries[i] = p.newEntry(p.clock.Unix(p.clock.Now()))
		changes = append(changes, p.entries[i], old)
	}
	return changes
}

// withState returns the first servers of the list in another state.
func (p *player) withState(count int, state string) (changes []model.Entry) {
	for _, e := range p.entries[:count] {
		e.State = state
		changes = append(changes, e)
	}
	return changes
}

func (p *player) shrinkAndReturn(ctx context.Context) {
	count := int(shrunkShare * float64(len(p.entries)))
	p.tell(p.withState(count, stateRemoved))
	if pause(ctx, changeTime/2) {
		p.tell(p.entries[:count])
	}
}

// restarts returns all servers as just started.
func (p *player) restarts() (changes []model.Entry) {
	for i := range p.entries {
		p.entries[i].Started = p.clock.Unix(p.clock.Now())
	}
	return p.entries
}

// successors returns new servers at the addresses of all others, before the removals of these.
func (p *player) successors() (changes []model.Entry) {
	removals := p.withState(len(p.entries), stateRemoved)
	for i, old := range p.entries {
		p.entries[i] = p.newEntry(p.clock.Unix(p.clock.Now()))
		p.entries[i].Addr = old.Addr
	}
	return append(append(changes, p.entries...), removals...)
}

// playEvent carries out the event of the process.
func (p *player) playEvent(ctx context.Context) error {
	switch p.params.Event {
	case Upgrade, HastyUpgrade:
		return p.upgrade(ctx)
	case Restart:
		p.stop(p.newest())
		return p.startAgain()
	case Crash:
		old := p.newest()
		_ = old.command.Process.Kill()
		<-old.exited
		return p.startAgain()
	case Reload:
		return p.reload(ctx, reloads)
	case MoveDiscovery:
		return p.moveDiscovery(ctx)
	}
	return nil
}

// startAgain starts another process in place of one that has ended.
func (p *player) startAgain() error {
	if err := p.writeConfig(p.listAt); err != nil {
		return err
	}
	started, err := p.startProcess()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = started
	return err
}

func (p *player) upgrade(ctx context.Context) error {
	old := p.newest()
	var ending sync.WaitGroup
	defer ending.Wait()
	if p.params.Event == HastyUpgrade {
		ending.Go(func() {
			pause(ctx, hastyDelay)
			p.stop(old)
		})
	}
	if err := p.startAgain(); err != nil {
		return err
	}
	if p.params.Event == Upgrade {
		p.stop(old)
	}
	return nil
}

func (p *player) reload(ctx context.Context, count int) error {
	for range count {
		if err := p.newest().command.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		pause(ctx, reloadGap)
	}
	return nil
}

func (p *player) moveDiscovery(ctx context.Context) error {
	address, err := p.openDiscovery()
	if err != nil {
		return err
	}
	previous := p.listAt
	p.listAt = address
	if err := p.writeConfig(address); err != nil {
		return err
	}
	p.discovery.RetireListener(previous)
	return p.reload(ctx, 1)
}
