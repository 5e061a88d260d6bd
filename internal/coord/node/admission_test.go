package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/rollout"
)

// single starts a coordinator that is a group by itself and leads it.
func single(t *testing.T) *Node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := ln.Addr().String()
	ln.Close()
	n, err := Start(Options{Name: "c1", Directory: t.TempDir(), ListenAddress: listen, ClientAddress: "127.0.0.1:1", ClockRateBound: coord.DefaultClockRateBound, SnapshotEntries: 1 << 20, HeartbeatTimeout: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close() })
	if err := n.Bootstrap([]Member{{Name: "c1", Identity: n.Status().Identity, Address: listen, IsVoter: true}}); err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := n.Propose(coord.Command{Op: coord.OpUpgrade, TargetVersion: coord.Version}); err == nil {
			return n
		}
		select {
		case <-t.Context().Done():
			t.Fatal("never leads")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// A session over the bound is refused in words, with a time to come back, and costs no entry of the log; times lie apart.
func TestSessionsFull(t *testing.T) {
	n := single(t)
	n.mu.Lock()
	for i := range coord.MaxSessions {
		n.state.Sessions[fmt.Sprint("s", i)] = &coord.Session{Client: "c", TTL: coord.MaxTTL, KeptAliveAt: n.state.Clock, Leases: map[string]bool{}}
	}
	n.mu.Unlock()
	const tries = 500
	before := n.raft.LastIndex()
	var last time.Duration
	for i := range tries {
		a := command(t, n.Handler(), coord.Command{Op: coord.OpOpenSession, SessionID: fmt.Sprint("more", i), Client: "c", TTL: time.Minute})
		if a.Code != coord.CodeLimitReached || !strings.Contains(a.Text, "sessions") || a.RetryAfter < minRetryAfter || a.RetryAfter > maxTableRetryAfter {
			t.Fatalf("%+v", a)
		}
		last = a.RetryAfter
	}
	if grown := n.raft.LastIndex() - before; grown > tries/4 { // time passes in the log all the same
		t.Errorf("%d refusals wrote %d entries of the log", tries, grown)
	}
	if last < minRetryAfter+tries*time.Second/tableReturnsPerSecond/2 {
		t.Errorf("the last of %d is to come back after %v, which is with the first", tries, last)
	}
	if got := n.Status().Rejected; got != tries {
		t.Errorf("%d refusals are counted, there were %d", got, tries)
	}
	if a := command(t, n.Handler(), coord.Command{Op: coord.OpOpenSession, SessionID: "s1", Client: "c", TTL: time.Minute}); a.Code != coord.CodeOK {
		t.Errorf("a session that is there: %+v", a)
	}
}

func command(t *testing.T, h http.Handler, c coord.Command) (a coord.Response) {
	t.Helper()
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/command", bytes.NewReader(text)))
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil {
		t.Fatalf("%d %s: %v", w.Code, w.Body, err)
	}
	return a
}

// A client that would be one watcher, or have one command under way, too many is told so and when to come back.
func TestWatchersAndCommandsFull(t *testing.T) {
	n := single(t)
	n.mu.Lock()
	n.watchers = MaxWatchers
	n.mu.Unlock()
	w := httptest.NewRecorder()
	n.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/drains?after=1000", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || !strings.Contains(w.Body.String(), "watchers") {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	n.commandsInFlight.Store(MaxCommandsInFlight)
	if a := command(t, n.Handler(), coord.Command{Op: coord.OpKeepAlive, SessionID: "s"}); a.Code != coord.CodeLimitReached || a.RetryAfter < minRetryAfter || a.RetryAfter > maxCommandRetryAfter {
		t.Errorf("%+v", a)
	}
	n.commandsInFlight.Store(MaxOtherCommandsInFlight)
	open := coord.Command{Op: coord.OpOpenSession, SessionID: "s", Client: "c", TTL: time.Minute}
	if a := command(t, n.Handler(), open); a.Code != coord.CodeLimitReached || a.RetryAfter < minRetryAfter || a.RetryAfter > maxCommandRetryAfter {
		t.Errorf("%+v", a)
	}
	if a := command(t, n.Handler(), coord.Command{Op: coord.OpKeepAlive, SessionID: "s"}); a.Code != coord.CodeNoSession {
		t.Errorf("a keep-alive: %+v", a)
	}
	n.commandsInFlight.Store(0)
}

// Whoever is refused gets a time apart from the others', between the bounds; a schedule that was idle starts from now.
func TestReturnSchedule(t *testing.T) {
	r := tableReturns()
	if first, second := r.nextRetryAfter(0), r.nextRetryAfter(0); first != minRetryAfter || second != first+time.Second/tableReturnsPerSecond {
		t.Errorf("%v, %v", first, second)
	}
	for range 2 * tableReturnsPerSecond * int(maxTableRetryAfter/time.Second) {
		r.nextRetryAfter(0)
	}
	if d := r.nextRetryAfter(0); d != maxTableRetryAfter {
		t.Errorf("%v after many", d)
	}
	if d := r.nextRetryAfter(time.Hour); d != minRetryAfter {
		t.Errorf("%v after an hour", d)
	}
}

// A connection beyond the bound is answered with when to come back and closed; once another has ended, there is room again.
func TestConnectionsFull(t *testing.T) {
	limit := newConnectionLimit(1)
	s := httptest.NewUnstartedServer(limit.handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })))
	s.Config.ConnContext, s.Config.ConnState = limit.opened, limit.changed
	s.Start()
	defer s.Close()
	ask := func(c *http.Client) (int, string, http.Header) {
		resp, err := c.Get(s.URL)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text), resp.Header
	}
	first, second := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	if code, text, _ := ask(first); code != http.StatusOK || text != "served" {
		t.Fatalf("%d %s", code, text)
	}
	code, text, header := ask(second)
	if code != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || !strings.Contains(text, "connections: 1 at most") {
		t.Errorf("%d %s %v", code, text, header)
	}
	if code, _, _ := ask(first); code != http.StatusOK {
		t.Errorf("the one within the bound: %d", code)
	}
	first.CloseIdleConnections()
	for code != http.StatusOK {
		code, _, _ = ask(second)
	}
}

// A watch for what follows version 0 waits like any other, where it is asked to; without that word it is answered at once.
func TestWatchFromNothing(t *testing.T) {
	n := single(t)
	answered := make(chan int, 1)
	go func() { // ends with the watch, at the latest when its time is over
		w := httptest.NewRecorder()
		n.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/drains?after=0&wait=true", nil))
		answered <- w.Code
	}()
	for watchers := 0; watchers == 0; watchers = n.Status().Watchers {
		select {
		case code := <-answered:
			t.Fatalf("answered with %d and did not wait", code)
		case <-time.After(time.Millisecond):
		}
	}
	w := httptest.NewRecorder()
	n.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/drains?after=0", nil))
	if w.Code != http.StatusOK {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	command(t, n.Handler(), coord.Command{Op: coord.OpOpenSession, SessionID: "s", Client: "ann", TTL: time.Minute})
	budgets := &rollout.Command{Op: rollout.OpSetBudgets, Grace: time.Minute, EjectionQuorum: rollout.MinEjectionQuorum} // changes what routers go by
	if a := command(t, n.Handler(), coord.Command{Op: coord.OpRollout, SessionID: "s", Sequence: 1, Rollout: budgets}); a.Code != coord.CodeOK {
		t.Fatalf("%+v", a)
	}
	if code := <-answered; code != http.StatusOK {
		t.Errorf("%d", code)
	}
}

// A coordinator that doesn't lead, and may know less than the others, refuses no command by the version that it knows.
func TestOldStateRefusesNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := ln.Addr().String()
	ln.Close()
	n, err := Start(Options{Name: "c1", Directory: t.TempDir(), ListenAddress: listen, ClientAddress: "127.0.0.1:1", ClockRateBound: coord.DefaultClockRateBound, SnapshotEntries: 100, HeartbeatTimeout: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	text, err := json.Marshal(coord.Command{Op: coord.OpRollout, SessionID: "s", Sequence: 1, Rollout: &rollout.Command{Op: rollout.OpAcknowledgeDrains}})
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	n.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/command", bytes.NewReader(text)))
	if w.Code != http.StatusMisdirectedRequest {
		t.Errorf("%d %s", w.Code, w.Body)
	}
}
