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
	Misses    int
	Cancels   int
	QueueFull int `json:"Full"`
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

// ServerSum is what the fleet did at one cache server.
type ServerSum struct {
	Capacity                  float64 // work a millisecond, warm
	Attempts, Misses, Cancels int
	MS                        float64 `json:"MS"` // duration of all hits together
	Hits                      int
}

// Quarters adds the servers up in four parts of equal number, the least capacity first: what they can do, and what they
// were sent.
func (s *Sums) Quarters() (q [4]ServerSum) {
	all := slices.SortedFunc(slices.Values(s.Servers), func(a, b ServerSum) int { return cmp.Compare(a.Capacity, b.Capacity) })
	for i, v := range all {
		to := &q[4*i/len(all)]
		to.Capacity += v.Capacity
		to.Attempts, to.Misses, to.Cancels, to.Hits = to.Attempts+v.Attempts, to.Misses+v.Misses, to.Cancels+v.Cancels, to.Hits+v.Hits
		to.MS += v.MS
	}
	return q
}

// bands are the ranks of popularity below which keys are counted together.
var bands = [...]int{10, 100, 1000, math.MaxInt}

// BandSum is what the fleet did for the keys of some ranks.
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

// Second is what the fleet did in one second.
type Second struct {
	Requests  int `json:"Asked"`
	InTime    int // of the requests that arrived in this second
	Tries     int `json:"Asks"`
	Rejected  int `json:"TurnedAway"`
	Attempts  int
	Misses    int
	Cancels   int
	QueueFull int `json:"Full"`
	Fetches   int
	Dials     int
}

// Ratio is a over b, 0 where there is no b.
func Ratio[A, B int | float64](a A, b B) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Service is the worth answered in time over the worth asked for.
func (s *Sums) Service() float64 { return Ratio(floats.Sum(s.Gained), floats.Sum(s.Worth)) }

// The parts of G: the whole day, its worst ten seconds, its worst class.
const (
	wholePart   = 0.7
	windowPart  = 0.1
	classPart   = 0.2
	worstWindow = 10 // s
)

// G mixes the service of the whole day with that of its worst ten seconds and its worst class, less the prices.
func (s *Sums) G() float64 {
	worst := 1.0
	for i := range s.Worth {
		if s.Worth[i] > 0 {
			worst = min(worst, s.Gained[i]/s.Worth[i])
		}
	}
	return wholePart*s.Service() + windowPart*s.worst() + classPart*worst - s.Price.Cross - s.Price.Waste - s.Price.Probe -
		s.Price.Dial - s.Price.Call
}

// worst is the share served in time of the worst ten seconds.
func (s *Sums) worst() float64 {
	least := 1.0
	for i := range s.Seconds {
		var asked, in int
		for _, x := range s.Seconds[i:min(len(s.Seconds), i+worstWindow)] {
			asked, in = asked+x.Requests, in+x.InTime
		}
		if i > 0 && i+worstWindow > len(s.Seconds) {
			break
		}
		if asked > 0 {
			least = min(least, Ratio(in, asked))
		}
	}
	return least
}

// Figures are what two programs are compared by, in a fixed order.
func (s *Sums) Figures() (names []string, values []float64) {
	add := func(name string, v float64) { names, values = append(names, name), append(values, v) }
	add("G", s.G())
	add("served in time", s.Service())
	add("first 5 s", s.between(0, 5))
	add("worst 10 s", s.worst())
	add("asks a request", Ratio(s.Tries, s.Requests))
	add("refused of asks", Ratio(s.Rejected, s.Tries))
	add("attempts a request", Ratio(s.Attempts, s.Requests))
	add("misses of attempts", Ratio(s.Misses, s.Attempts))
	add("cancels of attempts", Ratio(s.Cancels, s.Attempts))
	add("turned away of attempts", Ratio(s.QueueFull, s.Attempts))
	add("fetches a request", Ratio(s.Fetches, s.Requests))
	add("same key of fetches", Ratio(s.SameKey, s.Fetches))
	add("dials a request", Ratio(s.Dials, s.Requests))
	add("probes a request", Ratio(s.Probes, s.Requests))
	add("  of these for all", Ratio(s.ForAll, s.Requests))
	add("wasted work", Ratio(s.Wasted, s.Work))
	add("price of dials", s.Price.Dial)
	add("price of crossings", s.Price.Cross)
	add("price of probes", s.Price.Probe)
	add("price of waste", s.Price.Waste)
	add("price of lists", s.Price.Call)
	q := s.Quarters()
	add("load of the slow quarter by that of the quick", Ratio(Ratio(float64(q[0].Attempts), q[0].Capacity), Ratio(float64(q[3].Attempts), q[3].Capacity)))
	add("ms of a hit there", Ratio(q[0].MS, float64(q[0].Hits)))
	add("and at the quick quarter", Ratio(q[3].MS, float64(q[3].Hits)))
	add("cold servers pushed over", float64(s.Fallen))
	add("most sent to a cold server, of its bound", s.Cold.Fullest.Ratio())
	add("  by routers told of its start", s.Cold.FullestByInformed.Ratio())
	return names, values
}

// between is the share in time of what was asked in some seconds.
func (s *Sums) between(from, to int) float64 {
	var asked, in int
	for _, x := range s.Seconds[min(from, len(s.Seconds)):min(to, len(s.Seconds))] {
		asked, in = asked+x.Requests, in+x.InTime
	}
	return Ratio(in, asked)
}

// second is the count of the second of a time.
func (d *day) second(at float64) *Second {
	i := max(0, int((at-begin)/1000))
	for len(d.sums.Seconds) <= i {
		d.sums.Seconds = append(d.sums.Seconds, Second{})
	}
	return &d.sums.Seconds[i]
}

// band is the count of a key's band.
func (d *day) band(w *wish) *BandSum {
	i := 0
	for w.rank >= bands[i] {
		i++
	}
	b := &d.sums.Bands[i]
	b.RankLimit = bands[i]
	return b
}

// places sums up where the keys of the bands were asked for.
func (d *day) places() {
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
		b.at = nil // what is left compares
	}
}

// price books what the day has cost.
func (d *day) price() {
	s, p := &d.sums, d.p.Prices
	d.places()
	for len(s.Seconds) > 0 && s.Seconds[len(s.Seconds)-1].Requests == 0 { // the end, when nobody asks any more
		s.Seconds = slices.Delete(s.Seconds, len(s.Seconds)-1, len(s.Seconds))
	}
	s.Price = Prices{Cross: p.Cross * Ratio(s.Crossings, s.Requests), Waste: p.Waste * Ratio(s.Wasted, s.Work),
		Probe: p.Probe * Ratio(s.Probes, s.Requests), Dial: p.Dial * Ratio(s.Dials, s.Requests), Call: p.Call * Ratio(s.Calls, s.Requests)}
}

// MeanWithInterval gives the mean of some values and the half width of its 95% confidence interval by Student's t.
func MeanWithInterval(v []float64) (mean, half float64) {
	if len(v) == 0 {
		return 0, 0
	}
	if len(v) == 1 {
		return v[0], math.Inf(1)
	}
	mean, deviation := stat.MeanStdDev(v, nil)
	n := float64(len(v))
	return mean, quantile(n-1) * stat.StdErr(deviation, n)
}
