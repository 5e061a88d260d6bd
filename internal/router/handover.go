package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/admission"
	"dockhinge.example/dockhinge/internal/handover"
)

// The hand-over. While an old and a new process live, they are one router: they split its limits, and
// what discovery or operators tell one, the other is notified of.

// handoverState is what a process gets from the one before it. The tags are the bytes of the wire
// between two versions of the program and stay as they are.
type handoverState struct {
	// Decisions is what the decision module has learnt.
	Decisions decide.Snapshot `json:"Module"`
	// List is the endpoint list as the old process holds it.
	List endpointList `json:"List"`
	// ServerIDs are the server names that discovery has listed so far.
	ServerIDs serverIDs `json:"Names"`
	// Admission is the state of fair admission; nil while it is off.
	Admission *admission.Snapshot `json:"Door"`
	// DisabledByOperator names the servers that an operator has disabled.
	DisabledByOperator []string `json:"ByHand,omitempty"`
	// DisabledByFleet names the servers that the fleet has agreed to disable.
	DisabledByFleet []string `json:"Agreed,omitempty"`
}

// disableCall disables or enables one cache server. It is an operator's call or the fleet's
// agreement, and goes from one process of this router to the other as it stands here.
type disableCall struct {
	// ServerID is the server's name on the endpoint list.
	ServerID string `json:"id"`
	// Disabled is true to disable the server, false to enable it.
	Disabled bool `json:"disabled"`
	// IsListed is set where the sender's list has had the server, so that a receiver whose list
	// has not takes the call all the same.
	IsListed bool `json:"known"`
	// ByFleet is set for the fleet's agreement, and not for an operator's call.
	ByFleet bool `json:"agreed,omitempty"`
}

// The kinds of messages between the processes of a router. They are bytes of the hand-over.
const (
	// disableKind is a call with a disableCall; its answer comes once it holds in the receiver.
	disableKind = "ban"
	// listKind is an endpointList that discovery has sent; it has no answer.
	listKind = "list"
)

// disableTimeout is how long another process may take for a disableCall: the operator's client waits
// for less than a second.
const disableTimeout = 700 * time.Millisecond

// peers are the links to the other processes of this router. Any goroutine may use it.
type peers struct {
	// onProcessCount is set before the first peer joins; it may be nil.
	onProcessCount func(processes int)

	// mu guards links.
	mu sync.Mutex
	// links holds each link, and whether its process has joined: from then on it takes its part of
	// the limits. Before that it only gets the lists and calls that come here.
	links map[*handover.Link]bool
}

// add records a link.
func (p *peers) add(link *handover.Link, hasJoined bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links == nil {
		p.links = map[*handover.Link]bool{}
	}
	p.links[link] = hasJoined
}

func (p *peers) remove(link *handover.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, link)
}

// open lists the links that are open, and forgets the others.
func (p *peers) open() (links []*handover.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for link := range p.links {
		if link.IsClosed() {
			delete(p.links, link)
		} else {
			links = append(links, link)
		}
	}
	return links
}

// count is the number of other processes that have joined.
func (p *peers) count() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, hasJoined := range p.links {
		if hasJoined {
			n++
		}
	}
	return n
}

// OnProcessCount has f called with the number of processes that are this router, whenever it changes.
// It must be called before the first peer joins.
func (r *Router) OnProcessCount(f func(processes int)) { r.peers.onProcessCount = f }

// splitLimits splits the router's limits among the processes that are this router now.
func (r *Router) splitLimits() {
	processes := 1 + r.peers.count()
	if r.peers.onProcessCount != nil {
		r.peers.onProcessCount(processes)
	}
	r.loop.setProcessCount(processes)
	r.upstreams.setProcessCount(processes)
	r.upstreams.unsizedValues.limit.Store(r.cfg.Limits.MemoryMB << 20 / unsizedMemoryPart / int64(processes))
	r.clients.setProcessCount(processes)
	r.loop.post(func() {
		r.loop.balancer.SetProcessCount(r.loop.now(), processes)
		if control := r.loop.admission; control != nil {
			scale := float64(max(1, control.processes)) / float64(processes)
			control.admission.ScaleLimit(r.loop.now(), scale)
			control.processes = processes
			control.arm()
		}
	})
	slog.Info("processes are this router", "name", r.cfg.Name, "processes", processes)
}

// State is the state for a successor, as JSON will be written of it. From then on the successor
// gets the lists and calls that come here. errLoopBusy is the error when ctx ends first.
func (r *Router) State(ctx context.Context, link *handover.Link) (any, error) {
	var state handoverState
	err := r.loop.call(ctx, func() error {
		r.peers.add(link, false)
		state = r.loop.handoverState()
		return nil
	})
	return state, err
}

// handoverState is the loop's part of the state for a successor, which is all of it.
func (l *loop) handoverState() handoverState {
	state := handoverState{
		Decisions:          l.balancer.HandOver(l.now()),
		List:               l.currentList(),
		ServerIDs:          l.serverIDs.clone(),
		DisabledByOperator: slices.Collect(maps.Keys(l.disabledByOperator)),
		DisabledByFleet:    slices.Collect(maps.Keys(l.disabledByFleet)),
	}
	if l.admission != nil {
		snapshot := l.admission.admission.Snapshot(l.now())
		state.Admission = &snapshot
	}
	return state
}

// Inherit takes the state of the process before this one, and the link to it. It is called before
// Run. An error means that the state can't be read, and nothing of it is used.
func (r *Router) Inherit(text []byte, link *handover.Link) error {
	r.link = link
	state := new(handoverState)
	if err := json.Unmarshal(text, state); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	ids := state.ServerIDs
	if ids.IDs == nil || ids.LastListed == nil || len(ids.IDs) > maxServerIDs {
		return errors.New("handover: a state without server ids")
	}
	r.inherited = state
	return nil
}

// restoreState gives the loop the list that the router starts with, and what it has inherited. It
// runs on the loop, before its first event.
func (r *Router) restoreState() {
	list := r.heldList()
	if r.inherited != nil {
		r.loop.inherit(r.inherited)
		r.inherited = nil
	}
	r.loop.updateEndpoints(decide.RestoredEndpoints, list)
}

// inherit takes the state of the process before this one, but for the list.
func (l *loop) inherit(state *handoverState) {
	if err := l.balancer.TakeOver(l.now(), state.Decisions); err != nil {
		slog.Warn("handover: the decisions' state can't be used", "error", err)
	}
	if l.admission != nil && state.Admission != nil {
		if err := l.admission.admission.Restore(l.now(), *state.Admission); err != nil {
			slog.Warn("handover: the admission's state can't be used", "error", err)
		}
	}
	l.serverIDs = state.ServerIDs
	setNames(l.disabledByOperator, state.DisabledByOperator)
	setNames(l.disabledByFleet, state.DisabledByFleet)
	l.staleGuard.raise(state.List.Version)
}

// setNames adds names to a set, up to maxServerIDs of them.
func setNames(set map[string]bool, names []string) {
	for _, name := range names[:min(len(names), maxServerIDs)] {
		set[name] = true
	}
}

// RunLink keeps a link to another process of this router until it ends.
func (r *Router) RunLink(ctx context.Context, link *handover.Link) {
	r.peers.add(link, true)
	r.splitLimits()
	link.Run(ctx, func(m handover.Message) error { return r.handleMessage(ctx, link, m) })
	r.peers.remove(link)
	r.splitLimits()
}

// handleMessage takes a message of another process.
func (r *Router) handleMessage(ctx context.Context, from *handover.Link, m handover.Message) error {
	switch m.Kind {
	case disableKind:
		var call disableCall
		if err := json.Unmarshal(m.Body, &call); err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		ctx, cancel := context.WithTimeout(ctx, disableTimeout)
		defer cancel()
		return r.disable(ctx, call, from)
	case listKind:
		var list endpointList
		if err := json.Unmarshal(m.Body, &list); err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		r.loop.post(func() { r.loop.takePeerList(list) })
	}
	return nil
}

// takePeerList takes a list that another process of this router got from discovery. An answer of this
// process's own discovery with an earlier version is then dropped for a while.
func (l *loop) takePeerList(list endpointList) {
	if list.Version <= l.listVersion {
		return
	}
	l.updateEndpoints(list.updateKind(), list)
	l.staleGuard.raise(list.Version)
}

// disable carries a call out here and in all other processes of this router but the one it came
// from. It returns nil only if the call holds in all of them that are still there.
// admin.ErrUnknownServer is the error when the list of none of them has had the server.
func (r *Router) disable(ctx context.Context, call disableCall, from *handover.Link) error {
	here := r.loop.call(ctx, func() error { return r.loop.setDisabled(call) })
	if here != nil && !errors.Is(here, admin.ErrUnknownServer) {
		return here
	}
	call.IsListed = call.IsListed || here == nil
	found := here == nil
	for _, link := range r.peers.open() {
		if link == from {
			continue
		}
		switch err := link.Call(ctx, disableKind, call); {
		case err == nil:
			found = true
		case errors.Is(err, handover.ErrPeerClosed), errors.Is(err, admin.ErrUnknownServer):
		default:
			return errLoopBusy
		}
	}
	switch {
	case !found:
		return admin.ErrUnknownServer
	case here != nil: // only another process's list has had it so far
		call.IsListed = true
		return r.loop.call(ctx, func() error { return r.loop.setDisabled(call) })
	}
	return nil
}

// broadcastList sends a list with changes from discovery to the other processes of this router.
func (r *Router) broadcastList(list endpointList) {
	if len(list.Servers) == 0 && !list.IsComplete {
		return
	}
	links := r.peers.open()
	if len(links) == 0 {
		return
	}
	body, err := json.Marshal(list)
	if err != nil {
		slog.Warn("handover: a list can't be sent", "error", err)
		return
	}
	for _, link := range links {
		//nolint:errcheck // a process that has ended needs no list
		link.Send(handover.Message{Kind: listKind, Body: body})
	}
}
