package fakes

import (
	"bufio"
	"bytes"
	"testing"

	"dockhinge.example/dockhinge/lab/model"
)

// Any bytes from a peer parse as a command within the limits or as an error, and each parsed command can
// be answered.
func FuzzCommands(f *testing.F) {
	for _, s := range []string{
		"mn\r\n", "stats load\r\n", "mg k v O1 Pc=read,d=5\r\n", "ms k 3 O1 Pc=put,k=w\r\nabc\r\n",
		"ms k -1 O1 Pc=put\r\n", "ms k 99999999999 O1 Pc=put\r\n", "mg\r\n",
		"GET /k HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: 1\r\nX-Facts: c=read\r\n\r\n",
		"PUT /k HTTP/1.1\r\nHost: o\r\nContent-Length: 3\r\nX-Correlation-Id: 1\r\nX-Facts: c=put\r\n\r\nabc"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, c := range []codec{metaCodec{probes: true}, originCodec{}} {
			r := bufio.NewReaderSize(bytes.NewReader(text), maxLineBytes)
			for range 100 {
				q, err := c.read(r)
				if err != nil {
					break
				}
				if q.size < 0 || q.size > MaxValue ||
					(q.kind == "get" || q.kind == "set") && (q.id == "" || q.class == "") {
					t.Fatalf("parsed invalid request %+v", q)
				}
				if len(c.write(q, answer{Outcome: model.Served, id: q.id, value: []byte("v")})) == 0 {
					t.Fatalf("no answer to %+v", q)
				}
			}
		}
	})
}
