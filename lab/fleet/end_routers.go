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
	// SIGKILL follows SIGTERM after the longest deadline of a request, at most killDeadlineMS, and
	// another killAfterDeadline.
	killAfterDeadline = 700 * time.Millisecond
	killDeadlineMS    = 3000.0
	// noticeEndMS is how long a router gets new connections after it was sent SIGTERM.
	noticeEndMS = 300.0
)

// killAfter returns the shortest time between SIGTERM and SIGKILL.
func (fl *Fleet) killAfter() time.Duration {
	longest := 0.0
	for _, c := range fl.File.Classes {
		longest = max(longest, c.LimitMS)
	}
	return time.Duration(min(longest, killDeadlineMS)*float64(time.Millisecond)) + killAfterDeadline
}

// endRouters sends SIGTERM to some routers, a batch at a time, kills those that still run after
// killAfter, and starts them again.
func (fl *Fleet) endRouters(ctx context.Context, f scenario.Fault) {
	routers := fl.pickRouters(f)
	fl.mark("%d routers are sent SIGTERM, %d at a time", len(routers), max(1, f.Batch))
	for batch := range slices.Chunk(routers, max(1, f.Batch)) {
		fl.forEachRouter(batch, func(r *router) {
			fl.stopAndRestart(ctx, r, f.DownS, func(p *process) { r.signal(p, syscall.SIGTERM) })
		})
		if ctx.Err() != nil {
			return
		}
	}
}

// pickRouters draws the routers that a fault affects.
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

// stopAndRestart stops a router's newest process by calling end, which sends SIGTERM, kills the
// process after killAfter if it still runs, and starts it again. It does nothing if another fault
// has the router down.
func (fl *Fleet) stopAndRestart(ctx context.Context, r *router, downS float64, end func(p *process)) {
	if !r.downMu.TryLock() {
		return
	}
	defer r.downMu.Unlock()
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
		fl.recordLabError(err)
	}
}

// awaitEnd waits until a process that was just sent SIGTERM has exited, and kills it after
// killAfter.
func (fl *Fleet) awaitEnd(r *router, p *process) {
	select {
	case <-p.done:
	case <-time.After(fl.killAfter()):
		fl.mark("%s still runs and is killed", r.name)
		r.signal(p, syscall.SIGKILL)
		<-p.done
	}
}

// stopAllRouters sends SIGTERM to all routers, without a load, and returns a failure for each that
// does not exit within killAfter: a router that waits for a goroutine or process that it started
// never exits.
func (fl *Fleet) stopAllRouters() (failures []string) {
	var mu sync.Mutex
	fl.forEachRouter(fl.allRouters(), func(r *router) {
		p := r.newest()
		if p == nil {
			return
		}
		r.signal(p, syscall.SIGTERM)
		problem := ""
		select {
		case <-p.done:
			if p.exitErr != nil {
				problem = "router " + r.name + " ended with " + exitText(p.exitErr)
			}
		case <-time.After(fl.killAfter()):
			problem = "router " + r.name + " did not exit by itself before it was due to be killed"
			r.signal(p, syscall.SIGQUIT) // its log then shows what each goroutine waits for
			<-p.done
		}
		mu.Lock()
		defer mu.Unlock()
		if problem != "" {
			failures = append(failures, problem)
		}
	})
	return failures
}

// checkLimits returns a failure for each router that exceeded a limit, counting all processes of
// the router together.
func (fl *Fleet) checkLimits() (failures []string) {
	for _, r := range fl.routers {
		peak := Usage{}
		for _, s := range fl.samples {
			peak.RSSMB = max(peak.RSSMB, s.Routers[r.name].RSSMB)
			peak.FDs = max(peak.FDs, s.Routers[r.name].FDs)
		}
		if peak.RSSMB > float64(fl.File.Fleet.MemoryMB) {
			failures = append(failures,
				fmt.Sprintf("router %s used %.0f MB of memory, the limit is %d MB",
					r.name, peak.RSSMB, fl.File.Fleet.MemoryMB))
		}
		if peak.FDs > fl.File.Fleet.Sockets {
			failures = append(failures,
				fmt.Sprintf("router %s had %d descriptors open, the limit is %d",
					r.name, peak.FDs, fl.File.Fleet.Sockets))
		}
	}
	return failures
}
