package admission

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Check returns a *SettingError for the first setting of cfg that can't take effect while the process
// runs: the tables keep the sizes that they have had from the start.
func (a *Admission) Check(cfg Config) error {
	cfg.Classes = a.cfg.Classes // the platform's; a class that a reload adds counts as one of the others
	if err := cfg.Validate(); err != nil {
		return err
	}
	if err := a.checkSizes(cfg); err != nil {
		return err
	}
	return a.checkTenantCapacity(cfg)
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
			reason := fmt.Sprintf("%v, was %v: this takes a new process", size.after, size.before)
			return &SettingError{Setting: size.name, Reason: reason}
		}
	}
	return nil
}

// checkTenantCapacity checks that the table of named flows holds the new names. A tenant that is named
// no longer keeps its flow until it has no open request and no reservation.
func (a *Admission) checkTenantCapacity(cfg Config) error {
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
		reason := fmt.Sprintf("%d new ones, and %d places while requests of old ones are open", needed, free)
		return &SettingError{Setting: "tenant", Reason: reason}
	}
	return nil
}

// Reconfigure applies new rules to requests that arrive from now on. Queued requests keep their order
// and their time; a tenant's new weight counts from its next request on. On an error, which is Check's,
// nothing has changed.
func (a *Admission) Reconfigure(nowMillis float64, cfg Config) error {
	if err := a.Check(cfg); err != nil {
		return err
	}
	a.advance(nowMillis)
	cfg.Classes = a.cfg.Classes
	a.updateNamed(cfg.Tenants)
	a.addNamed(cfg.Tenants)
	a.setWeight(a.unnamedFlow(), cfg.OthersWeight)
	a.cfg = cfg
	a.limiter.setBounds(cfg.MinLimit, cfg.MaxLimit)
	a.admitWaiting()
	return nil
}

// updateNamed updates the flows of named tenants, and retires those of tenants that are named no longer.
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

// addNamed assigns free flows to the tenants that are new. The counts of one that was tracked as
// unnamed move along.
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

// retire frees the flow of a tenant that is named no longer, once it is idle.
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
