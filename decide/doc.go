// Package decide makes a router's decisions: which cache server gets a request, whether it is
// retried, fetched from the origin, hedged or rejected, and which servers are left out for a while.
//
// A Balancer is one router's instance. It has no goroutines and no clock: the router calls one
// method per event, never two at once, each with the time, and the Balancer answers by calling its
// Host before the method returns. All instants are milliseconds on one clock that never runs
// backwards; their names end in At. Spans are milliseconds too and say so in their names.
//
// # How a request is decided
//
//  1. Request computes until when an answer is worth sending (deadline.go), what the request's
//     priority is (tenant_quota.go) and adds it to its key's traffic (key_traffic.go).
//  2. A read goes to a server of its key's candidates: the home, or one of the copies of a hot key,
//     or the next one of the list whose queue is short enough (placement.go, queueing.go,
//     waiting_time.go). Servers are left out that discovery, operators or outlier detection took
//     out (endpoints.go, disable.go, outlier.go), and cold ones get what their budget allows
//     (slow_start.go).
//  3. A write, and a read whose key is missing, waits for a place at the origin (origin_fetch.go).
//  4. The end of an attempt is classified; then the request is retried, fetched or answered
//     (retry.go). An attempt that takes too long is hedged or cancelled (hedge.go).
//  5. Where no server is worth trying, the request is rejected, with a Retry-After, or fails where
//     an attempt of it may have run and a repeat may do harm (rejection.go).
//
// Besides, a timer every 100 ms (housekeeping.go) renews the placement, checks the health of
// servers (health_check.go), closes idle connections (idle_connections.go) and polls discovery
// (discovery_backoff.go). Load reports of servers set their modelled capacity (load_report.go).
// An old process hands what it knows to a new one by a Snapshot (handover.go).
//
// The interface is in config.go, messages.go and errors.go, and the events in balancer.go. The
// records are in records.go, their arithmetic in statistics.go. Every other file, and balancer.go,
// holds decisions and is named under policy in the deploy file.
package decide
