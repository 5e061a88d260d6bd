package decide

import "math"

const millisPerSecond = 1000

// decayingSum is a sum whose terms decay exponentially with age. Divided by its time constant it is
// a rate.
type decayingSum struct {
	// value is the sum at updatedAt.
	value float64
	// updatedAt is the time of the last change, ms.
	updatedAt float64
}

// add decays the sum to the current time, adds an amount and returns the sum.
func (s *decayingSum) add(now, timeConstantMillis, amount float64) float64 {
	if now > s.updatedAt {
		if s.value != 0 {
			s.value *= math.Exp((s.updatedAt - now) / timeConstantMillis)
		}
		s.updatedAt = now
	}
	s.value += amount
	return s.value
}

// decayTo decays the sum to the current time and returns it.
func (s *decayingSum) decayTo(now, timeConstantMillis float64) float64 {
	return s.add(now, timeConstantMillis, 0)
}

// perSecond converts a sum to a rate. It corrects for the time before the first event, when nothing
// could be added.
func (b *Balancer) perSecond(s *decayingSum, timeConstantMillis float64) float64 {
	filled := b.filledShare(timeConstantMillis)
	return s.decayTo(b.now, timeConstantMillis) * millisPerSecond / timeConstantMillis / filled
}

// cachedShare is the result of filledShare for a time and a time constant.
type cachedShare struct {
	startedAt, now, timeConstantMillis float64
	share                              float64
}

// filledShare returns the share that a sum of a constant rate has reached of its final value. The last
// result is kept: the solver asks for the same one for each server.
func (b *Balancer) filledShare(timeConstantMillis float64) float64 {
	c := &b.filled
	if c.now != b.now || c.startedAt != b.startedAt || c.timeConstantMillis != timeConstantMillis {
		share := 1 - math.Exp((b.startedAt-b.now-1)/timeConstantMillis)
		*c = cachedShare{b.startedAt, b.now, timeConstantMillis, share}
	}
	return c.share
}

const (
	// floorRiseMillis is the time constant of an increasing floor. It is long compared with faults
	// that increase the value.
	floorRiseMillis = 60000
	// maxFloorStepMillis bounds the time that one sample counts for, as a sample after a long pause
	// says nothing about the pause.
	maxFloorStepMillis = 2000
	// floorFallWeight is the EWMA weight of a sample in a decreasing floor: about five samples.
	floorFallWeight = 0.2
)

// trend is an EWMA of a noisy figure, with a floor that decreases fast and increases slowly. The
// floor estimates the figure in the absence of faults.
type trend struct {
	// value is the EWMA; 0 = no sample yet.
	value float64
	// floor is the estimate of the value without faults.
	floor float64
	// updatedAt is the time of the last sample, ms.
	updatedAt float64
}

// update adds a sample with a weight from 0 to 1.
func (t *trend) update(now, sample, weight float64) {
	if t.value == 0 {
		t.value = sample
		t.floor = sample
	}
	t.value += weight * (sample - t.value)
	if t.value > t.floor {
		t.floor += (t.value - t.floor) * min(now-t.updatedAt, maxFloorStepMillis) / floorRiseMillis
	} else {
		t.floor += floorFallWeight * (t.value - t.floor)
	}
	t.updatedAt = now
}

const (
	// momentSamples is the number of samples that moments cover.
	momentSamples = 400
	// maxMomentRatio bounds X²/X̄², as a few implausible samples could increase it without limit.
	maxMomentRatio = 20
	// minSquare keeps a division finite.
	minSquare = 1e-9
)

// moments are the mean X̄ and the mean square X² of service times, in ms, over the last few hundred
// samples.
type moments struct {
	mean    float64 // X̄, ms
	square  float64 // X², ms²
	samples float64 // number of samples, momentSamples at most
}

// add adds a sample, in ms.
func (m *moments) add(sample float64) {
	m.samples = min(m.samples+1, momentSamples)
	m.mean += (sample - m.mean) / m.samples
	m.square += (sample*sample - m.square) / m.samples
}

// ratio returns X²/X̄² within bounds: 1 for constant service times, 2 for exponential ones.
func (m *moments) ratio() float64 {
	return min(maxMomentRatio, max(1, m.square/max(m.mean*m.mean, minSquare)))
}

// splitMix64 is the finalizer of the SplitMix64 generator. All routers use it as a hash of numbers,
// so that they agree.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// maxPlausibleFigure is the limit from which reported figures and hints count as implausible.
const maxPlausibleFigure = 1e9

// isPlausible reports whether a reported figure or a hint is plausible.
func isPlausible(figure float64) bool { return figure >= 0 && figure < maxPlausibleFigure }
