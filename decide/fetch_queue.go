package decide

import (
	"cmp"
	"math"
	"slices"
)

// waitingClientCredit is how many fetches a client that had none waiting is ahead of those that always
// have.
const waitingClientCredit = 1

// Client is what the Balancer knows of one client connection. The zero value is a new one. It belongs
// to the Balancer once a request refers to it.
type Client struct {
	// fetchFinishTag is the virtual time of the fetch queue at which the client has used up the turns
	// that it has asked for.
	fetchFinishTag float64
}

// fetchQueue holds the requests that wait for a fetch slot or for another request's fetch of their
// key, in descending order of priority. Requests of one priority are in the order of their start tags
// (start-time fair queueing over the clients), and those without a client in the order of arrival.
//
// Walking the queue is dear while a client keeps it long, so it is walked only if that may resume or
// reject a request.
type fetchQueue struct {
	requests []*request
	// virtualTime is the largest start tag of the requests that have left for the origin.
	virtualTime float64
	// mustWalk is set if something about a request in the queue has changed: it was answered, its attempt
	// has ended, or the value that it waits for was stored.
	mustWalk bool
	// hasInFlight says that a request in the queue has an attempt in flight, whose end decides what it may do.
	hasInFlight bool
	// usefulUntil is the earliest time until when an answer to a request in the queue has any weight, ms.
	usefulUntil float64
}

// add adds a request at its place.
func (q *fetchQueue) add(r *request) {
	if r.Client != nil {
		r.fetchStartTag = max(r.Client.fetchFinishTag, q.virtualTime-waitingClientCredit)
		r.Client.fetchFinishTag = r.fetchStartTag + 1
	}
	if len(q.requests) == 0 {
		q.usefulUntil = math.Inf(1)
	}
	at, _ := slices.BinarySearchFunc(q.requests, r, func(queued, added *request) int {
		if compareFetchOrder(queued, added) <= 0 {
			return -1 // equal ones stay in the order of arrival
		}
		return 1
	})
	q.requests = slices.Insert(q.requests, at, r)
	if !r.IsWrite {
		r.key.waitingReads++
	}
	q.note(r)
}

// compareFetchOrder orders requests by descending priority, then by start tag.
func compareFetchOrder(p, q *request) int {
	return cmp.Or(cmp.Compare(q.priority, p.priority), cmp.Compare(p.fetchStartTag, q.fetchStartTag))
}

// note records when a request in the queue has to be looked at.
func (q *fetchQueue) note(r *request) {
	q.hasInFlight = q.hasInFlight || r.inFlight > 0
	q.usefulUntil = min(q.usefulUntil, r.usefulUntil())
}

// walk removes the requests for which resume returns true.
func (q *fetchQueue) walk(resume func(r *request) bool) {
	q.hasInFlight = false
	q.usefulUntil = math.Inf(1)
	q.requests = slices.DeleteFunc(q.requests, func(r *request) bool {
		if resume(r) {
			if !r.IsWrite {
				r.key.waitingReads--
			}
			return true
		}
		q.note(r)
		return false
	})
	q.mustWalk = false
}
