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

// handed is what a process gets from the one before it.
type handed struct {
	Module decide.Carried      `json:"Module"`
	List   list                `json:"List"`
	Names  names               `json:"Names"`
	Door   *admission.Snapshot `json:"Door"`       // nil = admission is off
	ByHand []string            `json:",omitempty"` // servers left out by hand,
	Agreed []string            `json:",omitempty"` // and by the fleet
}

// ban is a call of the operators, as it goes from one process to the other.
type ban struct {
	ID       string `json:"id"`
	Disabled bool   `json:"disabled"`
	Known    bool   `json:"known"`            // the sender's list had the id
	Agreed   bool   `json:"agreed,omitempty"` // by the fleet, not by hand
}

const (
	banKind  = "ban"
	listKind = "list"
)

// peers are the links to the processes that are this router too.
type peers struct {
	onShare func(processes int) // may be nil

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

// OnShare has f called with the number of processes that are this router, whenever it changes. It must be set before
// the first peer joins.
func (r *Router) OnShare(f func(processes int)) { r.peers.onShare = f }

// share splits the limits among the processes that are this router now.
func (r *Router) share() {
	n := 1 + r.peers.count()
	if r.peers.onShare != nil {
		r.peers.onShare(n)
	}
	r.l.share(n)
	r.up.share(n)
	r.up.unsized.limit.Store(r.cfg.Limits.MemoryMB << 20 / 16 / int64(n))
	r.s.share(n)
	r.l.post(func() {
		r.l.b.SetProcessCount(r.l.now(), n)
		if ad := r.l.admission; ad != nil {
			ad.admission.ScaleLimit(r.l.now(), float64(max(1, ad.processes))/float64(n))
			ad.processes = n
			ad.arm()
		}
	})
	slog.Info("processes are this router", "name", r.cfg.Name, "processes", n)
}

// State is what a successor is to know. From then on it is told what this process is told.
func (r *Router) State(ctx context.Context, k *handover.Link) (any, error) {
	var h handed
	err := r.l.do(ctx, func() error {
		r.peers.add(k, false)
		h = handed{Module: r.l.b.HandOver(r.l.now()), List: r.l.known(), Names: r.l.names.copied(),
			ByHand: slices.Collect(maps.Keys(r.l.disabledByOperator)), Agreed: slices.Collect(maps.Keys(r.l.disabledByFleet))}
		if r.l.admission != nil {
			door := r.l.admission.admission.Snapshot(r.l.now())
			h.Door = &door
		}
		return nil
	})
	return h, err
}

// Inherit takes the state of the process before this one, and the link to it. It is called before Run.
func (r *Router) Inherit(text []byte, k *handover.Link) error {
	r.link = k
	h := new(handed)
	if err := json.Unmarshal(text, h); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if h.Names.IDs == nil || h.Names.Seen == nil || len(h.Names.IDs) > maxNames {
		return errors.New("handover: a state without names")
	}
	r.before = h
	return nil
}

// begin gives the loop the list that the router starts with, on the loop.
func (r *Router) begin() {
	l, known := r.l, r.cfg.Known
	if h := r.before; h != nil {
		r.before = nil
		if err := l.b.TakeOver(l.now(), h.Module); err != nil {
			slog.Warn("what the process before has learnt is of no use", "error", err)
		}
		if l.admission != nil && h.Door != nil {
			if err := l.admission.admission.Restore(l.now(), *h.Door); err != nil {
				slog.Warn("what the process before has learnt of tenants is of no use", "error", err)
			}
		}
		l.names, known = h.Names, h.List
		for _, name := range h.ByHand[:min(len(h.ByHand), maxNames)] {
			l.disabledByOperator[name] = true
		}
		for _, name := range h.Agreed[:min(len(h.Agreed), maxNames)] {
			l.disabledByFleet[name] = true
		}
		l.floor.raise(known.Version)
	}
	l.list(decide.RestoredEndpoints, known)
}

// Joined keeps a link to another process of this router until it ends.
func (r *Router) Joined(ctx context.Context, k *handover.Link) {
	r.peers.add(k, true)
	r.share()
	k.Run(ctx, func(m handover.Message) error { return r.told(ctx, k, m) })
	r.peers.remove(k)
	r.share()
}

// told takes a message of another process.
func (r *Router) told(ctx context.Context, from *handover.Link, m handover.Message) error {
	switch m.Kind {
	case banKind:
		var o ban
		if err := json.Unmarshal(m.Body, &o); err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		ctx, cancel := context.WithTimeout(ctx, banTime)
		defer cancel()
		return r.disable(ctx, o, from)
	case listKind:
		var got list
		if err := json.Unmarshal(m.Body, &got); err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		r.l.post(func() {
			if got.Version <= r.l.version {
				return
			}
			kind := decide.ChangedEndpoints
			if got.Full {
				kind = decide.AllEndpoints
			}
			r.l.list(kind, got)
			r.l.floor.raise(got.Version)
		})
	}
	return nil
}

// banTime is how long another process takes at most for a ban: the caller has less than a second.
const banTime = 700 * time.Millisecond

// disable carries out a call of the operators here and in all other processes of this router but the one it came from.
// The answer is yes only if it holds in all of them.
func (r *Router) disable(ctx context.Context, o ban, from *handover.Link) error {
	here := r.l.do(ctx, func() error { return r.l.setDisabled(o) })
	if here != nil && !errors.Is(here, admin.ErrUnknownServer) {
		return here
	}
	o.Known = o.Known || here == nil
	found := here == nil
	for _, k := range r.peers.all() {
		if k == from {
			continue
		}
		switch err := k.Call(ctx, banKind, o); {
		case err == nil:
			found = true
		case errors.Is(err, handover.ErrPeerClosed), errors.Is(err, admin.ErrUnknownServer):
		default:
			return errNotDone
		}
	}
	switch {
	case !found:
		return admin.ErrUnknownServer
	case here != nil: // only another process's list has had it so far
		o.Known = true
		return r.l.do(ctx, func() error { return r.l.setDisabled(o) })
	}
	return nil
}

// tellList tells the other processes what discovery has told this one.
func (r *Router) tellList(got list) {
	if len(got.Servers) == 0 && !got.Full {
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

// keep holds on to a list for a successor.
func (l *loop) keep(kind decide.EndpointUpdateKind, got list) {
	if kind == decide.WatchFailed {
		return
	}
	if kind != decide.ChangedEndpoints || l.entries == nil {
		l.entries = make(map[string]entry, len(got.Servers))
	}
	l.version = got.Version
	for _, e := range got.Servers {
		if e.State == "left" {
			delete(l.entries, e.ID)
		} else {
			l.entries[e.ID] = e
		}
	}
}

// known is the list as it is held.
func (l *loop) known() list {
	got := list{Version: l.version, Full: true}
	for _, e := range l.entries {
		got.Servers = append(got.Servers, e)
	}
	return got
}

// floor is a version that another process has told of: for a while discovery may still answer with what was before.
type floor struct {
	version int64
	until   time.Time
}

const floorTime = 10 * time.Second // after that a lower version is no old answer, but another count

func (f *floor) raise(version int64) { f.version, f.until = version, time.Now().Add(floorTime) }

func (f *floor) above(version int64) bool { return version < f.version && time.Now().Before(f.until) }
