package router

// The list of servers as the router holds it: what discovery tells goes to the Balancer, and connections follow it.

import (
	"log/slog"

	"dockhinge.example/dockhinge/decide"
)

// list takes a list of servers.
func (l *loop) list(kind decide.EndpointUpdateKind, got list) {
	l.keep(kind, got)
	entries := make([]decide.Endpoint, 0, len(got.Servers))
	named := map[uint32]bool{}
	for _, e := range got.Servers {
		d, err := e.decided()
		if err != nil {
			slog.Warn("discovery: entry passed over", "error", err)
			continue
		}
		entries, named[d.ID] = append(entries, d), true
		l.names.add(e.ID, d.ID)
		t := l.targets[d.ID]
		if t == nil && d.State == decide.Ready {
			entries = append(entries, l.replaced(d, e.Addr)...)
		}
		switch {
		case d.State == decide.Removed:
			l.cancelUnsentTo(d.ID)
			l.drop(d.ID)
		case t == nil || t.addr != e.Addr:
			l.cancelUnsentTo(d.ID)
			l.drop(d.ID)
			l.targets[d.ID] = l.up.add(e.Addr, e.Kind == l.originKind)
			l.targets[d.ID].started = d.StartedAt
		case t.started != d.StartedAt: // connections to the process before it are dead, perhaps without a word
			t.started = d.StartedAt
			l.up.closeIdle(t)
		}
		if d.State == decide.Draining {
			l.cancelUnsentTo(d.ID)
		}
	}
	if kind == decide.AllEndpoints || kind == decide.RestoredEndpoints {
		for id := range l.targets {
			if !named[id] {
				l.cancelUnsentTo(id)
				l.drop(id)
			}
		}
	}
	l.trace.Event(l.now(), "list", "kind=%d lines=%d version=%d", kind, len(entries), got.Version)
	l.b.UpdateEndpoints(l.now(), kind, entries)
	l.count()
	if len(l.targets) > 0 {
		l.ready.Store(true)
	}
}

// reportEvery is how old the figures of servers get, in milliseconds.
const reportEvery = 200

// report keeps the figures of servers up to date.
func (l *loop) report() {
	l.count()
	l.trace.Flush(l.now())
	l.after(reportEvery, l.report)
}

func (l *loop) count() {
	listed, avoided := l.b.CountEndpoints()
	l.metrics.Targets.Store(int64(listed))
	l.metrics.TargetsDisabled.Store(int64(avoided))
}

// replaced is the end of the servers that were at the address of a new one: it has come in their place, though the news
// of their end may be late, and what is meant for them would reach it, cold as it is.
func (l *loop) replaced(by decide.Endpoint, addr string) (gone []decide.Endpoint) {
	for old, t := range l.targets {
		if t.addr == addr && by.StartedAt > t.started {
			l.cancelUnsentTo(old)
			l.drop(old)
			gone = append(gone, decide.Endpoint{ID: old, State: decide.Removed})
		}
	}
	return gone
}

// follow hears d from now on, and no discovery before it. The list that is held stays until d gives a whole one.
func (l *loop) follow(d *discovery) {
	if l.disc != nil {
		d.watch() // the Balancer has asked already, of the one before
	}
	l.disc, l.floor = d, floor{} // its versions may be others
}

func (l *loop) drop(id uint32) {
	if t := l.targets[id]; t != nil {
		delete(l.targets, id)
		l.up.remove(t)
	}
}
