package fleet

import (
	"context"
	"syscall"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/scenario"
)

// moveDiscovery has discovery move to other addresses: each router gets a configuration that names its new one and a SIGHUP, one
// router after the other over the fault's time. The old address accepts no new connection from then on.
func (fl *Fleet) moveDiscovery(ctx context.Context, f scenario.Fault) {
	routers := fl.allRouters()
	fl.mark("discovery moves")
	for _, r := range routers {
		if err := fl.moveDiscoveryOf(r); err != nil {
			fl.trouble(err)
			return
		}
		if !wait(ctx, f.ForS/float64(len(routers))) {
			return
		}
	}
	fl.mark("discovery has moved for all routers")
}

// moveDiscoveryOf moves it for one router. A router that is down, or starting, finds the new address at its start: a SIGHUP never
// comes before a router is ready.
func (fl *Fleet) moveDiscoveryOf(r *router) error {
	addr, err := fl.openDiscovery(r)
	if err != nil {
		return err
	}
	before := r.setDiscovery(addr)
	p := r.newest()
	if p == nil || !p.isReady.Load() {
		fl.discovery.Retire(before)
		return nil
	}
	config := fl.config(r)
	config["admin_addr"] = p.admin
	if err := r.writeConfig(config); err != nil {
		return err
	}
	fl.journal.Add(checker.Event{At: fl.clock.Now(), Kind: checker.DiscoveryMoved, Router: r.name})
	r.signal(p, syscall.SIGHUP)
	fl.discovery.Retire(before)
	return nil
}
