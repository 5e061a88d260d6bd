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

// Mark is something that happened, for the report.
type Mark struct {
	AtS  float64 `json:"at_s"` // from the beginning of the load
	Text string  `json:"text"`
}

// Sample is the state of all parties at a time.
type Sample struct {
	AtS     float64        `json:"at_s"`
	Routers map[string]Use `json:"routers"`
	Held    map[string]int `json:"held"` // requests held by each server
}

// ServerResult is what a server did.
type ServerResult struct {
	ID, Zone, Kind string
	fakes.Stats
}

// Result is what became of a run.
type Result struct {
	Scenario     string                     `json:"scenario"`
	Command      string                     `json:"command"`
	Load         load.Result                `json:"load"`
	Doors        map[string]admission.State `json:"doors,omitempty"` // fair admission at the end of the load, by router
	Service      float64                    `json:"service"`         // after the warm-up
	Tail         float64                    `json:"tail"`            // in the last fifth
	Attempts     float64                    `json:"attempts_a_request"`
	AttemptsBy   []int                      `json:"attempts_by_second"` // written whole in each second of the load
	Broken       []checker.Violation        `json:"broken"`
	TimeoutHints checker.TimeoutHintCounts  `json:"timeout_hints"`
	Marks        []Mark                     `json:"marks"`
	Samples      []Sample                   `json:"samples"`
	Servers      []ServerResult             `json:"servers"`
	Probes       int64                      `json:"probes"` // answered by cache servers
	Calls        int                        `json:"discovery_calls"`
	LateMS       float64                    `json:"machine_late_ms"`   // the longest time by which the machine was late
	Rude         [2]int                     `json:"rude"`              // misbehaving clients: told or closed on in time, of all
	Changes      []Change                   `json:"changes,omitempty"` // planned, by the fleet's agreement
	Released     *Released                  `json:"released,omitempty"`
	Out          []OutAt                    `json:"out,omitempty"` // as the agreement saw it, at each change
	Ill          []Ill                      `json:"ill,omitempty"`
	Killed       bool                       `json:"killed,omitempty"` // whom Options.Kill names
	Failures     []string                   `json:"failures"`         // what did not hold
	Cut          bool                       `json:"cut"`              // stopped before its end
}

// Ill is a cache server that was silent, spoilt or slow for a time, and what the routers asked of it meanwhile.
type Ill struct {
	Server   string  `json:"server"`
	From     float64 `json:"from_ms"`
	To       float64 `json:"to_ms"`    // 0 = to the end
	Attempts int     `json:"attempts"` // that were written whole to it,
	Routers  int     `json:"routers"`  // by so many routers
	Late     int     `json:"late"`     // and of these later than a second after it began
	Accused  bool    `json:"accused"`  // it was left out by the word of others
}

// count books what was sent to it.
func (x *Ill) count(events []checker.Event) {
	of, by := map[string]string{}, map[string]bool{}
	for _, e := range events {
		switch {
		case e.Kind == checker.Sent:
			of[e.Request] = e.Router
		case e.Kind == checker.AttemptReceived && e.Server == x.Server && e.Began >= x.From && (x.To == 0 || e.Began <= x.To):
			x.Attempts++
			by[of[e.Request]] = true
			if e.Began > x.From+1000 {
				x.Late++
			}
		}
	}
	x.Routers = len(by)
}

// result judges.
func (fl *Fleet) result(got load.Result, cut bool) Result {
	for _, r := range fl.allRouters() {
		r.mu.Lock()
		fl.problem = append(fl.problem, r.bad...)
		r.mu.Unlock()
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	events, whole := fl.journal.Events()
	res := Result{
		Scenario:     fl.File.Name,
		Command:      strings.Join(fl.o.Command, " "),
		Load:         got,
		Marks:        fl.marks,
		Samples:      fl.samples,
		Broken:       checker.CheckRun(events, fl.rules()),
		TimeoutHints: checker.CountTimeoutHints(events, fl.rules()),
		Calls:        fl.discovery.CallCount(),
		LateMS:       fl.late,
		Rude:         fl.rude,
		Cut:          cut,
		Failures:     fl.problem,
	}
	served := fl.sumUp(&res, events)
	fl.addServers(&res)
	if !whole {
		res.fail("the journal is full at %d events: the rules were not judged to the end", maxEvents)
	}
	if len(res.Broken) > 0 {
		res.fail("%d breaches of the rules, the first: %s", len(res.Broken), res.Broken[0])
	}
	if !got.Valid {
		res.fail("the run does not count: %s", got.Why)
	}
	if cut {
		return res
	}
	fl.judgeEvents(&res, events)
	res.judgeExpectations(fl.File.Expect, served)
	return res
}

// fail books something that did not hold.
func (r *Result) fail(form string, v ...any) {
	r.Failures = append(r.Failures, fmt.Sprintf(form, v...))
}

// sumUp sums up the seconds of the load and the attempts that were written whole, and returns how many requests were served.
func (fl *Fleet) sumUp(res *Result, events []checker.Event) (served int) {
	seconds := res.Load.Seconds
	attempts := 0
	res.AttemptsBy = make([]int, len(seconds))
	for _, e := range events {
		if e.Kind != checker.AttemptReceived {
			continue
		}
		attempts++
		if second := int((e.At - fl.began) / 1000); second >= 0 && second < len(seconds) {
			res.AttemptsBy[second]++
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
	res.Tail = ratio(tailGained, tailWorth)
	res.Attempts = ratio(float64(attempts), float64(asked))
	return served
}

// addServers adds what cache servers and origin did.
func (fl *Fleet) addServers(res *Result) {
	for _, m := range fl.members {
		stats := m.Stats()
		res.Servers = append(res.Servers, ServerResult{m.entry.ID, m.entry.Zone, m.entry.Kind, stats})
		res.Probes += stats.Probes
	}
	res.Servers = append(res.Servers, ServerResult{fl.origin.ID(), "", "origin", fl.origin.Stats()})
}

// judgeEvents adds planned changes, releases and servers that were left out, and judges these.
func (fl *Fleet) judgeEvents(res *Result, events []checker.Event) {
	for _, c := range fl.changes {
		res.Changes = append(res.Changes, *c)
	}
	res.Failures = append(res.Failures, fl.judgeChanges(events)...)
	res.Killed, res.Out = fl.killed, fl.out
	for _, x := range fl.ill {
		x.count(events)
		x.Accused = len(fl.accused[x.Server]) > 0
		res.Ill = append(res.Ill, x)
	}
	res.Failures = append(res.Failures, fl.judgeAccused(events)...)
	if fl.o.MustEnd {
		res.Failures = append(res.Failures, fl.judgeLimits()...)
	}
	res.Released = fl.released
	if res.Released != nil {
		res.Failures = append(res.Failures, res.Released.judge(fl.routers)...)
	}
}

// judgeExpectations compares with what the scenario expects.
func (r *Result) judgeExpectations(expect scenario.Expect, served int) {
	for _, expectation := range []struct {
		name              string
		measured, atLeast float64
	}{
		{"expect.service", r.Service, expect.Service},
		{"expect.tail", r.Tail, expect.Tail},
		{"expect.served", float64(served), float64(expect.Served)},
	} {
		if expectation.measured < expectation.atLeast {
			r.fail("%s: %.3f, and %.3f must hold", expectation.name, expectation.measured, expectation.atLeast)
		}
	}
	if expect.Tries > 0 && r.Attempts > expect.Tries {
		r.fail("expect.attempts: %.2f attempts a request, and at most %.2f must hold", r.Attempts, expect.Tries)
	}
	if expect.Rude && r.Rude[0] < r.Rude[1] {
		r.fail("expect.rude_told: %d of %d misbehaving clients were told or closed on in time", r.Rude[0], r.Rude[1])
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
