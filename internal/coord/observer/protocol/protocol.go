// Package protocol holds the messages between coordinators, observers and the routers that watch
// them: JSON over HTTP.
package protocol

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

// Paths of the requests.
const (
	ChangesPath     = "/v1/changes"     // at coordinators: GET, a long poll answered by an Update
	HistoryPath     = "/v1/history"     // at coordinators: GET, a document's []watchlog.Change
	DocumentsPath   = "/v1/documents"   // at coordinators: GET, []DocumentRow
	WatchPath       = "/v1/watch"       // at observers: GET, a stream of Update, one a line
	AcknowledgePath = "/v1/acknowledge" // at observers: POST, answered by an AcknowledgementResponse
	StatusPath      = "/v1/status"      // at observers: GET, Status
)

// Update is what a watcher gets: a batch, and how old the state is that it comes from.
type Update struct {
	watchlog.Batch
	// Newest is the sender's newest revision. Through is below it where more follows.
	Newest uint64 `json:"newest"`
	// AgeMillis is how long before the sending the sender's state was complete, at most.
	AgeMillis int64 `json:"ageMillis"`
}

// Age is AgeMillis as a duration.
func (u Update) Age() time.Duration { return time.Duration(u.AgeMillis) * time.Millisecond }

// Code says why a request was rejected.
type Code string

// The codes.
const (
	CodeBehind      Code = "behind"      // the sender's state is older than the watcher's: try another
	CodeNotReady    Code = "unready"     // the sender has no state yet: try another
	CodeOverloaded  Code = "busy"        // too many join at once, or watch: RetryAfterMillis
	CodeInvalid     Code = "invalid"     // the request is impossible
	CodeNotWatching Code = "not-watched" // acknowledged without a watch, or beyond what was sent
)

// Rejection is the body of an answer that isn't 200. It is an error.
type Rejection struct {
	Code             Code   `json:"code"`
	Text             string `json:"text"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

func (r *Rejection) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Text) }

// RetryAfter is RetryAfterMillis as a duration.
func (r *Rejection) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// Acknowledgement says that a watcher has applied everything through a revision.
type Acknowledgement struct {
	Watcher  string `json:"watcher"`
	Revision uint64 `json:"revision"`
}

// AcknowledgementResponse answers an Acknowledgement: a watcher that has everything through Newest
// knows by it how old that is.
type AcknowledgementResponse struct {
	Newest    uint64 `json:"newest"`
	AgeMillis int64  `json:"ageMillis"` // as in Status
}

// DocumentRow is one document as it is listed.
type DocumentRow struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Bytes    int    `json:"bytes"` // of its value
}

// LaggingWatcher is one that has not acknowledged the newest revision.
type LaggingWatcher struct {
	Watcher     string `json:"watcher"`
	Revision    uint64 `json:"revision"`    // acknowledged
	SinceMillis int64  `json:"sinceMillis"` // it has lagged for so long
}

// Status is how an observer stands, with a summary of its watchers.
type Status struct {
	Name      string `json:"name"`
	Revision  uint64 `json:"revision"`
	AgeMillis int64  `json:"ageMillis"` // the state was complete at most so long ago; -1: never
	Upstream  string `json:"upstream"`  // the coordinator that it follows

	Watchers     int `json:"watchers"`
	Acknowledged int `json:"acknowledged"` // watchers that have applied the newest revision
	// Lagging are the other watchers, those first that lag for longest; MaxLagging at most.
	Lagging []LaggingWatcher `json:"lagging"`

	Snapshots     int64 `json:"snapshots"` // sent to watchers
	RejectedJoins int64 `json:"refused"`   // as too many came at once, or watch
	RejectedAhead int64 `json:"ahead"`     // joins, as the watcher had newer state
	// InvalidAcknowledgements are those of a revision that was not sent.
	InvalidAcknowledgements int64 `json:"lies"`
}

// MaxLagging bounds Status.Lagging.
const MaxLagging = 100
