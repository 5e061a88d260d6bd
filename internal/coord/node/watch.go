package node

import (
	"context"
	"fmt"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/clock"
)

// MaxWatchers is the maximum number of clients that wait for a change: two for each session.
const MaxWatchers = 16384

// Keys of watches other than lease names, which are not expected to begin with a zero byte.
const (
	rolloutWatchKey   = "\x00rollout"
	drainsWatchKey    = "\x00drains"
	documentsWatchKey = "\x00changes"
)

// WatchLease waits until a lease has another token than the given one (0: the lease is free), its
// record is written, or ctx ends. A return only means that the lease may have changed.
func (n *Node) WatchLease(ctx context.Context, name string, token uint64) error {
	return n.watch(ctx, name, func(s *coord.State) bool {
		lease := s.Leases[name]
		if lease == nil {
			return token != 0
		}
		return lease.Token != token
	})
}

// WatchRollout waits until the state of rollouts has a newer version than after, or ctx ends.
func (n *Node) WatchRollout(ctx context.Context, after uint64) error {
	return n.watch(ctx, rolloutWatchKey, func(s *coord.State) bool {
		version, _ := s.RolloutVersions()
		return version > after
	})
}

// WatchDrains waits until the set of drained servers has a newer version than after, or ctx ends.
func (n *Node) WatchDrains(ctx context.Context, after uint64) error {
	return n.watch(ctx, drainsWatchKey, func(s *coord.State) bool {
		_, version := s.RolloutVersions()
		return version > after
	})
}

// watch waits until the state under the key may have changed or ctx ends. It returns immediately if
// hasNews is true. Its error is a LimitError.
func (n *Node) watch(ctx context.Context, key string, hasNews func(*coord.State) bool) error {
	n.mu.Lock()
	if hasNews(n.state) {
		n.mu.Unlock()
		return nil
	}
	if n.watchers >= MaxWatchers {
		n.mu.Unlock()
		n.rejected.Add(1)
		text := fmt.Sprintf("watchers: %d at most", MaxWatchers)
		return &LimitError{Text: text, RetryAfter: n.tableRetries.nextRetryAfter(clock.Now())}
	}
	changed := n.watches[key]
	if changed == nil {
		changed = make(chan struct{})
		n.watches[key] = changed
	}
	n.watchers++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.watchers--
		n.mu.Unlock()
	}()
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return nil
}

// notifyWatches wakes the clients that wait for a key. The caller must hold mu.
func (n *Node) notifyWatches(key string) {
	if changed := n.watches[key]; changed != nil {
		close(changed)
		delete(n.watches, key)
	}
}
