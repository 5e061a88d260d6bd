package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// Guards against a polled watch that stops answering, at any point of its answer, and is not
// replaced soon. Once its wait is over, it is replaced over another connection at once, without a
// request from the Balancer and without its backoff.
func TestUnansweredWatchIsReplacedOverNewConnection(t *testing.T) {
	for name, sent := range map[string]string{"from the start": "", "in the headers": "HTTP/1.1 200 OK\r\nContent-",
		"before the body": "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n",
		"in the body":     "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":2,",
		"in a chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{\"version\":2,"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var watchAddr sync.Map
			var calls atomic.Int32
			hold := newGate(t)
			d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch n := calls.Add(1); n {
				case 1:
					io.WriteString(w, `{"version":1,"full":true,"servers":[]}`)
				case 2:
					watchAddr.Store(r.RemoteAddr, true)
					c, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					t.Cleanup(func() { c.Close() })
					io.WriteString(c, sent)
				case 3:
					if _, same := watchAddr.Load(r.RemoteAddr); same || r.URL.Query().Get("after") != "1" {
						t.Errorf("call %s from %s", r.URL, r.RemoteAddr)
					}
					io.WriteString(w, "{\n  \"version\": 2,\n  \"full\": false,\n  \"servers\": []\n}\n")
				default:
					<-hold.opened
				}
			}))
			t.Cleanup(d.Close)
			t.Cleanup(hold.open)
			versions := make(chan int64, 10)
			disc := newDiscovery(d.Listener.Addr().String(), true, 1, func(l endpointList) { versions <- l.Version },
				func() { t.Error("a failure was reported") })
			disc.timing.watchWait, disc.timing.watchSlack = 50*time.Millisecond, 50*time.Millisecond
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); disc.run(ctx) }()
			disc.requestWatch()
			for _, want := range []int64{1, 2} {
				if got := receive(t, versions, "list"); got != want {
					t.Errorf("version %d, want %d", got, want)
				}
			}
			stop()
			<-ended
		})
	}
}

// An invalid list is ignored, and the error names the reason.
func TestInvalidListIsRejected(t *testing.T) {
	for answer, want := range map[string]string{
		`{}`:                        "without version",
		`null`:                      "without version",
		`[]`:                        "cannot unmarshal",
		`{"version":2,"full":true}`: "without servers",
		`{"version":2,"full":true,"servers":null}`:                                   "without servers",
		`{"version":2,"full":false,"servers":[`:                                      "unexpected",
		`{"version":2,"full":true,"servers":[]}` + strings.Repeat(" ", maxListBytes): "over 2097152 bytes",
	} {
		d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter,
			_ *http.Request) {
			io.WriteString(w, answer)
		}))
		ctx, stop := context.WithCancel(t.Context())
		disc := newDiscovery(d.Listener.Addr().String(), false, 1,
			func(l endpointList) { t.Errorf("%.60s was accepted as %+v", answer, l); stop() }, noHook)
		if _, err := disc.followList(ctx); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60s: got %v", answer, err)
		}
		stop()
		disc.client.CloseIdleConnections()
		d.Close()
	}
}

// Guards against a watch that stops answering after a failure and is detected too late. The first
// call after a failure waits only briefly for changes. Backoff, wait and slack together stay below
// the time after which a change counts as received.
func TestFirstWatchAfterFailureIsShort(t *testing.T) {
	const receivedWithin = 6 * time.Second
	if sum := decide.MaxPollBackoffMillis*time.Millisecond + sharedTiming.firstWatchWait +
		sharedTiming.watchSlack; sum > receivedWithin {
		t.Errorf("polled: changes arrive at most %v after a failure", sum)
	}
	if sum := decide.MaxPollBackoffMillis*time.Millisecond + sharedTiming.callTimeout; sum > receivedWithin {
		t.Errorf("polled: a queued call times out at most %v after a failure", sum)
	}
	if sharedTiming.maxBackoff > decide.MaxPollBackoffMillis*time.Millisecond {
		t.Errorf("polled: maxBackoff of %v exceeds the Balancer's backoff", sharedTiming.maxBackoff)
	}
	if sum := agentTiming.maxBackoff + agentTiming.watchWait + agentTiming.watchSlack; sum > receivedWithin {
		t.Errorf("agent: changes arrive at most %v after a failure", sum)
	}
	waits := make(chan string, 10)
	var calls atomic.Int32
	hold := newGate(t)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		waits <- r.URL.Query().Get("wait_ms")
		switch calls.Add(1) {
		case 1:
			io.WriteString(w, `{"version":1,"full":true,"servers":[]}`)
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			io.WriteString(w, `{"version":2,"full":false,"servers":[]}`)
		default:
			<-hold.opened
		}
	}))
	t.Cleanup(d.Close)
	t.Cleanup(hold.open)
	ctx, stop := context.WithCancel(t.Context())
	var disc *discovery
	disc = newDiscovery(d.Listener.Addr().String(), true, 350, func(endpointList) {}, func() { disc.requestWatch() })
	disc.timing.maxBackoff = 2
	ended := make(chan struct{})
	go func() { defer close(ended); disc.run(ctx) }()
	disc.requestWatch()
	longWait := fmt.Sprint(disc.timing.watchWait.Milliseconds())
	shortWait := fmt.Sprint(disc.timing.firstWatchWait.Milliseconds())
	for i, want := range []string{"", longWait, shortWait, longWait} {
		if got := receive(t, waits, "call"); got != want {
			t.Errorf("call %d waits %q ms, want %q", i, got, want)
		}
	}
	stop()
	<-ended
}

// Guards against a burst of calls after a failure: a watch requested before a failure is not made
// up for after it. The Balancer requests the next one after a random backoff.
func TestWatchRequestedBeforeFailureIsDropped(t *testing.T) {
	var calls atomic.Int32
	arrived, fail := make(chan struct{}, 10), newGate(t)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		arrived <- struct{}{}
		<-fail.opened
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(d.Close)
	t.Cleanup(fail.open)
	failures := make(chan struct{}, 10)
	disc := newDiscovery(d.Listener.Addr().String(), true, 1, func(endpointList) {}, func() { failures <- struct{}{} })
	disc.timing.maxBackoff = 2
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); disc.run(ctx) }()
	disc.requestWatch()
	receive(t, arrived, "call")
	disc.requestWatch() // the Balancer has waited long for an answer
	fail.open()
	receive(t, failures, "failure")
	disc.requestWatch()
	receive(t, failures, "failure of the next call")
	stop()
	<-ended
	if n := calls.Load(); n != 2 {
		t.Errorf("%d calls, want one before the failure and one after it", n)
	}
}

// When an agent is back, its changes count as received at once. It is therefore called again within
// a fraction of a drain's grace period.
func TestAgentBackoffIsShort(t *testing.T) {
	d := newDiscovery("127.0.0.1:1", false, 300, nil, nil)
	for range 100 {
		if p := d.backoff(false); p > 100*time.Millisecond {
			t.Fatalf("backoff of %v", p)
		}
	}
	if _, err := d.get(t.Context(), d.url, time.Second); err == nil || errors.Is(err, errWatchTimeout) {
		t.Errorf("got %v", err)
	}
}

// A router that restarts while discovery is unavailable serves from the list that it last held.
func TestRestartWithoutDiscoveryServesFromKnownList(t *testing.T) {
	s, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	ln := listenLocal(t)
	ln.Close() // connections are refused
	for range 2 {
		r := startRouter(t, testConfig(t, ln.Addr().String(), completeList(cacheEntry("s-0000000b", s.addr),
			originEntry(o.addr))))
		c := dialClient(t, r.addr)
		for c.exchange("mn") != "MN" {
		}
		if got := c.exchange(readCommandOf("a1", 2000)); got != "VA 5 Oa1 hello" {
			t.Errorf("got %q", got)
		}
		r.stop()
		if err := receive(t, r.done, "end"); err != nil {
			t.Error(err)
		}
	}
}

func TestNotReadyWithoutAList(t *testing.T) {
	ln := listenLocal(t)
	ln.Close()
	r := startRouter(t, testConfig(t, ln.Addr().String(), endpointList{}))
	if got := dialClient(t, r.addr).exchange("mn"); got != "SERVER_ERROR not ready" {
		t.Errorf("got %q", got)
	}
}

// The next call of a watch follows within 200 ms, even if the agent answers at once without
// changes. An invalid list, a failure and an invalid entry end neither the watch nor the router.
func TestInvalidAnswersDoNotEndTheWatch(t *testing.T) {
	answers := []string{`{"version":1,"full":true,"servers":[]}`, `{"version":1,"servers":[]}`,
		`{"version":2,"servers":[{"id":"s-1"`, "503",
		`{"version":3,"full":true,"servers":[{"id":"s-0000000b","addr":"nowhere","state":"active"},` +
			`{"id":"","state":"left"},{"id":"x","state":"asleep"}]}`,
		`{"version":3,"servers":[]}`,
		`{"version":4,"servers":[{"id":"s-0000000b","addr":"127.0.0.1:1","kind":"box","state":"active"}]}`}
	type call struct {
		query string
		at    time.Time
	}
	calls := make(chan call, 100)
	var answered atomic.Int64
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int(answered.Add(1)) - 1
		calls <- call{r.URL.RawQuery, time.Now()}
		switch {
		case n >= len(answers):
			<-r.Context().Done()
		case answers[n] == "503":
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			io.WriteString(w, answers[n])
		}
	}))
	defer d.Close()
	defer d.CloseClientConnections()
	r := startRouter(t, testConfig(t, d.Listener.Addr().String(), endpointList{}))
	var previous call
	for i, after := range []string{"", "after=1&", "after=1&", "", "", "after=3&", "after=3&", "after=4&"} {
		c := receive(t, calls, fmt.Sprintf("call %d", i))
		if !strings.HasPrefix(c.query, after) || after == "" && c.query != "" {
			t.Errorf("call %d has query %q, want %q", i, c.query, after)
		}
		if gap := c.at.Sub(previous.at); after != "" && gap > 200*time.Millisecond {
			t.Errorf("call %d came after %v", i, gap)
		}
		previous = c
	}
	c := dialClient(t, r.addr)
	for c.exchange("mn") != "MN" {
	}
}

// Guards against a watch that stops answering, so that changes sent on it are lost. It is replaced
// soon, repeatedly if necessary, and a drain arrives with the complete list.
func TestUnansweredWatchIsReplacedByCompleteList(t *testing.T) {
	s1, s2, o := startFakeServer(t, hitAnswer), startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	servers := completeList(cacheEntry("s-0000000b", s1.addr), cacheEntry("s-0000000c", s2.addr), originEntry(o.addr))
	drained := completeList(servers.Servers...)
	drained.Version, drained.Servers = 2, slices.Clone(drained.Servers)
	drained.Servers[0].State = "leaving"
	calls := make(chan string, 100)
	var lists atomic.Int32
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		switch {
		case r.URL.RawQuery != "":
			<-r.Context().Done() // no watch is answered
		case lists.Add(1) == 1:
			json.NewEncoder(w).Encode(servers)
		default:
			json.NewEncoder(w).Encode(drained)
		}
	}))
	defer d.Close()
	defer d.CloseClientConnections()
	r := startRouter(t, testConfig(t, d.Listener.Addr().String(), endpointList{}))
	receive(t, calls, "call for the list")
	receive(t, calls, "watch")
	watchedAt := time.Now()
	receive(t, calls, "call for the list after the unanswered watch")
	receive(t, calls, "watch")
	if took := time.Since(watchedAt); took > 8*time.Second { // below the 10 s of the shared timing's wait
		t.Errorf("replaced after %v", took)
	}
	c := dialClient(t, r.addr)
	for i := range 20 {
		c.exchange(fmt.Sprintf("mg %016x v O%x Pc=read,t=t,d=2000,h=52000,size=5", 7919*(i+1), i))
	}
	if len(s1.received) > 0 || len(s2.received) != 20 {
		t.Errorf("%d requests to the draining server, %d to the other", len(s1.received), len(s2.received))
	}
}

// maxQueueWait is the longest time that an overloaded discovery keeps a call in its queue.
const maxQueueWait = 2 * time.Second

// Guards against a call that times out in an overloaded discovery's queue just before its turn: its
// place in the queue is lost, and the next call waits as long again.
func TestQueuedDiscoveryCallDoesNotTimeOut(t *testing.T) {
	for name, isFirst := range map[string]bool{"complete list": true, "changes after a failure": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls, abortedCalls atomic.Int32
			d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				select {
				case <-time.After(maxQueueWait + 200*time.Millisecond):
				case <-r.Context().Done():
					abortedCalls.Add(1)
					return
				}
				io.WriteString(w, `{"version":2,"full":true,"servers":[]}`)
			}))
			t.Cleanup(d.Close)
			disc := newDiscovery(d.Listener.Addr().String(), true, 300, func(endpointList) {}, noHook)
			t.Cleanup(disc.client.CloseIdleConnections)
			if !isFirst {
				disc.holdsList, disc.heldVersion = true, 1
			}
			list, err := disc.firstCall(t.Context())
			if err != nil || list.Version != 2 || calls.Load() != 1 || abortedCalls.Load() != 0 {
				t.Errorf("got version %d, %v after %d calls, %d aborted",
					list.Version, err, calls.Load(), abortedCalls.Load())
			}
		})
	}
}
