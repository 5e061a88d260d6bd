package handover

import (
	"bytes"
	"encoding/json"
)

// encode returns the parts of the message as JSON and their length. The body, which may be megabytes, is
// a part as it is: a Marshal of the whole message would check and copy it twice more.
func (m Message) encode() (parts [][]byte, length int, err error) {
	body := m.Body
	m.Body = nil
	text, err := json.Marshal(m)
	if err != nil || len(body) == 0 {
		return [][]byte{text}, len(text), err
	}
	last := len(text) - 1
	head := append(text[:last:last], `,"body":`...)
	parts = [][]byte{head, body, []byte("}")}
	return parts, len(head) + len(body) + 1, nil
}

// Texts of a message: the beginning of the field for the body, and of the one that may follow it.
const (
	bodyField  = `,"body":`
	errorField = `,"error":`
)

// decodeMessage decodes a message. A body that is the last field, as in all messages that have one, is
// taken as it is; whether it is valid shows when it is decoded.
func decodeMessage(text []byte) (m Message, err error) {
	head, rest, hasBody := bytes.Cut(text, []byte(bodyField))
	if !hasBody || !bytes.HasSuffix(rest, []byte("}")) || bytes.Contains(rest, []byte(errorField)) {
		err = json.Unmarshal(text, &m)
		return m, err
	}
	if err := json.Unmarshal(append(head[:len(head):len(head)], '}'), &m); err != nil {
		return m, err
	}
	m.Body = rest[:len(rest)-1]
	return m, nil
}
