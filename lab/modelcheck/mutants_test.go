//go:build mutants

package modelcheck

import (
	"strings"
	"testing"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Each injected fault is found, by a search or by a random walk.
func TestMutantsAreFound(t *testing.T) {
	defer failpoint.Inject("")
	for _, name := range []string{"time-from-answer", "rate-ignored", "token-unchecked", "command-twice",
		"release-overtaken", "token-reused", "snapshot-without-leases", "resource-unchecked"} {
		t.Run(name, func(t *testing.T) {
			failpoint.Inject(name)
			found := false
			for what, p := range searches {
				p.Depth++
				if r := Search(p); r.Violation != "" {
					found = true
					t.Logf("search, %s: %d states, %d events: %s:\n  %s", what, r.States, len(r.Trace), r.Violation,
						strings.Join(r.Trace, "\n  "))
				}
			}
			for seed := range uint64(40 * walkCount) {
				if r := walk(seed); r.Violation != "" {
					found = true
					t.Logf("walk, seed %d: %d events: %s", seed, len(r.Trace), r.Violation)
					break
				}
			}
			if !found {
				t.Error("neither the searches nor the walks found the fault")
			}
		})
	}
}
