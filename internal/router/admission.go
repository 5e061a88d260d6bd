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
	l         *loop
	a         *admission.Admission
	who       admission.Identify
	class     map[string]int
	others    int    // the place of classes that a reload has brought
	due       *timer // for what waits
	processes int    // that are this router, and share the limit
}

// Admission is what an operator file says of fair admission.
type Admission struct {
	Rules admission.Config // but for the classes, which are the platform's
	Who   admission.Identify
}

// newAdmission places the door before the Balancer.
func newAdmission(l *loop, cfg *Config) (*admissionControl, error) {
	ad := &admissionControl{l: l, who: cfg.Admission.Who, class: map[string]int{}}
	rules := cfg.Admission.Rules
	rules.Classes = nil
	var longest float64
	for _, c := range cfg.settings.Config.Classes {
		ad.class[c.Name] = len(rules.Classes)
		// The aim tells, class by class, how much work is meant, until it has been measured.
		rules.Classes = append(rules.Classes, admission.Class{Name: c.Name, Cost: c.LatencyObjectiveMillis, First: c.Effect != decide.Idempotent})
		longest = max(longest, c.LatencyObjectiveMillis)
	}
	ad.others = len(rules.Classes)
	rules.Classes = append(rules.Classes, admission.Class{Name: "(others)", Cost: longest})
	var err error
	ad.a, err = admission.New(withCaps(rules, cfg), cfg.seed, ad)
	return ad, err
}

// withCaps has the platform's bound on times told go before the operator's.
func withCaps(rules admission.Config, cfg *Config) admission.Config {
	if m := cfg.settings.Config.MaxRetryAfterMillis; m > 0 {
		rules.MaxAfterMS = m
	}
	return rules
}

// check tells why the rules of a configuration can't hold from now on.
func (ad *admissionControl) check(cfg *Config) error {
	switch {
	case ad == nil && cfg.Admission == nil:
		return nil
	case ad == nil || cfg.Admission == nil:
		return &admission.Error{Setting: "enabled", Reason: "changes, which takes a new process"}
	}
	return ad.a.Check(withCaps(cfg.Admission.Rules, cfg))
}

// reconfigure has the rules of a configuration, which has been checked, hold from now on.
func (ad *admissionControl) reconfigure(cfg *Config) {
	if ad == nil {
		return
	}
	if err := ad.a.Reconfigure(ad.l.now(), withCaps(cfg.Admission.Rules, cfg)); err != nil {
		slog.Warn("admission: the rules are kept", "error", err)
		return
	}
	ad.who = cfg.Admission.Who
	ad.arm()
}

// arrive takes a request that the loop has taken.
func (ad *admissionControl) arrive(r *request, left float64) {
	var from netip.Addr
	if ad.who.ByNetwork() {
		from = addrOf(r.response.conn.Conn)
	}
	class, ok := ad.class[r.command.class]
	if !ok {
		class = ad.others
	}
	r.admissionState = doorWaits
	ad.a.Arrive(ad.l.now(), admission.Request{ID: r.id, Tenant: ad.who.Tenant(r.command.tenant, r.command.key, from), Class: class,
		Key: keyID(r.command.key), Size: r.command.valueBytes, Left: left, Retry: r.command.isRetry})
	ad.arm()
}

// over tells that a request has ended: served or not, refused by the Balancer or not, with an answer of so many bytes. One
// that waited has lost its client, or was refused at its deadline.
func (ad *admissionControl) over(r *request, served, refused bool, size int) {
	if ad == nil {
		return
	}
	was, now := r.admissionState, ad.l.now()
	r.admissionState = doorOut
	switch was {
	case doorWaits:
		ad.a.Gone(now, r.id)
	case doorIn:
		ad.a.Ended(now, admission.End{ID: r.id, Served: served, Refused: refused, Latency: now - r.admittedAt, Attempts: len(r.attempts), Work: r.attemptMillis, Size: size})
	default:
		return
	}
	ad.arm()
}

// arm sees to it that what waits is looked at in time.
func (ad *admissionControl) arm() {
	next := ad.a.Next()
	if ad.due != nil && ad.due.heapIndex >= 0 && ad.due.at <= next {
		return // it is looked at sooner, and armed again then
	}
	ad.l.timers.stop(ad.due)
	if !math.IsInf(next, 1) {
		ad.due = ad.l.after(next-ad.l.now(), func() {
			ad.a.Tick(ad.l.now())
			ad.arm()
		})
	}
}

// Admit lets a request through to the Balancer, after the call that led to it.
func (ad *admissionControl) Admit(id uint32) {
	r := ad.l.requests[id]
	if r == nil {
		return
	}
	r.admissionState, r.admittedAt = doorIn, ad.l.now()
	ad.l.deferred = append(ad.l.deferred, func() {
		if !r.isDone {
			ad.l.decide(ad.l.now(), r)
		}
	})
}

// Reject ends a request at the door.
func (ad *admissionControl) Reject(id uint32, after float64) {
	if r := ad.l.requests[id]; r != nil {
		r.admissionState = doorOut
		if ad.l.rules.Load().tellsRetryAfter {
			ad.l.Reject(id, math.Ceil(after))
		} else {
			ad.l.Reject(id, 0)
		}
	}
}

// shownTenants is how many tenants are shown by name.
const shownTenants = 100

// Door is how admission stands, in JSON; admin.ErrOff tells that there is none.
func (r *Router) Door(ctx context.Context) ([]byte, error) {
	if r.loop.admission == nil {
		return nil, admin.ErrOff
	}
	var s admission.State
	if err := r.loop.call(ctx, func() error { s = r.loop.admission.a.State(shownTenants); return nil }); err != nil {
		return nil, err
	}
	return json.Marshal(s)
}

// The places of a request before the Balancer.
const (
	doorOut   = iota // is no matter of the door's, or not any more
	doorWaits        // waits there
	doorIn           // was let in
)

// addrOf is the address of a client, without the port.
func addrOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
