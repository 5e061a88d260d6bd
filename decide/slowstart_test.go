package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// slowStartFleet is a fleet of routers that share nothing before one server that has just started.
type slowStartFleet struct {
	routers []*Balancer
	hosts   []*fakeHost
	nextID  uint32
}

const serverStart = 100100.0 // when the server starts, ms

// newSlowStartFleet tells all routers of the start some time after it. Warm, the server bears warmRequests in the time in
// which a cold one falls.
func newSlowStartFleet(t *testing.T, routers int, seed uint64, warmRequests, toldAfter float64) *slowStartFleet {
	t.Helper()
	f := &slowStartFleet{}
	for me := range routers {
		cfg := testConfig()
		cfg.Routers, cfg.RouterIndex, cfg.HedgingAllowed, cfg.CancelAllowed = routers, me, false, false
		cfg.Classes[0].LatencyObjectiveMillis, cfg.Classes[0].DeadlineMillis = 30000, 60000 // no wait keeps a request from the server
		host := newHost()
		b, err := New(cfg, splitMix64(seed)^uint64(me), host)
		if err != nil {
			t.Fatal(err)
		}
		entries := fleet(1)
		b.UpdateEndpoints(serverStart-100, RestoredEndpoints, entries)
		s := b.membership.caches[0]
		s.load.capacityPerSecond.value, s.load.reportedPerSecond, s.load.reportedAt = warmRequests*1000/(cfg.OverloadFactor*cfg.OverloadMillis), 1, b.now
		b.surveyCapacities()
		b.meanHint = 1 // the mean work of requests is known
		entries[0].StartedAt = serverStart
		b.UpdateEndpoints(serverStart+toldAfter, ChangedEndpoints, entries)
		f.routers, f.hosts = append(f.routers, b), append(f.hosts, host)
	}
	return f
}

// request has a client ask a router, and says whether the request went to the server, which answers at once.
func (f *slowStartFleet) request(router int, now, hint float64) bool {
	b, host := f.routers[router], f.hosts[router]
	f.nextID++
	was := len(host.sends)
	b.Request(now, Request{ID: f.nextID, Class: "read", Key: 5, HasKey: true, RemainingMillis: 60000, WorkHint: hint})
	sent := len(host.sends) > was
	if sent {
		b.AttemptEnded(now, Outcome{RequestID: f.nextID, ServerID: b.membership.caches[0].ID, Status: OK, LatencyMillis: 1, IsFinal: true, Load: NoLoadReport})
	}
	host.sends, host.timers = host.sends[:0], nil
	return sent
}

// worstWindow has every router send whatever it may, from a time after the start on, and returns the window of FallFor
// that came nearest to its bound: what was sent, N, and the bound N + 2 sqrt(N) + 2. With hints, the work of requests is
// told and varies around a mean of 1.
func (f *slowStartFleet) worstWindow(rng *rand.Rand, warmRequests, from, step float64, hints bool) (sent, allowed, bound, total float64) {
	type arrival struct{ at, work float64 }
	var window []arrival
	cfg, bound := f.routers[0].cfg, 1.0
	for now := serverStart + from; now < min(serverStart+from+2*cfg.OverloadMillis, serverStart+cfg.SlowStartMillis); now += step {
		for _, router := range rng.Perm(len(f.routers)) {
			for most := warmRequests; most > 0; most-- {
				work, hint := 1.0, 0.0
				if hints {
					work = 0.5 + rng.Float64()
					hint = work
				}
				if !f.request(router, now, hint) {
					break
				}
				window = append(window, arrival{now, work})
				total += work
			}
		}
		sum, kept := 0.0, window[:0]
		for _, a := range window {
			if a.at > now-cfg.OverloadMillis {
				sum, kept = sum+a.work, append(kept, a)
			}
		}
		window = kept
		n := warmRequests * f.routers[0].warmShare(f.routers[0].membership.caches[0])
		if most := n + 2*math.Sqrt(n) + 2; sum/most > sent/bound {
			sent, allowed, bound = sum, n, most
		}
	}
	return sent, allowed, bound, total
}

// All routers that were told of a start send the server together no more than N + 2 sqrt(N) + 2 requests of mean work in
// any window, whatever their number, however long clients stayed away before, and however light the requests are. Where
// each part was filled up to one request, 80 routers and more sent over the bound after six quiet seconds, and where a
// light request needed half of one, 300 did right after the start.
func TestTheFleetsSumInSlowStartIsBounded(t *testing.T) {
	for _, c := range []struct {
		name        string
		told, quiet float64 // ms from the start until routers are told of it, and until clients come
		hints       bool
	}{
		{"at once", 0, 0, false},
		{"light and heavy requests", 0, 0, true},
		{"told late", 3000, 3000, false},
		{"after two seconds", 0, 2000, false},
		{"after six seconds", 0, 6000, false},
		{"light and heavy requests after six seconds", 0, 6000, true},
	} {
		for _, routers := range []int{1, 5, 24, 80, 300, 5100} {
			seeds, step, sizes := uint64(3), 100.0, []float64{60, 400}
			if routers > 1000 { // takes long
				seeds, step, sizes = 1, 500, sizes[:1]
			}
			for _, warm := range sizes {
				t.Run(fmt.Sprintf("%s, %d routers, warm %v", c.name, routers, warm), func(t *testing.T) {
					for seed := range seeds {
						f := newSlowStartFleet(t, routers, seed, warm, c.told)
						sent, allowed, bound, total := f.worstWindow(rand.New(rand.NewPCG(seed, 1)), warm, c.quiet, step, c.hints)
						t.Logf("seed %d: sent %.1f, N %.1f, bound %.1f", seed, sent, allowed, bound)
						if sent > bound {
							t.Errorf("seed %d: %.1f requests of mean work in a window, N is %.1f, the bound %.1f", seed, sent, allowed, bound)
						}
						if least := 0.2 * allowed; total < least {
							t.Errorf("seed %d: only %.1f sent, N is %.1f", seed, total, allowed)
						}
					}
				})
			}
		}
	}
}
