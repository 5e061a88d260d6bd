// Package checker judges a run by the rules. It reads what clients, servers and discovery saw and knows nothing of the
// router: neither its log nor its figures. It does no I/O.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

// Kind says what an event is.
type Kind uint8

// The events, by who sees them.
const (
	Sent                 Kind = iota // a client: a request's last byte is written (Request, Router, Class, Deadline, Idem)
	Answered                         // a client: a whole answer (Request, Answer, Sum)
	ExtraAnswer                      // a client: an answer to what it has an answer for already (Request)
	ClosedByRouter                   // a client: the router ended the connection before a whole answer (Request, NewConnection)
	ClientTimedOut                   // a client: it waited past the deadline and the slack, and closed its connection (Request)
	Disconnected                     // a client: it closed its connection before its deadline, without an answer (Request)
	AttemptReceived                  // a server: an attempt's last byte has come (Request, Server, Began, TimeoutHint, Work)
	AttemptEnded                     // a server: an attempt is over, before its answer is written (Request, Server, End, Sum)
	Malformed                        // a server: it was sent a command in a form that no client sends (Server)
	EffectExecuted                   // a server: an effect was carried out (Request, Server, Idem)
	Started                          // a server: its process started (Server)
	ServerCollapsed                  // a server: it was cold and has been pushed over (Server), by what came since Began
	ServerStateSent                  // discovery: a router was told a server's state (Router, Server, State, ServerStartedAt)
	ServerStateListed                // discovery: its list has a new state of a server from now on (Server, State, ServerStartedAt)
	DiscoveryDown                    // discovery: it can't be reached any more
	DiscoveryUp                      // discovery: it can be reached again
	ListCalled                       // discovery: a router called for the list or for what is new (Router)
	WatchSilent                      // discovery: a router's watch fell silent (Router), with Deadline ms of its wait left
	RouterStarted                    // the lab: a router's process was started (Router)
	RouterReady                      // the lab: the process that was started last is ready (Router)
	RouterKilled                     // the lab: a router was killed or has crashed (Router)
	DiscoveryMoved                   // the lab: a router was sent a configuration that names another discovery (Router)
	DescriptorsExhausted             // the lab: idle clients fill a router's descriptors (Router) for Deadline ms
	RouterPaused                     // the lab: a router's process was stopped (Router), and went on after Deadline ms
)

// Answer is what a client was given.
type Answer uint8

// The final answers.
const (
	Served Answer = iota
	Refused
	Failed
)

// End is how an attempt ended.
type End uint8

// The ends of an attempt.
const (
	Completed End = iota // an answer was made for it
	Missed               // the key was not kept; nothing has run
	Rejected             // turned away; nothing has run
	Errored              // an error; it may have run
	Dropped              // its connection ended; it may have run
)

// Event is one thing that a party saw.
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
	Began    float64 // when the attempt's first byte came; of a fall, the beginning of its window
	Sum      uint64  // of the value

	// ServerStartedAt is when the server's process started, as the list says it, in milliseconds on the lab's clock.
	ServerStartedAt float64

	Work float64 // of an attempt at its server, in milliseconds on a core of speed 1

	// NewConnection tells that a connection which the router ended was opened for this request, and brought not a byte.
	NewConnection bool

	TimeoutHint TimeoutHint // Whole: what the attempt told its server
}

// Journal takes events from any goroutine, up to a bound.
type Journal struct {
	mu     sync.Mutex
	most   int
	events []Event
	full   bool
}

// NewJournal returns a journal for at most that many events.
func NewJournal(most int) *Journal { return &Journal{most: most} }

// Add books an event; beyond the bound it is dropped, and the run can't be judged.
func (j *Journal) Add(e Event) {
	if j == nil { // nobody judges
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.events) >= j.most {
		j.full = true
		return
	}
	j.events = append(j.events, e)
}

// Events are the events so far, in the order of their time, and whether all of them are there.
func (j *Journal) Events() (events []Event, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	events = slices.Clone(j.events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events, !j.full
}

// Effect says whether a class may run more than once, in the words of the settings.
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

// Rules are the figures by which a run is judged.
type Rules struct {
	Classes     map[string]Class
	Group       map[string]map[string]string // scope -> server -> its group; of scope all there is one
	GraceMS     float64                      // nothing new to a server this much later than the router was told that it drains
	SlackMS     float64                      // of every limit in time, and of the order of what two parties saw
	MaxAttempts int

	// HasOnlyPlanned tells that nothing goes wrong in the run but what operators planned, if anything: routers have to go on serving.
	HasOnlyPlanned bool

	// HasPushedList tells that routers are pushed the list by an agent: what it has counts as told at once, whether or not it was asked.
	HasPushedList bool

	MachineLateMS float64 // the longest time by which the machine was late; it is slack of the rules that name a slack of their own
}

// Violation is one broken rule.
type Violation struct {
	Rule string  `json:"rule"` // answer, effect, copies, drain, cold, value, attempts, timeout-hint, lost, disconnected, rejecting, unanswered, ready or form
	At   float64 `json:"at_ms"`
	Text string  `json:"text"`
}

func (b Violation) String() string { return fmt.Sprintf("%8.0f ms  %s: %s", b.At, b.Rule, b.Text) }

// CheckRun lists what broke a rule, in the order of time. The events are in that order too.
func CheckRun(events []Event, r Rules) (broken []Violation) {
	h := newHistory(events, r)
	add := func(rule string, at float64, form string, v ...any) {
		broken = append(broken, Violation{rule, at, fmt.Sprintf(form, v...)})
	}
	for _, q := range h.requests {
		if q.has {
			judgeRequest(h, q, r, add)
		} else if len(q.attempts) > 0 {
			add("value", q.attempts[0].whole, "server %s was sent a request that no client sent", q.attempts[0].server)
		}
	}
	judgeTimeoutHints(h, r, add)
	judgeDisconnected(h, r, add)
	judgeRejecting(h, r, add)
	judgeUnanswered(h, r, add)
	judgeRefusedConnections(h, r, add)
	judgeReadiness(h, r, add)
	judgeFalls(h, r, add)
	judgeMalformed(h, add)
	slices.SortStableFunc(broken, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return broken
}

// judgeRequest holds one request's answers and attempts against the rules.
func judgeRequest(h *history, q *request, r Rules, add report) {
	id, class := q.sent.Request, r.Classes[q.sent.Class]
	until := q.deadline() + r.SlackMS
	stood := h.wasPaused(q, r)
	died := stood || h.wasKilled(q, r)
	switch {
	case len(q.answers) > 1:
		add("answer", q.answers[1].At, "request %s: %d final answers", id, len(q.answers))
	case len(q.answers) == 1 && q.answers[0].At > until+lateAnswerMillis && !stood:
		add("answer", q.answers[0].At, "request %s: answered by router %s %.0f ms after its deadline", id, q.sent.Router, q.answers[0].At-until+r.SlackMS)
	case len(q.answers) == 0 && died: // what a killed router held is nobody's fault
	case len(q.answers) == 0 && q.closed != nil && len(q.attempts) > 0 && q.closed.At < until && !spoilt(q):
		add("answer", q.closed.At, "request %s: router %s ended the connection without an answer", id, q.sent.Router)
	case len(q.answers) == 0 && q.left != nil:
		add("answer", until, "request %s: no final answer of router %s by its deadline", id, q.sent.Router)
	}
	for _, a := range q.answers[:min(1, len(q.answers))] {
		judgeAnswer(q, a, class, r, add)
	}
	if len(q.attempts) > r.MaxAttempts && r.MaxAttempts > 0 {
		add("attempts", q.attempts[r.MaxAttempts].whole, "request %s: %d attempts, %d at most", id, len(q.attempts), r.MaxAttempts)
	}
	for i, a := range q.attempts {
		for _, b := range q.attempts[:i] {
			judgePair(id, b, a, class, r, add)
		}
		for _, s := range h.drains[routerServer{q.sent.Router, a.server}] { // one breach is enough
			if at := s.from + r.GraceMS + r.SlackMS; a.began > at && a.began < s.to && !stood {
				add("drain", a.began, "request %s: sent to server %s %.0f ms after router %s was told that it drains",
					id, a.server, a.began-s.from, q.sent.Router)
				break
			}
		}
	}
	if n := len(h.ran[id]); class.Effect == Once && n > 1 {
		add("effect", h.ran[id][1].At, "request %s of class %s was carried out %d times", id, q.sent.Class, n)
	}
}

// spoilt reports whether a server broke off or erred while it answered: a value that can't be passed on whole has
// failed, and the end of the client's connection is how the client can tell.
func spoilt(q *request) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.end == Errored || a.end == Dropped })
}

// judgeAnswer holds an answer against what servers made, and a refusal against what may have run.
func judgeAnswer(q *request, a Event, class Class, r Rules, add report) {
	mayHaveRun := slices.ContainsFunc(q.attempts, func(t *attempt) bool { return t.mayHaveRunBy(a.At) })
	switch {
	case a.Answer == Served && !slices.ContainsFunc(q.attempts, func(t *attempt) bool { return t.end == Completed && t.sum == a.Sum }):
		add("value", a.At, "request %s: served what no server made for it", a.Request)
	case a.Answer == Refused && mayHaveRun && (class.Effect == Once || class.Effect == Keyed && class.Scope != "all"):
		add("effect", a.At, "request %s of class %s: refused as harmless to repeat, and it may have run", a.Request, q.sent.Class)
	case a.Answer == Refused && class.Effect == Keyed && isRefusedPastWindow(q, a, class, r):
		add("effect", a.At, "request %s of class %s: refused as harmless to repeat after its window, and it may have run", a.Request, q.sent.Class)
	}
}

// isRefusedPastWindow reports whether a refusal came when servers no longer dropped a repeat of an attempt that may have run.
func isRefusedPastWindow(q *request, a Event, class Class, r Rules) bool {
	return slices.ContainsFunc(q.attempts, func(t *attempt) bool {
		return t.mayHaveRunBy(a.At) && a.At-t.began > class.WindowMS+r.SlackMS
	})
}

// mayHaveRunBy reports whether an attempt may have run by a time.
func (t *attempt) mayHaveRunBy(at float64) bool {
	return t.whole <= at && t.end != Missed && t.end != Rejected
}

// judgePair holds an attempt against one before it.
func judgePair(id string, before, a *attempt, class Class, r Rules, add report) {
	if before.over > a.whole+r.SlackMS {
		add("copies", a.whole, "request %s: sent to server %s while an attempt was out at server %s", id, a.server, before.server)
	}
	if before.end == Missed || before.end == Rejected {
		return
	}
	switch class.Effect {
	case Once:
		add("effect", a.whole, "request %s: sent again to server %s, and the attempt at server %s may have run", id, a.server, before.server)
	case Keyed:
		if late := a.began - before.began - class.WindowMS; late > r.SlackMS {
			add("effect", a.whole, "request %s: repeated %.0f ms after its window", id, late)
		}
		if g := r.Group[class.Scope]; class.Scope != "all" && g[before.server] != g[a.server] {
			add("effect", a.whole, "request %s: repeated at server %s, outside the %s of server %s", id, a.server, class.Scope, before.server)
		}
	}
}
