package fleet

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/lab/scenario"
)

const (
	// killAfterDeadline is the time from the longest deadline after SIGTERM to SIGKILL, and
	// killDeadlineMS bounds that deadline.
	killAfterDeadline = 700 * time.Millisecond
	killDeadlineMS    = 3000.0
	// noticeEndMS is how long new connections go on coming to a router that was told to end.
	noticeEndMS = 300.0
)

// killAfter is the time between SIGTERM and SIGKILL at the earliest.
func (fl *Fleet) killAfter() time.Duration {
	longest := 0.0
	for _, c := range fl.File.Classes {
		longest = max(longest, c.LimitMS)
	}
	return time.Duration(min(longest, killDeadlineMS)*float64(time.Millisecond)) + killAfterDeadline
}

// endRouters has some routers told to end, a batch at a time, killed at the earliest time where
// they still run, and started again.
func (fl *Fleet) endRouters(ctx context.Context, f scenario.Fault) {
	routers := fl.pickRouters(f)
	fl.mark("%d routers are told to end, %d at a time", len(routers), max(1, f.Batch))
	for batch := range slices.Chunk(routers, max(1, f.Batch)) {
		fl.sideBySide(batch, func(r *router) {
			fl.endAndStart(ctx, r, f.DownS, func(p *process) { r.signal(p, syscall.SIGTERM) })
		})
		if ctx.Err() != nil {
			return
		}
	}
}

// pickRouters draws the routers that a fault meets.
func (fl *Fleet) pickRouters(f scenario.Fault) []*router {
	routers := fl.allRouters()
	count := f.Count
	if f.Share > 0 {
		count = int(math.Round(f.Share * float64(len(routers))))
	}
	fl.mu.Lock()
	fl.rng.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	fl.mu.Unlock()
	return routers[:max(0, min(count, len(routers)))]
}

// endAndStart has a router's newest process ended by signals, the first of which is SIGTERM or
// followed by it at once, kills it at the earliest time, and starts it again. It does nothing where
// another fault has the router down.
func (fl *Fleet) endAndStart(ctx context.Context, r *router, downS float64, end func(p *process)) {
	if !r.busy.TryLock() {
		return
	}
	defer r.busy.Unlock()
	p := r.newest()
	if p == nil || !p.isReady.Load() {
		return
	}
	fl.front.ReportRouterEnding(r.name, noticeEndMS)
	end(p)
	fl.awaitEnd(r, p)
	if !wait(ctx, downS) {
		return
	}
	if err := fl.startRouter(ctx, r); err != nil && ctx.Err() == nil {
		fl.trouble(err)
	}
}

// awaitEnd waits for the end of a process that was sent SIGTERM just now, and kills it once it may
// be.
func (fl *Fleet) awaitEnd(r *router, p *process) {
	select {
	case <-p.done:
	case <-time.After(fl.killAfter()):
		fl.mark("%s still runs and is killed", r.name)
		r.signal(p, syscall.SIGKILL)
		<-p.done
	}
}

// endAll tells all routers to end, without a load, and tells which did not end by themselves before
// they may be killed: one that waits for something that it started never does.
func (fl *Fleet) endAll() (failures []string) {
	var mu sync.Mutex
	fl.sideBySide(fl.allRouters(), func(r *router) {
		p := r.newest()
		if p == nil {
			return
		}
		r.signal(p, syscall.SIGTERM)
		problem := ""
		select {
		case <-p.done:
			if p.end != nil {
				problem = "router " + r.name + " ended with " + endOf(p.end)
			}
		case <-time.After(fl.killAfter()):
			problem = "router " + r.name + " did not end by itself before it may be killed"
		}
		mu.Lock()
		defer mu.Unlock()
		if problem != "" {
			failures = append(failures, problem)
		}
	})
	return failures
}

// judgeLimits tells which routers went over their limits, all processes of a router together.
func (fl *Fleet) judgeLimits() (failures []string) {
	for _, r := range fl.routers {
		most := Use{}
		for _, s := range fl.samples {
			most.RSSMB = max(most.RSSMB, s.Routers[r.name].RSSMB)
			most.FDs = max(most.FDs, s.Routers[r.name].FDs)
		}
		if most.RSSMB > float64(fl.File.Fleet.MemoryMB) {
			failures = append(failures,
				fmt.Sprintf("router %s had %.0f MB of %d", r.name, most.RSSMB, fl.File.Fleet.MemoryMB))
		}
		if most.FDs > fl.File.Fleet.Sockets {
			failures = append(failures,
				fmt.Sprintf("router %s had %d descriptors of %d", r.name, most.FDs, fl.File.Fleet.Sockets))
		}
	}
	return failures
}
