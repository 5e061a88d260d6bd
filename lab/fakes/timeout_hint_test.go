package fakes

import (
	"fmt"
	"testing"

	"dockhinge.example/dockhinge/lab/checker"
)

// Cache servers and the origin record the timeout hint of each attempt.
func TestServersRecordTimeoutHints(t *testing.T) {
	r := newRig()
	cache := r.server(t, "s1", fastModel, Options{})
	originModel := fastModel
	originModel.Origin = true
	origin := r.server(t, "o", originModel, Options{})
	connect(t, cache.Addr()).send("mg k v Ocached Pc=read,d=480\r\n")
	connect(t, cache.Addr()).send("mg k v Osilent Pc=read\r\n")
	connect(t, cache.Addr()).send("mg k v Ospoilt Pc=read,d=soon\r\n")
	connect(t, origin.Addr()).send("GET /k HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: fetched\r\nX-Facts: c=read,d=123.5\r\n\r\n")
	connect(t, origin.Addr()).send("PUT /k HTTP/1.1\r\nHost: o\r\nContent-Length: 2\r\nX-Correlation-Id: written\r\nX-Facts: c=put,d=77\r\n\r\nab")
	for id, want := range map[string]checker.TimeoutHint{
		"cached": {Millis: 480, IsPresent: true}, "silent": {}, "spoilt": {},
		"fetched": {Millis: 123.5, IsPresent: true}, "written": {Millis: 77, IsPresent: true},
	} {
		e := r.waitForEvent(t, fmt.Sprintf("attempt of request %s", id), func(e checker.Event) bool {
			return e.Kind == checker.AttemptReceived && e.Request == id
		})
		if e.TimeoutHint != want {
			t.Errorf("request %s: got %+v, want %+v", id, e.TimeoutHint, want)
		}
	}
}
