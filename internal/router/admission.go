package router

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/netip"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/admit"
)

// admission stands between a request's arrival and the Balancer, where the operator file has it. All of it is the loop's.
type admission struct {
	l      *loop
	a      *admit.Admission
	who    admit.Identify
	class  map[string]int
	others int    // the place of classes that a reload has brought
	due    *timer // for what waits
}

// Admit has requests pass fair admission from now on. It must be called before Run.
func (r *Router) Admit(cfg admit.Config, who admit.Identify) error {
	ad := &admission{l: r.l, who: who, class: map[string]int{}}
	var longest float64
	for _, c := range r.cfg.settings.Config.Classes {
		ad.class[c.Name] = len(cfg.Classes)
		// The aim tells, class by class, how much work is meant; attempts beyond the first are charged when it ends.
		cfg.Classes = append(cfg.Classes, admit.Class{Name: c.Name, Cost: c.Aim, First: c.Effect != decide.Repeatable})
		longest = max(longest, c.Aim)
	}
	ad.others = len(cfg.Classes)
	cfg.Classes = append(cfg.Classes, admit.Class{Name: "(others)", Cost: longest})
	if m := r.cfg.settings.Config.MaxAfter; m > 0 {
		cfg.MaxAfterMS = m
	}
	var err error
	if ad.a, err = admit.New(cfg, r.cfg.seed, ad); err != nil {
		return err
	}
	r.l.admission = ad
	return nil
}

// arrive takes a request that the loop has taken.
func (ad *admission) arrive(r *request, left float64) {
	class, ok := ad.class[r.cmd.class]
	if !ok {
		class = ad.others
	}
	r.door = doorWaits
	ad.a.Arrive(ad.l.now(), admit.Request{ID: r.id, Tenant: ad.who.Tenant(r.cmd.tenant, r.cmd.key, r.from), Class: class,
		Key: keyID(r.cmd.key), Size: r.cmd.length, Left: left, Retry: r.cmd.retry})
	ad.arm()
}

// gone tells that the client of a request has left.
func (ad *admission) gone(r *request) {
	if r.door == doorWaits {
		r.door = doorOut
		ad.a.Gone(ad.l.now(), r.id)
		ad.arm()
	}
}

// ended tells what became of a request that was let in.
func (ad *admission) ended(r *request, served, refused bool, size int) {
	if r.door != doorIn {
		return
	}
	r.door = doorOut
	now := ad.l.now()
	ad.a.Ended(now, admit.End{ID: r.id, Served: served, Refused: refused, Latency: now - r.began, Attempts: len(r.tries), Work: r.work, Size: size})
	ad.arm()
}

// arm sees to it that what waits is looked at in time.
func (ad *admission) arm() {
	next := ad.a.Next()
	if ad.due != nil && ad.due.i >= 0 && ad.due.at <= next {
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
func (ad *admission) Admit(id uint32) {
	r := ad.l.reqs[id]
	if r == nil {
		return
	}
	r.door, r.began = doorIn, ad.l.now()
	ad.l.later = append(ad.l.later, func() {
		if !r.over {
			ad.l.decide(ad.l.now(), r)
		}
	})
}

// Refuse ends a request at the door.
func (ad *admission) Refuse(id uint32, after float64) {
	if r := ad.l.reqs[id]; r != nil {
		r.door = doorOut
		if ad.l.rules.Load().tells {
			ad.l.Refuse(id, math.Ceil(after))
		} else {
			ad.l.Refuse(id, 0)
		}
	}
}

// shownTenants is how many tenants are shown by name.
const shownTenants = 100

// Admission is how the door stands, in JSON; admin.ErrOff tells that there is none.
func (r *Router) Admission(ctx context.Context) ([]byte, error) {
	if r.l.admission == nil {
		return nil, admin.ErrOff
	}
	var s admit.State
	if err := r.l.do(ctx, func() error { s = r.l.admission.a.State(shownTenants); return nil }); err != nil {
		return nil, err
	}
	return json.Marshal(s)
}

// The places of a request before the Balancer.
const (
	doorNone  = iota // there is no door
	doorWaits        // waits there
	doorIn           // was let in
	doorOut          // is no matter of the door's any more
)

// addrOf is the address of a client, without the port.
func addrOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
