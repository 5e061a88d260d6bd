package simulation

import (
	"slices"
	"testing"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/lab/model"
)

// Servers restart together or one after the other, with late notification and under a burst. Whatever the
// number of routers, those that know of a start don't send a server in slow start more than its bound.
// Slow faults are left out: routers can't know the capacity of a server that is three times slower than its
// kind.
func TestInformedRoutersKeepSlowStartBound(t *testing.T) {
	for _, day := range []string{"roll", "throng", "zone"} {
		for _, routers := range []int{5, 24, 80} {
			for seed := range uint64(2) {
				p, err := GenerateDay(day, routers, 24, 41+seed)
				if err != nil {
					t.Fatal(err)
				}
				p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool { return f.Kind == Slow })
				s, err := Play(p)
				if err != nil {
					t.Fatal(err)
				}
				cold := s.Cold
				t.Logf("%s, %d routers, seed %d: %+v", day, routers, p.Seed, cold)
				if cold.Starts == 0 || cold.Fullest.Sent == 0 {
					t.Errorf("%s, %d routers, seed %d: no start or no arrival was recorded", day, routers, p.Seed)
				}
				if cold.OverBoundByInformed > 0 {
					t.Errorf("%s, %d routers, seed %d: informed routers exceeded the bound in %d of %d starts",
						day, routers, p.Seed, cold.OverBoundByInformed, cold.Starts)
				}
			}
		}
	}
}

// recordCold counts the work of one window, drops older work, and separates the work from routers that
// knew of the start.
func TestSlowStartWindowSeparatesInformedRouters(t *testing.T) {
	const window, start, work = 2000.0, 1e6, 50.0
	for _, c := range []struct {
		name                 string
		informed, uninformed int // requests of twice the mean work
		over, broken         int
	}{{"within the bound", 7, 0, 0, 0}, {"by routers that knew", 10, 2, 1, 1}, {"by routers that did not", 8, 4, 1, 0}} {
		t.Run(c.name, func(t *testing.T) {
			d := &day{engine: engine{now: start}, coldWindows: map[*machine]*coldWindow{},
				params: Params{Work: work, Config: decide.Config{OverloadFactor: 2, OverloadMillis: window}}}
			params := model.Params{Cores: 1, Speed: 0.25, ColdFrom: 0.4, ColdMS: 1e12} // N is 8, the bound 15.7
			v := &machine{id: 7, isUp: true, params: params, serverModel: model.New(params, 1, start-1), startedAt: start}
			v.serverModel.Restart(start)
			informedRouter, uninformedRouter := &router{knownStarts: map[uint32]float64{7: start}},
				&router{knownStarts: map[uint32]float64{}}
			send := func(from *router, n int) {
				for range n {
					d.recordCold(v, from, 2*work)
				}
			}
			send(informedRouter, 3)
			d.now = start + window // drops these arrivals
			send(uninformedRouter, c.uninformed)
			send(informedRouter, c.informed-c.informed/2)
			d.now += window / 2
			send(informedRouter, c.informed/2)
			most := d.sums.Cold.Fullest
			if want := 2 * float64(c.informed+c.uninformed); most.Sent != want || most.SentByInformed != 2*float64(c.informed) ||
				most.Allowed < 7.9 || most.Allowed > 8.1 {
				t.Errorf("the fullest window: %+v, want %v sent", most, want)
			}
			if cold := d.sums.Cold; cold.OverBound != c.over || cold.OverBoundByInformed != c.broken {
				t.Errorf("%d windows over the bound, %d by informed routers", cold.OverBound, cold.OverBoundByInformed)
			}
		})
	}
}
