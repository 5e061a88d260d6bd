package router

// The endpoint list in discovery's format, and its conversion to the Balancer's terms.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"

	"dockhinge.example/dockhinge/decide"
)

// endpointList is a list of servers, or changes to one, in discovery's format.
type endpointList struct {
	Version int64 `json:"version"`
	// IsComplete is set for a complete list and not for changes.
	IsComplete bool        `json:"full"`
	Servers    []listEntry `json:"servers"`
}

// listEntry is one server on the list.
type listEntry struct {
	// ID is the server's id in discovery, its name here.
	ID string `json:"id"`
	// Addr is host:port.
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	// Kind is the server's kind in the terms of the settings. It identifies the origin.
	Kind string `json:"kind"`
	Cell int    `json:"cell"`
	// State is stateReady, stateDraining or stateRemoved.
	State string `json:"state"`
	// Weight is the server's capacity relative to others.
	Weight float64 `json:"weight"`
	// StartedMillis is when its process started, in milliseconds since 1970; 0 = long ago.
	StartedMillis float64 `json:"started_ms"`
}

// The states of a server in discovery's format.
const (
	stateReady    = "active"
	stateDraining = "leaving"
	stateRemoved  = "left"
)

var listStates = map[string]decide.State{
	stateReady:    decide.Ready,
	stateDraining: decide.Draining,
	stateRemoved:  decide.Removed,
}

// updateKind returns the Balancer's kind for the update.
func (l endpointList) updateKind() decide.EndpointUpdateKind {
	if l.IsComplete {
		return decide.AllEndpoints
	}
	return decide.ChangedEndpoints
}

// applyChanges returns the complete list after the changes.
func (l endpointList) applyChanges(changes endpointList) endpointList {
	changed := make(map[string]bool, len(changes.Servers))
	for _, e := range changes.Servers {
		changed[e.ID] = true
	}
	complete := endpointList{Version: changes.Version, IsComplete: true}
	for _, e := range l.Servers {
		if !changed[e.ID] {
			complete.Servers = append(complete.Servers, e)
		}
	}
	for _, e := range changes.Servers {
		if e.State != stateRemoved {
			complete.Servers = append(complete.Servers, e)
		}
	}
	return complete
}

// endpoint converts the entry for the Balancer. The error describes an invalid entry.
func (e listEntry) endpoint() (decide.Endpoint, error) {
	state, ok := listStates[e.State]
	if !ok {
		return decide.Endpoint{}, fmt.Errorf("server %q: unknown state %q", e.ID, e.State)
	}
	if e.ID == "" {
		return decide.Endpoint{}, fmt.Errorf("server at %q without an id", e.Addr)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil && state != decide.Removed {
		return decide.Endpoint{}, fmt.Errorf("server %q: %q is not a host:port", e.ID, e.Addr)
	}
	return decide.Endpoint{
		ID:        serverID(e.ID),
		State:     state,
		StartedAt: e.StartedMillis,
		Size:      e.Weight,
		Zone:      e.Zone,
		Cell:      e.Cell,
		Kind:      e.Kind,
	}, nil
}

// parseList parses a list. It rejects JSON without a version, and a complete list without servers:
// accepted as lists, they would mean "no changes" and "no servers".
func parseList(body []byte, yield *yielder) (endpointList, error) {
	list, hasVersion, err := decodeList(body, yield)
	switch {
	case errors.Is(err, io.EOF):
		return endpointList{}, io.ErrUnexpectedEOF
	case err != nil:
		return endpointList{}, err
	case !hasVersion:
		return endpointList{}, errors.New("a list without version")
	case list.IsComplete && list.Servers == nil:
		return endpointList{}, errors.New("a complete list without servers")
	}
	return list, nil
}

// decodeList decodes a list entry by entry, once. JSON null is a list without anything.
func decodeList(body []byte, yield *yielder) (list endpointList, hasVersion bool, err error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	opening, err := decoder.Token()
	switch {
	case err != nil || opening == nil:
		return list, false, err
	case opening != json.Delim('{'):
		return list, false, fmt.Errorf("cannot unmarshal %v into a list", opening)
	}
	for decoder.More() {
		field, err := decoder.Token()
		if err != nil {
			return list, false, err
		}
		name, _ := field.(string)
		switch {
		case strings.EqualFold(name, "version"):
			hasVersion, err = decodeVersion(decoder, &list.Version)
		case strings.EqualFold(name, "full"):
			err = decoder.Decode(&list.IsComplete)
		case strings.EqualFold(name, "servers"):
			list.Servers, err = decodeEntries(decoder, yield)
		default:
			err = decoder.Decode(new(json.RawMessage))
		}
		if err != nil {
			return list, false, fmt.Errorf("%q: %w", name, err)
		}
	}
	if err := expectDelimiter(decoder, '}'); err != nil {
		return list, false, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return list, false, errors.New("text after the list")
	}
	return list, hasVersion, nil
}

// decodeVersion decodes a version, and reports whether it is there: it may be null.
func decodeVersion(decoder *json.Decoder, version *int64) (isPresent bool, err error) {
	var decoded *int64
	err = decoder.Decode(&decoded)
	if err != nil || decoded == nil {
		return false, err
	}
	*version = *decoded
	return true, nil
}

// decodeEntries decodes the entries of a list; nil for null.
func decodeEntries(decoder *json.Decoder, yield *yielder) (entries []listEntry, err error) {
	opening, err := decoder.Token()
	switch {
	case err != nil || opening == nil:
		return nil, err
	case opening != json.Delim('['):
		return nil, fmt.Errorf("cannot unmarshal %v into the servers of a list", opening)
	}
	entries = []listEntry{}
	for decoder.More() {
		var e listEntry
		if err := decoder.Decode(&e); err != nil {
			return nil, err
		}
		entries = append(entries, e)
		yield.entryDone()
	}
	return entries, expectDelimiter(decoder, ']')
}

// expectDelimiter reads the next token, which must be a certain delimiter.
func expectDelimiter(decoder *json.Decoder, delimiter json.Delim) error {
	token, err := decoder.Token()
	if err == nil && token != delimiter {
		err = fmt.Errorf("%v where %v is expected", token, delimiter)
	}
	return err
}
