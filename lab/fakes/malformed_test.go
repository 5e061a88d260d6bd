package fakes

import (
	"strings"
	"testing"

	"dockhinge.example/dockhinge/lab/checker"
)

// A command that a server can't parse is recorded. An incomplete command, a readiness check and a load
// report call are not.
func TestMalformedCommandsAreRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		text      string
		malformed bool
	}{
		"no class":        {"mg k v O1 Pd=9\r\n", true},
		"no such command": {"get k\r\n", true},
		"bad length":      {"ms k x O1 Pc=put,d=9\r\n", true},
		"long line":       {"mg " + strings.Repeat("k", maxLineBytes) + "\r\n", true},
		"whole":           {"mg k v O1 Pc=read,d=9\r\n", false},
		"probe":           {"mn\r\nstats load\r\n", false},
		"breaks off":      {"mg k v O1", false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			s := r.server(t, "s1", fastModel, Options{Probes: true})
			p := connect(t, s.Addr())
			p.send("%s", c.text)
			if c.malformed {
				r.waitForEvent(t, "malformed command", func(e checker.Event) bool {
					return e.Kind == checker.Malformed && e.Server == "s1"
				})
				return
			}
			p.Close()
			s.Close() // waits until all received commands are parsed
			events, _ := r.journal.Events()
			for _, e := range events {
				if e.Kind == checker.Malformed {
					t.Errorf("recorded as malformed: %+v", e)
				}
			}
		})
	}
}
