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

// While an old and a new process live, they are one router: what one is told, the other is told.

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

const (
	disableKind = "ban"
	listKind    = "list"
)

// peers are the links to the processes that are this router too.
type peers struct {
	onProcessCount func(processes int) // may be nil

	mu    sync.Mutex
	links map[*handover.Link]bool // true = it counts
}

func (p *peers) add(k *handover.Link, counts bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links == nil {
		p.links = map[*handover.Link]bool{}
	}
	p.links[k] = counts
}

func (p *peers) remove(k *handover.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, k)
}

// all lists the links that live.
func (p *peers) all() (ks []*handover.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.links {
		if k.IsClosed() {
			delete(p.links, k)
		} else {
			ks = append(ks, k)
		}
	}
	return ks
}

// count is the number of other processes that are this router.
func (p *peers) count() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, counts := range p.links {
		if counts {
			n++
		}
	}
	return n
}

// OnProcessCount has f called with the number of processes that are this router, whenever it changes. It must be set before
// the first peer joins.
func (r *Router) OnProcessCount(f func(processes int)) { r.peers.onProcessCount = f }

// splitLimits splits the limits among the processes that are this router now.
func (r *Router) splitLimits() {
	n := 1 + r.peers.count()
	if r.peers.onProcessCount != nil {
		r.peers.onProcessCount(n)
	}
	r.loop.setProcessCount(n)
	r.upstreams.setProcessCount(n)
	r.upstreams.unsizedValues.limit.Store(r.cfg.Limits.MemoryMB << 20 / 16 / int64(n))
	r.clients.setProcessCount(n)
	r.loop.post(func() {
		r.loop.balancer.SetProcessCount(r.loop.now(), n)
		if ad := r.loop.admission; ad != nil {
			ad.admission.ScaleLimit(r.loop.now(), float64(max(1, ad.processes))/float64(n))
			ad.processes = n
			ad.arm()
		}
	})
	slog.Info("processes are this router", "name", r.cfg.Name, "processes", n)
}

// State is what a successor is to know. From then on it is told what this process is told.
func (r *Router) State(ctx context.Context, k *handover.Link) (any, error) {
	var h handoverState
	err := r.loop.call(ctx, func() error {
		r.peers.add(k, false)
		h = handoverState{Decisions: r.loop.balancer.HandOver(r.loop.now()), List: r.loop.currentList(), ServerIDs: r.loop.serverIDs.clone(),
			DisabledByOperator: slices.Collect(maps.Keys(r.loop.disabledByOperator)), DisabledByFleet: slices.Collect(maps.Keys(r.loop.disabledByFleet))}
		if r.loop.admission != nil {
			door := r.loop.admission.admission.Snapshot(r.loop.now())
			h.Admission = &door
		}
		return nil
	})
	return h, err
}

// Inherit takes the state of the process before this one, and the link to it. It is called before Run.
func (r *Router) Inherit(text []byte, k *handover.Link) error {
	r.link = k
	h := new(handoverState)
	if err := json.Unmarshal(text, h); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if h.ServerIDs.IDs == nil || h.ServerIDs.LastListed == nil || len(h.ServerIDs.IDs) > maxServerIDs {
		return errors.New("handover: a state without names")
	}
	r.inherited = h
	return nil
}

// restoreState gives the loop the list that the router starts with, on the loop.
func (r *Router) restoreState() {
	l, known := r.loop, r.cfg.Known
	if h := r.inherited; h != nil {
		r.inherited = nil
		if err := l.balancer.TakeOver(l.now(), h.Decisions); err != nil {
			slog.Warn("what the process before has learnt is of no use", "error", err)
		}
		if l.admission != nil && h.Admission != nil {
			if err := l.admission.admission.Restore(l.now(), *h.Admission); err != nil {
				slog.Warn("what the process before has learnt of tenants is of no use", "error", err)
			}
		}
		l.serverIDs, known = h.ServerIDs, h.List
		for _, name := range h.DisabledByOperator[:min(len(h.DisabledByOperator), maxServerIDs)] {
			l.disabledByOperator[name] = true
		}
		for _, name := range h.DisabledByFleet[:min(len(h.DisabledByFleet), maxServerIDs)] {
			l.disabledByFleet[name] = true
		}
		l.staleGuard.raise(known.Version)
	}
	l.updateEndpoints(decide.RestoredEndpoints, known)
}

// Joined keeps a link to another process of this router until it ends.
func (r *Router) Joined(ctx context.Context, k *handover.Link) {
	r.peers.add(k, true)
	r.splitLimits()
	k.Run(ctx, func(m handover.Message) error { return r.handleMessage(ctx, k, m) })
	r.peers.remove(k)
	r.splitLimits()
}

// handleMessage takes a message of another process.
func (r *Router) handleMessage(ctx context.Context, from *handover.Link, m handover.Message) error {
	switch m.Kind {
	case disableKind:
		var o disableCall
		if err := json.Unmarshal(m.Body, &o); err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		ctx, cancel := context.WithTimeout(ctx, disableTimeout)
		defer cancel()
		return r.disable(ctx, o, from)
	case listKind:
		var got endpointList
		if err := json.Unmarshal(m.Body, &got); err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		r.loop.post(func() {
			if got.Version <= r.loop.listVersion {
				return
			}
			kind := decide.ChangedEndpoints
			if got.IsComplete {
				kind = decide.AllEndpoints
			}
			r.loop.updateEndpoints(kind, got)
			r.loop.staleGuard.raise(got.Version)
		})
	}
	return nil
}

// disableTimeout is how long another process takes at most for a ban: the caller has less than a second.
const disableTimeout = 700 * time.Millisecond

// disable carries out a call of the operators here and in all other processes of this router but the one it came from.
// The answer is yes only if it holds in all of them.
func (r *Router) disable(ctx context.Context, o disableCall, from *handover.Link) error {
	here := r.loop.call(ctx, func() error { return r.loop.setDisabled(o) })
	if here != nil && !errors.Is(here, admin.ErrUnknownServer) {
		return here
	}
	o.IsListed = o.IsListed || here == nil
	found := here == nil
	for _, k := range r.peers.all() {
		if k == from {
			continue
		}
		switch err := k.Call(ctx, disableKind, o); {
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
		o.IsListed = true
		return r.loop.call(ctx, func() error { return r.loop.setDisabled(o) })
	}
	return nil
}

// broadcastList tells the other processes what discovery has told this one.
func (r *Router) broadcastList(got endpointList) {
	if len(got.Servers) == 0 && !got.IsComplete {
		return
	}
	ks := r.peers.all()
	if len(ks) == 0 {
		return
	}
	body, err := json.Marshal(got)
	if err != nil {
		return
	}
	for _, k := range ks {
		k.Send(handover.Message{Kind: listKind, Body: body}) //nolint:errcheck // a peer that is gone needs no list
	}
}

// recordList holds on to a list for a successor.
func (l *loop) recordList(kind decide.EndpointUpdateKind, got endpointList) {
	if kind == decide.WatchFailed {
		return
	}
	if kind != decide.ChangedEndpoints || l.entries == nil {
		l.entries = make(map[string]listEntry, len(got.Servers))
	}
	l.listVersion = got.Version
	for _, e := range got.Servers {
		if e.State == "left" {
			delete(l.entries, e.ID)
		} else {
			l.entries[e.ID] = e
		}
	}
}

// currentList is the list as it is held.
func (l *loop) currentList() endpointList {
	got := endpointList{Version: l.listVersion, IsComplete: true}
	for _, e := range l.entries {
		got.Servers = append(got.Servers, e)
	}
	return got
}

// staleGuard is a version that another process has told of: for a while discovery may still answer with what was before.
type staleGuard struct {
	version   int64
	expiresAt time.Time
}

const staleGuardTime = 10 * time.Second // after that a lower version is no old answer, but another count

func (f *staleGuard) raise(version int64) {
	f.version, f.expiresAt = version, time.Now().Add(staleGuardTime)
}

func (f *staleGuard) isStale(version int64) bool {
	return version < f.version && time.Now().Before(f.expiresAt)
}
