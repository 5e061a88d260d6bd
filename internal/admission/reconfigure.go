package admission

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Check tells which setting of cfg can't hold from now on: sizes are those that were taken at the start.
func (a *Admission) Check(cfg Config) error {
	cfg.Classes = a.cfg.Classes // the platform's; what a reload brings counts as others
	if err := cfg.Validate(); err != nil {
		return err
	}
	if err := a.checkSizes(cfg); err != nil {
		return err
	}
	return a.checkRoomForTenants(cfg)
}

// checkSizes names the first setting that differs and can't change while the process runs.
func (a *Admission) checkSizes(cfg Config) error {
	for _, size := range []struct {
		name          string
		after, before float64
	}{
		{"flows", float64(cfg.Flows), float64(a.cfg.Flows)},
		{"buckets", float64(cfg.Buckets), float64(a.cfg.Buckets)},
		{"queue", float64(cfg.QueueLimit), float64(a.cfg.QueueLimit)},
		{"promises", float64(cfg.ReservationLimit), float64(a.cfg.ReservationLimit)},
		{"most", cfg.MaxLimit, a.cfg.MaxLimit},
		{"start", cfg.InitialLimit, a.cfg.InitialLimit},
	} {
		if size.after != size.before {
			return &SettingError{size.name, fmt.Sprintf("%v, was %v: this takes a new process", size.after, size.before)}
		}
	}
	return nil
}

// checkRoomForTenants tells whether the table of named flows has room for the new names. A tenant that is named no longer
// keeps its flow until nothing of it is waiting or in work.
func (a *Admission) checkRoomForTenants(cfg Config) error {
	needed, free := 0, 0
	stillNamed := map[string]bool{}
	for _, tenant := range cfg.Tenants {
		stillNamed[tenant.Name] = true
		if _, ok := a.named[tenant.Name]; !ok {
			needed++
		}
	}
	for i := range maxNamedTenants {
		f := &a.flows[i]
		if !f.used || f.isIdle() && !stillNamed[f.tenant()] {
			free++
		}
	}
	if needed > free {
		return &SettingError{"tenant", fmt.Sprintf("%d new ones, and %d places while requests of old ones are open", needed, free)}
	}
	return nil
}

// Reconfigure has new rules hold for requests that come from now on. What waits keeps its place and its time; a tenant's
// new weight counts for its next turn. The error is Check's, and nothing has changed then.
func (a *Admission) Reconfigure(now float64, cfg Config) error {
	if err := a.Check(cfg); err != nil {
		return err
	}
	a.advance(now)
	cfg.Classes = a.cfg.Classes
	a.updateNamed(cfg.Tenants)
	a.addNamed(cfg.Tenants)
	a.setWeight(a.unnamedFlow(), cfg.OthersWeight)
	a.cfg = cfg
	a.limiter.setBounds(cfg.MinLimit, cfg.MaxLimit)
	a.admitWaiting()
	return nil
}

// updateNamed brings the rules of the tenants that have a named flow, and retires those that are named no longer.
func (a *Admission) updateNamed(tenants []Tenant) {
	rules := map[string]Tenant{}
	for _, tenant := range tenants {
		rules[tenant.Name] = tenant
	}
	for i := range int32(maxNamedTenants) {
		f := &a.flows[i]
		if !f.used {
			continue
		}
		tenant, isNamed := rules[f.tenant()]
		if !isNamed {
			delete(a.named, f.tenant())
			f.setGuarantee(Tenant{})
			a.retire(i)
			continue
		}
		a.setWeight(i, tenant.Weight)
		f.refillGuarantee(a.now)
		f.setGuarantee(tenant)
		a.named[tenant.Name] = i // it may be named again before all of it has ended
	}
}

// addNamed gives free flows to the tenants that are new. The counts of one that was known as one of the others move along.
func (a *Admission) addNamed(tenants []Tenant) {
	next := int32(0)
	for _, tenant := range tenants {
		if _, ok := a.named[tenant.Name]; ok {
			continue
		}
		for a.flows[next].used {
			next++
		}
		f := &a.flows[next]
		f.finishTag = 0
		f.reservedWork = 0
		f.stats = TenantStats{}
		a.assign(next, tenant)
		if old, ok := a.exact[xxhash.Sum64String(tenant.Name)]; ok {
			f.stats = a.flows[old].stats
			a.flows[old].stats = TenantStats{}
		}
	}
}

// retire frees the flow of a tenant that is named no longer, once nothing of it is left.
func (a *Admission) retire(i int32) {
	f := &a.flows[i]
	if i >= maxNamedTenants || !f.used || !f.isIdle() {
		return
	}
	if current, ok := a.named[f.tenant()]; !ok || current != i {
		f.used = false
	}
}

// setWeight changes a top-level flow's weight, in the sums too.
func (a *Admission) setWeight(i int32, weight float64) {
	f := &a.flows[i]
	isActive := f.isActive()
	if i == a.unnamedFlow() {
		isActive = a.unnamed.activeWeight > 0
	}
	if isActive {
		a.top.activeWeight += weight - f.weight
	}
	f.weight = weight
	if i != a.unnamedFlow() && a.top.longest.has(i) {
		a.top.longest.set(i, -f.backlog/weight)
	}
}
