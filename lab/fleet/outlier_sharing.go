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

// BudgetSample is the use of a budget from a time on.
type BudgetSample struct {
	AtS     float64 `json:"at_s"`
	Budget  string  `json:"budget"`
	Out     int     `json:"out"`
	Allowed int     `json:"allowed"`
}

// maxBudgetSamples bounds the samples that are kept.
const maxBudgetSamples = 1 << 14

// watchBudgets records the use of the budgets, the servers that all routers exclude on other
// routers' reports, and those routers.
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
			entry := BudgetSample{(fl.clock.Now() - fl.loadStartMS) / 1000, b.Budget, b.Out, b.Allowed}
			if len(fl.budgetUse) < maxBudgetSamples && b.Zone == "" {
				fl.budgetUse = append(fl.budgetUse, entry)
			}
		}
		for _, entry := range r.Unavailable {
			if len(entry.ReportedBy) == 0 {
				continue
			}
			if fl.excludedBy == nil {
				fl.excludedBy = map[string][]string{}
			}
			if fl.excludedBy[entry.Name] == nil {
				fl.marks = append(fl.marks,
					Mark{(fl.clock.Now() - fl.loadStartMS) / 1000,
						fmt.Sprintf("all routers exclude %s, reported by %v", entry.Name, entry.ReportedBy)})
			}
			if len(entry.ReportedBy) < fl.File.Fleet.Out.Quorum {
				fl.problems = append(fl.problems,
					fmt.Sprintf("%s is excluded on reports of %v, and %d routers must report it",
						entry.Name, entry.ReportedBy, fl.File.Fleet.Out.Quorum))
			}
			for _, name := range entry.ReportedBy {
				if !slices.Contains(fl.excludedBy[entry.Name], name) {
					fl.excludedBy[entry.Name] = append(fl.excludedBy[entry.Name], name)
				}
			}
		}
		fl.mu.Unlock()
	}
}

// checkExclusions returns a failure for each router whose report on a server counted although the
// router had sent that server nothing, and so can't have seen it fail. The router that runs a
// mutant is exempt. The caller holds mu.
func (fl *Fleet) checkExclusions(events []checker.Event) (fails []string) {
	if len(fl.excludedBy) == 0 {
		return nil
	}
	routerOf, hasSent := map[string]string{}, map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case checker.Sent:
			routerOf[e.Request] = e.Router
		case checker.AttemptReceived:
			hasSent[routerOf[e.Request]+" "+e.Server] = true
		}
	}
	for _, server := range slices.Sorted(maps.Keys(fl.excludedBy)) {
		for _, r := range fl.excludedBy[server] {
			if !hasSent[r+" "+server] && (fl.options.FirstRouterMutant == "" || r != "r0") {
				fails = append(fails,
					fmt.Sprintf("the report of router %s on server %s counted, although it had sent the server nothing",
						r, server))
			}
		}
	}
	return fails
}
