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

// When a configuration names another discovery, the held list stays in use until the new discovery
// provides a complete one, the old watch ends, and later changes of the old discovery are ignored.
func TestReloadSwitchesDiscovery(t *testing.T) {
	a, b, o := startFakeServer(t, hitAnswer), startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	r, old := startReadyRouter(t, cacheEntry("s-0000000b", a.addr), originEntry(o.addr))
	c := dialClient(t, r.addr)

	allowAnswers, callEnded := make(chan struct{}), make(chan struct{}, 10)
	second := startFakeDiscovery(t, completeList(cacheEntry("s-0000000c", b.addr), originEntry(o.addr)))
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-allowAnswers:
			second.Config.Handler.ServeHTTP(w, r)
		case <-r.Context().Done():
			callEnded <- struct{}{}
		}
	}))
	t.Cleanup(func() { slow.CloseClientConnections(); slow.Close() })
	r.updates <- testConfig(t, slow.Listener.Addr().String(), endpointList{})
	receive(t, callEnded, "end of a first call, which was not answered") // the new discovery is called repeatedly
	if got := c.exchange(readCommandOf("a1", 5000)); got != "VA 5 Oa1 hello" {
		t.Errorf("while the new discovery does not answer: got %q", got)
	}
	receive(t, a.received, "request at the server of the held list")
	removed := originEntry(o.addr)
	removed.State = "left"
	old.publishChange(removed) // the watch has ended, so this must have no effect
	close(allowAnswers)
	receive(t, second.calls, "call for the complete list")
	receive(t, second.calls, "watch")
	receive(t, a.peerCloses, "end of the connection to the server that the new list lacks")
	for i := range 3 {
		if got := c.exchange(readCommandOf(fmt.Sprint("b", i), 5000)); !strings.HasSuffix(got, "hello") {
			t.Errorf("after the change: got %q", got)
		}
		receive(t, b.received, "request at the server of the new list")
	}
	if got := c.exchange(billCommandOf("w", 5000)); got != "HD Ow c5c0f" {
		t.Errorf("the origin removed by the old discovery: got %q", got)
	}
}

// Guards against applying an answer of the old discovery that arrives after the change to a new
// one.
func TestLateAnswerOfOldDiscoveryIsIgnored(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", endpointList{})
	l, err := newLoop(cfg, newUpstreams(time.Second, time.Second, 10), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	old, current := l.newDiscoveryClient(cfg, func(endpointList) {}), l.newDiscoveryClient(cfg, func(endpointList) {})
	// deliver delivers a list from a discovery; the loop processes it after calling between.
	deliver := func(d *discovery, between func()) {
		done := make(chan struct{})
		go func() { defer close(done); d.onList(completeList(cacheEntry("s-0000000b", "127.0.0.1:1"))) }()
		event := receive(t, l.events, "the list")
		between()
		event()
		receive(t, done, "the end of the delivery")
	}
	l.setDiscovery(old)
	deliver(old, func() { l.setDiscovery(current) })
	if len(l.targets) != 0 {
		t.Error("a list of the old discovery was applied")
	}
	deliver(current, func() {})
	if len(l.targets) != 1 {
		t.Error("the list of the new discovery was not applied")
	}
}

func (r *runningRouter) reloadCounts(t *testing.T) [2]int64 {
	s := r.metricsSnapshot(t)
	return [2]int64{s.ReloadSuccess, s.ReloadFailure}
}

func TestReloadReplacesClasses(t *testing.T) {
	a, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	d := startFakeDiscovery(t, completeList(cacheEntry("s-0000000b", a.addr), originEntry(o.addr)))
	cfg := testConfig(t, d.Listener.Addr().String(), endpointList{})
	r := startRouter(t, cfg)
	c := dialClient(t, r.addr)
	for c.exchange("mn") != "MN" {
	}
	other := strings.Replace(readCommandOf("a1", 5000), "c=read", "c=fetch", 1)
	bad := withSettings(t, cfg, `"name":"n0"`, `"name":"n1"`)
	good := withSettings(t, cfg, `"name":"read"`, `"name":"fetch"`)
	r.updates <- bad
	r.updates <- withSettings(t, cfg, `"hardLimit":2000,"gain":1}`, `"hardLimit":2000,"gain":1}`+" ") // unchanged
	if got := c.exchange(readCommandOf("a0", 5000)); got != "VA 5 Oa0 hello" {
		t.Errorf("before: got %q", got)
	}
	r.updates <- good
	r.updates <- good // accepted once the previous one has been applied
	if got := c.exchange(other); got != "VA 5 Oa1 hello" {
		t.Errorf("new class: got %q", got)
	}
	if got := c.exchange(readCommandOf("a2", 5000)); !strings.HasPrefix(got, "CLIENT_ERROR") {
		t.Errorf("removed class: got %q", got)
	}
	r.updates <- bad
	if got := r.reloadCounts(t); got[0] < 2 || got[1] < 1 {
		t.Errorf("got %v", got)
	}
}

func TestReloadRejectsMissingKey(t *testing.T) {
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

// With a held list, one call for the changes since its version replaces the calls for the complete
// list and the first watch, also after a failure.
func TestWatchBeginsAtVersionOfHeldList(t *testing.T) {
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
			t.Fatal("the rejected watch did not end")
		}
	}
	close(queries)
	var got []string
	for q := range queries {
		got = append(got, q)
	}
	if fmt.Sprint(got) != "[41 41 42]" {
		t.Errorf("versions in the calls: %v", got)
	}
}

// Guards against a request that loses its rules when its class is removed while it is queued in
// admission.
func TestQueuedRequestKeepsItsRulesAfterReload(t *testing.T) {
	r, _, answer, first, second, cfg := startWithQueuedRequest(t)
	l := r.router.loop
	updated := withLongDeadlines(withSettings(t, cfg, `"name":"read"`, `"name":"fetch"`))
	updated.Admission = cfg.Admission
	updated.settings.Config.HealthChecksAllowed = false
	r.updates <- updated
	eventually(t, l, "the new settings", func() bool { return l.rules.Load().classes["fetch"] != nil })
	answer.open()
	for i, c := range []*client{first, second} {
		if got, want := c.nextAnswer(), "VA 5 O"+string("ab"[i])+" hello"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// withPolledDiscovery returns the configuration of one of 300 routers that poll one discovery.
func withPolledDiscovery(t *testing.T, cfg *Config) *Config {
	t.Helper()
	cfg = withSettings(t, cfg, `"discovery":"push"`, `"discovery":"ask"`)
	return withSettings(t, cfg, `"balancers":1`, `"balancers":300`)
}

// startPollingRouter starts a router that polls discovery and already holds its list, and waits
// until it is watching.
func startPollingRouter(t *testing.T, entries ...listEntry) *runningRouter {
	t.Helper()
	d := startFakeDiscovery(t, completeList(entries...))
	r := startRouter(t, withPolledDiscovery(t, testConfig(t, d.Listener.Addr().String(), completeList(entries...))))
	receive(t, d.calls, "watch")
	c := dialClient(t, r.addr)
	for c.exchange("mn") != "MN" {
	}
	return r
}

// Guards against a fleet that requests complete lists from another discovery, which take many times
// as long as changes. The new discovery is asked for the changes to the list in the configuration;
// the two together replace the held list, whose versions are unrelated.
func TestNewDiscoveryIsAskedForChangesToConfiguredList(t *testing.T) {
	a, b, o := startFakeServer(t, hitAnswer), startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	r := startPollingRouter(t, cacheEntry("s-0000000b", a.addr), originEntry(o.addr))
	c := dialClient(t, r.addr)
	if got := c.exchange(readCommandOf("a0", 5000)); got != "VA 5 Oa0 hello" {
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
	known := completeList(cacheEntry("s-0000000c", b.addr), originEntry(o.addr))
	known.Version = 8
	r.updates <- withPolledDiscovery(t, testConfig(t, second.Listener.Addr().String(), known))
	receive(t, a.peerCloses, "end of the connection to the server that the new list lacks")
	if got := receive(t, queries, "call"); got != "8" {
		t.Errorf("call for the changes after %q, want 8", got)
	}
	if got := c.exchange(readCommandOf("a1", 5000)); got != "VA 5 Oa1 hello" {
		t.Errorf("got %q", got)
	}
	receive(t, b.received, "request at the server of the new list")
}

// Guards against a watch that stops answering just after the change to another discovery and is
// replaced only after its usual long wait. What discovery has 4 s after the change counts as
// received then.
func TestUnansweredWatchOfNewDiscoveryIsReplacedSoon(t *testing.T) {
	a, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	entries := []listEntry{cacheEntry("s-0000000b", a.addr), originEntry(o.addr)}
	r := startPollingRouter(t, entries...)
	calls := make(chan string, 100)
	var answered atomic.Int32
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.Query().Get("wait_ms")
		if answered.Add(1) == 2 {
			<-r.Context().Done() // this watch is not answered
			return
		}
		fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
	}))
	t.Cleanup(func() { second.CloseClientConnections(); second.Close() })
	r.updates <- withPolledDiscovery(t, testConfig(t, second.Listener.Addr().String(), completeList(entries...)))
	movedAt := time.Now()
	for _, what := range []string{"call", "unanswered watch", "next call"} {
		receive(t, calls, what)
	}
	if took := time.Since(movedAt); took > 4*time.Second {
		t.Errorf("the unanswered watch was replaced %v after the change", took)
	}
}

// Guards against a router that waits long before it calls a newly configured discovery again. If
// that is overloaded and rejects the first calls, a drain must still be applied in time.
func TestDrainIsAppliedAfterRejectedDiscoveryCalls(t *testing.T) {
	const rejectedCalls = 3
	a, b, o := startFakeServer(t, hitAnswer), startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	entries := []listEntry{cacheEntry("s-0000000b", a.addr), cacheEntry("s-0000000c", b.addr), originEntry(o.addr)}
	r := startPollingRouter(t, entries...)
	calls := make(chan time.Time, 100)
	drained := completeList(entries...)
	drained.Version = 2
	drained.Servers[0].State = "leaving"
	second := startFakeDiscovery(t, drained)
	overloaded := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- time.Now()
		if len(calls) <= rejectedCalls {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		second.Config.Handler.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { overloaded.CloseClientConnections(); overloaded.Close() })
	movedAt := time.Now()
	r.updates <- withPolledDiscovery(t, testConfig(t, overloaded.Listener.Addr().String(), completeList(entries...)))
	receive(t, second.calls, "accepted call")
	receive(t, second.calls, "watch")
	if took := time.Since(movedAt); took > 4*time.Second {
		t.Errorf("the list was current again %v after the new configuration", took)
	}
	c := dialClient(t, r.addr)
	for i := range 20 {
		c.exchange(fmt.Sprintf("mg %016x v O%x Pc=read,t=t,d=2000,h=52000,size=5", 7919*(i+1), i))
	}
	if len(a.received) > 0 {
		t.Errorf("%d requests to the draining server", len(a.received))
	}
}
