package admission

import "math"

const (
	// returnRateGain is the share by which the return rate follows each client that came back or did not.
	returnRateGain = 0.01
	// The errors of retry-after times are counted in steps of retryAfterErrorStep, as a share of the time told, and up to
	// maxRetryAfterErrorSteps of them.
	retryAfterErrorStep     = 0.02
	maxRetryAfterErrorSteps = 100
	// rejectionSlots is how many rejected requests are remembered, and rejectionMillis for how long.
	rejectionSlots  = 4096
	rejectionMillis = 5000
)

// returnTracker follows the clients that were rejected with a retry-after: whether they come back when they were told, and
// what becomes of them then.
type returnTracker struct {
	rate                float64 // share of those told to come back that do, when they were told
	returned            uint64  // clients that came back when they were told,
	returnedWithinShare uint64  // of these, those whose tenant's share was free then,
	returnedAdmitted    uint64  // and of the first those admitted,
	admittedWithinShare uint64  // and of the second

	// Of those admitted, by how far the real time was from the one told, in steps of retryAfterErrorStep.
	errors [maxRetryAfterErrorSteps + 1]uint64
}

// recordReturn books that a client has come back when it was told.
func (s *returnTracker) recordReturn() { s.rate += returnRateGain * (1 - s.rate) }

// recordNoReturn books that a client has not come back.
func (s *returnTracker) recordNoReturn() { s.rate -= returnRateGain * s.rate }

// recordAdmitted books that a client which came back is admitted, so many milliseconds after it was told to come after others.
func (s *returnTracker) recordAdmitted(actual, retryAfter float64, hadFreeShare bool) {
	s.returnedAdmitted++
	if hadFreeShare {
		s.admittedWithinShare++
	}
	steps := math.Abs(actual-retryAfter) / retryAfter / retryAfterErrorStep
	s.errors[int(min(maxRetryAfterErrorSteps, steps))]++
}

// errorQuantile is a quantile of how far real times were from those told, to the upper end of its step.
func (s *returnTracker) errorQuantile(quantile float64) float64 {
	below := 0.0
	for i, count := range s.errors {
		below += float64(count)
		if below > 0 && below >= quantile*float64(s.returnedAdmitted) {
			return float64(i+1) * retryAfterErrorStep
		}
	}
	return 0
}

// rejection is a request that was rejected, and when.
type rejection struct {
	identity uint64 // tenant, key and class
	at       float64
}

// rejectionMemory remembers the requests that were rejected lately, to know a retry that isn't marked as one. Where two
// fall into one slot the later stays.
type rejectionMemory struct {
	slots [rejectionSlots]rejection
}

func (m *rejectionMemory) add(identity uint64, now float64) {
	m.slots[identity%rejectionSlots] = rejection{identity, now}
}

// has tells whether a request was rejected lately: it is a retry, whatever it says of itself.
func (m *rejectionMemory) has(identity uint64, now float64) bool {
	r := m.slots[identity%rejectionSlots]
	return r.identity == identity && now-r.at < rejectionMillis
}
