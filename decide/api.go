// Package decide makes a router's decisions: which cache server gets a request, when to try again, when to
// refuse. This file is its interface; the files under policy in the
// deploy file hold every decision.
//
// A Balancer is one router's share of the work. It has no goroutines and no clock: the router calls one method
// per event, each with the time in milliseconds, and the Balancer answers by calling its Host, always before the
// method returns. All times are float64 milliseconds on one clock that never runs backwards.
package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Effect says whether a request may run more than once.
type Effect int

// The effects that a class of requests can have.
const (
	Idempotent      Effect = iota // safe to repeat
	IdempotentByKey               // carries a key by which a group of servers drops repeats for a while
	NotIdempotent                 // must never run twice
)

// Class describes one class of requests.
type Class struct {
	Name                    string
	Effect                  Effect
	IdempotencyScope        string  // Keyed: servers that drop repeats together: "all", "zone" or "cell"
	IdempotencyWindowMillis float64 // Keyed: how long they remember, from the send of the first attempt that may have run
	LatencyObjectiveMillis  float64 // an answer within this time has its full worth
	ObjectivePerWork        float64 // the aim grows by this multiple of the request's own work
	DeadlineMillis          float64 // a client waits this long over all its tries
	PriorityWeight          float64
	LateWeight              float64 // share of the worth left after the aim
	IsStream                bool
}

// Tenant is one of the parties sharing the service.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests a second over all routers that count in full
}

// Config is what a router is told at its start.
type Config struct {
	Routers, RouterIndex int // how many routers there are, and this one's number
	Zone                 string
	Classes              []Class
	Tenants              []Tenant
	OverQuotaWeight      float64 // share of the worth of a request beyond its tenant's quota
	WeightByWork         bool    // worth is counted for each unit of work, else for each request

	CacheAside bool   // a miss comes back and the router asks the origin; else servers fetch by themselves
	OriginKind string // aside: the kind of the listed server that is the origin

	SizesAreLoads       bool // listed sizes are load figures that change from list to list
	LoadByHealthCheck   bool // loads are reported in probe results only
	PollEndpoints       bool // the list is sent only to routers that ask for it
	PollWithinMillis    float64
	HealthChecks        bool
	GossipAllowed       bool
	CancelAllowed       bool
	HedgingAllowed      bool // a second attempt may run beside the first
	SendRetryAfter      bool // clients are told how long to stay away
	MaxRetryAfterMillis float64
	MaxAttempts         int
	IdleTimeoutMillis   float64 // idle connections close by themselves after this; 0 = not told, and none is closed sooner
	CPUMicrosPerSecond  float64 // microseconds of CPU a second, 0 = no limit

	SlowStartMillis       float64 // a started server is warm after this time at the latest
	SlowStartInitialShare float64 // and starts with this share of its capacity at least
	OverloadFactor        float64 // sent more than this multiple of its capacity
	OverloadMillis        float64 // for this long, a cold server falls over
}

// State is what the list says of a server.
type State int

// The states of a listed server.
const (
	Ready State = iota
	Draining
	Removed
)

// Endpoint is one server on the list.
type Endpoint struct {
	ID        uint32  `json:"ID"`
	State     State   `json:"State"`
	StartedAt float64 `json:"Started"` // time of the last start; 0 = long ago
	Size      float64 `json:"Size"`
	Zone      string  `json:"Zone"`
	Cell      int     `json:"Cell"`
	Kind      string  `json:"Kind"`
}

// EndpointUpdateKind says what a list update holds.
type EndpointUpdateKind int

// The kinds of list updates.
const (
	ChangedEndpoints  EndpointUpdateKind = iota // changed entries only
	AllEndpoints                                // the whole list
	RestoredEndpoints                           // the whole list as this router last held it
	WatchFailed                                 // the call for a list failed or the subscription broke
)

// Request is one request of a client. The Balancer owes it exactly one final answer.
type Request struct {
	ID                   uint32
	Class                string
	Tenant               string
	Key                  uint64
	HasKey               bool
	RemainingMillis      float64 // time until the client gives this try up
	WorkHint             float64 // expected work; 0 = unknown
	SizeBytes            float64 // bytes; 0 = unknown
	IsRetry              bool
	IsWrite              bool
	ClassAtArrival       *Class // the class as it was when the request came, and
	MaxAttemptsAtArrival int    // how many attempts it had then, where the request has waited; nil = as the settings are
}

// AttemptStatus is how an attempt or a probe ended.
type AttemptStatus int

// The ways an attempt can end.
const (
	OK AttemptStatus = iota
	Failed
	QueueFull
	Timeout
	ConnectError
	Reset
	Cancelled
	Unprocessed
	Miss
	MalformedResponse // an answer that can't be used: the attempt has run, and the server is at work
)

// NeverRan reports whether the status proves that the attempt did not run.
func (s AttemptStatus) NeverRan() bool {
	return s == QueueFull || s == ConnectError || s == Unprocessed || s == Miss
}

// tells reports whether the status says something of the server, rather than of the router's own doings.
func (s AttemptStatus) tells() bool { return s != Cancelled && s != Unprocessed }

// LoadReport is a server's report of its load; a figure below 0 or not finite is absent.
type LoadReport struct {
	RequestsPerSecond float64 `json:"QPS"`
	ErrorsPerSecond   float64 `json:"EPS"`
	Utilization       float64 `json:"Util"`
	Inflight          float64 `json:"Inflight"`
	LatencyMillis     float64 `json:"Latency"`
}

// NoLoadReport is a report without figures.
var NoLoadReport = LoadReport{-1, -1, -1, -1, -1}

// Outcome is the end of one attempt.
type Outcome struct {
	RequestID     uint32
	Attempt       int
	ServerID      uint32
	Status        AttemptStatus
	LatencyMillis float64
	IsFinal       bool // the request has its final answer
	Note          int  // 1 hit, 2 fetched or miss, 3 miss while another fetch of the key is out
	Load          LoadReport
}

// Host carries out the actions of a Balancer. Attempts of a request are numbered from 0 in the order of Send.
type Host interface {
	Send(id, server uint32, timeout float64) // timeout 0 = until the client gives up
	Cancel(id uint32, attempt int)
	Reject(id uint32, wait float64) // final: trying again is harmless
	Fail(id uint32)                 // final: no promise
	HealthCheck(server uint32)
	CloseIdle(server uint32)              // closes the idle connections to a server
	SetTimer(after float64, token uint64) // calls Balancer.Timer with the token
	WatchEndpoints()                      // asks for changes of the list from now on
	Gossip(data []byte)                   // sends at most 256 bytes to every peer
	Log(text string)
}

// ClassNames lists the classes.
func (c *Config) ClassNames() (names []string) {
	for _, k := range c.Classes {
		names = append(names, k.Name)
	}
	return names
}

// SettingError names a setting that is missing or impossible.
type SettingError struct {
	Field string // of Config, or of the entry of a list
	List  string // "Classes", "Tenants" or "",
	At    int    // the entry's place in it,
	Entry string // and its name
	Value any
}

func (e *SettingError) Error() string {
	name := e.Field
	if e.List != "" {
		name = fmt.Sprintf("%s[%s].%s", e.List, e.Entry, e.Field)
	}
	return fmt.Sprintf("decide: setting %s: impossible value %v", name, e.Value)
}

// Validate reports the first setting that is missing or impossible, as a *SettingError.
func (c *Config) Validate() error {
	bad := func(name string, v any) error { return &SettingError{Field: name, Value: v} }
	pos := func(v float64) bool { return v > 0 && !math.IsInf(v, 1) }
	nonneg := func(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
	switch {
	case c.Routers < 1:
		return bad("Routers", c.Routers)
	case c.RouterIndex < 0 || c.RouterIndex >= c.Routers:
		return bad("Me", c.RouterIndex)
	case len(c.Classes) == 0:
		return bad("Classes", "(none)")
	case c.MaxAttempts < 1:
		return bad("MaxAttempts", c.MaxAttempts)
	case !nonneg(c.SlowStartMillis):
		return bad("Cold", c.SlowStartMillis)
	case !(c.SlowStartInitialShare > 0 && c.SlowStartInitialShare <= 1):
		return bad("ColdFrom", c.SlowStartInitialShare)
	case !pos(c.OverloadFactor):
		return bad("FallMult", c.OverloadFactor)
	case !pos(c.OverloadMillis):
		return bad("FallFor", c.OverloadMillis)
	case !nonneg(c.IdleTimeoutMillis):
		return bad("ConnIdle", c.IdleTimeoutMillis)
	case !nonneg(c.CPUMicrosPerSecond):
		return bad("CPU", c.CPUMicrosPerSecond)
	case !nonneg(c.OverQuotaWeight):
		return bad("OverWorth", c.OverQuotaWeight)
	case c.CacheAside && c.OriginKind == "":
		return bad("OriginKind", "(none)")
	}
	for i, k := range c.Classes {
		bad := func(field string, v any) error { return &SettingError{field, "Classes", i, k.Name, v} }
		switch {
		case k.Name == "":
			return bad("Name", "(none)")
		case !pos(k.LatencyObjectiveMillis):
			return bad("Aim", k.LatencyObjectiveMillis)
		case !pos(k.DeadlineMillis):
			return bad("Deadline", k.DeadlineMillis)
		case !nonneg(k.PriorityWeight):
			return bad("Worth", k.PriorityWeight)
		case !nonneg(k.ObjectivePerWork):
			return bad("Stretch", k.ObjectivePerWork)
		case k.Effect < Idempotent || k.Effect > NotIdempotent:
			return bad("Effect", k.Effect)
		case k.Effect == IdempotentByKey && !nonneg(k.IdempotencyWindowMillis):
			return bad("Window", k.IdempotencyWindowMillis)
		case k.Effect == IdempotentByKey && k.IdempotencyScope != "all" && k.IdempotencyScope != "zone" && k.IdempotencyScope != "cell":
			return bad("Scope", k.IdempotencyScope)
		}
	}
	for i, t := range c.Tenants {
		if t.Name == "" || !nonneg(t.QuotaPerSecond) {
			return &SettingError{"Quota", "Tenants", i, t.Name, t.QuotaPerSecond}
		}
	}
	return nil
}

// GossipReceived takes a message of another router. Routers tell each other nothing yet.
func (b *Balancer) GossipReceived(now float64, _ int, _ []byte) { b.begin(now) }

// New returns a Balancer for the settings, or an error that names the setting that is missing or impossible.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	// A fetch at each router at least to begin with: one at a time follows the origin's pace by itself. Harm: a ninth of one
	// at each of 285 refused what missed for the first twenty seconds.
	b := &Balancer{cfg: cfg, host: host, rng: rand.New(rand.NewPCG(seed, 1)), began: -1,
		spare: 10, fetches: min(8, max(1, 32/float64(cfg.Routers))), bear: 0.2, keep: cfg.IdleTimeoutMillis,
		portion: 1 / float64(cfg.Routers),
		turn:    int(seed % 4096), watchAt: math.Inf(1),
		used: map[string]*rate{}, servers: map[uint32]*server{}, bans: map[uint32]float64{}, keys: map[uint64]*flow{},
		reqs: map[uint32]*request{}}
	b.take(cfg)
	return b, nil
}

// take has requests that arrive from now on come under the settings.
func (b *Balancer) take(cfg Config) {
	b.cfg, b.maxWorth = cfg, 0
	b.classes, b.quota, b.firstLeft = map[string]*Class{}, map[string]float64{}, map[string]float64{}
	for i, c := range cfg.Classes {
		b.classes[c.Name], b.maxWorth = &cfg.Classes[i], max(b.maxWorth, c.PriorityWeight)
	}
	for _, t := range cfg.Tenants {
		if b.quota[t.Name] = t.QuotaPerSecond; b.used[t.Name] == nil {
			b.used[t.Name] = &rate{}
		}
	}
}

func (b *Balancer) begin(now float64) {
	if b.now = now; b.began < 0 {
		b.began, b.solvedAt = now, now
		b.host.SetTimer(100, tickToken)
	}
}

// Cause is the cause of the refusal or failure that the Host is being told of: a word or two for the log.
func (b *Balancer) Cause() string { return b.why }

// ClientDisconnected tells that the client has left.
func (b *Balancer) ClientDisconnected(now float64, id uint32) {
	b.begin(now)
	if r := b.reqs[id]; r != nil && !r.closed {
		b.close(r)
		b.pump()
	}
}

// StreamStarted tells that a stream has begun: the attempt belongs to the client, and nothing is left to decide.
func (b *Balancer) StreamStarted(now float64, id uint32) {
	b.begin(now)
	if r := b.reqs[id]; r != nil {
		r.until, r.aim = math.Inf(1), math.Inf(-1)
	}
}

// TimerExpired takes a timer that came due.
func (b *Balancer) TimerExpired(now float64, token uint64) {
	b.begin(now)
	if token == tickToken {
		b.housekeep()
	} else if r := b.reqs[uint32(token>>8)]; r != nil && !r.closed {
		if i := int(token & 255); i > 0 {
			b.stalled(r, i-1)
		} else if r.held > 0 && r.out == 0 { // waited too long
			b.end(r, "held")
		}
		b.pump()
	}
}

// Request takes a request of a client.
func (b *Balancer) Request(now float64, q Request) {
	b.begin(now)
	c, most := b.classes[q.Class], b.cfg.MaxAttempts
	if q.ClassAtArrival != nil {
		c, most = q.ClassAtArrival, q.MaxAttemptsAtArrival
	}
	if c == nil {
		b.host.Fail(q.ID)
		return
	}
	r := &request{Request: q, class: c, most: most, until: now + q.RemainingMillis, worth: c.PriorityWeight, work: b.workOf(q.WorkHint), key: b.flow(q)}
	r.aim = now + min(q.RemainingMillis, c.LatencyObjectiveMillis+c.ObjectivePerWork*q.WorkHint-b.elapsed(c, q))
	b.reqs[q.ID] = r
	b.arrive(r)
}

// AttemptEnded takes the end of an attempt.
func (b *Balancer) AttemptEnded(now float64, o Outcome) {
	b.begin(now)
	s, r := b.servers[o.ServerID], b.reqs[o.RequestID]
	if s != nil {
		b.learn(s, o.Load)
	}
	if a := r.settle(o.Attempt, o.Status); a != nil {
		b.ended(r, a, o)
	}
}

// HealthCheckEnded takes the result of a probe.
func (b *Balancer) HealthCheckEnded(now float64, id uint32, st AttemptStatus, l LoadReport) {
	b.begin(now)
	s := b.servers[id]
	if s == nil {
		return
	}
	b.learn(s, l)
	if st != OK && st != QueueFull {
		s.strikes++
		b.eject(s, true)
	}
}
