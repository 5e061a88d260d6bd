// Package regression keeps the standing test: which of the operators' programs a change calls for, and what their journals say of
// the figures since the last time.
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

// Allowed is by how much a figure may fall between two runs of the same days: less is noise.
const Allowed = 0.03

// Program is one of the operators' programs on its days.
type Program struct {
	Name string
	Path string   // below the kit's directory
	Args []string // between the site file and the reason
	Real bool     // it plays real sockets in real time, and wants the machine for itself
	Site string   // of another deployment; "" = the one that is asked about
	each bool     // played for other deployments too
	when func(path string) bool
}

func below(dirs ...string) func(string) bool {
	return func(path string) bool {
		return slices.ContainsFunc(dirs, func(d string) bool { return strings.HasPrefix(path, d) })
	}
}

// What the router is built from, and the part of it that the simulator plays too.
var (
	router = below("cmd/dockhinge/", "decide/", "internal/", "go.mod", "deploy/balancer.toml")
	module = below("decide/", "internal/simulator/", "internal/settings/", "cmd/dockhinge-sim/", "deploy/balancer.toml")
)

// Programs are all of them, the quickest verdict first.
var Programs = []Program{
	{Name: "simulator", Path: "bin/lbsim", when: module},
	{Name: "brink", Path: "more/mass/bin/lbreal", Args: []string{"--panel", "brink"}, each: true, when: router},
	{Name: "mass", Path: "more/mass/bin/lbreal", Args: []string{"--quick"}, each: true, when: router},
	{Name: "operators", Path: "real/bin/lbreal", Args: []string{"--quick"}, Real: true, when: router},
	{Name: "fleet", Path: "more/bin/lbreal", Args: []string{"--quick"}, when: module},
	{Name: "earlier", Path: "more/ops/bin/lbreal", Args: []string{"--quick"}, Real: true, when: below("internal/router/", "internal/admin/", "internal/handover/", "cmd/dockhinge/")},
}

// tested tells whether a file is of no build: its change calls for nothing.
func tested(path string) bool {
	return strings.HasSuffix(path, "_test.go") || strings.Contains(path, "/testdata/")
}

// Options say how much is played.
type Options struct {
	Full   bool     // the standing test in full
	Seed   int64    // of the days of few routers and narrow moments: each seed is other days
	Others []string // site files of other deployments, which see the same program
}

// Plan picks the programs that changed files call for.
func Plan(changed []string, o Options) (due []Program) {
	for _, p := range Programs {
		if !slices.ContainsFunc(changed, func(path string) bool { return !tested(path) && p.when(path) }) {
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
		if p.each {
			for _, site := range o.Others {
				p.Site = site
				due = append(due, p)
			}
		}
	}
	return due
}

// Command is what runs a program, from the repository's root.
func (p Program) Command(kit, site, why string) []string {
	verb := append([]string{filepath.Join(kit, p.Path), "score", cmp.Or(p.Site, site)}, p.Args...)
	return append(verb, "--why", why)
}

// Day is one day of a run.
type Day struct {
	Name   string         `json:"name"`
	Score  float64        `json:"score"`
	Served float64        `json:"served"`
	Rules  map[string]int `json:"rules"`
	Fault  any            `json:"fault"` // nil = none
}

// Run is one scored run, as its journal has it.
type Run struct {
	ID      string             `json:"id"`
	At      []string           `json:"at"` // began and ended, RFC 3339; "" where it did not end
	Began   time.Time          `json:"-"`
	Cmd     string             `json:"cmd"`
	Why     string             `json:"why"`
	Panel   string             `json:"panel"` // the days, by name: runs of one panel compare
	OK      bool               `json:"ok"`
	Score   *float64           `json:"score"`
	Figures map[string]float64 `json:"figures"`
	Days    []Day              `json:"days"`
}

// Figure is the one figure of a run; ok is false where it has none.
func (r *Run) Figure() (v float64, ok bool) {
	if r.Score != nil {
		return *r.Score, true
	}
	v, ok = r.Figures["real_score"]
	return v, ok
}

// Broken names what fails a version: the gate, a rule, a fault or a day at nothing.
func (r *Run) Broken() (all []string) {
	if gate, ok := r.Figures["gate"]; ok && gate < 1 {
		all = append(all, "GATE failed")
	}
	if n := r.Figures["rule_days_broken"]; n > 0 {
		all = append(all, fmt.Sprintf("%.0f days drawn for the rules broke one", n))
	}
	for _, d := range r.Days {
		for _, rule := range sorted(d.Rules) {
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

func sorted[V any](m map[string]V) (names []string) {
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// maxEntry bounds a journal's file that is read, in bytes.
const maxEntry = 8 << 20

// Read reads the scored runs of a journal, oldest first. Files that are none are passed over.
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
		if info.Size() > maxEntry {
			return nil, fmt.Errorf("%s: over %d bytes", p, maxEntry)
		}
		text, err := os.ReadFile(p)
		if err != nil {
			return nil, err
		}
		var r Run
		if err := json.Unmarshal(text, &r); err != nil {
			var kind *json.UnmarshalTypeError
			if errors.As(err, &kind) { // of another shape: an incident, a comparison
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

// Verdict is what a run says beside the one before it of the same days.
type Verdict struct {
	Run
	Before *Run     // nil = the first of its days
	Broken []string // what fails the version
	Decreases   []string // what fell by more than Allowed: the figure, or with the figure a day
}

// HasFailed tells whether something has to be mended before any other work.
func (v *Verdict) HasFailed() bool { return len(v.Broken) > 0 || len(v.Decreases) > 0 }

// CompareRuns gives the verdict on the newest run of each panel that began at or after since.
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
			v.Decreases = fell(v.Before, &r)
		}
		all = append(all, v)
	}
	return all
}

// narrow marks the panels of few routers, of which only what is broken counts.
const narrow = "+brink"

func fell(before, now *Run) (all []string) {
	if strings.Contains(now.Panel, narrow) {
		return nil
	}
	was, _ := before.Figure()
	is, _ := now.Figure()
	if was-is <= Allowed {
		return nil
	}
	all = append(all, fmt.Sprintf("the figure from %.3f to %.3f", was, is))
	for _, d := range now.Days {
		i := slices.IndexFunc(before.Days, func(old Day) bool { return old.Name == d.Name })
		if i >= 0 && before.Days[i].Score-d.Score > Allowed {
			all = append(all, fmt.Sprintf("%s from %.2f to %.2f", d.Name, before.Days[i].Score, d.Score))
		}
	}
	return all
}
