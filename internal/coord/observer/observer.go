// Package observer is a read-only replica of the agreed configuration: it follows the coordinators without a vote and serves
// watches to hundreds of routers, so that the coordinators' cost depends on the observers alone. Its state is in memory; a
// restarted one takes a snapshot.
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

// Options are those of one observer.
type Options struct {
	Name           string
	Coordinators   map[string]string // addresses for clients, by name
	MaxWatchers    int
	JoinsPerSecond float64 // at which watches are begun
	WatcherBytes   int     // a second, to each watcher
	Log            *slog.Logger
}

// Observer holds the state and its watchers.
type Observer struct {
	options  Options
	upstream *http.Client

	mu         sync.Mutex // guards what follows
	log        *watchlog.Log
	isReady    bool
	completeAt time.Duration // on clock.Now: the state was complete then, at the earliest
	following  string        // the coordinator
	changed    chan struct{} // closed, and replaced, once the log has changed
	watchers   *watcherTable
	joins      *joinLimiter
}

// logLimits are those of the coordinators' log: a watcher that an observer can't serve differences, they couldn't either.
var logLimits = watchlog.Limits{Changes: coord.HistoryLimit(), Bytes: coord.MaxHistoryBytes}

// New prepares an observer; Run has it follow the coordinators.
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

// apply extends the state by an update that was asked for at an instant of clock.Now.
func (o *Observer) apply(update protocol.Update, askedAt time.Duration) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.log.Newest()
	if err := o.log.Extend(update.Batch); err != nil {
		return err
	}
	if update.Through == update.Newest {
		o.completeAt = max(o.completeAt, askedAt-update.Age())
		o.isReady = true
	}
	if o.log.Newest() != before {
		o.watchers.changed(o.log.Newest(), clock.Now())
		close(o.changed)
		o.changed = make(chan struct{})
	}
	return nil
}

// ageMillis is how long ago the state was complete at most; -1 where it never was. The caller holds mu.
func (o *Observer) ageMillis() int64 {
	if !o.isReady {
		return -1
	}
	return (clock.Now() - o.completeAt).Milliseconds()
}

// read is what a watcher gets that has everything through a revision, and what is closed once there may be more.
func (o *Observer) read(revision uint64, prefix string) (protocol.Update, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	update := protocol.Update{Newest: o.log.Newest(), AgeMillis: o.ageMillis()}
	isStale := failpoint.Is("snapshot-older") && revision > o.log.Newest()
	if revision < o.log.Compacted() || isStale {
		update.Batch = o.log.Snapshot(prefix)
		o.watchers.snapshots++
		return update, o.changed, nil
	}
	batch, err := o.log.After(revision, prefix, maxBatchBytes)
	update.Batch = batch
	return update, o.changed, err
}

// Status tells how the observer stands, its watchers summed up.
func (o *Observer) Status() protocol.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	status := o.watchers.status(o.log.Newest(), clock.Now())
	status.Name, status.Upstream, status.AgeMillis = o.options.Name, o.following, o.ageMillis()
	return status
}
