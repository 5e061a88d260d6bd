package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"dockhinge.example/dockhinge/internal/configerror"
	"dockhinge.example/dockhinge/internal/rollout"
)

// Release is a file of a release. docs/rollout.md describes each key.
type Release struct {
	Version int      `toml:"version"`
	Name    string   `toml:"name"`
	Match   string   `toml:"match"`
	From    string   `toml:"from"`
	To      string   `toml:"to"`
	First   int      `toml:"first"`
	Grow    float64  `toml:"grow"`
	Bake    string   `toml:"bake"`
	Least   int64    `toml:"least"`
	Step    string   `toml:"step"`
	Learn   string   `toml:"learn"`
	Alpha   float64  `toml:"alpha"`   // false halts of releases in which both versions are alike
	Floor   float64  `toml:"floor"`   // a halt where less than this share of requests is served, whatever the version, for 10 s
	Kind    string   `toml:"kind"`    // checked or harmless: why the command may run twice
	Tries   int      `toml:"tries"`   // of the command for one router
	Command []string `toml:"command"` // {name}, {to} and {from} are replaced; {to} is the version wanted, also on the way back
}

// LoadRelease reads the file at path. The error joins a configerror.Problem for each mistake.
func LoadRelease(path string) (f Release, p rollout.ReleasePlan, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return f, p, fmt.Errorf("release: %w", err)
	}
	return ParseRelease(path, text)
}

// ParseRelease reads a file that was read from path.
func ParseRelease(path string, text []byte) (f Release, p rollout.ReleasePlan, err error) {
	if len(text) > maxFile {
		return f, p, configerror.Problem{File: path, Reason: fmt.Sprintf("%d bytes, %d at most", len(text), maxFile)}
	}
	f = Release{First: 1, Grow: 2, Bake: "2m", Least: 100, Step: "2m", Learn: "20s", Alpha: 0.001, Floor: 0.8, Tries: 2}
	if err := configerror.DecodeTOML(path, text, &f); err != nil {
		return f, p, err
	}
	var errs []error
	bad := func(setting, form string, v ...any) {
		errs = append(errs, configerror.Problem{File: path, Setting: setting, Reason: fmt.Sprintf(form, v...)})
	}
	if f.Version != Version {
		bad("version", "%d is not %d, the version that this program reads", f.Version, Version)
	}
	p = rollout.ReleasePlan{Name: f.Name, Match: f.Match, FromVersion: f.From, ToVersion: f.To, FirstWave: f.First, GrowthFactor: f.Grow, MinRequests: f.Least}
	for _, d := range []struct {
		setting, v string
		to         *time.Duration
	}{{"bake", f.Bake, &p.BakeTime}, {"step", f.Step, &p.StepTimeout}, {"learn", f.Learn, &p.LearnTime}} {
		if *d.to, err = time.ParseDuration(d.v); err != nil {
			bad(d.setting, "%q is no duration", d.v)
			*d.to = time.Minute // told already
		}
	}
	if err := p.Check(); err != nil {
		bad("release", "%v", err)
	}
	if !(f.Alpha >= 1e-9 && f.Alpha <= 0.1) {
		bad("alpha", "%v is not from 1e-9 to 0.1", f.Alpha)
	}
	if !(f.Floor >= 0 && f.Floor <= 1) {
		bad("floor", "%v is not from 0 to 1", f.Floor)
	}
	if f.Kind != "checked" && f.Kind != "harmless" {
		bad("kind", "%q is none of checked, harmless: the command may run twice for one router, where who ran it has died", f.Kind)
	}
	if f.Tries < 1 || f.Tries > 10 {
		bad("tries", "%d is not from 1 to 10", f.Tries)
	}
	if len(f.Command) == 0 {
		bad("command", "empty")
	}
	return f, p, errors.Join(errs...)
}
