package decide

import "slices"

const (
	// trafficTimeConstantMillis is the memory of the rates of arrivals, tenants and fetches.
	trafficTimeConstantMillis = 5000
	// maxKeyTimeConstantMillis bounds the memory of key rates at a router that sees little.
	maxKeyTimeConstantMillis = 60000
	// keyMemoryArrivals is the number of arrivals that the rates of keys remember, so that one
	// router of many can tell a hot key at all.
	keyMemoryArrivals = 100
	// fadedArrivals is the number of arrivals in memory below which a key is forgotten.
	fadedArrivals = 0.02
	// meanWorkWeight is the weight of a request in the mean work of its key: over five requests.
	meanWorkWeight = 0.2
	// hintWeight is the weight of a hint in the mean hint: over a hundred requests.
	hintWeight = 0.01
	// minWork and maxWork bound a request's work in units of the mean, as hints are rough.
	minWork = 0.05
	maxWork = 50
)

// keyTable is the traffic of all keys in memory.
type keyTable struct {
	// byID finds a key's traffic.
	byID map[uint64]*keyTraffic
	// all lists the same in the order of arrival, which makes the solver deterministic.
	all []*keyTraffic
}

// keyTraffic is the traffic of a key and where its value is.
type keyTraffic struct {
	// id is the key.
	id uint64
	// arrivals counts its requests over keyTimeConstantMillis.
	arrivals decayingSum
	// meanWork is the mean work of a request.
	meanWork float64
	// hashEpoch is the number of the hash table that hashList comes from.
	hashEpoch int
	// hashList is its memento-hash list of servers.
	hashList []*server
	// copies are the servers that the solver has split it over; nil = not split.
	copies []*server
	// shares are the copies' shares of its requests, adding up to 1.
	shares []float64
	// fetch is the request that asks the origin for its value; nil = none.
	fetch *request
	// storedAt is when a fetch last came back, or the value was last found, ms; 0 = not known.
	storedAt float64
	// storedOn is the server where the value was then.
	storedOn *server
}

// channelLoad orders keys by λ_i/μ_i, but for the time constant, which is the same for all keys.
func (k *keyTraffic) channelLoad() float64 { return k.arrivals.value * k.meanWork }

// trafficOf finds the record of a request's key. A request without a key gets a random place.
func (b *Balancer) trafficOf(q Request) *keyTraffic {
	if !q.HasKey {
		return &keyTraffic{id: b.rng.Uint64(), meanWork: 1}
	}
	k := b.keys.byID[q.Key]
	if k == nil {
		k = &keyTraffic{id: q.Key, meanWork: 1}
		b.keys.byID[q.Key] = k
		b.keys.all = append(b.keys.all, k)
	}
	return k
}

// countArrival adds a request to its key's traffic.
func (b *Balancer) countArrival(k *keyTraffic, work float64) {
	k.meanWork += meanWorkWeight * (work - k.meanWork)
	k.arrivals.add(b.now, b.keyTimeConstantMillis(), 1)
}

// keyTimeConstantMillis is the memory of key rates.
func (b *Balancer) keyTimeConstantMillis() float64 {
	perSecond := b.perSecond(&b.arrivals, trafficTimeConstantMillis)
	remembered := keyMemoryArrivals * millisPerSecond / max(1, perSecond)
	return min(maxKeyTimeConstantMillis, max(trafficTimeConstantMillis, remembered))
}

// currentKeys brings all rates up to now, forgets keys that have faded, and returns the others in a
// slice of the caller's own.
func (b *Balancer) currentKeys() []*keyTraffic {
	timeConstant := b.keyTimeConstantMillis()
	b.keys.all = slices.DeleteFunc(b.keys.all, func(k *keyTraffic) bool {
		hasFaded := k.arrivals.decayTo(b.now, timeConstant) < fadedArrivals && k.fetch == nil
		if hasFaded {
			delete(b.keys.byID, k.id)
		}
		return hasFaded
	})
	return slices.Clone(b.keys.all)
}

// workOf is a request's work by its hint, in units of the mean request.
func (b *Balancer) workOf(hint float64) float64 {
	if hint <= 0 || !isUsable(hint) {
		return 1
	}
	if b.meanHint == 0 {
		b.meanHint = hint
	}
	b.meanHint += hintWeight * (hint - b.meanHint)
	return min(maxWork, max(minWork, hint/b.meanHint))
}
