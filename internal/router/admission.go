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

// AdmissionConfig is the configuration of fair admission from an operator file.
type AdmissionConfig struct {
	// Rules are the admission rules. Classes is empty here; it comes from the platform's settings.
	Rules admission.Config
	// Tenants are the rules that assign a request to a tenant.
	Tenants admission.TenantRules
}

// admissionControl passes requests through admission before the Balancer, if the operator file
// enables it. It belongs to the loop. A nil *admissionControl means that admission is disabled.
type admissionControl struct {
	loop      *loop
	admission *admission.Admission
	tenants   admission.TenantRules
	// classIndex maps the class names of the initial settings to admission's indices.
	classIndex map[string]int
	// otherClassIndex is the common index of all classes added by a reload.
	otherClassIndex int
	// timer fires at the next deadline of a queued request.
	timer *timer
	// processes is the number of processes that share the router's limit; 0 = not known yet.
	processes int
}

// admissionStage is the state of a request in admission.
type admissionStage int

const (
	// admissionNone: the request has not reached admission or has left it.
	admissionNone admissionStage = iota
	admissionQueued
	admissionAdmitted
)

// otherClassName is the name that admission reports for all classes added by a reload.
const otherClassName = "(others)"

// newAdmission creates admission from the operator's rules and the platform's classes.
func newAdmission(l *loop, cfg *Config) (*admissionControl, error) {
	ad := &admissionControl{loop: l, tenants: cfg.Admission.Tenants, classIndex: map[string]int{}}
	rules := cfg.Admission.Rules
	rules.Classes = nil
	var longestMillis float64
	for _, c := range cfg.settings.Config.Classes {
		ad.classIndex[c.Name] = len(rules.Classes)
		rules.Classes = append(rules.Classes, admission.Class{
			Name:        c.Name,
			CostMillis:  c.LatencyObjectiveMillis, // the only known estimate of the cost before any measurement
			HasPriority: c.Effect != decide.Idempotent,
		})
		longestMillis = max(longestMillis, c.LatencyObjectiveMillis)
	}
	ad.otherClassIndex = len(rules.Classes)
	rules.Classes = append(rules.Classes, admission.Class{Name: otherClassName, CostMillis: longestMillis})
	var err error
	ad.admission, err = admission.New(withPlatformBounds(rules, cfg), cfg.seed, ad)
	return ad, err
}

// withPlatformBounds replaces the operator's limit on Retry-After by the platform's, if it has one.
func withPlatformBounds(rules admission.Config, cfg *Config) admission.Config {
	if bound := cfg.settings.Config.MaxRetryAfterMillis; bound > 0 {
		rules.MaxRetryAfterMillis = bound
	}
	return rules
}

// check returns a *admission.SettingError for a setting that can't be changed in this process.
func (ad *admissionControl) check(cfg *Config) error {
	switch {
	case ad == nil && cfg.Admission == nil:
		return nil
	case ad == nil || cfg.Admission == nil:
		return &admission.SettingError{Setting: "enabled", Reason: "a change requires a new process"}
	}
	return ad.admission.Check(withPlatformBounds(cfg.Admission.Rules, cfg))
}

// reconfigure applies the rules of a configuration that check has accepted.
func (ad *admissionControl) reconfigure(cfg *Config) {
	if ad == nil {
		return
	}
	rules := withPlatformBounds(cfg.Admission.Rules, cfg)
	if err := ad.admission.Reconfigure(ad.loop.now(), rules); err != nil {
		slog.Warn("admission: the new rules were rejected, the previous ones stay in force", "error", err)
		return
	}
	ad.tenants = cfg.Admission.Tenants
	ad.setTimer()
}

// handleArrival passes a new request to admission, which admits, queues or rejects it.
func (ad *admissionControl) handleArrival(r *request, remainingMillis float64) {
	var client netip.Addr
	if ad.tenants.UsesNetwork() {
		client = clientAddr(r.response.conn.Conn)
	}
	class, ok := ad.classIndex[r.command.class]
	if !ok {
		class = ad.otherClassIndex
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
	ad.setTimer()
}

// handleEnd notifies admission of a request's end: whether it was served, whether the Balancer
// rejected it, and the size of the answer. If a request ends while it is queued, its client has
// disconnected or it was rejected at its deadline.
func (ad *admissionControl) handleEnd(r *request, served, rejected bool, responseBytes int) {
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
	ad.setTimer()
}

// setTimer sets the timer for the next deadline of a queued request.
func (ad *admissionControl) setTimer() {
	next := ad.admission.NextDeadline()
	if ad.timer != nil && ad.timer.heapIndex >= 0 && ad.timer.at <= next {
		return // the timer fires earlier and is then set again
	}
	ad.loop.timers.stop(ad.timer)
	if math.IsInf(next, 1) {
		return
	}
	ad.timer = ad.loop.after(next-ad.loop.now(), func() {
		ad.admission.Tick(ad.loop.now())
		ad.setTimer()
	})
}

// Admit passes an admitted request to the Balancer, deferred until the current call has returned.
func (ad *admissionControl) Admit(id uint32) {
	r := ad.loop.requests[id]
	if r == nil {
		return
	}
	r.admissionStage = admissionAdmitted
	r.admittedAt = ad.loop.now()
	ad.loop.deferred = append(ad.loop.deferred, func() {
		if !r.isDone {
			ad.loop.passToBalancer(ad.loop.now(), r)
		}
	})
}

// Reject answers a request that admission has rejected, with a Retry-After if the platform's
// settings ask for it.
func (ad *admissionControl) Reject(id uint32, retryAfterMillis float64) {
	r := ad.loop.requests[id]
	if r == nil {
		return
	}
	r.admissionStage = admissionNone
	if !ad.loop.rules.Load().sendsRetryAfter {
		retryAfterMillis = 0
	}
	ad.loop.Reject(id, math.Ceil(retryAfterMillis))
}

// shownTenants limits how many tenants AdmissionState lists by name.
const shownTenants = 100

// AdmissionState returns the state of admission as JSON of admission.State, or admin.ErrNotEnabled
// if admission is not enabled.
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

// clientAddr returns a client's IP address.
func clientAddr(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
