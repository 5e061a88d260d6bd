package router

// Updates of the endpoint list. They are prepared on the goroutine that has received them and applied
// on the loop in steps, between which it answers requests and meets deadlines: the size of a list
// delays nobody.

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"dockhinge.example/dockhinge/decide"
)

const (
	// updateStepEntries is the number of servers that one step looks at.
	updateStepEntries = 32
	// maxStepDelayMillis is how long other events may hold up the next step of an update.
	maxStepDelayMillis = 1
	// maxInvalidLogged is the number of invalid entries of an update that are logged one by one.
	maxInvalidLogged = 10
)

// listUpdate is an update of the endpoint list. Once it is queued it belongs to the loop.
type listUpdate struct {
	kind    decide.EndpointUpdateKind
	version int64
	// entries are the valid entries. Those that end the use of a server come first.
	entries []updateEntry
	// names and ids are those of entries, if the update is a complete list.
	names map[string]struct{}
	ids   map[uint32]struct{}
	// isWanted is asked when the update's turn has come; nil = it is.
	isWanted func() bool
	// onEnd is called after the last step, or if the update is not wanted; nil = nothing.
	onEnd func()

	// hasBegun is set once the first step has begun.
	hasBegun bool
	// unchecked are the names that were listed before and are still to be looked up in names.
	unchecked []string
	// next is the index of the next entry.
	next int
}

// updateEntry is an entry of the list in both forms.
type updateEntry struct {
	endpoint decide.Endpoint
	entry    listEntry
}

// prepareUpdate converts a list, and logs its invalid entries. Any goroutine may call it.
func prepareUpdate(kind decide.EndpointUpdateKind, list endpointList, yield *yielder) *listUpdate {
	u := &listUpdate{kind: kind, version: list.Version, entries: make([]updateEntry, 0, len(list.Servers))}
	ids := make(map[uint32]struct{}, len(list.Servers))
	names := make(map[string]struct{}, len(list.Servers))
	invalid := 0
	for _, e := range list.Servers {
		yield.entryDone()
		endpoint, err := e.endpoint()
		if err != nil {
			invalid++
			if invalid <= maxInvalidLogged {
				slog.Warn("discovery: invalid entry ignored", "error", err)
			}
			continue
		}
		u.entries = append(u.entries, updateEntry{endpoint, e})
		ids[endpoint.ID] = struct{}{}
		names[e.ID] = struct{}{}
	}
	if invalid > maxInvalidLogged {
		slog.Warn("discovery: further invalid entries ignored", "entries", invalid-maxInvalidLogged)
	}
	if len(ids) == len(u.entries) { // otherwise the order of the entries of one server matters
		u.putEndsFirst()
	}
	if kind != decide.ChangedEndpoints {
		u.ids = ids
		u.names = names
	}
	return u
}

// putEndsFirst moves the entries of servers that get no new requests to the front.
func (u *listUpdate) putEndsFirst() {
	ordered := make([]updateEntry, 0, len(u.entries))
	for _, e := range u.entries {
		if e.endpoint.State != decide.Ready {
			ordered = append(ordered, e)
		}
	}
	for _, e := range u.entries {
		if e.endpoint.State == decide.Ready {
			ordered = append(ordered, e)
		}
	}
	u.entries = ordered
}

// updateQueue holds the updates that are to be applied, the one being applied first. Each source, a
// discovery client or the link to another process, waits for its update, so there is at most one of
// each. It belongs to the loop.
type updateQueue struct {
	updates []*listUpdate
	// overdueAt is when the next step must run although other events wait, in milliseconds on the
	// loop's clock.
	overdueAt float64
	// yield lets others run between two steps.
	yield yielder
}

// queueUpdate queues an update on the loop and waits until it was applied, or the loop has ended. Any
// goroutine except the loop's may call it.
func (l *loop) queueUpdate(u *listUpdate) {
	ended := make(chan struct{})
	u.onEnd = func() { close(ended) }
	l.post(func() {
		l.updates.updates = append(l.updates.updates, u)
		if len(l.updates.updates) == 1 {
			l.runUpdateStep()
		}
	})
	select {
	case <-ended:
	case <-l.done:
	}
}

// hasUpdate reports whether a step of an update is to be run.
func (l *loop) hasUpdate() bool { return len(l.updates.updates) > 0 }

// isUpdateOverdue reports whether a step must run before other events.
func (l *loop) isUpdateOverdue() bool { return l.hasUpdate() && l.now() >= l.updates.overdueAt }

// runUpdateStep runs the next step of the update whose turn it is.
func (l *loop) runUpdateStep() {
	u := l.updates.updates[0]
	if l.applyStep(u) {
		l.updates.updates[0] = nil
		l.updates.updates = l.updates.updates[1:]
		if u.onEnd != nil {
			u.onEnd()
		}
	}
	l.updates.overdueAt = l.now() + maxStepDelayMillis
}

// updateEndpoints applies an update of the endpoint list at once: before the router serves.
func (l *loop) updateEndpoints(kind decide.EndpointUpdateKind, list endpointList) {
	u := prepareUpdate(kind, list, nil)
	for !l.applyStep(u) {
	}
}

// applyStep applies the next part of an update to the connections, then to the Balancer, and reports
// whether it was the last one. It looks at updateStepEntries servers, but restores a list as a whole.
func (l *loop) applyStep(u *listUpdate) (isLast bool) {
	if !u.hasBegun && !l.beginUpdate(u) {
		return true
	}
	startedAt := time.Now()
	limit := updateStepEntries
	kind := decide.ChangedEndpoints
	if u.kind == decide.RestoredEndpoints {
		limit = len(u.entries)
		kind = u.kind
	}
	endpoints := l.removeUnlisted(u, limit)
	for limit -= len(endpoints); limit > 0 && len(u.unchecked) == 0 && u.next < len(u.entries); limit-- {
		endpoints = append(endpoints, l.applyEntry(u.entries[u.next])...)
		u.next++
	}
	l.balancer.UpdateEndpoints(l.now(), kind, endpoints)
	isLast = len(u.unchecked) == 0 && u.next == len(u.entries)
	if isLast {
		l.listVersion = u.version
		l.hasEndpoints.Store(l.hasEndpoints.Load() || len(l.targets) > 0)
	}
	l.publishEndpointCounts()
	l.trace.Event(l.now(), "list", "kind=%d lines=%d version=%d last=%t us=%d",
		u.kind, len(endpoints), u.version, isLast, time.Since(startedAt).Microseconds())
	return isLast
}

// beginUpdate begins an update whose turn has come, and reports whether it is wanted.
func (l *loop) beginUpdate(u *listUpdate) bool {
	u.hasBegun = true
	if u.isWanted != nil && !u.isWanted() {
		return false
	}
	if l.entries == nil {
		l.entries = make(map[string]listEntry, len(u.entries))
	}
	if u.kind != decide.ChangedEndpoints {
		u.unchecked = slices.Collect(maps.Keys(l.entries))
	}
	return true
}

// removeUnlisted checks some of the servers that were listed before, and removes those that a complete
// list does not name. It returns the removals for the Balancer.
func (l *loop) removeUnlisted(u *listUpdate, limit int) (removed []decide.Endpoint) {
	checked := u.unchecked[:min(limit, len(u.unchecked))]
	u.unchecked = u.unchecked[len(checked):]
	for _, name := range checked {
		if _, isListed := u.names[name]; isListed {
			continue
		}
		delete(l.entries, name)
		id := serverID(name)
		if _, isUsedByOther := u.ids[id]; !isUsedByOther && l.targets[id] != nil {
			l.removeTarget(id)
			removed = append(removed, decide.Endpoint{ID: id, State: decide.Removed})
		}
	}
	return removed
}

// applyEntry applies an entry to the record of the list and to the connections, and returns what the
// Balancer must learn of it: nothing if nothing has changed.
func (l *loop) applyEntry(e updateEntry) (endpoints []decide.Endpoint) {
	id := e.endpoint.ID
	name := e.entry.ID
	if l.targets[id] != nil && l.entries[name] == e.entry {
		return nil
	}
	if e.endpoint.State == decide.Removed {
		delete(l.entries, name)
	} else {
		l.entries[name] = e.entry
	}
	l.serverIDs.add(name, id, l.isNameInUse)
	if l.targets[id] == nil && e.endpoint.State == decide.Ready {
		endpoints = l.removeReplaced(e.endpoint, e.entry.Addr)
	}
	l.updateTarget(e.endpoint, e.entry)
	return append(endpoints, e.endpoint)
}

// isNameInUse reports whether a server is listed or disabled, so that its name must not be forgotten.
func (l *loop) isNameInUse(name string) bool {
	_, isListed := l.entries[name]
	return isListed || l.disabledByOperator[name] || l.disabledByFleet[name]
}
