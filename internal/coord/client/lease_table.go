package client

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// LeaseTable is what a client knows of its session and leases, and by which it may act. It has no
// I/O and no clock: all times are the caller's, on one clock. An expiry is counted from when a
// request was sent, never from when its response came: the coordinators began to count before they
// responded, and a holder that counted from the response would act beyond its time.
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

// SessionOpened records a session that was asked for at sentAt.
func (t *LeaseTable) SessionOpened(ttl, sentAt, now time.Duration) {
	*t = LeaseTable{
		sessionTTL:       ttl,
		sessionExpiresAt: countedFrom(sentAt, now) + ttl,
		hasSession:       true,
		leases:           map[string]*heldLease{},
	}
}

// countedFrom is when the time of what was asked for at sentAt begins.
func countedFrom(sentAt, now time.Duration) time.Duration {
	if failpoint.Is("time-from-answer") {
		return now
	}
	return sentAt
}

// KeptAlive records that the session was kept alive by a command that was sent at sentAt and whose
// response came at now. What had expired by then stays expired: the coordinators may have given it
// to another holder before the command reached them.
func (t *LeaseTable) KeptAlive(sentAt, now time.Duration) {
	if !t.HasSession(now) {
		return
	}
	from := countedFrom(sentAt, now)
	t.sessionExpiresAt = max(t.sessionExpiresAt, from+t.sessionTTL)
	for name, lease := range t.leases {
		if now >= lease.expiresAt {
			delete(t.leases, name)
			continue
		}
		lease.expiresAt = max(lease.expiresAt, from+lease.ttl)
	}
}

// Granted records a lease, and reports whether any of its time is left.
func (t *LeaseTable) Granted(name string, token uint64, ttl, sentAt, now time.Duration) bool {
	expiresAt := countedFrom(sentAt, now) + ttl
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

// Forget removes a lease that is held with this token: the client has stopped acting on it.
func (t *LeaseTable) Forget(name string, token uint64) {
	if lease := t.leases[name]; lease != nil && lease.token == token {
		delete(t.leases, name)
	}
}

// SessionLost removes everything: the coordinators said that the session has ended.
func (t *LeaseTable) SessionLost() { *t = LeaseTable{} }

// HasSession reports whether the session is there.
func (t *LeaseTable) HasSession(now time.Duration) bool {
	return t.hasSession && now < t.sessionExpiresAt
}

// Held is a lease's token and how much of its time is left; false where it must not be acted on.
func (t *LeaseTable) Held(name string, now time.Duration) (token uint64, remaining time.Duration, ok bool) {
	lease := t.leases[name]
	if lease == nil || !t.HasSession(now) || now >= lease.expiresAt {
		return 0, 0, false
	}
	return lease.token, min(lease.expiresAt, t.sessionExpiresAt) - now, true
}

// Clone returns a copy that shares nothing.
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

// Fingerprint is a text of all that the table knows: equal tables give equal texts.
func (t *LeaseTable) Fingerprint() string {
	text := fmt.Sprint(t.sessionTTL, t.sessionExpiresAt, t.hasSession)
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		lease := t.leases[name]
		text += fmt.Sprint(" ", name, lease.token, lease.ttl, lease.expiresAt)
	}
	return text
}
