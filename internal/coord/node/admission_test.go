package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/rollout"
)

// The session table is full, and 500 clients each open one more session. Each is rejected with the
// limit's text and a Retry-After of its own, and the rejections add no log entries. Otherwise a
// fleet over the limit would keep the leader busy with rejections.
func TestFullSessionTableRejectsWithSpreadRetries(t *testing.T) {
	n := startUpgradedLeader(t)
	n.mu.Lock()
	for i := range coord.MaxSessions {
		n.state.Sessions[fmt.Sprint("s", i)] = &coord.Session{
			Client: "c", TTL: coord.MaxTTL, KeptAliveAt: n.state.Clock, Leases: map[string]bool{},
		}
	}
	n.mu.Unlock()
	const attempts = 500
	open := coord.Command{Op: coord.OpOpenSession, Client: "c", TTL: time.Minute}
	before := n.raft.LastIndex()
	var last time.Duration
	for i := range attempts {
		open.SessionID = fmt.Sprint("more", i)
		_, response := postCommand(t, n, open)
		isNamed := strings.Contains(response.Text, "sessions")
		isBounded := response.RetryAfter >= minRetryAfter && response.RetryAfter <= maxTableRetryAfter
		if response.Code != coord.CodeLimitReached || !isNamed || !isBounded {
			t.Fatalf("%+v", response)
		}
		last = response.RetryAfter
	}
	if grown := n.raft.LastIndex() - before; grown > attempts/4 { // ticks are written to the log meanwhile
		t.Errorf("%d rejections wrote %d entries of the log", attempts, grown)
	}
	if last < minRetryAfter+attempts*time.Second/tableRetriesPerSecond/2 {
		t.Errorf("the last of %d is to retry after %v, too close to the first", attempts, last)
	}
	if got := n.Status().Rejected; got != attempts {
		t.Errorf("%d rejections are counted, want %d", got, attempts)
	}
	open.SessionID = "s1"
	if _, response := postCommand(t, n, open); response.Code != coord.CodeOK {
		t.Errorf("an existing session: %+v", response)
	}
}

// The limits of watchers and of commands in flight are reached. One more is rejected with the
// limit's text and a Retry-After. A keep-alive is still accepted where other commands are rejected;
// otherwise sessions would expire at a busy leader.
func TestKeepAliveIsAcceptedWhenOtherCommandsAreRejected(t *testing.T) {
	n := startUpgradedLeader(t)
	n.mu.Lock()
	n.watchers = MaxWatchers
	n.mu.Unlock()
	w := serve(n.Handler(), http.MethodGet, "/v1/drains?after=1000", nil)
	hasHeader := w.Header().Get("Retry-After") != ""
	if w.Code != http.StatusServiceUnavailable || !hasHeader || !strings.Contains(w.Body.String(), "watchers") {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	checkRejected := func(c coord.Command) {
		t.Helper()
		_, response := postCommand(t, n, c)
		isBounded := response.RetryAfter >= minRetryAfter && response.RetryAfter <= maxCommandRetryAfter
		if response.Code != coord.CodeLimitReached || !isBounded {
			t.Errorf("%+v", response)
		}
	}
	keepAlive := coord.Command{Op: coord.OpKeepAlive, SessionID: "s"}
	n.commandsInFlight.Store(MaxCommandsInFlight)
	checkRejected(keepAlive)
	n.commandsInFlight.Store(MaxOtherCommandsInFlight)
	checkRejected(coord.Command{Op: coord.OpOpenSession, SessionID: "s", Client: "c", TTL: time.Minute})
	if _, response := postCommand(t, n, keepAlive); response.Code != coord.CodeNoSession {
		t.Errorf("a keep-alive: %+v", response)
	}
	n.commandsInFlight.Store(0)
}

// Thousands of clients are rejected in a row. Each gets its own time to retry, within the bounds,
// as otherwise all would retry at the same time. After an idle hour the schedule starts from now
// again.
func TestRejectedClientsGetDistinctRetryTimes(t *testing.T) {
	r := newTableRetrySchedule()
	first := r.nextRetryAfter(0)
	second := r.nextRetryAfter(0)
	if first != minRetryAfter || second != first+time.Second/tableRetriesPerSecond {
		t.Errorf("Retry-After %v, then %v", first, second)
	}
	for range 2 * tableRetriesPerSecond * int(maxTableRetryAfter/time.Second) {
		r.nextRetryAfter(0)
	}
	if d := r.nextRetryAfter(0); d != maxTableRetryAfter {
		t.Errorf("Retry-After %v after many rejections", d)
	}
	if d := r.nextRetryAfter(time.Hour); d != minRetryAfter {
		t.Errorf("Retry-After %v after an hour", d)
	}
}

// A server with capacity for one connection gets two. The second one gets a response with
// Retry-After and is closed; once the first connection has ended, the second client is served. If
// the connection were only queued, the client would not learn the reason.
func TestConnectionBeyondLimitGetsRetryAfter(t *testing.T) {
	limit := newConnectionLimit(1)
	served := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	s := httptest.NewUnstartedServer(limit.wrapHandler(served))
	s.Config.ConnContext = limit.registerConnection
	s.Config.ConnState = limit.unregisterConnection
	s.Start()
	defer s.Close()
	ask := func(c *http.Client) (int, string, http.Header) {
		response, err := c.Get(s.URL)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(text), response.Header
	}
	first := &http.Client{Transport: &http.Transport{}}
	second := &http.Client{Transport: &http.Transport{}}
	if code, text, _ := ask(first); code != http.StatusOK || text != "served" {
		t.Fatalf("%d %s", code, text)
	}
	code, text, header := ask(second)
	isExplained := header.Get("Retry-After") != "" && strings.Contains(text, "connections: 1 at most")
	if code != http.StatusServiceUnavailable || !isExplained {
		t.Errorf("%d %s %v", code, text, header)
	}
	if code, _, _ := ask(first); code != http.StatusOK {
		t.Errorf("the connection within the bound: %d", code)
	}
	first.CloseIdleConnections()
	for code != http.StatusOK {
		code, _, _ = ask(second)
	}
}

// A router watches the drains before the first drain. With wait=true it waits for the first
// version; without, it gets a response immediately. If wait=true didn't wait, every router would
// poll in a loop until the first drain.
func TestDrainWatchWaitsForFirstVersion(t *testing.T) {
	n := startUpgradedLeader(t)
	answered := make(chan int, 1)
	go func() { // ends with the watch, after its maximum duration at the latest
		answered <- serve(n.Handler(), http.MethodGet, "/v1/drains?after=0&wait=true", nil).Code
	}()
	for watchers := 0; watchers == 0; watchers = n.Status().Watchers {
		select {
		case code := <-answered:
			t.Fatalf("status %d without waiting", code)
		case <-time.After(time.Millisecond):
		}
	}
	if w := serve(n.Handler(), http.MethodGet, "/v1/drains?after=0", nil); w.Code != http.StatusOK {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	postCommand(t, n, coord.Command{Op: coord.OpOpenSession, SessionID: "s", Client: "ann", TTL: time.Minute})
	budgets := &rollout.Command{ // a new version of what routers watch
		Op: rollout.OpSetBudgets, GracePeriod: time.Minute, EjectionQuorum: rollout.MinEjectionQuorum,
	}
	setBudgets := coord.Command{Op: coord.OpRollout, SessionID: "s", Sequence: 1, Rollout: budgets}
	if _, response := postCommand(t, n, setBudgets); response.Code != coord.CodeOK {
		t.Fatalf("%+v", response)
	}
	if code := <-answered; code != http.StatusOK {
		t.Errorf("%d", code)
	}
}

// Guards against a rejection by an outdated state. By the state of a coordinator that doesn't lead,
// a command still requires an upgrade. It must redirect to the leader; if it rejected the command,
// the client would give up a command that the group supports.
func TestFollowerRedirectsCommandThatRequiresUpgrade(t *testing.T) {
	n := startNode(t, 100)
	acknowledge := &rollout.Command{Op: rollout.OpAcknowledgeDrains}
	c := coord.Command{Op: coord.OpRollout, SessionID: "s", Sequence: 1, Rollout: acknowledge}
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	if w := serve(n.Handler(), http.MethodPost, "/v1/command", text); w.Code != http.StatusMisdirectedRequest {
		t.Errorf("%d %s", w.Code, w.Body)
	}
}
