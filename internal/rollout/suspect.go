package rollout

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Bounds of what routers find out for one another.
const (
	LeastQuorum = 2 // one router is never believed
	MostQuorum  = 16

	evidenceAge  = 10 * time.Second // what a router found out counts for so long
	firstHold    = 3 * time.Second  // a server is left out by all for so long at first, twice as long each further time
	mostHold     = 30 * time.Second
	holdForgets  = 2 * mostHold // after so long without a suspicion the next one is a first one
	credibleOne  = 4            // a router that finds more than one of so many servers bad, and more than one, has a fault of its own
	suspectsOne  = 5            // at most one of so many servers, and one, is left out by the word of others
	maxSuspectBy = 8            // routers that are named
)

// Suspicion has all routers leave a server out, as a quorum of them found it bad. It ends by its time, whatever becomes of it.
type Suspicion struct {
	Until time.Duration `json:"until"`
	Times int           `json:"times"` // in a row
	By    []string      `json:"by"`
	Run   string        `json:"run"` // the server's, when it began: one that is started anew is not suspected
	Over  bool          `json:"over,omitempty"`
}

// Suspect is one for a router.
type Suspect struct {
	Name string        `json:"name"`
	Left time.Duration `json:"left"` // by the agreed clock; the router ends it by its own
}

// Suspects are the servers that are left out as others found them bad, by name.
func (s *State) Suspects(clock time.Duration) (all []Suspect) {
	for name, t := range s.Servers { // few of thousands are suspected: only these are sorted
		if x := t.Suspect; x != nil && !x.Over && x.Until > clock {
			all = append(all, Suspect{name, x.Until - clock})
		}
	}
	slices.SortFunc(all, func(a, b Suspect) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// found books whether a router finds a server bad by itself.
func (t *Thing) found(router string, is Sight, clock time.Duration) {
	if is != Bad {
		delete(t.Found, router)
		return
	}
	if _, known := t.Found[router]; !known {
		if t.Found == nil {
			t.Found = map[string]time.Duration{}
		}
		t.Found[router] = clock
	}
}

// credible tells which routers' evidence counts: one that finds many servers bad is cut off or broken itself.
func (s *State) credible() map[string]bool {
	ok := map[string]bool{}
	for r, n := range s.sees {
		ok[r] = n.bad <= max(1, n.all/credibleOne) || failpoint.Is("liar-believed")
	}
	return ok
}

// suspect weighs what routers found. It is a function of the state and the clock.
func (s *State) suspect(clock time.Duration) {
	held := 0
	for _, t := range s.Servers {
		x := t.Suspect
		if x == nil || x.Over {
			continue
		}
		if (x.Until <= clock && !failpoint.Is("suspicion-forever")) || t.Run != x.Run || s.Quorum == 0 {
			x.Over, x.Until = true, min(x.Until, clock)
			s.Version++
			s.Drains++
			continue
		}
		held++
		s.forget = min(s.forget, x.Until)
	}
	if s.Quorum == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(s.Servers))
	quorum, most := s.Quorum, max(1, len(names)/suspectsOne)
	if failpoint.Is("quorum-of-one") {
		quorum = 1
	}
	credible := s.credible()
	for _, name := range names {
		t := s.Servers[name]
		if t.Suspect != nil && !t.Suspect.Over || held >= most && !failpoint.Is("suspects-unbounded") {
			continue
		}
		since := clock - evidenceAge + 1
		if t.Suspect != nil { // what was found before it was over has had its effect
			since = max(since, t.Suspect.Until)
		}
		var by []string
		for r, at := range t.Found {
			if credible[r] && at >= since {
				by = append(by, r)
			}
		}
		if len(by) < quorum {
			continue
		}
		slices.Sort(by)
		x := &Suspicion{Times: 1, By: by[:min(len(by), maxSuspectBy)], Run: t.Run}
		if t.Suspect != nil && clock-t.Suspect.Until < holdForgets {
			x.Times = t.Suspect.Times + 1
		}
		x.Until = clock + min(mostHold, firstHold<<min(x.Times-1, 10))
		t.Suspect = x
		held++
		s.forget = min(s.forget, x.Until)
		s.Version++
		s.Drains++
	}
}
