package router

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net"
	"net/netip"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/admission"
)

// admissionControl stands between a request's arrival and the Balancer, where the operator file has it. All of it is the loop's.
type admissionControl struct {
	loop       *loop
	admission  *admission.Admission
	tenants    admission.TenantRules
	classIndex map[string]int
	otherClass int    // the place of classes that a reload has brought
	timer      *timer // for what waits
	processes  int    // that are this router, and share the limit
}

// AdmissionConfig is what an operator file says of fair admission.
type AdmissionConfig struct {
	Rules   admission.Config // but for the classes, which are the platform's
	Tenants admission.TenantRules
}

// newAdmission places the door before the Balancer.
func newAdmission(l *loop, cfg *Config) (*admissionControl, error) {
	ad := &admissionControl{loop: l, tenants: cfg.Admission.Tenants, classIndex: map[string]int{}}
	rules := cfg.Admission.Rules
	rules.Classes = nil
	var longest float64
	for _, c := range cfg.settings.Config.Classes {
		ad.classIndex[c.Name] = len(rules.Classes)
		// The aim tells, class by class, how much work is meant, until it has been measured.
		rules.Classes = append(rules.Classes, admission.Class{Name: c.Name, CostMillis: c.LatencyObjectiveMillis, HasPriority: c.Effect != decide.Idempotent})
		longest = max(longest, c.LatencyObjectiveMillis)
	}
	ad.otherClass = len(rules.Classes)
	rules.Classes = append(rules.Classes, admission.Class{Name: "(others)", CostMillis: longest})
	var err error
	ad.admission, err = admission.New(withCaps(rules, cfg), cfg.seed, ad)
	return ad, err
}

// withCaps has the platform's bound on times told go before the operator's.
func withCaps(rules admission.Config, cfg *Config) admission.Config {
	if m := cfg.settings.Config.MaxRetryAfterMillis; m > 0 {
		rules.MaxRetryAfterMillis = m
	}
	return rules
}

// check tells why the rules of a configuration can't hold from now on.
func (ad *admissionControl) check(cfg *Config) error {
	switch {
	case ad == nil && cfg.Admission == nil:
		return nil
	case ad == nil || cfg.Admission == nil:
		return &admission.SettingError{Setting: "enabled", Reason: "changes, which takes a new process"}
	}
	return ad.admission.Check(withCaps(cfg.Admission.Rules, cfg))
}

// reconfigure has the rules of a configuration, which has been checked, hold from now on.
func (ad *admissionControl) reconfigure(cfg *Config) {
	if ad == nil {
		return
	}
	if err := ad.admission.Reconfigure(ad.loop.now(), withCaps(cfg.Admission.Rules, cfg)); err != nil {
		slog.Warn("admission: the rules are kept", "error", err)
		return
	}
	ad.tenants = cfg.Admission.Tenants
	ad.arm()
}

// arrive takes a request that the loop has taken.
func (ad *admissionControl) arrive(r *request, left float64) {
	var from netip.Addr
	if ad.tenants.ByNetwork() {
		from = clientAddr(r.response.conn.Conn)
	}
	class, ok := ad.classIndex[r.command.class]
	if !ok {
		class = ad.otherClass
	}
	r.admissionStage = admissionQueued
	ad.admission.Arrive(ad.loop.now(), admission.Request{ID: r.id, Tenant: ad.tenants.Tenant(r.command.tenant, r.command.key, from), Class: class,
		Key: keyID(r.command.key), SizeBytes: r.command.valueBytes, RemainingMillis: left, IsRetry: r.command.isRetry})
	ad.arm()
}

// ended tells that a request has ended: served or not, refused by the Balancer or not, with an answer of so many bytes. One
// that waited has lost its client, or was refused at its deadline.
func (ad *admissionControl) ended(r *request, served, refused bool, size int) {
	if ad == nil {
		return
	}
	was, now := r.admissionStage, ad.loop.now()
	r.admissionStage = admissionNone
	switch was {
	case admissionQueued:
		ad.admission.Disconnected(now, r.id)
	case admissionAdmitted:
		ad.admission.Ended(now, admission.Outcome{ID: r.id, Served: served, Rejected: refused, LatencyMillis: now - r.admittedAt, Attempts: len(r.attempts), WorkMillis: r.attemptMillis, ResponseBytes: size})
	default:
		return
	}
	ad.arm()
}

// arm sees to it that what waits is looked at in time.
func (ad *admissionControl) arm() {
	next := ad.admission.NextDeadline()
	if ad.timer != nil && ad.timer.heapIndex >= 0 && ad.timer.at <= next {
		return // it is looked at sooner, and armed again then
	}
	ad.loop.timers.stop(ad.timer)
	if !math.IsInf(next, 1) {
		ad.timer = ad.loop.after(next-ad.loop.now(), func() {
			ad.admission.Tick(ad.loop.now())
			ad.arm()
		})
	}
}

// Admit lets a request through to the Balancer, after the call that led to it.
func (ad *admissionControl) Admit(id uint32) {
	r := ad.loop.requests[id]
	if r == nil {
		return
	}
	r.admissionStage, r.admittedAt = admissionAdmitted, ad.loop.now()
	ad.loop.deferred = append(ad.loop.deferred, func() {
		if !r.isDone {
			ad.loop.decide(ad.loop.now(), r)
		}
	})
}

// Reject ends a request at the door.
func (ad *admissionControl) Reject(id uint32, after float64) {
	if r := ad.loop.requests[id]; r != nil {
		r.admissionStage = admissionNone
		if ad.loop.rules.Load().tellsRetryAfter {
			ad.loop.Reject(id, math.Ceil(after))
		} else {
			ad.loop.Reject(id, 0)
		}
	}
}

// shownTenants is how many tenants are shown by name.
const shownTenants = 100

// AdmissionState is how admission stands, in JSON; admin.ErrOff tells that there is none.
func (r *Router) AdmissionState(ctx context.Context) ([]byte, error) {
	if r.loop.admission == nil {
		return nil, admin.ErrNotEnabled
	}
	var s admission.State
	if err := r.loop.call(ctx, func() error { s = r.loop.admission.admission.State(shownTenants); return nil }); err != nil {
		return nil, err
	}
	return json.Marshal(s)
}

// The places of a request before the Balancer.
const (
	admissionNone     = iota // is no matter of the door's, or not any more
	admissionQueued          // waits there
	admissionAdmitted        // was let in
)

// clientAddr is the address of a client, without the port.
func clientAddr(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
