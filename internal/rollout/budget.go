package rollout

import (
	"errors"
	"fmt"
	"math"
	"path"
	"time"
)

// scopeZone is the Budget.Per of a budget that applies to each zone separately.
const scopeZone = "zone"

// Budget limits how many targets of a kind may be out of service at once, for whatever reason.
type Budget struct {
	// Name is unique among the budgets in force.
	Name string `json:"name"`
	// Kind is the kind of the covered targets.
	Kind Kind `json:"kind"`
	// Match is a path.Match pattern for the names of the covered targets; "" covers all.
	Match string `json:"match,omitempty"`
	// Per is "zone" for a budget that applies to each zone separately, or "" for one over the whole
	// fleet.
	Per string `json:"per,omitempty"`
	// MaxOut is how many targets may be out at once; 0 means that MaxOutShare applies.
	MaxOut int `json:"most,omitempty"`
	// MaxOutShare is the share of the covered targets that may be out at once, rounded down. It
	// applies if MaxOut is 0.
	MaxOutShare float64 `json:"share,omitempty"`
	// SlowStart is how long a target that has come back still counts as out.
	SlowStart time.Duration `json:"warm,omitempty"`
}

var errBothLimits = errors.New("share: most is given too, and one of them holds")

// Check returns an error that names the first invalid setting; nil if the budget is valid.
func (b *Budget) Check() error {
	if b.Name == "" || len(b.Name) > MaxNameBytes {
		return fmt.Errorf("name: %q is not of 1 to %d bytes", b.Name, MaxNameBytes)
	}
	if b.Kind != KindRouter && b.Kind != KindServer {
		return fmt.Errorf("kind: %q is none of router, server", b.Kind)
	}
	if b.Per != "" && b.Per != scopeZone {
		return fmt.Errorf("per: %q is not zone", b.Per)
	}
	if err := b.checkLimit(); err != nil {
		return err
	}
	if b.SlowStart < 0 || b.SlowStart > MaxDuration {
		return fmt.Errorf("warm: %v is not from 0 to %v", b.SlowStart, MaxDuration)
	}
	return checkMatch(b.Match)
}

// checkLimit checks that exactly one of MaxOut and MaxOutShare is given.
func (b *Budget) checkLimit() error {
	switch {
	case b.MaxOut < 0 || b.MaxOut > MaxRouters:
		return fmt.Errorf("most: %d is not from 1 to %d", b.MaxOut, MaxRouters)
	case b.MaxOut > 0 && b.MaxOutShare != 0:
		return errBothLimits
	case b.MaxOut == 0 && !(b.MaxOutShare > 0 && b.MaxOutShare < 1):
		return fmt.Errorf("most: 0, and share, %v, is not between 0 and 1: it would never let anything out",
			b.MaxOutShare)
	}
	return nil
}

// checkMatch returns an error if a name pattern is malformed or too long.
func checkMatch(pattern string) error {
	if _, err := path.Match(pattern, ""); err != nil || len(pattern) > MaxNameBytes {
		return fmt.Errorf("match: %q is no pattern of at most %d bytes", pattern, MaxNameBytes)
	}
	return nil
}

// matches reports whether a name matches a pattern that checkMatch has accepted; "" matches all.
func matches(pattern, name string) bool {
	if pattern == "" {
		return true
	}
	isMatch, _ := path.Match(pattern, name) // the pattern has been checked
	return isMatch
}

// covers reports whether the budget applies to a target.
func (b *Budget) covers(ref targetRef) bool {
	return b.Kind == ref.kind && matches(b.Match, ref.name)
}

// shareRounding prevents math.Floor from rounding down a product such as 0.1 * 30, which floating
// point arithmetic may put just below the whole number.
const shareRounding = 1e-9

// allowed returns how many of n covered targets may be out at once.
func (b *Budget) allowed(n int) int {
	if b.MaxOut > 0 {
		return b.MaxOut
	}
	return int(math.Floor(b.MaxOutShare*float64(n) + shareRounding))
}
