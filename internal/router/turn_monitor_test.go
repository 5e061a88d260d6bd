package router

import (
	"testing"
	"time"
)

// Guards against turns of the loop that hold everybody up and leave no trace.
func TestLongTurnIsCounted(t *testing.T) {
	l := newIdleLoop(t)
	l.measure(turnEvent, func() {})
	if n := l.metrics.LongTurns.Load(); n != 0 {
		t.Errorf("%d long turns after a short one", n)
	}
	l.measure(turnEvent, func() {
		l.turns.kind = turnHandover
		time.Sleep(ms(longTurnMillis))
	})
	if n := l.metrics.LongTurns.Load(); n != 1 || l.turns.kind != turnHandover || l.turns.loggedAt == 0 {
		t.Errorf("%d long turns, the last of kind %q, logged at %v", n, l.turns.kind, l.turns.loggedAt)
	}
}
