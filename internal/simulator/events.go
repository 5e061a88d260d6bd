package simulator

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"dockhinge.example/dockhinge/decide"
)

// maxPreallocatedEntries bounds the memory that is allocated for list entries before they are read,
// as the announced number of entries may be wrong.
const maxPreallocatedEntries = 4096

// eventFunc passes an event to a Balancer.
type eventFunc func(b *decide.Balancer)

// handleEvent reads one event and passes it to its instance. An event for an instance that is not
// open is validated like any other, and then ignored.
func (s *session) handleEvent(now float64, text string) error {
	f := newFields(text)
	kind := f.word()
	id := f.instanceID()
	switch kind {
	case eventOpen:
		return s.open(&f, id)
	case eventClose:
		if err := f.end(kind); err != nil {
			return err
		}
		delete(s.instances, id)
		return nil
	}
	in := s.instances[id]
	deliver, err := s.readEvent(kind, &f, now, in)
	if err != nil {
		return err
	}
	if err := f.end(kind); err != nil {
		return err
	}
	if in != nil {
		deliver(in.balancer)
	}
	return nil
}

// readEvent reads the fields of an event and returns the function that passes it to a Balancer.
func (s *session) readEvent(kind string, f *fields, now float64, in *instance) (eventFunc, error) {
	switch kind {
	case eventEndpoints:
		return s.readEndpoints(f, now)
	case eventRequest:
		return readRequest(f, now), nil
	case eventClientDisconnected:
		id := f.uint("requestId")
		return func(b *decide.Balancer) { b.ClientDisconnected(now, id) }, nil
	case eventStreamStarted:
		return readStreamStarted(f, now), nil
	case eventAttemptEnded:
		return readAttemptEnded(f, now, in), nil
	case eventHealthCheckEnded:
		return readHealthCheckEnded(f, now, in), nil
	case eventGossip:
		from := int(f.uint("sender"))
		data := f.octets()
		return func(b *decide.Balancer) { b.GossipReceived(now, from, data) }, nil
	case eventTimer:
		return readTimer(f, now), nil
	}
	return nil, fmt.Errorf("unknown event %q", kind)
}

// readEndpoints reads an update of the endpoint list, with one line per entry.
func (s *session) readEndpoints(f *fields, now float64) (eventFunc, error) {
	kind := oneOf(f, "kind", updateKinds)
	f.numberOrAbsent("version")
	count := f.uint("number of entries")
	if err := f.end(eventEndpoints); err != nil {
		return nil, err
	}
	entries := make([]decide.Endpoint, 0, min(count, maxPreallocatedEntries))
	for range count {
		entry, err := s.readEntry()
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return func(b *decide.Balancer) { b.UpdateEndpoints(now, kind, entries) }, nil
}

// readEntry reads one entry of the endpoint list.
func (s *session) readEntry() (decide.Endpoint, error) {
	text, err := s.lines.next()
	if errors.Is(err, io.EOF) {
		return decide.Endpoint{}, errEndsInList
	}
	if err != nil {
		return decide.Endpoint{}, err
	}
	f := newFields(text)
	if word := f.word(); word != listEntry {
		return decide.Endpoint{}, fmt.Errorf("want a list entry, got %q", word)
	}
	entry := decide.Endpoint{
		StartedAt: f.numberOrAbsent("startedAt"),
		Size:      f.numberOrAbsent("size"),
		ID:        f.uint("server"),
		State:     oneOf(&f, "mode", states),
		Zone:      f.word(),
		Cell:      int(f.numberOrAbsent("bay")),
		Kind:      f.word(),
	}
	return entry, f.end("list entry")
}

func readRequest(f *fields, now float64) eventFunc {
	q := decide.Request{ID: f.uint("requestId"), Class: f.word(), Tenant: f.word()}
	q.Key, q.HasKey = f.key()
	q.RemainingMillis = f.number("remaining")
	q.WorkHint = f.numberOrAbsent("weightHint")
	q.SizeBytes = f.numberOrAbsent("size")
	q.IsRetry = f.bool("isRetry")
	q.IsWrite = f.bool("isWrite")
	return func(b *decide.Balancer) { b.Request(now, q) }
}

func readStreamStarted(f *fields, now float64) eventFunc {
	id := f.uint("requestId")
	f.uint("leg")
	f.uint("server")
	f.numberOrAbsent("lag")
	return func(b *decide.Balancer) { b.StreamStarted(now, id) }
}

func readAttemptEnded(f *fields, now float64, in *instance) eventFunc {
	o := decide.Outcome{
		RequestID:     f.uint("requestId"),
		Attempt:       int(f.uint("leg")),
		ServerID:      f.uint("server"),
		Status:        oneOf(f, "outcome", statuses),
		LatencyMillis: f.numberOrAbsent("lag"),
		IsFinal:       f.bool("final"),
		CacheResult:   decide.CacheResult(f.numberOrAbsent("note")),
		Load:          readLoad(f, in),
	}
	return func(b *decide.Balancer) { b.AttemptEnded(now, o) }
}

func readHealthCheckEnded(f *fields, now float64, in *instance) eventFunc {
	server := f.uint("server")
	status := oneOf(f, "outcome", statuses)
	f.numberOrAbsent("lag")
	load := readLoad(f, in)
	return func(b *decide.Balancer) { b.HealthCheckEnded(now, server, status, load) }
}

// readLoad reads a load report. Its columns are given by the settings of the instance; without an
// instance, the report is skipped.
func readLoad(f *fields, in *instance) decide.LoadReport {
	if in == nil {
		f.word()
		return decide.NoLoadReport
	}
	return f.load(in.loadColumns)
}

// readTimer reads the token of a timer. A token that is not a number was not set by a Balancer, and
// the event is ignored.
func readTimer(f *fields, now float64) eventFunc {
	token, err := strconv.ParseUint(f.word(), 10, 64)
	return func(b *decide.Balancer) {
		if err == nil {
			b.TimerExpired(now, token)
		}
	}
}
