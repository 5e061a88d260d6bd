// Package logging sets up the router's log: log/slog with one line per event, and a limit on how
// often the same event is logged.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Options configure the log.
type Options struct {
	// Level is debug, info, warn or error.
	Level string
	// JSON selects JSON instead of text.
	JSON bool
	// RepeatInterval is the interval in which the lines of one event are limited.
	RepeatInterval time.Duration
	// RepeatBurst is the number of lines of one event that are written per interval; 0 = no limit.
	RepeatBurst int
}

// maxEvents bounds the number of events with a limit of their own; all further events share one
// limit.
const maxEvents = 256

// New returns a logger that writes to w.
func New(w io.Writer, o Options) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(o.Level)) // an unknown level means info; the operator file is validated when read
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if o.JSON {
		handler = slog.NewJSONHandler(w, options)
	}
	if o.RepeatBurst > 0 {
		handler = &limitingHandler{next: handler, events: newEventLimits(o.RepeatInterval, o.RepeatBurst)}
	}
	return slog.New(handler)
}

// event identifies repeated lines: they have the same level and message, but may have other
// attributes.
type event struct {
	level   slog.Level
	message string
}

// window counts the lines of an event within one interval.
type window struct {
	startedAt time.Time
	lines     int
	// suppressed is the number of lines that were not written since the last one that was.
	suppressed int
}

// eventLimits counts lines by event. It reads no clock: each record has a time.
type eventLimits struct {
	interval time.Duration
	burst    int

	mu      sync.Mutex
	windows map[event]*window
	// overflow counts the lines of all events that have no window of their own.
	overflow window
}

func newEventLimits(interval time.Duration, burst int) *eventLimits {
	return &eventLimits{interval: interval, burst: burst, windows: map[event]*window{}}
}

// allow reports whether a line of an event may be written at now, and how many lines were
// suppressed since the last one that was written.
func (l *eventLimits) allow(e event, now time.Time) (isAllowed bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.window(e, now)
	if now.Sub(w.startedAt) >= l.interval {
		w.startedAt = now
		w.lines = 0
	}
	w.lines++
	if w.lines > l.burst {
		w.suppressed++
		return false, 0
	}
	suppressed = w.suppressed
	w.suppressed = 0
	return true, suppressed
}

// window returns the window of an event, or overflow if there are too many events.
func (l *eventLimits) window(e event, now time.Time) *window {
	if w := l.windows[e]; w != nil {
		return w
	}
	if len(l.windows) >= maxEvents {
		l.evictEnded(now)
	}
	if len(l.windows) >= maxEvents {
		return &l.overflow
	}
	w := &window{startedAt: now}
	l.windows[e] = w
	return w
}

// evictEnded removes the windows that have ended and have no suppressed lines to report.
func (l *eventLimits) evictEnded(now time.Time) {
	for e, w := range l.windows {
		if now.Sub(w.startedAt) >= l.interval && w.suppressed == 0 {
			delete(l.windows, e)
		}
	}
}

// limitingHandler is a slog.Handler that passes on a limited number of lines per event and
// interval.
type limitingHandler struct {
	next   slog.Handler
	events *eventLimits
}

func (l *limitingHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

func (l *limitingHandler) Handle(ctx context.Context, r slog.Record) error {
	isAllowed, suppressed := l.events.allow(event{r.Level, r.Message}, r.Time)
	if !isAllowed {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("suppressed", suppressed))
	}
	return l.next.Handle(ctx, r)
}

func (l *limitingHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitingHandler{next: l.next.WithAttrs(attrs), events: l.events}
}

func (l *limitingHandler) WithGroup(name string) slog.Handler {
	return &limitingHandler{next: l.next.WithGroup(name), events: l.events}
}
