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

// One place behind the door: the second request waits there, one whose client leaves gives its place up, and one for which
// there is no room in time is refused at once, or as soon as its wait is over, and counted once.
func TestAdmissionStandsBeforeTheBalancer(t *testing.T) {
	release := make(chan struct{}, 10)
	cache := startFake(t, func(line string) string {
		if !strings.HasPrefix(line, "mg") { // a probe
			return "STAT qps 3\r\nSTAT util 0.1\r\nEND\r\n"
		}
		<-release
		return "VA 5 O{id} h1\r\nhello\r\n"
	})
	attempt := func(what string) {
		for !strings.HasPrefix(next(t, cache.seen, what), "mg") {
		}
	}
	t.Cleanup(func() { close(release) })
	origin := startFake(t, originOK)
	d := startDirectory(t, full(box("s-0000000b", cache.addr), originAt(origin.addr)))
	cfg := testConfig(t, d.Listener.Addr().String(), endpointList{})
	ln := listenLocal(t)
	m := metrics.New()
	rules := admission.Config{OthersWeight: 1, Flows: 8, Buckets: 2, RehashMillis: 10000, QueueLimit: 2, ReservationLimit: 8, MaxWaitMillis: 1e6, MaxRetryAfterMillis: 1500,
		InitialLimit: 1, MinLimit: 1, MaxLimit: 1, RetryBudgetShare: 1, RetryBudgetBurst: 10}
	cfg.Admission = &AdmissionConfig{rules, admission.TenantRules{{By: "fact"}}}
	r, err := New(cfg, ln, m)
	if err != nil {
		t.Fatal(err)
	}
	run(t, r, ln)
	c := dial(t, ln.Addr().String())
	for c.ask("mn") != "MN" {
	}
	// waiting tells how many wait at the door, once the loop has done all that was sent before.
	waiting := func() int {
		n := make(chan int)
		r.loop.post(func() { n <- r.loop.admission.admission.State(0).Waiting })
		return next(t, n, "count")
	}
	until := func(n int) {
		for end := time.Now().Add(wait); waiting() != n; {
			if time.Now().After(end) {
				t.Fatalf("%d wait at the door, not %d", waiting(), n)
			}
		}
	}
	get := func(c *client, id int, tenant string) {
		c.send(fmt.Sprintf("mg %016x v O%016x Pc=read,d=1900,t=%s\r\n", id, id, tenant))
	}
	first, second, third := dial(t, ln.Addr().String()), dial(t, ln.Addr().String()), dial(t, ln.Addr().String())
	get(first, 1, "a")
	attempt("attempt")
	get(second, 2, "b")
	until(1)
	second.Close()
	until(0)
	get(third, 3, "b")
	until(1)
	release <- struct{}{}
	if got := first.line(); !strings.HasPrefix(got, "VA 5") {
		t.Errorf("the first: %q", got)
	}
	attempt("second attempt, once there is room")
	get(first, 4, "a") // the one place is taken: it waits, for half of its time at most
	if got := first.line(); got != "SERVER_ERROR busy" && !strings.HasPrefix(got, "SERVER_ERROR busy ") {
		t.Errorf("the fourth: %q", got)
	}
	release <- struct{}{}
	if got := third.line(); !strings.HasPrefix(got, "VA 5") {
		t.Errorf("the third: %q", got)
	}
	for end := time.Now().Add(wait); m.Concurrent.Load() != 0 && time.Now().Before(end); {
	}
	s := m.Snapshot()
	if n := s.Success["read"] + s.Overload["read"] + s.Error["read"]; n != 3 || s.Overload["read"] < 1 {
		t.Errorf("%+v", s)
	}
}

// Rules of admission are taken with the rest of a configuration, or nothing is and the setting is named.
func TestAdmissionRulesAtReload(t *testing.T) {
	rules := admission.Config{OthersWeight: 1, Flows: 8, Buckets: 2, RehashMillis: 10000, QueueLimit: 2, ReservationLimit: 8, MaxWaitMillis: 100, MaxRetryAfterMillis: 1500,
		InitialLimit: 1, MinLimit: 1, MaxLimit: 1, RetryBudgetShare: 1, RetryBudgetBurst: 10}
	with := func(r *admission.Config) *Config {
		cfg := testConfig(t, "127.0.0.1:9", endpointList{})
		if r != nil {
			cfg.Admission = &AdmissionConfig{*r, nil}
		}
		return cfg
	}
	on := with(&rules)
	l, err := newLoop(on, newUpstreams(time.Second, time.Second, 1), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	named, larger := rules, rules
	named.Tenants = []admission.Tenant{{Name: "a", Weight: 2}}
	larger.Flows = 9
	if err := l.reconfigure(with(&named)); err != nil || len(l.admission.admission.Snapshot(l.now()).Tenants) != 1 {
		t.Errorf("a new tenant: %v", err)
	}
	for setting, cfg := range map[string]*Config{"admission.flows": with(&larger), "admission.enabled": with(nil)} {
		before := l.rules.Load()
		if err := l.reconfigure(cfg); err == nil || !strings.Contains(err.Error(), setting) || l.rules.Load() != before {
			t.Errorf("%s: %v", setting, err)
		}
	}
}

// A process takes over what the one before it has told clients.
func TestAdmissionIsHandedOver(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:9", endpointList{})
	cfg.Admission = &AdmissionConfig{admission.Config{OthersWeight: 1, Flows: 8, Buckets: 2, RehashMillis: 10000, QueueLimit: 2, ReservationLimit: 8, MaxWaitMillis: 100,
		MaxRetryAfterMillis: 1500, InitialLimit: 7, MinLimit: 1, MaxLimit: 9, RetryBudgetShare: 1, RetryBudgetBurst: 10}, admission.TenantRules{{By: "fact"}}}
	start := func() *Router {
		r, err := New(cfg, listenLocal(t), metrics.New())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { r.clients.listener.Close() })
		return r
	}
	before, after := start(), start()
	before.loop.serverIDs.add("s-0000000b", 11) // a state without names is none
	before.loop.admission.admission.ScaleLimit(before.loop.now(), 0.5)
	door := before.loop.admission.admission.Snapshot(before.loop.now())
	text, err := json.Marshal(handoverState{Decisions: before.loop.balancer.HandOver(before.loop.now()), ServerIDs: before.loop.serverIDs.clone(), Admission: &door})
	if err == nil {
		err = after.Inherit(text, nil)
	}
	if err != nil {
		t.Fatal(err)
	}
	after.restoreState()
	if limit := after.loop.admission.admission.State(0).Limit; limit != 3.5 {
		t.Errorf("limit %v after the upgrade, 3.5 before", limit)
	}
}
