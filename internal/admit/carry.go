package admit

import (
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mostCarried bounds the tenants, and the promises, that a process hands to the one after it.
const mostCarried = 2048

// Carried is what a process tells the one that takes its place: how the fleet bears the load, what tenants are owed or
// owe, and what clients were told. Times are relative, so that clocks need not agree. What waits or is in work stays
// with the process that has taken it.
type Carried struct {
	Limit    float64            `json:"limit"`
	Calm     float64            `json:"calm"`
	MeanMS   float64            `json:"mean_ms"`
	TakesMS  float64            `json:"takes_ms"`
	Scale    float64            `json:"scale"`
	Heed     float64            `json:"heed"`
	Work     map[string]float64 `json:"work_ms"`  // by class
	Usual    map[string]float64 `json:"usual_ms"` // by class
	Tenants  []CarriedTenant    `json:"tenants"`
	Promises []CarriedPromise   `json:"promises"`
}

// CarriedTenant is what a tenant has used.
type CarriedTenant struct {
	Name  string  `json:"name"`
	Ahead float64 `json:"ahead"` // its tag before the virtual time: what it was given beyond its share
	Count Count   `json:"count"`
}

// CarriedPromise is a time that a client was told.
type CarriedPromise struct {
	Tenant string  `json:"tenant"`
	Who    uint64  `json:"who"`
	InMS   float64 `json:"in_ms"`
	Cost   float64 `json:"cost"`
}

// HandOver tells a successor what it is to know, in bounded size: the tenants used last, and the promises due first.
// Promises of tenants that are not known exactly are left behind.
func (a *Admission) HandOver(now float64) Carried {
	a.begin(now)
	c := Carried{Limit: a.limit, Calm: a.base, MeanMS: a.mean, TakesMS: a.lat, Scale: a.scale, Heed: a.heed,
		Work: map[string]float64{}, Usual: map[string]float64{}}
	for i, k := range a.cfg.Classes {
		c.Work[k.Name], c.Usual[k.Name] = a.work[i], a.usual[i]
	}
	add := func(i int32) {
		if f := &a.flows[i]; f.used && len(c.Tenants) < mostCarried {
			c.Tenants = append(c.Tenants, CarriedTenant{f.tenant(), max(0, f.finish-a.levelOf(f).v), f.count})
		}
	}
	for i := range int32(mostNamed) {
		add(i)
	}
	for i := a.newest; i != none; i = a.flows[i].older {
		add(i)
	}
	due := slices.Clone(a.pexpiry.at)
	slices.SortFunc(due, func(x, y int32) int {
		if a.pexpiry.before(x, y) {
			return -1
		}
		return 1
	})
	for _, i := range due {
		p := a.promises[i]
		if f := &a.flows[p.flow]; f.used && len(c.Promises) < mostCarried {
			c.Promises = append(c.Promises, CarriedPromise{f.tenant(), p.who, p.at - a.now, p.cost})
		}
	}
	return c
}

// TakeOver begins where the process before has got to. It is called before the first request; the error tells that what
// was carried is of no use, and nothing has changed then.
func (a *Admission) TakeOver(now float64, c Carried) error {
	for _, v := range []float64{c.Limit, c.MeanMS, c.Heed} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return fmt.Errorf("admission: carried figure %v", v)
		}
	}
	if !(c.Limit > 0) || !(c.MeanMS > 0) || len(c.Tenants) > mostCarried || len(c.Promises) > mostCarried {
		return fmt.Errorf("admission: carried limit %v, mean %v, %d tenants, %d promises", c.Limit, c.MeanMS, len(c.Tenants), len(c.Promises))
	}
	a.begin(now)
	a.limit = min(a.cfg.Most, max(a.cfg.Least, c.Limit))
	a.high, a.base, a.mean, a.lat, a.scale, a.heed = a.limit, max(0, c.Calm), c.MeanMS, max(0, c.TakesMS), max(0, c.Scale), min(1, c.Heed)
	for i, k := range a.cfg.Classes {
		a.work[i], a.usual[i] = max(0, c.Work[k.Name]), max(0, c.Usual[k.Name])
	}
	exact := 0
	for _, t := range slices.Backward(c.Tenants) { // the one used last becomes the newest here too
		if _, ok := a.named[t.Name]; !ok {
			if exact++; exact > a.cfg.Flows {
				continue
			}
		}
		i, _ := a.find(t.Name)
		if f := &a.flows[i]; f.used && t.Ahead >= 0 && !math.IsInf(t.Ahead, 0) {
			f.finish, f.count = a.levelOf(f).v+t.Ahead, t.Count
		}
	}
	for _, p := range c.Promises {
		i, ok := a.named[p.Tenant]
		if !ok {
			i, ok = a.exact[xxhash.Sum64String(p.Tenant)]
		}
		if ok && p.InMS >= -a.cfg.MaxAfterMS-keepMS && p.InMS <= 2*a.cfg.MaxAfterMS && p.Cost > 0 && p.Cost < math.MaxFloat32 {
			a.promise(p.Who, i, max(0, p.InMS), p.Cost)
		}
	}
	return nil
}

// Share splits the limit when the processes that are this router become more or fewer.
func (a *Admission) Share(now, of float64) {
	a.begin(now)
	a.limit = min(a.cfg.Most, max(a.cfg.Least, a.limit*of))
	a.high = max(a.limit, a.high*of)
	a.pump()
}
