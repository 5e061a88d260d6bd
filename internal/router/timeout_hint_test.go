package router

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The timeout hint of an attempt is at most what is left to the client when its first byte is
// written. These tests know a moment before which an attempt can't have been written, as its server
// or its connection was held until then; so what is left at most follows from two readings of the
// clock, and no test depends on how fast the machine is.

// held is how long each test holds what it holds: a hint that does not shrink is off by as much.
const held = 40 * time.Millisecond

// isSet reports whether the instant was set.
func (i *instant) isSet() bool { return i.bits.Load() != 0 }

// hintOf reads the timeout hint that an upstream was sent, in milliseconds.
func hintOf(t testing.TB, line string) float64 {
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

// atMost checks the hint of an attempt that can't have been written before a moment, for a request
// that the router had at another and that allowed so many milliseconds from then on at most.
func atMost(t testing.TB, line string, allowed float64, had, notBefore time.Time) {
	t.Helper()
	hint := hintOf(t, line)
	left := allowed - float64(notBefore.Sub(had))/float64(time.Millisecond)
	if hint > left || hint < 1 {
		t.Errorf("told %v ms with at most %.1f left: %q", hint, left, line)
	}
}

const longWait = 50000 // ms that the clients of these tests allow

func TestHintOfAFetchAfterAMiss(t *testing.T) {
	answer := newGate(t)
	s := startFake(t, func(line string) string { <-answer.opened; return miss(line) })
	o := startFake(t, originOK)
	_, _, addr := startLoopAndClients(t, 192, 40, box("s-0000000b", s.addr), originAt(o.addr))
	c := dial(t, addr)
	c.send(readOf(1, "w0", longWait) + "\r\n")
	first := receive(t, s.seen, "the read that misses")
	had := time.Now()
	if hint := hintOf(t, first); hint > longWait {
		t.Errorf("first attempt told %v of %d ms", hint, longWait)
	}
	time.Sleep(held)
	missed := time.Now()
	answer.open()
	atMost(t, receive(t, o.seen, "its fetch"), longWait, had, missed)
	if got := c.line(); got != "VA 5 Ow0 fresh" {
		t.Errorf("got %q", got)
	}
}

func TestHintOfARetry(t *testing.T) {
	for _, how := range []string{"reset", "time-out"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			cut := newGate(t)
			answer := once("close", hit)
			serve := func(line string) string { <-cut.opened; return answer(line) }
			a, b := startFake(t, serve), startFake(t, serve)
			l, _, addr := startLoopAndClients(t, 192, 40, box("s-0000000b", a.addr), box("s-0000000c", b.addr),
				originAt("127.0.0.1:1"))
			c := dial(t, addr)
			c.send(readOf(1, "w0", longWait) + "\r\n")
			seen := func() string {
				select {
				case line := <-a.seen:
					return line
				case line := <-b.seen:
					return line
				case <-time.After(wait):
					t.Fatal("no attempt")
					return ""
				}
			}
			seen()
			had := time.Now()
			time.Sleep(held)
			ended := time.Now()
			if how == "time-out" {
				onLoop(l, func() { l.timeOut(l.unanswered["w0"].attempts[0]) })
			}
			cut.open()
			atMost(t, seen(), longWait, had, ended)
		})
	}
}

// A connection that comes up late leaves the attempt less than it had when it was decided on.
func TestHintOverAConnectionThatComesUpLate(t *testing.T) {
	for name, command := range map[string]string{
		"read at a cache server": readOf(1, "w0", longWait) + "\r\n",
		"write at the origin":    fmt.Sprintf("ms 7f3a9c21e0b4d655 3 Ow0 Pc=put,t=t,d=%d,k=7\r\nabc\r\n", longWait),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, o, up := startFake(t, hit), startFake(t, originOK), newGate(t)
			dialing := make(chan struct{}, 10)
			l, _, addr := startLoopAndClients(t, 192, 40, box("s-0000000b", s.addr), originAt(o.addr))
			l.upstreams.holdDials(dialing, up)
			c := dial(t, addr)
			c.send(command)
			receive(t, dialing, "a dial")
			had := time.Now()
			time.Sleep(held)
			connected := time.Now()
			up.open()
			if got := c.line(); strings.HasPrefix(got, "SERVER_ERROR") {
				t.Errorf("got %q", got)
			}
			for _, line := range append(receivedSoFar(s.seen), receivedSoFar(o.seen)...) {
				atMost(t, line, longWait, had, connected)
			}
		})
	}
}

// Nothing is written when less than the least hint is left, though the loop is too busy to end the
// attempt.
func TestNothingIsSentWithNothingLeft(t *testing.T) {
	s, up := startFake(t, hit), newGate(t)
	cfg := longLived(testConfig(t, "127.0.0.1:1", endpointList{}))
	cfg.settings.Config.HealthChecksAllowed = false // whose dials are not the request's
	l, _, addr := startLoopWith(t, cfg, 40, box("s-0000000b", s.addr), originAt(s.addr))
	dialing := make(chan struct{}, 10)
	l.upstreams.holdDials(dialing, up)
	c := dial(t, addr)
	const short = 400
	c.send(readOf(1, "w0", short) + "\r\n")
	receive(t, dialing, "a dial")
	busy := newGate(t)
	l.post(func() { <-busy.opened })
	time.Sleep(short * time.Millisecond) // the request came before
	up.open()
	receive(t, s.connected, "the connection")
	busy.open()
	if got := c.line(); !strings.HasPrefix(got, "SERVER_ERROR") {
		t.Errorf("got %q", got)
	}
	eventually(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
	if len(s.seen) > 0 {
		t.Errorf("sent: %q", receivedSoFar(s.seen))
	}
}

// The head of a large write goes out before its value has come whole, which is when the client's
// time begins. It tells no more than the class allows, as the other attempts do.
func TestHintOfALargeWrite(t *testing.T) {
	const allowed = 2000 // by the class
	for _, ending := range []bool{false, true} {
		t.Run(fmt.Sprint("ending ", ending), func(t *testing.T) {
			t.Parallel()
			o := startFake(t, originOK)
			r, _ := serving(t, box("s-0000000b", "127.0.0.1:1"), originAt(o.addr))
			c := dial(t, r.addr)
			most := float64(allowed)
			if ending { // the process is told to end
				most = 1500
				l := r.router.loop
				onLoop(l, func() { l.answerAllBy(l.now() + most) })
			}
			had := time.Now()
			c.send(strings.Replace(largeWrite("w1", bigValue(1<<20)), "d=2000", "d=60000", 1))
			if got := c.line(); got != "HD Ow1 c5c0f" {
				t.Fatalf("got %q", got)
			}
			atMost(t, strings.TrimSuffix(receive(t, o.seen, "the write"), bigValue(1<<20)), most, had, had)
		})
	}
}

// What waits for admission has less left when it is let in.
func TestHintAfterAdmission(t *testing.T) {
	_, s, answer, _, second, _ := startWithQueuedRequest(t)
	had := time.Now()
	time.Sleep(held)
	admitted := time.Now()
	answer.open()
	atMost(t, receive(t, s.seen, "the second"), 60000, had, admitted)
	if got := second.line(); got != "VA 5 Ob hello" {
		t.Errorf("got %q", got)
	}
}

// A process that is told to end tells no more than the time until all has to be answered; in an
// upgrade the old one does.
func TestHintBeforeTheEndOfTheProcess(t *testing.T) {
	for _, upgrade := range []bool{false, true} {
		t.Run(fmt.Sprint("upgrade ", upgrade), func(t *testing.T) {
			t.Parallel()
			answer := newGate(t)
			s := startFake(t, func(line string) string { <-answer.opened; return miss(line) })
			o := startFake(t, originOK)
			d := startDirectory(t, full(box("s-0000000b", s.addr), originAt(o.addr)))
			r := start(t, longLived(testConfig(t, d.Listener.Addr().String(), endpointList{})))
			l := r.router.loop
			c := dial(t, r.addr)
			for c.ask("mn") != "MN" {
			}
			c.send(readOf(1, "w0", longWait) + "\r\n")
			receive(t, s.seen, "the read")
			if upgrade {
				young, end := succeeded(t, r, longLived(testConfig(t, "127.0.0.1:1", endpointList{})))
				defer end()
				for !young.router.Ready() || r.router.peers.count() == 0 {
				}
			}
			r.stop()
			eventually(t, l, "the end of the process's time", func() bool { return l.answerBy.isSet() })
			told := time.Now()
			time.Sleep(held)
			missed := time.Now()
			answer.open()
			atMost(t, receive(t, o.seen, "its fetch"), min(l.longestDeadline(), minStopMillis)+answerMarginMillis,
				told, missed)
			if got := c.line(); got != "VA 5 Ow0 fresh" {
				t.Errorf("got %q", got)
			}
		})
	}
}

func TestHintIsNeverMoreThanRemains(t *testing.T) {
	for _, c := range []struct {
		remaining float64
		want      timeoutHint
	}{{-5, 0}, {0, 0}, {0.9, 0}, {1, 1}, {1.9, 1}, {480.7, 480}, {math.Inf(1), math.MaxInt32}, {math.NaN(), 0}} {
		if got := hintFor(c.remaining); got != c.want {
			t.Errorf("%v ms remain: told %d, want %d", c.remaining, got, c.want)
		}
	}
	for facts, want := range map[string]string{"c=read,d=480,t=t": "c=read,d=7,t=t", "d=480,c=read": "d=7,c=read",
		"c=read": "c=read", "c=read,dd=480": "c=read,dd=480"} {
		if got := (&command{metadata: facts}).metadataWithHint(7); got != want {
			t.Errorf("%q became %q, want %q", facts, got, want)
		}
	}
}
