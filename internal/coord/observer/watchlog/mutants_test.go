//go:build mutants

package watchlog

import (
	"testing"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Guards against a property check that misses a fault: each injected fault must be detected.
func TestInjectedFaultsAreDetected(t *testing.T) {
	defer failpoint.Inject("")
	for _, name := range []string{"change-skipped", "change-delivered-twice", "snapshot-older", "acknowledged-early"} {
		t.Run(name, func(t *testing.T) {
			failpoint.Inject(name)
			for seed := range uint64(checkWalks) {
				if err := runWalk(seed); err != nil {
					t.Log(err)
					return
				}
			}
			t.Error("not detected")
		})
	}
}
