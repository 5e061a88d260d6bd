package router

// The router's endpoint list. Updates from discovery go to the connection pools and to the
// Balancer.

import (
	"time"

	"dockhinge.example/dockhinge/decide"
)

// membership holds the endpoint list and the servers disabled by operators or the fleet. It belongs
// to the loop. Its tables have an entry for each listed server; a change of one server costs the same
// whatever their number.
type membership struct {
	// originKind is the kind of endpoint that is the origin.
	originKind string
	// targets holds the listed servers by the Balancer's id.
	targets map[uint32]*target
	// addresses finds targets by their addresses.
	addresses addressIndex
	// updates are the updates of the list that are being applied.
	updates updateQueue
	// entries is the list by server name, kept for a successor process; nil before the first list.
	entries map[string]listEntry
	// listVersion is the version of entries.
	listVersion int64
	staleGuard  staleGuard
	serverIDs   serverIDs
	// disabledByOperator holds the names of servers disabled by operators, at most maxServerIDs.
	disabledByOperator map[string]bool
	// disabledByFleet holds the names of servers that the fleet has agreed to disable, up to
	// maxServerIDs.
	disabledByFleet map[string]bool
}

func newMembership(originKind string) membership {
	return membership{
		originKind:         originKind,
		targets:            map[uint32]*target{},
		addresses:          addressIndex{},
		disabledByOperator: map[string]bool{},
		disabledByFleet:    map[string]bool{},
	}
}

// updateTarget applies a server's list entry to its connections.
func (l *loop) updateTarget(endpoint decide.Endpoint, e listEntry) {
	id := endpoint.ID
	t := l.targets[id]
	switch {
	case endpoint.State == decide.Removed:
		l.removeTarget(id)
	case t == nil || t.addr != e.Addr:
		l.removeTarget(id)
		t = l.upstreams.add(e.Addr, e.Kind == l.originKind)
		t.id = id
		t.startedAt = endpoint.StartedAt
		l.targets[id] = t
		l.addresses.add(t)
	case t.startedAt != endpoint.StartedAt: // connections to the previous process may be dead without showing it
		l.addresses.remove(t)
		t.startedAt = endpoint.StartedAt
		l.addresses.add(t)
		l.upstreams.closeIdle(t)
	}
	if endpoint.State == decide.Draining {
		l.cancelUnsentTo(id)
	}
}

// removeTarget removes a server, so that nothing more is sent to it. Written attempts still
// complete.
func (l *loop) removeTarget(id uint32) {
	l.cancelUnsentTo(id)
	if t := l.targets[id]; t != nil {
		delete(l.targets, id)
		l.addresses.remove(t)
		l.upstreams.remove(t)
	}
}

// removeReplaced removes servers whose address a newer server now has, and returns their removals
// for the Balancer. Discovery may report the removals later; until then their requests would be
// sent to the new server, whose cache is cold.
func (l *loop) removeReplaced(by decide.Endpoint, addr string) (removed []decide.Endpoint) {
	for _, t := range l.addresses.startedBefore(addr, by.StartedAt) {
		l.removeTarget(t.id)
		removed = append(removed, decide.Endpoint{ID: t.id, State: decide.Removed})
	}
	return removed
}

// currentList returns the list currently held.
func (l *loop) currentList() endpointList {
	list := endpointList{Version: l.listVersion, IsComplete: true}
	for _, e := range l.entries {
		list.Servers = append(list.Servers, e)
	}
	return list
}

// reportIntervalMillis is the interval of reportPeriodically.
const reportIntervalMillis = 200

// reportPeriodically publishes the metrics of the endpoint list and flushes the trace.
func (l *loop) reportPeriodically() {
	l.publishEndpointCounts()
	l.trace.Flush(l.now())
	l.after(reportIntervalMillis, l.reportPeriodically)
}

// publishEndpointCounts publishes how many servers are listed and how many of them the Balancer
// avoids.
func (l *loop) publishEndpointCounts() {
	listed, avoided := l.balancer.CountEndpoints()
	l.metrics.Targets.Store(int64(listed))
	l.metrics.TargetsDisabled.Store(int64(avoided))
}

// staleGuard rejects lists older than the version that another process of this router has sent, as
// discovery may still answer with an older list for a while.
type staleGuard struct {
	version   int64
	expiresAt time.Time
}

// staleGuardTime is how long a guard is in force. A lower version after that means that discovery
// has restarted its version count.
const staleGuardTime = 10 * time.Second

// raise sets the minimum version and starts the guard.
func (g *staleGuard) raise(version int64) {
	g.version = version
	g.expiresAt = time.Now().Add(staleGuardTime)
}

// isStale reports whether a list of this version must be dropped.
func (g *staleGuard) isStale(version int64) bool {
	return version < g.version && time.Now().Before(g.expiresAt)
}
