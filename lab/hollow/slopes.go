package hollow

import (
	"errors"
	"fmt"

	"dockhinge.example/dockhinge/lab/scalingfit"
)

// figure is a measured value of a step to which Fit fits a line over the number of routers.
type figure struct {
	name, unit string
	value      func(*Step) float64
}

// restartFigure names the figure that is unknown for steps whose restart failed.
const restartFigure = "restart.last"

// figures lists all figures; each is of the whole fleet. docs/CAPACITY.md cites them by name.
var figures = []figure{
	{"join.sessions", "s", func(s *Step) float64 { return s.SessionS }},
	{"join.first", "s", func(s *Step) float64 { return s.FirstDrainSetS }},
	{"join.reported", "s", func(s *Step) float64 { return s.ReportedS }},
	{"join.leader.cpu", "CPU s", func(s *Step) float64 { return s.JoinLeaderCPUS }},
	{"join.voter.cpu", "CPU s", func(s *Step) float64 { return s.JoinVoterCPUS }},
	{"join.routers.in", "bytes", func(s *Step) float64 { return s.fleetTotal(s.JoinRouterIn) }},
	{"join.routers.out", "bytes", func(s *Step) float64 { return s.fleetTotal(s.JoinRouterOut) }},
	{"rest.leader.cores", "cores", func(s *Step) float64 { return s.Leader().Cores }},
	{"rest.leader.memory", "MB", func(s *Step) float64 { return s.Leader().ResidentMB }},
	{"rest.leader.descriptors", "descriptors", func(s *Step) float64 { return float64(s.Leader().Descriptors) }},
	{"rest.leader.read", "bytes/s", func(s *Step) float64 { return s.Leader().ReadPerS }},
	{"rest.voter.cores", "cores", func(s *Step) float64 { return s.MaxOtherVoter().Cores }},
	{"rest.voter.memory", "MB", func(s *Step) float64 { return s.MaxOtherVoter().ResidentMB }},
	{"rest.voter.descriptors", "descriptors", func(s *Step) float64 { return float64(s.MaxOtherVoter().Descriptors) }},
	{"rest.voter.read", "bytes/s", func(s *Step) float64 { return s.MaxOtherVoter().ReadPerS }},
	{"rest.entries", "entries/s", func(s *Step) float64 { return s.EntriesPerS }},
	{"rest.routers.in", "bytes/s", func(s *Step) float64 { return s.fleetTotal(s.RouterInPerS) }},
	{"rest.routers.out", "bytes/s", func(s *Step) float64 { return s.fleetTotal(s.RouterOutPerS) }},
	{"rest.routers.connections", "connections", func(s *Step) float64 { return s.fleetTotal(s.Connections) }},
	{"rest.report", "bytes", func(s *Step) float64 { return s.ReportBytes }},
	{"rest.hollow.cores", "cores", func(s *Step) float64 { return s.HollowCores }},
	{"rest.hollow.memory", "MB", func(s *Step) float64 { return s.HollowMB }},
	{"drain.p50", "ms", func(s *Step) float64 { return s.DrainP50MS }},
	{"drain.p99", "ms", func(s *Step) float64 { return s.DrainP99MS }},
	{"drain.last", "ms", func(s *Step) float64 { return s.DrainLastMS }},
	{"drain.acknowledged", "ms", func(s *Step) float64 { return s.DrainAckedMS }},
	{"drain.leader.cpu", "CPU s", func(s *Step) float64 { return s.DrainLeaderCPU }},
	{restartFigure, "s", func(s *Step) float64 { return s.RestartS }},
	{"drain.routers.in", "bytes", func(s *Step) float64 { return s.fleetTotal(s.DrainRouterIn) }},
}

// fleetTotal converts a figure per router to one of the whole fleet.
func (s *Step) fleetTotal(one float64) float64 { return one * float64(s.Routers) }

// Fit sets the slopes of the run from its finished steps. It returns an error for each figure that has
// too few points.
func (r *Run) Fit() error {
	r.Slopes = nil
	var errs []error
	for _, f := range figures {
		var points []scalingfit.Point
		for i := range r.Steps {
			if s := &r.Steps[i]; s.Failed == "" && (s.RestartFailed == "" || f.name != restartFigure) {
				points = append(points, scalingfit.Point{Size: float64(s.Routers), Value: f.value(s)})
			}
		}
		line, err := scalingfit.Fit(f.name, f.unit, "router", fmt.Sprintf("hollow, %s UTC", r.At), points)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		r.Slopes = append(r.Slopes, line)
	}
	return errors.Join(errs...)
}
