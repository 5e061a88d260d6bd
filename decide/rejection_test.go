package decide

import (
	"testing"
)

// Guards against an overloaded fleet that rejects late or without regard to priority: if all
// servers have a queue of 100 ms, a request of low priority is rejected at once and one of high
// priority is sent.
func TestLowestPriorityIsRejectedFirst(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	for _, s := range b.membership.caches {
		overload(b, s)
		s.attempts.inFlight = 1 // a wait of 100 ms
	}
	sendRequest(b, 100001, 1, "read", 5)
	sendRequest(b, 100001, 2, "important", 6)
	if h.rejected[1] != 1 || h.rejected[2] != 0 || len(h.sends) != 1 {
		t.Errorf("rejected %v, sends %v: want the first rejected and the important one sent", h.rejected,
			h.sends)
	}
}

// Guards against overloaded servers that answer late although their queues look short: after many
// late answers a router must tolerate shorter queues. Fast answers leave the tolerated wait at its
// maximum.
func TestLateAnswersLowerTheToleratedWait(t *testing.T) {
	for _, c := range []struct {
		latencyMillis      float64
		minShare, maxShare float64
	}{{20, 0.24, 0.25}, {400, 0, 0.16}} {
		b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
		for i := range uint32(300) {
			now := 100001 + 500*float64(i)
			if sendRequest(b, now, i+1, "read", uint64(i)); len(h.sends) == 0 || h.lastSend().id != i+1 {
				continue // rejected
			}
			o := withCacheResult(CacheHit, servedOutcome(i+1, h.lastSend().server, c.latencyMillis))
			b.AttemptEnded(now+c.latencyMillis, o)
		}
		if b.toleratedWaitShare < c.minShare || b.toleratedWaitShare > c.maxShare {
			t.Errorf("answers after %v ms: tolerated wait share %v, want %v to %v", c.latencyMillis,
				b.toleratedWaitShare, c.minShare, c.maxShare)
		}
	}
}

// Guards against requests that get no answer because no server can be used: none is listed, all are
// draining, or there is only the origin. Each request, even of an unknown class, must get one final
// answer at once.
func TestRequestWithoutCandidatesIsAnswered(t *testing.T) {
	draining := readyEndpoints(2)
	draining[0].State = Draining
	draining[1].State = Draining
	cfg := testConfig()
	cacheAside := cfg
	cacheAside.CacheAside = true
	cacheAside.OriginKind = "origin"
	for name, c := range map[string]struct {
		cfg       Config
		endpoints []Endpoint
	}{
		"empty":       {cfg, nil},
		"draining":    {cfg, draining},
		"origin only": {cacheAside, []Endpoint{{ID: 9, Kind: "origin"}}},
	} {
		for _, class := range []string{"read", "once", "unknown"} {
			b, h := newTestBalancer(t, c.cfg, c.endpoints)
			sendRequest(b, 100010, 1, class, 5)
			if h.finalAnswers(1) != 1 || len(h.sends) != 0 {
				t.Errorf("%s, %s: %d answers, sends %v", name, class, h.finalAnswers(1), h.sends)
			}
		}
	}
}

// Guards against rejections that never end because an overload has raised the floor latency of
// servers that are idle now: without requests, no answer would correct it. It must decay within
// twelve seconds.
func TestObservedFloorLatencyDecays(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	for _, s := range b.membership.caches {
		s.load.capacityPerSecond.update(b.now, 100, 1)
		s.load.latencyPerWork.update(b.now, 250, 1)
	}
	sendRequest(b, 100001, 1, "read", 5)
	sendRequest(b, 112001, 2, "read", 6)
	if h.rejected[1] != 1 || h.rejected[2] != 0 {
		t.Errorf("rejected %v: want only the first", h.rejected)
	}
}

// Guards against a router that does not reject while every attempt at a large fleet times out, as
// it has sent each server only one or two requests.
func TestFleetTimeoutsCauseRejectionsAtLowTraffic(t *testing.T) {
	cfg := cacheAsideConfig()
	b, h := newTestBalancer(t, cfg, append(readyEndpoints(60), Endpoint{ID: 77, Kind: "origin"}))
	rejected := 0
	for i := range uint32(120) {
		now := 100010 + 350*float64(i)
		sendRequest(b, now, i+1, "read", uint64(i))
		switch sent := len(h.sends) > 0 && h.lastSend().id == i+1; {
		case !sent:
			rejected++
		case i < 20:
			b.AttemptEnded(now+40, withCacheResult(CacheHit, servedOutcome(i+1, h.lastSend().server, 40)))
		default:
			b.AttemptEnded(now+600, endedOutcome(i+1, h.lastSend().server, Timeout, 600))
		}
	}
	if rejected < 20 {
		t.Errorf("%d of 100 requests rejected while every attempt timed out", rejected)
	}
}

// Guards against a rejection with a Retry-After that is missing, out of bounds, or sent although
// the settings do not allow it.
func TestRejectionCarriesRetryAfterWithinBounds(t *testing.T) {
	for _, isSent := range []bool{true, false} {
		cfg := testConfig()
		cfg.SendRetryAfter = isSent
		cfg.MaxRetryAfterMillis = 1500
		endpoints := readyEndpoints(6)
		b, h := newTestBalancer(t, cfg, endpoints)
		for _, s := range b.membership.caches {
			overload(b, s)
		}
		sendRequest(b, 100000, 1, "read", 5)
		if h.rejected[1] != 1 || len(h.retryAfters) != 1 {
			t.Fatalf("rejected %d times", h.rejected[1])
		}
		if got := b.cfg.MinRetryAfterMillis(); isSent != (got == minRetryAfterMillis) {
			t.Errorf("Retry-After sent %t: minimum %v", isSent, got)
		}
		if got := h.retryAfters[0]; isSent != (got >= minRetryAfterMillis && got <= 300.0/4) || !isSent && got != 0 {
			t.Errorf("Retry-After sent %t: %v", isSent, got)
		}
	}
}

// Guards against a rejection that invites a client to run a keyed request twice. Servers do not
// drop the client's repeat after the end of the window, with a Retry-After beyond it, or if the
// request may have run at the origin.
func TestKeyedRequestIsRejectedOnlyWhereItsRepeatIsDropped(t *testing.T) {
	const window = 400
	for name, c := range map[string]struct {
		status           AttemptStatus
		endedAt          float64
		toOrigin         bool
		minRetryAfter    float64
		rejected, failed int
	}{
		"within its window":               {Failed, 200, false, 0, 1, 0},
		"after its window":                {Failed, 450, false, 0, 0, 1},
		"Retry-After beyond its window":   {Failed, 380, false, 25, 0, 1},
		"never ran, after its window":     {QueueFull, 450, false, 0, 1, 0},
		"at the origin":                   {Failed, 200, true, 0, 0, 1},
		"never ran at the origin":         {Unprocessed, 200, true, 0, 1, 0},
		"unknown whether it ran there":    {Reset, 200, true, 0, 0, 1},
		"unknown, at the end of its time": {Timeout, 590, true, 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			servers := readyEndpoints(1)
			if c.toOrigin {
				cfg = cacheAsideConfig()
				servers = append(servers, Endpoint{ID: 1, Kind: cfg.OriginKind, Size: 1})
			}
			cfg.Classes[2].IdempotencyWindowMillis = window
			cfg.MaxAttempts = 1
			cfg.SendRetryAfter = c.minRetryAfter > 0
			cfg.MaxRetryAfterMillis = c.minRetryAfter
			b, h := newTestBalancer(t, cfg, servers)
			const sentAt = 100010
			b.Request(sentAt, Request{ID: 1, Class: "keyed", Key: 9, HasKey: true, RemainingMillis: 600,
				IsWrite: c.toOrigin})
			b.AttemptEnded(sentAt+c.endedAt, endedOutcome(1, h.lastSend().server, c.status, c.endedAt))
			if len(h.sends) != 1 || h.rejected[1] != c.rejected || h.failed[1] != c.failed {
				t.Errorf("sends %v, rejected %d, failed %d, want %d and %d",
					h.sends, h.rejected[1], h.failed[1], c.rejected, c.failed)
			}
		})
	}
}
