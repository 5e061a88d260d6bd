package router

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// The values that are encoded in pieces, as they stand in the text without them.
var (
	noSnapshots = absentValue{`"Servers":`, `null`}
	noEntries   = absentValue{`"servers":`, `null`}
	noList      = absentValue{`"List":`, `{"version":0,"full":false,"servers":null}`}
)

// encode returns the state as JSON. What grows with the fleet, the records of its servers, is encoded in
// pieces, between which others run, and into one buffer: the state of a large fleet is a good part of a
// small router's memory.
func (s handoverState) encode(yield *yielder) ([]byte, error) {
	servers := s.Decisions.Servers
	list := s.List
	s.Decisions.Servers = nil
	s.List = endpointList{}
	rest, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	beforeServers, rest, err := cutAt(rest, noSnapshots)
	if err != nil {
		return nil, err
	}
	beforeList, rest, err := cutAt(rest, noList)
	if err != nil {
		return nil, err
	}
	text, err := appendInPieces(beforeServers, servers, yield)
	if err != nil {
		return nil, err
	}
	text = append(text, beforeList...)
	text, err = list.appendTo(text, yield)
	if err != nil {
		return nil, err
	}
	return append(text, rest...), nil
}

// encode returns the list as JSON, encoded in pieces like the state.
func (l endpointList) encode(yield *yielder) ([]byte, error) { return l.appendTo(nil, yield) }

// appendTo appends the list as JSON.
func (l endpointList) appendTo(text []byte, yield *yielder) ([]byte, error) {
	entries := l.Servers
	l.Servers = nil
	rest, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	beforeEntries, rest, err := cutAt(rest, noEntries)
	if err != nil {
		return nil, err
	}
	text, err = appendInPieces(append(text, beforeEntries...), entries, yield)
	if err != nil {
		return nil, err
	}
	return append(text, rest...), nil
}

// appendInPieces appends a slice as JSON.
func appendInPieces[T any](text []byte, elements []T, yield *yielder) ([]byte, error) {
	if elements == nil {
		return append(text, "null"...), nil
	}
	text = append(text, '[')
	isFirst := true
	for piece := range slices.Chunk(elements, yieldEntries) {
		encoded, err := json.Marshal(piece)
		if err != nil {
			return nil, fmt.Errorf("handover: %w", err)
		}
		if isFirst {
			text = slices.Grow(text, len(encoded)*len(elements)/len(piece))
		} else {
			text = append(text, ',')
		}
		isFirst = false
		text = append(text, encoded[1:len(encoded)-1]...)
		if len(piece) == yieldEntries && yield != nil {
			yield.pause()
		}
	}
	return append(text, ']'), nil
}

// absentValue is a field of the state as it is encoded without its value.
type absentValue struct{ field, value string }

// cutAt returns the text up to an absent value and the text after it. Names that clients or discovery
// choose can't look like one: their quotes are escaped.
func cutAt(text []byte, absent absentValue) (before, after []byte, err error) {
	at := bytes.Index(text, []byte(absent.field+absent.value))
	if at < 0 {
		return nil, nil, fmt.Errorf("handover: the state has no %s%s", absent.field, absent.value)
	}
	end := at + len(absent.field)
	return text[:end:end], text[end+len(absent.value):], nil
}
