// Package checker checks the events of a run against the rules. It uses only what clients, servers,
// discovery and the lab recorded, and neither the log nor the metrics of the router. It does no I/O.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events: who records each, what happened, and the fields of Event that are set.
const (
	Sent                 Kind = iota // client: wrote a complete request (Request, Router, Class, Deadline, Idem)
	Answered                         // client: received a complete answer (Request, Answer, Sum)
	ExtraAnswer                      // client: received a further answer to an answered request (Request)
	ClosedByRouter                   // client: the router closed it without a complete answer (Request, NewConnection)
	ClientTimedOut                   // client: gave up after the deadline and the slack, and disconnected (Request)
	Disconnected                     // client: closed its connection before its deadline, without an answer (Request)
	AttemptReceived                  // server: received a complete attempt (Request, Server, Began, TimeoutHint, Work)
	AttemptEnded                     // server: ended an attempt, before writing the answer (Request, Server, End, Sum)
	Malformed                        // server: received a command that no client sends in this form (Server)
	EffectExecuted                   // server: executed the effect of a request (Request, Server, Idem)
	Started                          // server: its process started (Server)
	ServerCollapsed                  // server: collapsed while cold (Server), from the work that arrived since Began
	ServerStateSent                  // discovery: sent a server's state (Router, Server, State, ServerStartedAt)
	ServerStateListed                // discovery: listed a new state of a server (Server, State, ServerStartedAt)
	DiscoveryDown                    // discovery: became unreachable
	DiscoveryUp                      // discovery: became reachable again
	ListCalled                       // discovery: received a router's call for the list or its changes (Router)
	WatchSilent                      // discovery: silenced a router's watch (Router) with Deadline ms of its wait left
	RouterStarted                    // lab: started a router's process (Router)
	RouterReady                      // lab: the router's last started process became ready (Router)
	RouterKilled                     // lab: a router was killed or crashed (Router)
	DiscoveryMoved                   // lab: sent a router a configuration with another discovery address (Router)
	DescriptorsExhausted             // lab: idle clients use up a router's file descriptors (Router) for Deadline ms
	RouterPaused                     // lab: suspended a router's process (Router) for Deadline ms
	FloodStarted                     // lab: a client floods a router (Router); its ids begin with Request
)

// Answer is the outcome of a request as its client saw it.
type Answer uint8

// The outcomes of a request.
const (
	Served Answer = iota
	Refused
	Failed
)

// End is the outcome of an attempt at a server.
type End uint8

// The outcomes of an attempt.
const (
	Completed End = iota // the server produced an answer
	Missed               // the key was not stored; the request did not run
	Rejected             // rejected; the request did not run
	Errored              // an error; the request may have run
	Dropped              // its connection ended; the request may have run
)

// Event is one observation of a client, a server, discovery or the lab.
type Event struct {
	At       float64 // milliseconds on the lab's clock
	Kind     Kind
	Answer   Answer
	End      End
	Request  string
	Router   string
	Server   string
	Class    string
	Idem     string
	State    string
	Deadline float64 // milliseconds from At
	Began    float64 // arrival of the attempt's first byte; of a collapse, the start of its window
	Sum      uint64  // checksum of the value

	// ServerStartedAt is the start of the server's process according to the list, in milliseconds
	// on the lab's clock.
	ServerStartedAt float64

	Work float64 // work of an attempt at its server, in milliseconds on a core of speed 1

	// NewConnection reports that the connection which the router closed had been opened for this
	// request, and that not one byte of an answer arrived on it.
	NewConnection bool

	TimeoutHint TimeoutHint // AttemptReceived: the timeout hint of the attempt
}

// FloodPrefix begins the ids of requests whose sending and answers are not recorded, as their clients send
// as fast as they can. Only what servers see of them is checked.
const FloodPrefix = "flood-"

// Journal records events up to a limit. Its methods may be called concurrently.
type Journal struct {
	mu        sync.Mutex
	maxEvents int
	events    []Event
	full      bool
}

// NewJournal returns a journal for at most maxEvents events.
func NewJournal(maxEvents int) *Journal { return &Journal{maxEvents: maxEvents} }

// Add records an event. An event beyond the limit is dropped, and the run can't be checked. A nil
// journal ignores all events.
func (j *Journal) Add(e Event) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.events) >= j.maxEvents {
		j.full = true
		return
	}
	j.events = append(j.events, e)
}

// Events returns the recorded events in the order of time, and whether none was dropped.
func (j *Journal) Events() (events []Event, isComplete bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	events = slices.Clone(j.events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events, !j.full
}

// Effect tells whether a request of a class may run more than once, in the words of the settings.
type Effect string

// The effects.
const (
	Repeatable Effect = "repeatable"
	Keyed      Effect = "by_key"
	Once       Effect = "once"
)

// Class is one class of requests.
type Class struct {
	Effect   Effect
	Scope    string // by_key: all, zone or cell
	WindowMS float64
}

// Rules are the limits that a run is checked against.
type Rules struct {
	Classes     map[string]Class
	Group       map[string]map[string]string // scope -> server -> group; the scope "all" has one group
	GraceMS     float64                      // time for a router to stop sending after a drain notice
	SlackMS     float64                      // tolerance of time limits and of the order of events of two observers
	MaxAttempts int

	// HasOnlyPlanned reports that the run has no faults other than planned operator actions:
	// routers have to go on serving.
	HasOnlyPlanned bool

	// HasPushedList reports that an agent pushes the list to the routers: a change counts as received
	// at once, without a call of the router.
	HasPushedList bool

	// MachineLateMS is the longest scheduling delay of the machine. Rules with a tolerance of their own add it.
	MachineLateMS float64
}

// Violation is one violation of a rule.
type Violation struct {
	// Rule is answer, effect, copies, drain, cold, value, attempts, timeout-hint, lost, disconnected,
	// rejecting, unanswered, ready or form; CheckLeases has rules of its own.
	Rule string  `json:"rule"`
	At   float64 `json:"at_ms"`
	Text string  `json:"text"`
}

func (v Violation) String() string { return fmt.Sprintf("%8.0f ms  %s: %s", v.At, v.Rule, v.Text) }

// CheckRun returns the violations of the rules in the order of time. The events must be in that
// order too.
func CheckRun(events []Event, r Rules) (violations []Violation) {
	h := newHistory(events, r)
	add := func(rule string, at float64, format string, v ...any) {
		violations = append(violations, Violation{rule, at, fmt.Sprintf(format, v...)})
	}
	for _, q := range h.requests {
		if q.isSent {
			checkRequest(h, q, r, add)
		} else if len(q.attempts) > 0 && !q.isOfFlood {
			add("value", q.attempts[0].receivedAt, "server %s was sent a request that no client sent",
				q.attempts[0].server)
		}
	}
	checkTimeoutHints(h, r, add)
	checkDisconnected(h, r, add)
	checkRejecting(h, r, add)
	checkUnanswered(h, r, add)
	checkRefusedConnections(h, r, add)
	checkReadiness(h, r, add)
	checkCollapses(h, r, add)
	checkMalformed(h, add)
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return violations
}

// checkRequest checks the answers and the attempts of one request.
func checkRequest(h *history, q *request, r Rules, add reportFunc) {
	id, class := q.sent.Request, r.Classes[q.sent.Class]
	until := q.deadline() + r.SlackMS
	paused := h.wasPaused(q, r)
	pausedOrKilled := paused || h.wasKilled(q, r)
	switch {
	case len(q.answers) > 1:
		add("answer", q.answers[1].At, "request %s: %d final answers", id, len(q.answers))
	case len(q.answers) == 1 && q.answers[0].At > until+lateAnswerMillis && !paused:
		add("answer", q.answers[0].At, "request %s: answered by router %s %.0f ms after its deadline",
			id, q.sent.Router, q.answers[0].At-until+r.SlackMS)
	case len(q.answers) == 0 && pausedOrKilled: // a killed or paused router can't answer
	case len(q.answers) == 0 && q.closed != nil && len(q.attempts) > 0 && q.closed.At < until && !hasBrokenAttempt(q):
		add("answer", q.closed.At, "request %s: router %s ended the connection without an answer", id, q.sent.Router)
	case len(q.answers) == 0 && q.timedOut != nil:
		add("answer", until, "request %s: no final answer of router %s by its deadline", id, q.sent.Router)
	}
	for _, a := range q.answers[:min(1, len(q.answers))] {
		checkAnswer(q, a, class, r, add)
	}
	if len(q.attempts) > r.MaxAttempts && r.MaxAttempts > 0 {
		add("attempts", q.attempts[r.MaxAttempts].receivedAt, "request %s: %d attempts, %d at most",
			id, len(q.attempts), r.MaxAttempts)
	}
	for i, a := range q.attempts {
		for _, before := range q.attempts[:i] {
			checkAttemptPair(id, before, a, class, r, add)
		}
		for _, s := range h.drains[routerServer{q.sent.Router, a.server}] { // one violation per attempt is enough
			if at := s.from + r.GraceMS + r.SlackMS; a.beganAt > at && a.beganAt < s.to && !paused {
				add("drain", a.beganAt,
					"request %s: sent to server %s %.0f ms after router %s was notified that it drains",
					id, a.server, a.beganAt-s.from, q.sent.Router)
				break
			}
		}
	}
	if n := len(h.effects[id]); class.Effect == Once && n > 1 {
		add("effect", h.effects[id][1].At, "request %s of class %s was carried out %d times", id, q.sent.Class, n)
	}
}

// hasBrokenAttempt reports whether an attempt failed or lost its connection. A value that is cut off
// at the server can't be completed, and closing the connection is the only way to signal that to the
// client.
func hasBrokenAttempt(q *request) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.end == Errored || a.end == Dropped })
}

// checkAnswer checks that a served value is one that a server produced for the request, and that a
// refused request can safely be repeated.
func checkAnswer(q *request, a Event, class Class, r Rules, add reportFunc) {
	mayHaveRun := slices.ContainsFunc(q.attempts, func(t *attempt) bool { return t.mayHaveRunBy(a.At) })
	switch {
	case a.Answer == Served && !slices.ContainsFunc(q.attempts, func(t *attempt) bool {
		return t.end == Completed && t.sum == a.Sum
	}):
		add("value", a.At, "request %s: served a value that no server produced for it", a.Request)
	case a.Answer == Refused && mayHaveRun && (class.Effect == Once || class.Effect == Keyed && class.Scope != "all"):
		add("effect", a.At, "request %s of class %s: refused as harmless to repeat, but it may have run",
			a.Request, q.sent.Class)
	case a.Answer == Refused && class.Effect == Keyed && isRefusedPastWindow(q, a, class, r):
		add("effect", a.At,
			"request %s of class %s: refused as harmless to repeat after its window, but it may have run",
			a.Request, q.sent.Class)
	}
}

// isRefusedPastWindow reports whether a request was refused after the idempotency window of an
// attempt that may have run: servers then execute a repeat again.
func isRefusedPastWindow(q *request, a Event, class Class, r Rules) bool {
	return slices.ContainsFunc(q.attempts, func(t *attempt) bool {
		return t.mayHaveRunBy(a.At) && a.At-t.beganAt > class.WindowMS+r.SlackMS
	})
}

// mayHaveRunBy reports whether the attempt may have run before a time.
func (t *attempt) mayHaveRunBy(at float64) bool {
	return t.receivedAt <= at && t.end != Missed && t.end != Rejected
}

// checkAttemptPair checks an attempt against an earlier one of the same request.
func checkAttemptPair(id string, before, a *attempt, class Class, r Rules, add reportFunc) {
	if before.endedAt > a.receivedAt+r.SlackMS {
		add("copies", a.receivedAt, "request %s: sent to server %s while an attempt was in progress at server %s, "+
			"first bytes at %.1f and %.1f ms, ends at %.1f and %.1f ms",
			id, a.server, before.server, a.beganAt, before.beganAt, a.endedAt, before.endedAt)
	}
	if before.end == Missed || before.end == Rejected {
		return
	}
	switch class.Effect {
	case Once:
		add("effect", a.receivedAt, "request %s: sent again to server %s, but the attempt at server %s may have run",
			id, a.server, before.server)
	case Keyed:
		if late := a.beganAt - before.beganAt - class.WindowMS; late > r.SlackMS {
			add("effect", a.receivedAt, "request %s: repeated %.0f ms after its window", id, late)
		}
		if g := r.Group[class.Scope]; class.Scope != "all" && g[before.server] != g[a.server] {
			add("effect", a.receivedAt, "request %s: repeated at server %s, outside the %s of server %s",
				id, a.server, class.Scope, before.server)
		}
	}
}
