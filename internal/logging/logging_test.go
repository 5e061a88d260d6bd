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

// An event is logged seven times within an interval, and once after it. The first two lines and the
// one after the interval must be written, and the last must contain the number of suppressed lines.
func TestRepeatedEventsAreSuppressedAndCounted(t *testing.T) {
	var b bytes.Buffer
	log := New(&b, Options{Level: "info", RepeatInterval: 10 * time.Second, RepeatBurst: 2})
	at := time.Unix(1000, 0)
	logAfter := func(msg string, after time.Duration) {
		r := slog.NewRecord(at.Add(after), slog.LevelWarn, msg, 0)
		if err := log.Handler().Handle(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 7 {
		logAfter("refused", time.Duration(i)*time.Second)
	}
	logAfter("another", 7*time.Second)
	logAfter("refused", 11*time.Second)
	log.Debug("never")
	if got := strings.Count(b.String(), "msg=refused"); got != 3 {
		t.Errorf("%d lines of one event, want 3:\n%s", got, b.String())
	}
	if !strings.Contains(b.String(), "msg=another") || !strings.Contains(b.String(), "suppressed=5") {
		t.Errorf("got:\n%s", b.String())
	}
}

// More different events are logged than there are windows. The rest must share one limit, and a new
// event must replace the windows that have ended.
func TestEventWindowsAreBounded(t *testing.T) {
	e := newEventLimits(time.Second, 1)
	now := time.Unix(1000, 0)
	for i := range 10 * maxEvents {
		e.allow(event{message: fmt.Sprint(i)}, now)
	}
	if len(e.windows) != maxEvents || e.overflow.suppressed != 9*maxEvents-1 {
		t.Errorf("%d windows, %d lines suppressed beyond them", len(e.windows), e.overflow.suppressed)
	}
	e.allow(event{message: "new"}, now.Add(time.Second)) // all windows have ended by now
	if len(e.windows) != 1 {
		t.Errorf("%d windows after all others have ended, want 1", len(e.windows))
	}
}
