package logging

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// One event is logged seven times within its interval, and once after it. Two lines are written at once
// and one later, which tells how many were not.
func TestRepeatedEventsAreCountedNotWritten(t *testing.T) {
	var b bytes.Buffer
	log := New(&b, Options{Level: "info", RepeatInterval: 10 * time.Second, RepeatBurst: 2})
	at := time.Unix(1000, 0)
	say := func(msg string, after time.Duration) {
		r := slog.NewRecord(at.Add(after), slog.LevelWarn, msg, 0)
		if err := log.Handler().Handle(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 7 {
		say("refused", time.Duration(i)*time.Second)
	}
	say("another", 7*time.Second)
	say("refused", 11*time.Second)
	log.Debug("never")
	if got := strings.Count(b.String(), "msg=refused"); got != 3 {
		t.Errorf("%d lines of one event:\n%s", got, b.String())
	}
	if !strings.Contains(b.String(), "msg=another") || !strings.Contains(b.String(), "suppressed=5") {
		t.Errorf("got:\n%s", b.String())
	}
}

// More different events are logged than are limited each on its own. The rest share one limit, and the
// windows of those that are over make way for a new event.
func TestEventsHaveABound(t *testing.T) {
	e := newEventLimits(time.Second, 1)
	now := time.Unix(1000, 0)
	for i := range 10 * maxEvents {
		e.allow(event{message: fmt.Sprint(i)}, now)
	}
	if len(e.windows) != maxEvents || e.overflow.suppressed != 9*maxEvents-1 {
		t.Errorf("%d events, %d beyond unsaid", len(e.windows), e.overflow.suppressed)
	}
	e.allow(event{message: "new"}, now.Add(time.Second)) // all are over by now
	if len(e.windows) != 1 {
		t.Errorf("%d events once the old ones are over", len(e.windows))
	}
}
