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
	"two clients":            {Clients: 2, Depth: 7, Messages: 3, States: 3_000_000, Rate: 0.1},
	"two clients, one holds": {Clients: 2, Depth: 6, Messages: 3, States: 3_000_000, Rate: 0.1, Warm: true},
	"three, one holds":       {Clients: 3, Depth: 5, Messages: 3, States: 3_000_000, Rate: 0.1, Warm: true},
}

const walks = 500

// walk runs a random walk that is longer than the depth of the searches.
func walk(seed uint64) Result {
	return Walk(Params{Clients: 3, Messages: 4, Rate: 0.1, Warm: seed%2 == 0}, seed, 300)
}

// No order of events violates the lease properties, exhaustively up to a depth and at random beyond it.
func TestNoTwoHoldersAct(t *testing.T) {
	deeper, _ := strconv.Atoi(os.Getenv("DOCKHINGE_EXPLORE_DEEPER"))
	for name, p := range searches {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.Depth += deeper
			p.States <<= 3 * deeper
			r := Search(p)
			t.Logf("%d states, depth %d, complete: %t", r.States, r.Depth, r.Whole)
			if r.Broken != "" {
				t.Fatalf("%s:\n%s", r.Broken, strings.Join(r.Trace, "\n"))
			}
			if !r.Whole {
				t.Errorf("the search stopped at its limit of %d states, at depth %d of %d", p.States, r.Depth, p.Depth)
			}
		})
	}
	t.Run("walks", func(t *testing.T) {
		t.Parallel()
		for seed := range uint64(walks << (2 * deeper)) {
			if r := walk(seed); r.Broken != "" {
				t.Fatalf("seed %d: %s:\n%s", seed, r.Broken, strings.Join(r.Trace, "\n"))
			}
		}
	})
}
