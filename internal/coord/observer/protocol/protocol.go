// Package protocol holds the messages between coordinators, observers and the routers that watch them: JSON over HTTP.
package protocol

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

// Paths of the requests.
const (
	ChangesPath     = "/v1/changes"     // at coordinators: GET, a long poll with Update as its answer
	HistoryPath     = "/v1/history"     // at coordinators: GET, a document's []watchlog.Change
	DocumentsPath   = "/v1/documents"   // at coordinators: GET, []DocumentRow
	WatchPath       = "/v1/watch"       // at observers: GET, a stream of Update, one a line
	AcknowledgePath = "/v1/acknowledge" // at observers: POST of Acknowledgement, answered by Acknowledged
	StatusPath      = "/v1/status"      // at observers: GET, Status
)

// Update is what a watcher gets: a batch, and how old the state is that it comes from.
type Update struct {
	watchlog.Batch
	Newest    uint64 `json:"newest"`    // the sender's newest revision; Through is below it where more follows
	AgeMillis int64  `json:"ageMillis"` // the sender's state was complete at most so long before it sent this
}

// Age is AgeMillis as a duration.
func (u Update) Age() time.Duration { return time.Duration(u.AgeMillis) * time.Millisecond }

// Code says why a request was refused.
type Code string

// The refusals.
const (
	CodeBehind      Code = "behind"      // the one that was asked has older state than the watcher: ask another
	CodeNotReady    Code = "unready"     // it has no state yet: ask another
	CodeOverloaded  Code = "busy"        // too many join at once, or watch: RetryAfterMillis
	CodeInvalid     Code = "invalid"     // the request is impossible
	CodeNotWatching Code = "not-watched" // an acknowledgement of who doesn't watch here, or of a revision that it wasn't given
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

// Acknowledgement tells that a watcher has everything through a revision in force.
type Acknowledgement struct {
	Watcher  string `json:"watcher"`
	Revision uint64 `json:"revision"`
}

// AcknowledgementResponse answers an Acknowledgement: who has everything through Newest knows by it how old that is.
type AcknowledgementResponse struct {
	Newest    uint64 `json:"newest"`
	AgeMillis int64  `json:"ageMillis"`
}

// DocumentRow is one document as it is listed.
type DocumentRow struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Bytes    int    `json:"bytes"`
}

// LaggingWatcher is a watcher that has not acknowledged the newest revision.
type LaggingWatcher struct {
	Watcher     string `json:"watcher"`
	Revision    uint64 `json:"revision"` // that it acknowledged
	SinceMillis int64  `json:"sinceMillis"`
}

// Status is how an observer stands, its watchers summed up.
type Status struct {
	Name                    string           `json:"name"`
	Revision                uint64           `json:"revision"`
	AgeMillis               int64            `json:"ageMillis"` // -1: it has no state yet
	Upstream                string           `json:"upstream"`  // the coordinator that it follows
	Watchers                int              `json:"watchers"`
	Acknowledged            int              `json:"acknowledged"` // watchers that have the newest revision in force
	Lagging                 []LaggingWatcher `json:"lagging"`      // the others, the longest first, MaxLagging at most
	Snapshots               int64            `json:"snapshots"`    // given to watchers
	RejectedJoins           int64            `json:"refused"`      // joins, as too many came at once or watch
	RejectedAhead           int64            `json:"ahead"`        // joins turned away, as the watcher had newer state
	InvalidAcknowledgements int64            `json:"lies"`         // acknowledgements of what was not given
}

// MaxLagging bounds Status.Lagging.
const MaxLagging = 100
