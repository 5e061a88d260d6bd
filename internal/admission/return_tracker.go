package admission

import "math"

const (
	// returnRateGain is the gain of the return rate, which is updated for each client that returned
	// or did not.
	returnRateGain = 0.01
	// The relative errors of retry-after times are counted in a histogram with bins of
	// retryAfterErrorStep; maxRetryAfterErrorSteps is the index of the last bin.
	retryAfterErrorStep     = 0.02
	maxRetryAfterErrorSteps = 100
	// rejectionSlots is the number of slots for rejected requests, and rejectionMillis is how long
	// each is remembered.
	rejectionSlots  = 4096
	rejectionMillis = 5000
)

// returnTracker measures whether clients that were rejected with a retry-after return when it is
// over, and whether their requests are admitted then.
type returnTracker struct {
	// rate is the share of clients rejected with a retry-after that return when it is over.
	rate float64
	// returned counts the clients that returned when their retry-after was over.
	returned uint64
	// returnedWithinShare counts those of returned whose tenant's share was free at the time.
	returnedWithinShare uint64
	// returnedAdmitted counts those of returned that were admitted.
	returnedAdmitted uint64
	// admittedWithinShare counts those of returnedWithinShare that were admitted.
	admittedWithinShare uint64
	// errors is a histogram of the differences between the actual time until admission and the
	// retry-after, as a share of the retry-after, in steps of retryAfterErrorStep.
	errors [maxRetryAfterErrorSteps + 1]uint64
}

// recordReturn updates the return rate with a client that returned when its retry-after was over.
func (t *returnTracker) recordReturn() { t.rate += returnRateGain * (1 - t.rate) }

// recordNoReturn updates the return rate with a client that has not returned.
func (t *returnTracker) recordNoReturn() { t.rate -= returnRateGain * t.rate }

// recordAdmitted counts a returned client that was admitted actualMillis after its rejection.
func (t *returnTracker) recordAdmitted(actualMillis, retryAfterMillis float64, hadFreeShare bool) {
	t.returnedAdmitted++
	if hadFreeShare {
		t.admittedWithinShare++
	}
	steps := math.Abs(actualMillis-retryAfterMillis) / retryAfterMillis / retryAfterErrorStep
	t.errors[int(min(maxRetryAfterErrorSteps, steps))]++
}

// errorQuantile returns a quantile of the relative errors of retry-after times, rounded up to the
// end of its histogram bin.
func (t *returnTracker) errorQuantile(quantile float64) float64 {
	cumulative := 0.0
	for i, count := range t.errors {
		cumulative += float64(count)
		if cumulative > 0 && cumulative >= quantile*float64(t.returnedAdmitted) {
			return float64(i+1) * retryAfterErrorStep
		}
	}
	return 0
}

// rejection is a rejected request and the time of its rejection.
type rejection struct {
	identity uint64 // of tenant, key and class
	at       float64
}

// rejectionMemory stores the recently rejected requests, to recognize a retry that is not marked as
// one. If two requests share a slot, the later one replaces the earlier one.
type rejectionMemory struct {
	slots [rejectionSlots]rejection
}

func (m *rejectionMemory) add(identity uint64, now float64) {
	m.slots[identity%rejectionSlots] = rejection{identity: identity, at: now}
}

// has reports whether a request was rejected recently, in which case it is a retry even if it is
// not marked as one.
func (m *rejectionMemory) has(identity uint64, now float64) bool {
	r := m.slots[identity%rejectionSlots]
	return r.identity == identity && now-r.at < rejectionMillis
}
