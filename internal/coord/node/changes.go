package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/raft"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

const (
	// maxPollDuration limits a long poll. It is short, so that an observer knows how old its state
	// is.
	maxPollDuration = time.Second

	// maxChangesBytes limits the changes in one response, except for a snapshot.
	maxChangesBytes = 256 << 10
)

// WaitForChanges waits until there are changes of documents after a revision or ctx ends, and
// returns them. Any coordinator responds from its own state, so observers don't load the leader
// more than other coordinators. The error may be a watchlog.BehindError, a protocol.Rejection,
// ErrNotLeader or a LimitError.
func (n *Node) WaitForChanges(ctx context.Context, after uint64, prefix string) (protocol.Update, error) {
	err := n.watch(ctx, documentsWatchKey, func(s *coord.State) bool { return s.Revision() > after })
	if err != nil {
		return protocol.Update{}, err
	}
	age, err := n.stateAge() // before the state is read, so that the state is at most this old
	if err != nil {
		return protocol.Update{}, err
	}
	n.mu.Lock()
	batch, err := n.state.ChangesAfter(after, prefix, maxChangesBytes)
	newest := n.state.Revision()
	n.mu.Unlock()
	return protocol.Update{Batch: batch, Newest: newest, AgeMillis: age.Milliseconds()}, err
}

// stateAge returns an upper bound on how long ago this coordinator's state was complete: 0 at a
// leader that a majority confirms, and the time since the last contact with the leader at a
// follower.
func (n *Node) stateAge() (time.Duration, error) {
	if n.raft.State() == raft.Leader {
		if err := n.raft.VerifyLeader().Error(); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
		return 0, nil
	}
	lastContact := n.raft.LastContact()
	if lastContact.IsZero() {
		return 0, &protocol.Rejection{Code: protocol.CodeNotReady, Text: "no contact with a leader yet"}
	}
	return time.Since(lastContact), nil
}

// serveChanges answers GET /v1/changes?after=REVISION&prefix=PREFIX.
func (n *Node) serveChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		rejection := &protocol.Rejection{Code: protocol.CodeInvalid, Text: "after: " + err.Error()}
		writeRejection(w, http.StatusBadRequest, rejection)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxPollDuration)
	defer cancel()
	update, err := n.WaitForChanges(ctx, after, r.URL.Query().Get("prefix"))
	var behind *watchlog.BehindError
	var rejection *protocol.Rejection
	switch {
	case errors.As(err, &behind):
		rejection = &protocol.Rejection{Code: protocol.CodeBehind, Text: err.Error()}
		writeRejection(w, http.StatusConflict, rejection)
	case errors.As(err, &rejection):
		writeRejection(w, http.StatusServiceUnavailable, rejection)
	case err != nil:
		rejection = &protocol.Rejection{Code: protocol.CodeNotReady, Text: err.Error()}
		writeRejection(w, http.StatusServiceUnavailable, rejection)
	default:
		n.writeResponse(w, update, nil)
	}
}

func writeRejection(w http.ResponseWriter, status int, rejection *protocol.Rejection) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rejection) // an error means that the client has disconnected
}

// serveHistory answers GET /v1/history?name=NAME with the retained changes of a document.
func (n *Node) serveHistory(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("name")
	history := []watchlog.Change{}
	err := n.LinearizableRead(func(s *coord.State) { history = append(history, s.Documents.History(name)...) })
	n.writeResponse(w, history, err)
}

// serveDocuments answers GET /v1/documents?prefix=PREFIX with a list of documents.
func (n *Node) serveDocuments(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	rows := []protocol.DocumentRow{}
	err := n.LinearizableRead(func(s *coord.State) {
		for _, c := range s.Documents.Snapshot(prefix).Changes {
			rows = append(rows, protocol.DocumentRow{Name: c.Name, Revision: c.Revision, Bytes: len(c.Value)})
		}
	})
	n.writeResponse(w, rows, err)
}
