package router

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against records, timers and reserved memory that outlive an answered request, on a
// connection that stays open and with deadlines far in the future.
func TestAnsweredRequestReleasesAllResources(t *testing.T) {
	s, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	l, addr := startLoop(t, 192, 10, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
	c := dialClient(t, addr)
	for i := range 50 {
		if got := c.exchange(readCommandOf(fmt.Sprint("a", i), 4000000000)); !strings.HasPrefix(got, "VA ") {
			t.Fatalf("got %q", got)
		}
		c.exchange(fmt.Sprintf("ms 7f3a9c21e0b4d655 3 Ow%d Pc=put,t=t,d=4000000000,k=7\r\nabc", i))
	}
	if got := c.exchange("quit"); got != "EOF" { // sent once the router has accounted for all answers
		t.Errorf("got %q", got)
	}
	farTimers := 0
	onLoop(l, func() {
		for _, tm := range l.timers {
			if tm.at > l.now()+2500 {
				farTimers++
			}
		}
		if len(l.requests)+len(l.unanswered) > 0 || farTimers > 0 || len(l.timers) > 150 ||
			l.requestBytes.used.Load() != 0 || l.answers.buffered.used.Load() != 0 {
			t.Errorf("%d requests, %d ids, %d timers (%d far away), %d and %d bytes", len(l.requests),
				len(l.unanswered), len(l.timers), farTimers,
				l.requestBytes.used.Load(), l.answers.buffered.used.Load())
		}
	})
}

// Guards against two open requests with the same id, which cache servers could not distinguish.
func TestIDOfOpenRequestIsRejected(t *testing.T) {
	release := make(chan struct{})
	s := startFakeServer(t, func(line string) string { <-release; return hitAnswer(line) })
	l, addr := startLoop(t, 192, 10, cacheEntry("s-0000000b", s.addr), originEntry(s.addr))
	one, two := dialClient(t, addr), dialClient(t, addr)
	one.send(readCommandOf("a1", 2000) + "\r\n")
	receive(t, s.received, "request")
	if got := two.exchange(readCommandOf("a1", 2000)); !strings.HasPrefix(got, "CLIENT_ERROR ") {
		t.Errorf("got %q", got)
	}
	close(release)
	if got := one.nextAnswer(); got != "VA 5 Oa1 hello" {
		t.Errorf("got %q", got)
	}
	if got := two.exchange(readCommandOf("a1", 2000)); got != "VA 5 Oa1 hello" {
		t.Errorf("after the answer: got %q", got)
	}
	onLoop(l, func() {
		if len(s.received) != 1 {
			t.Errorf("%d further requests were sent", len(s.received))
		}
	})
}

// Guards against running out of memory: values being held are limited by the configured memory. A
// write beyond that is rejected and has not run.
func TestWriteBeyondValueMemoryIsRejected(t *testing.T) {
	release := make(chan struct{})
	o := startFakeServer(t, func(line string) string { <-release; return originAnswer(line) })
	l, addr := startLoop(t, 16, 100, originEntry(o.addr)) // a budget of 1 MiB
	value := strings.Repeat("v", maxBufferedValue)
	write := func(c *client, id int) {
		c.send(fmt.Sprintf("ms 7f3a9c21e0b4d655 %d Ow%d Pc=put,t=t,d=2000,k=%d\r\n%s\r\n", maxBufferedValue, id, id,
			value))
	}
	var first []*client
	for i := range 15 { // the heads are held too
		c := dialClient(t, addr)
		write(c, i)
		first = append(first, c)
	}
	for isFull := false; !isFull; {
		onLoop(l, func() { isFull = l.requestBytes.used.Load()+maxBufferedValue >= l.requestBytes.limit.Load() })
	}
	c := dialClient(t, addr)
	write(c, 99)
	if got := c.nextAnswer(); got != "SERVER_ERROR busy" {
		t.Errorf("beyond the limit: got %q", got)
	}
	close(release)
	for _, c := range first {
		c.nextAnswer()
	}
	write(c, 100)
	if got := c.nextAnswer(); got != "HD Ow100 c5c0f" {
		t.Errorf("once there is capacity: got %q", got)
	}
}

// Answers that clients have not received are limited too: a request beyond that is rejected before
// it reaches the Balancer.
func TestRequestIsRejectedIfAnswerMemoryIsExhausted(t *testing.T) {
	l, addr := startLoop(t, 16, 10, originEntry("127.0.0.1:1"))
	l.answers.buffered.reserve(int(l.answers.buffered.limit.Load()))
	c := dialClient(t, addr)
	if got := c.exchange(readCommandOf("a1", 2000)); got != "SERVER_ERROR busy" {
		t.Errorf("got %q", got)
	}
	onLoop(l, func() {
		if l.lastID != 0 {
			t.Error("the request reached the Balancer")
		}
	})
}

func TestHitIsServedAndForwardedUnchanged(t *testing.T) {
	s, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
	c := dialClient(t, r.addr)
	if got := c.exchange("mg 7f3a9c21e0b4d655 v Oa1 Pc=read,t=t,zz=9,d=480,k=7,h=52000"); got != "VA 5 Oa1 hello" {
		t.Errorf("got %q", got)
	}
	var d int
	got := receive(t, s.received, "request")
	if n, err := fmt.Sscanf(got, "mg 7f3a9c21e0b4d655 v Oa1 Pc=read,t=t,zz=9,d=%d,k=7,h=52000", &d); n != 1 ||
		err != nil || d < 1 || d > 480 {
		t.Errorf("the cache server received %q", got)
	}
	if len(o.received) > 0 {
		t.Error("a hit was also sent to the origin")
	}
}

func TestMissIsFetchedFromTheOrigin(t *testing.T) {
	s, o := startFakeServer(t, missAnswer), startFakeServer(t, originAnswer)
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
	if got := dialClient(t, r.addr).exchange(readCommandOf("a1", 480)); got != "VA 5 Oa1 fresh" {
		t.Errorf("got %q", got)
	}
	got := receive(t, o.received, "fetch")
	var hint int // the remaining time; everything else is as the client sent it
	_, facts, _ := strings.Cut(got, "X-Facts: ")
	if n, err := fmt.Sscanf(facts, "c=read,t=t,d=%d,h=52000,size=5 ", &hint); n != 1 || err != nil || hint < 1 ||
		hint > 480 ||
		!strings.HasPrefix(got, "GET /7f3a9c21e0b4d655 ") ||
		!strings.HasPrefix(facts, fmt.Sprintf("c=read,t=t,d=%d,h=52000,size=5 ", hint)) {
		t.Errorf("the origin received %q", got)
	}
}

func TestWriteGoesToTheOriginOnce(t *testing.T) {
	s, o := startFakeServer(t, missAnswer), startFakeServer(t, originAnswer)
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
	if got := dialClient(t, r.addr).exchange(billCommandOf("a1", 480)); got != "HD Oa1 c5c0f" {
		t.Errorf("got %q", got)
	}
	if got := receive(t, o.received, "write"); !strings.HasPrefix(got, "PUT /7f3a9c21e0b4d655 ") ||
		!strings.HasSuffix(got, " abc") {
		t.Errorf("the origin received %q", got)
	}
	if len(s.received)+len(o.received) > 0 {
		t.Error("the write was sent twice")
	}
}

// A write that may have run fails, and is neither rejected nor repeated. One that has not run is
// rejected.
func TestNonIdempotentWriteIsNeverRepeated(t *testing.T) {
	for name, c := range map[string]struct{ answer, want string }{
		"broken":      {"close", "SERVER_ERROR failed"},
		"cut":         {"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{cut}", "SERVER_ERROR failed"},
		"error":       {httpAnswer("500 Internal Server Error", ""), "SERVER_ERROR failed"},
		"bare 503":    {httpAnswer("503 Service Unavailable", ""), "SERVER_ERROR failed"},
		"unprocessed": {httpAnswer("503 Service Unavailable", "", "X-Unprocessed: 1"), "SERVER_ERROR busy"},
		"silent":      {"", "SERVER_ERROR failed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, o := startFakeServer(t, missAnswer), startFakeServer(t, func(string) string { return c.answer })
			r, _ := startReadyRouter(t, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
			cl, sentAt := dialClient(t, r.addr), time.Now()
			if got := cl.exchange(billCommandOf("a1", 300)); !strings.HasPrefix(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if took := time.Since(sentAt); took > 300*time.Millisecond+time.Second {
				t.Errorf("answered after %v", took)
			}
			receive(t, o.received, "write")
			cl.expectNoMoreInput()
			if len(o.received)+len(s.received) > 0 {
				t.Error("the request was sent again")
			}
		})
	}
}

// Guards against a rejection that lets a keyed write run twice. A client that repeats the write
// only when it is rejected must get its effect once, even if the servers' idempotency window has
// ended.
func TestRejectedKeyedWriteRunsOnce(t *testing.T) {
	const window = 100 * time.Millisecond
	var mu sync.Mutex
	var ranAt []time.Time
	o := startFakeServer(t, func(string) string {
		mu.Lock()
		isRepeat := len(ranAt) > 0 && time.Since(ranAt[len(ranAt)-1]) < window
		if !isRepeat {
			ranAt = append(ranAt, time.Now())
		}
		mu.Unlock()
		time.Sleep(2 * window)
		return httpAnswer("500 Internal Server Error", "")
	})
	s := startFakeServer(t, missAnswer)
	d := startFakeDiscovery(t, completeList(cacheEntry("s-0000000b", s.addr), originEntry(o.addr)))
	cfg := withSettings(t, testConfig(t, d.Listener.Addr().String(), endpointList{}), `"window":2000`, `"window":100`)
	r := startRouter(t, cfg)
	c := dialClient(t, r.addr)
	for c.exchange("mn") != "MN" {
	}
	answer := ""
	for i := range 3 {
		answer = c.exchange(fmt.Sprintf("ms 7f3a9c21e0b4d655 3 Oa%d Pc=put,t=t,d=2000,k=b1\r\nabc", i))
		if !strings.HasPrefix(answer, "SERVER_ERROR busy") {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(ranAt) != 1 || answer != "SERVER_ERROR failed" {
		t.Errorf("ran %d times, last answer %q", len(ranAt), answer)
	}
}

// If a cache server does not answer, the client gets one answer by its deadline, and the attempt is
// canceled.
func TestUnansweredRequestIsRejectedAtDeadline(t *testing.T) {
	s, o := startFakeServer(t, func(string) string { return "" }), startFakeServer(t, originAnswer)
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
	c, sentAt := dialClient(t, r.addr), time.Now()
	if got := c.exchange(readCommandOf("a1", 200)); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("got %q", got)
	}
	if took := time.Since(sentAt); took < 190*time.Millisecond || took > 1200*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
	receive(t, s.peerCloses, "end of the attempt's connection")
	c.expectNoMoreInput()
}

// Start times of servers are compared with the router's clock, which counts from 1970, so that no
// start time is 0.
func TestClockCountsFromUnixEpoch(t *testing.T) {
	c := clock{time.Now()}
	if d := c.now() - float64(time.Now().UnixMilli()); d < -1000 || d > 1000 {
		t.Errorf("the clock differs from Unix time by %v ms", d)
	}
}
