package decide

import "math"

const (
	// minRemainingMillis is the time before a client's deadline at which nothing is started any
	// more, as the answer would cross its leaving.
	minRemainingMillis = 1
	// sameDeadlineShare is how far the time of a later try may be from that of a first one to count
	// as the same.
	sameDeadlineShare = 0.02
)

// objectiveMillis is how long the answer to a new request keeps its full weight.
func (b *Balancer) objectiveMillis(c *Class, q Request) float64 {
	objective := c.LatencyObjectiveMillis + c.ObjectivePerWork*q.WorkHint
	return min(q.RemainingMillis, objective-b.waitedMillis(c, q))
}

// waitedMillis is how long the client has waited in earlier tries, as far as that shows: its
// objective counts from the first. A first try gets a part of the deadline, the same for all of a
// class; a later one that has another time left has all that is left of the deadline.
func (b *Balancer) waitedMillis(c *Class, q Request) float64 {
	if !q.IsRetry {
		b.firstTryMillis[c.Name] = q.RemainingMillis
		return 0
	}
	first := b.firstTryMillis[c.Name]
	if first == 0 || math.Abs(q.RemainingMillis-first) < sameDeadlineShare*first {
		return 0
	}
	return max(0, c.DeadlineMillis-q.RemainingMillis)
}

// usefulUntil is until when an answer counts for something, ms.
func (r *request) usefulUntil() float64 {
	if r.class.LateWeight == 0 {
		return min(r.deadlineAt, r.objectiveAt)
	}
	return r.deadlineAt
}

// isTooLate says whether no attempt that starts now can be worth anything.
func (r *request) isTooLate(now float64) bool {
	return now >= r.deadlineAt-minRemainingMillis || r.class.LateWeight == 0 && now >= r.objectiveAt
}
