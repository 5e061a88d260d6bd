// Package model contains models of the systems around a router: cache servers, the origin and discovery.
// The models do no I/O and have no clock. The caller passes the time in milliseconds on one clock that
// never runs backwards, asks for the time of the next event, and collects the jobs completed by then.
// So the same models work behind sockets and in virtual time. All randomness comes from a seed: the same
// calls lead to the same results.
package model

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Params describes a cache server or the origin. Work is measured in milliseconds on a core of speed 1.
type Params struct {
	Cores    int     `toml:"cores"`     // number of cores
	Speed    float64 `toml:"speed"`     // of each core
	Slots    int     `toml:"slots"`     // requests in service at once; 0 = one for each core
	Queue    int     `toml:"queue"`     // requests that may wait; further ones are rejected
	Thrash   float64 `toml:"thrash"`    // efficiency is 1/(1+thrash*(held/cores-thrash_at)) above thrash_at
	ThrashAt float64 `toml:"thrash_at"` // requests held for each core

	ColdFrom float64 `toml:"cold_from"` // share of the full capacity at the server's start; 0 or 1 = it starts warm
	ColdMS   float64 `toml:"cold_ms"`   // capacity rises linearly to full within this time,
	WarmWork float64 `toml:"warm_work"` // or with this much work, whichever is sooner; 0 = by time only

	// A server chokes, that is, slows down, after its queue has been long for some time.
	ChokeAt     float64 `toml:"choke_at"`      // queue length per core that chokes the server if exceeded; 0 = never
	ChokeOverMS float64 `toml:"choke_over_ms"` // time for which the queue has to exceed it
	ChokeSlower float64 `toml:"choke_slower"`  // factor by which a choked server is slower
	ChokeBelow  float64 `toml:"choke_below"`   // requests held per core below which the server recovers
	ChokeRestMS float64 `toml:"choke_rest_ms"` // time for which fewer have to be held for the recovery
	ChokeMostMS float64 `toml:"choke_most_ms"` // longest time choked; 0 = no limit

	PauseEveryMS float64 `toml:"pause_every_ms"` // mean time between pauses; 0 = none
	PauseMS      float64 `toml:"pause_ms"`       // mean length of a pause
	ErrorRate    float64 `toml:"error_rate"`     // share of requests that fail, whether they ran or not

	Memory   int     `toml:"memory"`    // bytes of values stored; the least recently used are evicted first
	TTLMS    float64 `toml:"ttl_ms"`    // a stored value expires after this time; 0 = never
	MissWork float64 `toml:"miss_work"` // work of a lookup that misses
	FetchMS  float64 `toml:"fetch_ms"`  // for this long after a miss, further misses of the key are Fetching
	Origin   bool    `toml:"origin"`    // the origin: it has every value, and executes writes

	Conns    int     `toml:"conns"`     // maximum number of connections; 0 = no limit
	ConnWork float64 `toml:"conn_work"` // work of accepting a connection

	ProbeWork     float64 `toml:"probe_work"`
	ReportEveryMS float64 `toml:"report_every_ms"` // load reports are refreshed at this interval,
	ReportDelayMS float64 `toml:"report_delay_ms"` // are delayed by this time,
	ReportNoise   float64 `toml:"report_noise"`    // and have a relative error with this standard deviation

	KeyedMS float64 `toml:"keyed_ms"` // idempotency window: a repeat of a keyed write is dropped for this long
	// A cold server collapses, and stays down until a restart, if the work that arrives within a window
	// exceeds a multiple of the work that it can do in the window at its present capacity.
	FallMultiple float64 `toml:"fall_multiple"` // the multiple; 0 = the server never collapses
	FallForMS    float64 `toml:"fall_for_ms"`   // length of the window
	// MeanWork is the mean work of a request. If it is set, a cold server tolerates N + 2*sqrt(N) + 2
	// requests of mean work in the window, N being the number that the multiple allows; 0 = exactly what
	// the multiple allows.
	MeanWork float64 `toml:"mean_work"`
}

// Check returns an error for the first missing or impossible parameter, with its name in a scenario
// file.
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

// Job is one request at a server. The caller chooses the IDs; concurrent jobs must have different ones.
type Job struct {
	ID    uint64
	Key   string
	Idem  string  // idempotency key of a keyed write
	Work  float64 // work of serving the request
	Size  int     // size of the value in bytes
	Write bool
}

// Outcome is the result of a job.
type Outcome int

// The outcomes. A Busy job ends at once, the others end when their work is done.
const (
	Busy     Outcome = iota // rejected, not run
	Served                  // a read got its value, or a write was executed
	Missed                  // the key is not stored
	Fetching                // the key is not stored, and another request missed it recently
	Repeated                // a keyed write that was executed before within the window; it was not executed again
	Failed                  // an error; the job may have run
)

func (o Outcome) String() string {
	return [...]string{"busy", "served", "missed", "fetching", "repeated", "failed"}[o]
}

// Completion is a finished job with its time and outcome.
type Completion struct {
	Job
	At      float64
	Outcome Outcome
}

// Report is a load report.
type Report struct {
	QPS  float64 // requests completed per second
	Util float64 // utilization of the cores, 0 to 1
	Hits float64 // share of reads that hit, in the last interval
}

type job struct {
	Job
	remainingWork float64
	outcome       Outcome
}

type storedValue struct {
	size      int
	expiresAt float64
}

// arrival is work that arrived at a cold server at a time.
type arrival struct{ at, work float64 }

// Server is one cache server, or the origin.
type Server struct {
	p              Params
	rng            *rand.Rand
	now            float64
	startedAt      float64 // start of the process; -Inf = long ago
	workSinceStart float64 // work done since the start
	busy           []*job
	wait           []*job
	memory         *simplelru.LRU[string, storedValue]
	bytes          int
	fetches        *simplelru.LRU[string, float64] // missed keys -> end of the time in which misses are Fetching
	keyedWrites    *simplelru.LRU[string, float64] // idempotency keys of writes -> end of their window
	conns          int
	collapsed      bool
	recentArrivals []arrival // at a cold server, within the last FallForMS

	pauseAt, pauseEndAt                float64
	aboveChokeSince, belowChokeSince   float64 // of the conditions that begin and end a choke; +Inf = not met
	chokedUntil                        float64 // -Inf = not choked
	sampleAt                           float64
	completed, coreMillis, hits, reads float64 // since the last load report
	samples                            []timedReport
}

type timedReport struct {
	at float64
	Report
}

// maxTableEntries limits each of the tables of fetches and of idempotency keys; a full table evicts the
// least recently used entry.
const maxTableEntries = 1 << 16

// New returns a server whose process started long before now: warm, with no values stored.
func New(p Params, seed uint64, now float64) *Server {
	if p.Slots == 0 {
		p.Slots = p.Cores
	}
	if p.ReportEveryMS <= 0 {
		p.ReportEveryMS = 250
	}
	s := &Server{p: p, rng: rand.New(rand.NewPCG(seed, 2)), now: now}
	s.startProcess(now, math.Inf(-1))
	return s
}

func (s *Server) startProcess(now, started float64) {
	s.now, s.startedAt, s.workSinceStart, s.collapsed = now, started, 0, false
	s.busy, s.wait, s.recentArrivals, s.samples = nil, nil, nil, nil
	// NewLRU fails only for a size that is not positive.
	s.memory, _ = simplelru.NewLRU(math.MaxInt32, func(_ string, v storedValue) { s.bytes -= v.size })
	s.bytes, s.conns = 0, 0
	s.fetches, _ = simplelru.NewLRU[string, float64](maxTableEntries, nil)
	s.keyedWrites, _ = simplelru.NewLRU[string, float64](maxTableEntries, nil)
	s.pauseEndAt, s.aboveChokeSince, s.belowChokeSince, s.chokedUntil = now, math.Inf(1), math.Inf(1), math.Inf(-1)
	s.pauseAt, s.sampleAt = s.nextPauseAt(now), now+s.p.ReportEveryMS
	s.completed, s.coreMillis, s.hits, s.reads = 0, 0, 0, 0
}

// Restart starts a new process on the same machine, cold and empty. The jobs of the old process are
// dropped without a completion.
func (s *Server) Restart(now float64) { s.startProcess(now, now) }

func (s *Server) nextPauseAt(now float64) float64 {
	if s.p.PauseEveryMS <= 0 {
		return math.Inf(1)
	}
	return now + s.rng.ExpFloat64()*s.p.PauseEveryMS
}

// Warmth returns the share of its full capacity that the server has by now.
func (s *Server) Warmth() float64 {
	if s.p.ColdFrom <= 0 || s.p.ColdFrom >= 1 || math.IsInf(s.startedAt, -1) {
		return 1
	}
	progress := 1.0
	if s.p.ColdMS > 0 {
		progress = (s.now - s.startedAt) / s.p.ColdMS
	}
	if s.p.WarmWork > 0 {
		progress = max(progress, s.workSinceStart/s.p.WarmWork)
	}
	return min(1, s.p.ColdFrom+(1-s.p.ColdFrom)*progress)
}

// Capacity returns the work that the server can do per millisecond while it neither thrashes nor is
// choked.
func (s *Server) Capacity() float64 { return float64(s.p.Cores) * s.p.Speed * s.Warmth() }

// HasCollapsed reports whether the server collapsed while cold. It serves nothing until Restart.
func (s *Server) HasCollapsed() bool { return s.collapsed }

// Held returns the number of requests in service or waiting.
func (s *Server) Held() int { return len(s.busy) + len(s.wait) }

// IsChoked reports whether the server is slowed down after its queue was too long.
func (s *Server) IsChoked() bool { return s.now < s.chokedUntil }

// workRate returns the work done per millisecond on each job in service.
func (s *Server) workRate() float64 {
	if len(s.busy) == 0 || s.now < s.pauseEndAt || s.collapsed {
		return 0
	}
	rate := s.p.Speed * s.Warmth() * min(1, float64(s.p.Cores)/float64(len(s.busy)))
	if over := float64(s.Held())/float64(s.p.Cores) - s.p.ThrashAt; s.p.Thrash > 0 && over > 0 {
		rate /= 1 + s.p.Thrash*over
	}
	if s.IsChoked() {
		rate /= s.p.ChokeSlower
	}
	return rate
}

// Arrive accepts a job at now, and returns false if the job is rejected. Advance(now) must have been
// called.
func (s *Server) Arrive(now float64, j Job) bool {
	s.recordArrival(now, j.Work)
	if s.collapsed || len(s.busy) >= s.p.Slots && len(s.wait) >= s.p.Queue {
		return false
	}
	s.wait = append(s.wait, &job{Job: j})
	s.startWaitingJobs()
	s.trackChoke()
	return true
}

// Cancel drops a job that has not ended, and reports whether there was one. The work already done for
// it is lost.
func (s *Server) Cancel(id uint64) bool {
	for _, list := range []*[]*job{&s.busy, &s.wait} {
		for i, j := range *list {
			if j.ID == id {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				s.startWaitingJobs()
				s.trackChoke()
				return true
			}
		}
	}
	return false
}

// WorkDone returns the work already done for a job in service; 0 for a waiting or unknown job.
func (s *Server) WorkDone(id uint64) float64 {
	for _, j := range s.busy {
		if j.ID == id {
			return max(0, j.Work-j.remainingWork)
		}
	}
	return 0
}

// startWaitingJobs moves waiting jobs to free slots. The outcome of a job is decided when its
// service begins.
func (s *Server) startWaitingJobs() {
	for len(s.busy) < s.p.Slots && len(s.wait) > 0 {
		j := s.wait[0]
		s.wait = s.wait[1:]
		j.outcome, j.remainingWork = s.beginJob(j.Job)
		s.busy = append(s.busy, j)
	}
}

func (s *Server) beginJob(j Job) (Outcome, float64) {
	switch {
	case s.rng.Float64() < s.p.ErrorRate:
		return Failed, j.Work * s.rng.Float64()
	case j.Write && !s.p.Origin: // cache servers execute no writes
		return Missed, s.p.MissWork
	case j.Write && j.Idem != "" && s.isUnexpired(s.keyedWrites, j.Idem):
		return Repeated, s.p.MissWork
	case j.Write || s.p.Origin:
		if j.Idem != "" {
			s.keyedWrites.Add(j.Idem, s.now+s.p.KeyedMS)
		}
		return Served, j.Work
	}
	s.reads++
	if k, ok := s.memory.Get(j.Key); ok && k.expiresAt > s.now {
		s.hits++
		return Served, j.Work
	}
	if s.isUnexpired(s.fetches, j.Key) {
		return Fetching, s.p.MissWork
	}
	if s.p.FetchMS > 0 {
		s.fetches.Add(j.Key, s.now+s.p.FetchMS)
	}
	return Missed, s.p.MissWork
}

// isUnexpired reports whether a table has an unexpired entry of a key.
func (s *Server) isUnexpired(table *simplelru.LRU[string, float64], key string) bool {
	until, ok := table.Get(key)
	return ok && until > s.now
}

// Store stores a value of size bytes if it fits the server's memory, and evicts others as needed.
func (s *Server) Store(now float64, key string, size int) {
	size = max(size, 1)
	if size > s.p.Memory || s.collapsed {
		return
	}
	until := math.Inf(1)
	if s.p.TTLMS > 0 {
		until = now + s.p.TTLMS
	}
	s.memory.Remove(key)
	s.memory.Add(key, storedValue{size, until})
	for s.bytes += size; s.bytes > s.p.Memory; {
		s.memory.RemoveOldest()
	}
	s.fetches.Remove(key)
}

// Invalidate removes the stored value of a key.
func (s *Server) Invalidate(key string) { s.memory.Remove(key) }

// StoredBytes returns the total size of the stored values in bytes.
func (s *Server) StoredBytes() int { return s.bytes }

// Connect accepts a connection, and returns false at the connection limit. Accepting costs work, which
// delays the jobs in service.
func (s *Server) Connect() bool {
	if s.collapsed || s.p.Conns > 0 && s.conns >= s.p.Conns {
		return false
	}
	s.conns++
	s.addOverhead(s.p.ConnWork)
	return true
}

// Disconnect closes a connection.
func (s *Server) Disconnect() { s.conns = max(0, s.conns-1) }

// addOverhead accounts for work outside the jobs, which delays the jobs in service.
func (s *Server) addOverhead(work float64) {
	for _, j := range s.busy {
		j.remainingWork += work / float64(s.p.Cores)
	}
	s.coreMillis += work / s.p.Speed
}

// Probe returns the load report, delayed and with an error as Params specify, and false after a
// collapse. A probe costs work.
func (s *Server) Probe(now float64) (r Report, ok bool) {
	if s.collapsed {
		return Report{}, false
	}
	s.addOverhead(s.p.ProbeWork)
	for _, x := range s.samples { // the newest one that is old enough; zero before the first
		if x.at <= now-s.p.ReportDelayMS {
			r = x.Report
		}
	}
	noise := func(v float64) float64 { return max(0, v*(1+s.p.ReportNoise*s.rng.NormFloat64())) }
	return Report{noise(r.QPS), min(1, noise(r.Util)), min(1, noise(r.Hits))}, true
}

// trackChoke records since when the conditions that begin and end a choke have been met.
func (s *Server) trackChoke() {
	if s.p.ChokeAt <= 0 {
		return
	}
	if float64(len(s.wait)) > s.p.ChokeAt*float64(s.p.Cores) {
		s.aboveChokeSince = min(s.aboveChokeSince, s.now)
	} else {
		s.aboveChokeSince = math.Inf(1)
	}
	if s.IsChoked() && float64(s.Held()) < s.p.ChokeBelow*float64(s.p.Cores) {
		s.belowChokeSince = min(s.belowChokeSince, s.now)
	} else {
		s.belowChokeSince = math.Inf(1)
	}
}

// recheckMillis is the interval at which a warming server with work updates its rate, in milliseconds.
const recheckMillis = 20

// Next returns the time of the next event without further calls; +Inf if there is none.
func (s *Server) Next() float64 {
	if s.collapsed {
		return math.Inf(1)
	}
	at := min(s.sampleAt, s.pauseAt)
	if s.now < s.pauseEndAt {
		at = min(at, s.pauseEndAt)
	}
	if s.IsChoked() {
		at = min(at, s.chokedUntil, s.belowChokeSince+s.p.ChokeRestMS)
	} else {
		at = min(at, s.aboveChokeSince+s.p.ChokeOverMS)
	}
	if rate := s.workRate(); rate > 0 {
		for _, j := range s.busy {
			at = min(at, s.now+j.remainingWork/rate)
		}
		if s.Warmth() < 1 {
			at = min(at, s.now+recheckMillis)
		}
	}
	return max(at, s.now)
}

// Advance advances the server to now, and returns the jobs completed by then in the order of time.
func (s *Server) Advance(now float64) (done []Completion) {
	for s.now < now || s.Next() <= now {
		to := min(now, s.Next())
		if s.collapsed {
			s.now = now
			return done
		}
		s.workUntil(to)
		done = s.finishJobs(done)
		s.applyTimedChanges()
		if to >= now && s.Next() > now {
			break
		}
	}
	return done
}

// workUntil does the work of the jobs in service until to.
func (s *Server) workUntil(to float64) {
	if rate := s.workRate(); rate > 0 {
		work := rate * (to - s.now)
		for _, j := range s.busy {
			j.remainingWork -= work
		}
		s.workSinceStart += work * float64(len(s.busy))
		s.coreMillis += (to - s.now) * min(float64(len(s.busy)), float64(s.p.Cores))
	}
	s.now = to
}

// finishJobs completes the jobs whose work is done.
func (s *Server) finishJobs(done []Completion) []Completion {
	var unfinished []*job
	for _, j := range s.busy {
		if j.remainingWork > 1e-9 {
			unfinished = append(unfinished, j)
			continue
		}
		s.completed++
		done = append(done, Completion{j.Job, s.now, j.outcome})
	}
	if len(unfinished) < len(s.busy) {
		s.busy = unfinished
		s.startWaitingJobs()
		s.trackChoke()
	}
	return done
}

// applyTimedChanges begins and ends pauses and chokes, and takes load reports, when their time has come.
func (s *Server) applyTimedChanges() {
	if s.now >= s.pauseAt {
		s.pauseEndAt = s.now + s.rng.ExpFloat64()*s.p.PauseMS
		s.pauseAt = s.nextPauseAt(s.pauseEndAt)
	}
	switch {
	case s.p.ChokeAt <= 0:
	case s.now < s.chokedUntil && s.now >= s.belowChokeSince+s.p.ChokeRestMS:
		s.chokedUntil, s.belowChokeSince = math.Inf(-1), math.Inf(1)
	case s.now >= s.chokedUntil && s.now >= s.aboveChokeSince+s.p.ChokeOverMS:
		s.chokedUntil = s.now + s.p.ChokeMostMS
		if s.aboveChokeSince = math.Inf(1); s.p.ChokeMostMS <= 0 {
			s.chokedUntil = math.Inf(1)
		}
	}
	if s.now >= s.sampleAt {
		r := Report{
			QPS:  s.completed / s.p.ReportEveryMS * 1000,
			Util: min(1, s.coreMillis/float64(s.p.Cores)/s.p.ReportEveryMS),
		}
		if s.reads > 0 {
			r.Hits = s.hits / s.reads
		}
		keep := 1 + int(s.p.ReportDelayMS/s.p.ReportEveryMS) // older ones are never returned
		if s.samples = append(s.samples, timedReport{s.now, r}); len(s.samples) > keep+1 {
			s.samples = s.samples[1:]
		}
		s.completed, s.coreMillis, s.hits, s.reads = 0, 0, 0, 0
		s.sampleAt = s.now + s.p.ReportEveryMS
	}
}

// SetSpeed changes the speed of each core from now on. Advance must have been called with the present
// time.
func (s *Server) SetSpeed(speed float64) { s.p.Speed = speed }
