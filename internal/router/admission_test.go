package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/admit"
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
	cfg := testConfig(t, d.Listener.Addr().String(), list{})
	ln := listenLocal(t)
	m := metrics.New()
	rules := admit.Config{OthersWeight: 1, Flows: 8, Buckets: 2, TurnMS: 10000, Queue: 2, Promises: 8, MaxWaitMS: 1e6, MaxAfterMS: 1500,
		Start: 1, Least: 1, Most: 1, RetryShare: 1, RetryBurst: 10}
	cfg.Admission = &Admission{rules, admit.Identify{{By: "fact"}}}
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
		r.l.post(func() { _, _, w := r.l.admission.a.Limit(); n <- w })
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
