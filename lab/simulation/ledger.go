package simulation

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Sums are what the whole fleet did.
type Sums struct {
	Asked, Served, InTime, Failed int            // requests of clients, their tries taken together
	Asks, Repeats                 int            // tries, and those that were not a client's first
	TurnedAway                    int            // tries that were refused
	Lost                          map[string]int // those not served in time, by how the first try ended
	ByCause                       map[string]int
	Attempts, Refusals            int // at cache servers, and connections that did not come up
	Misses, Cancels, Full         int // attempts that missed, were given up by the router, were turned away
	Fetches, SameKey              int // at the origin, and those while another of the key was out
	Dials, Probes, Crossings      int
	ForAll                        int     // of the probes, those by the one whose task it is
	Wasted, Work                  float64 // work of attempts whose answer served nobody, and work asked for
	Calls, Turned                 int     // for the list, and those that discovery turned away
	Fallen                        int     // cold servers that were pushed over
	Cold                          ColdSum // what cold servers were sent, beside what they bear
	Servers                       []ServerSum
	Bands                         [len(bands)]BandSum
	Seconds                       []Second
	Worth, Gained                 []float64 // by class
	Price                         Prices    // what each has cost, as a share of the worth
}

// ServerSum is what the fleet did at one cache server.
type ServerSum struct {
	Capacity                  float64 // work a millisecond, warm
	Attempts, Misses, Cancels int
	MS                        float64 // that its hits took, together,
	Hits                      int     // and how many they were
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
	Below                                      int // rank
	Asked, InTime, TurnedAway                  int
	Attempts, Misses, Cancels, Places, AtMains int // Places: servers that a key was asked at, over its keys; AtMains: attempts at the main one of each
	Keys                                       int
	at                                         map[uint64]map[int]int
}

// Second is what the fleet did in one second.
type Second struct {
	Asked, InTime                   int // in time: of those asked in this second
	Asks, TurnedAway                int
	Attempts, Misses, Cancels, Full int
	Fetches, Dials                  int
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
			asked, in = asked+x.Asked, in+x.InTime
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
	add("asks a request", Ratio(s.Asks, s.Asked))
	add("refused of asks", Ratio(s.TurnedAway, s.Asks))
	add("attempts a request", Ratio(s.Attempts, s.Asked))
	add("misses of attempts", Ratio(s.Misses, s.Attempts))
	add("cancels of attempts", Ratio(s.Cancels, s.Attempts))
	add("turned away of attempts", Ratio(s.Full, s.Attempts))
	add("fetches a request", Ratio(s.Fetches, s.Asked))
	add("same key of fetches", Ratio(s.SameKey, s.Fetches))
	add("dials a request", Ratio(s.Dials, s.Asked))
	add("probes a request", Ratio(s.Probes, s.Asked))
	add("  of these for all", Ratio(s.ForAll, s.Asked))
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
	add("most sent to a cold server, of its bound", s.Cold.Most.Ratio())
	add("  by routers told of its start", s.Cold.MostTold.Ratio())
	return names, values
}

// between is the share in time of what was asked in some seconds.
func (s *Sums) between(from, to int) float64 {
	var asked, in int
	for _, x := range s.Seconds[min(from, len(s.Seconds)):min(to, len(s.Seconds))] {
		asked, in = asked+x.Asked, in+x.InTime
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
	b.Below = bands[i]
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
			b.Places, b.AtMains = b.Places+len(servers), b.AtMains+most
		}
		b.at = nil // what is left compares
	}
}

// price books what the day has cost.
func (d *day) price() {
	s, p := &d.sums, d.p.Prices
	d.places()
	for len(s.Seconds) > 0 && s.Seconds[len(s.Seconds)-1].Asked == 0 { // the end, when nobody asks any more
		s.Seconds = slices.Delete(s.Seconds, len(s.Seconds)-1, len(s.Seconds))
	}
	s.Price = Prices{Cross: p.Cross * Ratio(s.Crossings, s.Asked), Waste: p.Waste * Ratio(s.Wasted, s.Work),
		Probe: p.Probe * Ratio(s.Probes, s.Asked), Dial: p.Dial * Ratio(s.Dials, s.Asked), Call: p.Call * Ratio(s.Calls, s.Asked)}
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
