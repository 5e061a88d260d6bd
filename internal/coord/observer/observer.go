// Package observer is a read-only replica of the agreed documents. It follows the coordinators
// without a vote and serves watches to hundreds of routers, so that the load on the coordinators
// depends only on the number of observers. Its state is in memory; after a restart it takes a
// snapshot.
package observer

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
	"dockhinge.example/dockhinge/internal/failpoint"
)

// Options configure one observer.
type Options struct {
	Name                  string
	Coordinators          map[string]string // addresses for clients (host:port), by name
	MaxWatchers           int
	JoinsPerSecond        float64 // new watches
	WatcherBytesPerSecond int     // per second, to each watcher
	Log                   *slog.Logger
}

// Observer holds the replicated documents and the table of watchers.
type Observer struct {
	options  Options
	upstream *http.Client

	mu           sync.Mutex // guards the fields below
	log          *watchlog.Log
	isReady      bool
	completeAt   time.Duration // latest instant of clock.Now at which the state is known to have been complete
	upstreamName string        // the coordinator that is polled
	changed      chan struct{} // closed and replaced when the log changes
	watchers     *watcherTable
	joins        *joinLimiter
}

// logLimits equal the limits of the coordinators' log, so that an observer sends a snapshot only
// where a coordinator would have to send one too.
var logLimits = watchlog.Limits{Changes: coord.HistoryLimit(), Bytes: coord.MaxHistoryBytes}

// New returns an observer. Run starts following the coordinators.
func New(options Options) *Observer {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return &Observer{
		options:  options,
		log:      watchlog.NewLog(logLimits),
		changed:  make(chan struct{}),
		watchers: newWatcherTable(options.MaxWatchers),
		joins:    newJoinLimiter(options.JoinsPerSecond),
		upstream: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxConnsPerHost:     2,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     time.Minute,
		}},
	}
}

// Run follows the coordinators until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	defer o.upstream.CloseIdleConnections()
	o.follow(ctx)
}

// apply extends the state by an update that was requested at askedAt, an instant of clock.Now.
func (o *Observer) apply(update protocol.Update, askedAt time.Duration) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.log.NewestRevision()
	if err := o.log.Extend(update.Batch); err != nil {
		return err
	}
	if update.Through == update.Newest {
		o.completeAt = max(o.completeAt, askedAt-update.Age())
		o.isReady = true
	}
	if o.log.NewestRevision() != before {
		o.watchers.recordChange(o.log.NewestRevision(), clock.Now())
		close(o.changed)
		o.changed = make(chan struct{})
	}
	return nil
}

// ageMillis returns an upper bound on how long ago the state was complete; -1 if it never was. The
// caller must hold mu.
func (o *Observer) ageMillis() int64 {
	if !o.isReady {
		return -1
	}
	return (clock.Now() - o.completeAt).Milliseconds()
}

// read returns the update for a watcher that has everything up to a revision, and a channel that is
// closed when there may be more.
func (o *Observer) read(revision uint64, prefix string) (protocol.Update, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	update := protocol.Update{Newest: o.log.NewestRevision(), AgeMillis: o.ageMillis()}
	isStale := failpoint.IsInjected("snapshot-older") && revision > o.log.NewestRevision()
	if revision < o.log.CompactedRevision() || isStale {
		update.Batch = o.log.Snapshot(prefix)
		o.watchers.snapshots++
		return update, o.changed, nil
	}
	batch, err := o.log.ReadAfter(revision, prefix, maxBatchBytes)
	update.Batch = batch
	return update, o.changed, err
}

// Status returns the observer's status, with a summary of its watchers.
func (o *Observer) Status() protocol.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	status := o.watchers.status(o.log.NewestRevision(), clock.Now())
	status.Name = o.options.Name
	status.Upstream = o.upstreamName
	status.AgeMillis = o.ageMillis()
	return status
}
