package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/model"
)

// Discovery answers calls for the list. It is one service for all routers, but each router reaches it at a listener of
// its own, by which it is known, and may be told other addresses than the others.
type Discovery struct {
	clock   *Clock
	journal *checker.Journal
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	kick    chan struct{}

	mu      sync.Mutex
	d       *model.Directory
	changed chan struct{} // closed at each change of the list and of down
	silence chan struct{} // closed when open watches fall silent
	down    bool
	silent  bool
	calls   int
	doors   map[string]*door                  // by address
	told    map[string]map[string]model.Entry // by router: the list as it was told last
	toldTo  map[string]toldVersion            // by router
}

// door is a listener for one router.
type door struct {
	server   *http.Server
	listener net.Listener
	retired  atomic.Bool
}

// toldVersion is the version of the list that a router was told last, and when.
type toldVersion struct {
	version int64
	at      float64
}

// watchContinuesMillis is the time within which the next call of a watch continues it.
const watchContinuesMillis = 200

// retiredDoorTime is how long connections of a retired door stay open.
const retiredDoorTime = 1500 * time.Millisecond

// NewDiscovery starts discovery with a list that holds since long ago. Close ends it.
func NewDiscovery(p model.DirectoryParams, seed uint64, known []model.Entry, clock *Clock, journal *checker.Journal) *Discovery {
	d := &Discovery{
		clock:   clock,
		journal: journal,
		d:       model.NewDirectory(p, seed, known),
		changed: make(chan struct{}),
		silence: make(chan struct{}),
		kick:    make(chan struct{}, 1),
		doors:   map[string]*door{},
		told:    map[string]map[string]model.Entry{},
		toldTo:  map[string]toldVersion{},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.wg.Go(d.run)
	return d
}

// run lets news become known.
func (d *Discovery) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		d.mu.Lock()
		known := d.d.Version()
		if now := d.clock.Now(); d.d.Advance(now) {
			d.bookListed(now, d.d.ChangesAfter(known))
			d.turn()
		}
		next := d.d.Next()
		d.mu.Unlock()
		wait := time.Hour
		if !math.IsInf(next, 1) {
			wait = ms(max(0, next-d.clock.Now()))
		}
		timer.Reset(wait)
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
		case <-d.kick:
		}
	}
}

// bookListed tells the referee of what the list has from now on.
func (d *Discovery) bookListed(now float64, changes model.List) {
	for _, e := range changes.Servers {
		d.journal.Add(checker.Event{At: now, Kind: checker.ServerStateListed, Server: e.ID, State: e.State, ServerStartedAt: d.clock.FromUnix(e.Started)})
	}
}

// bookTold tells the referee that a router was told of servers.
func (d *Discovery) bookTold(router string, servers []model.Entry) {
	now := d.clock.Now()
	for _, e := range servers {
		d.journal.Add(checker.Event{At: now, Kind: checker.ServerStateSent, Router: router, Server: e.ID, State: e.State,
			ServerStartedAt: d.clock.FromUnix(e.Started)})
	}
}

// RecordConfiguredList tells the referee that a router knows the whole list as it is now: its configuration tells it.
func (d *Discovery) RecordConfiguredList(router string) { d.tell(router, d.List()) }

// tell books a list, or changes, that a router was told.
func (d *Discovery) tell(router string, list model.List) {
	d.mu.Lock()
	entries := d.told[router]
	if list.Full || entries == nil {
		entries = map[string]model.Entry{}
		d.told[router] = entries
	}
	for _, e := range list.Servers {
		if e.State == "left" {
			delete(entries, e.ID)
		} else {
			entries[e.ID] = e
		}
	}
	d.toldTo[router] = toldVersion{list.Version, d.clock.Now()}
	d.mu.Unlock()
	d.bookTold(router, list.Servers)
}

// LastSentList is the list as a router was told it last, and whether it was told any.
func (d *Discovery) LastSentList(router string) (list model.List, isTold bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries, isTold := d.told[router]
	list = model.List{Version: d.toldTo[router].version, Full: true, Servers: []model.Entry{}}
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		list.Servers = append(list.Servers, entries[id])
	}
	return list, isTold
}

// turn wakes those who wait. The caller holds mu.
func (d *Discovery) turn() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// ScheduleChange tells discovery of an event, which it tells routers later.
func (d *Discovery) ScheduleChange(e model.Entry) {
	d.mu.Lock()
	d.d.ScheduleChange(d.clock.Now(), e)
	d.mu.Unlock()
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// SetDown has discovery turn all calls away, watches included, or answer them again.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if down != d.down {
		kind := map[bool]checker.Kind{true: checker.DiscoveryDown, false: checker.DiscoveryUp}[down]
		d.journal.Add(checker.Event{At: d.clock.Now(), Kind: kind})
	}
	d.down = down
	d.turn()
}

// SetSilent has discovery leave all calls without an answer, watches included, or answer those that come from then on.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if silent == d.silent {
		return
	}
	d.silent = silent
	kind := checker.DiscoveryUp
	if silent {
		kind = checker.DiscoveryDown
		close(d.silence)
		d.silence = make(chan struct{})
	}
	d.journal.Add(checker.Event{At: d.clock.Now(), Kind: kind})
}

// SilenceWatches has all watches that are open now fall silent: they are never answered, and their connections stay open.
func (d *Discovery) SilenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silence)
	d.silence = make(chan struct{})
}

// Rewind has the list's version go backwards by n.
func (d *Discovery) Rewind(n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.d.Rewind(n)
	d.turn()
}

// List is the list as it is told now.
func (d *Discovery) List() model.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.d.FullList()
}

// CallCount counts calls so far.
func (d *Discovery) CallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// OpenListener opens a listener for a router; address maps each server's address to the one that this router is told.
func (d *Discovery) OpenListener(router string, address func(e model.Entry) string) (addr string, err error) {
	ln, err := net.Listen("tcp", LoopbackHost(AnyPort)+":0")
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, router, address) })
	opened := &door{listener: ln, server: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return d.ctx },
		ErrorLog:    slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}}
	d.mu.Lock()
	d.doors[ln.Addr().String()] = opened
	d.mu.Unlock()
	d.wg.Go(func() {
		if err := opened.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !opened.retired.Load() {
			slog.Error("discovery", "error", err)
		}
	})
	return ln.Addr().String(), nil
}

// RetireListener has a door accept no new connection, and close those that are open after retiredDoorTime.
func (d *Discovery) RetireListener(addr string) {
	d.mu.Lock()
	retired := d.doors[addr]
	delete(d.doors, addr)
	d.mu.Unlock()
	if retired == nil {
		return
	}
	retired.retired.Store(true)
	retired.listener.Close()
	d.wg.Go(func() {
		select {
		case <-time.After(retiredDoorTime):
		case <-d.ctx.Done():
		}
		retired.server.Close()
	})
}

// serve answers one call.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request, router string, address func(model.Entry) string) {
	q := r.URL.Query()
	d.mu.Lock()
	d.calls++
	d.journal.Add(checker.Event{At: d.clock.Now(), Kind: checker.ListCalled, Router: router})
	if d.silent {
		d.mu.Unlock()
		<-r.Context().Done()
		return
	}
	wait, ok := d.queue(router, q.Get("after"))
	down := d.down
	d.mu.Unlock()
	if !down && wait > 0 {
		select {
		case <-time.After(ms(wait)):
		case <-r.Context().Done():
			return
		}
	}
	if down || !ok {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	l, ok := d.answer(w, r, router)
	if !ok {
		return
	}
	for i := range l.Servers {
		l.Servers[i].Addr = address(l.Servers[i])
	}
	text, err := json.Marshal(l)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(text); err != nil {
		return
	}
	d.tell(router, l)
}

// answer is the list, or the changes to it, that a call is answered with. It is false where the call failed, which is answered.
func (d *Discovery) answer(w http.ResponseWriter, r *http.Request, router string) (l model.List, ok bool) {
	q := r.URL.Query()
	after := q.Get("after")
	if after == "" {
		return d.List(), true
	}
	version, err := strconv.ParseInt(after, 10, 64)
	patience, err2 := strconv.ParseFloat(q.Get("wait_ms"), 64)
	if err != nil || err2 != nil || patience < 0 {
		http.Error(w, "after and wait_ms must be numbers", http.StatusBadRequest)
		return l, false
	}
	if l, ok = d.watch(r.Context(), router, version, min(patience, 60000)); !ok {
		http.Error(w, "not now", http.StatusServiceUnavailable)
	}
	return l, ok
}

// queue is how long a call waits for its turn. A call that continues a watch does not, where calls cost by lines. The caller holds mu.
func (d *Discovery) queue(router, after string) (wait float64, ok bool) {
	now := d.clock.Now()
	version, err := strconv.ParseInt(after, 10, 64)
	if !d.d.HasCostPerServer() {
		return d.d.Call(now)
	}
	if err != nil {
		return d.d.CallFor(now, len(d.d.FullList().Servers))
	}
	if last := d.toldTo[router]; last.version == version && now-last.at < watchContinuesMillis {
		return 0, true
	}
	return d.d.CallFor(now, len(d.d.ChangesAfter(version).Servers))
}

// watch waits for what is newer than a version.
func (d *Discovery) watch(ctx context.Context, router string, version int64, patience float64) (model.List, bool) {
	over := time.NewTimer(ms(patience))
	defer over.Stop()
	waitEndAt := d.clock.Now() + patience
	d.mu.Lock()
	silence := d.silence
	d.mu.Unlock()
	for {
		d.mu.Lock()
		l, changed, down := d.d.ChangesAfter(version), d.changed, d.down
		d.mu.Unlock()
		if down {
			return l, false
		}
		if l.Full || len(l.Servers) > 0 {
			return l, true
		}
		select {
		case <-changed:
		case <-over.C:
			return l, true
		case <-silence:
			now := d.clock.Now()
			d.journal.Add(checker.Event{At: now, Kind: checker.WatchSilent, Router: router, Deadline: max(0, waitEndAt-now)})
			<-ctx.Done()
			return l, false
		case <-ctx.Done():
			return l, false
		}
	}
}

// Close ends discovery and waits for all that it started.
func (d *Discovery) Close() {
	d.cancel()
	d.mu.Lock()
	doors := d.doors
	d.mu.Unlock()
	for _, opened := range doors {
		opened.server.Close()
	}
	d.wg.Wait()
}
