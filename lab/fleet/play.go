package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/admission"
	"dockhinge.example/dockhinge/lab/load"
)

// play runs the load and the faults and returns the checked result.
func (fl *Fleet) play(ctx context.Context) (Result, error) {
	p := fl.File.Load
	if fl.options.Progress != nil {
		p.Progress = func(n load.ProgressReport) { fl.options.Progress(n, fl) }
	}
	l, err := load.New(p, fl.front, fl.clock, fl.journal)
	if err != nil {
		return Result{}, err
	}
	fl.warmCaches(l)
	fl.mu.Lock()
	fl.loadStartMS = fl.clock.Now()
	fl.mu.Unlock()
	loadCtx, stopLoad := context.WithTimeout(ctx, time.Duration(fl.File.DurationS*float64(time.Second)))
	defer stopLoad()
	var wg sync.WaitGroup
	samplingCtx, stopSampling := context.WithCancel(context.Background())
	wg.Go(func() { fl.measureLateness(samplingCtx) })
	wg.Go(func() { fl.sampleUsage(samplingCtx) })
	if fl.File.Fleet.Out.On() {
		wg.Go(func() { fl.watchBudgets(samplingCtx) })
	}
	endFaults := context.CancelFunc(func() {})
	faultsCtx := loadCtx // planned changes, and the faults beside them, may outlast the load
	if fl.options.ChangeTimeout > 0 {
		faultsCtx, endFaults = context.WithCancel(ctx)
		defer endFaults()
	}
	changesDone := make(chan struct{})
	var changes sync.WaitGroup
	for i, f := range fl.File.Faults {
		if strings.HasPrefix(f.What, "change-") || f.What == "release-routers" {
			changes.Go(func() { fl.playFault(faultsCtx, fl.File.Faults[i]) })
		} else {
			wg.Go(func() { fl.playFault(faultsCtx, fl.File.Faults[i]) })
		}
	}
	wg.Go(func() { changes.Wait(); close(changesDone) })
	loadResult := l.Run(loadCtx)
	if fl.options.ChangeTimeout > 0 {
		select {
		case <-changesDone:
		case <-ctx.Done():
		case <-time.After(fl.options.ChangeTimeout):
		}
		endFaults()
	}
	interrupted := ctx.Err() != nil
	admissionStates := fl.readAdmission(ctx)
	stopSampling()
	stopLoad()
	wg.Wait()
	res := fl.result(loadResult, interrupted)
	res.Admission = admissionStates
	return res, nil
}

// readAdmission returns the admission state of each router that has fair admission enabled.
func (fl *Fleet) readAdmission(ctx context.Context) map[string]admission.State {
	all := map[string]admission.State{}
	for _, r := range fl.allRouters() {
		var s admission.State
		if p := r.newest(); p != nil {
			if text, err := admin.Call(ctx, p.admin, http.MethodGet, "/-/admission"); err == nil &&
				json.Unmarshal(text, &s) == nil {
				all[r.name] = s
			}
		}
	}
	return all
}

// measureLateness measures how late the machine runs the lab's timers.
func (fl *Fleet) measureLateness(ctx context.Context) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	last := fl.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := fl.clock.Now()
		fl.mu.Lock()
		late := now - last - 10
		fl.maxLateMS = max(fl.maxLateMS, late)
		fl.mu.Unlock()
		if late > 100 {
			fl.mark("the machine was late by %.0f ms", late)
		}
		last = now
	}
}

// sampleUsage samples the routers' usage and the servers' requests in flight twice a second.
func (fl *Fleet) sampleUsage(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s := Sample{Routers: map[string]Usage{}, Held: map[string]int{}}
		for _, r := range fl.allRouters() {
			s.Routers[r.name] = r.usage()
		}
		for _, m := range fl.allMembers() {
			if m.IsUp() {
				s.Held[m.ID()], _ = m.Load()
			}
		}
		s.Held["origin"], _ = fl.origin.Load()
		fl.mu.Lock()
		s.AtS = (fl.clock.Now() - fl.loadStartMS) / 1000
		fl.samples = append(fl.samples, s)
		fl.mu.Unlock()
	}
}
