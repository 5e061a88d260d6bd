package decide

import (
	"math"
	"math/rand/v2"
)

// Balancer makes the decisions of one router. Its methods must not be called concurrently.
type Balancer struct {
	// cfg holds the settings.
	cfg Config
	// host carries out the decisions.
	host Host
	// rng draws all random numbers, so that equal seeds and events lead to equal decisions.
	rng *rand.Rand
	// now is the time of the current event, ms.
	now float64
	// startedAt is the time of the first event, ms; negative before it.
	startedAt float64
	// classes are the classes of the settings by name.
	classes map[string]*Class
	// maxPriority is the largest PriorityWeight of all classes.
	maxPriority float64
	// firstTryRemainingMillis is the remaining time that the latest first try of a client had, by
	// class.
	firstTryRemainingMillis map[string]float64
	// quotas are the tenants' quotas and usage (tenant_quota.go).
	quotas tenantQuotas
	// membership holds the known servers (membership.go).
	membership membership
	// discovery schedules the polls for the endpoint list (discovery_backoff.go).
	discovery discoveryPolling
	// capacities are derived from load reports (load_report.go).
	capacities capacityModel
	// placement is the state of the solver (placement.go).
	placement placementState
	// keys holds the traffic of each key (key_traffic.go).
	keys keyTable
	// requests are those without a final answer or with attempts in flight, by ID.
	requests map[uint32]*request
	// arrivals counts requests over trafficTimeConstantMillis.
	arrivals decayingSum
	// meanHint is the EWMA of work hints; 0 = none yet.
	meanHint float64
	// serviceTime are the moments of the latencies of answers, ms.
	serviceTime moments
	// latencyPerWork follows the latency of a unit of work over all servers, ms.
	latencyPerWork trend
	// filled is the last result of filledShare (statistics.go).
	filled cachedShare
	// meanWait is the cached mean wait over all servers (waiting_time.go).
	meanWait cachedWait
	// toleratedWaitShare is the share of the remaining time that a queue may take for a request of
	// the lowest priority (rejection.go).
	toleratedWaitShare float64
	// usualFailureShare is the share of failed attempts at the median server (outlier.go).
	usualFailureShare float64
	// lostShare is the share of overtaken attempts that are never answered (hedge.go).
	lostShare float64
	// retryBudget is the number of further attempts that may be sent now (retry.go).
	retryBudget float64
	// healthChecks selects the server to check next (health_check.go).
	healthChecks healthChecks
	// originFetches limits the fetches from the origin (origin_fetch.go).
	originFetches originFetches
	// idleTimeoutMillis is how long idle connections are kept open (idle_connections.go).
	idleTimeoutMillis float64
	// cause is the cause of the last rejection or failure.
	cause rejectionCause
	// processes is the number of processes that run as this router; 0 = this one only.
	processes int
}

const (
	// initialRetryBudget is the number of retries that a new router may make before arrivals add to
	// it.
	initialRetryBudget = 10
	// initialToleratedWaitShare is the initial toleratedWaitShare.
	initialToleratedWaitShare = 0.2
	// initialFleetFetchLimit is the initial fetch limit of all routers together.
	initialFleetFetchLimit = 32
	// maxInitialFetchLimit bounds the initial fetch limit of one router.
	maxInitialFetchLimit = 8
	// healthCheckStartPositions is the number of positions at which routers start their round of
	// checks.
	healthCheckStartPositions = 4096
)

// New returns a Balancer for the settings. Equal seeds and events lead to equal decisions. The
// error is a *SettingError for the first setting that is missing or invalid.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		host:               host,
		rng:                rand.New(rand.NewPCG(seed, 1)),
		startedAt:          -1,
		quotas:             tenantQuotas{usage: map[string]*decayingSum{}},
		membership:         newMembership(),
		discovery:          discoveryPolling{pollAt: math.Inf(1)},
		placement:          placementState{trafficShare: 1 / float64(cfg.Routers)},
		keys:               keyTable{byID: map[uint64]*keyTraffic{}},
		requests:           map[uint32]*request{},
		toleratedWaitShare: initialToleratedWaitShare,
		retryBudget:        initialRetryBudget,
		healthChecks:       healthChecks{next: int(seed % healthCheckStartPositions)},
		originFetches:      originFetches{limit: initialFetchLimit(cfg.Routers)},
		idleTimeoutMillis:  cfg.IdleTimeoutMillis,
	}
	b.applySettings(cfg)
	return b, nil
}

// initialFetchLimit returns a router's share of initialFleetFetchLimit, but at least one: a router
// with one fetch at a time cannot outpace the origin.
func initialFetchLimit(routers int) float64 {
	return min(maxInitialFetchLimit, max(1, initialFleetFetchLimit/float64(routers)))
}

// applySettings applies settings to all requests that arrive from now on.
func (b *Balancer) applySettings(cfg Config) {
	b.cfg = cfg
	b.maxPriority = 0
	b.classes = map[string]*Class{}
	b.firstTryRemainingMillis = map[string]float64{}
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		b.classes[c.Name] = c
		b.maxPriority = max(b.maxPriority, c.PriorityWeight)
	}
	b.quotas.setTenants(cfg.Tenants)
}

// beginEvent sets the current time to that of an event. Each event method calls it first. The first
// event starts the housekeeping timer.
func (b *Balancer) beginEvent(now float64) {
	b.now = now
	if b.startedAt < 0 {
		b.startedAt = now
		b.placement.solvedAt = now
		b.host.SetTimer(housekeepingIntervalMillis, housekeepingToken)
	}
}

// Cause returns the reason, in one or two words, for the rejection or failure that the Host is
// carrying out.
func (b *Balancer) Cause() string { return string(b.cause) }

// Request handles a new request of a client. A request of an unknown class fails.
func (b *Balancer) Request(now float64, q Request) {
	b.beginEvent(now)
	class := b.classes[q.Class]
	maxAttempts := b.cfg.MaxAttempts
	if q.ClassAtArrival != nil {
		class = q.ClassAtArrival
		maxAttempts = q.MaxAttemptsAtArrival
	}
	if class == nil {
		b.host.Fail(q.ID)
		return
	}
	r := &request{
		Request:     q,
		class:       class,
		maxAttempts: maxAttempts,
		deadlineAt:  now + q.RemainingMillis,
		priority:    class.PriorityWeight,
		work:        b.workOf(q.WorkHint),
		key:         b.trafficOf(q),
	}
	r.objectiveAt = now + b.objectiveMillis(class, q)
	b.requests[q.ID] = r
	b.handleArrival(r)
}

// handleArrival counts a new request and forwards it or lets it wait for the origin.
func (b *Balancer) handleArrival(r *request) {
	b.arrivals.add(b.now, trafficTimeConstantMillis, 1)
	b.refillRetryBudget()
	b.refillHealthCheckBudget()
	if b.recordTenantArrival(r.Tenant) {
		r.priority *= b.cfg.OverQuotaWeight
	}
	b.countArrival(r.key, r.work)
	if b.needsOrigin(r) {
		b.waitForOrigin(r)
		b.resumeWaiting()
		return
	}
	b.forward(r)
}

// forward sends a request to a server, or rejects or fails it if no server can take it.
func (b *Balancer) forward(r *request) {
	s := b.pick(r)
	if s == nil {
		b.rejectOrFail(r, b.cause)
		return
	}
	b.send(r, s)
}

// send starts an attempt and its soft timeout.
func (b *Balancer) send(r *request, s *server) {
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, mayHaveRun: true})
	r.inFlight++
	s.attempts.inFlight++
	s.attempts.lastSentAt = b.now
	s.connection.mayBeOpen = true
	if s == b.membership.origin {
		b.host.SetTimer(b.fetchSoftTimeoutMillis(), attemptToken(r.ID, len(r.attempts)-1))
	} else {
		s.slowStart.budget.requests -= slowStartCost(r.work)
		s.attempts.work.add(b.now, workTimeConstantMillis, r.work)
		if timeoutMillis := b.softTimeoutMillis(r, s); b.now+timeoutMillis < r.deadlineAt {
			b.host.SetTimer(timeoutMillis, attemptToken(r.ID, len(r.attempts)-1))
		}
	}
	b.host.Send(r.ID, s.ID, 0)
}

// AttemptEnded handles the end of an attempt. If the attempt is not in flight, only the load report
// is used.
func (b *Balancer) AttemptEnded(now float64, o Outcome) {
	b.beginEvent(now)
	if s := b.membership.servers[o.ServerID]; s != nil {
		b.recordLoadReport(s, o.Load)
	}
	r := b.requests[o.RequestID]
	if a := r.endAttempt(o.Attempt, o.Status); a != nil {
		b.membership.attemptEnded(a.server)
		b.attemptEnded(r, a, o)
	}
}

// ClientDisconnected handles a client that closed or reset its connection: it needs no answer.
func (b *Balancer) ClientDisconnected(now float64, requestID uint32) {
	b.beginEvent(now)
	r := b.requests[requestID]
	if r == nil || r.isAnswered {
		return
	}
	b.finishRequest(r)
	b.resumeWaiting()
}

// StreamStarted handles the start of a streamed answer: the client receives the attempt's data, so
// the request is no longer retried, hedged or canceled.
func (b *Balancer) StreamStarted(now float64, requestID uint32) {
	b.beginEvent(now)
	if r := b.requests[requestID]; r != nil {
		r.deadlineAt = math.Inf(1)
		r.objectiveAt = math.Inf(-1)
	}
}

// GossipReceived handles a message of another router. Routers do not send messages yet.
func (b *Balancer) GossipReceived(now float64, _ int, _ []byte) { b.beginEvent(now) }

// Reconfigure applies new settings, or returns an error and changes nothing: a *SettingError or
// ErrImmutableSetting. Requests that have already arrived keep their class and their maximum number
// of attempts.
func (b *Balancer) Reconfigure(now float64, cfg Config) error {
	b.beginEvent(now)
	if err := cfg.Validate(); err != nil {
		return err
	}
	hasSameOrigin := cfg.CacheAside == b.cfg.CacheAside && cfg.OriginKind == b.cfg.OriginKind
	if !hasSameOrigin || cfg.PollEndpoints != b.cfg.PollEndpoints {
		return ErrImmutableSetting
	}
	b.applySettings(cfg)
	b.idleTimeoutMillis = cfg.IdleTimeoutMillis
	b.placement.isStale = true
	b.resumeWaiting()
	return nil
}
