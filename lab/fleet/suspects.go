package fleet

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/lab/checker"
)

// BudgetSample is how much of a budget was used from a time on.
type BudgetSample struct {
	AtS     float64 `json:"at_s"`
	Budget  string  `json:"budget"`
	Out     int     `json:"out"`
	Allowed int     `json:"allowed"`
}

// maxBudgetSamples bounds what is kept of that.
const maxBudgetSamples = 1 << 14

// watchBudgets books how much of the budgets is used, which servers are left out by the word of others, and by whose.
func (fl *Fleet) watchBudgets(ctx context.Context) {
	reader := client.New(client.Options{Coordinators: fl.coordinators.addresses(), TTL: 20 * time.Second})
	for after := uint64(0); wait(ctx, 0.02); {
		r, err := reader.RolloutReport(ctx, after)
		if err != nil {
			continue
		}
		after = r.Version
		fl.mu.Lock()
		for _, b := range r.Budgets {
			x := BudgetSample{(fl.clock.Now() - fl.loadStartMS) / 1000, b.Budget, b.Out, b.Allowed}
			if len(fl.budgetUse) < maxBudgetSamples && b.Zone == "" {
				fl.budgetUse = append(fl.budgetUse, x)
			}
		}
		for _, x := range r.Unavailable {
			if len(x.ReportedBy) == 0 {
				continue
			}
			if fl.excludedBy == nil {
				fl.excludedBy = map[string][]string{}
			}
			if fl.excludedBy[x.Name] == nil {
				fl.marks = append(fl.marks, Mark{(fl.clock.Now() - fl.loadStartMS) / 1000, fmt.Sprintf("all leave out %s, by the word of %v", x.Name, x.ReportedBy)})
			}
			if len(x.ReportedBy) < fl.File.Fleet.Out.Quorum {
				fl.problems = append(fl.problems, fmt.Sprintf("%s is left out by the word of %v, and %d must say so", x.Name, x.ReportedBy, fl.File.Fleet.Out.Quorum))
			}
			for _, name := range x.ReportedBy {
				if !slices.Contains(fl.excludedBy[x.Name], name) {
					fl.excludedBy[x.Name] = append(fl.excludedBy[x.Name], name)
				}
			}
		}
		fl.mu.Unlock()
	}
}

// judgeExclusions tells which routers were heard on a server that they had asked nothing: what they said they can't have found by
// themselves. The one that lies is known. The caller holds mu.
func (fl *Fleet) judgeExclusions(events []checker.Event) (fails []string) {
	if len(fl.excludedBy) == 0 {
		return nil
	}
	of, asked := map[string]string{}, map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case checker.Sent:
			of[e.Request] = e.Router
		case checker.Whole:
			asked[of[e.Request]+" "+e.Server] = true
		}
	}
	for _, server := range slices.Sorted(maps.Keys(fl.excludedBy)) {
		for _, r := range fl.excludedBy[server] {
			if !asked[r+" "+server] && (fl.options.FirstRouterMutant == "" || r != "r0") {
				fails = append(fails, fmt.Sprintf("router %s was heard on server %s, and had asked it nothing", r, server))
			}
		}
	}
	return fails
}
