// Package follow is a router's part in the drains that the fleet agrees on. The router reports how
// it observes itself and the cache servers, leaves out the servers of the drain set, and
// acknowledges once it sends nothing more to them. Nothing here is ever on the way of a request.
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

// Options are the settings of a router's part, and what it needs of the router. The functions are
// called from two goroutines.
type Options struct {
	// Client is the router's session with the coordinators.
	Client *client.Client
	// Zone is the router's failure domain.
	Zone string
	// Version is the label of the program's version.
	Version string
	// RequestCounts returns how many requests were served, and how many rejected or failed, since
	// the process began, and the served ones by rollout.LatencyBucket.
	RequestCounts func() (served, failed int64, latencyCounts []int64)
	// IsReady tells whether the router takes clients.
	IsReady func() bool
	// ObserveServers returns all servers of the endpoint list, as the router observes them.
	ObserveServers func(context.Context) ([]rollout.ServerObservation, error)
	// SetDrained leaves a server out, or takes it back where nothing else keeps it out.
	SetDrained func(ctx context.Context, server string, isDrained bool) error
	// OpenAttempts returns how many attempts at these servers are open.
	OpenAttempts func(ctx context.Context, servers []string) (int, error)
	// InheritedDrains are the servers that the process before this one had left out by the drain
	// set.
	InheritedDrains func(context.Context) []string
	// SetEjected leaves these servers out by the reports of other routers, and no other server for
	// that reason.
	SetEjected func(context.Context, []rollout.EjectedServer) error
	// OnFirstDrainSet is called once, when the first drain set is in force; nil for no call.
	OnFirstDrainSet func()
}

const (
	// reportInterval is the mean time between two looks at what has changed.
	reportInterval = 250 * time.Millisecond
	// promptReportInterval is that where other routers wait for what is observed.
	promptReportInterval = 40 * time.Millisecond
	// countsInterval is the least time between two reports of request counts alone.
	countsInterval = time.Second
	// attemptsPollInterval is between two looks at whether attempts at drained servers have ended.
	attemptsPollInterval = 20 * time.Millisecond
	// maxAttemptsWait is how long they are waited for: longer than any deadline. A value that is
	// streamed to a slow client has none, and must not hold a release.
	maxAttemptsWait = 30 * time.Second

	// minWatchDuration: a watch that was answered sooner without a change did not wait.
	minWatchDuration = time.Second
	// maxUnchangedPause bounds the pause after several such answers.
	maxUnchangedPause = time.Second
)

// follower is a router's part. Two goroutines use it: reporter.run, and follow.
type follower struct {
	options Options
	// maxAttemptsWait bounds the wait for the attempts at drained servers.
	maxAttemptsWait time.Duration

	// appliedVersionChanged has capacity 1 and tells that appliedVersion has grown.
	appliedVersionChanged chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// drained are the servers left out by the drain set, with the incarnation that each had then.
	drained map[string]string
	// appliedVersion is the version of the drain set that is in force here, its attempts ended.
	appliedVersion uint64
	// requests is what the coordinators want routers to report.
	requests reportRequests
}

// reportRequests is what the coordinators want routers to report.
type reportRequests struct {
	// wantsCounts requests the counts of requests.
	wantsCounts bool
	// wantsLatency requests the latencies too.
	wantsLatency bool
	// isPrompt requests observations at once.
	isPrompt bool
	// maxServers bounds the servers of one report.
	maxServers int
}

// Run takes part until ctx ends.
func Run(ctx context.Context, o Options) {
	f := &follower{
		options:               o,
		maxAttemptsWait:       maxAttemptsWait,
		appliedVersionChanged: make(chan struct{}, 1),
		drained:               map[string]string{},
		requests:              reportRequests{maxServers: rollout.EarlierMaxReportedServers},
	}
	for _, name := range o.InheritedDrains(ctx) {
		f.drained[name] = "" // any incarnation is another one
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	reporter := &reporter{follower: f}
	wg.Go(func() { reporter.run(ctx) })
	f.follow(ctx)
}

// reportRequests returns what the coordinators want.
func (f *follower) reportRequests() reportRequests {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

// version returns the version of the drain set that is in force here.
func (f *follower) version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.appliedVersion
}

// logRejection logs what the coordinators rejected. Other errors, as of the connection, are logged
// by the client.
func logRejection(what string, err error) {
	var rejected *client.RejectedError
	if errors.As(err, &rejected) {
		slog.Warn(what, "answer", rejected.Response.Error())
	}
}
