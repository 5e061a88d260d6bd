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
	maxPollDuration   = time.Second // of a long poll; short, so that an observer knows how old its state is
	maxChangesBytes   = 256 << 10   // of one answer, unless it is a snapshot
	documentsWatchKey = "\x00changes"
)

// Changes waits until there are changes of the agreed configuration after a revision, or ctx ends, and reads them. Any
// coordinator answers from its own state, so that observers cost the leader no more than another one.
func (n *Node) Changes(ctx context.Context, after uint64, prefix string) (protocol.Update, error) {
	err := n.watch(ctx, documentsWatchKey, func(s *coord.State) bool { return s.Revision() > after })
	if err != nil {
		return protocol.Update{}, err
	}
	age, err := n.stateAge() // before the state is read, so that it is not younger than told
	if err != nil {
		return protocol.Update{}, err
	}
	n.mu.Lock()
	batch, err := n.state.ChangesAfter(after, prefix, maxChangesBytes)
	newest := n.state.Revision()
	n.mu.Unlock()
	return protocol.Update{Batch: batch, Newest: newest, AgeMillis: age.Milliseconds()}, err
}

// stateAge is how long ago this coordinator's state was complete, at most as far as it can know: now at a leader that a majority
// confirms, at a follower since its leader was last heard of.
func (n *Node) stateAge() (time.Duration, error) {
	if n.raft.State() == raft.Leader {
		if err := n.raft.VerifyLeader().Error(); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
		return 0, nil
	}
	last := n.raft.LastContact()
	if last.IsZero() {
		return 0, &protocol.Rejection{Code: protocol.CodeNotReady, Text: "no leader has been heard of"}
	}
	return time.Since(last), nil
}

// serveChanges answers GET /v1/changes?after=REVISION&prefix=PREFIX.
func (n *Node) serveChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		reject(w, http.StatusBadRequest, &protocol.Rejection{Code: protocol.CodeInvalid, Text: "after: " + err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxPollDuration)
	defer cancel()
	update, err := n.Changes(ctx, after, r.URL.Query().Get("prefix"))
	var behind *watchlog.BehindError
	var refusal *protocol.Rejection
	switch {
	case errors.As(err, &behind):
		reject(w, http.StatusConflict, &protocol.Rejection{Code: protocol.CodeBehind, Text: err.Error()})
	case errors.As(err, &refusal):
		reject(w, http.StatusServiceUnavailable, refusal)
	case err != nil:
		reject(w, http.StatusServiceUnavailable, &protocol.Rejection{Code: protocol.CodeNotReady, Text: err.Error()})
	default:
		n.writeResponse(w, update, nil)
	}
}

func reject(w http.ResponseWriter, status int, refusal *protocol.Rejection) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusal) // a client that has gone needs no answer
}

// serveHistory answers GET /v1/history?name=NAME with what is kept of a document's changes.
func (n *Node) serveHistory(w http.ResponseWriter, r *http.Request) {
	history := []watchlog.Change{}
	err := n.LinearizableRead(func(s *coord.State) { history = append(history, s.Documents.History(r.URL.Query().Get("name"))...) })
	n.writeResponse(w, history, err)
}

// serveDocuments answers GET /v1/documents?prefix=PREFIX with a list.
func (n *Node) serveDocuments(w http.ResponseWriter, r *http.Request) {
	rows := []protocol.DocumentRow{}
	err := n.LinearizableRead(func(s *coord.State) {
		for _, c := range s.Documents.Snapshot(r.URL.Query().Get("prefix")).Changes {
			rows = append(rows, protocol.DocumentRow{Name: c.Name, Revision: c.Revision, Bytes: len(c.Value)})
		}
	})
	n.writeResponse(w, rows, err)
}
