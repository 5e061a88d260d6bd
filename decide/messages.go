package decide

// State is what the endpoint list says of a server.
type State int

// The states of a listed server.
const (
	// Ready servers take requests.
	Ready State = iota
	// Draining servers complete what they have and get nothing new.
	Draining
	// Removed servers are no longer listed.
	Removed
)

// Endpoint is one server on the endpoint list. It is part of a Snapshot, so its tags are stored.
type Endpoint struct {
	// ID identifies the server, also after a restart.
	ID uint32 `json:"ID"`
	// State is what the list says of it.
	State State `json:"State"`
	// StartedAt is the time of its last start, ms; 0 = long ago.
	StartedAt float64 `json:"Started"`
	// Size compares its capacity with that of others, without a unit.
	Size float64 `json:"Size"`
	// Zone is the zone that it is in.
	Zone string `json:"Zone"`
	// Cell is the number of its cell, a group within which servers share the keys they have seen.
	Cell int `json:"Cell"`
	// Kind is its kind of machine, or Config.OriginKind.
	Kind string `json:"Kind"`
}

// EndpointUpdateKind says what an update of the endpoint list holds.
type EndpointUpdateKind int

// The kinds of updates of the endpoint list.
const (
	// ChangedEndpoints holds changed entries only.
	ChangedEndpoints EndpointUpdateKind = iota
	// AllEndpoints holds the whole list.
	AllEndpoints
	// RestoredEndpoints holds the whole list as this router last cached it.
	RestoredEndpoints
	// WatchFailed holds nothing: the call for a list failed, or the watch broke.
	WatchFailed
)

// Request is one request of a client. The Balancer owes it exactly one final answer.
type Request struct {
	// ID identifies the request; it is never used again.
	ID uint32
	// Class is the name of its class.
	Class string
	// Tenant is the name of its tenant, if any.
	Tenant string
	// Key is the subject of the request, if HasKey.
	Key uint64
	// HasKey says that Key is set.
	HasKey bool
	// RemainingMillis is the time until the client gives up this try.
	RemainingMillis float64
	// WorkHint is the expected work, in any unit; 0 = unknown.
	WorkHint float64
	// SizeBytes is the size of the value; 0 = unknown.
	SizeBytes float64
	// IsRetry says that the client has sent the request before.
	IsRetry bool
	// IsWrite says that the request is a write.
	IsWrite bool
	// ClassAtArrival is the class as it was when a request came that has waited since; nil = as
	// the settings are.
	ClassAtArrival *Class
	// MaxAttemptsAtArrival is the number of attempts that it had then. It is used with
	// ClassAtArrival only.
	MaxAttemptsAtArrival int
}

// AttemptStatus is how an attempt or a health check ended.
type AttemptStatus int

// The ways an attempt can end.
const (
	// OK: it was answered.
	OK AttemptStatus = iota
	// Failed: the server answered by an error; the attempt may have run.
	Failed
	// QueueFull: the server rejected it without looking at it.
	QueueFull
	// Timeout: no answer came in time; the attempt may have run, or be running.
	Timeout
	// ConnectError: no connection came up.
	ConnectError
	// Reset: the connection broke; the attempt may have run.
	Reset
	// Cancelled: the Balancer ended it; it may have run.
	Cancelled
	// Unprocessed: it was never sent.
	Unprocessed
	// Miss: the server has no value for the key.
	Miss
	// MalformedResponse: the answer can't be used. The attempt has run, and the server is at work.
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

// isOfServer reports whether the status tells something of the server, rather than of the router's
// own doings.
func (s AttemptStatus) isOfServer() bool { return s != Cancelled && s != Unprocessed }

// isAnswer reports whether the server did what it was asked.
func (s AttemptStatus) isAnswer() bool { return s == OK || s == Miss }

// LoadReport is a server's report of its load; a figure below 0 or not finite is absent. It is part
// of a Snapshot, so its tags are stored.
type LoadReport struct {
	// RequestsPerSecond is the rate of requests that it serves.
	RequestsPerSecond float64 `json:"QPS"`
	// ErrorsPerSecond is the rate of those that fail.
	ErrorsPerSecond float64 `json:"EPS"`
	// Utilization is the share of its capacity in use, 0 to 1.
	Utilization float64 `json:"Util"`
	// Inflight is the number of requests that it has.
	Inflight float64 `json:"Inflight"`
	// LatencyMillis is the mean time that it takes for one.
	LatencyMillis float64 `json:"Latency"`
}

// NoLoadReport is a report without figures.
var NoLoadReport = LoadReport{-1, -1, -1, -1, -1}

// CacheResult is what a server says of the key of an attempt.
type CacheResult int

// What servers say. The numbers are those of the servers' protocols.
const (
	// CacheUnknown: nothing was said.
	CacheUnknown CacheResult = 0
	// CacheHit: the value was there.
	CacheHit CacheResult = 1
	// CacheMiss: it was missing, and the server has fetched it where servers do so by themselves.
	CacheMiss CacheResult = 2
	// CacheMissDuringFetch: it was missing while another fetch of the key was in flight.
	CacheMissDuringFetch CacheResult = 3
)

// Outcome is the end of one attempt.
type Outcome struct {
	// RequestID is the request's.
	RequestID uint32
	// Attempt is the attempt's number, from 0 in the order of Host.Send.
	Attempt int
	// ServerID is the server that it was sent to.
	ServerID uint32
	// Status is how it ended.
	Status AttemptStatus
	// LatencyMillis is the time since it was sent.
	LatencyMillis float64
	// IsFinal says that the request has its final answer, by this outcome or before.
	IsFinal bool
	// CacheResult is what the server said of the key.
	CacheResult CacheResult
	// Load is the report that came with it, or NoLoadReport.
	Load LoadReport
}

// Host carries out the actions of a Balancer. It must not call the Balancer before an action has
// returned. Attempts of a request are numbered from 0 in the order of Send.
type Host interface {
	// Send starts an attempt; it ends by AttemptEnded, after the timeout (ms) at the latest.
	// 0 = when the client gives up.
	Send(requestID, serverID uint32, timeoutMillis float64)
	// Cancel ends an attempt.
	Cancel(requestID uint32, attempt int)
	// Reject is a final answer which says that trying again is harmless, and after which time (ms)
	// it is useful; 0 = not told.
	Reject(requestID uint32, retryAfterMillis float64)
	// Fail is a final answer that makes no promise.
	Fail(requestID uint32)
	// HealthCheck asks a server for its load; HealthCheckEnded takes the result.
	HealthCheck(serverID uint32)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(serverID uint32)
	// SetTimer has TimerExpired called with the token.
	SetTimer(afterMillis float64, token uint64)
	// WatchEndpoints asks for changes of the endpoint list from now on.
	WatchEndpoints()
	// Gossip sends at most 256 bytes to every peer.
	Gossip(data []byte)
	// Log writes a line.
	Log(text string)
}
