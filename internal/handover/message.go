package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// encode returns the message as JSON. The body, which may be megabytes, is taken as it is: a Marshal of
// the whole message would check and copy it once more.
func (m Message) encode() ([]byte, error) {
	body := m.Body
	m.Body = nil
	text, err := json.Marshal(m)
	if err != nil || len(body) == 0 {
		return text, err
	}
	text = append(text[:len(text)-1], `,"body":`...)
	text = append(text, body...)
	return append(text, '}'), nil
}

// decodeMessage decodes a message, and reads its body only once to find its end.
func decodeMessage(text []byte) (m Message, err error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	opening, err := decoder.Token()
	if err != nil {
		return m, err
	}
	if opening != json.Delim('{') {
		return m, fmt.Errorf("cannot unmarshal %v into a message", opening)
	}
	for decoder.More() {
		field, err := decoder.Token()
		if err != nil {
			return m, err
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return m, err
		}
		name, _ := field.(string)
		if err := m.setField(name, value); err != nil {
			return m, err
		}
	}
	if _, err := decoder.Token(); err != nil { // the closing brace
		return m, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return m, errors.New("text after the message")
	}
	return m, nil
}

// setField sets the field with a name in JSON; unknown ones are ignored.
func (m *Message) setField(name string, value json.RawMessage) error {
	switch name {
	case "kind":
		return json.Unmarshal(value, &m.Kind)
	case "version":
		return json.Unmarshal(value, &m.Version)
	case "call":
		return json.Unmarshal(value, &m.Call)
	case "error":
		return json.Unmarshal(value, &m.Error)
	case "body":
		m.Body = value
	}
	return nil
}
