package checker

import (
	"math"
	"slices"
)

// report takes a broken rule, when it was broken, and a text as fmt.Sprintf does.
type report func(rule string, at float64, form string, v ...any)

// span is a stretch of time, in milliseconds.
type span struct{ from, to float64 }

// routerServer is a server as one router sees it.
type routerServer struct{ router, server string }

// attempt is one sending of a request to a server.
type attempt struct {
	began, whole, over float64 // over: +Inf = still out
	server             string
	end                End
	sum                uint64
	hint               TimeoutHint
	work               float64
}

// request is what all parties saw of one request.
type request struct {
	sent    Event
	has     bool // sent is there
	answers []Event
	closed  *Event
	left    *Event // the client, when its time was up
	// disconnected is the client's own end of the connection before its time was up.
	disconnected *Event
	attempts     []*attempt
}

// deadline is the time until which the client waits for an answer.
func (q *request) deadline() float64 { return q.sent.At + q.sent.Deadline }

// disconnectedAt is when the client closed its connection; +Inf where it did not.
func (q *request) disconnectedAt() float64 {
	switch {
	case q.disconnected != nil:
		return q.disconnected.At
	case q.left != nil:
		return q.left.At
	}
	return math.Inf(1)
}

// history is a run's events, put together by request, router and server.
type history struct {
	routers      map[string]bool // that clients or discovery have talked to
	requests     []*request      // in the order of their first event
	byID         map[string]*request
	killed       map[string][]float64 // by router
	paused       map[string][]span    // by router
	crowded      map[string][]span    // by router
	drains       map[routerServer][]span
	ran          map[string][]Event // by request
	starts       []*start           // in the order of time
	discovery    discoveryHistory
	malformed    []Event
	falls        []Event
	serverStarts map[string][]float64 // by server
	toldStarts   map[routerServer][]toldStart
	endAt        float64 // of the last event
}

// newHistory puts events together, which are in the order of time.
func newHistory(events []Event, r Rules) *history {
	h := &history{
		routers:      map[string]bool{},
		byID:         map[string]*request{},
		killed:       map[string][]float64{},
		paused:       map[string][]span{},
		crowded:      map[string][]span{},
		drains:       map[routerServer][]span{},
		ran:          map[string][]Event{},
		discovery:    newDiscoveryHistory(),
		serverStarts: map[string][]float64{},
		toldStarts:   map[routerServer][]toldStart{},
	}
	for _, e := range events {
		h.add(e)
	}
	h.addClockDrains(r)
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
		h.ran[e.Request] = append(h.ran[e.Request], e)
	case RouterKilled:
		h.killed[e.Router] = append(h.killed[e.Router], e.At)
		h.killStarts(e.Router)
	case ServerStateListed, DiscoveryDown, DiscoveryUp, ListCalled, WatchSilent, DiscoveryMoved:
		h.discovery.add(e)
	case RouterStarted:
		h.starts = append(h.starts, &start{router: e.Router, at: e.At, isRestart: h.hasStarted(e.Router)})
	case RouterReady:
		h.readyStart(e)
	case RouterPaused:
		h.paused[e.Router] = append(h.paused[e.Router], span{e.At, e.At + e.Deadline})
	case DescriptorsExhausted:
		h.crowded[e.Router] = append(h.crowded[e.Router], span{e.At, e.At + e.Deadline})
	case ServerStateSent:
		k := routerServer{e.Router, e.Server}
		h.drains[k] = drainSpans(h.drains[k], e)
		h.toldStarts[k] = append(h.toldStarts[k], toldStart{e.At, e.ServerStartedAt})
	case Malformed:
		h.malformed = append(h.malformed, e)
	case ServerCollapsed:
		h.falls = append(h.falls, e)
	case Started:
		h.serverStarts[e.Server] = append(h.serverStarts[e.Server], e.At)
	}
}

// request is the one with that id, which is made where there is none.
func (h *history) request(id string) *request {
	q := h.byID[id]
	if q == nil {
		q = &request{}
		h.byID[id], h.requests = q, append(h.requests, q)
	}
	return q
}

func (q *request) add(e Event) {
	switch e.Kind {
	case Sent:
		q.sent, q.has = e, true
	case Answered, ExtraAnswer:
		q.answers = append(q.answers, e)
	case ClosedByRouter:
		q.closed = &e
	case ClientTimedOut:
		q.left = &e
	case Disconnected:
		q.disconnected = &e
	case AttemptReceived:
		q.attempts = append(q.attempts, &attempt{began: e.Began, whole: e.At, over: math.Inf(1), server: e.Server, hint: e.TimeoutHint, work: e.Work})
	case AttemptEnded:
		for _, a := range q.attempts {
			if a.server == e.Server && math.IsInf(a.over, 1) {
				a.over, a.end, a.sum = e.At, e.End, e.Sum
				break
			}
		}
	}
}

// drainSpans are the spans in which a server drains, with one more word of its state.
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

// wasPaused reports whether the request's router was stopped while it held the request, or when it got it: what a stopped process
// holds, or gets meanwhile, it can't answer in time, and it hears of nothing.
func (h *history) wasPaused(q *request, r Rules) bool {
	until := q.deadline() + r.SlackMS
	return slices.ContainsFunc(h.paused[q.sent.Router], func(x span) bool { return x.from <= until && x.to >= q.sent.At-r.SlackMS })
}

// wasCrowded reports whether idle clients filled the descriptors of the request's router when it got it: new connections may be shut
// unread then.
func (h *history) wasCrowded(q *request, r Rules) bool {
	return slices.ContainsFunc(h.crowded[q.sent.Router], func(x span) bool {
		return x.from-r.SlackMS <= q.sent.At && q.sent.At <= x.to+r.SlackMS
	})
}

// wasKilled reports whether the request's router was killed while it held the request.
func (h *history) wasKilled(q *request, r Rules) bool {
	until := q.deadline() + r.SlackMS
	return slices.ContainsFunc(h.killed[q.sent.Router], func(at float64) bool { return at >= q.sent.At && at <= until })
}
