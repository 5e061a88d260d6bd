//go:build mutants

package fleet

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

func init() { extraBuildTags = ",mutants" }

// The run with faults must fail for each mutant, with a message of the history checker or of the
// count of acknowledgements. The test runs its own binary again with the mutant set for that binary
// and all processes that it starts.
func TestRunWithFaultsDetectsObserverMutants(t *testing.T) {
	for _, mutant := range []struct{ name, says string }{
		{"change-skipped", "was given in place of"}, // or no message if the skipped change was the last
		{"change-delivered-twice", "was given in place of"},
		{"snapshot-older", "went back"},
		{"acknowledged-early", "does not have it in force"},
	} {
		t.Run(mutant.name, func(t *testing.T) {
			cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run",
				"^TestRoutersApplyChangesInTheAgreedOrder$", "-test.v")
			cmd.Env = append(os.Environ(), "DOCKHINGE_MUTANT="+mutant.name)
			out, err := cmd.CombinedOutput()
			if err == nil || !strings.Contains(string(out), mutant.says) {
				t.Errorf("not found: %v\n%s", err, out)
				return
			}
			for _, line := range strings.Split(string(out), "\n") {
				if strings.Contains(line, mutant.says) {
					t.Log(strings.TrimSpace(line))
					return
				}
			}
		})
	}
}
