package decide

import (
	"math"
	"slices"
)

// server is what a router knows of a server, the origin included.
type server struct {
	Endpoint
	// isListed says that the endpoint list names it as ready or draining.
	isListed bool
	// isDisabled says that an operator took it out.
	isDisabled bool
	// attempts are this router's attempts there.
	attempts serverAttempts
	// connection is what is known of connections to it.
	connection serverConnection
	// health is how it answers (outlier.go).
	health serverHealth
	// slowStart is what it may get after a start (slow_start.go).
	slowStart serverSlowStart
	// load is what it reports and shows of its load (load_report.go, waiting_time.go).
	load serverLoad
	// model is what the placement is solved with (placement.go).
	model serverModel
}

// serverAttempts are a router's own attempts at a server.
type serverAttempts struct {
	// inFlight is the number that have not ended.
	inFlight int
	// lastSentAt is when the last was sent, ms.
	lastSentAt float64
	// work is the work sent, in units of the mean request, over workTimeConstantMillis.
	work decayingSum
}

// serverConnection is what is known of the connections to a server.
type serverConnection struct {
	// mayBeOpen says that one may have been open since the last attempt.
	mayBeOpen bool
	// rejectedAt is when the server last let none come up, ms; -Inf = never, or handled.
	rejectedAt float64
}

// serverHealth is the evidence for or against a server, and what follows from it.
type serverHealth struct {
	// acceptedShare is the EWMA of the share of attempts that it accepts.
	acceptedShare float64
	// evidence is the statistic of the test for a fault of its own; maxEvidence ejects.
	evidence float64
	// failureShare is the EWMA of the share of attempts that fail.
	failureShare float64
	// unanswered counts the signs of silence since the last reply.
	unanswered int
	// lastReplyAt is the time of the last reply, ms.
	lastReplyAt float64
	// latestAnsweredSentAt is when the latest of the answered attempts was sent, ms.
	latestAnsweredSentAt float64
	// isEjected says that it is left out for its failures.
	isEjected bool
	// probeAt is when an ejected server may get a single request as a probe (half-open), ms.
	probeAt float64
	// ejectionMillis is the pause before that, which doubles with each ejection.
	ejectionMillis float64
	// forcedProbeAt is when a request of its own keys is sent as a probe, if none was before, ms.
	forcedProbeAt float64
	// checkedAt is the time of the last health check, ms; -Inf = never.
	checkedAt float64
}

// serverSlowStart is what a server may get after a start.
type serverSlowStart struct {
	// startedAt is when it started, as far as is known, ms; -Inf = long ago.
	startedAt float64
	// budget is the number of requests of mean work that this router may send it now.
	budget slowStartBudget
}

// slowStartBudget is a number of requests as it stands at a time.
type slowStartBudget struct {
	requests  float64 // may be negative: requests of a warm server are counted too
	updatedAt float64 // ms
}

// serverLoad is what a server reports and shows of its load.
type serverLoad struct {
	// lastReport is the last report that was used.
	lastReport LoadReport
	// reportedPerSecond is its rate of requests, of all routers, by that report.
	reportedPerSecond float64
	// reportedAt is the time of that report, ms; -Inf = never.
	reportedAt float64
	// capacityPerSecond follows what it can serve; value 0 = not reported.
	capacityPerSecond trend
	// latencyPerWork follows its latency for a unit of work, ms; value 0 = not known.
	latencyPerWork trend
	// waits is the sum of the waits that it has shown, ms, over waitTimeConstantMillis.
	waits decayingSum
	// waitCount is the number of those waits.
	waitCount decayingSum
}

// serverModel is what the placement is solved with.
type serverModel struct {
	// homeShare is the share of the keys reaching the server that it is the home of, 0 to 1.
	homeShare float64
	// channels is the number of channels n_j.
	channels int
	// servicePerSecond is the rate of a channel, μ_o.
	servicePerSecond float64
	// arrivalsPerSecond is the load λ_j that is solved for so far.
	arrivalsPerSecond float64
	// othersHotPerSecond is what other routers are thought to send there of the keys that are
	// solved singly.
	othersHotPerSecond float64
}

// newServer returns the record of a server that is listed for the first time.
func newServer(now float64, isDisabled bool) *server {
	never := math.Inf(-1)
	return &server{
		isDisabled: isDisabled,
		connection: serverConnection{rejectedAt: never},
		health:     serverHealth{acceptedShare: 1, lastReplyAt: now, checkedAt: never},
		slowStart:  serverSlowStart{startedAt: never},
		load:       serverLoad{reportedAt: never},
		model:      serverModel{homeShare: 1},
	}
}

// acceptsNewWork says whether new work may go to a server, as far as the list and the operators are
// concerned.
func (s *server) acceptsNewWork() bool { return s.State == Ready && !s.isDisabled }

// attempt is one sending of a request.
type attempt struct {
	// server is where it was sent.
	server *server
	// sentAt is when, ms.
	sentAt float64
	// hasEnded says that its outcome is known.
	hasEnded bool
	// mayHaveRun says that nothing proves that it did not run.
	mayHaveRun bool
	// wasOvertaken says that it was past its patience when later ones had been answered.
	wasOvertaken bool
}

// request is a request of a client until its answer is given and its attempts have ended.
type request struct {
	Request
	// class is the class as it was when the request arrived.
	class *Class
	// maxAttempts is the number of attempts that it may have.
	maxAttempts int
	// key is its key's traffic.
	key *keyTraffic
	// deadlineAt is when the client gives up, ms.
	deadlineAt float64
	// objectiveAt is when the answer loses weight, ms.
	objectiveAt float64
	// work is its work in units of the mean request.
	work float64
	// priority is what its answer counts for.
	priority float64
	// attempts are those sent, in order.
	attempts []attempt
	// inFlight is the number of attempts that have not ended.
	inFlight int
	// askAgain is a server to prefer although it was tried: where its key was missing, or where
	// an attempt was lost.
	askAgain *server
	// waitingSince is since when it waits for the origin or for another's fetch, ms; 0 = it does
	// not.
	waitingSince float64
	// isServerFetch says that its attempt most likely has the server fetch from the origin.
	isServerFetch bool
	// isAnswered says that it has its final answer.
	isAnswered bool
}

// hasTried says whether an attempt was sent to a server.
func (r *request) hasTried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// endAttempt books the outcome of an attempt and returns it, or nil if it is not in flight.
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
