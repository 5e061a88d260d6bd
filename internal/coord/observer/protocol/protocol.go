// Package protocol defines the messages between coordinators, observers and the routers that watch
// documents: JSON over HTTP.
package protocol

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

// Paths of the requests.
const (
	ChangesPath     = "/v1/changes"     // coordinators, GET: long poll, returns Update
	HistoryPath     = "/v1/history"     // coordinators, GET: returns a document's []watchlog.Change
	DocumentsPath   = "/v1/documents"   // coordinators, GET: returns []DocumentRow
	WatchPath       = "/v1/watch"       // observers, GET: returns a stream of Update, one per line
	AcknowledgePath = "/v1/acknowledge" // observers, POST Acknowledgement: returns AcknowledgementResponse
	StatusPath      = "/v1/status"      // observers, GET: returns Status
)

// Update is a batch of changes for a watcher, with the age of the sender's state.
type Update struct {
	watchlog.Batch
	// Newest is the sender's newest revision. If Through is lower, more changes follow.
	Newest uint64 `json:"newest"`
	// AgeMillis is an upper bound on how long before sending the sender's state was complete.
	AgeMillis int64 `json:"ageMillis"`
}

// Age returns AgeMillis as a duration.
func (u Update) Age() time.Duration { return time.Duration(u.AgeMillis) * time.Millisecond }

// Code is the reason for which a request was rejected.
type Code string

// Codes of rejections.
const (
	CodeBehind      Code = "behind"      // the sender's state is older than the watcher's: try another sender
	CodeNotReady    Code = "unready"     // the sender has no state yet: try another sender
	CodeOverloaded  Code = "busy"        // too many joins or watchers: retry after RetryAfterMillis
	CodeInvalid     Code = "invalid"     // the request is invalid
	CodeNotWatching Code = "not-watched" // an acknowledgement without a watch, or of a revision that was not sent
)

// Rejection is the body of a response with a status other than 200. It is an error.
type Rejection struct {
	Code             Code   `json:"code"`
	Text             string `json:"text"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

func (r *Rejection) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Text) }

// RetryAfter returns RetryAfterMillis as a duration.
func (r *Rejection) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// Acknowledgement reports that a watcher has applied everything up to a revision.
type Acknowledgement struct {
	Watcher  string `json:"watcher"`
	Revision uint64 `json:"revision"`
}

// AcknowledgementResponse answers an Acknowledgement. A watcher that has everything up to Newest
// learns the age of its state from it.
type AcknowledgementResponse struct {
	Newest    uint64 `json:"newest"`
	AgeMillis int64  `json:"ageMillis"` // see Status
}

// DocumentRow describes one document in a list.
type DocumentRow struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Bytes    int    `json:"bytes"` // of its value
}

// LaggingWatcher is a watcher that has not acknowledged the newest revision.
type LaggingWatcher struct {
	Watcher     string `json:"watcher"`
	Revision    uint64 `json:"revision"`    // the highest that it has acknowledged
	SinceMillis int64  `json:"sinceMillis"` // how long it has been lagging
}

// Status describes an observer, with a summary of its watchers.
type Status struct {
	Name      string `json:"name"`
	Revision  uint64 `json:"revision"`
	AgeMillis int64  `json:"ageMillis"` // upper bound on how long ago the state was complete; -1: never
	Upstream  string `json:"upstream"`  // name of the coordinator that it follows

	Watchers     int `json:"watchers"`
	Acknowledged int `json:"acknowledged"` // number of watchers that have applied the newest revision
	// Lagging are the other watchers, the longest-lagging first; MaxLagging at most.
	Lagging []LaggingWatcher `json:"lagging"`

	Snapshots     int64 `json:"snapshots"` // number sent to watchers
	RejectedJoins int64 `json:"refused"`   // by the limits of joins and watchers
	RejectedAhead int64 `json:"ahead"`     // of watchers with a newer revision than the observer's
	// InvalidAcknowledgements counts acknowledgements of revisions that were not sent.
	InvalidAcknowledgements int64 `json:"lies"`
}

// MaxLagging is the maximum length of Status.Lagging.
const MaxLagging = 100
