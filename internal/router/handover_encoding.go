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
// pieces, between which others run.
func (s handoverState) encode(yield *yielder) ([]byte, error) {
	snapshots, err := encodeInPieces(s.Decisions.Servers, yield)
	if err != nil {
		return nil, err
	}
	list, err := s.List.encode(yield)
	if err != nil {
		return nil, err
	}
	s.Decisions.Servers = nil
	s.List = endpointList{}
	text, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	text, err = fillIn(text, noSnapshots, snapshots)
	if err != nil {
		return nil, err
	}
	return fillIn(text, noList, list)
}

// encode returns the list as JSON, encoded in pieces like the state.
func (l endpointList) encode(yield *yielder) ([]byte, error) {
	entries, err := encodeInPieces(l.Servers, yield)
	if err != nil {
		return nil, err
	}
	l.Servers = nil
	text, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return fillIn(text, noEntries, entries)
}

// encodeInPieces returns a slice as JSON.
func encodeInPieces[T any](elements []T, yield *yielder) ([]byte, error) {
	if elements == nil {
		return []byte("null"), nil
	}
	text := []byte{'['}
	for piece := range slices.Chunk(elements, yieldEntries) {
		encoded, err := json.Marshal(piece)
		if err != nil {
			return nil, fmt.Errorf("handover: %w", err)
		}
		if len(text) > 1 {
			text = append(text, ',')
		}
		text = append(text, encoded[1:len(encoded)-1]...)
		if len(piece) == yieldEntries && yield != nil {
			yield.pause()
		}
	}
	return append(text, ']'), nil
}

// absentValue is a field of the state as it is encoded without its value.
type absentValue struct{ field, value string }

// fillIn replaces the first absent value by its JSON text. Names that clients or discovery choose can't
// look like one: their quotes are escaped.
func fillIn(text []byte, absent absentValue, filled []byte) ([]byte, error) {
	at := bytes.Index(text, []byte(absent.field+absent.value))
	if at < 0 {
		return nil, fmt.Errorf("handover: the state has no %s%s", absent.field, absent.value)
	}
	from := at + len(absent.field)
	return slices.Concat(text[:from], filled, text[from+len(absent.value):]), nil
}
