package simulation

import (
	"reflect"
	"testing"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/lab/model"
)

// fleet is a day of the given size. Each router has the same traffic, each server the same load, whatever the size.
func fleet(routers, servers int) Params {
	server := model.Params{Cores: 4, Speed: 1, Queue: 80, Memory: 400, MissWork: 5, ColdFrom: 0.4, ColdMS: 6000, ReportEveryMS: 200,
		ReportDelayMS: 50, ReportNoise: 0.1, FallMultiple: 3, FallForMS: 2000, Thrash: 0.05, ThrashAt: 4}
	slow := server
	slow.Speed = 0.5
	origin := model.Params{Cores: servers, Speed: 1, Queue: 100 * servers, Origin: true}
	return Params{
		Config: decide.Config{Routers: routers, Classes: []decide.Class{{Name: "read", LatencyObjectiveMillis: 600, DeadlineMillis: 1200, PriorityWeight: 1}},
			LoadByHealthCheck: true, HealthChecksAllowed: true, CancelAllowed: true, SendRetryAfter: true, MaxRetryAfterMillis: 1500, MaxAttempts: 3, IdleTimeoutMillis: 10000,
			PollWithinMillis: 10000, SlowStartMillis: 8000, SlowStartInitialShare: 0.4, OverloadFactor: 3, OverloadMillis: 2000},
		Servers: servers, Kinds: []model.Params{server, slow}, Origin: origin,
		List: model.DirectoryParams{LateMS: [2]float64{500, 2000}, CallsPerS: 40, TimeoutMS: 2000},
		Rate: 16 * float64(servers), Length: 12000, Keys: 100 * servers, Zipf: 1.1, Work: 60, Net: 5, Seed: 7}
}

func every(nth, of int) (all []int) {
	for i := 0; i < of; i += nth {
		all = append(all, i)
	}
	return all
}

func play(t *testing.T, p Params) Sums {
	t.Helper()
	s, err := Play(p)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d routers, %d servers: %+v", p.Config.Routers, p.Servers, s)
	if ended := s.Served + s.Failed; ended != s.Asked {
		t.Errorf("%d requests ended of %d", ended, s.Asked)
	}
	return s
}

// The same seed is the same day.
func TestOneSeedIsOneDay(t *testing.T) {
	p := fleet(8, 6)
	p.Length = 3000
	p.Faults = []Fault{{At: 1000, Servers: []int{0}}, {At: 2000, Servers: []int{0}, Kind: Start}}
	if a, b := play(t, p), play(t, p); !reflect.DeepEqual(a, b) {
		t.Errorf("two plays differ:\n%+v\n%+v", a, b)
	}
}

// A calm fleet serves as well with many routers as with few.
func TestManyRoutersServeACalmDay(t *testing.T) {
	for _, routers := range []int{1, 4, 80} {
		p := fleet(routers, 30)
		p.Warm = true
		if s := play(t, p); Share(s.InTime, s.Asked) < 0.9 {
			t.Errorf("%d routers: %.2f served in time", routers, Share(s.InTime, s.Asked))
		}
	}
}

// A third of the servers dies and comes back cold. Each router finds each dead server by few requests, and all of them
// together push none over.
func TestManyRoutersLoseAZoneAndGetItBack(t *testing.T) {
	for _, routers := range []int{4, 80} {
		p := fleet(routers, 30)
		dead := every(3, 30)
		p.Faults = []Fault{{At: 3000, Servers: dead}, {At: 7000, Servers: dead, Kind: Start}}
		s := play(t, p)
		if s.Fallen > 0 {
			t.Errorf("%d routers: %d cold servers were pushed over", routers, s.Fallen)
		}
		// One connection finds a dead server, but not every router meets each in the seconds until the list says so; then
		// come trials with growing pauses. Two for each router and server, as it was, are 863 for eighty routers.
		if float64(s.Refusals) > float64(len(dead))*(0.8*float64(routers)+8) {
			t.Errorf("%d routers: dead servers refused %d connections", routers, s.Refusals)
		}
		if Share(s.InTime, s.Asked) < 0.6 {
			t.Errorf("%d routers: %.2f served in time", routers, Share(s.InTime, s.Asked))
		}
	}
}

// Servers of half the speed get about half of the work.
func TestHomesFollowCapacityOverTheFleet(t *testing.T) {
	p := fleet(20, 30) // each sees some twenty requests a second
	s := play(t, p)
	var fast, slow int
	for i, v := range s.Servers {
		n := v.Attempts
		if i%2 == 0 {
			fast += n
		} else {
			slow += n
		}
	}
	if r := Share(fast, slow); r < 1.25 || r > 3 {
		t.Errorf("servers of twice the speed got %.2f times the attempts", r)
	}
}

func TestADayNeedsItsParameters(t *testing.T) {
	if _, err := Play(Params{}); err == nil {
		t.Error("a day without parameters is played")
	}
}

// What the figures are made of adds up, for every kind of day, and the same day gives the same digits twice.
func TestASmallTwinOfEachDay(t *testing.T) {
	for _, kind := range Days {
		p, err := Twin(kind, 24, 12, 5)
		if err != nil {
			t.Fatal(err)
		}
		p.Length = 15000
		s := play(t, p)
		if again := play(t, p); !reflect.DeepEqual(s, again) {
			t.Errorf("%s: two plays differ", kind)
		}
		var asked, in, dials, misses int
		for _, x := range s.Seconds {
			asked, in, dials, misses = asked+x.Asked, in+x.InTime, dials+x.Dials, misses+x.Misses
		}
		if asked != s.Asked || in != s.InTime || dials > s.Dials || misses > s.Misses || s.Asks != s.Asked+s.Repeats {
			t.Errorf("%s: seconds don't add up to the day", kind)
		}
		if s.Fallen > 0 {
			t.Errorf("%s: %d cold servers were pushed over", kind, s.Fallen)
		}
		told := 0
		for story, n := range s.Lost {
			if told += n; story == "" {
				t.Errorf("%s: %d requests were lost without a story", kind, n)
			}
		}
		if told != s.Asked-s.InTime {
			t.Errorf("%s: stories of %d of the %d not in time", kind, told, s.Asked-s.InTime)
		}
		if s.Service() < 0.5 || s.Price.Dial <= 0 || s.Price.Probe <= 0 {
			t.Errorf("%s: service %.2f, G %.2f", kind, s.Service(), s.G())
		}
	}
}

// A dead machine's connections are of no use to its successor, a silent one lets none come up, and a connection is kept.
func TestConnectionsAreCountedOnce(t *testing.T) {
	p := fleet(1, 2)
	p.Conn, p.Rate, p.Length, p.Config.HealthChecksAllowed = Conn{RTTs: 1, Timeout: 250}, 20, 4000, false
	calm := play(t, p)
	if calm.Dials == 0 || calm.Dials > calm.Attempts/2 {
		t.Errorf("calm: %d connections for %d attempts", calm.Dials, calm.Attempts)
	}
	p.Faults = []Fault{{At: 1000, Servers: []int{0, 1}, Kind: Silent}, {At: 3000, Servers: []int{0, 1}, Kind: Heard}}
	if s := play(t, p); s.Refusals == 0 {
		t.Error("silent servers let connections come up")
	}
}

func TestTwinsAreChecked(t *testing.T) {
	for _, bad := range []func(*Params){
		func(p *Params) { p.Faults = []Fault{{Servers: []int{p.Servers}}} },
		func(p *Params) { p.Faults = []Fault{{Routers: []int{-1}}} },
		func(p *Params) { p.Faults = []Fault{{Routers: []int{0}, Kind: Slow, Factor: 1}} },
		func(p *Params) { p.Faults = []Fault{{Servers: []int{0}, Kind: Slow}} },
		func(p *Params) { p.Config.Classes = p.Config.Classes[:2] },
	} {
		p, err := Twin("calm", 4, 4, 1)
		if err != nil {
			t.Fatal(err)
		}
		bad(&p)
		if _, err := Play(p); err == nil {
			t.Errorf("played: %+v", p.Faults)
		}
	}
	if _, err := Twin("noon", 4, 4, 1); err == nil {
		t.Error("a day that there is not is drawn")
	}
	if _, err := Twin("calm", 0, 4, 1); err == nil {
		t.Error("a day without routers is drawn")
	}
}
