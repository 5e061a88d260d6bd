package modelcheck

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// searches are exhaustive up to their depth. DOCKHINGE_EXPLORE_DEEPER adds to the depth, for runs longer
// than CI allows.
var searches = map[string]Params{
	"two clients": {Clients: 2, Depth: 7, MaxInFlight: 3, MaxStates: 3_000_000, MaxClockRateError: 0.1},
	"two clients, one holds": {Clients: 2, Depth: 6, MaxInFlight: 3, MaxStates: 3_000_000,
		MaxClockRateError: 0.1, StartWithLease: true},
	"three, one holds": {Clients: 3, Depth: 5, MaxInFlight: 3, MaxStates: 3_000_000,
		MaxClockRateError: 0.1, StartWithLease: true},
}

const walkCount = 500

// walk runs a random walk that is longer than the depth of the searches.
func walk(seed uint64) Result {
	return Walk(Params{Clients: 3, MaxInFlight: 4, MaxClockRateError: 0.1, StartWithLease: seed%2 == 0}, seed, 300)
}

// No order of events violates the lease properties, exhaustively up to a depth and at random beyond it.
func TestNoTwoHoldersActAtTheSameTime(t *testing.T) {
	deeper, _ := strconv.Atoi(os.Getenv("DOCKHINGE_EXPLORE_DEEPER"))
	for name, p := range searches {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.Depth += deeper
			p.MaxStates <<= 3 * deeper
			r := Search(p)
			t.Logf("%d states, depth %d, complete: %t", r.States, r.Depth, r.IsComplete)
			if r.Violation != "" {
				t.Fatalf("%s:\n%s", r.Violation, strings.Join(r.Trace, "\n"))
			}
			if !r.IsComplete {
				t.Errorf("the search stopped at its limit of %d states, at depth %d of %d",
					p.MaxStates, r.Depth, p.Depth)
			}
		})
	}
	t.Run("walks", func(t *testing.T) {
		t.Parallel()
		for seed := range uint64(walkCount << (2 * deeper)) {
			if r := walk(seed); r.Violation != "" {
				t.Fatalf("seed %d: %s:\n%s", seed, r.Violation, strings.Join(r.Trace, "\n"))
			}
		}
	})
}
