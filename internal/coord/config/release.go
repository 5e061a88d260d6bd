package config

import (
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// RerunKinds are the reasons why a command may run twice at the same time: "checked" if the
// resource that it changes rejects a token lower than the highest it has seen, "harmless" if a
// second run does no harm. A command for which neither holds must not run under a lease or permit.
var RerunKinds = []string{"checked", "harmless"}

// Limits of a release file.
const (
	minFalseHaltShare = 1e-9
	maxFalseHaltShare = 0.1
	maxAttemptsLimit  = 10
)

// Release is a release file. docs/rollout.md describes each key.
type Release struct {
	// Version is the version of the file format: 1.
	Version int `toml:"version"`

	// The following fields form the plan; see rollout.ReleasePlan.

	// Name is the name of the release.
	Name string `toml:"name"`
	// Match is a pattern of router names; "" matches all.
	Match string `toml:"match"`
	// FromVersion is the version that the routers currently run.
	FromVersion string `toml:"from"`
	// ToVersion is the version to install.
	ToVersion string `toml:"to"`
	// FirstWave is the number of routers in the first wave; 1 by default.
	FirstWave int `toml:"first"`
	// GrowthFactor is the ratio of a wave's size to the total size of all waves before it; 2 by
	// default.
	GrowthFactor float64 `toml:"grow"`
	// BakeTime is how long a complete wave is observed; 2m by default.
	BakeTime string `toml:"bake"`
	// MinRequests is how many requests the new version must have answered in a wave; 100 by
	// default.
	MinRequests int64 `toml:"least"`
	// StepTimeout is how long a router may take to return to service; 2m by default.
	StepTimeout string `toml:"step"`
	// LearnTime is how long after a router's start its requests are not counted; 20s by default.
	LearnTime string `toml:"learn"`

	// The following fields configure the release driver.

	// FalseHaltShare is the accepted fraction of releases that are halted although both versions
	// perform alike, 1e-9 to 0.1; 0.001 by default.
	FalseHaltShare float64 `toml:"alpha"`
	// MinServedShare is the fraction of requests served, over 10 s, below which the release is
	// halted, whichever version causes it, 0 to 1; 0.8 by default.
	MinServedShare float64 `toml:"floor"`
	// RerunKind is the one of RerunKinds that holds for Command.
	RerunKind string `toml:"kind"`
	// MaxAttempts is how many times Command is run for a router before the router counts as failed,
	// 1 to 10; 2 by default.
	MaxAttempts int `toml:"tries"`
	// Command installs a version on one router. The placeholders {name}, {to} and {from} are
	// replaced; {to} is the version to install, also during a rollback.
	Command []string `toml:"command"`
}

// LoadRelease reads the release file at path. It returns the file and its plan.
func LoadRelease(path string) (Release, rollout.ReleasePlan, error) {
	text, err := readFile("release", path)
	if err != nil {
		return Release{}, rollout.ReleasePlan{}, err
	}
	return ParseRelease(path, text)
}

// ParseRelease parses the content of the release file at path.
func ParseRelease(path string, text []byte) (Release, rollout.ReleasePlan, error) {
	f := Release{
		FirstWave:      1,
		GrowthFactor:   2,
		BakeTime:       "2m",
		MinRequests:    100,
		StepTimeout:    "2m",
		LearnTime:      "20s",
		FalseHaltShare: 0.001,
		MinServedShare: 0.8,
		MaxAttempts:    2,
	}
	if err := decode(path, text, &f); err != nil {
		return f, rollout.ReleasePlan{}, err
	}
	c := &checker{path: path}
	c.version(f.Version)
	plan := f.plan(c)
	if err := plan.Check(); err != nil {
		c.add("release", "%v", err)
	}
	f.checkDriver(c)
	return f, plan, c.err()
}

// plan returns the plan in the file.
func (f *Release) plan(c *checker) rollout.ReleasePlan {
	duration := func(setting, text string) time.Duration {
		d, isValid := c.duration(setting, text)
		if !isValid {
			return time.Minute // a valid placeholder: the problem is recorded already
		}
		return d
	}
	return rollout.ReleasePlan{
		Name:         f.Name,
		Match:        f.Match,
		FromVersion:  f.FromVersion,
		ToVersion:    f.ToVersion,
		FirstWave:    f.FirstWave,
		GrowthFactor: f.GrowthFactor,
		BakeTime:     duration("bake", f.BakeTime),
		MinRequests:  f.MinRequests,
		StepTimeout:  duration("step", f.StepTimeout),
		LearnTime:    duration("learn", f.LearnTime),
	}
}

// checkDriver checks the fields that configure the release driver.
func (f *Release) checkDriver(c *checker) {
	if !(f.FalseHaltShare >= minFalseHaltShare && f.FalseHaltShare <= maxFalseHaltShare) {
		c.add("alpha", "%v is not from 1e-9 to 0.1", f.FalseHaltShare)
	}
	if !(f.MinServedShare >= 0 && f.MinServedShare <= 1) {
		c.add("floor", "%v is not from 0 to 1", f.MinServedShare)
	}
	if !slices.Contains(RerunKinds, f.RerunKind) {
		c.add("kind",
			"%q is not one of checked, harmless: the command may run twice for one router if its driver crashes",
			f.RerunKind)
	}
	if f.MaxAttempts < 1 || f.MaxAttempts > maxAttemptsLimit {
		c.add("tries", "%d is not from 1 to %d", f.MaxAttempts, maxAttemptsLimit)
	}
	if len(f.Command) == 0 {
		c.add("command", "empty")
	}
}
