package simulation

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Sums holds the counts of a day over the whole fleet. Fields are written as JSON under the names
// in their tags.
type Sums struct {
	// Client requests, with the tries of each taken together.
	Requests int `json:"Asked"`
	Served   int
	InTime   int
	Failed   int
	// Tries, and those that were not the first of their client request.
	Tries   int `json:"Asks"`
	Retries int `json:"Repeats"`
	// Rejected counts the tries that a router rejected.
	Rejected int `json:"TurnedAway"`
	// NotInTimeByOutcome counts the requests not served in time, by how their first try ended.
	NotInTimeByOutcome map[string]int `json:"Lost"`
	// RejectedByCause counts the rejected tries by the cause that the decision module gives.
	RejectedByCause map[string]int `json:"ByCause"`
	// Attempts at cache servers, and connections that were not established.
	Attempts int
	Refusals int `json:"Refusals"`
	// Attempts that missed, were canceled by the router, and found a full queue.
	Misses            int
	Cancels           int
	QueueFullAttempts int `json:"Full"`
	// Fetches from the origin, and those while another fetch of the same key was in flight.
	Fetches int
	SameKey int `json:"SameKey"`
	Dials   int
	Probes  int
	// Crossings counts the attempts at servers of another zone.
	Crossings int `json:"Crossings"`
	// ForAll counts the probes whose result is shared with all routers.
	ForAll int `json:"ForAll"`
	// Work of attempts whose answer was not used, and work of all client requests.
	Wasted float64 `json:"Wasted"`
	Work   float64 `json:"Work"`
	// Calls of discovery for the endpoint list, and those that discovery rejected.
	Calls  int `json:"Calls"`
	Turned int `json:"Turned"`
	// Fallen counts the cold servers that were overloaded until they collapsed.
	Fallen int `json:"Fallen"`
	// Cold compares what servers in slow start received with what they can take.
	Cold    ColdSum
	Servers []ServerSum
	Bands   [len(bands)]BandSum
	Seconds []Second
	// Priority weight of all requests, and of those served in time, by class.
	Worth  []float64 `json:"Worth"`
	Gained []float64 `json:"Gained"`
	// Price holds what each kind of overhead cost, as a share of the priority weight of all requests.
	Price Prices
}

// ServerSum holds the counts of one cache server over all routers.
type ServerSum struct {
	Capacity                  float64 // work per millisecond of the warm server
	Attempts, Misses, Cancels int
	MS                        float64 `json:"MS"` // duration of all hits together
	Hits                      int
}

// CapacityQuarters groups the servers by ascending capacity into four quarters of equal number and sums up each
// quarter.
func (s *Sums) CapacityQuarters() (q [4]ServerSum) {
	all := slices.SortedFunc(slices.Values(s.Servers), func(a, b ServerSum) int {
		return cmp.Compare(a.Capacity, b.Capacity)
	})
	for i, v := range all {
		to := &q[4*i/len(all)]
		to.Capacity += v.Capacity
		to.Attempts, to.Misses, to.Cancels, to.Hits = to.Attempts+v.Attempts, to.Misses+v.Misses,
			to.Cancels+v.Cancels, to.Hits+v.Hits
		to.MS += v.MS
	}
	return q
}

// bands are the upper bounds of the popularity ranks that are counted together.
var bands = [...]int{10, 100, 1000, math.MaxInt}

// BandSum holds the counts of the keys in a band of popularity ranks.
type BandSum struct {
	RankLimit int `json:"Below"` // upper bound of the ranks, exclusive
	Requests  int `json:"Asked"`
	InTime    int
	Rejected  int `json:"TurnedAway"`
	Attempts  int
	Misses    int
	Cancels   int
	// ServersTried counts the servers that received attempts for a key, summed over the keys.
	ServersTried int `json:"Places"`
	// AtMainServer counts the attempts at the server of each key that received most of its attempts.
	AtMainServer int `json:"AtMains"`
	Keys         int
	at           map[uint64]map[int]int
}

// Second holds the counts of one second over the whole fleet.
type Second struct {
	Requests          int `json:"Asked"`
	InTime            int // of the requests that arrived in this second
	Tries             int `json:"Asks"`
	Rejected          int `json:"TurnedAway"`
	Attempts          int
	Misses            int
	Cancels           int
	QueueFullAttempts int `json:"Full"`
	Fetches           int
	Dials             int
}

// Quotient returns a/b, or 0 if b is 0.
func Quotient[A, B int | float64](a A, b B) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Service returns the share of the priority weight of all requests that was served in time.
func (s *Sums) Service() float64 { return Quotient(floats.Sum(s.Gained), floats.Sum(s.Worth)) }

// Weights of the whole day, of its worst ten seconds and of its worst class in the score G, and the length of the
// window for the worst ten seconds.
const (
	wholeDayWeight     = 0.7
	worstWindowWeight  = 0.1
	worstClassWeight   = 0.2
	worstWindowSeconds = 10 // s
)

// Score returns the score of the day: the weighted service of the whole day, of its worst ten seconds and of
// its worst class, less the prices.
func (s *Sums) Score() float64 {
	worst := 1.0
	for i := range s.Worth {
		if s.Worth[i] > 0 {
			worst = min(worst, s.Gained[i]/s.Worth[i])
		}
	}
	return wholeDayWeight*s.Service() + worstWindowWeight*s.worstWindowShare() + worstClassWeight*worst -
		s.Price.Cross - s.Price.Waste - s.Price.Probe - s.Price.Dial - s.Price.Call
}

// worstWindowShare returns the lowest share of requests served in time over ten consecutive seconds.
func (s *Sums) worstWindowShare() float64 {
	least := 1.0
	for i := range s.Seconds {
		var asked, in int
		for _, x := range s.Seconds[i:min(len(s.Seconds), i+worstWindowSeconds)] {
			asked, in = asked+x.Requests, in+x.InTime
		}
		if i > 0 && i+worstWindowSeconds > len(s.Seconds) {
			break
		}
		if asked > 0 {
			least = min(least, Quotient(in, asked))
		}
	}
	return least
}

// Figures returns the figures by which two builds are compared, in a fixed order.
func (s *Sums) Figures() (names []string, values []float64) {
	add := func(name string, v float64) { names, values = append(names, name), append(values, v) }
	add("G", s.Score())
	add("served in time", s.Service())
	add("first 5 s", s.shareBetween(0, 5))
	add("worst 10 s", s.worstWindowShare())
	add("asks a request", Quotient(s.Tries, s.Requests))
	add("refused of asks", Quotient(s.Rejected, s.Tries))
	add("attempts a request", Quotient(s.Attempts, s.Requests))
	add("misses of attempts", Quotient(s.Misses, s.Attempts))
	add("cancels of attempts", Quotient(s.Cancels, s.Attempts))
	add("turned away of attempts", Quotient(s.QueueFullAttempts, s.Attempts))
	add("fetches a request", Quotient(s.Fetches, s.Requests))
	add("same key of fetches", Quotient(s.SameKey, s.Fetches))
	add("dials a request", Quotient(s.Dials, s.Requests))
	add("probes a request", Quotient(s.Probes, s.Requests))
	add("  of these for all", Quotient(s.ForAll, s.Requests))
	add("wasted work", Quotient(s.Wasted, s.Work))
	add("price of dials", s.Price.Dial)
	add("price of crossings", s.Price.Cross)
	add("price of probes", s.Price.Probe)
	add("price of waste", s.Price.Waste)
	add("price of lists", s.Price.Call)
	q := s.CapacityQuarters()
	add("load of the slow quarter by that of the quick",
		Quotient(Quotient(float64(q[0].Attempts), q[0].Capacity), Quotient(float64(q[3].Attempts), q[3].Capacity)))
	add("ms of a hit there", Quotient(q[0].MS, float64(q[0].Hits)))
	add("and at the quick quarter", Quotient(q[3].MS, float64(q[3].Hits)))
	add("cold servers pushed over", float64(s.Fallen))
	add("most sent to a cold server, of its bound", s.Cold.Fullest.Ratio())
	add("  by routers told of its start", s.Cold.FullestByInformed.Ratio())
	return names, values
}

// shareBetween returns the share served in time of the requests that arrived in the seconds from up to, but
// not including, to.
func (s *Sums) shareBetween(from, to int) float64 {
	var asked, in int
	for _, x := range s.Seconds[min(from, len(s.Seconds)):min(to, len(s.Seconds))] {
		asked, in = asked+x.Requests, in+x.InTime
	}
	return Quotient(in, asked)
}

// secondAt returns the counts of the second that contains a time.
func (d *day) secondAt(at float64) *Second {
	i := max(0, int((at-dayStart)/1000))
	for len(d.sums.Seconds) <= i {
		d.sums.Seconds = append(d.sums.Seconds, Second{})
	}
	return &d.sums.Seconds[i]
}

// bandOf returns the counts of the band of the request's key.
func (d *day) bandOf(w *clientRequest) *BandSum {
	i := 0
	for w.rank >= bands[i] {
		i++
	}
	b := &d.sums.Bands[i]
	b.RankLimit = bands[i]
	return b
}

// sumBands computes the counts of servers for the keys of each band.
func (d *day) sumBands() {
	for i := range d.sums.Bands {
		b := &d.sums.Bands[i]
		b.Keys = len(b.at)
		for _, servers := range b.at {
			most := 0
			for _, n := range servers {
				most = max(most, n)
			}
			b.ServersTried, b.AtMainServer = b.ServersTried+len(servers), b.AtMainServer+most
		}
		b.at = nil // so that equal days compare as equal
	}
}

// computePrices sets the prices of the day, after it has removed the trailing seconds without requests.
func (d *day) computePrices() {
	s, p := &d.sums, d.params.Prices
	d.sumBands()
	for len(s.Seconds) > 0 && s.Seconds[len(s.Seconds)-1].Requests == 0 {
		s.Seconds = slices.Delete(s.Seconds, len(s.Seconds)-1, len(s.Seconds))
	}
	s.Price = Prices{Cross: p.Cross * Quotient(s.Crossings, s.Requests), Waste: p.Waste * Quotient(s.Wasted, s.Work),
		Probe: p.Probe * Quotient(s.Probes, s.Requests), Dial: p.Dial * Quotient(s.Dials, s.Requests),
		Call: p.Call * Quotient(s.Calls, s.Requests)}
}

// MeanWithInterval returns the mean of the values and the half width of its 95% confidence interval
// by Student's t. The half width is infinite for a single value.
func MeanWithInterval(v []float64) (mean, half float64) {
	if len(v) == 0 {
		return 0, 0
	}
	if len(v) == 1 {
		return v[0], math.Inf(1)
	}
	mean, deviation := stat.MeanStdDev(v, nil)
	n := float64(len(v))
	return mean, studentQuantile(n-1) * stat.StdErr(deviation, n)
}
