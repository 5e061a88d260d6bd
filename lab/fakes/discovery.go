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

// Discovery is a fake discovery service. All routers share one list, but each router calls at a listener
// of its own, which identifies it and may map the servers' addresses to others.
type Discovery struct {
	clock   *Clock
	journal *checker.Journal
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	wakeup  chan struct{}

	mu           sync.Mutex
	directory    *model.Directory
	changed      chan struct{} // closed and replaced at each change of the list or of down
	silence      chan struct{} // closed and replaced when open watches are silenced
	down         bool
	silent       bool
	calls        int
	listeners    map[string]*routerListener        // by address
	sentEntries  map[string]map[string]model.Entry // by router: the list as last sent
	sentVersions map[string]sentVersion            // by router
}

// routerListener is a listener for one router.
type routerListener struct {
	server   *http.Server
	listener net.Listener
	retired  atomic.Bool
}

// sentVersion is the list version last sent to a router, and the time of sending.
type sentVersion struct {
	version int64
	at      float64
}

// watchContinuesMillis is the time after an answer within which a call for the next changes counts as
// the same watch.
const watchContinuesMillis = 200

// retiredListenerTimeout is how long the connections of a retired listener stay open.
const retiredListenerTimeout = 1500 * time.Millisecond

// NewDiscovery starts discovery with an initial list. Close stops it.
func NewDiscovery(
	p model.DirectoryParams, seed uint64, initial []model.Entry, clock *Clock, journal *checker.Journal,
) *Discovery {
	d := &Discovery{
		clock:        clock,
		journal:      journal,
		directory:    model.NewDirectory(p, seed, initial),
		changed:      make(chan struct{}),
		silence:      make(chan struct{}),
		wakeup:       make(chan struct{}, 1),
		listeners:    map[string]*routerListener{},
		sentEntries:  map[string]map[string]model.Entry{},
		sentVersions: map[string]sentVersion{},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.wg.Go(d.run)
	return d
}

// run publishes scheduled changes at their times.
func (d *Discovery) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		d.mu.Lock()
		previous := d.directory.Version()
		if now := d.clock.Now(); d.directory.Advance(now) {
			d.recordListed(now, d.directory.ChangesAfter(previous))
			d.wakeWatches()
		}
		next := d.directory.Next()
		d.mu.Unlock()
		wait := time.Hour
		if !math.IsInf(next, 1) {
			wait = millis(max(0, next-d.clock.Now()))
		}
		timer.Reset(wait)
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
		case <-d.wakeup:
		}
	}
}

// recordListed records the states that the list shows from now on.
func (d *Discovery) recordListed(now float64, changes model.List) {
	for _, e := range changes.Servers {
		d.journal.Add(checker.Event{At: now, Kind: checker.ServerStateListed, Server: e.ID, State: e.State,
			ServerStartedAt: d.clock.FromUnix(e.Started)})
	}
}

// recordStatesSent records the server states that were sent to a router.
func (d *Discovery) recordStatesSent(router string, servers []model.Entry) {
	now := d.clock.Now()
	for _, e := range servers {
		d.journal.Add(checker.Event{At: now, Kind: checker.ServerStateSent, Router: router, Server: e.ID,
			State: e.State, ServerStartedAt: d.clock.FromUnix(e.Started)})
	}
}

// RecordConfiguredList records that a router received the present list in its configuration.
func (d *Discovery) RecordConfiguredList(router string) { d.recordSent(router, d.List()) }

// recordSent records a list, or changes to it, that was sent to a router.
func (d *Discovery) recordSent(router string, list model.List) {
	d.mu.Lock()
	entries := d.sentEntries[router]
	if list.Full || entries == nil {
		entries = map[string]model.Entry{}
		d.sentEntries[router] = entries
	}
	for _, e := range list.Servers {
		if e.State == "left" {
			delete(entries, e.ID)
		} else {
			entries[e.ID] = e
		}
	}
	d.sentVersions[router] = sentVersion{list.Version, d.clock.Now()}
	d.mu.Unlock()
	d.recordStatesSent(router, list.Servers)
}

// LastSentList returns the list as last sent to a router, and whether any was sent.
func (d *Discovery) LastSentList(router string) (list model.List, isSent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries, isSent := d.sentEntries[router]
	list = model.List{Version: d.sentVersions[router].version, Full: true, Servers: []model.Entry{}}
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		list.Servers = append(list.Servers, entries[id])
	}
	return list, isSent
}

// wakeWatches wakes the open watches. The caller holds mu.
func (d *Discovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// ScheduleChange schedules the publication of an event that happened now.
func (d *Discovery) ScheduleChange(e model.Entry) { d.ScheduleChanges([]model.Entry{e}) }

// ReplaceList publishes changes at once. Callers then get the whole list, as after a restart of discovery.
func (d *Discovery) ReplaceList(changes []model.Entry) {
	d.mu.Lock()
	now := d.clock.Now()
	for _, e := range changes {
		d.directory.ScheduleChange(now, e)
	}
	previous := d.directory.Version()
	d.directory.Advance(now)
	d.recordListed(now, d.directory.ChangesAfter(previous))
	d.directory.ForgetChanges()
	d.wakeWatches()
	d.mu.Unlock()
}

// ScheduleChanges schedules the publication of events that happened together now.
func (d *Discovery) ScheduleChanges(changes []model.Entry) {
	d.mu.Lock()
	now := d.clock.Now()
	for _, e := range changes {
		d.directory.ScheduleChange(now, e)
	}
	d.mu.Unlock()
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// SetDown makes discovery reject all calls, open watches included, or answer them again.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if down != d.down {
		kind := map[bool]checker.Kind{true: checker.DiscoveryDown, false: checker.DiscoveryUp}[down]
		d.journal.Add(checker.Event{At: d.clock.Now(), Kind: kind})
	}
	d.down = down
	d.wakeWatches()
}

// SetSilent makes discovery leave all calls unanswered, open watches included, or answer the calls that
// arrive from then on.
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

// SilenceWatches makes discovery never answer the watches that are open now. Their connections stay
// open.
func (d *Discovery) SilenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silence)
	d.silence = make(chan struct{})
}

// Rewind decreases the version of the list by n.
func (d *Discovery) Rewind(n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directory.Rewind(n)
	d.wakeWatches()
}

// List returns the present full list.
func (d *Discovery) List() model.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directory.FullList()
}

// CallCount returns the number of calls so far.
func (d *Discovery) CallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// OpenListener opens a listener for a router. address maps each server to the address that this router
// gets for it.
func (d *Discovery) OpenListener(router string, address func(e model.Entry) string) (addr string, err error) {
	ln, err := net.Listen("tcp", LoopbackHost(AnyPort)+":0")
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, router, address) })
	opened := &routerListener{listener: ln, server: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return d.ctx },
		ErrorLog:    slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}}
	d.mu.Lock()
	d.listeners[ln.Addr().String()] = opened
	d.mu.Unlock()
	d.wg.Go(func() {
		if err := opened.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !opened.retired.Load() {
			slog.Error("discovery", "error", err)
		}
	})
	return ln.Addr().String(), nil
}

// RetireListener closes a listener to new connections, and closes its open connections after
// retiredListenerTimeout.
func (d *Discovery) RetireListener(addr string) {
	d.mu.Lock()
	retired := d.listeners[addr]
	delete(d.listeners, addr)
	d.mu.Unlock()
	if retired == nil {
		return
	}
	retired.retired.Store(true)
	retired.listener.Close()
	d.wg.Go(func() {
		select {
		case <-time.After(retiredListenerTimeout):
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
	wait, ok := d.queueDelay(router, q.Get("after"))
	down := d.down
	d.mu.Unlock()
	if !down && wait > 0 {
		select {
		case <-time.After(millis(wait)):
		case <-r.Context().Done():
			return
		}
	}
	if down || !ok {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	l, ok := d.listFor(w, r, router)
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
	d.recordSent(router, l)
}

// listFor returns the list, or the changes to it, for the answer to a call. If the call failed, it writes
// the error to w and returns false.
func (d *Discovery) listFor(w http.ResponseWriter, r *http.Request, router string) (l model.List, ok bool) {
	q := r.URL.Query()
	after := q.Get("after")
	if after == "" {
		return d.List(), true
	}
	version, err := strconv.ParseInt(after, 10, 64)
	waitMillis, err2 := strconv.ParseFloat(q.Get("wait_ms"), 64)
	if err != nil || err2 != nil || waitMillis < 0 {
		http.Error(w, "after and wait_ms must be numbers", http.StatusBadRequest)
		return l, false
	}
	if l, ok = d.watch(r.Context(), router, version, min(waitMillis, 60000)); !ok {
		http.Error(w, "not now", http.StatusServiceUnavailable)
	}
	return l, ok
}

// queueDelay returns how long a call waits for its answer, and false if it is rejected. Where the cost of a
// call depends on its servers, a call that continues a watch does not wait. The caller holds mu.
func (d *Discovery) queueDelay(router, after string) (wait float64, ok bool) {
	now := d.clock.Now()
	version, err := strconv.ParseInt(after, 10, 64)
	if !d.directory.HasCostPerServer() {
		return d.directory.Call(now)
	}
	if err != nil {
		return d.directory.CallFor(now, len(d.directory.FullList().Servers))
	}
	if last := d.sentVersions[router]; last.version == version && now-last.at < watchContinuesMillis {
		return 0, true
	}
	return d.directory.CallFor(now, len(d.directory.ChangesAfter(version).Servers))
}

// watch waits up to waitMillis milliseconds for changes after a version. It returns false if the watch
// gets no answer.
func (d *Discovery) watch(ctx context.Context, router string, version int64, waitMillis float64) (model.List, bool) {
	waitTimer := time.NewTimer(millis(waitMillis))
	defer waitTimer.Stop()
	waitEndAt := d.clock.Now() + waitMillis
	d.mu.Lock()
	silence := d.silence
	d.mu.Unlock()
	for {
		d.mu.Lock()
		l, changed, down := d.directory.ChangesAfter(version), d.changed, d.down
		d.mu.Unlock()
		if down {
			return l, false
		}
		if l.Full || len(l.Servers) > 0 {
			return l, true
		}
		select {
		case <-changed:
		case <-waitTimer.C:
			return l, true
		case <-silence:
			now := d.clock.Now()
			d.journal.Add(checker.Event{At: now, Kind: checker.WatchSilent, Router: router,
				Deadline: max(0, waitEndAt-now)})
			<-ctx.Done()
			return l, false
		case <-ctx.Done():
			return l, false
		}
	}
}

// Close stops discovery and waits for its goroutines.
func (d *Discovery) Close() {
	d.cancel()
	d.mu.Lock()
	listeners := d.listeners
	d.mu.Unlock()
	for _, opened := range listeners {
		opened.server.Close()
	}
	d.wg.Wait()
}
