package router

// The endpoint list in discovery's format, and its conversion to the Balancer's terms.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

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
func parseList(body []byte) (endpointList, error) {
	var present struct {
		Version *int64            `json:"version"`
		Full    bool              `json:"full"`
		Servers []json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(body, &present); err != nil {
		return endpointList{}, err
	}
	switch {
	case present.Version == nil:
		return endpointList{}, errors.New("a list without version")
	case present.Full && present.Servers == nil:
		return endpointList{}, errors.New("a complete list without servers")
	}
	var list endpointList
	if err := json.Unmarshal(body, &list); err != nil {
		return endpointList{}, err
	}
	return list, nil
}
