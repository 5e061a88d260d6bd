// Package logging is the router's log: log/slog, one event a line, with a bound on how often one
// event is repeated.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Options say how to log.
type Options struct {
	Level          string        // debug, info, warn or error
	JSON           bool          // else text
	RepeatInterval time.Duration // in this time, of one event,
	RepeatBurst    int           // so many lines; 0 = no bound
}

// maxEvents bounds the events that are told apart for the limit; those beyond share one limit.
const maxEvents = 256

// New returns a logger that writes to w.
func New(w io.Writer, o Options) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(o.Level)) // unknown: info; the operator file is checked where it is read
	ho := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(w, ho)
	if o.JSON {
		h = slog.NewJSONHandler(w, ho)
	}
	if o.RepeatBurst > 0 {
		h = &limiter{next: h, events: &eventLimits{every: o.RepeatInterval, burst: o.RepeatBurst, windows: map[event]*window{}}}
	}
	return slog.New(h)
}

// event is what counts as the same line again: its level and message, whatever its attributes.
type event struct {
	level slog.Level
	msg   string
}

type window struct {
	startedAt         time.Time
	lines, suppressed int
}

// eventLimits counts lines by event. It has no clock: the records bring their time.
type eventLimits struct {
	mu       sync.Mutex
	every    time.Duration
	burst    int
	windows  map[event]*window
	overflow window
}

// allow reports whether an event may be logged at now, and how many were not since the last that was.
func (e *eventLimits) allow(of event, now time.Time) (ok bool, unsaid int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.windows[of]
	if w == nil {
		if len(e.windows) >= maxEvents {
			for k, old := range e.windows { // those that are over and owe no count
				if now.Sub(old.startedAt) >= e.every && old.suppressed == 0 {
					delete(e.windows, k)
				}
			}
		}
		if w = &e.overflow; len(e.windows) < maxEvents {
			w = &window{startedAt: now}
			e.windows[of] = w
		}
	}
	if now.Sub(w.startedAt) >= e.every {
		w.startedAt, w.lines = now, 0
	}
	if w.lines++; w.lines > e.burst {
		w.suppressed++
		return false, 0
	}
	unsaid, w.suppressed = w.suppressed, 0
	return true, unsaid
}

// limiter passes on a bounded number of lines of each event.
type limiter struct {
	next   slog.Handler
	events *eventLimits
}

func (l *limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	ok, unsaid := l.events.allow(event{r.Level, r.Message}, r.Time)
	if !ok {
		return nil
	}
	if unsaid > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("suppressed", unsaid))
	}
	return l.next.Handle(ctx, r)
}

func (l *limiter) WithAttrs(as []slog.Attr) slog.Handler {
	return &limiter{next: l.next.WithAttrs(as), events: l.events}
}

func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{next: l.next.WithGroup(name), events: l.events}
}
