package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"path"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Bounds of a release.
const (
	MaxBins  = 256             // of figures, the newest
	BinEvery = 2 * time.Second // of agreed time
	MinStep  = time.Second
	MinBake  = time.Second
)

// Plan is a release as it was asked for: all routers whose names match are to tell the version To.
type Plan struct {
	Name  string        `json:"name"`
	Match string        `json:"match,omitempty"` // names, as path.Match has it; "" = all
	From  string        `json:"from"`            // the version that they have, and get again by the way back
	To    string        `json:"to"`
	First int           `json:"first"`           // routers of the first wave
	Grow  float64       `json:"grow"`            // each wave has so many times the routers of all before it
	Bake  time.Duration `json:"bake"`            // after a wave, until the next
	Least int64         `json:"least"`           // requests that the new version must have answered in it
	Step  time.Duration `json:"step"`            // a router must be back within this
	Learn time.Duration `json:"learn,omitempty"` // a router that has started is worse than others for so long, whatever its version
}

// Check tells what is wrong with a plan.
func (p *Plan) Check() error {
	for _, f := range []struct{ field, v string }{{"name", p.Name}, {"from", p.From}, {"to", p.To}} {
		if f.v == "" || len(f.v) > MaxName {
			return fmt.Errorf("%s: %q is not of 1 to %d bytes", f.field, f.v, MaxName)
		}
	}
	switch {
	case p.From == p.To:
		return fmt.Errorf("to: %q is from too: there is nothing to do, and no way back", p.To)
	case p.First < 1 || p.First > MaxRouters:
		return fmt.Errorf("first: %d is not from 1 to %d", p.First, MaxRouters)
	case !(p.Grow >= 1 && p.Grow <= 100):
		return fmt.Errorf("grow: %v is not from 1 to 100", p.Grow)
	case p.Bake < MinBake || p.Bake > MaxWait:
		return fmt.Errorf("bake: %v is not from %v to %v", p.Bake, MinBake, MaxWait)
	case p.Step < MinStep || p.Step > MaxWarm:
		return fmt.Errorf("step: %v is not from %v to %v", p.Step, MinStep, MaxWarm)
	case p.Learn < 0 || p.Learn > MaxWarm:
		return fmt.Errorf("learn: %v is not from 0 to %v", p.Learn, MaxWarm)
	case p.Least < 0:
		return fmt.Errorf("least: %d is below 0", p.Least)
	}
	if _, err := path.Match(p.Match, ""); err != nil || len(p.Match) > MaxName {
		return fmt.Errorf("match: %q is no pattern of at most %d bytes", p.Match, MaxName)
	}
	return nil
}

// Waves are the sizes of the waves over n routers, each with those before it.
func (p *Plan) Waves(n int) (sizes []int) {
	for size := min(p.First, n); ; {
		sizes = append(sizes, size)
		if size >= n {
			return sizes
		}
		size = p.after(size, n)
	}
}

func (p *Plan) after(size, n int) int {
	return min(n, max(size+1, size+int(math.Floor(p.Grow*float64(size)))))
}

// Bin is what routers of both versions answered in a while, at the same time. A router's figures count once it is warm and has learnt.
type Bin struct {
	Good [2]int64 `json:"good"` // served: by From, by To
	Bad  [2]int64 `json:"bad"`  // refused or failed
	// Of those served, how many took how long (SpeedBucket); empty where routers don't tell it.
	Speed [2][]int64 `json:"speed,omitzero"`
}

// Progress of a release.
const (
	Running = "running"
	Done    = "done"
	Ended   = "ended" // by an operator, as it stood
)

// Course is a release and how far it is.
type Course struct {
	Plan
	By    string                   `json:"by"`
	Goal  string                   `json:"goal"` // the version that routers are brought to: To, or From on the way back
	State string                   `json:"state"`
	Names []string                 `json:"names"`           // all routers, zone by zone
	Since time.Duration            `json:"since"`           // when the goal became what it is
	Size  int                      `json:"size"`            // of the wave, with all before it
	Baked time.Duration            `json:"baked,omitempty"` // when the wave has baked; 0 = it isn't complete
	Began map[string]time.Duration `json:"began,omitempty"` // steps of routers that are not at the goal
	There map[string]bool          `json:"there,omitempty"` // routers that have reached the goal,
	Fell  int                      `json:"fell,omitempty"`  // and how often one of them was down again, not by plan
	Left  map[string]string        `json:"left,omitempty"`  // those that could not be brought back, and why
	Bins  []Bin                    `json:"bins,omitempty"`
	Open  time.Duration            `json:"open,omitempty"` // when the last bin began
	Seen  int64                    `json:"seen,omitempty"` // requests that the goal's version has answered since the wave was complete
}

// start begins a release.
func (s *State) start(c Command, f From) Answer {
	p := c.Plan
	if p == nil {
		return bad("plan: empty")
	}
	if err := p.Check(); err != nil {
		return bad("release %q: %v", p.Name, err)
	}
	if r := s.Release; r != nil && r.State == Running {
		return bad("release %s is not over (towards %s, by %s): 'release end' ends it as it stands", r.Name, r.Goal, r.By)
	}
	names := s.matching(p.Match)
	if len(names) == 0 {
		return bad("match: %q names no router; %s", p.Match, s.known(Router))
	}
	for _, name := range names {
		if v := s.Routers[name].Version; v != "" && v != p.From && v != p.To {
			return bad("from: router %s has %s, neither %s nor %s: the way back would not be what was before", name, v, p.From, p.To)
		}
		if !slices.ContainsFunc(s.Budgets, func(b Budget) bool { return b.covers(Router, name) }) {
			return bad("no budget covers router/%s: it would never go", name)
		}
	}
	s.Release = &Course{Plan: *p, By: f.Client, Goal: p.To, State: Running, Names: names, Size: min(p.First, len(names)), Since: f.Clock, Open: f.Clock}
	s.Drains++ // routers are told to report figures
	return Answer{Code: OK}
}

// matching are routers by name, zone by zone.
func (s *State) matching(match string) []string {
	names := []string{}
	for name := range s.Routers {
		if ok, _ := path.Match(match, name); ok || match == "" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Routers[a].Zone, s.Routers[b].Zone), cmp.Compare(a, b))
	})
	return names
}

// steer changes a release that is there.
func (s *State) steer(c Command, f From) Answer {
	r := s.Release
	if r == nil || r.State != Running && c.Op != WayBack {
		return bad("no release is under way")
	}
	switch c.Op {
	case WayBack:
		if r.Goal == r.From {
			return bad("release %s is on its way back already", r.Name)
		}
		// All that may have begun goes back: at once as far as the budgets let it, as what it was is known to be good.
		r.Goal, r.State, r.By, r.Size, r.Baked, r.Began, r.Left, r.Seen, r.There, r.Fell = r.From, Running, f.Client, len(r.Names), 0, nil, nil, 0, nil, 0
		r.Since, s.Halted = f.Clock, nil
	case End:
		r.State = Ended
	case Failed:
		if !slices.Contains(r.Names, c.Name) || len(c.Why) > MaxText {
			return bad("router %q is not in release %s, or the reason has over %d bytes", c.Name, r.Name, MaxText)
		}
		s.cannot(c.Name, c.Why, f.Clock)
	}
	s.Drains++ // what routers report may change
	return Answer{Code: OK}
}

// again has a release that was halted go on: what halted it is forgiven, and must come anew to halt it again.
func (s *State) again(clock time.Duration) {
	r := s.Release
	if r == nil || r.State != Running {
		return
	}
	r.Bins, r.Fell = nil, 0
	for name := range r.Began {
		r.Began[name] = clock
	}
	if r.Baked > 0 {
		r.Baked = clock + r.Bake
	}
}

// cannot books that a router can't be brought to the goal: that halts a release, but on the way back the router is named and left.
func (s *State) cannot(name, why string, clock time.Duration) {
	r := s.Release
	switch _, left := r.Left[name]; {
	case r.Goal == r.To && s.Halted == nil:
		s.Halted = &Stop{"release " + r.Name, fmt.Sprintf("router/%s: %s", name, why), clock}
		s.Version++
	case r.Goal == r.From && !left:
		if r.Left == nil {
			r.Left = map[string]string{}
		}
		r.Left[name] = why
		s.Version++
	}
}

// At names the routers of the release that are up with the goal's version, whoever holds their permits.
func (s *State) At() (names []string) {
	if s.Release == nil {
		return nil
	}
	for _, name := range s.Release.Names {
		if s.at(name) {
			names = append(names, name)
		}
	}
	return names
}

// reached tells whether a router of the release is where it shall be.
func (s *State) reached(name string, planned map[string]bool) bool {
	t := s.Routers[name]
	return t != nil && t.Up && t.Version == s.Release.Goal && !planned[key(Router, name)]
}

// course moves a release on, as far as the agreed state and clock say.
func (s *State) course(clock time.Duration) {
	r := s.Release
	if r == nil || r.State != Running {
		return
	}
	planned := s.planned()
	for _, p := range s.Permits {
		if p.Kind == Router && p.Stage == Begun && slices.Contains(r.Names, p.Name) && r.Began[p.Name] == 0 && !s.at(p.Name) && r.Left[p.Name] == "" {
			if r.Began == nil {
				r.Began = map[string]time.Duration{}
			}
			r.Began[p.Name] = max(p.Began, r.Since) // a step may have been begun towards the other goal
		}
	}
	s.fallen(planned, clock)
	complete := true
	for _, name := range r.Names[:r.Size] {
		there := s.reached(name, planned)
		if at, ok := r.Began[name]; ok && !there {
			if at += r.Step; at > clock {
				s.wake(at)
			} else {
				s.cannot(name, fmt.Sprintf("it is not ready with %s within %v of its step's beginning", r.Goal, r.Step), clock)
			}
		}
		if _, left := r.Left[name]; left || there {
			delete(r.Began, name)
		} else {
			complete = false
		}
	}
	switch {
	case !complete:
		r.Baked = 0
	case r.Baked == 0:
		r.Baked, r.Seen = clock+r.Bake, 0
		s.wake(r.Baked)
		s.Version++
	case r.Baked > clock:
		s.wake(r.Baked)
	case s.Halted != nil && !failpoint.Is("halt-ignored"): // it stays where it is
	case r.Size < len(r.Names) && r.Seen < r.Least: // it bakes on until the new version has been seen to work
		if clock >= r.Baked+10*r.Bake {
			s.Halted = &Stop{"release " + r.Name, fmt.Sprintf("%s has answered %d of the %d requests wanted within %v", r.Goal, r.Seen, r.Least, 11*r.Bake), clock}
			s.Version++
		} else {
			s.wake(r.Baked + 10*r.Bake)
		}
	case r.Size == len(r.Names):
		r.State = Done
		s.Drains++
		s.Version++
	default:
		r.Size, r.Baked = r.after(r.Size, len(r.Names)), 0
		s.Version++
		s.course(clock)
	}
}

// fallen halts a release whose new version doesn't stay up: one of the first wave that is down again, or two of them later. Where
// most routers are down, it is the agreement that has lost them.
func (s *State) fallen(planned map[string]bool, clock time.Duration) {
	r := s.Release
	down := 0
	for _, name := range r.Names {
		if t := s.Routers[name]; t == nil || !t.Up {
			down++
		}
	}
	if 2*down > len(r.Names) && len(r.Names) > 1 {
		return
	}
	for _, name := range r.Names {
		t := s.Routers[name]
		switch {
		case s.reached(name, planned):
			if r.There == nil {
				r.There = map[string]bool{}
			}
			r.There[name] = true
		case r.There[name] && (t == nil || !t.Up) && !planned[key(Router, name)]:
			delete(r.There, name)
			if r.Fell++; r.Goal == r.To && s.Halted == nil && (r.Fell > 1 || r.Size <= r.First) {
				s.Halted = &Stop{"release " + r.Name, fmt.Sprintf("router/%s had %s and is down again (%d times by now)", name, r.Goal, r.Fell), clock}
				s.Version++
			}
		}
	}
}

// at tells whether a router has the goal's version and is up, whoever holds its permit.
func (s *State) at(name string) bool {
	t := s.Routers[name]
	return t != nil && t.Up && t.Version == s.Release.Goal
}

// Do names the routers that are to be changed now.
func (s *State) Do() (names []string) {
	r := s.Release
	if r == nil || r.State != Running || s.Halted != nil {
		return nil
	}
	planned := s.planned()
	for _, name := range r.Names[:r.Size] {
		if _, left := r.Left[name]; !left && !s.reached(name, planned) {
			names = append(names, name)
		}
	}
	return names
}

// figures books what a router has answered since its last report.
func (s *State) figures(t *Thing, name string, v *View, clock time.Duration) {
	fresh := t.Good+t.Bad == 0 || t.Good+t.Bad > v.Good+v.Bad
	dg, db, before := v.Good-t.Good, v.Bad-t.Bad, t.Speed
	t.Good, t.Bad, t.Speed = v.Good, v.Bad, v.Speed
	if !fresh {
		s.count(dg, db, clock)
	}
	r := s.Release
	if fresh || r == nil || r.State != Running || dg < 0 || db < 0 || !t.Up || clock < t.Since+max(r.Learn, s.warm(Router, name)) || !slices.Contains(r.Names, name) {
		return
	}
	i := slices.Index([]string{r.From, r.To}, t.Version)
	if i < 0 {
		return
	}
	if len(r.Bins) == 0 || clock >= r.Open+BinEvery {
		if len(r.Bins) >= MaxBins {
			r.Bins = slices.Delete(r.Bins, 0, 1)
		}
		r.Bins, r.Open = append(r.Bins, Bin{}), clock
	}
	b := &r.Bins[len(r.Bins)-1]
	b.Good[i], b.Bad[i] = b.Good[i]+dg, b.Bad[i]+db
	if len(before) == len(v.Speed) {
		for k, n := range v.Speed {
			if b.Speed[i] == nil {
				b.Speed[i] = make([]int64, SpeedBuckets)
			}
			b.Speed[i][k] += max(0, n-before[k])
		}
	}
	if r.Baked > 0 && t.Version == r.Goal {
		r.Seen += dg + db
	}
}

// clone copies a release.
func (r *Course) clone() *Course {
	if r == nil {
		return nil
	}
	c := *r
	c.Names, c.Bins, c.Began, c.Left, c.There = slices.Clone(r.Names), slices.Clone(r.Bins), maps.Clone(r.Began), maps.Clone(r.Left), maps.Clone(r.There)
	for i := range c.Bins {
		c.Bins[i].Speed = [2][]int64{slices.Clone(c.Bins[i].Speed[0]), slices.Clone(c.Bins[i].Speed[1])}
	}
	return &c
}
