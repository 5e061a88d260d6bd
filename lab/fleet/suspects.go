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

// OutAt is how much of a budget was used from a time on.
type OutAt struct {
	AtS     float64 `json:"at_s"`
	Budget  string  `json:"budget"`
	Out     int     `json:"out"`
	Allowed int     `json:"allowed"`
}

// maxOut bounds what is kept of that.
const maxOut = 1 << 14

// hear books how much of the budgets is used, which servers are left out by the word of others, and by whose.
func (fl *Fleet) hear(ctx context.Context) {
	reader := client.New(client.Options{Coordinators: fl.coords.addresses(), TTL: 20 * time.Second})
	for after := uint64(0); wait(ctx, 0.02); {
		r, err := reader.RolloutReport(ctx, after)
		if err != nil {
			continue
		}
		after = r.Version
		fl.mu.Lock()
		for _, b := range r.Budgets {
			x := OutAt{(fl.clock.Now() - fl.began) / 1000, b.Budget, b.Out, b.Allowed}
			if len(fl.out) < maxOut && b.Zone == "" {
				fl.out = append(fl.out, x)
			}
		}
		for _, x := range r.Unavailable {
			if len(x.ReportedBy) == 0 {
				continue
			}
			if fl.accused == nil {
				fl.accused = map[string][]string{}
			}
			if fl.accused[x.Name] == nil {
				fl.marks = append(fl.marks, Mark{(fl.clock.Now() - fl.began) / 1000, fmt.Sprintf("all leave out %s, by the word of %v", x.Name, x.ReportedBy)})
			}
			if len(x.ReportedBy) < fl.File.Fleet.Out.Quorum {
				fl.problem = append(fl.problem, fmt.Sprintf("%s is left out by the word of %v, and %d must say so", x.Name, x.ReportedBy, fl.File.Fleet.Out.Quorum))
			}
			for _, name := range x.ReportedBy {
				if !slices.Contains(fl.accused[x.Name], name) {
					fl.accused[x.Name] = append(fl.accused[x.Name], name)
				}
			}
		}
		fl.mu.Unlock()
	}
}

// judgeAccused tells which routers were heard on a server that they had asked nothing: what they said they can't have found by
// themselves. The one that lies is known. The caller holds mu.
func (fl *Fleet) judgeAccused(events []checker.Event) (fails []string) {
	if len(fl.accused) == 0 {
		return nil
	}
	of, asked := map[string]string{}, map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case checker.Sent:
			of[e.Request] = e.Router
		case checker.AttemptReceived:
			asked[of[e.Request]+" "+e.Server] = true
		}
	}
	for _, server := range slices.Sorted(maps.Keys(fl.accused)) {
		for _, r := range fl.accused[server] {
			if !asked[r+" "+server] && (fl.o.Lies == "" || r != "r0") {
				fails = append(fails, fmt.Sprintf("router %s was heard on server %s, and had asked it nothing", r, server))
			}
		}
	}
	return fails
}
