package decide

import (
	"math"
	"slices"
)

// server is the state that a router keeps of one server, the origin included.
type server struct {
	Endpoint
	// isListed says that the endpoint list names it as ready or draining.
	isListed bool
	// role is what it is used as while it is listed.
	role serverRole
	// lastUpdate is the number of the last update of the endpoint list that named it.
	lastUpdate int
	// isNotedUnused says that membership.unused has it.
	isNotedUnused bool
	// isDisabled says that an operator has disabled it.
	isDisabled bool
	// attempts counts this router's attempts there.
	attempts serverAttempts
	// connection is the state of the connections to it.
	connection serverConnection
	// health is the result of its answers so far (outlier.go).
	health serverHealth
	// slowStart limits its requests after a start (slow_start.go).
	slowStart serverSlowStart
	// load is its reported and observed load (load_report.go, waiting_time.go).
	load serverLoad
	// model is its input to the placement (placement.go).
	model serverModel
}

// serverAttempts counts a router's own attempts at a server.
type serverAttempts struct {
	// inFlight is the number that have not ended.
	inFlight int
	// lastSentAt is when the last attempt was sent, ms.
	lastSentAt float64
	// work is the work sent, in units of the mean request, over workTimeConstantMillis.
	work decayingSum
}

// serverConnection is the state of the connections to a server.
type serverConnection struct {
	// mayBeOpen says that a connection may have been open since the last attempt.
	mayBeOpen bool
	// refusedAt is when the server last refused a connection, ms; -Inf = never, or already
	// handled.
	refusedAt float64
}

// serverHealth is the evidence of a server's faults, and its ejection.
type serverHealth struct {
	// acceptedShare is the EWMA of the share of attempts that succeed.
	acceptedShare float64
	// evidence is the CUSUM statistic of a fault of this server; at maxEvidence it is ejected.
	evidence float64
	// failureShare is the EWMA of the share of attempts that fail; membership.setFailureShare sets it.
	failureShare float64
	// unanswered is the number of attempts and health checks without an answer since the last
	// reply.
	unanswered int
	// lastReplyAt is the time of the last reply, ms.
	lastReplyAt float64
	// latestAnsweredSentAt is when the most recently sent of the answered attempts was sent, ms.
	latestAnsweredSentAt float64
	// isEjected says that it gets no requests except probes because of its failures;
	// membership.setEjected sets it.
	isEjected bool
	// probeAt is when an ejected server may get a single request as a probe (half-open), ms.
	probeAt float64
	// ejectionMillis is the time from ejection to probeAt, before jitter. It doubles with each
	// ejection.
	ejectionMillis float64
	// forcedProbeAt is when a request of its own keys is sent as a probe if there was none before,
	// ms.
	forcedProbeAt float64
	// checkedAt is the time of the last health check, ms; -Inf = never.
	checkedAt float64
}

// serverSlowStart limits the requests that a server gets after a start.
type serverSlowStart struct {
	// startedAt is when it started as far as is known, ms; -Inf = long ago.
	startedAt float64
	// budget is the number of requests of mean work that this router may send it now.
	budget slowStartBudget
}

// slowStartBudget is a number of requests at a time.
type slowStartBudget struct {
	requests  float64 // may be negative, as requests to a warm server are counted too
	updatedAt float64 // ms
}

// serverLoad is the reported and the observed load of a server.
type serverLoad struct {
	// lastReport is the last report that was accepted.
	lastReport LoadReport
	// reportedPerSecond is the server's rate of requests from all routers in that report.
	reportedPerSecond float64
	// reportedAt is when that report arrived, ms; -Inf = never.
	reportedAt float64
	// capacityPerSecond is the trend of its capacity; value 0 = not reported.
	capacityPerSecond trend
	// latencyPerWork is the trend of its latency per unit of work, ms; value 0 = unknown.
	latencyPerWork trend
	// waits is the sum of its observed waits, ms, over waitTimeConstantMillis.
	waits decayingSum
	// waitCount is the number of those waits.
	waitCount decayingSum
}

// serverModel is the input of the placement for one server.
type serverModel struct {
	// homeShare is the share of the keys that reach this server which get it as their home, 0 to 1.
	homeShare float64
	// channels is the number of channels n_j.
	channels int
	// servicePerSecond is the service rate μ_o of a channel.
	servicePerSecond float64
	// arrivalsPerSecond is the load λ_j of the keys placed so far.
	arrivalsPerSecond float64
	// othersHotPerSecond is the estimated rate that other routers send there for individually
	// solved keys.
	othersHotPerSecond float64
}

// newServer returns the record of a server that was not known before.
func newServer(now float64, isDisabled bool) *server {
	never := math.Inf(-1)
	return &server{
		isDisabled: isDisabled,
		connection: serverConnection{refusedAt: never},
		health:     serverHealth{acceptedShare: 1, lastReplyAt: now, checkedAt: never},
		slowStart:  serverSlowStart{startedAt: never},
		load:       serverLoad{reportedAt: never},
		model:      serverModel{homeShare: 1},
	}
}

// acceptsNewWork reports whether the endpoint list and the operators allow new requests to a
// server.
func (s *server) acceptsNewWork() bool { return s.State == Ready && !s.isDisabled }

// attempt is one send of a request to a server.
type attempt struct {
	// server is the server it was sent to.
	server *server
	// sentAt is when it was sent, ms.
	sentAt float64
	// hasEnded says that its outcome is known.
	hasEnded bool
	// mayHaveRun says that it may have run: nothing proves the contrary.
	mayHaveRun bool
	// wasOvertaken says that its soft timeout expired after the server had answered attempts that
	// were sent later.
	wasOvertaken bool
}

// request is a client's request until it has its final answer and all its attempts have ended.
type request struct {
	Request
	// class is the class that applied when the request arrived.
	class *Class
	// maxAttempts is the maximum number of attempts.
	maxAttempts int
	// key is the traffic of the request's key.
	key *keyTraffic
	// deadlineAt is the client's deadline for this try, ms.
	deadlineAt float64
	// objectiveAt is when the latency objective ends, ms.
	objectiveAt float64
	// work is its work in units of the mean request.
	work float64
	// priority is the value of an answer within the objective.
	priority float64
	// attempts are the attempts in the order of their sends.
	attempts []attempt
	// inFlight is the number of attempts that have not ended.
	inFlight int
	// preferredServer is a server to prefer although it was tried: its fetched value is stored
	// there, or an attempt there was lost.
	preferredServer *server
	// waitingSinceAt is since when the request has waited for the origin or for another request's
	// fetch, ms; 0 = it does not wait.
	waitingSinceAt float64
	// fetchStartTag is its place among the requests of one priority that wait for the origin.
	fetchStartTag float64
	// isServerFetch says that the server of its attempt is expected to fetch from the origin.
	isServerFetch bool
	// isAnswered says that it has its final answer.
	isAnswered bool
}

// hasTried reports whether an attempt was sent to a server.
func (r *request) hasTried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// endAttempt records the status of an attempt and returns the attempt, or nil if it is not in
// flight.
func (r *request) endAttempt(number int, status AttemptStatus) *attempt {
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].hasEnded {
		return nil
	}
	a := &r.attempts[number]
	a.hasEnded = true
	a.mayHaveRun = !status.NeverRan()
	r.inFlight--
	a.server.attempts.inFlight--
	return a
}
