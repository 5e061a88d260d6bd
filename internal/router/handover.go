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
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/admission"
	"dockhinge.example/dockhinge/internal/handover"
)

// The hand-over from an old process to a new one. While both run, they form one router: they share
// its limits and forward lists from discovery and calls of operators to each other.

// handoverState is the state that an old process sends to its successor. Its JSON format is shared
// by different versions of the program, so the tags must not change.
type handoverState struct {
	// Decisions is the state of the decision module.
	Decisions decide.Snapshot `json:"Module"`
	// List is the old process's endpoint list.
	List endpointList `json:"List"`
	// ServerIDs holds the server names that discovery has listed so far.
	ServerIDs serverIDs `json:"Names"`
	// Admission is the state of fair admission; nil if that is disabled.
	Admission *admission.Snapshot `json:"Door"`
	// DisabledByOperator holds the names of the servers disabled by an operator.
	DisabledByOperator []string `json:"ByHand,omitempty"`
	// DisabledByFleet holds the names of the servers disabled by the fleet.
	DisabledByFleet []string `json:"Agreed,omitempty"`
	// Requests are those of the old process that must not run twice.
	Requests []requestNotice `json:"Requests,omitempty"`
}

// disableCall disables or enables one cache server, on behalf of an operator or of the fleet. In
// this JSON format it is sent to the other processes of the router.
type disableCall struct {
	// ServerID is the server's name on the endpoint list.
	ServerID string `json:"id"`
	// Disabled is true to disable the server, false to enable it.
	Disabled bool `json:"disabled"`
	// IsListed is set if the server has been on the sender's list. A receiver without the server on
	// its list then accepts the call too.
	IsListed bool `json:"known"`
	// ByFleet is set for a decision of the fleet and not for an operator's call.
	ByFleet bool `json:"agreed,omitempty"`
}

// The message kinds of the hand-over protocol, as sent.
const (
	// disableKind is a call with a disableCall, answered once it is in effect in the receiver.
	disableKind = "ban"
	// listKind is an endpointList received from discovery. It is not answered.
	listKind = "list"
	// requestsKind is a list of requestNotice. It is not answered.
	requestsKind = "requests"
	// servingKind says that the sender serves clients from now on. It has no body and is not answered.
	// Earlier releases don't send it, and ignore it.
	servingKind = "serving"
)

// disableTimeout is how long another process may take for a disableCall. The operator's client
// waits for less than a second.
const disableTimeout = 700 * time.Millisecond

// peers holds the links to the other processes of this router. Any goroutine may use it.
type peers struct {
	// onProcessCount is set before the first peer joins, if at all.
	onProcessCount func(processes int)
	// hasAny is set while there are links.
	hasAny *atomic.Bool

	// mu guards links.
	mu sync.Mutex
	// links holds the state of each link's process.
	links map[*handover.Link]peerState
}

// peerState is what is known of another process of this router.
type peerState struct {
	// hasJoined is set once the process has its share of the limits; before that it only receives lists
	// and calls.
	hasJoined bool
	// isServing is set once it has said that it serves clients.
	isServing bool
}

// add records a link.
func (p *peers) add(link *handover.Link, hasJoined bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links == nil {
		p.links = map[*handover.Link]peerState{}
	}
	state := p.links[link]
	state.hasJoined = hasJoined
	p.links[link] = state
	p.hasAny.Store(true)
}

func (p *peers) remove(link *handover.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, link)
	p.hasAny.Store(len(p.links) > 0)
}

// open returns the open links, and removes the closed ones.
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
	p.hasAny.Store(len(p.links) > 0)
	return links
}

// count returns the number of other processes that have joined.
func (p *peers) count() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.links {
		if state.hasJoined {
			n++
		}
	}
	return n
}

// setServing records that the process of a link serves clients.
func (p *peers) setServing(link *handover.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state, isOpen := p.links[link]; isOpen {
		state.isServing = true
		p.links[link] = state
	}
}

// isAnyServing reports whether another process serves clients.
func (p *peers) isAnyServing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.links {
		if state.isServing {
			return true
		}
	}
	return false
}

// OnProcessCount sets a function that is called with the number of processes that form this router,
// whenever that changes. It must be called before the first peer joins.
func (r *Router) OnProcessCount(f func(processes int)) { r.peers.onProcessCount = f }

// splitLimits divides the router's limits among its current processes.
func (r *Router) splitLimits() {
	processes := 1 + r.peers.count()
	if r.peers.onProcessCount != nil {
		r.peers.onProcessCount(processes)
	}
	r.loop.setProcessCount(processes)
	r.upstreams.setProcessCount(processes)
	r.clients.setProcessCount(processes)
	r.loop.post(func() {
		r.loop.balancer.SetProcessCount(r.loop.now(), processes)
		if control := r.loop.admission; control != nil {
			scale := float64(max(1, control.processes)) / float64(processes)
			control.admission.ScaleLimit(r.loop.now(), scale)
			control.processes = processes
			control.setTimer()
		}
	})
	slog.Info("processes are this router", "name", r.cfg.Name, "processes", processes)
}

// State returns the state for a successor as JSON. From then on the successor also
// receives the lists and calls that this process receives. The error is errLoopBusy if ctx ends
// first.
func (r *Router) State(ctx context.Context, link *handover.Link) ([]byte, error) {
	var state handoverState
	err := r.loop.call(ctx, func() error {
		r.peers.add(link, false)
		state = r.loop.handoverState()
		return nil
	})
	if err != nil {
		return nil, err
	}
	var yield yielder
	defer yield.close()
	return state.encode(&yield)
}

// handoverState returns the state for a successor, all of which belongs to the loop.
func (l *loop) handoverState() handoverState {
	l.turns.kind = turnHandover
	state := handoverState{
		Decisions:          l.balancer.HandOver(l.now()),
		List:               l.currentList(),
		ServerIDs:          l.serverIDs.clone(),
		DisabledByOperator: slices.Collect(maps.Keys(l.disabledByOperator)),
		DisabledByFleet:    slices.Collect(maps.Keys(l.disabledByFleet)),
		Requests:           l.knownRequests(),
	}
	if l.admission != nil {
		snapshot := l.admission.admission.Snapshot(l.now())
		state.Admission = &snapshot
	}
	return state
}

// Inherit sets the state received from the previous process and the link to that process. It must
// be called before Run. If the state is invalid, it returns an error and nothing of the state is
// used.
//
// From then on the previous process gets the calls that this one receives: a call may arrive before
// the link runs.
func (r *Router) Inherit(text []byte, link *handover.Link) error {
	r.link = link
	r.peers.add(link, true)
	state := new(handoverState)
	if err := json.Unmarshal(text, state); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	ids := state.ServerIDs
	if ids.IDs == nil || ids.LastListed == nil || len(ids.IDs) > maxServerIDs+len(state.List.Servers) {
		return errors.New("handover: state without server ids")
	}
	r.inherited = state
	return nil
}

// restoreState applies the inherited state, if any, and the initial list to the loop. It runs on
// the loop before the first event.
func (r *Router) restoreState() {
	list := r.initialList()
	if r.inherited != nil {
		r.loop.inherit(r.inherited)
		r.inherited = nil
	}
	r.loop.updateEndpoints(decide.RestoredEndpoints, list)
}

// inherit applies the state of the previous process, except for the list.
func (l *loop) inherit(state *handoverState) {
	if err := l.balancer.TakeOver(l.now(), state.Decisions); err != nil {
		slog.Warn("handover: the state of the decision module could not be restored", "error", err)
	}
	if l.admission != nil && state.Admission != nil {
		if err := l.admission.admission.Restore(l.now(), *state.Admission); err != nil {
			slog.Warn("handover: the state of admission could not be restored", "error", err)
		}
	}
	l.serverIDs = state.ServerIDs
	addNames(l.disabledByOperator, state.DisabledByOperator)
	addNames(l.disabledByFleet, state.DisabledByFleet)
	l.staleGuard.raise(state.List.Version)
	l.applyNotices(state.Requests)
}

// addNames adds at most maxServerIDs names to a set.
func addNames(set map[string]bool, names []string) {
	for _, name := range names[:min(len(names), maxServerIDs)] {
		set[name] = true
	}
}

// RunLink records another process of this router as joined and runs the link to it until it closes.
func (r *Router) RunLink(ctx context.Context, link *handover.Link) {
	r.peers.add(link, true)
	r.splitLimits()
	link.Run(ctx, func(m handover.Message) error { return r.handleMessage(ctx, link, m) })
	r.peers.remove(link)
	r.splitLimits()
}

// handleMessage handles a message from another process.
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
		var yield yielder
		defer yield.close()
		list, _, err := decodeList(m.Body, &yield)
		if err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		r.loop.applyPeerList(list, &yield)
	case requestsKind:
		var notices []requestNotice
		if err := json.Unmarshal(m.Body, &notices); err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		r.loop.post(func() { r.loop.applyNotices(notices) })
	case servingKind:
		r.peers.setServing(from)
	}
	return nil
}

// announceServing tells the previous process, if any, that this one serves clients, once its loop has
// restored its state. Run calls it when connections are accepted.
func (r *Router) announceServing() {
	if r.link == nil {
		return
	}
	r.loop.post(func() {
		r.loop.background.Go(func() {
			//nolint:errcheck // a process that has ended needs no notice
			r.link.Send(handover.Message{Kind: servingKind})
		})
	})
}

// applyPeerList applies a list that another process of this router received from discovery, and waits
// until it has been applied. Older answers of this process's own discovery are then ignored for a
// while. Any goroutine except the loop's may call it.
func (l *loop) applyPeerList(list endpointList, yield *yielder) {
	update := prepareUpdate(list.updateKind(), list, yield)
	update.isWanted = func() bool {
		isNewer := list.Version > l.listVersion
		if isNewer {
			l.staleGuard.raise(list.Version)
		}
		return isNewer
	}
	l.queueUpdate(update)
}

// disable applies a call in this process and all other processes of this router except the one that
// sent it. It returns nil only if the call is in effect in all that are still running, and
// admin.ErrUnknownServer if none of them has had the server on its list.
func (r *Router) disable(ctx context.Context, call disableCall, from *handover.Link) error {
	localErr := r.loop.call(ctx, func() error { return r.loop.setDisabled(call) })
	if localErr != nil && !errors.Is(localErr, admin.ErrUnknownServer) {
		return localErr
	}
	call.IsListed = call.IsListed || localErr == nil
	found := localErr == nil
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
	case localErr != nil: // the server has only been on another process's list so far
		call.IsListed = true
		return r.loop.call(ctx, func() error { return r.loop.setDisabled(call) })
	}
	return nil
}

// broadcastList sends a complete list or changes from discovery to the other processes of this
// router.
func (r *Router) broadcastList(list endpointList) {
	if len(list.Servers) == 0 && !list.IsComplete {
		return
	}
	links := r.peers.open()
	if len(links) == 0 {
		return
	}
	var yield yielder
	defer yield.close()
	body, err := list.encode(&yield)
	if err != nil {
		slog.Warn("handover: the list could not be encoded", "error", err)
		return
	}
	for _, link := range links {
		//nolint:errcheck // a process that has ended needs no list
		link.Send(handover.Message{Kind: listKind, Body: body})
	}
}
