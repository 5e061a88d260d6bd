package admission

import "math"

const (
	// returnRateGain is the share by which the return rate follows each client that returned or did
	// not.
	returnRateGain = 0.01
	// Errors of retry-after times are counted in steps of retryAfterErrorStep, as a share of the
	// retry-after, up to maxRetryAfterErrorSteps of them.
	retryAfterErrorStep     = 0.02
	maxRetryAfterErrorSteps = 100
	// rejectionSlots is how many rejected requests are remembered, and rejectionMillis for how long.
	rejectionSlots  = 4096
	rejectionMillis = 5000
)

// returnTracker follows the clients that were rejected with a retry-after: whether they return when
// it is over, and what becomes of them then.
type returnTracker struct {
	// rate is the share of those rejected with a retry-after that return when it is over.
	rate float64
	// returned counts clients that returned when their retry-after was over.
	returned uint64
	// returnedWithinShare counts those of them whose tenant's share was free then.
	returnedWithinShare uint64
	// returnedAdmitted counts those of returned that were admitted.
	returnedAdmitted uint64
	// admittedWithinShare counts those of returnedWithinShare that were admitted.
	admittedWithinShare uint64
	// errors counts those admitted by how far the real time was from the retry-after, in steps of
	// retryAfterErrorStep.
	errors [maxRetryAfterErrorSteps + 1]uint64
}

// recordReturn counts a client that has returned when its retry-after was over.
func (t *returnTracker) recordReturn() { t.rate += returnRateGain * (1 - t.rate) }

// recordNoReturn counts a client that has not returned.
func (t *returnTracker) recordNoReturn() { t.rate -= returnRateGain * t.rate }

// recordAdmitted counts a returned client that is admitted, actualMillis after its rejection.
func (t *returnTracker) recordAdmitted(actualMillis, retryAfterMillis float64, hadFreeShare bool) {
	t.returnedAdmitted++
	if hadFreeShare {
		t.admittedWithinShare++
	}
	steps := math.Abs(actualMillis-retryAfterMillis) / retryAfterMillis / retryAfterErrorStep
	t.errors[int(min(maxRetryAfterErrorSteps, steps))]++
}

// errorQuantile is a quantile of how far real times were from the retry-after times, as a share of
// these, to the upper end of its step.
func (t *returnTracker) errorQuantile(quantile float64) float64 {
	below := 0.0
	for i, count := range t.errors {
		below += float64(count)
		if below > 0 && below >= quantile*float64(t.returnedAdmitted) {
			return float64(i+1) * retryAfterErrorStep
		}
	}
	return 0
}

// rejection is a request that was rejected, and when.
type rejection struct {
	identity uint64 // of tenant, key and class
	at       float64
}

// rejectionMemory remembers the requests that were rejected lately, to recognise a retry that is
// not marked as one. Where two fall into one slot the later stays.
type rejectionMemory struct {
	slots [rejectionSlots]rejection
}

func (m *rejectionMemory) add(identity uint64, now float64) {
	m.slots[identity%rejectionSlots] = rejection{identity: identity, at: now}
}

// has reports whether a request was rejected lately: it is a retry, marked or not.
func (m *rejectionMemory) has(identity uint64, now float64) bool {
	r := m.slots[identity%rejectionSlots]
	return r.identity == identity && now-r.at < rejectionMillis
}
