package rollout

import (
	"fmt"
	"slices"
	"time"
)

// setBudgets is the command that replaces the budgets and the other settings made by operators.
type setBudgets struct {
	budgets         []Budget
	grace           time.Duration
	expectedRouters int
	ejectionQuorum  int
	overloadShare   float64
}

func (c setBudgets) apply(s *State, _ Sender) Result {
	if problem, isValid := c.check(); !isValid {
		return problem
	}
	s.serversChanged = true // the grace period, which may have changed, determines when servers are removed
	if s.EjectionQuorum != c.ejectionQuorum || s.OverloadShare != c.overloadShare {
		s.DrainVersion++ // what routers report, and how soon, depends on these settings
	}
	s.Budgets = slices.Clone(c.budgets)
	s.GracePeriod = c.grace
	s.ExpectedRouters = c.expectedRouters
	s.EjectionQuorum = c.ejectionQuorum
	s.OverloadShare = c.overloadShare
	return Result{Code: CodeOK}
}

// check validates the settings. If they are invalid, problem is the result to return.
func (c setBudgets) check() (problem Result, isValid bool) {
	if len(c.budgets) > MaxBudgets {
		text := fmt.Sprintf("budgets: %d, %d at most", len(c.budgets), MaxBudgets)
		return Result{Code: CodeLimitReached, Text: text}, false
	}
	names := map[string]bool{}
	for _, b := range c.budgets {
		if err := b.Check(); err != nil {
			return invalid("budget %q: %v", b.Name, err), false
		}
		if names[b.Name] {
			return invalid("budget %q: there are two", b.Name), false
		}
		names[b.Name] = true
	}
	if c.grace < MinGracePeriod || c.grace > MaxDuration {
		return invalid("grace: %v is not from %v to %v", c.grace, MinGracePeriod, MaxDuration), false
	}
	if c.expectedRouters < 0 || c.expectedRouters > MaxRouters {
		return invalid("routers: %d is not from 0 to %d", c.expectedRouters, MaxRouters), false
	}
	if !IsValidEjectionQuorum(c.ejectionQuorum) {
		return invalid("quorum: %d is neither 0 nor from %d to %d",
			c.ejectionQuorum, MinEjectionQuorum, MaxEjectionQuorum), false
	}
	if !(c.overloadShare >= 0 && c.overloadShare < 1) {
		return invalid("busy: %v is not between 0 and 1", c.overloadShare), false
	}
	return Result{}, true
}

// IsValidEjectionQuorum reports whether a quorum is a valid setting; 0 turns shared ejection off.
func IsValidEjectionQuorum(quorum int) bool {
	return quorum == 0 || quorum >= MinEjectionQuorum && quorum <= MaxEjectionQuorum
}
