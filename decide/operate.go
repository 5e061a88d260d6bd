package decide

import (
	"errors"
	"math"
)

// What operators ask of a running router. They may ask at any time, and what they ask for holds whatever the list says.

// open says whether new work may go to a server, as far as the list and the operators are concerned.
func (s *server) open() bool { return s.State == Ready && !s.banned }

// Disable leaves a server out from now on, as though it were draining, until Enable. A repeated call changes nothing.
func (b *Balancer) Disable(now float64, id uint32) {
	b.begin(now)
	if _, out := b.bans[id]; out {
		return
	}
	b.bans[id] = now
	if s := b.servers[id]; s != nil {
		s.banned, s.held, b.dirty = true, false, true
		b.host.CloseIdle(id)
	}
	b.pump()
}

// Enable puts a server back, however often it was disabled. Meanwhile it was most likely started anew, though the list
// may not say so yet: unless the list has told of a start since, it counts as just started, and so as cold.
func (b *Balancer) Enable(now float64, id uint32) {
	b.begin(now)
	since, out := b.bans[id]
	if !out {
		return
	}
	delete(b.bans, id)
	if s := b.servers[id]; s != nil {
		s.banned, b.dirty = false, true
		b.renew(s, max(s.fresh, now))
		if s.StartedAt > since {
			s.fresh = s.StartedAt
		}
	}
	b.pump()
}

// renew gives a server the record of a new process that started at the given time. Its budget begins with a drawn part of
// a request: each of many routers may send a whole one seldom, and all together send as evenly as few do.
func (b *Balancer) renew(s *server, started float64) {
	s.fresh, s.budget, s.ejected, s.strikes, s.accept = started, rate{b.rng.Float64(), b.now}, false, 0, 1
	s.doubt, s.fails, s.pause = 0, b.usual, 0
}

// IsEjected tells whether the router avoids a server because of how it answered.
func (b *Balancer) IsEjected(id uint32) bool {
	s := b.servers[id]
	return s != nil && s.ejected
}

// CountEndpoints counts the servers on the list, and those of them that are avoided, by hand or by choice: what the list takes out is no choice.
func (b *Balancer) CountEndpoints() (listed, avoided int) {
	for _, s := range b.servers {
		if !s.listed {
			continue
		}
		if listed++; s.banned || s.ejected && s.State == Ready {
			avoided++
		}
	}
	return listed, avoided
}

// Reconfigure takes new settings, or returns an error and changes nothing. Requests that have arrived keep the class and
// the number of attempts that they arrived under.
func (b *Balancer) Reconfigure(now float64, cfg Config) error {
	b.begin(now)
	if err := cfg.Validate(); err != nil {
		return err
	}
	// All that was learnt rests on these.
	if cfg.CacheAside != b.cfg.CacheAside || cfg.OriginKind != b.cfg.OriginKind || cfg.PollEndpoints != b.cfg.PollEndpoints {
		return errors.New("decide: settings Aside, OriginKind and AskList can't change while a router runs")
	}
	b.take(cfg)
	b.keep, b.dirty = cfg.IdleTimeoutMillis, true
	b.pump()
	return nil
}

// One discovery serves all routers in turn: with few of them it has time for each every second, with many it has not.
const (
	askEvery = 1000 // ms between two calls of a router that is refused, at least, where news may take that long,
	askSlot  = 250  // and for each router that there is
	askPart  = 0.6  // of the time after which news counts as told: all routers together must be able to ask within it
	// A change counts as told 6 s after discovery has it, whatever calls have failed meanwhile. A call may take 2 s.
	MaxBackOffMillis = 4000 // between two calls of a router that is refused, at most
)

// askTime is the time over which the calls of all routers are spread.
func (b *Balancer) askTime() float64 {
	t := min(askSlot*float64(b.cfg.Routers-1), MaxBackOffMillis)
	if b.cfg.PollWithinMillis > 0 {
		t = min(t, askPart*b.cfg.PollWithinMillis)
	}
	return t
}

// backOff is how long to wait after a refused call: longer after each one in a row, and spread, as all were refused.
func (b *Balancer) backOff() float64 {
	least := float64(askEvery)
	if b.cfg.PollWithinMillis > 0 {
		least = min(least, askPart*b.cfg.PollWithinMillis)
	}
	mean := max(least, b.askTime()) * min(2, 1+float64(b.refused)/4)
	b.refused++
	return min(1.5*mean, MaxBackOffMillis) * (1 + 2*b.rng.Float64()) / 3
}

// firstCall is how long to wait after a start: in a release most routers start at once.
func (b *Balancer) firstCall() float64 { return b.askTime() * b.rng.Float64() }

// WriteServer names the server that a write goes to, if there is one: large values are on their way there while they come.
func (b *Balancer) WriteServer(now float64) (server uint32, open bool) {
	b.begin(now)
	if !b.cfg.CacheAside || b.origin == nil || !b.origin.open() {
		return 0, false
	}
	return b.origin.ID, true
}

// leastAway is the shortest time that a refused client is told to stay away: less is no relief.
const leastAway = 25

// MinRetryAfterMillis is how long a client stays away at least that is refused before its request gets here, as where there is no
// room for its value.
func (c *Config) MinRetryAfterMillis() float64 {
	if !c.SendRetryAfter {
		return 0
	}
	return min(leastAway, c.MaxRetryAfterMillis)
}

// comeBack is when a refused client is to come again: once the shortest queue among its servers is gone, but early enough
// for the answer to be worth something. 0 = clients are not told.
func (b *Balancer) comeBack(r *request) float64 {
	if !b.cfg.SendRetryAfter {
		return 0
	}
	wait := math.Inf(1)
	for _, s := range r.key.list {
		if b.usable(s, nil) {
			wait = min(wait, b.waitAt(s))
		}
	}
	if math.IsInf(wait, 1) { // none is in use: trials come after the least pause
		wait = minPause
	}
	return max(b.cfg.MinRetryAfterMillis(), min(wait, r.class.LatencyObjectiveMillis/8, b.cfg.MaxRetryAfterMillis))
}
