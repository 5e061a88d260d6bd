// Package decide makes a router's decisions: which cache server gets a request, whether the request
// is retried, fetched from the origin, hedged or rejected, and which servers get no requests for a
// while.
//
// A Balancer makes the decisions of one router. It starts no goroutines and reads no clock: the
// router calls one method per event, never concurrently, and passes the current time. The Balancer
// acts by calling its Host before the method returns. Instants are milliseconds on one monotonic
// clock; their names end in At. Durations are in milliseconds too; their names end in Millis.
//
// # How a request is processed
//
//  1. Request computes until when an answer is useful (deadline.go) and the request's priority
//     (tenant_quota.go), and adds the request to the traffic of its key (key_traffic.go).
//  2. A read goes to one of its key's candidates: the home, one of the copies of a hot key, or the
//     next server of the key's list whose queue is short enough (placement.go, queueing.go,
//     waiting_time.go). Servers that are not ready, disabled by operators or ejected by outlier
//     detection are skipped (endpoints.go, disable.go, outlier.go). Recently started servers get
//     no more requests than their slow-start budget allows (slow_start.go).
//  3. A write, and a read whose key is missing, waits for a fetch slot at the origin
//     (origin_fetch.go).
//  4. When an attempt ends, its outcome is classified, and the request is retried, fetched or
//     answered (retry.go). An attempt that takes too long is hedged or canceled (hedge.go).
//  5. If no server can be expected to answer in time, the request is rejected with a Retry-After. If
//     one of its attempts may have run and repeating it is unsafe, it fails instead (rejection.go).
//
// A timer every 100 ms (housekeeping.go) recomputes the placement, sends health checks
// (health_check.go), closes idle connections (idle_connections.go) and polls discovery
// (discovery_backoff.go). Load reports of servers update the model of their capacity
// (load_report.go). During an upgrade the old process hands its state to the new one as a Snapshot
// (handover.go).
//
// The interface is in config.go, messages.go and errors.go, and the event methods in balancer.go.
// The records are in records.go, and their arithmetic is in statistics.go. Every other file, and
// balancer.go, contains decision logic and is listed under policy in the deploy file.
package decide
