package fleet

import (
	"fmt"
	"strings"

	"dockhinge.example/dockhinge/internal/admission"
	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/load"
	"dockhinge.example/dockhinge/lab/scenario"
)

// Mark is an event of the run, for the report.
type Mark struct {
	AtS  float64 `json:"at_s"` // since the start of the load
	Text string  `json:"text"`
}

// Sample is the load on all routers and servers at one time.
type Sample struct {
	AtS     float64          `json:"at_s"`
	Routers map[string]Usage `json:"routers"`
	Held    map[string]int   `json:"held"` // requests in flight at each server
}

// ServerResult holds the counts of a server.
type ServerResult struct {
	ID, Zone, Kind string
	fakes.Stats
}

// Result is the outcome of a run.
type Result struct {
	Scenario string      `json:"scenario"`
	Command  string      `json:"command"`
	Load     load.Result `json:"load"`
	// fair admission at the end of the load, by router
	Admission map[string]admission.State `json:"doors,omitempty"`
	// gained share of the requests' worth, after the warm-up
	Service            float64 `json:"service"`
	TailService        float64 `json:"tail"` // the same in the last fifth
	AttemptsPerRequest float64 `json:"attempts_a_request"`
	// attempts that servers received completely, by second of the load
	AttemptsBySecond []int                     `json:"attempts_by_second"`
	Breaches         []checker.Violation       `json:"broken"`
	TimeoutHints     checker.TimeoutHintCounts `json:"timeout_hints"`
	Marks            []Mark                    `json:"marks"`
	Samples          []Sample                  `json:"samples"`
	Servers          []ServerResult            `json:"servers"`
	Probes           int64                     `json:"probes"` // answered by cache servers
	DiscoveryCalls   int                       `json:"discovery_calls"`
	LateMS           float64                   `json:"machine_late_ms"` // longest delay of a timer of the lab
	// misbehaving clients: those that were rejected in time, and all
	MisbehavingClients [2]int    `json:"rude"`
	Changes            []Change  `json:"changes,omitempty"` // planned changes
	Released           *Released `json:"released,omitempty"`
	// use of the budgets as the coordinators reported it, at each change
	BudgetUse    []BudgetSample `json:"out,omitempty"`
	FaultySpells []FaultySpell  `json:"ill,omitempty"`
	Killed       bool           `json:"killed,omitempty"` // the victim of Options.Kill was killed
	// violated rules and expectations, errors of the lab
	Failures    []string `json:"failures"`
	Interrupted bool     `json:"cut"` // stopped before its end
}

// FaultySpell is a time in which a cache server was silent, malfunctioning or slow, with the
// attempts that it got.
type FaultySpell struct {
	Server   string  `json:"server"`
	From     float64 `json:"from_ms"`
	To       float64 `json:"to_ms"`    // 0 = to the end
	Attempts int     `json:"attempts"` // completely written to the server
	Routers  int     `json:"routers"`  // that made these attempts
	Late     int     `json:"late"`     // attempts later than a second after From
	Accused  bool    `json:"accused"`  // it was excluded on routers' reports
}

// count counts the attempts that were sent to the server.
func (x *FaultySpell) count(events []checker.Event) {
	routerOf, routers := map[string]string{}, map[string]bool{}
	for _, e := range events {
		switch {
		case e.Kind == checker.Sent:
			routerOf[e.Request] = e.Router
		case e.Kind == checker.AttemptReceived && e.Server == x.Server &&
			e.Began >= x.From && (x.To == 0 || e.Began <= x.To):
			x.Attempts++
			routers[routerOf[e.Request]] = true
			if e.Began > x.From+1000 {
				x.Late++
			}
		}
	}
	x.Routers = len(routers)
}

// result collects the run's results and checks them.
func (fl *Fleet) result(loadResult load.Result, interrupted bool) Result {
	for _, r := range fl.allRouters() {
		r.mu.Lock()
		fl.problems = append(fl.problems, r.unexpectedExits...)
		r.mu.Unlock()
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	events, isComplete := fl.journal.Events()
	res := Result{
		Scenario:           fl.File.Name,
		Command:            strings.Join(fl.options.RouterCommand, " "),
		Load:               loadResult,
		Marks:              fl.marks,
		Samples:            fl.samples,
		Breaches:           checker.CheckRun(events, fl.rules()),
		TimeoutHints:       checker.CountTimeoutHints(events, fl.rules()),
		DiscoveryCalls:     fl.discovery.CallCount(),
		LateMS:             fl.maxLateMS,
		MisbehavingClients: fl.misbehavingClients,
		Interrupted:        interrupted,
		Failures:           fl.problems,
	}
	served := fl.summarizeLoad(&res, events)
	fl.addServers(&res)
	if !isComplete {
		res.fail("the journal is full at %d events: the rules were checked on the first part of the run only",
			maxEvents)
	}
	if len(res.Breaches) > 0 {
		res.fail("%d breaches of the rules, the first: %s", len(res.Breaches), res.Breaches[0])
	}
	if !loadResult.Valid {
		res.fail("the run is invalid: %s", loadResult.Why)
	}
	if interrupted {
		return res
	}
	fl.checkEvents(&res, events)
	res.checkExpectations(fl.File.Expect, served)
	return res
}

// fail records a failure.
func (r *Result) fail(format string, v ...any) {
	r.Failures = append(r.Failures, fmt.Sprintf(format, v...))
}

// summarizeLoad sets the result's service, tail and attempts, and returns how many requests were
// served.
func (fl *Fleet) summarizeLoad(res *Result, events []checker.Event) (served int) {
	seconds := res.Load.Seconds
	attempts := 0
	res.AttemptsBySecond = make([]int, len(seconds))
	for _, e := range events {
		if e.Kind != checker.AttemptReceived {
			continue
		}
		attempts++
		if second := int((e.At - fl.loadStartMS) / 1000); second >= 0 && second < len(seconds) {
			res.AttemptsBySecond[second]++
		}
	}
	asked := 0
	var worth, gained, tailWorth, tailGained float64
	tailFrom := tailShare * fl.File.DurationS
	for i, s := range seconds {
		asked += s.Asked
		served += s.Served
		if float64(i) >= fl.File.WarmS {
			worth += s.Worth
			gained += s.Gained
		}
		if float64(i) >= tailFrom {
			tailWorth += s.Worth
			tailGained += s.Gained
		}
	}
	res.Service = ratio(gained, worth)
	res.TailService = ratio(tailGained, tailWorth)
	res.AttemptsPerRequest = ratio(float64(attempts), float64(asked))
	return served
}

// addServers adds the counts of the cache servers and the origin.
func (fl *Fleet) addServers(res *Result) {
	for _, m := range fl.members {
		stats := m.Stats()
		res.Servers = append(res.Servers, ServerResult{m.entry.ID, m.entry.Zone, m.entry.Kind, stats})
		res.Probes += stats.Probes
	}
	res.Servers = append(res.Servers, ServerResult{fl.origin.ID(), "", "origin", fl.origin.Stats()})
}

// checkEvents adds planned changes, releases and excluded servers, and checks them.
func (fl *Fleet) checkEvents(res *Result, events []checker.Event) {
	for _, c := range fl.changes {
		res.Changes = append(res.Changes, *c)
	}
	res.Failures = append(res.Failures, fl.checkChanges(events)...)
	res.Killed, res.BudgetUse = fl.isVictimKilled, fl.budgetUse
	for _, x := range fl.faultySpells {
		x.count(events)
		x.Accused = len(fl.excludedBy[x.Server]) > 0
		res.FaultySpells = append(res.FaultySpells, x)
	}
	res.Failures = append(res.Failures, fl.checkExclusions(events)...)
	if fl.options.MustExit {
		res.Failures = append(res.Failures, fl.checkLimits()...)
	}
	res.Released = fl.released
	if res.Released != nil {
		res.Failures = append(res.Failures, res.Released.check(fl.routers)...)
	}
}

// checkExpectations compares the result with the scenario's expectations.
func (r *Result) checkExpectations(expect scenario.Expect, served int) {
	for _, expectation := range []struct {
		name              string
		measured, atLeast float64
	}{
		{"expect.service", r.Service, expect.Service},
		{"expect.tail", r.TailService, expect.Tail},
		{"expect.served", float64(served), float64(expect.Served)},
	} {
		if expectation.measured < expectation.atLeast {
			r.fail("%s: %.3f, must be at least %.3f", expectation.name, expectation.measured, expectation.atLeast)
		}
	}
	if expect.Tries > 0 && r.AttemptsPerRequest > expect.Tries {
		r.fail("expect.attempts: %.2f attempts per request, must be at most %.2f", r.AttemptsPerRequest, expect.Tries)
	}
	if expect.Rude && r.MisbehavingClients[0] < r.MisbehavingClients[1] {
		r.fail("expect.rude_told: %d of %d misbehaving clients got an error line or a closed connection in time",
			r.MisbehavingClients[0], r.MisbehavingClients[1])
	}
}

// tailShare is the part of the load after which its tail begins.
const tailShare = 0.8

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
