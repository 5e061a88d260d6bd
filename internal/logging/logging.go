// Package logging is the router's log: log/slog, one event a line, with a bound on how often one event is repeated.
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
	Level string        // debug, info, warn or error
	JSON  bool          // else text
	Every time.Duration // in this time, of one event,
	Burst int           // so many lines; 0 = no bound
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
	if o.Burst > 0 {
		h = &limiter{next: h, events: &events{every: o.Every, burst: o.Burst, seen: map[event]*window{}}}
	}
	return slog.New(h)
}

// event is what counts as the same line again: its level and message, whatever its attributes.
type event struct {
	level slog.Level
	msg   string
}

type window struct {
	since         time.Time
	lines, unsaid int
}

// events counts lines by event. It has no clock: the records bring their time.
type events struct {
	mu    sync.Mutex
	every time.Duration
	burst int
	seen  map[event]*window
	rest  window
}

// pass reports whether an event may be logged at now, and how many were not since the last that was.
func (e *events) pass(of event, now time.Time) (ok bool, unsaid int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.seen[of]
	if w == nil {
		if len(e.seen) >= maxEvents {
			for k, old := range e.seen { // those that are over and owe no count
				if now.Sub(old.since) >= e.every && old.unsaid == 0 {
					delete(e.seen, k)
				}
			}
		}
		if w = &e.rest; len(e.seen) < maxEvents {
			w = &window{since: now}
			e.seen[of] = w
		}
	}
	if now.Sub(w.since) >= e.every {
		w.since, w.lines = now, 0
	}
	if w.lines++; w.lines > e.burst {
		w.unsaid++
		return false, 0
	}
	unsaid, w.unsaid = w.unsaid, 0
	return true, unsaid
}

// limiter passes on a bounded number of lines of each event.
type limiter struct {
	next   slog.Handler
	events *events
}

func (l *limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	ok, unsaid := l.events.pass(event{r.Level, r.Message}, r.Time)
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
