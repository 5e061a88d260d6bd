package router

import (
	"context"
	"time"
)

// The time budget of a shutdown. It starts at SIGTERM, and every part of it counts from there. The
// platform sends SIGKILL killDelay after the longest deadline, "taken as 3 s where it is longer". It
// is not specified which of the two is meant by "it", so there are two times to keep to:
//
//   - Whatever a client has sent is answered before the earliest SIGKILL. All requests are answered
//     answerMargin before it; what is read after that is rejected at once.
//   - Connections stay open until closeMargin before the latest SIGKILL, for what takes longer than
//     a deadline: a value that is being written, and the commands behind it.
//
// A router may be held up for some 150 ms, so answerMargin exceeds that. inputMargin leaves time to
// answer what has been read.
const (
	// deadlineBound is the 3 s in the platform's rule.
	deadlineBound = 3 * time.Second
	// killDelay is the time from the longest deadline to SIGKILL.
	killDelay = 700 * time.Millisecond
	// answerMargin is the time from the last answer of a request to the earliest SIGKILL.
	answerMargin = 200 * time.Millisecond
	// inputMargin is the time from the end of reading to the latest SIGKILL.
	inputMargin = 100 * time.Millisecond
	// closeMargin is the time from the end of the last connections to the latest SIGKILL.
	closeMargin = 50 * time.Millisecond
	// servingCheckInterval is the time between two checks whether another process serves clients.
	servingCheckInterval = 10 * time.Millisecond
	// acceptAfterStop is how long new connections are accepted; clients still open them for 0.4 s.
	acceptAfterStop = 500 * time.Millisecond
)

// shutdownSchedule holds the times, from SIGTERM, at which the parts of a shutdown end.
type shutdownSchedule struct {
	// answersDue is when all requests are answered.
	answersDue time.Duration
	// inputEnd is when the reading of connections ends.
	inputEnd time.Duration
	// connectionsEnd is when the remaining connections are closed.
	connectionsEnd time.Duration
}

// newShutdownSchedule returns the schedule for the longest deadline of all classes.
func newShutdownSchedule(longestDeadline time.Duration) shutdownSchedule {
	earliestKill := min(longestDeadline, deadlineBound) + killDelay
	latestKill := max(longestDeadline, deadlineBound) + killDelay
	return shutdownSchedule{
		answersDue:     earliestKill - answerMargin,
		inputEnd:       latestKill - inputMargin,
		connectionsEnd: latestKill - closeMargin,
	}
}

// shutDown performs the shutdown after SIGTERM, by the times of shutdownSchedule:
//
//  1. All open and future requests are answered by answersDue.
//  2. New connections are accepted for acceptAfterStop, then those left in the listener's queue. If
//     another process of this router is running, which accepts from the same queue, they are accepted
//     until that one serves clients, or answersDue.
//  3. The listener is closed.
//  4. Each connection is read until nothing is unanswered on it, and then closed. From answersDue on
//     every command is answered as soon as it is read, so a connection stays open only for a value
//     that is still being written, for a command that is still being received, or for a client that
//     sends without a pause. Nothing more is read from inputEnd on, and the remaining connections
//     are closed at connectionsEnd. The router is not ready from step 4 on.
//
// Run then ends the loop, discovery, the client of the coordinators and the links to other
// processes, and the process exits.
func (r *Router) shutDown() {
	l := r.loop
	stoppedAt := time.Now()
	stoppedAtMillis := l.now()
	schedule := newShutdownSchedule(ms(l.longestDeadline()))
	l.post(func() { l.answerAllBy(stoppedAtMillis + inMillis(schedule.answersDue)) })
	inputEnd, cancelInput := context.WithDeadline(context.Background(), stoppedAt.Add(schedule.inputEnd))
	defer cancelInput()
	connectionsEnd, cancelConnections := context.WithDeadline(context.Background(),
		stoppedAt.Add(schedule.connectionsEnd))
	defer cancelConnections()
	r.awaitServingPeer(stoppedAt.Add(schedule.answersDue))
	if r.peers.count() == 0 {
		time.Sleep(time.Until(stoppedAt.Add(acceptAfterStop)))
		r.clients.acceptQueued()
	}
	r.clients.listener.Close()
	r.clients.drain(inputEnd, connectionsEnd)
}

// awaitServingPeer waits until another process of this router serves clients, none is joining or running, or a
// time has come. A successor that restores the state of a large fleet may not serve yet.
func (r *Router) awaitServingPeer(until time.Time) {
	for r.peers.hasAny.Load() && !r.peers.isAnyServing() && time.Now().Before(until) {
		time.Sleep(servingCheckInterval)
	}
}

// longestDeadline returns the longest deadline of all classes, in milliseconds. Any goroutine may
// call it.
func (l *loop) longestDeadline() (longest float64) {
	for _, rule := range l.rules.Load().classes {
		longest = max(longest, rule.DeadlineMillis)
	}
	return longest
}
