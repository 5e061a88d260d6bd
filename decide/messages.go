package decide

// State is the state of a server according to the endpoint list.
type State int

// The states of a listed server.
const (
	// Ready servers accept requests.
	Ready State = iota
	// Draining servers complete the requests they have and get no new ones.
	Draining
	// Removed servers are no longer listed.
	Removed
)

// Endpoint is one server on the endpoint list. It is part of a Snapshot, so its JSON tags must not
// change.
type Endpoint struct {
	// ID identifies the server. It stays the same over restarts.
	ID uint32 `json:"ID"`
	// State is the state that the list gives.
	State State `json:"State"`
	// StartedAt is when the server was last started, ms; 0 = long ago.
	StartedAt float64 `json:"Started"`
	// Size is the server's capacity relative to that of other servers, without a unit.
	Size float64 `json:"Size"`
	// Zone is the zone that the server is in.
	Zone string `json:"Zone"`
	// Cell is the number of the server's cell, a group that shares the idempotency keys it has
	// seen.
	Cell int `json:"Cell"`
	// Kind is the kind of machine, or Config.OriginKind.
	Kind string `json:"Kind"`
}

// EndpointUpdateKind says what an update of the endpoint list contains.
type EndpointUpdateKind int

// The kinds of updates of the endpoint list.
const (
	// ChangedEndpoints updates contain changed entries only.
	ChangedEndpoints EndpointUpdateKind = iota
	// AllEndpoints updates contain the whole list.
	AllEndpoints
	// RestoredEndpoints updates contain the whole list from this router's cache.
	RestoredEndpoints
	// WatchFailed updates contain no entries: the call for a list or its watch failed.
	WatchFailed
)

// Request is one request of a client. The Balancer gives each exactly one final answer.
type Request struct {
	// ID identifies the request. It is not reused.
	ID uint32
	// Class is the name of its class.
	Class string
	// Tenant is the name of its tenant; "" = none.
	Tenant string
	// Key is the cache key; it is valid if HasKey.
	Key uint64
	// HasKey says that the request has a key.
	HasKey bool
	// RemainingMillis is the time until the client's deadline for this try.
	RemainingMillis float64
	// WorkHint is the expected work, in an arbitrary unit; 0 = unknown.
	WorkHint float64
	// SizeBytes is the size of the value; 0 = unknown.
	SizeBytes float64
	// Client is the connection that the request came over; nil = unknown. Clients have equal turns at the
	// origin.
	Client *Client
	// IsRetry says that the client has sent this request before.
	IsRetry bool
	// IsWrite says that the request is a write.
	IsWrite bool
	// ClassAtArrival is the class that applied when the request arrived, if the request has waited
	// since then; nil = the class of the current settings.
	ClassAtArrival *Class
	// MaxAttemptsAtArrival is the maximum number of attempts that applied at that time. It is used
	// with ClassAtArrival only.
	MaxAttemptsAtArrival int
}

// AttemptStatus is how an attempt or a health check ended.
type AttemptStatus int

// The ways an attempt can end.
const (
	// OK: the server answered.
	OK AttemptStatus = iota
	// Failed: the server returned an error; the attempt may have run.
	Failed
	// QueueFull: the server rejected the attempt without running it.
	QueueFull
	// Timeout: no answer arrived in time; the attempt may have run or may still be running.
	Timeout
	// ConnectError: no connection was established.
	ConnectError
	// Reset: the connection broke; the attempt may have run.
	Reset
	// Canceled: the Balancer canceled the attempt; it may have run.
	Canceled
	// Unprocessed: the attempt was never sent.
	Unprocessed
	// Miss: the server has no value for the key.
	Miss
	// MalformedResponse: the answer can't be parsed. The attempt has run, and the server is alive.
	MalformedResponse
)

// NeverRan reports whether the status proves that the attempt did not run.
func (s AttemptStatus) NeverRan() bool {
	switch s {
	case QueueFull, ConnectError, Unprocessed, Miss:
		return true
	}
	return false
}

// reflectsServer reports whether the status is evidence about the server. Canceled and Unprocessed
// result from the router's own actions.
func (s AttemptStatus) reflectsServer() bool { return s != Canceled && s != Unprocessed }

// isAnswer reports whether the server processed the attempt without an error.
func (s AttemptStatus) isAnswer() bool { return s == OK || s == Miss }

// LoadReport is a server's report of its load. A figure that is negative or not finite is absent.
// It is part of a Snapshot, so its JSON tags must not change.
type LoadReport struct {
	// RequestsPerSecond is the rate of requests that the server processes.
	RequestsPerSecond float64 `json:"QPS"`
	// ErrorsPerSecond is the rate of requests that fail.
	ErrorsPerSecond float64 `json:"EPS"`
	// Utilization is the share of the server's capacity that is in use, 0 to 1.
	Utilization float64 `json:"Util"`
	// Inflight is the number of requests in progress.
	Inflight float64 `json:"Inflight"`
	// LatencyMillis is the mean latency of a request.
	LatencyMillis float64 `json:"Latency"`
}

// NoLoadReport is a report without figures.
var NoLoadReport = LoadReport{-1, -1, -1, -1, -1}

// CacheResult is whether the server had the value of an attempt's key.
type CacheResult int

// The cache results. The numbers are those of the servers' protocols.
const (
	// CacheUnknown: the server did not report a result.
	CacheUnknown CacheResult = 0
	// CacheHit: the server had the value.
	CacheHit CacheResult = 1
	// CacheMiss: the value was missing. A server that fetches by itself has fetched it.
	CacheMiss CacheResult = 2
	// CacheMissDuringFetch: the value was missing while another fetch of the key was in flight.
	CacheMissDuringFetch CacheResult = 3
)

// Outcome is the end of one attempt.
type Outcome struct {
	// RequestID is the ID of the request.
	RequestID uint32
	// Attempt is the number of the attempt, from 0 in the order of Host.Send.
	Attempt int
	// ServerID is the server that the attempt was sent to.
	ServerID uint32
	// Status is how the attempt ended.
	Status AttemptStatus
	// LatencyMillis is the time from the send to the end.
	LatencyMillis float64
	// IsFinal says that the request has its final answer, from this attempt or an earlier one.
	IsFinal bool
	// CacheResult is what the server reported about the key.
	CacheResult CacheResult
	// Load is the load report that came with the answer, or NoLoadReport.
	Load LoadReport
}

// Host carries out the actions of a Balancer. Its methods must not call the Balancer. The attempts
// of a request are numbered from 0 in the order of Send.
type Host interface {
	// Send starts an attempt. The Host reports its end by AttemptEnded, at the latest after the
	// timeout (ms); 0 = at the client's deadline.
	Send(requestID, serverID uint32, timeoutMillis float64)
	// Cancel cancels an attempt. The Host reports its end by AttemptEnded.
	Cancel(requestID uint32, attempt int)
	// Reject gives the request a final answer that says that sending it again is safe, with a
	// Retry-After (ms); 0 = none.
	Reject(requestID uint32, retryAfterMillis float64)
	// Fail gives the request a final answer that does not say whether sending it again is safe.
	Fail(requestID uint32)
	// HealthCheck asks a server for its load. The Host reports the result by HealthCheckEnded.
	HealthCheck(serverID uint32)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(serverID uint32)
	// SetTimer schedules a call of TimerExpired with the token.
	SetTimer(afterMillis float64, token uint64)
	// WatchEndpoints asks discovery for changes of the endpoint list from now on.
	WatchEndpoints()
	// Gossip sends at most 256 bytes to every other router.
	Gossip(data []byte)
	// Log writes a line to the log.
	Log(text string)
}
