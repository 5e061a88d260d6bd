package config

import (
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// RerunKinds are why a command may run twice at once: whatever it acts on rejects a token lower
// than one it has seen, or it does no harm twice. A command that is neither must not run under a
// lease or permit.
var RerunKinds = []string{"checked", "harmless"}

// Limits of a release's file.
const (
	minFalseHaltShare = 1e-9
	maxFalseHaltShare = 0.1
	maxAttemptsLimit  = 10
)

// Release is a release's file. docs/rollout.md describes each key.
type Release struct {
	// Version is that of the file's form: 1.
	Version int `toml:"version"`

	// The fields of the plan: see rollout.ReleasePlan.

	// Name names the release.
	Name string `toml:"name"`
	// Match is a pattern for the names of the routers; "" matches all.
	Match string `toml:"match"`
	// FromVersion is the version that the routers have.
	FromVersion string `toml:"from"`
	// ToVersion is the version to bring them to.
	ToVersion string `toml:"to"`
	// FirstWave is how many routers the first wave has; 1 by default.
	FirstWave int `toml:"first"`
	// GrowthFactor is how many times the routers of all waves before it a wave has; 2 by default.
	GrowthFactor float64 `toml:"grow"`
	// BakeTime is how long a complete wave is watched; 2m by default.
	BakeTime string `toml:"bake"`
	// MinRequests is how many requests the new version must have answered in a wave; 100 by
	// default.
	MinRequests int64 `toml:"least"`
	// StepTimeout is within which a router must be back; 2m by default.
	StepTimeout string `toml:"step"`
	// LearnTime is how long the requests of a router that has started don't count; 20s by default.
	LearnTime string `toml:"learn"`

	// The fields of whoever drives the release.

	// FalseHaltShare is the share of releases that may be halted though both versions are alike,
	// 1e-9 to 0.1; 0.001 by default.
	FalseHaltShare float64 `toml:"alpha"`
	// MinServedShare halts the release where a smaller share of requests is served for 10 s,
	// whatever the version, 0 to 1; 0.8 by default.
	MinServedShare float64 `toml:"floor"`
	// RerunKind is one of RerunKinds: why Command may run twice.
	RerunKind string `toml:"kind"`
	// MaxAttempts is how often Command is run for one router before it has failed, 1 to 10; 2 by
	// default.
	MaxAttempts int `toml:"tries"`
	// Command brings one router to a version. {name}, {to} and {from} are replaced; {to} is the
	// version wanted, also in a rollback.
	Command []string `toml:"command"`
}

// LoadRelease reads the release's file at path, and returns it with the plan in it.
func LoadRelease(path string) (Release, rollout.ReleasePlan, error) {
	text, err := readFile("release", path)
	if err != nil {
		return Release{}, rollout.ReleasePlan{}, err
	}
	return ParseRelease(path, text)
}

// ParseRelease reads the text of the release's file at path.
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

// plan makes the plan of the file's fields.
func (f *Release) plan(c *checker) rollout.ReleasePlan {
	duration := func(setting, text string) time.Duration {
		d, isValid := c.duration(setting, text)
		if !isValid {
			return time.Minute // a valid one: the mistake is recorded already
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

// checkDriver checks the fields of whoever drives the release.
func (f *Release) checkDriver(c *checker) {
	if !(f.FalseHaltShare >= minFalseHaltShare && f.FalseHaltShare <= maxFalseHaltShare) {
		c.add("alpha", "%v is not from 1e-9 to 0.1", f.FalseHaltShare)
	}
	if !(f.MinServedShare >= 0 && f.MinServedShare <= 1) {
		c.add("floor", "%v is not from 0 to 1", f.MinServedShare)
	}
	if !slices.Contains(RerunKinds, f.RerunKind) {
		c.add("kind",
			"%q is none of checked, harmless: the command may run twice for one router, where who ran it has died",
			f.RerunKind)
	}
	if f.MaxAttempts < 1 || f.MaxAttempts > maxAttemptsLimit {
		c.add("tries", "%d is not from 1 to %d", f.MaxAttempts, maxAttemptsLimit)
	}
	if len(f.Command) == 0 {
		c.add("command", "empty")
	}
}
