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

// A watch of a discovery that is asked may fall silent at any point. Once its wait is over it is
// opened anew, over another connection and without being asked to, however long the module would
// have waited after a failure.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	for name, says := range map[string]string{"from the start": "", "in the headers": "HTTP/1.1 200 OK\r\nContent-",
		"before the body": "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n",
		"in the body":     "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":2,",
		"in a chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{\"version\":2,"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var from sync.Map
			var calls atomic.Int32
			hold := newGate(t)
			d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch n := calls.Add(1); n {
				case 1:
					io.WriteString(w, `{"version":1,"full":true,"servers":[]}`)
				case 2:
					from.Store(r.RemoteAddr, true)
					c, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					t.Cleanup(func() { c.Close() })
					io.WriteString(c, says)
				case 3:
					if _, same := from.Load(r.RemoteAddr); same || r.URL.Query().Get("after") != "1" {
						t.Errorf("call %s from %s", r.URL, r.RemoteAddr)
					}
					io.WriteString(w, "{\n  \"version\": 2,\n  \"full\": false,\n  \"servers\": []\n}\n")
				default:
					<-hold.opened
				}
			}))
			t.Cleanup(d.Close)
			t.Cleanup(hold.open)
			told := make(chan int64, 10)
			disc := newDiscovery(d.Listener.Addr().String(), true, 1, func(l endpointList) { told <- l.Version },
				func() { t.Error("a failure was told of") })
			disc.timing.watchWait, disc.timing.watchSlack = 50*time.Millisecond, 50*time.Millisecond
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); disc.run(ctx) }()
			disc.requestWatch()
			for _, want := range []int64{1, 2} {
				if got := receive(t, told, "list"); got != want {
					t.Errorf("version %d, want %d", got, want)
				}
			}
			stop()
			<-ended
		})
	}
}

// What is no list counts for nothing and is named.
func TestWhatIsNoListIsTurnedDown(t *testing.T) {
	for says, want := range map[string]string{
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
			io.WriteString(w, says)
		}))
		ctx, stop := context.WithCancel(t.Context())
		disc := newDiscovery(d.Listener.Addr().String(), false, 1,
			func(l endpointList) { t.Errorf("%.60s was taken for %+v", says, l); stop() }, noHook)
		if _, err := disc.followList(ctx); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60s: got %v", says, err)
		}
		stop()
		disc.client.CloseIdleConnections()
		d.Close()
	}
}

// The first call after a failure waits for changes for a short time only, so that a discovery that
// still says nothing is found out. Back-off, wait and slack together stay under the time after
// which a change counts as told.
func TestFirstWatchAfterAFailureIsShort(t *testing.T) {
	const toldWithin = 6 * time.Second
	if sum := decide.MaxPollBackoffMillis*time.Millisecond + sharedTiming.firstWatchWait +
		sharedTiming.watchSlack; sum > toldWithin {
		t.Errorf("asked: news comes %v after a failure at most", sum)
	}
	if sum := decide.MaxPollBackoffMillis*time.Millisecond + sharedTiming.turnTimeout; sum > toldWithin {
		t.Errorf("asked: a call that waits its turn is given up %v after a failure at most", sum)
	}
	if sharedTiming.maxBackoff > decide.MaxPollBackoffMillis*time.Millisecond {
		t.Errorf("asked: the pause of %v is longer than the back-off that it runs beside", sharedTiming.maxBackoff)
	}
	if sum := agentTiming.maxBackoff + agentTiming.watchWait + agentTiming.watchSlack; sum > toldWithin {
		t.Errorf("pushed: news comes %v after a failure at most", sum)
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
	long := fmt.Sprint(disc.timing.watchWait.Milliseconds())
	short := fmt.Sprint(disc.timing.firstWatchWait.Milliseconds())
	for i, want := range []string{"", long, short, long} {
		if got := receive(t, waits, "call"); got != want {
			t.Errorf("call %d waits %q ms, want %q", i, got, want)
		}
	}
	stop()
	<-ended
}

// A call that was asked for before a failure is not made up for after it: the module asks again,
// spread, when it knows.
func TestCallAskedForBeforeAFailureIsNotMade(t *testing.T) {
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
	broke := make(chan struct{}, 10)
	disc := newDiscovery(d.Listener.Addr().String(), true, 1, func(endpointList) {}, func() { broke <- struct{}{} })
	disc.timing.maxBackoff = 2
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); disc.run(ctx) }()
	disc.requestWatch()
	receive(t, arrived, "call")
	disc.requestWatch() // the module has waited long for an answer
	fail.open()
	receive(t, broke, "failure")
	disc.requestWatch()
	receive(t, broke, "failure of the call after it")
	stop()
	<-ended
	if n := calls.Load(); n != 2 {
		t.Errorf("%d calls for one before the failure and one after it", n)
	}
}

// An agent that is back has news that counts as told at once: it is called again within a fraction
// of a drain's grace.
func TestAgentIsCalledAgainSoon(t *testing.T) {
	d := newDiscovery("127.0.0.1:1", false, 300, nil, nil)
	for range 100 {
		if p := d.backoff(false); p > 100*time.Millisecond {
			t.Fatalf("pause of %v", p)
		}
	}
	if _, err := d.get(t.Context(), d.url, time.Second); err == nil || errors.Is(err, errSilentWatch) {
		t.Errorf("got %v", err)
	}
}

// A router that starts anew while discovery is down serves from the list that it last had.
func TestRestartServesFromTheKnownList(t *testing.T) {
	s, o := startFake(t, hit), startFake(t, originOK)
	ln := listenLocal(t)
	ln.Close() // refuses
	for range 2 {
		r := start(t, testConfig(t, ln.Addr().String(), full(box("s-0000000b", s.addr), originAt(o.addr))))
		c := dial(t, r.addr)
		for c.ask("mn") != "MN" {
		}
		if got := c.ask(readCommandOf("a1", 2000)); got != "VA 5 Oa1 hello" {
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
	r := start(t, testConfig(t, ln.Addr().String(), endpointList{}))
	if got := dial(t, r.addr).ask("mn"); got != "SERVER_ERROR not ready" {
		t.Errorf("got %q", got)
	}
}

// The next call of a watch follows within 200 ms, also where the agent answers at once with
// nothing; an answer that is no list, a failure, and an entry that makes no sense end neither the
// watch nor the router.
func TestDiscoveryIsFollowed(t *testing.T) {
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
	r := start(t, testConfig(t, d.Listener.Addr().String(), endpointList{}))
	var before call
	for i, after := range []string{"", "after=1&", "after=1&", "", "", "after=3&", "after=3&", "after=4&"} {
		c := receive(t, calls, fmt.Sprintf("call %d", i))
		if !strings.HasPrefix(c.query, after) || after == "" && c.query != "" {
			t.Errorf("call %d asks %q, want %q", i, c.query, after)
		}
		if gap := c.at.Sub(before.at); after != "" && gap > 200*time.Millisecond {
			t.Errorf("call %d came after %v", i, gap)
		}
		before = c
	}
	c := dial(t, r.addr)
	for c.ask("mn") != "MN" {
	}
}

// A watch may go silent without an end, and what discovery tells into it is lost: it is found out
// soon, also the next time, and the news of a drain comes with the whole list.
func TestSilentWatchIsGivenUp(t *testing.T) {
	s1, s2, o := startFake(t, hit), startFake(t, hit), startFake(t, originOK)
	servers := full(box("s-0000000b", s1.addr), box("s-0000000c", s2.addr), originAt(o.addr))
	drained := full(servers.Servers...)
	drained.Version, drained.Servers = 2, slices.Clone(drained.Servers)
	drained.Servers[0].State = "leaving"
	calls := make(chan string, 100)
	var lists atomic.Int32
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		switch {
		case r.URL.RawQuery != "":
			<-r.Context().Done() // every watch is dead
		case lists.Add(1) == 1:
			json.NewEncoder(w).Encode(servers)
		default:
			json.NewEncoder(w).Encode(drained)
		}
	}))
	defer d.Close()
	defer d.CloseClientConnections()
	r := start(t, testConfig(t, d.Listener.Addr().String(), endpointList{}))
	receive(t, calls, "call for the list")
	receive(t, calls, "watch")
	began := time.Now()
	receive(t, calls, "call for the list after the dead watch")
	receive(t, calls, "watch")
	if took := time.Since(began); took > 8*time.Second { // of the 10 s within which a wait of 10 s ends
		t.Errorf("found dead after %v", took)
	}
	c := dial(t, r.addr)
	for i := range 20 {
		c.ask(fmt.Sprintf("mg %016x v O%x Pc=read,t=t,d=2000,h=52000,size=5", 7919*(i+1), i))
	}
	if len(s1.seen) > 0 || len(s2.seen) != 20 {
		t.Errorf("%d requests to the draining server, %d to the other", len(s1.seen), len(s2.seen))
	}
}

// queueLimit is the longest time for which a crowded discovery has a call wait for its turn.
const queueLimit = 2 * time.Second

// Guards against a call that waits in a crowded discovery's queue and is given up just before its
// turn: the place in the queue is lost, and the next call waits as long again.
func TestCallThatWaitsItsTurnIsNotGivenUp(t *testing.T) {
	for name, isFirst := range map[string]bool{"complete list": true, "changes after a failure": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls, cutOff atomic.Int32
			d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				select {
				case <-time.After(queueLimit + 200*time.Millisecond):
				case <-r.Context().Done():
					cutOff.Add(1)
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
			if err != nil || list.Version != 2 || calls.Load() != 1 || cutOff.Load() != 0 {
				t.Errorf("got version %d, %v after %d calls, %d given up",
					list.Version, err, calls.Load(), cutOff.Load())
			}
		})
	}
}
