package decide

import "math"

const (
	// minRemainingMillis is the time before a client's deadline at which no attempt is started any
	// more, as the client may have left before the answer arrives.
	minRemainingMillis = 1
	// sameDeadlineShare is the relative difference up to which the remaining times of a first and a
	// later try count as equal.
	sameDeadlineShare = 0.02
)

// objectiveMillis returns for how long the answer to a new request keeps its full weight.
func (b *Balancer) objectiveMillis(c *Class, q Request) float64 {
	objective := c.LatencyObjectiveMillis + c.ObjectivePerWork*q.WorkHint
	return min(q.RemainingMillis, objective-b.waitedMillis(c, q))
}

// waitedMillis estimates how long the client has waited in earlier tries, as its objective counts
// from the first one. A first try is given a part of the deadline, the same for all of a class. A
// retry with another remaining time is given all that remains of the deadline.
func (b *Balancer) waitedMillis(c *Class, q Request) float64 {
	if !q.IsRetry {
		b.firstTryRemainingMillis[c.Name] = q.RemainingMillis
		return 0
	}
	firstMillis := b.firstTryRemainingMillis[c.Name]
	if firstMillis == 0 || math.Abs(q.RemainingMillis-firstMillis) < sameDeadlineShare*firstMillis {
		return 0
	}
	return max(0, c.DeadlineMillis-q.RemainingMillis)
}

// usefulUntil returns until when an answer has any weight, ms.
func (r *request) usefulUntil() float64 {
	if r.class.LateWeight == 0 {
		return min(r.deadlineAt, r.objectiveAt)
	}
	return r.deadlineAt
}

// isTooLate reports whether no attempt that starts now can be in time.
func (r *request) isTooLate(now float64) bool {
	return now >= r.deadlineAt-minRemainingMillis || r.class.LateWeight == 0 && now >= r.objectiveAt
}
