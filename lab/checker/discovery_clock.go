package checker

import (
	"math"
	"slices"
)

// A change of the list counts as told to a router, whether it arrived or not,
const (
	listClockMillis    = 6000 // this long after discovery had it and could be reached, or after a watch fell silent;
	waitEndClockMillis = 2000 // for a watch that fell silent also no sooner than this after the end of its wait
	moveClockMillis    = 4000 // this long after a configuration that names another discovery, for what discovery has by then
)

// silentWatch is a router's watch that fell silent.
type silentWatch struct{ at, waitEndAt float64 }

// discoveryHistory is what discovery did, whatever routers heard of it.
type discoveryHistory struct {
	listed  map[string][]Event // by server
	down    []span
	calls   map[string][]float64     // by router
	silence map[string][]silentWatch // by router
	moves   map[string][]float64     // by router: to another discovery
}

func newDiscoveryHistory() discoveryHistory {
	return discoveryHistory{
		listed:  map[string][]Event{},
		calls:   map[string][]float64{},
		silence: map[string][]silentWatch{},
		moves:   map[string][]float64{},
	}
}

func (d *discoveryHistory) add(e Event) {
	switch e.Kind {
	case ServerStateListed:
		d.listed[e.Server] = append(d.listed[e.Server], e)
	case DiscoveryDown:
		d.down = append(d.down, span{e.At, math.Inf(1)})
	case DiscoveryUp:
		if len(d.down) > 0 {
			d.down[len(d.down)-1].to = e.At
		}
	case ListCalled:
		d.calls[e.Router] = append(d.calls[e.Router], e.At)
	case WatchSilent:
		d.silence[e.Router] = append(d.silence[e.Router], silentWatch{e.At, e.At + e.Deadline})
	case DiscoveryMoved:
		d.moves[e.Router] = append(d.moves[e.Router], e.At)
	}
}

// reachableAt is when discovery can first be reached from a time on; +Inf where it never can.
func (d *discoveryHistory) reachableAt(at float64) float64 {
	for _, s := range d.down {
		if s.from <= at && at < s.to {
			at = s.to
		}
	}
	return at
}

// toldByClock is when a change of the list counts as told to a router at the latest. Of several times
// the earliest holds; only what is pushed counts no sooner than moveClockMillis after a move that came
// before the change. A move says nothing of what discovery could tell nobody within that time.
func (d *discoveryHistory) toldByClock(router string, listedAt float64, isPushed bool) float64 {
	told := d.toldByWatch(router, listedAt, isPushed)
	for _, movedAt := range d.moves[router] {
		byMove := movedAt + moveClockMillis
		switch {
		case d.reachableAt(max(movedAt, listedAt)) > byMove:
		case isPushed && listedAt >= movedAt:
			told = max(told, byMove)
		default:
			told = min(told, byMove)
		}
	}
	return told
}

// toldByWatch is the same for a router that stays with its discovery.
func (d *discoveryHistory) toldByWatch(router string, listedAt float64, isPushed bool) float64 {
	reachableAt := d.reachableAt(listedAt)
	told := reachableAt + listClockMillis
	if isPushed {
		told = reachableAt
	}
	watch, isSilent := d.silentWatchAt(router, listedAt)
	if !isSilent {
		return told
	}
	bySilence := max(watch.at+listClockMillis, watch.waitEndAt+waitEndClockMillis, reachableAt)
	if calledAt := d.nextCall(router, watch.at); calledAt < bySilence { // a new call: the silent watch is no excuse any more
		return min(bySilence, max(told, calledAt))
	}
	return bySilence
}

// silentWatchAt is the watch of a router that had fallen silent by then, and after which it had not called again.
func (d *discoveryHistory) silentWatchAt(router string, at float64) (newest silentWatch, found bool) {
	for _, watch := range d.silence[router] {
		if watch.at <= at && d.nextCall(router, watch.at) > at {
			newest, found = watch, true
		}
	}
	return newest, found
}

// nextCall is when a router next calls after a time; +Inf where it does not.
func (d *discoveryHistory) nextCall(router string, after float64) float64 {
	for _, at := range d.calls[router] {
		if at > after {
			return at
		}
	}
	return math.Inf(1)
}

// addClockDrains adds for each router the spans in which a server counts as draining by the clock alone. Such a span ends when the
// list has the server as active again: a router may hear of it at once.
func (h *history) addClockDrains(r Rules) {
	for server, changes := range h.discovery.listed {
		for i, change := range changes {
			if change.State == "active" || i > 0 && changes[i-1].State != "active" {
				continue
			}
			activeAt := math.Inf(1)
			if next := slices.IndexFunc(changes[i:], func(e Event) bool { return e.State == "active" }); next >= 0 {
				activeAt = changes[i+next].At
			}
			for router := range h.routers {
				if told := h.discovery.toldByClock(router, change.At, r.HasPushedList); told < activeAt {
					key := routerServer{router, server}
					h.drains[key] = append(h.drains[key], span{told, activeAt})
				}
			}
		}
	}
}
