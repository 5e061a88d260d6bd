package handover

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
)

// Guards against messages that processes of earlier releases read differently, or the reverse.
func TestMessageIsEncodedAsJSONIs(t *testing.T) {
	for _, m := range []Message{
		{Kind: "hello", Version: 1},
		{Kind: "state", Version: 1, Body: json.RawMessage(`{"a":[1,{"b":"}"}]}`)},
		{Kind: "answer", Call: 1 << 60, Error: `un"known`},
		{Kind: "list", Call: 3, Body: json.RawMessage(`null`), Error: "x"},
	} {
		parts, length, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		text := bytes.Join(parts, nil)
		if len(text) != length {
			t.Errorf("%s: length %d", text, length)
		}
		var decoded Message
		if err := json.Unmarshal(text, &decoded); err != nil || !reflect.DeepEqual(decoded, m) {
			t.Errorf("%s is read as %+v, %v", text, decoded, err)
		}
		whole, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := decodeMessage(whole); err != nil || !reflect.DeepEqual(decoded, m) {
			t.Errorf("%s is decoded as %+v, %v", whole, decoded, err)
		}
	}
	for _, text := range []string{``, `{`, `[]`, `{"kind":1}`, `{"kind":"a"}x`, `{"kind":"a",}`, `{"body":{}`,
		`x,"body":{}}`, `{"kind":"a","body":}x`} {
		if m, err := decodeMessage([]byte(text)); err == nil {
			t.Errorf("%s was decoded as %+v", text, m)
		}
	}
}
