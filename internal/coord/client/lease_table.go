package client

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// LeaseTable is what a client knows of its session and leases, and by it whether it may act. It has no I/O and no clock: all times
// are the caller's, on one clock. An end is counted from when a request was sent, never from when it was answered.
type LeaseTable struct {
	sessionTTL       time.Duration
	sessionExpiresAt time.Duration // of the session
	hasSession       bool
	leases           map[string]*heldLease
}

type heldLease struct {
	token     uint64
	ttl       time.Duration
	expiresAt time.Duration
}

// SessionOpened books a session that was asked for at sent.
func (b *LeaseTable) SessionOpened(ttl, sent, now time.Duration) {
	*b = LeaseTable{sessionTTL: ttl, sessionExpiresAt: b.countedFrom(sent, now) + ttl, hasSession: true, leases: map[string]*heldLease{}}
}

// countedFrom is when the time of what was asked for at sent begins.
func (b *LeaseTable) countedFrom(sent, now time.Duration) time.Duration {
	if failpoint.Is("time-from-answer") {
		return now
	}
	return sent
}

// KeptAlive books that the session was kept by a command that was sent at sent and whose answer came at now. What had ended by
// then stays ended: the coordinators may have given it to another before the command reached them.
func (b *LeaseTable) KeptAlive(sent, now time.Duration) {
	if !b.HasSession(now) {
		return
	}
	from := b.countedFrom(sent, now)
	b.sessionExpiresAt = max(b.sessionExpiresAt, from+b.sessionTTL)
	for name, e := range b.leases {
		if now >= e.expiresAt {
			delete(b.leases, name)
		} else {
			e.expiresAt = max(e.expiresAt, from+e.ttl)
		}
	}
}

// Granted books a lease, and reports whether any of its time is left.
func (b *LeaseTable) Granted(name string, token uint64, ttl, sent, now time.Duration) bool {
	until := b.countedFrom(sent, now) + ttl
	if !b.HasSession(now) || now >= until {
		return false
	}
	if e := b.leases[name]; e != nil && e.token == token && now < e.expiresAt {
		e.expiresAt = max(e.expiresAt, until)
	} else {
		b.leases[name] = &heldLease{token, ttl, until}
	}
	return true
}

// Forget forgets a lease that is held with this token: the client has stopped acting on it.
func (b *LeaseTable) Forget(name string, token uint64) {
	if e := b.leases[name]; e != nil && e.token == token {
		delete(b.leases, name)
	}
}

// SessionLost forgets all: the coordinators say that the session has ended.
func (b *LeaseTable) SessionLost() { *b = LeaseTable{} }

// HasSession reports whether the session is there.
func (b *LeaseTable) HasSession(now time.Duration) bool {
	return b.hasSession && now < b.sessionExpiresAt
}

// Held tells a lease's token and how much of its time is left.
func (b *LeaseTable) Held(name string, now time.Duration) (token uint64, left time.Duration, ok bool) {
	e := b.leases[name]
	if e == nil || !b.HasSession(now) || now >= e.expiresAt {
		return 0, 0, false
	}
	return e.token, min(e.expiresAt, b.sessionExpiresAt) - now, true
}

// Count is how many leases are held.
func (b *LeaseTable) Count(now time.Duration) (n int) {
	for name := range b.leases {
		if _, _, ok := b.Held(name, now); ok {
			n++
		}
	}
	return n
}

// Clone is a copy that shares nothing.
func (b *LeaseTable) Clone() LeaseTable {
	c := *b
	if b.leases != nil {
		c.leases = map[string]*heldLease{}
		for name, e := range b.leases {
			one := *e
			c.leases[name] = &one
		}
	}
	return c
}

// Fingerprint tells all that the book knows: equal books give equal texts.
func (b *LeaseTable) Fingerprint() string {
	text := fmt.Sprint(b.sessionTTL, b.sessionExpiresAt, b.hasSession)
	for _, name := range slices.Sorted(maps.Keys(b.leases)) {
		e := b.leases[name]
		text += fmt.Sprint(" ", name, e.token, e.ttl, e.expiresAt)
	}
	return text
}
