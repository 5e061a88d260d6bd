package fleet

import (
	"fmt"
	"slices"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/scenario"
)

// plannedFaults are the faults that operators cause on purpose. Routers must keep serving during
// them.
var plannedFaults = []string{"roll", "deploy", "shrink", "upgrade", "reload", "move-discovery",
	"end-routers", "signals", "upgrade-one", "change-servers", "change-routers", "release-routers"}

// hasOnlyPlanned reports whether all faults are planned ones.
func hasOnlyPlanned(faults []scenario.Fault) bool {
	return !slices.ContainsFunc(faults, func(f scenario.Fault) bool { return !slices.Contains(plannedFaults, f.What) })
}

// rules returns the rules that the checker applies to the run.
func (fl *Fleet) rules() checker.Rules {
	r := checker.Rules{Classes: map[string]checker.Class{}, Group: map[string]map[string]string{"zone": {}, "cell": {}},
		GraceMS: fl.File.Fleet.DrainGrace * 1000, SlackMS: 50 + fl.maxLateMS,
		MachineLateMS: fl.maxLateMS, MaxAttempts: fl.File.Fleet.MaxAttempts,
		HasOnlyPlanned: hasOnlyPlanned(fl.File.Faults), HasPushedList: !fl.File.Fleet.AskList}
	for _, c := range fl.File.Classes {
		r.Classes[c.Name] = checker.Class{Effect: checker.Effect(c.Effect), Scope: c.Scope, WindowMS: c.WindowMS}
	}
	for _, m := range fl.members {
		r.Group["zone"][m.entry.ID], r.Group["cell"][m.entry.ID] = m.entry.Zone, fmt.Sprint(m.entry.Cell)
	}
	return r
}
