package rollout

import (
	"fmt"
	"math"
	"time"
)

// Lower limits of a plan's durations.
const (
	MinStepTimeout = time.Second
	MinBakeTime    = time.Second
)

// maxGrowthFactor is the upper limit of ReleasePlan.GrowthFactor.
const maxGrowthFactor = 100

// ReleasePlan is an operator's request to bring all routers whose names match to ToVersion, wave by
// wave.
type ReleasePlan struct {
	// Name names the release for operators.
	Name string `json:"name"`
	// Match is a path.Match pattern for the names of the routers; "" matches all.
	Match string `json:"match,omitempty"`
	// FromVersion is the current version of the routers. A rollback returns them to it.
	FromVersion string `json:"from"`
	// ToVersion is the version to bring the routers to.
	ToVersion string `json:"to"`
	// FirstWave is the number of routers in the first wave, the canaries.
	FirstWave int `json:"first"`
	// GrowthFactor is the number of routers that each further wave adds, as a multiple of the
	// routers in all earlier waves.
	GrowthFactor float64 `json:"grow"`
	// BakeTime is how long a complete wave is observed before the next one begins.
	BakeTime time.Duration `json:"bake"`
	// MinRequests is how many requests the new version must answer in a wave before the next one
	// begins.
	MinRequests int64 `json:"least"`
	// StepTimeout is the time limit of a router's update, from the beginning of its outage until it
	// is up with the goal version.
	StepTimeout time.Duration `json:"step"`
	// LearnTime is how long a router performs worse after its start, whatever its version. Its
	// requests are not compared during this time.
	LearnTime time.Duration `json:"learn,omitempty"`
}

// Check returns an error that names the first invalid setting; nil if the plan is valid.
func (p *ReleasePlan) Check() error {
	names := []struct{ setting, value string }{{"name", p.Name}, {"from", p.FromVersion}, {"to", p.ToVersion}}
	for _, f := range names {
		if f.value == "" || len(f.value) > MaxNameBytes {
			return fmt.Errorf("%s: %q is not of 1 to %d bytes", f.setting, f.value, MaxNameBytes)
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

// Waves returns the sizes of the waves over n routers. Each size includes the routers of all
// earlier waves.
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

// nextWaveSize returns the size of the wave that follows a wave of the given size, over n routers.
func (p *ReleasePlan) nextWaveSize(size, n int) int {
	added := int(math.Floor(p.GrowthFactor * float64(size)))
	return min(n, max(size+1, size+added))
}
