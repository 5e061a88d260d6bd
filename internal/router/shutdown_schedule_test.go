package router

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against clocks of a shutdown that contradict each other: connections that end before all
// answers are due, or answers due only after SIGKILL. SIGKILL comes 0.7 s after the longest
// deadline, taken as 3 s where it is longer: earliest and latest are the two ways to read that.
func TestShutdownKeepsToBothTimesOfSigkill(t *testing.T) {
	const (
		holdUp      = 150 * time.Millisecond // that a router may suffer at any time
		answersTime = 20 * time.Millisecond  // to write what has been answered
		slack       = 50 * time.Millisecond  // that the schedule may leave unused
	)
	for _, c := range []struct{ longest, earliestKill, latestKill time.Duration }{
		{300 * time.Millisecond, 1000 * time.Millisecond, 3700 * time.Millisecond},
		{1500 * time.Millisecond, 2200 * time.Millisecond, 3700 * time.Millisecond},
		{2400 * time.Millisecond, 3100 * time.Millisecond, 3700 * time.Millisecond},
		{2500 * time.Millisecond, 3200 * time.Millisecond, 3700 * time.Millisecond},
		{3000 * time.Millisecond, 3700 * time.Millisecond, 3700 * time.Millisecond},
		{3500 * time.Millisecond, 3700 * time.Millisecond, 4200 * time.Millisecond},
		{3600 * time.Millisecond, 3700 * time.Millisecond, 4300 * time.Millisecond},
		{10 * time.Second, 3700 * time.Millisecond, 10700 * time.Millisecond},
	} {
		got := newShutdownSchedule(c.longest)
		if got.answersDue < c.earliestKill-holdUp-slack || got.answersDue > c.earliestKill-holdUp-answersTime {
			t.Errorf("longest deadline %v: answers due after %v, SIGKILL after %v", c.longest, got.answersDue,
				c.earliestKill)
		}
		if got.answersDue+answersTime > got.inputEnd || got.inputEnd+answersTime > got.connectionsEnd {
			t.Errorf("longest deadline %v: not in this order, or without time between: %+v", c.longest, got)
		}
		if got.connectionsEnd < c.latestKill-holdUp || got.connectionsEnd > c.latestKill-answersTime {
			t.Errorf("longest deadline %v: connections end after %v, SIGKILL after %v", c.longest, got.connectionsEnd,
				c.latestKill)
		}
	}
}

// startStoppingRouter starts a router whose longest deadline is 3 s, in an upgrade the old process.
// A client sends it some input, and shortly after that the router is told to end, at stoppedAt.
func startStoppingRouter(t *testing.T, isUpgrade bool, input string,
	entries ...listEntry) (r *runningRouter, c *client, stoppedAt time.Time) {
	t.Helper()
	const longestMillis = 3000
	r = startRouterWithDeadline(t, longestMillis, entries...)
	c = dialClient(t, r.addr)
	if got := c.exchange("mn"); got != "MN" { // its connection is the old process's
		t.Fatalf("got %q", got)
	}
	if isUpgrade {
		cfg := withDeadline(testConfig(t, "127.0.0.1:1", endpointList{}), longestMillis)
		successor, end := startSuccessor(t, r, cfg)
		t.Cleanup(end)
		for !successor.router.Ready() || r.router.peers.count() == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	c.send(input)
	time.Sleep(20 * time.Millisecond)
	r.stop()
	return r, c, time.Now()
}

// Guards against a write that is carried out and never answered: at an upgrade the old process
// closed all connections 3 s after SIGTERM, while answers were due until 3.5 s. A value that a cache
// server is still giving at that time was cut off.
func TestWhatTakesUntilAnswersAreDueIsAnswered(t *testing.T) {
	const answerAfter = 3200 * time.Millisecond // from SIGTERM
	for _, isUpgrade := range []bool{false, true} {
		t.Run(fmt.Sprintf("write, upgrade %t", isUpgrade), func(t *testing.T) {
			t.Parallel()
			answer := newGate(t)
			s := startFakeServer(t, hitAnswer)
			o := startFakeServer(t, func(line string) string { <-answer.opened; return originAnswer(line) })
			// A command that is received in part keeps the connection open until its last byte, which comes
			// after SIGTERM, so that its own deadline is later than its answer.
			head, last := splitLast(billCommandOf("late", 60000) + "\r\n")
			r, c, stoppedAt := startStoppingRouter(t, isUpgrade, head,
				cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
			time.Sleep(time.Until(stoppedAt.Add(answerAfter / 4)))
			c.send(last)
			receive(t, o.received, "the write")
			time.Sleep(time.Until(stoppedAt.Add(answerAfter)))
			answer.open()
			if got := c.nextAnswer(); got != "HD Olate c5c0f" {
				t.Errorf("got %q", got)
			}
			receive(t, r.done, "the router's end")
		})
		t.Run(fmt.Sprintf("value, upgrade %t", isUpgrade), func(t *testing.T) {
			t.Parallel()
			const valueBytes = 256 << 10
			rest := newGate(t)
			server := startSlowValueServer(t, valueBytes, rest)
			r, c, stoppedAt := startStoppingRouter(t, isUpgrade, readCommandOfKey(1, "v", 60000)+"\r\n",
				cacheEntry("s-0000000b", server), originEntry("127.0.0.1:1"))
			head, err := c.r.ReadString('\n')
			if err != nil || !strings.HasPrefix(head, "VA ") {
				t.Fatalf("got %q, %v", head, err)
			}
			time.Sleep(time.Until(stoppedAt.Add(answerAfter)))
			rest.open()
			if _, err := io.CopyN(io.Discard, c.r, int64(valueBytes+len("\r\n"))); err != nil {
				t.Errorf("the value: %v", err)
			}
			receive(t, r.done, "the router's end")
		})
	}
}

// splitLast splits a text before its last byte.
func splitLast(text string) (head, last string) { return text[:len(text)-1], text[len(text)-1:] }
