// Package model holds what a router meets as models: cache servers, the origin, discovery. They do no I/O and have no
// clock: whoever drives them says what time it is, in milliseconds on one clock that never runs backwards, asks when
// something happens next and collects what is done by then. So the same models stand behind sockets and in virtual time.
// All randomness comes from a seed: the same calls lead to the same results.
package model

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Params describe a cache server or the origin. Work is measured in milliseconds on a core of speed 1.
type Params struct {
	Cores    int     `toml:"cores"`     // that work at once
	Speed    float64 `toml:"speed"`     // of a core
	Slots    int     `toml:"slots"`     // requests in work at once; 0 = one for each core
	Queue    int     `toml:"queue"`     // requests that may wait; one more is turned away unseen
	Thrash   float64 `toml:"thrash"`    // efficiency is 1/(1+thrash*(held/cores-thrash_at)) where more are held
	ThrashAt float64 `toml:"thrash_at"` // requests held for each core

	ColdFrom float64 `toml:"cold_from"` // share of its capacity that a server has at its start; 0 or 1 = it starts warm
	ColdMS   float64 `toml:"cold_ms"`   // it rises evenly to the whole in this time,
	WarmWork float64 `toml:"warm_work"` // or with this much work, whichever is sooner; 0 = with time only

	ChokeAt     float64 `toml:"choke_at"`      // more than this many waiting for each core; 0 = never
	ChokeOverMS float64 `toml:"choke_over_ms"` // for this long choke the server:
	ChokeSlower float64 `toml:"choke_slower"`  // it turns this many times slower,
	ChokeBelow  float64 `toml:"choke_below"`   // until fewer than this many are held for each core
	ChokeRestMS float64 `toml:"choke_rest_ms"` // for this long,
	ChokeMostMS float64 `toml:"choke_most_ms"` // or this time is over

	PauseEveryMS float64 `toml:"pause_every_ms"` // mean time between pauses; 0 = none
	PauseMS      float64 `toml:"pause_ms"`       // mean length of one
	ErrorRate    float64 `toml:"error_rate"`     // share of requests that end as errors, run or not

	Memory   int     `toml:"memory"`    // bytes of values kept, those used longest ago go first
	TTLMS    float64 `toml:"ttl_ms"`    // a kept value is void after this; 0 = never
	MissWork float64 `toml:"miss_work"` // work of finding that a key is not kept
	FetchMS  float64 `toml:"fetch_ms"`  // a miss says that another fetch of the key is out for this long after the first
	Origin   bool    `toml:"origin"`    // it has every value, and carries out writes

	Conns    int     `toml:"conns"`     // connections held at most; 0 = no bound
	ConnWork float64 `toml:"conn_work"` // work of taking one

	ProbeWork     float64 `toml:"probe_work"`
	ReportEveryMS float64 `toml:"report_every_ms"` // load reports are refreshed this often,
	ReportDelayMS float64 `toml:"report_delay_ms"` // are this old,
	ReportNoise   float64 `toml:"report_noise"`    // and off by a normal factor of this deviation

	KeyedMS      float64 `toml:"keyed_ms"`      // a repeat of a keyed write is dropped for this long
	FallMultiple float64 `toml:"fall_multiple"` // a cold server that is sent more than this multiple of what it can do now; 0 = never falls
	FallForMS    float64 `toml:"fall_for_ms"`   // within a window of this length falls over and stays down
	// MeanWork is that of a request. With it a cold server bears N + 2*sqrt(N) + 2 requests of mean work in the window, N being those that
	// the multiple allows; 0 = what the multiple allows and no more.
	MeanWork float64 `toml:"mean_work"`
}

// Check names the first parameter that is missing or impossible, by its name in a scenario file.
func (p Params) Check() error {
	for _, v := range []struct {
		name string
		bad  bool
		is   any
	}{
		{"cores", p.Cores < 1, p.Cores}, {"speed", !(p.Speed > 0), p.Speed}, {"slots", p.Slots < 0, p.Slots},
		{"queue", p.Queue < 0, p.Queue}, {"cold_from", !(p.ColdFrom >= 0 && p.ColdFrom <= 1), p.ColdFrom},
		{"error_rate", !(p.ErrorRate >= 0 && p.ErrorRate <= 1), p.ErrorRate}, {"memory", p.Memory < 0, p.Memory},
		{"choke_slower", p.ChokeAt > 0 && !(p.ChokeSlower >= 1), p.ChokeSlower},
		{"pause_ms", p.PauseEveryMS > 0 && !(p.PauseMS > 0), p.PauseMS},
		{"mean_work", !(p.MeanWork >= 0), p.MeanWork},
		{"fall_for_ms", p.FallMultiple > 0 && !(p.FallForMS > 0), p.FallForMS},
	} {
		if v.bad {
			return fmt.Errorf("%s: impossible value %v", v.name, v.is)
		}
	}
	return nil
}

// Job is one request at a server. The driver picks IDs; two that are there at once differ.
type Job struct {
	ID    uint64
	Key   string
	Idem  string  // idempotency key of a keyed write
	Work  float64 // of serving it
	Size  int     // bytes of the value
	Write bool
}

// Outcome is how a job ended.
type Outcome int

// The outcomes. Busy comes at once, the others when the work is done.
const (
	Busy     Outcome = iota // turned away, never ran
	Served                  // a read: the value; a write: carried out
	Missed                  // the key is not kept
	Fetching                // nor is it, and another has been told so lately
	Repeated                // a keyed write that ran before within the window: nothing was done again
	Failed                  // it may have run
)

func (o Outcome) String() string {
	return [...]string{"busy", "served", "missed", "fetching", "repeated", "failed"}[o]
}

// Completion is the end of a job.
type Completion struct {
	Job
	At      float64
	Outcome Outcome
}

// Report is a load report.
type Report struct {
	QPS  float64 // requests done a second
	Util float64 // how busy the cores are, 0 to 1
	Hits float64 // share of reads that found their key, lately
}

type job struct {
	Job
	left    float64 // work
	outcome Outcome
}

type kept struct {
	size  int
	until float64
}

// sent is work that arrived at a cold server.
type sent struct{ at, work float64 }

// Server is one cache server, or the origin.
type Server struct {
	p       Params
	rng     *rand.Rand
	now     float64
	started float64 // of the process; -Inf = long ago
	worked  float64 // since
	busy    []*job
	wait    []*job
	memory  *simplelru.LRU[string, kept]
	bytes   int
	told    *simplelru.LRU[string, float64] // keys that another was told to fetch, until when
	ran     *simplelru.LRU[string, float64] // idempotency keys of writes, until when they are known
	conns   int
	fallen  bool
	lately  []sent // at a cold server, within the window

	pauseAt, pauseTo         float64
	overSince, underSince    float64 // for the choke; +Inf = not so
	chokedTo                 float64 // -Inf = not choked
	sampleAt                 float64
	did, coreTime, hit, read float64 // since the last sample
	samples                  []stamped
}

type stamped struct {
	at float64
	Report
}

// maxTold bounds each of the tables of fetches and of idempotency keys; the oldest entry goes when one is full.
const maxTold = 1 << 16

// New returns a server that runs since long ago at now, warm and empty.
func New(p Params, seed uint64, now float64) *Server {
	if p.Slots == 0 {
		p.Slots = p.Cores
	}
	if p.ReportEveryMS <= 0 {
		p.ReportEveryMS = 250
	}
	s := &Server{p: p, rng: rand.New(rand.NewPCG(seed, 2)), now: now}
	s.boot(now, math.Inf(-1))
	return s
}

func (s *Server) boot(now, started float64) {
	s.now, s.started, s.worked, s.fallen = now, started, 0, false
	s.busy, s.wait, s.lately, s.samples = nil, nil, nil, nil
	s.memory, _ = simplelru.NewLRU(math.MaxInt32, func(_ string, k kept) { s.bytes -= k.size }) // the size is positive
	s.bytes, s.conns = 0, 0
	s.told, _ = simplelru.NewLRU[string, float64](maxTold, nil)
	s.ran, _ = simplelru.NewLRU[string, float64](maxTold, nil)
	s.pauseTo, s.overSince, s.underSince, s.chokedTo = now, math.Inf(1), math.Inf(1), math.Inf(-1)
	s.pauseAt, s.sampleAt = s.pause(now), now+s.p.ReportEveryMS
	s.did, s.coreTime, s.hit, s.read = 0, 0, 0, 0
}

// Restart is a new process on the same machine: cold and empty, and what was there is gone without a word.
func (s *Server) Restart(now float64) { s.boot(now, now) }

func (s *Server) pause(now float64) float64 {
	if s.p.PauseEveryMS <= 0 {
		return math.Inf(1)
	}
	return now + s.rng.ExpFloat64()*s.p.PauseEveryMS
}

// Warmth is the share of its capacity that the server has by now.
func (s *Server) Warmth() float64 {
	if s.p.ColdFrom <= 0 || s.p.ColdFrom >= 1 || math.IsInf(s.started, -1) {
		return 1
	}
	part := 1.0
	if s.p.ColdMS > 0 {
		part = (s.now - s.started) / s.p.ColdMS
	}
	if s.p.WarmWork > 0 {
		part = max(part, s.worked/s.p.WarmWork)
	}
	return min(1, s.p.ColdFrom+(1-s.p.ColdFrom)*part)
}

// Capacity is the work that the server can do in a millisecond, neither crowded nor choked.
func (s *Server) Capacity() float64 { return float64(s.p.Cores) * s.p.Speed * s.Warmth() }

// HasCollapsed reports whether a cold server has been pushed over: it does nothing until it is started again.
func (s *Server) HasCollapsed() bool { return s.fallen }

// Held is how many requests are in work or wait.
func (s *Server) Held() int { return len(s.busy) + len(s.wait) }

// IsChoked reports whether the server has turned slower from crowding.
func (s *Server) IsChoked() bool { return s.now < s.chokedTo }

// rate is the work that one job in service gets in a millisecond.
func (s *Server) rate() float64 {
	if len(s.busy) == 0 || s.now < s.pauseTo || s.fallen {
		return 0
	}
	r := s.p.Speed * s.Warmth() * min(1, float64(s.p.Cores)/float64(len(s.busy)))
	if over := float64(s.Held())/float64(s.p.Cores) - s.p.ThrashAt; s.p.Thrash > 0 && over > 0 {
		r /= 1 + s.p.Thrash*over
	}
	if s.IsChoked() {
		r /= s.p.ChokeSlower
	}
	return r
}

// Arrive takes a job at now, and reports false where it is turned away. Advance(now) must have been called.
func (s *Server) Arrive(now float64, j Job) bool {
	s.pressed(now, j.Work)
	if s.fallen || len(s.busy) >= s.p.Slots && len(s.wait) >= s.p.Queue {
		return false
	}
	s.wait = append(s.wait, &job{Job: j})
	s.fill()
	s.crowd()
	return true
}

// Cancel drops a job that has not ended, and reports whether there was one. What it has cost is lost.
func (s *Server) Cancel(id uint64) bool {
	for _, list := range []*[]*job{&s.busy, &s.wait} {
		for i, j := range *list {
			if j.ID == id {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				s.fill()
				s.crowd()
				return true
			}
		}
	}
	return false
}

// WorkDone is the work that has gone into a job in service; 0 for one that waits or is not there.
func (s *Server) WorkDone(id uint64) float64 {
	for _, j := range s.busy {
		if j.ID == id {
			return max(0, j.Work-j.left)
		}
	}
	return 0
}

// fill puts waiting jobs into free slots. What a job will find is decided when its work begins.
func (s *Server) fill() {
	for len(s.busy) < s.p.Slots && len(s.wait) > 0 {
		j := s.wait[0]
		s.wait = s.wait[1:]
		j.outcome, j.left = s.begin(j.Job)
		s.busy = append(s.busy, j)
	}
}

func (s *Server) begin(j Job) (Outcome, float64) {
	switch {
	case s.rng.Float64() < s.p.ErrorRate:
		return Failed, j.Work * s.rng.Float64()
	case j.Write && !s.p.Origin: // a cache server carries out no write
		return Missed, s.p.MissWork
	case j.Write && j.Idem != "" && s.knows(s.ran, j.Idem):
		return Repeated, s.p.MissWork
	case j.Write || s.p.Origin:
		if j.Idem != "" {
			s.ran.Add(j.Idem, s.now+s.p.KeyedMS)
		}
		return Served, j.Work
	}
	s.read++
	if k, ok := s.memory.Get(j.Key); ok && k.until > s.now {
		s.hit++
		return Served, j.Work
	}
	if s.knows(s.told, j.Key) {
		return Fetching, s.p.MissWork
	}
	if s.p.FetchMS > 0 {
		s.told.Add(j.Key, s.now+s.p.FetchMS)
	}
	return Missed, s.p.MissWork
}

// knows tells whether a key stands in a table and is not over.
func (s *Server) knows(table *simplelru.LRU[string, float64], key string) bool {
	until, ok := table.Get(key)
	return ok && until > s.now
}

// Store keeps a value, as far as there is memory for it.
func (s *Server) Store(now float64, key string, size int) {
	size = max(size, 1)
	if size > s.p.Memory || s.fallen {
		return
	}
	until := math.Inf(1)
	if s.p.TTLMS > 0 {
		until = now + s.p.TTLMS
	}
	s.memory.Remove(key)
	s.memory.Add(key, kept{size, until})
	for s.bytes += size; s.bytes > s.p.Memory; {
		s.memory.RemoveOldest()
	}
	s.told.Remove(key)
}

// Invalidate drops the copy of a key.
func (s *Server) Invalidate(key string) { s.memory.Remove(key) }

// StoredBytes is how many bytes of values are kept.
func (s *Server) StoredBytes() int { return s.bytes }

// Connect takes a connection, and reports false where the server holds all that it may. Taking one is work, which is
// done ahead of the jobs in service.
func (s *Server) Connect() bool {
	if s.fallen || s.p.Conns > 0 && s.conns >= s.p.Conns {
		return false
	}
	s.conns++
	s.burden(s.p.ConnWork)
	return true
}

// Disconnect ends a connection.
func (s *Server) Disconnect() { s.conns = max(0, s.conns-1) }

// burden is work beside the jobs: it takes its time from those in service.
func (s *Server) burden(work float64) {
	for _, j := range s.busy {
		j.left += work / float64(s.p.Cores)
	}
	s.coreTime += work / s.p.Speed
}

// Probe gives the load report: late, noisy, refreshed now and then. It costs work.
func (s *Server) Probe(now float64) (r Report, ok bool) {
	if s.fallen {
		return Report{}, false
	}
	s.burden(s.p.ProbeWork)
	for _, x := range s.samples { // the newest that is old enough; before the first all is 0
		if x.at <= now-s.p.ReportDelayMS {
			r = x.Report
		}
	}
	noise := func(v float64) float64 { return max(0, v*(1+s.p.ReportNoise*s.rng.NormFloat64())) }
	return Report{noise(r.QPS), min(1, noise(r.Util)), min(1, noise(r.Hits))}, true
}

// crowd follows what leads into a choke and out of it.
func (s *Server) crowd() {
	if s.p.ChokeAt <= 0 {
		return
	}
	if float64(len(s.wait)) > s.p.ChokeAt*float64(s.p.Cores) {
		s.overSince = min(s.overSince, s.now)
	} else {
		s.overSince = math.Inf(1)
	}
	if s.IsChoked() && float64(s.Held()) < s.p.ChokeBelow*float64(s.p.Cores) {
		s.underSince = min(s.underSince, s.now)
	} else {
		s.underSince = math.Inf(1)
	}
}

// recheck is how often what changes with time alone is brought up to date while there is work, in milliseconds.
const recheck = 20

// Next is when something next happens by itself; +Inf where nothing does.
func (s *Server) Next() float64 {
	if s.fallen {
		return math.Inf(1)
	}
	at := min(s.sampleAt, s.pauseAt)
	if s.now < s.pauseTo {
		at = min(at, s.pauseTo)
	}
	if s.IsChoked() {
		at = min(at, s.chokedTo, s.underSince+s.p.ChokeRestMS)
	} else {
		at = min(at, s.overSince+s.p.ChokeOverMS)
	}
	if r := s.rate(); r > 0 {
		for _, j := range s.busy {
			at = min(at, s.now+j.left/r)
		}
		if s.Warmth() < 1 {
			at = min(at, s.now+recheck)
		}
	}
	return max(at, s.now)
}

// Advance carries the server on to now and returns what was done by then, in order.
func (s *Server) Advance(now float64) (done []Completion) {
	for s.now < now || s.Next() <= now {
		to := min(now, s.Next())
		if s.fallen {
			s.now = now
			return done
		}
		s.spend(to)
		done = s.finish(done)
		s.turn()
		if to >= now && s.Next() > now {
			break
		}
	}
	return done
}

// spend lets the jobs in service work until to.
func (s *Server) spend(to float64) {
	if r := s.rate(); r > 0 {
		work := r * (to - s.now)
		for _, j := range s.busy {
			j.left -= work
		}
		s.worked += work * float64(len(s.busy))
		s.coreTime += (to - s.now) * min(float64(len(s.busy)), float64(s.p.Cores))
	}
	s.now = to
}

// finish ends the jobs whose work is done.
func (s *Server) finish(done []Completion) []Completion {
	var on []*job
	for _, j := range s.busy {
		if j.left > 1e-9 {
			on = append(on, j)
			continue
		}
		s.did++
		done = append(done, Completion{j.Job, s.now, j.outcome})
	}
	if len(on) < len(s.busy) {
		s.busy = on
		s.fill()
		s.crowd()
	}
	return done
}

// turn carries out what is due by the time alone.
func (s *Server) turn() {
	if s.now >= s.pauseAt {
		s.pauseTo = s.now + s.rng.ExpFloat64()*s.p.PauseMS
		s.pauseAt = s.pause(s.pauseTo)
	}
	switch {
	case s.p.ChokeAt <= 0:
	case s.now < s.chokedTo && s.now >= s.underSince+s.p.ChokeRestMS:
		s.chokedTo, s.underSince = math.Inf(-1), math.Inf(1)
	case s.now >= s.chokedTo && s.now >= s.overSince+s.p.ChokeOverMS:
		s.chokedTo = s.now + s.p.ChokeMostMS
		if s.overSince = math.Inf(1); s.p.ChokeMostMS <= 0 {
			s.chokedTo = math.Inf(1)
		}
	}
	if s.now >= s.sampleAt {
		r := Report{QPS: s.did / s.p.ReportEveryMS * 1000, Util: min(1, s.coreTime/float64(s.p.Cores)/s.p.ReportEveryMS)}
		if s.read > 0 {
			r.Hits = s.hit / s.read
		}
		keep := 1 + int(s.p.ReportDelayMS/s.p.ReportEveryMS) // older ones are never told
		if s.samples = append(s.samples, stamped{s.now, r}); len(s.samples) > keep+1 {
			s.samples = s.samples[1:]
		}
		s.did, s.coreTime, s.hit, s.read = 0, 0, 0, 0
		s.sampleAt = s.now + s.p.ReportEveryMS
	}
}

// SetSpeed changes the speed of a core from now on; Advance to now must have been called.
func (s *Server) SetSpeed(speed float64) { s.p.Speed = speed }
