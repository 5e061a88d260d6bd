// Package follow makes a router follow the drain sets that the coordinators agree on. The router
// reports its own state and its observations of the cache servers, stops sending to the servers of
// the drain set, and acknowledges the set once all attempts at these servers have ended. Nothing in
// this package is on the request path.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/rollout"
)

// Options are the settings of Run and the functions of the router that it calls. The functions are
// called from two goroutines, so they must be safe for concurrent use.
type Options struct {
	// Client is the router's session with the coordinators.
	Client *client.Client
	// Zone is the router's failure domain.
	Zone string
	// Version is the label of the program's version.
	Version string
	// RequestCounts returns how many requests were served, and how many were rejected or failed,
	// since the process started, and the served ones by rollout.LatencyBucket.
	RequestCounts func() (served, failed int64, latencyCounts []int64)
	// IsReady reports whether the router accepts clients.
	IsReady func() bool
	// ObserveServers returns all servers of the endpoint list, as the router observes them.
	ObserveServers func(context.Context) ([]rollout.ServerObservation, error)
	// SetDrained begins or ends the drain of a server. After the end the router sends to the server
	// again, unless another reason prevents it.
	SetDrained func(ctx context.Context, server string, isDrained bool) error
	// OpenAttempts returns how many attempts at these servers are open.
	OpenAttempts func(ctx context.Context, servers []string) (int, error)
	// InheritedDrains returns the servers that the previous process of the router had drained
	// because of the drain set.
	InheritedDrains func(context.Context) []string
	// SetEjected sets the servers that are ejected because of other routers' reports. It replaces
	// the servers of the previous call.
	SetEjected func(context.Context, []rollout.EjectedServer) error
	// OnFirstDrainSet is called once, when the first drain set has been applied; nil for no call.
	OnFirstDrainSet func()
}

const (
	// reportInterval is the mean interval at which the reporter checks for changes to report.
	reportInterval = 250 * time.Millisecond
	// promptReportInterval is this interval while shared ejection is on, when other routers depend
	// on fast reports.
	promptReportInterval = 40 * time.Millisecond
	// countsInterval is the minimum time between two reports that only update request counts.
	countsInterval = time.Second
	// attemptsPollInterval is the interval at which OpenAttempts is polled.
	attemptsPollInterval = 20 * time.Millisecond
	// maxAttemptsWait limits the wait for open attempts at drained servers. It is longer than any
	// deadline. A value that is streamed to a slow client has no deadline, and must not block a
	// release.
	maxAttemptsWait = 30 * time.Second

	// minWatchDuration: a watch that was answered sooner without a change did not wait for one.
	minWatchDuration = time.Second
	// maxUnchangedPause limits the growing pause after watches that were answered without waiting.
	maxUnchangedPause = time.Second
)

// follower applies drain sets and acknowledges them. Two goroutines use it: one runs reporter.run,
// the other runs followDrainSets.
type follower struct {
	options Options
	// maxAttemptsWait is the constant maxAttemptsWait, or a shorter time in tests.
	maxAttemptsWait time.Duration

	// appliedVersionChanged has capacity 1 and notifies the reporter that appliedVersion has
	// increased.
	appliedVersionChanged chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// drained maps each server drained because of the drain set to the incarnation that it had
	// then.
	drained map[string]string
	// appliedVersion is the version of the latest drain set that is fully applied: all attempts at
	// its servers have ended, or were waited for as long as maxAttemptsWait allows.
	appliedVersion uint64
	// requests is what the coordinators currently request routers to report.
	requests reportRequests
}

// reportRequests is what the coordinators request routers to report.
type reportRequests struct {
	// needsCounts requests the counts of served and failed requests.
	needsCounts bool
	// needsLatency requests the latencies too.
	needsLatency bool
	// isPrompt requests that observations are reported at promptReportInterval.
	isPrompt bool
	// maxServers limits the number of servers in one report.
	maxServers int
}

// Run applies and acknowledges drain sets and sends reports until ctx ends.
func Run(ctx context.Context, o Options) {
	f := &follower{
		options:               o,
		maxAttemptsWait:       maxAttemptsWait,
		appliedVersionChanged: make(chan struct{}, 1),
		drained:               map[string]string{},
		requests:              reportRequests{maxServers: rollout.LegacyMaxReportedServers},
	}
	for _, name := range o.InheritedDrains(ctx) {
		f.drained[name] = "" // its incarnation is unknown; "" differs from any
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	reporter := &reporter{follower: f}
	wg.Go(func() { reporter.run(ctx) })
	f.followDrainSets(ctx)
}

// reportRequests returns what the coordinators currently request.
func (f *follower) reportRequests() reportRequests {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

// version returns the version of the latest drain set that is fully applied.
func (f *follower) version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.appliedVersion
}

// logRejection logs a message if the coordinators rejected a command. Other errors, such as failed
// connections, are logged by the client.
func logRejection(message string, err error) {
	var rejected *client.RejectedError
	if errors.As(err, &rejected) {
		slog.Warn(message, "answer", rejected.Response.Error())
	}
}
