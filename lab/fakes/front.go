package fakes

import (
	"errors"
	"sync"
)

// Front deals out clients' connections over routers in turn, those of the client's zone first, and
// notices late that a router has died.
type Front struct {
	clock *Clock

	mu      sync.Mutex
	routers []*fronted
	turn    int
}

type fronted struct {
	name, zone, addr string
	from, until      float64 // when it is used; until is when its death is noticed
	isEnding         bool    // it was told to end, and clients go on using the connections that they have
}

// EndingRouter is a router that was told to end.
type EndingRouter struct {
	Name, Addr string
	// Share is that of the requests that its clients have.
	Share float64
}

// ErrNoRouter tells that no router is known to live.
var ErrNoRouter = errors.New("no router")

const forever = 1e18

// NewFront returns a front without routers.
func NewFront(clock *Clock) *Front { return &Front{clock: clock} }

// AddRouter has a router used from now on.
func (f *Front) AddRouter(name, zone, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		if r.name == name {
			r.zone, r.addr, r.until, r.isEnding = zone, addr, forever, false
			return
		}
	}
	f.routers = append(f.routers, &fronted{name: name, zone: zone, addr: addr, from: f.clock.Now(), until: forever})
}

// ReportRouterDeath tells that a router has died, which is noticed noticeMS later.
func (f *Front) ReportRouterDeath(name string, noticeMS float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		if r.name == name {
			r.until = f.clock.Now() + noticeMS
		}
	}
}

// ReportRouterEnding tells that a router was told to end: new connections go on coming for noticeMS, and clients
// use those that they have for as long as they stay open.
func (f *Front) ReportRouterEnding(name string, noticeMS float64) {
	f.ReportRouterDeath(name, noticeMS)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		if r.name == name {
			r.isEnding = true
		}
	}
}

// EndingRouters lists the routers that were told to end and have not come back.
func (f *Front) EndingRouters() (all []EndingRouter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		if r.isEnding {
			all = append(all, EndingRouter{Name: r.name, Addr: r.addr, Share: 1 / float64(len(f.routers))})
		}
	}
	return all
}

// Pick chooses a router for a client of a zone.
func (f *Front) Pick(zone string) (name, addr string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, any := range []bool{false, true} {
		for range f.routers {
			f.turn++
			if r := f.routers[f.turn%len(f.routers)]; now < r.until && (any || zone == "" || r.zone == zone) {
				return r.name, r.addr, nil
			}
		}
	}
	return "", "", ErrNoRouter
}
