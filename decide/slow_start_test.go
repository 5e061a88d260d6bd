package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// Guards against a cold server that is overloaded by several routers, each of which has enough
// requests to overload it many times. All together must stay below its limit, and still use it.
func TestColdServerIsNotOverloadedByAllRouters(t *testing.T) {
	endpoints := readyEndpoints(3)
	cfg := testConfig()
	endpoints[0].StartedAt = 99500
	total := 0.0
	capacity := 20.0
	for router := range cfg.Routers {
		cfg.RouterIndex = router
		b, h := newTestBalancer(t, cfg, endpoints)
		for _, e := range endpoints {
			b.membership.servers[e.ID].load.capacityPerSecond.update(b.now, capacity, 1)
		}
		for i := range uint32(4000) { // 2 s at 2000 per second, many times its limit
			now := 100010 + float64(i)/2
			sendRequest(b, now, i+1, "read", uint64(i))
			if n := len(h.sends); n > 0 && h.sends[n-1].id == i+1 {
				b.AttemptEnded(now, servedOutcome(i+1, h.lastSend().server, 1))
			}
		}
		for _, s := range h.sends {
			if s.server == endpoints[0].ID {
				total++
			}
		}
	}
	// The share of its capacity at the start of the window.
	share := cfg.SlowStartInitialShare + (1-cfg.SlowStartInitialShare)*500/cfg.SlowStartMillis
	if limit := cfg.OverloadFactor * capacity * share * cfg.OverloadMillis / 1000; total > limit || total < limit/8 {
		t.Errorf("%v requests to a cold server in the window, whose limit is %v", total, limit)
	}
}

// Guards against bursts to a cold server from eighty routers, whose shares of its budget are less
// than a request each: all together must send evenly from the first second, and no more than a few
// routers do.
func TestManyRoutersSendEvenlyToAColdServer(t *testing.T) {
	const seconds, capacity = 4, 50.0
	for _, routers := range []int{4, 80} {
		var sent [seconds]float64
		for index := range routers {
			cfg := testConfig()
			cfg.Routers = routers
			cfg.RouterIndex = index
			b, err := New(cfg, uint64(index)*977+5, newFakeHost())
			if err != nil {
				t.Fatal(err)
			}
			endpoints := readyEndpoints(6)
			b.UpdateEndpoints(100000, RestoredEndpoints, endpoints)
			for _, s := range b.membership.caches {
				s.load.capacityPerSecond.value = capacity
				s.load.reportedPerSecond = 20
			}
			b.updateTypicalCapacities()
			endpoints[0].StartedAt = 100100
			b.UpdateEndpoints(100100, ChangedEndpoints, endpoints[:1])
			s := b.membership.servers[endpoints[0].ID]
			for b.now = 100100; b.now < 100100+1000*seconds; b.now += 10 { // sends as much as the budget allows
				if b.hasSlowStartBudget(s, 1) {
					s.slowStart.budget.requests--
					sent[int(b.now-100100)/1000]++
				}
			}
		}
		limit := testConfig().OverloadFactor * testConfig().SlowStartInitialShare * capacity // per second, at the start
		for second, n := range sent {
			if n < 0.2*limit || n > limit {
				t.Errorf("%d routers: %v requests in second %d, at a limit of %v", routers, n, second, limit)
			}
		}
	}
}

// Guards against an initial share of 1, which means that servers start warm, making them unusable.
func TestServersThatStartWarmAreUsed(t *testing.T) {
	cfg := testConfig()
	cfg.SlowStartMillis = 1
	cfg.SlowStartInitialShare = 1
	cfg.HealthChecksAllowed = true
	cfg.LoadByHealthCheck = true
	b, h := newTestBalancer(t, cfg, readyEndpoints(6))
	for i := range uint32(200) {
		now := 100000 + 20*float64(i)
		sendRequest(b, now, i+1, "read", uint64(i%20))
		for _, s := range readyEndpoints(6) {
			b.HealthCheckEnded(now, s.ID, OK, loadReport(50+float64(i%3), 0.3))
		}
		if len(h.sends) > 0 && h.lastSend().id == i+1 {
			b.AttemptEnded(now+10, servedOutcome(i+1, h.lastSend().server, 10))
		}
	}
	b.TimerExpired(104100, housekeepingToken)
	if served := len(h.sends); served < 190 {
		t.Errorf("%d of 200 requests were sent", served)
	}
}

// slowStartFleet is a fleet of independent routers with one server that has just started.
type slowStartFleet struct {
	routers []*Balancer
	hosts   []*fakeHost
	nextID  uint32
}

const serverStart = 100100.0 // when the server starts, ms

// newSlowStartFleet returns a fleet whose endpoint lists show the start listedAfter ms after it.
// The warm server can process warmRequests within OverloadMillis without being overloaded.
func newSlowStartFleet(t *testing.T, routers int, seed uint64, warmRequests, listedAfter float64) *slowStartFleet {
	t.Helper()
	f := &slowStartFleet{}
	for index := range routers {
		cfg := testConfig()
		cfg.Routers = routers
		cfg.RouterIndex = index
		cfg.HedgingAllowed = false
		cfg.CancelAllowed = false
		cfg.Classes[0].LatencyObjectiveMillis = 30000 // no wait leads to a rejection
		cfg.Classes[0].DeadlineMillis = 60000
		host := newFakeHost()
		b, err := New(cfg, splitMix64(seed)^uint64(index), host)
		if err != nil {
			t.Fatal(err)
		}
		entries := readyEndpoints(1)
		b.UpdateEndpoints(serverStart-100, RestoredEndpoints, entries)
		s := b.membership.caches[0]
		s.load.capacityPerSecond.value = warmRequests * 1000 / (cfg.OverloadFactor * cfg.OverloadMillis)
		s.load.reportedPerSecond = 1
		s.load.reportedAt = b.now
		b.updateTypicalCapacities()
		b.meanHint = 1 // the mean work of requests is known
		entries[0].StartedAt = serverStart
		b.UpdateEndpoints(serverStart+listedAfter, ChangedEndpoints, entries)
		f.routers = append(f.routers, b)
		f.hosts = append(f.hosts, host)
	}
	return f
}

// request sends a request to a router and reports whether it went to the server, which answers at
// once.
func (f *slowStartFleet) request(router int, now, hint float64) bool {
	b := f.routers[router]
	host := f.hosts[router]
	f.nextID++
	sendsBefore := len(host.sends)
	b.Request(now, Request{ID: f.nextID, Class: "read", Key: 5, HasKey: true, RemainingMillis: 60000, WorkHint: hint})
	sent := len(host.sends) > sendsBefore
	if sent {
		b.AttemptEnded(now, servedOutcome(f.nextID, b.membership.caches[0].ID, 1))
	}
	host.sends = host.sends[:0]
	host.timers = nil
	return sent
}

// worstWindow makes every router send as much as it may, starting from ms after the server's start.
// It returns the window of OverloadMillis that came nearest to its bound: the work sent, the limit
// N and the bound N + 2 sqrt(N) + 2, and also the total work sent. With hints, the work of requests
// varies around a mean of 1.
func (f *slowStartFleet) worstWindow(rng *rand.Rand, warmRequests, from, step float64, hints bool) (
	sent, allowed, bound, total float64,
) {
	type arrival struct{ at, work float64 }
	var window []arrival
	cfg := f.routers[0].cfg
	bound = 1.0
	end := min(serverStart+from+2*cfg.OverloadMillis, serverStart+cfg.SlowStartMillis)
	for now := serverStart + from; now < end; now += step {
		for _, router := range rng.Perm(len(f.routers)) {
			for remaining := warmRequests; remaining > 0; remaining-- {
				work := 1.0
				hint := 0.0
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
		sum := 0.0
		inWindow := window[:0]
		for _, a := range window {
			if a.at > now-cfg.OverloadMillis {
				sum = sum + a.work
				inWindow = append(inWindow, a)
			}
		}
		window = inWindow
		n := warmRequests * f.routers[0].warmShare(f.routers[0].membership.caches[0])
		if limit := n + 2*math.Sqrt(n) + 2; sum/limit > sent/bound {
			sent = sum
			allowed = n
			bound = limit
		}
	}
	return sent, allowed, bound, total
}

// Guards against routers that together overload a cold server. Each sends as much as it may; in any
// window all together may send at most N + 2 sqrt(N) + 2 requests of mean work, for any number of
// routers, any time without requests before, and any work per request. They must send at least a
// fifth of N.
func TestFleetTotalDuringSlowStartIsBounded(t *testing.T) {
	for _, c := range []struct {
		name               string
		listedAfter, quiet float64 // ms from the start until routers see it, and until requests arrive
		hints              bool
	}{
		{"at once", 0, 0, false},
		{"light and heavy requests", 0, 0, true},
		{"listed late", 3000, 3000, false},
		{"after two seconds", 0, 2000, false},
		{"after six seconds", 0, 6000, false},
		{"light and heavy requests after six seconds", 0, 6000, true},
	} {
		for _, routers := range []int{1, 5, 24, 80, 300, 5100} {
			seeds := uint64(3)
			step := 100.0
			sizes := []float64{60, 400}
			if routers > 1000 { // slow to simulate
				seeds = 1
				step = 500
				sizes = sizes[:1]
			}
			for _, warm := range sizes {
				t.Run(fmt.Sprintf("%s, %d routers, warm %v", c.name, routers, warm), func(t *testing.T) {
					for seed := range seeds {
						f := newSlowStartFleet(t, routers, seed, warm, c.listedAfter)
						rng := rand.New(rand.NewPCG(seed, 1))
						sent, allowed, bound, total := f.worstWindow(rng, warm, c.quiet, step, c.hints)
						t.Logf("seed %d: sent %.1f, N %.1f, bound %.1f", seed, sent, allowed, bound)
						if sent > bound {
							t.Errorf("seed %d: %.1f requests of mean work in a window, N is %.1f, the bound %.1f",
								seed, sent, allowed, bound)
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

// Guards against a slow-start budget that grows many times over once no warm server is left: cold servers
// answer misses at a fraction of a request's work, and so report many times their capacity.
func TestReportsOfColdServersDoNotRaiseTheSlowStartBudget(t *testing.T) {
	const (
		restartAt      = 200000.0 // ms
		warmPerSecond  = 100.0    // capacity
		missesPerOther = 15       // a cold server answers as many misses in the time of another request
	)
	tests := map[string]struct {
		hasWarmServers bool // servers that were warm have reported to the router
		isHandedOver   bool // the router is the successor of the process that got the reports
		restarted      int
		listedAfter    float64 // ms from the restart until the list shows it
	}{
		"warm servers reported and are gone": {hasWarmServers: true, restarted: 2},
		"all restarted":                      {hasWarmServers: true, restarted: 4},
		"the successor of that router":       {hasWarmServers: true, isHandedOver: true, restarted: 2},
		"a router that knows no warm server": {restarted: 4},
		"listed late":                        {hasWarmServers: true, restarted: 4, listedAfter: 1500},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Routers = 1
			endpoints := readyEndpoints(4)
			b, _ := newTestBalancer(t, cfg, endpoints)
			if test.hasWarmServers {
				reportAll(b, 150000, endpoints, warmPerSecond)
			} else {
				servedReads(b, 150000, 40)
			}
			restarted := endpoints[:test.restarted]
			for i := range restarted {
				restarted[i].StartedAt = restartAt
			}
			for now := restartAt; now < restartAt+test.listedAfter; now += 250 {
				reportAll(b, now, restarted, missesPerOther*warmPerSecond)
			}
			listedAt := restartAt + test.listedAfter
			b.UpdateEndpoints(listedAt, AllEndpoints, restarted)
			if test.isHandedOver {
				b = successorOf(t, b, cfg, listedAt+1)
				b.UpdateEndpoints(listedAt+1, AllEndpoints, restarted)
			}
			reportAll(b, listedAt+500, restarted, missesPerOther*warmPerSecond)
			s := b.membership.servers[restarted[0].ID]
			sent := 0
			for end := b.now + cfg.OverloadMillis; b.now < end; b.now += 5 {
				for b.hasSlowStartBudget(s, 1) {
					s.slowStart.budget.requests--
					sent++
				}
			}
			n := cfg.OverloadFactor * warmPerSecond * b.warmShare(s) * cfg.OverloadMillis / 1000
			if limit := n + 2*math.Sqrt(n) + 2; float64(sent) > limit || float64(sent) < n/8 {
				t.Errorf("%d requests in a window, the limit is %.0f", sent, limit)
			}
		})
	}
}

// reportAll has all servers report a capacity, and the placement use it.
func reportAll(b *Balancer, now float64, endpoints []Endpoint, capacityPerSecond float64) {
	const utilization = 0.5
	for i, e := range endpoints {
		at := now + float64(i)
		distinct := math.Mod(at, 1000) / 1000 // a repeated report is ignored
		b.HealthCheckEnded(at, e.ID, OK, loadReport(utilization*capacityPerSecond+distinct, utilization))
	}
	b.solve()
}

// servedReads has a new router learn how long servers take for a read, in ms.
func servedReads(b *Balancer, now, latencyMillis float64) {
	b.now = now
	for range 20 {
		b.serviceTime.add(latencyMillis)
	}
}

// successorOf returns a Balancer that has taken over the state of another.
func successorOf(t *testing.T, from *Balancer, cfg Config, now float64) *Balancer {
	t.Helper()
	b, err := New(cfg, 8, newFakeHost())
	if err != nil {
		t.Fatal(err)
	}
	if err := b.TakeOver(now, from.HandOver(now)); err != nil {
		t.Fatal(err)
	}
	return b
}
