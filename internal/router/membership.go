package router

// The list of servers as the router holds it: what discovery tells goes to the Balancer, and connections follow it.

import (
	"log/slog"

	"dockhinge.example/dockhinge/decide"
)

// updateEndpoints takes a list of servers.
func (l *loop) updateEndpoints(kind decide.EndpointUpdateKind, got endpointList) {
	l.recordList(kind, got)
	entries := make([]decide.Endpoint, 0, len(got.Servers))
	named := map[uint32]bool{}
	for _, e := range got.Servers {
		d, err := e.endpoint()
		if err != nil {
			slog.Warn("discovery: entry passed over", "error", err)
			continue
		}
		entries, named[d.ID] = append(entries, d), true
		l.serverIDs.add(e.ID, d.ID)
		t := l.targets[d.ID]
		if t == nil && d.State == decide.Ready {
			entries = append(entries, l.removeReplaced(d, e.Addr)...)
		}
		switch {
		case d.State == decide.Removed:
			l.cancelUnsentTo(d.ID)
			l.removeTarget(d.ID)
		case t == nil || t.addr != e.Addr:
			l.cancelUnsentTo(d.ID)
			l.removeTarget(d.ID)
			l.targets[d.ID] = l.upstreams.add(e.Addr, e.Kind == l.originKind)
			l.targets[d.ID].startedAt = d.StartedAt
		case t.startedAt != d.StartedAt: // connections to the process before it are dead, perhaps without a word
			t.startedAt = d.StartedAt
			l.upstreams.closeIdle(t)
		}
		if d.State == decide.Draining {
			l.cancelUnsentTo(d.ID)
		}
	}
	if kind == decide.AllEndpoints || kind == decide.RestoredEndpoints {
		for id := range l.targets {
			if !named[id] {
				l.cancelUnsentTo(id)
				l.removeTarget(id)
			}
		}
	}
	l.trace.Event(l.now(), "list", "kind=%d lines=%d version=%d", kind, len(entries), got.Version)
	l.balancer.UpdateEndpoints(l.now(), kind, entries)
	l.publishEndpointCounts()
	if len(l.targets) > 0 {
		l.hasEndpoints.Store(true)
	}
}

// reportIntervalMillis is how old the figures of servers get, in milliseconds.
const reportIntervalMillis = 200

// reportPeriodically keeps the figures of servers up to date.
func (l *loop) reportPeriodically() {
	l.publishEndpointCounts()
	l.trace.Flush(l.now())
	l.after(reportIntervalMillis, l.reportPeriodically)
}

func (l *loop) publishEndpointCounts() {
	listed, avoided := l.balancer.CountEndpoints()
	l.metrics.Targets.Store(int64(listed))
	l.metrics.TargetsDisabled.Store(int64(avoided))
}

// removeReplaced is the end of the servers that were at the address of a new one: it has come in their place, though the news
// of their end may be late, and what is meant for them would reach it, cold as it is.
func (l *loop) removeReplaced(by decide.Endpoint, addr string) (gone []decide.Endpoint) {
	for old, t := range l.targets {
		if t.addr == addr && by.StartedAt > t.startedAt {
			l.cancelUnsentTo(old)
			l.removeTarget(old)
			gone = append(gone, decide.Endpoint{ID: old, State: decide.Removed})
		}
	}
	return gone
}

// setDiscovery hears d from now on, and no discovery before it. The list that is held stays until d gives a whole one.
func (l *loop) setDiscovery(d *discovery) {
	if l.discovery != nil {
		d.requestWatch() // the Balancer has asked already, of the one before
	}
	l.discovery, l.staleGuard = d, staleGuard{} // its versions may be others
}

func (l *loop) removeTarget(id uint32) {
	if t := l.targets[id]; t != nil {
		delete(l.targets, id)
		l.upstreams.remove(t)
	}
}
