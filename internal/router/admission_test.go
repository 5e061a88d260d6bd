package router

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/admission"
	"dockhinge.example/dockhinge/internal/metrics"
)

// singleSlotRules returns rules that admit one request at a time and use small tables.
func singleSlotRules() admission.Config {
	return admission.Config{
		OthersWeight:        1,
		Flows:               8,
		Buckets:             2,
		RehashMillis:        10000,
		QueueLimit:          2,
		ReservationLimit:    8,
		MaxWaitMillis:       100,
		MaxRetryAfterMillis: 1500,
		InitialLimit:        1,
		MinLimit:            1,
		MaxLimit:            1,
		RetryBudgetShare:    1,
		RetryBudgetBurst:    10,
	}
}

// tenantFromClient assigns requests to the tenant that the client declares.
var tenantFromClient = admission.TenantRules{{Source: admission.TenantFromClient}}

// Admission admits one request at a time. The first request is running; the second is queued until
// its client disconnects, which frees its place. The third is queued and served once the first is
// answered. The fourth can't get capacity in time and is rejected, at once or when its wait is
// over. Each outcome is counted once.
func TestAdmissionQueuesAndRejectsRequests(t *testing.T) {
	release := make(chan struct{}, 10)
	cache := startFakeServer(t, func(line string) string {
		if !strings.HasPrefix(line, "mg") { // a health check
			return "STAT qps 3\r\nSTAT util 0.1\r\nEND\r\n"
		}
		<-release
		return "VA 5 O{id} h1\r\nhello\r\n"
	})
	awaitAttempt := func(what string) {
		for !strings.HasPrefix(receive(t, cache.received, what), "mg") {
		}
	}
	t.Cleanup(func() { close(release) })
	origin := startFakeServer(t, originAnswer)
	d := startFakeDiscovery(t, completeList(cacheEntry("s-0000000b", cache.addr), originEntry(origin.addr)))
	cfg := testConfig(t, d.Listener.Addr().String(), endpointList{})
	ln := listenLocal(t)
	m := metrics.New()
	rules := singleSlotRules()
	rules.MaxWaitMillis = 1e6
	cfg.Admission = &AdmissionConfig{Rules: rules, Tenants: tenantFromClient}
	r, err := New(cfg, ln, m)
	if err != nil {
		t.Fatal(err)
	}
	runRouter(t, r, ln)
	c := dialClient(t, ln.Addr().String())
	for c.exchange("mn") != "MN" {
	}
	// queued returns the number of queued requests, once the loop has processed earlier events.
	queued := func() int {
		count := make(chan int)
		r.loop.post(func() { count <- r.loop.admission.admission.State(0).Waiting })
		return receive(t, count, "count")
	}
	awaitQueued := func(want int) {
		t.Helper()
		for end := time.Now().Add(testTimeout); queued() != want; {
			if time.Now().After(end) {
				t.Fatalf("%d requests are queued, want %d", queued(), want)
			}
		}
	}
	get := func(c *client, id int, tenant string) {
		c.send(fmt.Sprintf("mg %016x v O%016x Pc=read,d=1900,t=%s\r\n", id, id, tenant))
	}
	first := dialClient(t, ln.Addr().String())
	second := dialClient(t, ln.Addr().String())
	third := dialClient(t, ln.Addr().String())
	get(first, 1, "a")
	awaitAttempt("attempt")
	get(second, 2, "b")
	awaitQueued(1)
	second.Close()
	awaitQueued(0)
	get(third, 3, "b")
	awaitQueued(1)
	release <- struct{}{}
	if got := first.nextAnswer(); !strings.HasPrefix(got, "VA 5") {
		t.Errorf("first request: got %q", got)
	}
	awaitAttempt("second attempt, once there is capacity")
	get(first, 4, "a") // the limit is in use, so it waits for at most half of its time
	if got := first.nextAnswer(); got != "SERVER_ERROR busy" && !strings.HasPrefix(got, "SERVER_ERROR busy ") {
		t.Errorf("fourth request: got %q", got)
	}
	release <- struct{}{}
	if got := third.nextAnswer(); !strings.HasPrefix(got, "VA 5") {
		t.Errorf("third request: got %q", got)
	}
	for end := time.Now().Add(testTimeout); m.Concurrent.Load() != 0 && time.Now().Before(end); {
	}
	s := m.Snapshot()
	if n := s.Success["read"] + s.Overload["read"] + s.Error["read"]; n != 3 || s.Overload["read"] < 1 {
		t.Errorf("metrics: %+v", s)
	}
}

// Guards against a reload that is applied in part. New rules with another tenant are applied. Rules
// that need a new process (another table size, or admission disabled) are rejected with the name of
// the setting, and nothing of that configuration is applied.
func TestReloadOfAdmissionRulesIsAllOrNothing(t *testing.T) {
	with := func(rules admission.Config) *Config {
		cfg := testConfig(t, "127.0.0.1:9", endpointList{})
		cfg.Admission = &AdmissionConfig{Rules: rules}
		return cfg
	}
	l, err := newLoop(with(singleSlotRules()), newUpstreams(time.Second, time.Second, 1), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	withTenant := singleSlotRules()
	withTenant.Tenants = []admission.Tenant{{Name: "a", Weight: 2}}
	if err := l.reconfigure(with(withTenant)); err != nil || len(l.admission.admission.Snapshot(l.now()).Tenants) != 1 {
		t.Errorf("new tenant: %v", err)
	}
	withMoreFlows := singleSlotRules()
	withMoreFlows.Flows = 9
	for setting, cfg := range map[string]*Config{
		"admission.flows":   with(withMoreFlows),
		"admission.enabled": testConfig(t, "127.0.0.1:9", endpointList{}),
	} {
		t.Run(setting, func(t *testing.T) {
			before := l.rules.Load()
			err := l.reconfigure(cfg)
			if err == nil || !strings.Contains(err.Error(), setting) || l.rules.Load() != before {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Guards against a successor that starts with the initial limit, which the fleet may have no
// capacity for, instead of the limit that the old process had reached.
func TestSuccessorInheritsAdmissionLimit(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:9", endpointList{})
	rules := singleSlotRules()
	rules.InitialLimit = 7
	rules.MaxLimit = 9
	cfg.Admission = &AdmissionConfig{Rules: rules, Tenants: tenantFromClient}
	start := func() *Router {
		r, err := New(cfg, listenLocal(t), metrics.New())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { r.clients.listener.Close() })
		return r
	}
	old := start()
	successor := start()
	old.loop.serverIDs.add("s-0000000b", 11, nil) // a state without names is rejected
	old.loop.admission.admission.ScaleLimit(old.loop.now(), 0.5)
	snapshot := old.loop.admission.admission.Snapshot(old.loop.now())
	state := handoverState{
		Decisions: old.loop.balancer.HandOver(old.loop.now()),
		ServerIDs: old.loop.serverIDs.clone(),
		Admission: &snapshot,
	}
	text, err := json.Marshal(state)
	if err == nil {
		err = successor.Inherit(text, nil)
	}
	if err != nil {
		t.Fatal(err)
	}
	successor.restoreState()
	if limit := successor.loop.admission.admission.State(0).Limit; limit != 3.5 {
		t.Errorf("limit %v after the hand-over, want 3.5", limit)
	}
}
