package admission

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Check returns a *SettingError for the first setting of cfg that is invalid or can't change while
// the process runs: the tables keep the sizes that they had at startup.
func (a *Admission) Check(cfg Config) error {
	cfg.Classes = a.cfg.Classes // classes that a reload adds share the class "(others)"
	if err := cfg.Validate(); err != nil {
		return err
	}
	if err := a.checkSizes(cfg); err != nil {
		return err
	}
	return a.checkTenantCapacity(cfg)
}

// checkSizes returns an error for the first setting that differs but can't change at run time.
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
			reason := fmt.Sprintf("%v, was %v: a change requires a new process", size.after, size.before)
			return &SettingError{Setting: size.name, Reason: reason}
		}
	}
	return nil
}

// checkTenantCapacity checks that there are enough flows for the newly named tenants. A tenant that
// is no longer named keeps its flow until it has no open request and no reservation.
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
		if !f.isAssigned || f.isIdle() && !stillNamed[f.tenant()] {
			free++
		}
	}
	if needed > free {
		reason := fmt.Sprintf("%d new tenants, %d free entries while requests of removed ones are open", needed, free)
		return &SettingError{Setting: "tenant", Reason: reason}
	}
	return nil
}

// Reconfigure applies new rules to the requests that arrive from now on. Queued requests keep their
// order and their maximum wait; a tenant's new weight applies from its next request on. Errors are
// those of Check; on an error, nothing has changed.
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

// updateNamed updates the flows of named tenants, and retires those of tenants no longer named.
func (a *Admission) updateNamed(tenants []Tenant) {
	rules := map[string]Tenant{}
	for _, tenant := range tenants {
		rules[tenant.Name] = tenant
	}
	for i := range int32(maxNamedTenants) {
		f := &a.flows[i]
		if !f.isAssigned {
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
		a.named[tenant.Name] = i // a tenant can be named again before its old flow is retired
	}
}

// addNamed assigns free flows to newly named tenants. A tenant that was tracked as unnamed keeps
// its statistics.
func (a *Admission) addNamed(tenants []Tenant) {
	next := int32(0)
	for _, tenant := range tenants {
		if _, ok := a.named[tenant.Name]; ok {
			continue
		}
		for a.flows[next].isAssigned {
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

// retire frees the flow of a tenant that is no longer named, once it is idle.
func (a *Admission) retire(i int32) {
	f := &a.flows[i]
	if i >= maxNamedTenants || !f.isAssigned || !f.isIdle() {
		return
	}
	if current, ok := a.named[f.tenant()]; !ok || current != i {
		f.isAssigned = false
	}
}

// setWeight changes the weight of a top-level flow and updates the structures that depend on it.
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
