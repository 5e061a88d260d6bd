package rollout

import (
	"fmt"
	"math"
	"time"
)

// Lower bounds of a plan's durations.
const (
	MinStepTimeout = time.Second
	MinBakeTime    = time.Second
)

// maxGrowthFactor bounds ReleasePlan.GrowthFactor.
const maxGrowthFactor = 100

// ReleasePlan is a release as an operator requested it: all routers whose names match are brought
// to ToVersion, wave by wave.
type ReleasePlan struct {
	// Name names the release for operators.
	Name string `json:"name"`
	// Match is a pattern of path.Match for the names of the routers; "" matches all.
	Match string `json:"match,omitempty"`
	// FromVersion is the version that the routers have, and get again by a rollback.
	FromVersion string `json:"from"`
	// ToVersion is the version to bring them to.
	ToVersion string `json:"to"`
	// FirstWave is how many routers the first wave, the canary, has.
	FirstWave int `json:"first"`
	// GrowthFactor is how many times the routers of all waves before it a wave has.
	GrowthFactor float64 `json:"grow"`
	// BakeTime is how long a complete wave is watched before the next one begins.
	BakeTime time.Duration `json:"bake"`
	// MinRequests is how many requests the new version must have answered in a wave before the next
	// one begins.
	MinRequests int64 `json:"least"`
	// StepTimeout is within which a router must be back with the goal version after its outage
	// began.
	StepTimeout time.Duration `json:"step"`
	// LearnTime is how long a router that has started is worse than others, whatever its version:
	// its requests don't count.
	LearnTime time.Duration `json:"learn,omitempty"`
}

// Check returns what is wrong with the plan, beginning with the name of the setting; nil if nothing
// is.
func (p *ReleasePlan) Check() error {
	names := []struct{ setting, value string }{{"name", p.Name}, {"from", p.FromVersion}, {"to", p.ToVersion}}
	for _, f := range names {
		if f.value == "" || len(f.value) > MaxName {
			return fmt.Errorf("%s: %q is not of 1 to %d bytes", f.setting, f.value, MaxName)
		}
	}
	switch {
	case p.FromVersion == p.ToVersion:
		return fmt.Errorf("to: %q is from too: there is nothing to do, and no way back", p.ToVersion)
	case p.FirstWave < 1 || p.FirstWave > MaxRouters:
		return fmt.Errorf("first: %d is not from 1 to %d", p.FirstWave, MaxRouters)
	case !(p.GrowthFactor >= 1 && p.GrowthFactor <= maxGrowthFactor):
		return fmt.Errorf("grow: %v is not from 1 to %d", p.GrowthFactor, maxGrowthFactor)
	}
	if err := p.checkDurations(); err != nil {
		return err
	}
	if p.MinRequests < 0 {
		return fmt.Errorf("least: %d is below 0", p.MinRequests)
	}
	return checkMatch(p.Match)
}

func (p *ReleasePlan) checkDurations() error {
	switch {
	case p.BakeTime < MinBakeTime || p.BakeTime > MaxPermitWait:
		return fmt.Errorf("bake: %v is not from %v to %v", p.BakeTime, MinBakeTime, MaxPermitWait)
	case p.StepTimeout < MinStepTimeout || p.StepTimeout > MaxDuration:
		return fmt.Errorf("step: %v is not from %v to %v", p.StepTimeout, MinStepTimeout, MaxDuration)
	case p.LearnTime < 0 || p.LearnTime > MaxDuration:
		return fmt.Errorf("learn: %v is not from 0 to %v", p.LearnTime, MaxDuration)
	}
	return nil
}

// Waves are the sizes of the waves over n routers, each with the routers of all waves before it.
func (p *ReleasePlan) Waves(n int) (sizes []int) {
	size := min(p.FirstWave, n)
	for {
		sizes = append(sizes, size)
		if size >= n {
			return sizes
		}
		size = p.nextWaveSize(size, n)
	}
}

// nextWaveSize is the size of the wave after one of a size, over n routers.
func (p *ReleasePlan) nextWaveSize(size, n int) int {
	added := int(math.Floor(p.GrowthFactor * float64(size)))
	return min(n, max(size+1, size+added))
}
