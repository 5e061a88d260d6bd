package client

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// LeaseTable is a client's local record of its session and leases, which decides whether it may
// act. It has no I/O and no clock: the caller passes all times, which must be of one clock. Expiry
// is counted from when a request was sent, never from when its response arrived: the coordinators
// start counting before they respond, so a holder that counts from the response would act beyond
// its lease.
type LeaseTable struct {
	sessionTTL       time.Duration
	sessionExpiresAt time.Duration
	hasSession       bool
	leases           map[string]*heldLease // by name
}

type heldLease struct {
	token     uint64
	ttl       time.Duration
	expiresAt time.Duration
}

// RecordSessionOpened records a session whose request was sent at sentAt.
func (t *LeaseTable) RecordSessionOpened(ttl, sentAt, now time.Duration) {
	*t = LeaseTable{
		sessionTTL:       ttl,
		sessionExpiresAt: countingStart(sentAt, now) + ttl,
		hasSession:       true,
		leases:           map[string]*heldLease{},
	}
}

// countingStart returns the instant from which expiry is counted for a request that was sent at
// sentAt.
func countingStart(sentAt, now time.Duration) time.Duration {
	if failpoint.IsInjected("time-from-answer") {
		return now
	}
	return sentAt
}

// RecordKeepAlive records a keep-alive that was sent at sentAt and whose response arrived at now.
// Leases that had expired by then stay expired: the coordinators may have granted them to another
// holder before the keep-alive reached them.
func (t *LeaseTable) RecordKeepAlive(sentAt, now time.Duration) {
	if !t.HasSession(now) {
		return
	}
	from := countingStart(sentAt, now)
	t.sessionExpiresAt = max(t.sessionExpiresAt, from+t.sessionTTL)
	for name, lease := range t.leases {
		if now >= lease.expiresAt {
			delete(t.leases, name)
			continue
		}
		lease.expiresAt = max(lease.expiresAt, from+lease.ttl)
	}
}

// RecordGrant records a granted lease. It returns false if the lease or the session has expired
// already.
func (t *LeaseTable) RecordGrant(name string, token uint64, ttl, sentAt, now time.Duration) bool {
	expiresAt := countingStart(sentAt, now) + ttl
	if !t.HasSession(now) || now >= expiresAt {
		return false
	}
	known := t.leases[name]
	if known != nil && known.token == token && now < known.expiresAt {
		known.expiresAt = max(known.expiresAt, expiresAt)
		return true
	}
	t.leases[name] = &heldLease{token: token, ttl: ttl, expiresAt: expiresAt}
	return true
}

// Forget removes a lease that is held with this token, as the client has stopped acting under it.
func (t *LeaseTable) Forget(name string, token uint64) {
	if lease := t.leases[name]; lease != nil && lease.token == token {
		delete(t.leases, name)
	}
}

// RecordSessionLost removes the session and all leases.
func (t *LeaseTable) RecordSessionLost() { *t = LeaseTable{} }

// HasSession reports whether the session is open.
func (t *LeaseTable) HasSession(now time.Duration) bool {
	return t.hasSession && now < t.sessionExpiresAt
}

// HeldLease returns a held lease's token and the time until it expires, or false if the client must
// not act.
func (t *LeaseTable) HeldLease(name string, now time.Duration) (token uint64, remaining time.Duration, ok bool) {
	lease := t.leases[name]
	if lease == nil || !t.HasSession(now) || now >= lease.expiresAt {
		return 0, 0, false
	}
	return lease.token, min(lease.expiresAt, t.sessionExpiresAt) - now, true
}

// Clone returns a copy that shares no mutable data.
func (t *LeaseTable) Clone() LeaseTable {
	c := *t
	if t.leases == nil {
		return c
	}
	c.leases = make(map[string]*heldLease, len(t.leases))
	for name, lease := range t.leases {
		copied := *lease
		c.leases[name] = &copied
	}
	return c
}

// Fingerprint returns a text of the table's content. Equal tables have equal texts.
func (t *LeaseTable) Fingerprint() string {
	text := fmt.Sprint(t.sessionTTL, t.sessionExpiresAt, t.hasSession)
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		lease := t.leases[name]
		text += fmt.Sprint(" ", name, lease.token, lease.ttl, lease.expiresAt)
	}
	return text
}
