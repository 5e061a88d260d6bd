package load

import (
	"bufio"
	"bytes"
	"testing"

	"dockhinge.example/dockhinge/lab/checker"
)

// Any bytes from a router parse as an answer, a failure or an error, and a request counts as served only
// with a complete value or receipt.
func FuzzAnswers(f *testing.F) {
	for _, s := range []string{validAnswer, "HD O1 cabc\r\n",
		"SERVER_ERROR busy\r\n", "SERVER_ERROR busy 250\r\n", "SERVER_ERROR busy x\r\n", "VA -1 O1\r\n",
		"VA 99999999999 O1\r\n", "VA 5\r\nhel", "\r\n", ""} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		end, _, _, err := readAnswer(bufio.NewReader(bytes.NewReader(text)))
		if err != nil && end == checker.Served {
			t.Fatal("served with an error")
		}
		if end == checker.Served &&
			!bytes.HasPrefix(bytes.TrimLeft(text, " \t\v\f\r\u0085\u00a0"), []byte("VA")) &&
			!bytes.Contains(text, []byte("HD")) {
			t.Fatalf("served: %q", text)
		}
	})
}
