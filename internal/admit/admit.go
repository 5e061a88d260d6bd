// Package admit decides which requests are let in before the Balancer sees them: weighted fair shares of work among
// tenants, within fixed memory, with an honest time to come back for those that are refused. It does no I/O and has no
// clock: each call brings the time in milliseconds, and the same seed and calls lead to the same decisions.
//
// Fairness is start-time fair queueing (Goyal, Vin and Cheng, 1996) in two levels: named tenants and, as one, all others;
// and the others among themselves. The limit on concurrency follows what the fleet can take (docs/admission-design.md).
package admit

import (
	"fmt"
	"math/rand/v2"
)

// Class is a class of requests.
type Class struct {
	Name  string
	Cost  float64 // ms of work of an attempt
	First bool    // goes before others of its own tenant
}

// Tenant is a tenant that the operator names.
type Tenant struct {
	Name   string
	Weight float64 // its share against the others' weights
	Rate   float64 // requests a second that go ahead of all shares; 0 = none
	Burst  float64 // of these at once, after a time without
}

// Config is what the operator sets. Every table has a fixed size, taken at the start.
type Config struct {
	Classes      []Class
	Named        []Tenant
	OthersWeight float64 // of all tenants that are not named, together
	Flows        int     // tenants not named that are known exactly at a time
	Buckets      int     // flows that the rest is hashed into
	TurnMS       float64 // after which they are hashed anew
	Queue        int     // requests that wait, at most
	Promises     int     // times told that are remembered, at most
	MaxWaitMS    float64 // a request waits at most
	MaxAfterMS   float64 // the longest time told that clients heed
	Start        float64 // limit on concurrency to begin with, in requests of mean cost
	Least, Most  float64 // its bounds
	RetryShare   float64 // tries again as a share of first tries, where there is contention
	RetryBurst   float64
}

// Error is a setting that is missing or impossible.
type Error struct{ Setting, Reason string }

func (e *Error) Error() string { return "admission." + e.Setting + ": " + e.Reason }

// Validate names the first setting that is impossible.
func (c Config) Validate() error {
	for _, v := range []struct {
		name string
		ok   bool
		is   any
	}{
		{"classes", len(c.Classes) > 0, "(none)"}, {"others_weight", c.OthersWeight > 0, c.OthersWeight},
		{"flows", c.Flows >= 1 && c.Flows <= 1<<16, c.Flows}, {"buckets", c.Buckets >= 1 && c.Buckets <= 1<<14, c.Buckets},
		{"turn_ms", c.TurnMS > 0, c.TurnMS}, {"queue", c.Queue >= 1 && c.Queue <= 1<<16, c.Queue},
		{"promises", c.Promises >= 1 && c.Promises <= 1<<18, c.Promises}, {"max_wait_ms", c.MaxWaitMS >= 0, c.MaxWaitMS},
		{"max_after_ms", c.MaxAfterMS > 0, c.MaxAfterMS}, {"least", c.Least >= 1, c.Least}, {"most", c.Most >= c.Least, c.Most},
		{"start", c.Start >= c.Least && c.Start <= c.Most, c.Start}, {"retry_share", c.RetryShare >= 0, c.RetryShare},
	} {
		if !v.ok {
			return &Error{v.name, fmt.Sprintf("impossible value %v", v.is)}
		}
	}
	seen := map[string]bool{}
	for i, t := range c.Named {
		switch {
		case i == mostNamed:
			return &Error{"tenant", fmt.Sprintf("%d of them, %d at most", len(c.Named), mostNamed)}
		case !(t.Rate >= 0) || t.Rate > 0 && !(t.Burst >= 1):
			return &Error{fmt.Sprintf("tenant[%d]", i), "needs a rate of at least 0, and with one a burst of at least 1"}
		}
		if t.Name == "" || len(t.Name) > maxName || seen[t.Name] || !(t.Weight > 0) {
			return &Error{fmt.Sprintf("tenant[%d]", i), fmt.Sprintf("needs a name of its own of up to %d bytes and a weight above 0", maxName)}
		}
		seen[t.Name] = true
	}
	for i, k := range c.Classes {
		if !(k.Cost > 0) {
			return &Error{fmt.Sprintf("class[%d].cost", i), fmt.Sprintf("impossible value %v", k.Cost)}
		}
	}
	return nil
}

// Request is a request at the door.
type Request struct {
	ID     uint32
	Tenant string
	Class  int
	Key    uint64
	Size   int     // bytes that come with it
	Left   float64 // ms until its client gives up
	Retry  bool    // marked as a try again
}

// End is what became of a request that was let in.
type End struct {
	ID       uint32
	Served   bool
	Refused  bool    // by the Balancer, for want of room
	Latency  float64 // ms since it was let in
	Attempts int
	Work     float64 // ms that its attempts took, together
	Size     int     // bytes of the answer
}

// Host carries out what is decided, within the call that led to it. Each request gets one of the two, once.
type Host interface {
	Admit(id uint32)
	Refuse(id uint32, afterMS float64)
}

// Bounds and constants of the module.
const (
	mostNamed   = 256      // tenants that are named
	maxName     = 64       // bytes of a tenant's name that are kept
	bytesCost   = 64 << 10 // bytes that cost as much as a request of their class
	windowMS    = 200      // between two looks at the limit
	timedLeast  = 100      // answers whose mean tells of crowding
	creep       = 1e-6     // a millisecond, by which what was found to be in vain is forgotten
	dearest     = 8        // times what it was thought to cost that a request is charged at most
	largest     = 0.125    // of the limit that a request takes at most
	dry         = 0.01     // share that the Balancer may refuse after a miss, for want of the origin
	easy        = 0.33     // mean latency over the class's aim that is well: few are late at that
	tolerance   = 1.25     // times what a low limit didn't help against, where that is more
	slowness    = 1.5      // pressure for what is above
	rise        = 0.10     // of the limit in a window, times its square root and that of the tenants that want more
	mostWanting = 16       // of these that count: names that are made up would else draw work to a router
	fall        = 1.0      // fall of the limit in a window, times the pressure
	steepest    = 0.05     // fall of the limit in a window
	borne       = 0.03     // pressure that stays where the limit has fallen, from which on it is taken for one in vain
	keepMS      = 500      // for which a promise holds, beyond a quarter of the time told
	earlyMS     = 15       // by which a client may be early: clocks and the network
	repeats     = 4096     // refused requests that are remembered, to know an unmarked try again
	repeatMS    = 5000     // for which they are
	offStep     = 0.02     // of the time told: how finely it is known how far the real time was from it,
	mostOff     = 100      // and up to so many steps
	givenMS     = 1000     // over which what a flow gets is told
	leastRate   = 0.1      // of its share that a flow is thought to get at least
	newTokens   = 3        // tries again in the hands of a tenant that is not named and was not known
	leastAfter  = 20       // ms, the shortest time told
	none        = int32(-1)
)

// The lists in which a flow's requests wait, in the order in which they go.
const (
	sureList = iota // within the tenant's guaranteed rate
	firstList
	otherList
	lists
)

// flow is one tenant's state, or that of a bucket of them, or of all others together.
type flow struct {
	hash           uint64
	name           [maxName]byte
	nameLen        uint8
	used           bool // an exact flow holds a tenant
	inner          bool // stands among the others, not at the top
	weight         float64
	finish         float64      // SFQ: the tag at which what it was given ends
	head, tail     [lists]int32 // waiting requests
	waiting        int
	open           int     // requests that wait or are in work
	given, givenAt float64 // work lately given, which fades with givenMS, and when that was
	since          float64 // it has wanted more
	rate, burst    float64 // guaranteed: requests a millisecond, and at once
	sure, sureAt   float64 // of these in hand, and when that was
	backlog        float64 // cost that waits
	promised       float64 // cost that has been told to come back
	dueFrom        float64 // when the first of it is due, about
	tokens         float64 // tries again in hand
	older, newer   int32   // exact flows, by when they were last used
	count          Count
}

// Count is what became of a tenant's requests since it was known last, and how it stands.
type Count struct {
	Tenant   string  `json:"tenant"`   // "" = all that are not known by name
	Asked    uint64  `json:"asked"`    // requests at the door
	Admitted uint64  `json:"admitted"` // let in
	Refused  uint64  `json:"refused"`  // at the door, with a time
	Retries  uint64  `json:"retries"`  // of these, tries again beyond the retry budget
	Early    uint64  `json:"early"`    // of these, clients that came before the time they were told
	Left     uint64  `json:"left"`     // clients that left while they waited
	Served   uint64  `json:"served"`
	Turned   uint64  `json:"turned"`       // let in, and refused by the Balancer
	After    uint64  `json:"turned_after"` // of these, after an attempt: a miss that the origin had no room for
	Work     float64 `json:"work_ms"`      // that was let in, modelled, ms
	Waiting  int     `json:"waiting"`
	Promised float64 `json:"promised_ms"` // work that was told to come back, ms
	Weight   float64 `json:"weight"`
	Told     float64 `json:"told_ms"` // time that those refused lately were told to stay away, ms
	Share    float64 `json:"share"`   // of all work, were it to want more now
}

// node is a request that waits or is in work.
type node struct {
	id         uint32
	flow       int32
	class      int32
	next, prev int32
	cost       float64
	size       int
	key        uint64  // of tenant, key and class
	slots      float64 // in work: what it takes of the limit
	list       uint8
	queued     bool
	free       bool    // its tenant's share was free when it came
	told       float64 // it has come back as it was told, after so many ms,
	toldAt     float64 // at this time
	again      bool    // its client has tried before
}

// promise is a time that was told.
type promise struct {
	who  uint64 // tenant, key and class
	flow int32
	at   float64
	told float64 // ms, before that
	cost float64
}

type repeat struct {
	hash uint64
	at   float64
}

// level is one server of start-time fair queueing.
type level struct {
	v       float64 // virtual time
	ready   heap    // flows with something to send, by start tag,
	long    heap    // and by how much they have waiting for their weight, the most first
	weights float64 // of those that have something to send or have been promised something
}

// Admission decides for one router.
type Admission struct {
	cfg    Config
	host   Host
	salt   uint64
	rng    *rand.Rand
	now    float64
	turned float64

	flows          []flow // mostNamed of them for the named, then exact ones, buckets, and last: all others together
	named          map[string]int32
	exact          map[uint64]int32 // by tenant's hash
	oldest, newest int32
	free           []int32 // exact flows that hold no tenant
	top, in        level

	nodes   []node
	spare   []int32
	byID    map[uint32]int32
	expiry  heap    // waiting nodes, by when they are refused at the latest
	sure    heap    // flows with requests within their guaranteed rate, by when the first of these came
	sureAll float64 // their cost
	waiting int

	promises []promise
	pspare   []int32
	pfind    map[uint64]int32
	pexpiry  heap
	base     float64 // mean latency over class cost that a low limit didn't help against
	heed     float64 // share of those told to come back that do, when they were told

	seen [repeats]repeat

	returnedFree, keptFree uint64              // the same of those whose tenant's share was free then
	returned, kept         uint64              // clients that came back when they were told, and of these those let in
	offs                   [mostOff + 1]uint64 // of those, by how far the real time was from the told, in steps of offStep

	limit            float64 // in requests of mean cost
	inUse            float64
	peak             float64
	lookAt           float64
	high             float64   // of the limit, lately
	ends             int       // since the last look,
	turnedAway       int       // of these, refused by the Balancer with no attempt,
	missing          int       // and after one
	refusals, missed float64   // their shares, lately
	vain             float64   // of that, the share that a lower limit didn't help against
	timed            int       // answers since latencies were looked at last,
	stretch          float64   // the sum of their latencies over their classes' costs,
	usual            []float64 // latency by class, lately, ms
	work             []float64 // time of attempts by class, lately, ms
	wanting          float64   // tenants that want more than they have, lately
	slower           float64   // latency over class cost beyond what is well, lately
	scale            float64   // of all classes, over what they were said to cost
	mean             float64   // cost
	lat              float64   // latency of what is served, lately
	began            float64
}
