package fakes

import (
	"strings"
	"testing"

	"dockhinge.example/dockhinge/lab/checker"
)

// A command that a server can't read stands in the journal; one that breaks off, and what servers are asked beside requests, does not.
func TestServersBookMalformedCommands(t *testing.T) {
	for name, c := range map[string]struct {
		text      string
		malformed bool
	}{
		"no class":        {"mg k v O1 Pd=9\r\n", true},
		"no such command": {"get k\r\n", true},
		"bad length":      {"ms k x O1 Pc=put,d=9\r\n", true},
		"long line":       {"mg " + strings.Repeat("k", maxLine) + "\r\n", true},
		"whole":           {"mg k v O1 Pc=read,d=9\r\n", false},
		"probe":           {"mn\r\nstats load\r\n", false},
		"breaks off":      {"mg k v O1", false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			s := r.server(t, "s1", quick, Options{Probes: true})
			p := connect(t, s.Addr())
			p.send("%s", c.text)
			if c.malformed {
				r.until(t, "malformed command", func(e checker.Event) bool { return e.Kind == checker.Malformed && e.Server == "s1" })
				return
			}
			p.Close()
			s.Close() // waits for all that it has read
			events, _ := r.journal.Events()
			for _, e := range events {
				if e.Kind == checker.Malformed {
					t.Errorf("%+v", e)
				}
			}
		})
	}
}
