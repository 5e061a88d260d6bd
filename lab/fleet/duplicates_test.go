package fleet

import (
	"strings"
	"testing"

	"dockhinge.example/dockhinge/lab/scenario"
)

// Guards against attempts of a request that are out at once, or sent again or refused although one
// may have run: an answer that a cache server sends a second time, some milliseconds late, reaches
// a router that has already written the next request to the connection.
func TestRouterKeepsTheRulesDespiteLateDuplicates(t *testing.T) {
	f, err := scenario.Load("duplicates")
	if err != nil {
		t.Fatal(err)
	}
	f.DurationS, f.Load.LateShare = 12, 1 // a slow machine must not fail the test
	f.Expect = scenario.Expect{Served: 100}
	res, err := Run(t.Context(), f, Options{RouterCommand: realRouter(t), Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Failures) > 0 {
		t.Errorf("%s", strings.Join(res.Failures, "\n"))
	}
}
