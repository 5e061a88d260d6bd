package router

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The timeout hint of an attempt must not exceed the client's remaining time when the attempt's
// first byte is written. In each test, the server or its connection is blocked until a known time,
// before which the attempt can't have been written. The limit for the hint follows from two
// readings of the clock, so no test depends on the speed of the machine.

// holdTime is how long each test blocks the server or connection. A hint that does not account for
// it is too long by that time.
const holdTime = 40 * time.Millisecond

// isSet reports whether the instant was set.
func (i *instant) isSet() bool { return i.bits.Load() != 0 }

// timeoutHintOf returns the timeout hint in a request that an upstream received, in milliseconds.
func timeoutHintOf(t testing.TB, line string) float64 {
	t.Helper()
	_, facts, found := strings.Cut(line, ",d=")
	if !found {
		t.Fatalf("no timeout hint in %q", line)
	}
	end := strings.IndexFunc(facts, func(r rune) bool { return r < '0' || r > '9' })
	if end < 0 {
		end = len(facts)
	}
	hint, err := strconv.ParseFloat(facts[:end], 64)
	if err != nil {
		t.Fatalf("timeout hint in %q: %v", line, err)
	}
	return hint
}

// checkHint checks the hint of an attempt that can't have been written before notBefore. Its
// request was received by the router at the time receivedAt or earlier, and allowed at most allowed
// milliseconds.
func checkHint(t testing.TB, line string, allowed float64, receivedAt, notBefore time.Time) {
	t.Helper()
	hint := timeoutHintOf(t, line)
	remaining := allowed - float64(notBefore.Sub(receivedAt))/float64(time.Millisecond)
	if hint > remaining || hint < 1 {
		t.Errorf("hint of %v ms with at most %.1f ms remaining: %q", hint, remaining, line)
	}
}

const clientWaitMillis = 50000 // milliseconds that the clients of these tests wait

func TestHintOfFetchIsRemainingTime(t *testing.T) {
	answer := newGate(t)
	s := startFakeServer(t, func(line string) string { <-answer.opened; return missAnswer(line) })
	o := startFakeServer(t, originAnswer)
	_, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
	c := dialClient(t, addr)
	c.send(readCommandOfKey(1, "w0", clientWaitMillis) + "\r\n")
	first := receive(t, s.received, "the read that misses")
	receivedAt := time.Now()
	if hint := timeoutHintOf(t, first); hint > clientWaitMillis {
		t.Errorf("hint of the first attempt is %v of %d ms", hint, clientWaitMillis)
	}
	time.Sleep(holdTime)
	answeredAt := time.Now()
	answer.open()
	checkHint(t, receive(t, o.received, "its fetch"), clientWaitMillis, receivedAt, answeredAt)
	if got := c.nextAnswer(); got != "VA 5 Ow0 fresh" {
		t.Errorf("got %q", got)
	}
}

func TestHintOfRetryIsRemainingTime(t *testing.T) {
	for _, how := range []string{"reset", "time-out"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			closeConns := newGate(t)
			answer := answerOnce("close", hitAnswer)
			serve := func(line string) string { <-closeConns.opened; return answer(line) }
			a, b := startFakeServer(t, serve), startFakeServer(t, serve)
			l, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", a.addr),
				cacheEntry("s-0000000c", b.addr), originEntry("127.0.0.1:1"))
			c := dialClient(t, addr)
			c.send(readCommandOfKey(1, "w0", clientWaitMillis) + "\r\n")
			seen := func() string {
				select {
				case line := <-a.received:
					return line
				case line := <-b.received:
					return line
				case <-time.After(testTimeout):
					t.Fatal("no attempt")
					return ""
				}
			}
			seen()
			receivedAt := time.Now()
			time.Sleep(holdTime)
			endedAt := time.Now()
			if how == "time-out" {
				onLoop(l, func() { l.timeOut(l.unanswered["w0"].attempts[0]) })
			}
			closeConns.open()
			checkHint(t, seen(), clientWaitMillis, receivedAt, endedAt)
		})
	}
}

// Guards against a hint computed before the connection is opened: the time spent connecting must be
// subtracted.
func TestHintExcludesTimeSpentConnecting(t *testing.T) {
	for name, command := range map[string]string{
		"read at a cache server": readCommandOfKey(1, "w0", clientWaitMillis) + "\r\n",
		"write at the origin": fmt.Sprintf("ms 7f3a9c21e0b4d655 3 Ow0 Pc=put,t=t,d=%d,k=7\r\nabc\r\n",
			clientWaitMillis),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, o, allowDial := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer), newGate(t)
			dialing := make(chan struct{}, 10)
			l, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
			l.upstreams.blockDials(dialing, allowDial)
			c := dialClient(t, addr)
			c.send(command)
			receive(t, dialing, "a dial")
			receivedAt := time.Now()
			time.Sleep(holdTime)
			connectedAt := time.Now()
			allowDial.open()
			if got := c.nextAnswer(); strings.HasPrefix(got, "SERVER_ERROR") {
				t.Errorf("got %q", got)
			}
			for _, line := range append(receivedSoFar(s.received), receivedSoFar(o.received)...) {
				checkHint(t, line, clientWaitMillis, receivedAt, connectedAt)
			}
		})
	}
}

// Guards against writing a request when less than a millisecond remains, even if the loop is too
// busy to end the attempt.
func TestAttemptIsNotWrittenWithoutRemainingTime(t *testing.T) {
	s, allowDial := startFakeServer(t, hitAnswer), newGate(t)
	cfg := withLongDeadlines(testConfig(t, "127.0.0.1:1", endpointList{}))
	cfg.settings.Config.HealthChecksAllowed = false // their dials would be blocked too
	l, _, addr := startLoopWith(t, cfg, 40, cacheEntry("s-0000000b", s.addr), originEntry(s.addr))
	dialing := make(chan struct{}, 10)
	l.upstreams.blockDials(dialing, allowDial)
	c := dialClient(t, addr)
	const remainingMillis = 400
	c.send(readCommandOfKey(1, "w0", remainingMillis) + "\r\n")
	receive(t, dialing, "a dial")
	busy := newGate(t)
	l.post(func() { <-busy.opened })
	time.Sleep(remainingMillis * time.Millisecond) // the request was received before that
	allowDial.open()
	receive(t, s.accepts, "the connection")
	busy.open()
	if got := c.nextAnswer(); !strings.HasPrefix(got, "SERVER_ERROR") {
		t.Errorf("got %q", got)
	}
	eventually(t, l, "the end of all requests", func() bool { return len(l.requests) == 0 })
	if len(s.received) > 0 {
		t.Errorf("sent: %q", receivedSoFar(s.received))
	}
}

// The head of a large write is sent before its value is complete, which is when the client's time
// begins. Like that of other attempts, its hint is limited by the class and by the shutdown.
func TestHintOfLargeWriteIsLimitedByClassAndShutdown(t *testing.T) {
	const allowed = 2000 // milliseconds, by the class
	for _, isShuttingDown := range []bool{false, true} {
		t.Run(fmt.Sprint("shutdown ", isShuttingDown), func(t *testing.T) {
			t.Parallel()
			o := startFakeServer(t, originAnswer)
			r, _ := startReadyRouter(t, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry(o.addr))
			c := dialClient(t, r.addr)
			limit := float64(allowed)
			if isShuttingDown { // the process is shutting down
				limit = 1500
				l := r.router.loop
				onLoop(l, func() { l.answerAllBy(l.now() + limit) })
			}
			receivedAt := time.Now()
			c.send(strings.Replace(largeWrite("w1", distinctValue(1<<20)), "d=2000", "d=60000", 1))
			if got := c.nextAnswer(); got != "HD Ow1 c5c0f" {
				t.Fatalf("got %q", got)
			}
			checkHint(t, strings.TrimSuffix(receive(t, o.received, "the write"), distinctValue(1<<20)), limit,
				receivedAt, receivedAt)
		})
	}
}

// Guards against a hint that ignores the time spent in admission's queue.
func TestHintExcludesTimeSpentInAdmission(t *testing.T) {
	_, s, answer, _, second, _ := startWithQueuedRequest(t)
	receivedAt := time.Now()
	time.Sleep(holdTime)
	admittedAt := time.Now()
	answer.open()
	checkHint(t, receive(t, s.received, "the second request"), 60000, receivedAt, admittedAt)
	if got := second.nextAnswer(); got != "VA 5 Ob hello" {
		t.Errorf("got %q", got)
	}
}

// Guards against a hint beyond the time by which a process that is shutting down must have answered
// all requests, as for the old process of an upgrade.
func TestHintIsLimitedByShutdown(t *testing.T) {
	for _, upgrade := range []bool{false, true} {
		t.Run(fmt.Sprint("upgrade ", upgrade), func(t *testing.T) {
			t.Parallel()
			answer := newGate(t)
			s := startFakeServer(t, func(line string) string { <-answer.opened; return missAnswer(line) })
			o := startFakeServer(t, originAnswer)
			d := startFakeDiscovery(t, completeList(cacheEntry("s-0000000b", s.addr), originEntry(o.addr)))
			r := startRouter(t, withLongDeadlines(testConfig(t, d.Listener.Addr().String(), endpointList{})))
			l := r.router.loop
			c := dialClient(t, r.addr)
			for c.exchange("mn") != "MN" {
			}
			c.send(readCommandOfKey(1, "w0", clientWaitMillis) + "\r\n")
			receive(t, s.received, "the read")
			if upgrade {
				successor, end := startSuccessor(t, r, withLongDeadlines(testConfig(t, "127.0.0.1:1", endpointList{})))
				defer end()
				for !successor.router.Ready() || r.router.peers.count() == 0 {
				}
			}
			r.stop()
			eventually(t, l, "the time limit of the process", func() bool { return l.answerDeadline.isSet() })
			stoppedAt := time.Now()
			time.Sleep(holdTime)
			answeredAt := time.Now()
			answer.open()
			answersDue := newShutdownSchedule(ms(l.longestDeadline())).answersDue
			checkHint(t, receive(t, o.received, "its fetch"), inMillis(answersDue), stoppedAt, answeredAt)
			if got := c.nextAnswer(); got != "VA 5 Ow0 fresh" {
				t.Errorf("got %q", got)
			}
		})
	}
}

func TestHintIsRemainingTimeRoundedDown(t *testing.T) {
	for _, c := range []struct {
		remaining float64
		want      timeoutHint
	}{{-5, 0}, {0, 0}, {0.9, 0}, {1, 1}, {1.9, 1}, {480.7, 480}, {math.Inf(1), math.MaxInt32}, {math.NaN(), 0}} {
		if got := hintFor(c.remaining); got != c.want {
			t.Errorf("%v ms remain: hint %d, want %d", c.remaining, got, c.want)
		}
	}
	for sent, want := range map[string]string{"c=read,d=480,t=t": "c=read,d=7,t=t", "d=480,c=read": "d=7,c=read",
		"c=read": "c=read", "c=read,dd=480": "c=read,dd=480"} {
		if got := (&command{metadata: sent}).metadataWithHint(7); got != want {
			t.Errorf("%q became %q, want %q", sent, got, want)
		}
	}
}
