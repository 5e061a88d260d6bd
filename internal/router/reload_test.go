package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/metrics"
)

// A configuration that names another discovery: the list that is held serves until the new one
// tells the whole, the old watch ends, and what the old one says from then on counts for nothing.
func TestNewDiscoveryTakesOver(t *testing.T) {
	a, b, o := startFake(t, hit), startFake(t, hit), startFake(t, originOK)
	r, old := serving(t, box("s-0000000b", a.addr), originAt(o.addr))
	c := dial(t, r.addr)

	tell, ended := make(chan struct{}), make(chan struct{}, 10)
	second := startDirectory(t, full(box("s-0000000c", b.addr), originAt(o.addr)))
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-tell:
			second.Config.Handler.ServeHTTP(w, r)
		case <-r.Context().Done():
			ended <- struct{}{}
		}
	}))
	t.Cleanup(func() { slow.CloseClientConnections(); slow.Close() })
	r.updates <- testConfig(t, slow.Listener.Addr().String(), endpointList{})
	receive(t, ended, "end of a first call, which was not answered") // so the new one is asked again and again
	if got := c.ask(readCommandOf("a1", 5000)); got != "VA 5 Oa1 hello" {
		t.Errorf("while the new one is silent: got %q", got)
	}
	receive(t, a.seen, "request at the server of the list that is held")
	gone := originAt(o.addr)
	gone.State = "left"
	old.change(gone) // the watch is over: nobody hears it
	close(tell)
	receive(t, second.calls, "call for the whole list")
	receive(t, second.calls, "watch")
	receive(t, a.ended, "end of the connection to the server that the new list lacks")
	for i := range 3 {
		if got := c.ask(readCommandOf(fmt.Sprint("b", i), 5000)); !strings.HasSuffix(got, "hello") {
			t.Errorf("after the change: got %q", got)
		}
		receive(t, b.seen, "request at the server of the new list")
	}
	if got := c.ask(billCommandOf("w", 5000)); got != "HD Ow c5c0f" {
		t.Errorf("the origin that the old discovery took away: got %q", got)
	}
}

// An answer of the old discovery that is on its way when the new one is named is not heard.
func TestLateAnswerOfTheOldDiscoveryIsPassedOver(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", endpointList{})
	l, err := newLoop(cfg, newUpstreams(time.Second, time.Second, 10), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	old, fresh := l.newWatch(cfg, func(endpointList) {}), l.newWatch(cfg, func(endpointList) {})
	// told has a discovery tell a list, and the loop take it after what comes between the two.
	told := func(d *discovery, between func()) {
		done := make(chan struct{})
		go func() { defer close(done); d.onList(full(box("s-0000000b", "127.0.0.1:1"))) }()
		event := receive(t, l.events, "the list")
		between()
		event()
		receive(t, done, "the end of telling it")
	}
	l.setDiscovery(old)
	told(old, func() { l.setDiscovery(fresh) })
	if len(l.targets) != 0 {
		t.Error("the old discovery is still heard")
	}
	told(fresh, func() {})
	if len(l.targets) != 1 {
		t.Error("the new discovery is not heard")
	}
}

func (r *running) reloads(t *testing.T) [2]int64 {
	s := r.figures(t)
	return [2]int64{s.ReloadSuccess, s.ReloadFailure}
}

func TestNewClassesAtReload(t *testing.T) {
	a, o := startFake(t, hit), startFake(t, originOK)
	d := startDirectory(t, full(box("s-0000000b", a.addr), originAt(o.addr)))
	cfg := testConfig(t, d.Listener.Addr().String(), endpointList{})
	r := start(t, cfg)
	c := dial(t, r.addr)
	for c.ask("mn") != "MN" {
	}
	other := strings.Replace(readCommandOf("a1", 5000), "c=read", "c=fetch", 1)
	bad := withSettings(t, cfg, `"name":"n0"`, `"name":"n1"`)
	good := withSettings(t, cfg, `"name":"read"`, `"name":"fetch"`)
	r.updates <- bad
	r.updates <- withSettings(t, cfg, `"hardLimit":2000,"gain":1}`, `"hardLimit":2000,"gain":1}`+" ") // nothing new
	if got := c.ask(readCommandOf("a0", 5000)); got != "VA 5 Oa0 hello" {
		t.Errorf("before: got %q", got)
	}
	r.updates <- good
	r.updates <- good // the one before has been carried out
	if got := c.ask(other); got != "VA 5 Oa1 hello" {
		t.Errorf("a new class: got %q", got)
	}
	if got := c.ask(readCommandOf("a2", 5000)); !strings.HasPrefix(got, "CLIENT_ERROR") {
		t.Errorf("a class that was dropped: got %q", got)
	}
	r.updates <- bad
	if got := r.reloads(t); got[0] < 2 || got[1] < 1 {
		t.Errorf("got %v", got)
	}
}

func TestFileThatLacksAKeyReplacesNothing(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", endpointList{})
	for text, key := range map[string]string{`"connIdle":10000,`: "settings.caps.connIdle",
		`"cancel":false,`:      "settings.caps.cancel",
		`"weights":"nominal",`: "settings.weights", `"cores":1,`: "limits.cores"} {
		got := withSettings(t, cfg, text, "")
		if err := got.replaces(cfg); err == nil || err.Error() != key+": missing" {
			t.Errorf("without %s: got %v", key, err)
		}
	}
	if err := cfg.replaces(cfg); err != nil {
		t.Error(err)
	}
}

// Where a list is held, one call from its version does for the whole list and the watch, also after
// a failure.
func TestHeldListIsWatchedFromItsVersion(t *testing.T) {
	queries := make(chan string, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.Query().Get("after")
		if len(queries) == 1 || r.URL.Query().Get("after") == "42" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, `{"version":42,"full":false,"servers":[]}`)
	}))
	t.Cleanup(srv.Close)
	d := newDiscovery(srv.Listener.Addr().String(), true, 36, func(endpointList) {}, func() {})
	d.holdsList, d.heldVersion = true, 41
	for range 2 {
		if _, err := d.followList(t.Context()); err == nil {
			t.Fatal("no end of a refused watch")
		}
	}
	close(queries)
	var got []string
	for q := range queries {
		got = append(got, q)
	}
	if fmt.Sprint(got) != "[41 41 42]" {
		t.Errorf("asked for what came after %v", got)
	}
}

// A request that waits in admission keeps the rules that it came under, though its class is dropped
// meanwhile.
func TestQueuedRequestKeepsItsClassOverReload(t *testing.T) {
	r, _, answer, first, second, cfg := startWithQueuedRequest(t)
	l := r.router.loop
	dropped := longLived(withSettings(t, cfg, `"name":"read"`, `"name":"fetch"`))
	dropped.Admission = cfg.Admission
	dropped.settings.Config.HealthChecksAllowed = false
	r.updates <- dropped
	eventually(t, l, "the new settings", func() bool { return l.rules.Load().classes["fetch"] != nil })
	answer.open()
	for i, c := range []*client{first, second} {
		if got, want := c.line(), "VA 5 O"+string("ab"[i])+" hello"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// polled is a configuration of one of 300 routers that poll one discovery.
func polled(t *testing.T, cfg *Config) *Config {
	t.Helper()
	cfg = withSettings(t, cfg, `"discovery":"push"`, `"discovery":"ask"`)
	return withSettings(t, cfg, `"balancers":1`, `"balancers":300`)
}

// servingPolled starts a router that polls discovery, over a list that it holds and that discovery
// gives, and waits until it watches.
func servingPolled(t *testing.T, entries ...listEntry) *running {
	t.Helper()
	d := startDirectory(t, full(entries...))
	r := start(t, polled(t, testConfig(t, d.Listener.Addr().String(), full(entries...))))
	receive(t, d.calls, "watch")
	c := dial(t, r.addr)
	for c.ask("mn") != "MN" {
	}
	return r
}

// Guards against a fleet that asks another discovery for complete lists, which it takes many times as
// long to give as changes: it is asked for the changes to the list that its configuration brings, and
// they make the new list together, whatever versions the old discovery had.
func TestAnotherDiscoveryIsAskedForChangesToItsConfigurationsList(t *testing.T) {
	a, b, o := startFake(t, hit), startFake(t, hit), startFake(t, originOK)
	r := servingPolled(t, box("s-0000000b", a.addr), originAt(o.addr))
	c := dial(t, r.addr)
	if got := c.ask(readCommandOf("a0", 5000)); got != "VA 5 Oa0 hello" {
		t.Errorf("before: got %q", got)
	}
	queries := make(chan string, 10)
	hold := newGate(t)
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.Query().Get("after")
		if len(queries) > 1 {
			<-hold.opened
			return
		}
		fmt.Fprint(w, `{"version":9,"full":false,"servers":[]}`)
	}))
	t.Cleanup(second.Close)
	t.Cleanup(hold.open)
	known := full(box("s-0000000c", b.addr), originAt(o.addr))
	known.Version = 8
	r.updates <- polled(t, testConfig(t, second.Listener.Addr().String(), known))
	receive(t, a.ended, "end of the connection to the server that the new list lacks")
	if got := receive(t, queries, "call"); got != "8" {
		t.Errorf("asked for the changes after %q, want 8", got)
	}
	if got := c.ask(readCommandOf("a1", 5000)); got != "VA 5 Oa1 hello" {
		t.Errorf("got %q", got)
	}
	receive(t, b.seen, "request at the server of the new list")
}

// Guards against a watch of another discovery that falls silent just after the move and is found dead
// only at the end of its long wait: what discovery has 4 s after a move counts as notified then.
func TestSilentWatchAfterAMoveIsGivenUpSoon(t *testing.T) {
	a, o := startFake(t, hit), startFake(t, originOK)
	entries := []listEntry{box("s-0000000b", a.addr), originAt(o.addr)}
	r := servingPolled(t, entries...)
	calls := make(chan string, 100)
	var answered atomic.Int32
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.Query().Get("wait_ms")
		if answered.Add(1) == 2 {
			<-r.Context().Done() // silent
			return
		}
		fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
	}))
	t.Cleanup(func() { second.CloseClientConnections(); second.Close() })
	r.updates <- polled(t, testConfig(t, second.Listener.Addr().String(), full(entries...)))
	movedAt := time.Now()
	for _, what := range []string{"call", "watch that falls silent", "call after it"} {
		receive(t, calls, what)
	}
	if took := time.Since(movedAt); took > 4*time.Second {
		t.Errorf("the silent watch was replaced %v after the move", took)
	}
}

// Guards against a router that waits long before it calls a crowded discovery again that a new
// configuration names: a server that drains is notified of within the budget though the first calls
// are turned away.
func TestDrainIsLearntFromACrowdedDiscovery(t *testing.T) {
	const rejectedCalls = 3
	a, b, o := startFake(t, hit), startFake(t, hit), startFake(t, originOK)
	entries := []listEntry{box("s-0000000b", a.addr), box("s-0000000c", b.addr), originAt(o.addr)}
	r := servingPolled(t, entries...)
	calls := make(chan time.Time, 100)
	drained := full(entries...)
	drained.Version = 2
	drained.Servers[0].State = "leaving"
	second := startDirectory(t, drained)
	crowded := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- time.Now()
		if len(calls) <= rejectedCalls {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		second.Config.Handler.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { crowded.CloseClientConnections(); crowded.Close() })
	movedAt := time.Now()
	r.updates <- polled(t, testConfig(t, crowded.Listener.Addr().String(), full(entries...)))
	receive(t, second.calls, "call that is accepted")
	receive(t, second.calls, "watch")
	if took := time.Since(movedAt); took > 4*time.Second {
		t.Errorf("the list was current again %v after the new configuration", took)
	}
	c := dial(t, r.addr)
	for i := range 20 {
		c.ask(fmt.Sprintf("mg %016x v O%x Pc=read,t=t,d=2000,h=52000,size=5", 7919*(i+1), i))
	}
	if len(a.seen) > 0 {
		t.Errorf("%d requests to the draining server", len(a.seen))
	}
}
