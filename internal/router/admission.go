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

// AdmissionConfig is what an operator file sets for fair admission.
type AdmissionConfig struct {
	// Rules lacks the classes, which are the platform's.
	Rules admission.Config
	// Tenants tell whose a request is.
	Tenants admission.TenantRules
}

// admissionControl has requests pass admission before the Balancer, where the operator file enables
// it. It is owned by the loop. A nil *admissionControl stands for admission that is not enabled.
type admissionControl struct {
	loop      *loop
	admission *admission.Admission
	tenants   admission.TenantRules
	// classIndex finds a class of the settings that the process has started with.
	classIndex map[string]int
	// otherClass is the index of all classes that a reload has added since.
	otherClass int
	// timer fires when a queued request has to be looked at.
	timer *timer
	// processes is how many processes are this router now, and share its limit; 0 = not known yet.
	processes int
}

// admissionStage is where a request stands in admission.
type admissionStage int

const (
	// admissionNone: the request has not reached admission, or admission has forgotten it.
	admissionNone admissionStage = iota
	admissionQueued
	admissionAdmitted
)

// otherClassName is the class in admission's answers for all that a reload has added.
const otherClassName = "(others)"

// newAdmission builds admission from the operator's rules and the platform's classes.
func newAdmission(l *loop, cfg *Config) (*admissionControl, error) {
	ad := &admissionControl{loop: l, tenants: cfg.Admission.Tenants, classIndex: map[string]int{}}
	rules := cfg.Admission.Rules
	rules.Classes = nil
	var longestMillis float64
	for _, c := range cfg.settings.Config.Classes {
		ad.classIndex[c.Name] = len(rules.Classes)
		rules.Classes = append(rules.Classes, admission.Class{
			Name:        c.Name,
			CostMillis:  c.LatencyObjectiveMillis, // of the classes' work, nothing else is known before it is measured
			HasPriority: c.Effect != decide.Idempotent,
		})
		longestMillis = max(longestMillis, c.LatencyObjectiveMillis)
	}
	ad.otherClass = len(rules.Classes)
	rules.Classes = append(rules.Classes, admission.Class{Name: otherClassName, CostMillis: longestMillis})
	var err error
	ad.admission, err = admission.New(withPlatformBounds(rules, cfg), cfg.seed, ad)
	return ad, err
}

// withPlatformBounds puts the platform's bound on retry-after in place of the operator's.
func withPlatformBounds(rules admission.Config, cfg *Config) admission.Config {
	if bound := cfg.settings.Config.MaxRetryAfterMillis; bound > 0 {
		rules.MaxRetryAfterMillis = bound
	}
	return rules
}

// check returns a *admission.SettingError for a setting that can't take effect in this process.
func (ad *admissionControl) check(cfg *Config) error {
	switch {
	case ad == nil && cfg.Admission == nil:
		return nil
	case ad == nil || cfg.Admission == nil:
		return &admission.SettingError{Setting: "enabled", Reason: "changes, which takes a new process"}
	}
	return ad.admission.Check(withPlatformBounds(cfg.Admission.Rules, cfg))
}

// reconfigure applies the rules of a configuration, which check has accepted.
func (ad *admissionControl) reconfigure(cfg *Config) {
	if ad == nil {
		return
	}
	rules := withPlatformBounds(cfg.Admission.Rules, cfg)
	if err := ad.admission.Reconfigure(ad.loop.now(), rules); err != nil {
		slog.Warn("admission: the rules are kept", "error", err)
		return
	}
	ad.tenants = cfg.Admission.Tenants
	ad.arm()
}

// arrive passes a new request to admission, which admits, queues or rejects it.
func (ad *admissionControl) arrive(r *request, remainingMillis float64) {
	var client netip.Addr
	if ad.tenants.UsesNetwork() {
		client = clientAddr(r.response.conn.Conn)
	}
	class, ok := ad.classIndex[r.command.class]
	if !ok {
		class = ad.otherClass
	}
	r.admissionStage = admissionQueued
	ad.admission.Arrive(ad.loop.now(), admission.Request{
		ID:              r.id,
		Tenant:          ad.tenants.Tenant(r.command.tenant, r.command.key, client),
		Class:           class,
		Key:             keyID(r.command.key),
		SizeBytes:       r.command.valueBytes,
		RemainingMillis: remainingMillis,
		IsRetry:         r.command.isRetry,
	})
	ad.arm()
}

// ended notifies admission of a request's end: whether it was served, whether the Balancer rejected
// it, and the size of the answer. A request that ends while it is queued has lost its client, or was
// rejected at its deadline.
func (ad *admissionControl) ended(r *request, served, rejected bool, responseBytes int) {
	if ad == nil {
		return
	}
	now := ad.loop.now()
	stage := r.admissionStage
	r.admissionStage = admissionNone
	switch stage {
	case admissionQueued:
		ad.admission.ClientDisconnected(now, r.id)
	case admissionAdmitted:
		ad.admission.RequestEnded(now, admission.Outcome{
			ID:            r.id,
			Served:        served,
			Rejected:      rejected,
			LatencyMillis: now - r.admittedAt,
			Attempts:      len(r.attempts),
			WorkMillis:    r.attemptMillis,
			ResponseBytes: responseBytes,
		})
	default:
		return
	}
	ad.arm()
}

// arm sets the timer to the next deadline of a queued request.
func (ad *admissionControl) arm() {
	next := ad.admission.NextDeadline()
	if ad.timer != nil && ad.timer.heapIndex >= 0 && ad.timer.at <= next {
		return // the timer fires sooner, and is armed again then
	}
	ad.loop.timers.stop(ad.timer)
	if math.IsInf(next, 1) {
		return
	}
	ad.timer = ad.loop.after(next-ad.loop.now(), func() {
		ad.admission.Tick(ad.loop.now())
		ad.arm()
	})
}

// Admit forwards a request to the Balancer, once the call that led to it is over.
func (ad *admissionControl) Admit(id uint32) {
	r := ad.loop.requests[id]
	if r == nil {
		return
	}
	r.admissionStage = admissionAdmitted
	r.admittedAt = ad.loop.now()
	ad.loop.deferred = append(ad.loop.deferred, func() {
		if !r.isDone {
			ad.loop.decide(ad.loop.now(), r)
		}
	})
}

// Reject answers a request that admission rejects. The answer has a retry-after where the platform
// wants one.
func (ad *admissionControl) Reject(id uint32, retryAfterMillis float64) {
	r := ad.loop.requests[id]
	if r == nil {
		return
	}
	r.admissionStage = admissionNone
	if !ad.loop.rules.Load().tellsRetryAfter {
		retryAfterMillis = 0
	}
	ad.loop.Reject(id, math.Ceil(retryAfterMillis))
}

// shownTenants is how many tenants AdmissionState shows by name.
const shownTenants = 100

// AdmissionState returns how admission stands, as the JSON of admission.State. The error is
// admin.ErrNotEnabled where admission is not enabled.
func (r *Router) AdmissionState(ctx context.Context) ([]byte, error) {
	if r.loop.admission == nil {
		return nil, admin.ErrNotEnabled
	}
	var state admission.State
	err := r.loop.call(ctx, func() error {
		state = r.loop.admission.admission.State(shownTenants)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(state)
}

// clientAddr is the address of a client, without the port.
func clientAddr(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
