package router

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/handover"
)

// Requests that must not run twice, across the processes of this router. While several run, each tells
// the others which of these requests it has begun and whether they may have run: a client that leaves
// may send one again to another process.

// requestState is what a process tells the others of a request, as sent.
type requestState string

const (
	// requestBegun: an attempt has begun.
	requestBegun requestState = "begun"
	// requestMayHaveRun: the request has ended and may have run.
	requestMayHaveRun requestState = "may-have-run"
	// requestNeverRan: the request has ended and has not run, so its client may send it again.
	requestNeverRan requestState = "never-ran"
)

// requestNotice tells the state of one request.
type requestNotice struct {
	// ID is the client-assigned id.
	ID    string       `json:"id"`
	State requestState `json:"state"`
}

// maxPendingNotices limits the notices that wait to be sent; further ones are dropped. They are sent
// at once, so only a process that is about to be given up falls behind by that many.
const maxPendingNotices = 4096

// noticeQueue holds the notices for the other processes, in order. Any goroutine may use it.
type noticeQueue struct {
	mu      sync.Mutex
	pending []requestNotice
	// isFilled has an element while there may be pending notices.
	isFilled chan struct{}
}

func newNoticeQueue() *noticeQueue { return &noticeQueue{isFilled: make(chan struct{}, 1)} }

// add appends a notice.
func (q *noticeQueue) add(notice requestNotice) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) >= maxPendingNotices {
		slog.Warn("the other process is not told of a request that must not run twice", "request", notice.ID)
		return
	}
	q.pending = append(q.pending, notice)
	select {
	case q.isFilled <- struct{}{}:
	default:
	}
}

// take removes and returns all notices.
func (q *noticeQueue) take() []requestNotice {
	q.mu.Lock()
	defer q.mu.Unlock()
	notices := q.pending
	q.pending = nil
	return notices
}

// sendNotices sends the notices to the other processes until ctx ends.
func (r *Router) sendNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.loop.notices.isFilled:
		}
		body, err := json.Marshal(r.loop.notices.take())
		if err != nil {
			slog.Warn("handover: the states of requests could not be encoded", "error", err)
			continue
		}
		for _, link := range r.peers.open() {
			//nolint:errcheck // a process that has ended needs no notice
			link.Send(handover.Message{Kind: requestsKind, Body: body})
		}
	}
}

// notify tells the other processes, if there are any, the state of a request that must not run twice.
func (l *loop) notify(r *request, state requestState) {
	if r.rule.Effect != decide.Idempotent && l.hasPeers.Load() {
		l.notices.add(requestNotice{r.command.id, state})
	}
}

// applyNotices records what another process tells of its requests.
func (l *loop) applyNotices(notices []requestNotice) {
	l.turns.kind = turnRequestNotices
	now := l.now()
	for _, notice := range notices {
		switch notice.State {
		case requestBegun:
			l.peerRequests.add(notice.ID, now)
		case requestMayHaveRun:
			l.peerRequests.remove(notice.ID)
			l.pastRequests.add(notice.ID, now)
		case requestNeverRan:
			l.peerRequests.remove(notice.ID)
		}
	}
}

// knownRequests returns notices of all requests that must not run twice, for a successor.
func (l *loop) knownRequests() (notices []requestNotice) {
	for _, id := range l.pastRequests.ids(l.now()) {
		notices = append(notices, requestNotice{id, requestMayHaveRun})
	}
	for _, r := range l.requests {
		if r.rule.Effect != decide.Idempotent && len(r.attempts) > 0 {
			notices = append(notices, requestNotice{r.command.id, requestBegun})
		}
	}
	return notices
}
