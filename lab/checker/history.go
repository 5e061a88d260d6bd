package checker

import (
	"math"
	"slices"
	"strings"
)

// reportFunc records a violation: its rule, its time, and a text formatted as by fmt.Sprintf.
type reportFunc func(rule string, at float64, format string, v ...any)

// span is a time interval, in milliseconds.
type span struct{ from, to float64 }

// routerServer is a pair of a router and a server.
type routerServer struct{ router, server string }

// attempt is one attempt of a request at a server.
type attempt struct {
	beganAt, receivedAt, endedAt float64 // endedAt is +Inf while the attempt is in progress
	server                       string
	end                          End
	sum                          uint64
	hint                         TimeoutHint
	work                         float64
}

// request combines all events of one request.
type request struct {
	// isOfFlood says that a client sent it whose requests are not recorded.
	isOfFlood bool
	// floodRouter is the router that the flood is sent to; "" if the flood is not recorded.
	floodRouter string

	sent     Event
	isSent   bool // whether sent is set
	answers  []Event
	closed   *Event
	timedOut *Event // the client gave up after its deadline
	// disconnected is set where the client closed the connection before its deadline.
	disconnected *Event
	attempts     []*attempt
}

// deadline is the time until which the client waits for an answer.
func (q *request) deadline() float64 { return q.sent.At + q.sent.Deadline }

// disconnectedAt returns the time at which the client closed its connection; +Inf if it did not.
func (q *request) disconnectedAt() float64 {
	switch {
	case q.disconnected != nil:
		return q.disconnected.At
	case q.timedOut != nil:
		return q.timedOut.At
	}
	return math.Inf(1)
}

// history holds the events of a run by request, router and server.
type history struct {
	routers      map[string]bool // routers that appear in any event
	requests     []*request      // in the order of their first event
	byID         map[string]*request
	killed       map[string][]float64 // by router
	paused       map[string][]span    // by router
	exhausted    map[string][]span    // by router
	drains       map[routerServer][]span
	effects      map[string][]Event // by request
	starts       []*start           // in the order of time
	discovery    discoveryHistory
	floods       []Event // beginnings of floods
	malformed    []Event
	collapses    []Event
	serverStarts map[string][]float64 // by server
	sentStarts   map[routerServer][]sentStart
	endAt        float64 // of the last event
}

// newHistory indexes events. They must be in the order of time.
func newHistory(events []Event, r Rules) *history {
	h := &history{
		routers:      map[string]bool{},
		byID:         map[string]*request{},
		killed:       map[string][]float64{},
		paused:       map[string][]span{},
		exhausted:    map[string][]span{},
		drains:       map[routerServer][]span{},
		effects:      map[string][]Event{},
		discovery:    newDiscoveryHistory(),
		serverStarts: map[string][]float64{},
		sentStarts:   map[routerServer][]sentStart{},
	}
	for _, e := range events {
		h.add(e)
	}
	h.addAssumedDrains(r)
	return h
}

func (h *history) add(e Event) {
	if e.Router != "" {
		h.routers[e.Router] = true
	}
	h.endAt = max(h.endAt, e.At)
	switch e.Kind {
	case Sent, Answered, ExtraAnswer, ClosedByRouter, ClientTimedOut, Disconnected, AttemptReceived, AttemptEnded:
		h.request(e.Request).add(e)
	case EffectExecuted:
		h.effects[e.Request] = append(h.effects[e.Request], e)
	case RouterKilled:
		h.killed[e.Router] = append(h.killed[e.Router], e.At)
		h.markStartsKilled(e.Router)
	case ServerStateListed, DiscoveryDown, DiscoveryUp, ListCalled, WatchSilent, DiscoveryMoved:
		h.discovery.add(e)
	case RouterStarted:
		h.starts = append(h.starts, &start{router: e.Router, at: e.At, isRestart: h.hasStarted(e.Router)})
	case RouterReady:
		h.markStartReady(e)
	case RouterPaused:
		h.paused[e.Router] = append(h.paused[e.Router], span{e.At, e.At + e.Deadline})
	case DescriptorsExhausted:
		h.exhausted[e.Router] = append(h.exhausted[e.Router], span{e.At, e.At + e.Deadline})
	case ServerStateSent:
		k := routerServer{e.Router, e.Server}
		h.drains[k] = drainSpans(h.drains[k], e)
		h.sentStarts[k] = append(h.sentStarts[k], sentStart{e.At, e.ServerStartedAt})
	case FloodStarted:
		h.floods = append(h.floods, e)
	case Malformed:
		h.malformed = append(h.malformed, e)
	case ServerCollapsed:
		h.collapses = append(h.collapses, e)
	case Started:
		h.serverStarts[e.Server] = append(h.serverStarts[e.Server], e.At)
	}
}

// request returns the request with an id, and creates it if there is none.
func (h *history) request(id string) *request {
	q := h.byID[id]
	if q == nil {
		q = &request{isOfFlood: strings.HasPrefix(id, FloodPrefix), floodRouter: h.floodRouterOf(id)}
		h.byID[id], h.requests = q, append(h.requests, q)
	}
	return q
}

// floodRouterOf returns the router that the flood with a request is sent to; "" if there is none.
func (h *history) floodRouterOf(id string) string {
	for _, flood := range h.floods {
		if strings.HasPrefix(id, flood.Request) {
			return flood.Router
		}
	}
	return ""
}

// router returns the router that the request was sent to; "" if it is not known.
func (q *request) router() string {
	if q.isSent {
		return q.sent.Router
	}
	return q.floodRouter
}

func (q *request) add(e Event) {
	switch e.Kind {
	case Sent:
		q.sent, q.isSent = e, true
	case Answered, ExtraAnswer:
		q.answers = append(q.answers, e)
	case ClosedByRouter:
		q.closed = &e
	case ClientTimedOut:
		q.timedOut = &e
	case Disconnected:
		q.disconnected = &e
	case AttemptReceived:
		q.attempts = append(q.attempts, &attempt{
			beganAt: e.Began, receivedAt: e.At, endedAt: math.Inf(1),
			server: e.Server, hint: e.TimeoutHint, work: e.Work,
		})
	case AttemptEnded:
		for _, a := range q.attempts {
			if a.server == e.Server && math.IsInf(a.endedAt, 1) {
				a.endedAt, a.end, a.sum = e.At, e.End, e.Sum
				break
			}
		}
	}
}

// drainSpans returns the intervals in which a server drains, updated with one more state event.
func drainSpans(spans []span, e Event) []span {
	isOpen := len(spans) > 0 && math.IsInf(spans[len(spans)-1].to, 1)
	isDraining := e.State != "active"
	switch {
	case isDraining && !isOpen:
		return append(spans, span{e.At, math.Inf(1)})
	case !isDraining && isOpen:
		spans[len(spans)-1].to = e.At
	}
	return spans
}

// wasPaused reports whether the request's router was suspended when it received the request or while
// it held it. A suspended process can't answer in time, and it receives no updates.
func (h *history) wasPaused(q *request, r Rules) bool {
	until := q.deadline() + r.SlackMS
	return slices.ContainsFunc(h.paused[q.sent.Router], func(x span) bool {
		return x.from <= until && x.to >= q.sent.At-r.SlackMS
	})
}

// hadDescriptorsExhausted reports whether idle clients used up the file descriptors of the request's
// router when the request arrived: the router may then close new connections unread.
func (h *history) hadDescriptorsExhausted(q *request, r Rules) bool {
	return slices.ContainsFunc(h.exhausted[q.sent.Router], func(x span) bool {
		return x.from-r.SlackMS <= q.sent.At && q.sent.At <= x.to+r.SlackMS
	})
}

// wasKilled reports whether the request's router was killed while it held the request.
func (h *history) wasKilled(q *request, r Rules) bool {
	until := q.deadline() + r.SlackMS
	return slices.ContainsFunc(h.killed[q.sent.Router], func(at float64) bool {
		return at >= q.sent.At && at <= until
	})
}
