package observer

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
	"dockhinge.example/dockhinge/internal/failpoint"
)

const (
	maxBatchBytes    = 64 << 10               // of one update, except for a snapshot
	progressInterval = 500 * time.Millisecond // between progress notices; clients time out after four of them
	maxRequestBytes  = 4 << 10

	notReadyRetryAfter     = time.Second
	watcherLimitRetryAfter = 5 * time.Second
)

// Handler returns the HTTP API for routers and the operators' tool.
func (o *Observer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+protocol.WatchPath, o.serveWatch)
	mux.HandleFunc("POST "+protocol.AcknowledgePath, o.serveAcknowledge)
	mux.HandleFunc("GET "+protocol.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(o.Status()) // an error means that the client has disconnected
	})
	return mux
}

// watchRequest has the parameters of a watch.
type watchRequest struct {
	watcher string
	after   uint64
	prefix  string
}

func parseWatch(r *http.Request) (watchRequest, error) {
	query := r.URL.Query()
	request := watchRequest{watcher: query.Get("watcher"), prefix: query.Get("prefix")}
	if request.watcher == "" || len(request.watcher) > coord.MaxNameBytes {
		return request, fmt.Errorf("watcher: %d bytes, and 1 to %d are wanted",
			len(request.watcher), coord.MaxNameBytes)
	}
	if len(request.prefix) > coord.MaxNameBytes {
		return request, fmt.Errorf("prefix: %d bytes, at most %d", len(request.prefix), coord.MaxNameBytes)
	}
	after, err := strconv.ParseUint(cmp.Or(query.Get("after"), "0"), 10, 64)
	if err != nil {
		return request, fmt.Errorf("after: %w", err)
	}
	request.after = after
	return request, nil
}

// serveWatch answers GET /v1/watch?watcher=NAME&after=REVISION&prefix=PREFIX with one line of JSON
// per update, until the router disconnects, doesn't read for writeTimeout, or starts another watch.
func (o *Observer) serveWatch(w http.ResponseWriter, r *http.Request) {
	request, err := parseWatch(r)
	if err != nil {
		reject(w, http.StatusBadRequest, &protocol.Rejection{Code: protocol.CodeInvalid, Text: err.Error()})
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	watch, rejection := o.join(request, cancel)
	if rejection != nil {
		reject(w, http.StatusServiceUnavailable, rejection)
		return
	}
	defer func() {
		o.mu.Lock()
		o.watchers.remove(watch)
		o.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "application/jsonl")
	err = o.stream(ctx, newPacedWriter(w, o.options.WatcherBytesPerSecond), request, watch)
	if err != nil && ctx.Err() == nil {
		o.options.Log.Info("watch ended", "watcher", request.watcher, "error", err)
	}
}

// join admits a watcher, or returns the rejection.
func (o *Observer) join(request watchRequest, end func()) (*watcher, *protocol.Rejection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isReady {
		return nil, &protocol.Rejection{
			Code:             protocol.CodeNotReady,
			Text:             "no state yet",
			RetryAfterMillis: notReadyRetryAfter.Milliseconds(),
		}
	}
	newest := o.log.NewestRevision()
	if request.after > newest && !failpoint.IsInjected("snapshot-older") {
		o.watchers.rejectedAhead++
		behind := watchlog.BehindError{After: request.after, Newest: newest}
		return nil, &protocol.Rejection{Code: protocol.CodeBehind, Text: behind.Error()}
	}
	now := clock.Now()
	if retryAfter, ok := o.joins.admit(now); !ok {
		o.watchers.rejectedJoins++
		text := fmt.Sprintf("joins: %v a second at most", o.options.JoinsPerSecond)
		return nil, newOverloadedRejection(text, retryAfter)
	}
	watch := o.watchers.join(request.watcher, request.after, newest, now, end)
	if watch == nil {
		o.watchers.rejectedJoins++
		text := fmt.Sprintf("watchers: %d at most", o.options.MaxWatchers)
		return nil, newOverloadedRejection(text, watcherLimitRetryAfter)
	}
	return watch, nil
}

// newOverloadedRejection returns a rejection because of a limit.
func newOverloadedRejection(text string, retryAfter time.Duration) *protocol.Rejection {
	return &protocol.Rejection{
		Code:             protocol.CodeOverloaded,
		Text:             text,
		RetryAfterMillis: retryAfter.Milliseconds(),
	}
}

// stream sends updates until the watch ends. A watcher has no queue of its own but only a revision
// in the log. So a slow watcher uses no memory, and gets a snapshot once the log is compacted
// beyond its revision.
func (o *Observer) stream(ctx context.Context, out *pacedWriter, request watchRequest, watch *watcher) error {
	if err := out.begin(); err != nil {
		return err
	}
	revision := request.after
	isProgressDue := true // the first line immediately reports this observer's revision
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	for {
		update, changed, err := o.read(revision, request.prefix)
		if err != nil {
			return err
		}
		if len(update.Changes) > 0 || update.Snapshot || isProgressDue {
			o.recordSent(watch, update.Through)
			if err := out.writeLine(ctx, update); err != nil {
				return err
			}
			revision = update.Through
			isProgressDue = false
		}
		if update.Through < update.Newest && len(update.Changes) > 0 {
			continue // the rest of a large batch follows
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-progress.C:
			isProgressDue = true
		}
	}
}

func (o *Observer) recordSent(watch *watcher, revision uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	watch.sentThrough = max(watch.sentThrough, revision)
}

// serveAcknowledge answers POST /v1/acknowledge.
func (o *Observer) serveAcknowledge(w http.ResponseWriter, r *http.Request) {
	var a protocol.Acknowledgement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&a); err != nil {
		reject(w, http.StatusBadRequest, &protocol.Rejection{Code: protocol.CodeInvalid, Text: err.Error()})
		return
	}
	o.mu.Lock()
	answer := protocol.AcknowledgementResponse{Newest: o.log.NewestRevision(), AgeMillis: o.ageMillis()}
	ok := o.watchers.acknowledge(a, answer.Newest)
	o.mu.Unlock()
	if !ok {
		text := fmt.Sprintf("%s doesn't watch here, or was not given revision %d", a.Watcher, a.Revision)
		reject(w, http.StatusConflict, &protocol.Rejection{Code: protocol.CodeNotWatching, Text: text})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // an error means that the client has disconnected
}

// reject sends a rejection. If it has a time to retry, it also sets Retry-After, in whole seconds,
// rounded up.
func reject(w http.ResponseWriter, status int, rejection *protocol.Rejection) {
	if rejection.RetryAfterMillis > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((rejection.RetryAfterMillis+999)/1000, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rejection) // an error means that the client has disconnected
}
