package router

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// A cache server may send an answer a second time, some milliseconds late, when its connection
// already carries the next request. Such a duplicate is told from the answer to that request by what
// the connection carried last, and is discarded: the request goes on waiting for its own answer. An
// answer that could not be told from another one closes its connection, see readReply.

// lastAnswer is the answer that a connection to a cache server carried last. The zero value stands
// for none.
type lastAnswer struct {
	// requestID is the id that the answer had; "" = none.
	requestID string
	// isStatistics is set if it was the answer to a health check.
	isStatistics bool
}

// recentRequestCount is how many requests a connection remembers. A duplicate comes only some
// milliseconds late, while it carries no more.
const recentRequestCount = 8

// recentRequests holds the ids of the requests that a connection carried last.
type recentRequests struct {
	ids  [recentRequestCount]string
	next int
}

// add adds an id in place of the oldest one.
func (r *recentRequests) add(id string) {
	r.ids[r.next] = id
	r.next = (r.next + 1) % recentRequestCount
}

// contains reports whether an id is among the recent ones. It is false for "".
func (r *recentRequests) contains(id string) bool {
	return id != "" && slices.Contains(r.ids[:], id)
}

// foreignAnswerError is the error for an answer that belongs to another request. Its value, if any,
// is still unread.
type foreignAnswerError struct {
	// id is the id of the answer; "" = none.
	id string
	// wantedID is the id of the request that was to be answered; "" = it was a health check.
	wantedID string
	// valueBytes is the length of the answer's value; -1 = it has none.
	valueBytes int
}

// noValue is the length of the value of an answer without one.
const noValue = -1

// Error returns the text of the error.
func (e *foreignAnswerError) Error() string {
	return fmt.Sprintf("%v: answer for id %q, want %q", errMalformed, e.id, e.wantedID)
}

// Unwrap returns errMalformed.
func (e *foreignAnswerError) Unwrap() error { return errMalformed }

// foreignAnswer returns the error for a line of a cache server that is an answer with an id, where
// the answer to a health check was expected; nil if it is none.
func foreignAnswer(line string) error {
	kind, flags, _ := strings.Cut(line, " ")
	fields := strings.Fields(flags)
	foreign := &foreignAnswerError{valueBytes: noValue}
	var err error
	switch {
	case kind == "VA" && len(fields) > 1:
		foreign.valueBytes, err = readLength(fields[0])
	case kind != "HD" && kind != "EN":
		return nil
	}
	if err != nil {
		return nil
	}
	foreign.id, err = answerID(fields)
	if err != nil {
		return nil
	}
	return foreign
}

// skipDuplicate reports whether the answer that could not be read because of err was a duplicate of
// the last one. If so, it has discarded it, and the answer that was expected may follow.
func (c *upstreamConn) skipDuplicate(err error) bool {
	last := c.last
	c.last = lastAnswer{}
	foreign := (*foreignAnswerError)(nil)
	switch {
	case errors.As(err, &foreign):
		if foreign.id == "" || foreign.id != last.requestID {
			return false
		}
		err = c.discardValue(foreign.valueBytes)
	case last.isStatistics && c.beginsWith("STAT "):
		_, err = readStatsLoad(c.reader)
	}
	return err == nil && c.SetReadDeadline(time.Time{}) == nil
}

// beginsWith reports whether the unread input begins with a text.
func (c *upstreamConn) beginsWith(text string) bool {
	begin, _ := c.reader.Peek(len(text))
	return string(begin) == text
}

// discardValue discards the value of an answer, with its line end.
func (c *upstreamConn) discardValue(valueBytes int) error {
	if valueBytes == noValue {
		return nil
	}
	_, err := readValue(c.reader, valueBytes, true)
	return err
}
