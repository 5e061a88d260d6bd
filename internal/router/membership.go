package router

// The endpoint list as the router holds it: what discovery sends goes to the Balancer, and
// connections follow it.

import (
	"log/slog"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// membership is the endpoint list and what has been decided of its servers from outside. It belongs
// to the loop.
type membership struct {
	// originKind is the kind of the endpoint that is the origin.
	originKind string
	// targets are the servers on the list, by the Balancer's id.
	targets map[uint32]*target
	// entries is the list itself, by name, for a successor; nil before the first list.
	entries map[string]listEntry
	// listVersion is the version of entries.
	listVersion int64
	staleGuard  staleGuard
	serverIDs   serverIDs
	// disabledByOperator holds the names of servers that operators have disabled, up to maxServerIDs.
	disabledByOperator map[string]bool
	// disabledByFleet holds the names of servers that the fleet has agreed to disable, up to
	// maxServerIDs.
	disabledByFleet map[string]bool
}

func newMembership(originKind string) membership {
	return membership{
		originKind:         originKind,
		targets:            map[uint32]*target{},
		disabledByOperator: map[string]bool{},
		disabledByFleet:    map[string]bool{},
	}
}

// updateEndpoints takes an update of the endpoint list: connections first, then the Balancer.
func (l *loop) updateEndpoints(kind decide.EndpointUpdateKind, update endpointList) {
	l.recordList(kind, update)
	endpoints := make([]decide.Endpoint, 0, len(update.Servers))
	listed := map[uint32]bool{}
	for _, e := range update.Servers {
		endpoint, err := e.endpoint()
		if err != nil {
			slog.Warn("discovery: entry passed over", "error", err)
			continue
		}
		endpoints = append(endpoints, endpoint)
		listed[endpoint.ID] = true
		l.serverIDs.add(e.ID, endpoint.ID)
		if l.targets[endpoint.ID] == nil && endpoint.State == decide.Ready {
			endpoints = append(endpoints, l.removeReplaced(endpoint, e.Addr)...)
		}
		l.updateTarget(endpoint, e)
	}
	if kind == decide.AllEndpoints || kind == decide.RestoredEndpoints {
		l.removeUnlisted(listed)
	}
	l.trace.Event(l.now(), "list", "kind=%d lines=%d version=%d", kind, len(endpoints), update.Version)
	l.balancer.UpdateEndpoints(l.now(), kind, endpoints)
	l.publishEndpointCounts()
	if len(l.targets) > 0 {
		l.hasEndpoints.Store(true)
	}
}

// updateTarget has the connections to a server follow its entry on the list.
func (l *loop) updateTarget(endpoint decide.Endpoint, e listEntry) {
	id := endpoint.ID
	t := l.targets[id]
	switch {
	case endpoint.State == decide.Removed:
		l.removeTarget(id)
	case t == nil || t.addr != e.Addr:
		l.removeTarget(id)
		t = l.upstreams.add(e.Addr, e.Kind == l.originKind)
		t.startedAt = endpoint.StartedAt
		l.targets[id] = t
	case t.startedAt != endpoint.StartedAt: // connections to the process before are dead, and may not show it
		t.startedAt = endpoint.StartedAt
		l.upstreams.closeIdle(t)
	}
	if endpoint.State == decide.Draining {
		l.cancelUnsentTo(id)
	}
}

// removeTarget ends what is sent to a server. Attempts that are written still end by themselves.
func (l *loop) removeTarget(id uint32) {
	l.cancelUnsentTo(id)
	if t := l.targets[id]; t != nil {
		delete(l.targets, id)
		l.upstreams.remove(t)
	}
}

// removeUnlisted removes the servers that a complete list does not name.
func (l *loop) removeUnlisted(listed map[uint32]bool) {
	for id := range l.targets {
		if !listed[id] {
			l.removeTarget(id)
		}
	}
}

// removeReplaced removes the servers that were at the address of a new one and returns their removal
// for the Balancer. The new one has replaced them, though discovery may say so later: what is meant
// for them would reach the new one, which is cold.
func (l *loop) removeReplaced(by decide.Endpoint, addr string) (removed []decide.Endpoint) {
	for id, t := range l.targets {
		if t.addr == addr && by.StartedAt > t.startedAt {
			l.removeTarget(id)
			removed = append(removed, decide.Endpoint{ID: id, State: decide.Removed})
		}
	}
	return removed
}

// recordList keeps the list for a successor.
func (l *loop) recordList(kind decide.EndpointUpdateKind, update endpointList) {
	if kind == decide.WatchFailed {
		return
	}
	if kind != decide.ChangedEndpoints || l.entries == nil {
		l.entries = make(map[string]listEntry, len(update.Servers))
	}
	l.listVersion = update.Version
	for _, e := range update.Servers {
		if e.State == stateRemoved {
			delete(l.entries, e.ID)
		} else {
			l.entries[e.ID] = e
		}
	}
}

// currentList is the list as it is held.
func (l *loop) currentList() endpointList {
	list := endpointList{Version: l.listVersion, IsComplete: true}
	for _, e := range l.entries {
		list.Servers = append(list.Servers, e)
	}
	return list
}

// reportIntervalMillis is how old the metrics of the endpoint list may be.
const reportIntervalMillis = 200

// reportPeriodically publishes the metrics of the endpoint list and flushes the trace.
func (l *loop) reportPeriodically() {
	l.publishEndpointCounts()
	l.trace.Flush(l.now())
	l.after(reportIntervalMillis, l.reportPeriodically)
}

// publishEndpointCounts publishes how many servers are listed and how many of them are avoided.
func (l *loop) publishEndpointCounts() {
	listed, avoided := l.balancer.CountEndpoints()
	l.metrics.Targets.Store(int64(listed))
	l.metrics.TargetsDisabled.Store(int64(avoided))
}

// staleGuard drops lists below a version that another process has sent: for a while discovery may
// still answer with what was before.
type staleGuard struct {
	version   int64
	expiresAt time.Time
}

// staleGuardTime is how long a guard holds. A lower version after that is not an old answer, but
// discovery counting anew.
const staleGuardTime = 10 * time.Second

// raise drops lists below a version from now on.
func (g *staleGuard) raise(version int64) {
	g.version = version
	g.expiresAt = time.Now().Add(staleGuardTime)
}

// isStale reports whether a list of this version is to be dropped.
func (g *staleGuard) isStale(version int64) bool {
	return version < g.version && time.Now().Before(g.expiresAt)
}
