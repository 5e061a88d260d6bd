package decide

import (
	"cmp"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
)

// rebuiltHolders returns the servers of all buckets as worked out from all listed cache servers.
func rebuiltHolders(caches []*server) []*server {
	holders := make([]*server, 1<<hashTableBits)
	for _, s := range caches {
		for claim := range bucketClaims {
			bucket := claimedBucket(s.ID, claim)
			holder := holders[bucket]
			if holder == nil || claimRank(bucket, s.ID) < claimRank(bucket, holder.ID) {
				holders[bucket] = s
			}
		}
	}
	return holders
}

// expectConsistent compares what the membership keeps up to date with what its servers show.
func expectConsistent(t *testing.T, b *Balancer) {
	t.Helper()
	m := &b.membership
	var caches, origins []*server
	var shares []float64
	var counts serverCounts
	for _, s := range m.servers {
		counts.listed += countOf(s.isListed)
		counts.avoided += countOf(s.isAvoided())
		switch {
		case !s.isListed:
			if s.attempts.inFlight == 0 && !s.isNotedUnused {
				t.Fatalf("server %d is neither listed nor in use", s.ID)
			}
		case b.cfg.CacheAside && s.Kind == b.cfg.OriginKind:
			origins = append(origins, s)
		default:
			caches = append(caches, s)
			shares = append(shares, s.health.failureShare)
			counts.ejectedCaches += countOf(s.health.isEjected)
		}
	}
	byID := func(p, q *server) int { return cmp.Compare(p.ID, q.ID) }
	slices.SortFunc(caches, byID)
	slices.SortFunc(origins, byID)
	slices.Sort(shares)
	if !slices.Equal(caches, m.caches) || !slices.Equal(origins, m.origins) {
		t.Fatalf("%d cache servers and %d origins, want %d and %d",
			len(m.caches), len(m.origins), len(caches), len(origins))
	}
	if (m.origin == nil) != (len(origins) == 0) || m.origin != nil && m.origin != origins[0] {
		t.Fatal("the origin is not the listed one with the lowest id")
	}
	if counts != m.counts || !slices.Equal(shares, m.failureShares) {
		t.Fatalf("counts %+v, want %+v; failure shares differ: %v",
			m.counts, counts, !slices.Equal(shares, m.failureShares))
	}
	if !slices.Equal(rebuiltHolders(caches), m.table.holders) {
		t.Fatal("the hash table is not that of the listed servers")
	}
}

// randomEndpoints returns entries for some of the servers 1 to pool, in any state.
func randomEndpoints(rng *rand.Rand, pool, count int, now float64) (entries []Endpoint) {
	for range count {
		e := Endpoint{ID: uint32(1+rng.IntN(pool)) * 2654435761, Size: 1, Zone: "a", Kind: "box",
			State: []State{Ready, Ready, Draining, Removed}[rng.IntN(4)]}
		if rng.IntN(50) == 0 {
			e.Kind = "origin"
		}
		if rng.IntN(3) == 0 {
			e.StartedAt = now
		}
		entries = append(entries, e)
	}
	return entries
}

// Guards against a hash table, counts or a median that drift from the list as it changes.
func TestMembershipKeptUpToDateEqualsTheOneRebuilt(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 1))
		pool := []int{4, 40, 400}[seed%3]
		cfg := cacheAsideConfig()
		b, h := newTestBalancer(t, cfg, readyEndpoints(3))
		now := 100000.0
		for step := range 2000 {
			now += 10
			switch rng.IntN(10) {
			case 0:
				b.UpdateEndpoints(now, AllEndpoints, randomEndpoints(rng, pool, pool, now))
			case 1:
				b.Disable(now, uint32(1+rng.IntN(pool))*2654435761)
			case 2:
				b.Enable(now, uint32(1+rng.IntN(pool))*2654435761)
			case 3, 4:
				sendRequest(b, now, uint32(step+1), "read", uint64(rng.IntN(1000)))
			case 5, 6:
				if len(h.sends) > 0 {
					at := rng.IntN(len(h.sends))
					sent := h.sends[at]
					h.sends = slices.Delete(h.sends, at, at+1)
					b.AttemptEnded(now, Outcome{RequestID: sent.id, ServerID: sent.server,
						Status: []AttemptStatus{OK, Failed, Reset, Timeout}[rng.IntN(4)], Load: NoLoadReport})
				}
			default:
				b.UpdateEndpoints(now, ChangedEndpoints, randomEndpoints(rng, pool, 1+rng.IntN(3), now))
			}
			expectConsistent(t, b)
		}
	}
}

// Guards against changes of single servers that rebuild what the whole fleet needs: each one held up
// the requests of a router before thousands of servers.
func TestChangeOfOneServerAllocatesNoTableOfTheFleet(t *testing.T) {
	const changes = 1000
	const maxBytesPerChange = 4 << 10 // the table alone has 64 KB
	endpoints := readyEndpoints(3200)
	b, _ := newTestBalancer(t, testConfig(), endpoints)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range changes {
		e := endpoints[i%len(endpoints)]
		e.State = State(i % 3)
		b.UpdateEndpoints(100000, ChangedEndpoints, []Endpoint{e})
	}
	runtime.ReadMemStats(&after)
	if bytes := (after.TotalAlloc - before.TotalAlloc) / changes; bytes > maxBytesPerChange {
		t.Errorf("a change allocated %d bytes, at most %d are wanted", bytes, maxBytesPerChange)
	}
}

// benchmarkedFleets are the fleets that costs are compared between.
var benchmarkedFleets = map[string]int{"200 servers": 200, "3200 servers": 3200}

func BenchmarkChangeOfOneServer(b *testing.B) {
	for name, servers := range benchmarkedFleets {
		b.Run(name, func(b *testing.B) {
			endpoints := readyEndpoints(servers)
			balancer, _ := newTestBalancer(b, testConfig(), endpoints)
			for i := 0; b.Loop(); i++ {
				e := endpoints[i%servers]
				e.State = State(2 * (i / servers % 2))
				balancer.UpdateEndpoints(100000, ChangedEndpoints, []Endpoint{e})
			}
		})
	}
}

func BenchmarkWholeList(b *testing.B) {
	for name, servers := range benchmarkedFleets {
		b.Run(name, func(b *testing.B) {
			endpoints := readyEndpoints(servers)
			balancer, _ := newTestBalancer(b, testConfig(), endpoints)
			for b.Loop() {
				balancer.UpdateEndpoints(100000, AllEndpoints, endpoints)
			}
		})
	}
}

func BenchmarkFailedAttempt(b *testing.B) {
	for name, servers := range benchmarkedFleets {
		b.Run(name, func(b *testing.B) {
			balancer, _ := newTestBalancer(b, testConfig(), readyEndpoints(servers))
			for i := 0; b.Loop(); i++ {
				s := balancer.membership.caches[i%servers]
				balancer.recordOutcome(s, Failed, balancer.now)
				balancer.recordOutcome(s, OK, balancer.now)
			}
		})
	}
}

func BenchmarkSolveByServers(b *testing.B) {
	for name, servers := range benchmarkedFleets {
		b.Run(name, func(b *testing.B) {
			balancer, _ := newTestBalancer(b, testConfig(), readyEndpoints(servers))
			for i := range 8000 {
				balancer.trafficOf(Request{Key: uint64(i), HasKey: true}).arrivals.add(balancer.now, 5000, 1)
			}
			for b.Loop() {
				balancer.solve()
			}
		})
	}
}

func BenchmarkHousekeeping(b *testing.B) {
	for name, servers := range benchmarkedFleets {
		b.Run(name, func(b *testing.B) {
			balancer, _ := newTestBalancer(b, testConfig(), readyEndpoints(servers))
			for i := 0; b.Loop(); i++ {
				balancer.now += 100
				balancer.visitServers()
				balancer.meanWaitMillis()
			}
		})
	}
}

func BenchmarkHandOver(b *testing.B) {
	for name, servers := range benchmarkedFleets {
		b.Run(name, func(b *testing.B) {
			balancer, _ := newTestBalancer(b, testConfig(), readyEndpoints(servers))
			for i := range 8000 {
				balancer.trafficOf(Request{Key: uint64(i), HasKey: true}).arrivals.add(balancer.now, 5000, 1)
			}
			for b.Loop() {
				balancer.HandOver(100000)
			}
		})
	}
}
