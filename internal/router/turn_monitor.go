package router

import "log/slog"

// turnKind is what a turn of the loop did, as it appears in the log.
type turnKind string

// The kinds of turns. A handler that knows better than the loop names its own.
const (
	turnCall           turnKind = "call"
	turnEvent          turnKind = "event"
	turnTimer          turnKind = "timer"
	turnListStep       turnKind = "list step"
	turnRequest        turnKind = "request"
	turnAttemptEnd     turnKind = "attempt end"
	turnDecisionTimer  turnKind = "decision timer"
	turnHandover       turnKind = "hand-over"
	turnRequestNotices turnKind = "request notices"
	turnSettings       turnKind = "settings"
)

const (
	// longTurnMillis is the duration from which a turn of the loop counts as long. It includes the time
	// in which the process has no processor.
	longTurnMillis = 100
	// longTurnLogMillis is the shortest time between two log lines on long turns.
	longTurnLogMillis = 1000
)

// turnMonitor watches that no turn of the loop, in which nobody is answered, lasts long. It belongs to
// the loop.
type turnMonitor struct {
	// kind is what the current turn does.
	kind turnKind
	// loggedAt is when a long turn was logged last, in milliseconds on the loop's clock.
	loggedAt float64
}

// measure runs a part of a turn and records it if it was long.
func (l *loop) measure(kind turnKind, do func()) {
	startedAt := l.now()
	l.turns.kind = kind
	do()
	l.runDeferred()
	endedAt := l.now()
	if endedAt-startedAt < longTurnMillis {
		return
	}
	l.metrics.LongTurns.Add(1)
	if endedAt-l.turns.loggedAt < longTurnLogMillis {
		return
	}
	l.turns.loggedAt = endedAt
	slog.Warn("a turn of the loop took long", "kind", string(l.turns.kind), "took", ms(endedAt-startedAt),
		"servers", len(l.targets), "requests", len(l.requests), "events", len(l.events))
}
