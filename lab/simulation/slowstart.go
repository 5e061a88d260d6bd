package simulation

import "math"

// ColdSum holds what the whole fleet sent to servers in slow start.
type ColdSum struct {
	Starts int // servers started during the day
	// OverBound counts the windows over their bound, at most one for each process of a server.
	OverBound int `json:"Over"`
	// OverBoundByInformed counts those of OverBound with more than informedShare of their work from informed routers.
	OverBoundByInformed int `json:"Broken"`
	// Fullest is the window with the highest load relative to its bound.
	Fullest ColdWindow `json:"Most"`
	// FullestByInformed is the same, counting only the work from routers that knew of the start.
	FullestByInformed ColdWindow `json:"MostTold"`
}

// ColdWindow is a window of OverloadMillis at one server in slow start. Requests are counted by their work,
// in units of the mean work.
type ColdWindow struct {
	Sent float64 // all that arrived, probes included
	// SentByInformed is the part of Sent from routers that knew of the start.
	SentByInformed float64 `json:"Told"`
	// Allowed is N: OverloadFactor times the server's true capacity at the end of the window.
	Allowed   float64
	AgeMillis float64 // age of the server's process at the end of the window
}

// Bound returns what a cold server can take in a window: Allowed plus two standard deviations of a Poisson
// count of that mean, plus 2.
func (w ColdWindow) Bound() float64 { return w.Allowed + 2*math.Sqrt(w.Allowed) + 2 }

// Ratio returns Sent relative to the bound.
func (w ColdWindow) Ratio() float64 { return Quotient(w.Sent, w.Bound()) }

// coldArrival is work that reached a server in slow start, in units of the mean work.
type coldArrival struct {
	at, requests float64
	isInformed   bool
}

// coldWindow holds the arrivals of the last OverloadMillis at one process of a server.
type coldWindow struct {
	incarnation int
	arrivals    []coldArrival
	isOver      bool // it has exceeded the bound
}

// recordCold counts work from a router that reaches a server, if the server is in slow start.
func (d *day) recordCold(v *machine, from *router, work float64) {
	if v.isOrigin || v.startedAt == 0 || v.serverModel.Warmth() >= 1 {
		return
	}
	window := d.coldWindows[v]
	if window == nil || window.incarnation != v.incarnation {
		window = &coldWindow{incarnation: v.incarnation}
		d.coldWindows[v] = window
	}
	cfg := &d.params.Config
	window.arrivals = append(window.arrivals,
		coldArrival{d.now, work / d.params.Work, from.knownStarts[v.id] >= v.startedAt})
	for window.arrivals[0].at <= d.now-cfg.OverloadMillis {
		window.arrivals = window.arrivals[1:]
	}
	seen := ColdWindow{Allowed: cfg.OverloadFactor * v.serverModel.Capacity() * cfg.OverloadMillis / d.params.Work,
		AgeMillis: d.now - v.startedAt}
	for _, arrival := range window.arrivals {
		seen.Sent += arrival.requests
		if arrival.isInformed {
			seen.SentByInformed += arrival.requests
		}
	}
	if seen.Ratio() > 1 && !window.isOver {
		window.isOver = true
		d.sums.Cold.OverBound++
		d.sums.Cold.OverBoundByInformed += boolToInt(seen.SentByInformed > informedShare*seen.Sent)
	}
	d.sums.Cold.add(seen)
}

// informedShare is the share of the work in a window above which its overload is attributed to the routers
// that knew of the start.
const informedShare = 2.0 / 3

// add keeps a window if its ratio is higher than those before.
func (c *ColdSum) add(seen ColdWindow) {
	if seen.Ratio() > c.Fullest.Ratio() {
		c.Fullest = seen
	}
	seen.Sent = seen.SentByInformed
	if seen.Ratio() > c.FullestByInformed.Ratio() {
		c.FullestByInformed = seen
	}
}
