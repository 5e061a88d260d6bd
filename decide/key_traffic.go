package decide

import "container/list"

const (
	// trafficTimeConstantMillis is the time constant of the rates of arrivals, tenants and fetches.
	trafficTimeConstantMillis = 5000
	// maxKeyTimeConstantMillis is the longest time constant of key rates, at a router with few
	// requests.
	maxKeyTimeConstantMillis = 60000
	// keyMemoryArrivals is the number of arrivals that the time constant of key rates covers, so
	// that one of many routers sees enough requests to detect a hot key.
	keyMemoryArrivals = 100
	// minRememberedArrivals is the decayed number of arrivals below which a key is forgotten.
	minRememberedArrivals = 0.02
	// meanWorkWeight is the EWMA weight of a request in the mean work of its key: about five
	// requests.
	meanWorkWeight = 0.2
	// hintWeight is the EWMA weight of a hint in the mean hint: about a hundred requests.
	hintWeight = 0.01
	// minWork and maxWork bound a request's work in units of the mean, as hints are inaccurate.
	minWork = 0.05
	maxWork = 50
)

// keyTraffic holds the traffic of a key and the location of its value.
type keyTraffic struct {
	// id is the key.
	id uint64
	// sequence numbers the keys in the order of their first requests.
	sequence uint64
	// element is the key's place in a segment of the table, and isFrequent says in which; they belong to
	// the table.
	element    *list.Element
	isFrequent bool
	// arrivals counts the key's requests over keyTimeConstantMillis.
	arrivals decayingSum
	// meanWork is the mean work of a request.
	meanWork float64
	// hashEpoch is the version of the hash table that hashList was made from.
	hashEpoch int
	// hashList is the key's memento-hash list of servers.
	hashList []*server
	// copies are the servers that the solver has split the key over; nil = not split.
	copies []*server
	// shares are the copies' shares of the key's requests. They add up to 1.
	shares []float64
	// fetch is the request that fetches the value from the origin; nil = none.
	fetch *request
	// waitingReads is the number of reads in the fetch queue.
	waitingReads int
	// storedAt is when the value was last fetched or found on a server, ms; 0 = unknown.
	storedAt float64
	// storedOn is the server that had the value then.
	storedOn *server
}

// channelLoad orders keys by λ_i/μ_i. It omits the time constant, which all keys have in common.
func (k *keyTraffic) channelLoad() float64 { return k.arrivals.value * k.meanWork }

// trafficOf returns the record of a request's key. A request without a key gets a random one.
func (b *Balancer) trafficOf(q Request) *keyTraffic {
	if !q.HasKey {
		return &keyTraffic{id: b.rng.Uint64(), meanWork: 1}
	}
	return b.keys.find(q.Key)
}

// countArrival adds a request to the traffic of its key.
func (b *Balancer) countArrival(k *keyTraffic, work float64) {
	k.meanWork += meanWorkWeight * (work - k.meanWork)
	k.arrivals.add(b.now, b.keyTimeConstantMillis(), 1)
}

// keyTimeConstantMillis returns the time constant of key rates.
func (b *Balancer) keyTimeConstantMillis() float64 {
	perSecond := b.perSecond(&b.arrivals, trafficTimeConstantMillis)
	memoryMillis := keyMemoryArrivals * millisPerSecond / max(1, perSecond)
	return min(maxKeyTimeConstantMillis, max(trafficTimeConstantMillis, memoryMillis))
}

// forEachKey decays all rates to the current time, forgets keys with hardly any traffic, and calls do
// with each of the others.
func (b *Balancer) forEachKey(do func(k *keyTraffic)) {
	timeConstant := b.keyTimeConstantMillis()
	b.keys.forEach(func(k *keyTraffic) {
		if k.arrivals.decayTo(b.now, timeConstant) < minRememberedArrivals && k.fetch == nil {
			b.keys.remove(k)
			return
		}
		do(k)
	})
}

// workOf returns a request's work according to its hint, in units of the mean request.
func (b *Balancer) workOf(hint float64) float64 {
	if hint <= 0 || !isPlausible(hint) {
		return 1
	}
	if b.meanHint == 0 {
		b.meanHint = hint
	}
	b.meanHint += hintWeight * (hint - b.meanHint)
	return min(maxWork, max(minWork, hint/b.meanHint))
}
