package client

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Book is what a client knows of its session and leases, and by it whether it may act. It has no I/O and no clock: all times
// are the caller's, on one clock. An end is counted from when a request was sent, never from when it was answered.
type Book struct {
	ttl    time.Duration
	until  time.Duration // of the session
	open   bool
	leases map[string]*entry
}

type entry struct {
	token uint64
	ttl   time.Duration
	until time.Duration
}

// Opened books a session that was asked for at sent.
func (b *Book) Opened(ttl, sent, now time.Duration) {
	*b = Book{ttl: ttl, until: b.from(sent, now) + ttl, open: true, leases: map[string]*entry{}}
}

// from is when the time of what was asked for at sent begins.
func (b *Book) from(sent, now time.Duration) time.Duration {
	if failpoint.Is("time-from-answer") {
		return now
	}
	return sent
}

// Kept books that the session was kept by a command that was sent at sent and whose answer came at now. What had ended by
// then stays ended: the coordinators may have given it to another before the command reached them.
func (b *Book) Kept(sent, now time.Duration) {
	if !b.Open(now) {
		return
	}
	from := b.from(sent, now)
	b.until = max(b.until, from+b.ttl)
	for name, e := range b.leases {
		if now >= e.until {
			delete(b.leases, name)
		} else {
			e.until = max(e.until, from+e.ttl)
		}
	}
}

// Granted books a lease, and reports whether any of its time is left.
func (b *Book) Granted(name string, token uint64, ttl, sent, now time.Duration) bool {
	until := b.from(sent, now) + ttl
	if !b.Open(now) || now >= until {
		return false
	}
	if e := b.leases[name]; e != nil && e.token == token && now < e.until {
		e.until = max(e.until, until)
	} else {
		b.leases[name] = &entry{token, ttl, until}
	}
	return true
}

// Drop forgets a lease that is held with this token: the client has stopped acting on it.
func (b *Book) Drop(name string, token uint64) {
	if e := b.leases[name]; e != nil && e.token == token {
		delete(b.leases, name)
	}
}

// Lost forgets all: the coordinators say that the session has ended.
func (b *Book) Lost() { *b = Book{} }

// Open reports whether the session is there.
func (b *Book) Open(now time.Duration) bool { return b.open && now < b.until }

// Held tells a lease's token and how much of its time is left.
func (b *Book) Held(name string, now time.Duration) (token uint64, left time.Duration, ok bool) {
	e := b.leases[name]
	if e == nil || !b.Open(now) || now >= e.until {
		return 0, 0, false
	}
	return e.token, min(e.until, b.until) - now, true
}

// Count is how many leases are held.
func (b *Book) Count(now time.Duration) (n int) {
	for name := range b.leases {
		if _, _, ok := b.Held(name, now); ok {
			n++
		}
	}
	return n
}

// Clone is a copy that shares nothing.
func (b *Book) Clone() Book {
	c := *b
	if b.leases != nil {
		c.leases = map[string]*entry{}
		for name, e := range b.leases {
			one := *e
			c.leases[name] = &one
		}
	}
	return c
}

// Text tells all that the book knows: equal books give equal texts.
func (b *Book) Text() string {
	text := fmt.Sprint(b.ttl, b.until, b.open)
	for _, name := range slices.Sorted(maps.Keys(b.leases)) {
		e := b.leases[name]
		text += fmt.Sprint(" ", name, e.token, e.ttl, e.until)
	}
	return text
}
