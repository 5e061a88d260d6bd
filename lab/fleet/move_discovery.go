package fleet

import (
	"context"
	"sync"
	"syscall"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/scenario"
)

// reloadPollS is the time between two checks whether a process may be sent a SIGHUP.
const reloadPollS = 0.05

// moveDiscovery moves discovery to other addresses. Spread over the fault's time, each router gets
// a configuration with its new address and a SIGHUP; its old address then accepts no new
// connections.
func (fl *Fleet) moveDiscovery(ctx context.Context, f scenario.Fault) {
	routers := fl.allRouters()
	fl.mark("discovery moves")
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, r := range routers {
		wg.Go(func() {
			if err := fl.moveDiscoveryOf(ctx, r); err != nil {
				fl.recordLabError(err)
			}
		})
		if !wait(ctx, f.ForS/float64(len(routers))) {
			return
		}
	}
	fl.mark("discovery has moved for all routers")
}

// moveDiscoveryOf moves discovery for one router, once its process may be sent a SIGHUP. A router
// that is down reads the new address at its start. The old address then stays open, since a process
// may be starting with it.
func (fl *Fleet) moveDiscoveryOf(ctx context.Context, r *router) error {
	p := r.newest()
	for p != nil && !p.mayReload() {
		if !wait(ctx, reloadPollS) {
			return nil
		}
		p = r.newest()
	}
	addr, err := fl.openDiscovery(r)
	if err != nil {
		return err
	}
	before := r.setDiscovery(addr)
	if p == nil {
		return nil
	}
	if err := fl.writeConfigOf(r, p); err != nil {
		return err
	}
	fl.journal.Add(checker.Event{At: fl.clock.Now(), Kind: checker.DiscoveryMoved, Router: r.name})
	if r.signal(p, syscall.SIGHUP) && r.newest() == p {
		fl.discovery.RetireListener(before)
	}
	return nil
}

// writeConfigOf writes a new configuration for a running process.
func (fl *Fleet) writeConfigOf(r *router, p *process) error {
	config := fl.routerConfig(r)
	config["admin_addr"] = p.admin
	return r.writeConfig(config)
}
