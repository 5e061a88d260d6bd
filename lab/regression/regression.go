// Package regression implements the regression test of a change: it picks the operators' programs
// to run, and compares the results in their journal with those of the previous run.
package regression

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxDecrease is how much a score may fall between two runs of the same days; smaller decreases are
// noise.
const MaxDecrease = 0.03

// Program is one of the operators' programs with its arguments.
type Program struct {
	Name              string
	Path              string   // below the kit's directory
	Args              []string // between the site file and the reason
	NeedsIdleMachine  bool     // it uses real sockets in real time
	Site              string   // site file of another deployment; "" = the one passed to Command
	isPlayedForOthers bool     // run it for Options.Others too
	isAffected        func(path string) bool
}

func hasAnyPrefix(dirs ...string) func(string) bool {
	return func(path string) bool {
		return slices.ContainsFunc(dirs, func(d string) bool { return strings.HasPrefix(path, d) })
	}
}

// affectsRouter selects the files that the router is built from, affectsSimulator those that the
// simulator runs too.
var (
	affectsRouter    = hasAnyPrefix("cmd/dockhinge/", "decide/", "internal/", "go.mod", "deploy/balancer.toml")
	affectsSimulator = hasAnyPrefix("decide/", "internal/simulator/", "internal/settings/",
		"cmd/dockhinge-sim/", "deploy/balancer.toml")
)

// Programs lists all programs, the quickest first.
var Programs = []Program{
	{Name: "simulator", Path: "bin/lbsim", isAffected: affectsSimulator},
	{Name: "brink", Path: "more/mass/bin/lbreal", Args: []string{"--panel", "brink"},
		isPlayedForOthers: true, isAffected: affectsRouter},
	{Name: "mass", Path: "more/mass/bin/lbreal", Args: []string{"--quick"},
		isPlayedForOthers: true, isAffected: affectsRouter},
	{Name: "operators", Path: "real/bin/lbreal", Args: []string{"--quick"}, NeedsIdleMachine: true,
		isAffected: affectsRouter},
	{Name: "fleet", Path: "more/bin/lbreal", Args: []string{"--quick"}, isAffected: affectsSimulator},
	{Name: "earlier", Path: "more/ops/bin/lbreal", Args: []string{"--quick"}, NeedsIdleMachine: true,
		isAffected: hasAnyPrefix("internal/router/", "internal/admin/", "internal/handover/", "cmd/dockhinge/")},
}

// isTestFile reports whether a file is part of no program, so that its change requires no run.
func isTestFile(path string) bool {
	return strings.HasSuffix(path, "_test.go") || strings.Contains(path, "/testdata/")
}

// Options says how much to run.
type Options struct {
	Full   bool     // the full regression test
	Seed   int64    // of the brink days, which have few routers; each seed draws other days
	Others []string // site files of other deployments to check too
}

// Plan returns the programs that have to run because of the changed files, in order.
func Plan(changed []string, o Options) (due []Program) {
	for _, p := range Programs {
		if !slices.ContainsFunc(changed, func(path string) bool { return !isTestFile(path) && p.isAffected(path) }) {
			continue
		}
		if p.Name == "brink" {
			p.Args = append(slices.Clone(p.Args), "--seed", strconv.FormatInt(o.Seed, 10))
		}
		own := p
		if p.Name == "mass" && o.Full {
			own.Args = nil
		}
		due = append(due, own)
		if p.isPlayedForOthers {
			for _, site := range o.Others {
				p.Site = site
				due = append(due, p)
			}
		}
	}
	return due
}

// Command returns the command line that runs the program from the repository's root.
func (p Program) Command(kit, site, why string) []string {
	command := append([]string{filepath.Join(kit, p.Path), "score", cmp.Or(p.Site, site)}, p.Args...)
	return append(command, "--why", why)
}

// Day is the result of one day of a run.
type Day struct {
	Name   string         `json:"name"`
	Score  float64        `json:"score"`
	Served float64        `json:"served"`
	Rules  map[string]int `json:"rules"`
	Fault  any            `json:"fault"` // nil = none
}

// Run is one scored run as stored in the journal.
type Run struct {
	ID      string             `json:"id"`
	At      []string           `json:"at"` // start and end, RFC 3339; the end is "" if the run did not end
	Began   time.Time          `json:"-"`
	Cmd     string             `json:"cmd"`
	Why     string             `json:"why"`
	Panel   string             `json:"panel"` // name of the set of days; runs of one panel are comparable
	OK      bool               `json:"ok"`
	Score   *float64           `json:"score"`
	Figures map[string]float64 `json:"figures"`
	Days    []Day              `json:"days"`
}

// Figure returns the overall score of a run; ok is false if it has none.
func (r *Run) Figure() (v float64, ok bool) {
	if r.Score != nil {
		return *r.Score, true
	}
	v, ok = r.Figures["real_score"]
	return v, ok
}

// Broken describes what fails a version whatever its score: the gate, broken rules and faults.
func (r *Run) Broken() (all []string) {
	if gate, ok := r.Figures["gate"]; ok && gate < 1 {
		all = append(all, "GATE failed")
	}
	if n := r.Figures["rule_days_broken"]; n > 0 {
		all = append(all, fmt.Sprintf("%.0f of the days drawn to test the rules broke a rule", n))
	}
	for _, d := range r.Days {
		for _, rule := range sortedKeys(d.Rules) {
			if n := d.Rules[rule]; n > 0 {
				all = append(all, fmt.Sprintf("%s: rule %s broken %d times", d.Name, rule, n))
			}
		}
		if d.Fault != nil {
			all = append(all, fmt.Sprintf("%s: %v", d.Name, d.Fault))
		}
	}
	return all
}

func sortedKeys[V any](m map[string]V) (names []string) {
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// maxEntryBytes limits the size of a journal file that is read.
const maxEntryBytes = 8 << 20

// Read returns the scored runs of a journal, oldest first. It skips files that hold no scored run.
func Read(dir string) (runs []Run, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("no journal in %s: %w", dir, fs.ErrNotExist)
	}
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, err
		}
		if info.Size() > maxEntryBytes {
			return nil, fmt.Errorf("%s: over %d bytes", p, maxEntryBytes)
		}
		text, err := os.ReadFile(p)
		if err != nil {
			return nil, err
		}
		var r Run
		if err := json.Unmarshal(text, &r); err != nil {
			var typeError *json.UnmarshalTypeError
			if errors.As(err, &typeError) { // another kind of entry, such as an incident or a comparison
				continue
			}
			return nil, fmt.Errorf("%s: %w", p, err)
		}
		if _, ok := r.Figure(); !ok || len(r.At) == 0 || !strings.HasSuffix(r.Cmd, "score") {
			continue
		}
		if r.Began, err = time.Parse(time.RFC3339, r.At[0]); err != nil {
			return nil, fmt.Errorf("%s: at: %w", p, err)
		}
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Or(a.Began.Compare(b.Began), cmp.Compare(a.ID, b.ID)) })
	return runs, nil
}

// Verdict compares a run with the previous run of the same days.
type Verdict struct {
	Run
	Before    *Run     // previous run of the same days; nil = none
	Broken    []string // what fails the version whatever its score
	Decreases []string // scores that fell by more than MaxDecrease: overall, and of days if the overall one fell
}

// HasFailed reports whether the version is broken or its score fell, which must be fixed before any
// other work.
func (v *Verdict) HasFailed() bool { return len(v.Broken) > 0 || len(v.Decreases) > 0 }

// CompareRuns returns a verdict for the newest run of each panel, if it began at or after since. It
// compares with the last run of the panel that began before since.
func CompareRuns(runs []Run, since time.Time) (all []Verdict) {
	newest := map[string]int{}
	for i, r := range runs {
		newest[r.Cmd+r.Panel] = i
	}
	for i, r := range runs {
		if newest[r.Cmd+r.Panel] != i || r.Began.Before(since) {
			continue
		}
		v := Verdict{Run: r, Broken: r.Broken()}
		for j := i - 1; j >= 0 && v.Before == nil; j-- {
			if runs[j].Cmd == r.Cmd && runs[j].Panel == r.Panel && runs[j].Began.Before(since) {
				v.Before = &runs[j]
			}
		}
		if v.Before != nil {
			v.Decreases = findDecreases(v.Before, &r)
		}
		all = append(all, v)
	}
	return all
}

// brinkMark is contained in the names of panels with few routers, whose scores are ignored: only
// broken rules and faults count.
const brinkMark = "+brink"

func findDecreases(before, now *Run) (all []string) {
	if strings.Contains(now.Panel, brinkMark) {
		return nil
	}
	oldScore, _ := before.Figure()
	newScore, _ := now.Figure()
	if oldScore-newScore <= MaxDecrease {
		return nil
	}
	all = append(all, fmt.Sprintf("the score fell from %.3f to %.3f", oldScore, newScore))
	for _, d := range now.Days {
		i := slices.IndexFunc(before.Days, func(old Day) bool { return old.Name == d.Name })
		if i >= 0 && before.Days[i].Score-d.Score > MaxDecrease {
			all = append(all, fmt.Sprintf("%s fell from %.2f to %.2f", d.Name, before.Days[i].Score, d.Score))
		}
	}
	return all
}
