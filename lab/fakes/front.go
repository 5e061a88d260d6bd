package fakes

import (
	"errors"
	"sync"
)

// Front distributes clients' connections over routers round robin, those of the client's zone first. It
// notices the death of a router late. Its methods may be called concurrently.
type Front struct {
	clock *Clock

	mu        sync.Mutex
	routers   []*frontRouter
	nextIndex int
}

type frontRouter struct {
	name, zone, addr string
	from, usedUntil  float64 // the time in which it is used; usedUntil is when its death is noticed
	isEnding         bool    // it is shutting down, and clients go on using their open connections
}

// EndingRouter is a router that is shutting down.
type EndingRouter struct {
	Name, Addr string
	// Share is the share of all requests that come from its clients.
	Share float64
}

// ErrNoRouter is returned when no router is in use.
var ErrNoRouter = errors.New("no router is in use")

const forever = 1e18

// NewFront returns a front without routers.
func NewFront(clock *Clock) *Front { return &Front{clock: clock} }

// AddRouter adds a router, or updates the one with that name, for use from now on.
func (f *Front) AddRouter(name, zone, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		if r.name == name {
			r.zone, r.addr, r.usedUntil, r.isEnding = zone, addr, forever, false
			return
		}
	}
	f.routers = append(f.routers, &frontRouter{name: name, zone: zone, addr: addr,
		from: f.clock.Now(), usedUntil: forever})
}

// ReportRouterDeath reports that a router died. The front notices it noticeMS later.
func (f *Front) ReportRouterDeath(name string, noticeMS float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		if r.name == name {
			r.usedUntil = f.clock.Now() + noticeMS
		}
	}
}

// ReportRouterEnding reports that a router is shutting down. It gets new connections for noticeMS more,
// and clients use their connections to it for as long as these stay open.
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

// EndingRouters returns the routers that are shutting down and were not added again.
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

// Pick returns a router for a client of a zone, from another zone if the client's has none. It returns
// ErrNoRouter if none is in use.
func (f *Front) Pick(zone string) (name, addr string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, anyZone := range []bool{false, true} {
		for range f.routers {
			f.nextIndex++
			if r := f.routers[f.nextIndex%len(f.routers)]; now < r.usedUntil &&
				(anyZone || zone == "" || r.zone == zone) {
				return r.name, r.addr, nil
			}
		}
	}
	return "", "", ErrNoRouter
}
