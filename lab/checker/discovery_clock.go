package checker

import (
	"math"
	"slices"
)

// A change of the list counts as received by a router at these times, whether it arrived or not.
const (
	maxListDelayMillis      = 6000 // after discovery listed it and was reachable, or after a watch fell silent
	maxDelayAfterWaitMillis = 2000 // with a silent watch: not before this long after the end of its wait
	maxMoveDelayMillis      = 4000 // after a configuration with another discovery address, for changes listed by then
)

// silentWatch is a watch of a router that discovery stopped answering.
type silentWatch struct{ at, waitEndAt float64 }

// discoveryHistory holds the events of discovery, whether or not routers received its answers.
type discoveryHistory struct {
	listed  map[string][]Event // by server
	down    []span
	calls   map[string][]float64     // by router
	silence map[string][]silentWatch // by router
	moves   map[string][]float64     // by router: switches to another discovery
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

// reachableAt returns the first time from at on at which discovery is reachable; +Inf if there is none.
func (d *discoveryHistory) reachableAt(at float64) float64 {
	for _, s := range d.down {
		if s.from <= at && at < s.to {
			at = s.to
		}
	}
	return at
}

// assumedReceivedAt returns the latest time at which a change of the list counts as received by a
// router. Of several such times the earliest applies, with one exception: a pushed change that follows
// a move to another discovery counts as received no sooner than maxMoveDelayMillis after the move. A
// move sets no time for changes that discovery was unreachable to deliver within that delay.
func (d *discoveryHistory) assumedReceivedAt(router string, listedAt float64, isPushed bool) float64 {
	receivedAt := d.assumedReceivedByWatch(router, listedAt, isPushed)
	for _, movedAt := range d.moves[router] {
		byMove := movedAt + maxMoveDelayMillis
		switch {
		case d.reachableAt(max(movedAt, listedAt)) > byMove:
		case isPushed && listedAt >= movedAt:
			receivedAt = max(receivedAt, byMove)
		default:
			receivedAt = min(receivedAt, byMove)
		}
	}
	return receivedAt
}

// assumedReceivedByWatch returns the same for a router whose discovery address does not change.
func (d *discoveryHistory) assumedReceivedByWatch(router string, listedAt float64, isPushed bool) float64 {
	reachableAt := d.reachableAt(listedAt)
	receivedAt := reachableAt + maxListDelayMillis
	if isPushed {
		receivedAt = reachableAt
	}
	watch, isSilent := d.silentWatchAt(router, listedAt)
	if !isSilent {
		return receivedAt
	}
	bySilence := max(watch.at+maxListDelayMillis, watch.waitEndAt+maxDelayAfterWaitMillis, reachableAt)
	if calledAt := d.nextCall(router, watch.at); calledAt < bySilence {
		// After a new call the silent watch justifies no further delay.
		return min(bySilence, max(receivedAt, calledAt))
	}
	return bySilence
}

// silentWatchAt returns a router's watch that was silent at a time, with no later call of the router
// until then.
func (d *discoveryHistory) silentWatchAt(router string, at float64) (newest silentWatch, found bool) {
	for _, watch := range d.silence[router] {
		if watch.at <= at && d.nextCall(router, watch.at) > at {
			newest, found = watch, true
		}
	}
	return newest, found
}

// nextCall returns the time of a router's first call after a time; +Inf if there is none.
func (d *discoveryHistory) nextCall(router string, after float64) float64 {
	for _, at := range d.calls[router] {
		if at > after {
			return at
		}
	}
	return math.Inf(1)
}

// addAssumedDrains adds for each router the intervals in which a server counts as draining because the
// router is assumed to have received the change. An interval ends when the list shows the server as
// active again, because a router may receive that at once.
func (h *history) addAssumedDrains(r Rules) {
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
				if at := h.discovery.assumedReceivedAt(router, change.At, r.HasPushedList); at < activeAt {
					key := routerServer{router, server}
					h.drains[key] = append(h.drains[key], span{at, activeAt})
				}
			}
		}
	}
}
