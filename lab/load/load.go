// Package load is the laboratory's clients: requests at a rate of their own (open loop) or one after the other (closed
// loop), counted from the time at which they were meant to be sent, so that a router that is slow can't hide it by slowing
// the clients down.
package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fakes"
)

// Class is one class of requests.
type Class struct {
	Name     string     `toml:"name"`
	Share    float64    `toml:"share"`     // of the requests; shares need not sum to 1
	Effect   string     `toml:"effect"`    // repeatable, by_key or once
	Scope    string     `toml:"scope"`     // by_key: all, zone or cell
	WindowMS float64    `toml:"window_ms"` // by_key
	Write    bool       `toml:"write"`
	AimMS    float64    `toml:"aim_ms"`
	LimitMS  float64    `toml:"deadline_ms"` // over all tries of a client
	Worth    float64    `toml:"worth"`
	WorkMS   float64    `toml:"work_ms"` // mean, on a core of speed 1
	WorkCV   float64    `toml:"work_cv"` // standard deviation over mean, of a lognormal distribution
	Bytes    [2]float64 `toml:"bytes"`   // of a value, spread evenly over the magnitudes between
}

// Params describe a load.
type Params struct {
	Shape       string    `toml:"shape"`        // poisson, bursty, trace or closed
	Rate        float64   `toml:"rate"`         // requests a second; of a trace, its mean
	Burst       float64   `toml:"burst"`        // bursty: the rate goes up and down by this share
	BurstMS     float64   `toml:"burst_ms"`     // in turns of this length
	Trace       []float64 `toml:"trace"`        // rates, one a second, over and over
	Workers     int       `toml:"workers"`      // closed: clients, each with one request at a time
	MaxOpen     int       `toml:"max_open"`     // requests open at once at most: beyond it the load tool is the bottleneck
	MaxRequests int       `toml:"max_requests"` // first tries at most
	Keys        int       `toml:"keys"`         // different keys at a time,
	Zipf        float64   `toml:"zipf"`         // asked for by this exponent,
	Drift       float64   `toml:"drift"`        // of which this share turns into new ones each second
	Retries     int       `toml:"retries"`      // tries after the first
	TryShare    float64   `toml:"try_share"`    // a try is given up after this share of what is left of the client's time
	BackoffMS   float64   `toml:"backoff_ms"`   // before a further try, doubled each time, spread by half
	Honour      float64   `toml:"honour"`       // share of clients that come back when they are told to
	MaxAfterMS  float64   `toml:"max_after_ms"` // unless it is longer than this
	Tenants     int       `toml:"tenants"`      // 0 = none are named
	Bully       float64   `toml:"bully"`        // share of the requests that are of the first tenant; the rest is spread evenly over the others
	Connections int       `toml:"connections"`  // idle ones kept to each router at most
	Reconnect   float64   `toml:"reconnect"`    // share of requests after which the connection is closed
	// DisconnectShare is the share of tries whose client closes its connection after a time within DisconnectMS, and never comes again.
	DisconnectShare float64              `toml:"disconnect_share"`
	DisconnectMS    [2]float64           `toml:"disconnect_ms"` // evenly spread between
	LateMS          float64              `toml:"late_ms"`       // a request sent this much after its time makes the load tool the bottleneck
	LateShare       float64              `toml:"late_share"`    // where more than this share of them is
	Classes         []Class              `toml:"-"`             // the scenario's
	Zones           []Zone               `toml:"-"`             // of the clients; none = any
	Seed            uint64               `toml:"-"`             // the scenario's
	Progress        func(ProgressReport) `toml:"-" json:"-"`    // called each second
	FromMS          float64              `toml:"-"`             // what was meant to be sent before counts for no tenant: the scenario's warm-up
	Marks           bool                 `toml:"marks_retry"`   // a further try says r=1
}

// Zone is where clients are.
type Zone struct {
	Name  string
	Share float64
}

// ProgressReport is the state of a run while it lasts.
type ProgressReport struct {
	Second                                int
	Asked, Served, Refused, Failed, Tries int // first tries and their ends in this second
	Open                                  int
	Worth, Gained                         float64
	P50MS, P99MS                          float64
}

// Second is what ended in one second, by when it was meant to be sent.
type Second struct {
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`  // within the aim or not
	InAim   int     `json:"in_aim"`  // within it
	Refused int     `json:"refused"` // at the last try
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`  // asked for
	Gained  float64 `json:"gained"` // answered within the aim
	P50MS   float64 `json:"p50_ms"` // of those served
	P99MS   float64 `json:"p99_ms"`
}

// ClassResult is what became of a class.
type ClassResult struct {
	Asked, Served, InAim, Refused, Failed int
	P50MS, P90MS, P99MS, MaxMS            float64 // of those served, from the intended time
}

// Result is what became of a load.
type Result struct {
	Seconds  []Second               `json:"seconds"`
	Classes  map[string]ClassResult `json:"classes"`
	Tenants  map[string]Share       `json:"tenants,omitempty"` // up to maxTenants of them, after the warm-up
	Tries    int                    `json:"tries"`
	Worth    float64                `json:"worth"`
	Gained   float64                `json:"gained"`
	Late     int                    `json:"late"`       // sent late by the load tool's own fault
	Over     int                    `json:"over_bound"` // not sent, as too many were open
	Valid    bool                   `json:"valid"`
	Why      string                 `json:"why,omitempty"` // it is not
	DialFail int                    `json:"connect_failed"`
}

// Share is what one tenant asked for and got, in worth.
type Share struct{ Worth, Gained float64 }

// JainIndex is JainIndex's index of fairness over what tenants gained: 1 where all gained the same, 1/n where one gained all.
func (r Result) JainIndex() float64 {
	sum, squares := 0.0, 0.0
	for _, t := range r.Tenants {
		sum, squares = sum+t.Gained, squares+t.Gained*t.Gained
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / float64(len(r.Tenants)) / squares
}

// maxTenants bounds the tenants that are told apart.
const maxTenants = 1000

// ServiceShare is the share of the worth asked for that was answered within the aim.
func (r Result) ServiceShare() float64 {
	if r.Worth == 0 {
		return 0
	}
	return r.Gained / r.Worth
}

// Defaults are what a scenario leaves out.
func Defaults() Params {
	return Params{Shape: "poisson", Rate: 100, Burst: 0.3, BurstMS: 2000, MaxOpen: 4000, MaxRequests: 1 << 20, Keys: 2000, Zipf: 1,
		Drift: 0.005, Retries: 2, TryShare: 0.65, BackoffMS: 100, Honour: 0.85, MaxAfterMS: 1500, Connections: 64,
		DisconnectMS: [2]float64{20, 400}, LateMS: 20, LateShare: 0.02, Workers: 8, Marks: true}
}

// Check names the first parameter that is impossible, by its name in a scenario file.
func (p Params) Check() error {
	bad := func(name string, v any) error { return fmt.Errorf("load.%s: impossible value %v", name, v) }
	switch {
	case p.Shape != "poisson" && p.Shape != "bursty" && p.Shape != "trace" && p.Shape != "closed":
		return bad("shape", p.Shape)
	case p.Shape == "trace" && len(p.Trace) == 0:
		return bad("trace", p.Trace)
	case !(p.Rate > 0):
		return bad("rate", p.Rate)
	case p.Workers < 1:
		return bad("workers", p.Workers)
	case p.MaxOpen < 1:
		return bad("max_open", p.MaxOpen)
	case p.Keys < 1:
		return bad("keys", p.Keys)
	case p.Zipf < 0:
		return bad("zipf", p.Zipf)
	case p.Retries < 0:
		return bad("retries", p.Retries)
	case !(p.TryShare > 0 && p.TryShare <= 1):
		return bad("try_share", p.TryShare)
	case !(p.DisconnectShare >= 0 && p.DisconnectShare <= 1):
		return bad("disconnect_share", p.DisconnectShare)
	case !(p.DisconnectMS[0] > 0 && p.DisconnectMS[0] <= p.DisconnectMS[1]):
		return bad("disconnect_ms", p.DisconnectMS)
	case p.BurstMS <= 0:
		return bad("burst_ms", p.BurstMS)
	}
	return nil
}

// Load sends requests.
type Load struct {
	p       Params
	front   *fakes.Front
	clock   *fakes.Clock
	journal *checker.Journal
	pool    *pool

	mu      sync.Mutex // guards what follows
	rng     *rand.Rand
	keys    distuv.Categorical
	names   []string // of the keys, by rank
	classes distuv.Categorical
	zones   distuv.Categorical
	next    uint64
	seconds []Second
	hists   []*hdrhistogram.Histogram // by second; those of old seconds are folded into figures
	byClass map[string]*hdrhistogram.Histogram
	results map[string]ClassResult
	tenants map[string]Share
	tries   int
	late    int
	over    int
	began   float64
	open    int
}

// New prepares a load through a front.
func New(p Params, front *fakes.Front, clock *fakes.Clock, journal *checker.Journal) (*Load, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if len(p.Classes) == 0 {
		return nil, fmt.Errorf("class: none")
	}
	l := &Load{p: p, front: front, clock: clock, journal: journal, pool: newPool(p.Connections, clock),
		rng: rand.New(rand.NewPCG(p.Seed, 5)), byClass: map[string]*hdrhistogram.Histogram{}, results: map[string]ClassResult{}, tenants: map[string]Share{}}
	src := rand.NewPCG(p.Seed, 6)
	weights := make([]float64, p.Keys)
	l.names = make([]string, p.Keys)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -p.Zipf)
		l.names[i] = fmt.Sprintf("%016x", l.rng.Uint64())
	}
	l.keys = distuv.NewCategorical(weights, src)
	weights = nil
	for _, c := range p.Classes {
		weights = append(weights, c.Share)
		l.byClass[c.Name] = newHist()
	}
	l.classes = distuv.NewCategorical(weights, src)
	if len(p.Zones) > 0 {
		weights = nil
		for _, z := range p.Zones {
			weights = append(weights, z.Share)
		}
		l.zones = distuv.NewCategorical(weights, src)
	}
	return l, nil
}

func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) } // microseconds

// Run sends until ctx ends, then waits for what is open, and tells what became of all.
func (l *Load) Run(ctx context.Context) Result {
	l.began = l.clock.Now()
	var wg sync.WaitGroup
	done, stop := context.WithCancel(context.Background())
	var side sync.WaitGroup
	side.Go(func() { l.eachSecond(done) })
	if l.p.Shape == "closed" {
		for range l.p.Workers {
			wg.Go(func() {
				for ctx.Err() == nil && l.more() {
					l.request(l.clock.Now())
				}
			})
		}
	} else {
		l.arrivals(ctx, &wg)
	}
	wg.Wait() // each request ends by its deadline
	stop()
	side.Wait()
	l.pool.close()
	return l.result()
}

// more counts a first try, and reports false where there were enough.
func (l *Load) more() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tries < l.p.MaxRequests
}

// rate is the rate at a time from the beginning, in requests a millisecond.
func (l *Load) rate(at float64) float64 {
	switch l.p.Shape {
	case "bursty":
		if int(at/l.p.BurstMS)%2 == 0 {
			return l.p.Rate * (1 + l.p.Burst) / 1000
		}
		return l.p.Rate * (1 - l.p.Burst) / 1000
	case "trace":
		return max(l.p.Trace[int(at/1000)%len(l.p.Trace)], 1e-3) / 1000
	}
	return l.p.Rate / 1000
}

// arrivals starts requests at their times, whatever becomes of those before.
func (l *Load) arrivals(ctx context.Context, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(l.p.Seed, 7))
	at, timer := 0.0, time.NewTimer(0)
	defer timer.Stop()
	for n := 0; n < l.p.MaxRequests; n++ {
		at += rng.ExpFloat64() / l.rate(at)
		if wait := l.began + at - l.clock.Now(); wait > 0 {
			timer.Reset(time.Duration(wait * float64(time.Millisecond)))
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		} else if ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		full := l.open >= l.p.MaxOpen
		if full {
			l.over++
		} else {
			l.open++
		}
		if l.clock.Now()-l.began-at > l.p.LateMS {
			l.late++
		}
		l.mu.Unlock()
		if !full {
			intended := l.began + at
			wg.Go(func() {
				l.request(intended)
				l.mu.Lock()
				l.open--
				l.mu.Unlock()
			})
		}
	}
	<-ctx.Done()
}

// eachSecond tells of the progress and lets keys drift.
func (l *Load) eachSecond(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		l.mu.Lock()
		for range int(math.Round(l.p.Drift * float64(l.p.Keys))) {
			l.names[l.rng.IntN(len(l.names))] = fmt.Sprintf("%016x", l.rng.Uint64())
		}
		now := ProgressReport{Second: n, Tries: l.tries, Open: l.open}
		if i := n - 2; i >= 0 && i < len(l.seconds) { // the one before: most of its requests have ended
			s := l.seconds[i]
			now.Asked, now.Served, now.Refused, now.Failed, now.Worth, now.Gained = s.Asked, s.Served, s.Refused, s.Failed, s.Worth, s.Gained
			now.P50MS, now.P99MS = quantiles(l.hists[i])
		}
		l.mu.Unlock()
		if l.p.Progress != nil {
			l.p.Progress(now)
		}
	}
}

func quantiles(h *hdrhistogram.Histogram) (p50, p99 float64) {
	if h == nil || h.TotalCount() == 0 {
		return 0, 0
	}
	return float64(h.ValueAtQuantile(50)) / 1000, float64(h.ValueAtQuantile(99)) / 1000
}

// maxSeconds bounds the seconds that are told apart; what comes later counts in the last.
const maxSeconds = 7200

// record books the end of a request.
func (l *Load) record(c Class, tenant string, intended float64, end checker.Answer, answered bool) {
	took := l.clock.Now() - intended
	l.mu.Lock()
	defer l.mu.Unlock()
	i := max(0, min(int((intended-l.began)/1000), maxSeconds-1))
	for len(l.seconds) <= i {
		l.seconds, l.hists = append(l.seconds, Second{}), append(l.hists, nil)
	}
	if l.hists[i] == nil {
		l.hists[i] = hdrhistogram.New(1, 120_000_000, 2)
	}
	s, r := &l.seconds[i], l.results[c.Name]
	share, known := l.tenants[tenant]
	share.Worth += c.Worth
	defer func() {
		if intended-l.began >= l.p.FromMS && (known || tenant != "" && len(l.tenants) < maxTenants) {
			l.tenants[tenant] = share
		}
	}()
	s.Asked, r.Asked, s.Worth = s.Asked+1, r.Asked+1, s.Worth+c.Worth
	switch {
	case answered && end == checker.Served:
		s.Served, r.Served = s.Served+1, r.Served+1
		us := int64(min(took*1000, 119e6))
		_ = l.hists[i].RecordValue(us) // within the bound
		_ = l.byClass[c.Name].RecordValue(us)
		if took <= c.AimMS {
			s.InAim, r.InAim, s.Gained = s.InAim+1, r.InAim+1, s.Gained+c.Worth
			share.Gained += c.Worth
		}
	case answered && end == checker.Refused:
		s.Refused, r.Refused = s.Refused+1, r.Refused+1
	default:
		s.Failed, r.Failed = s.Failed+1, r.Failed+1
	}
	l.results[c.Name] = r
}

func (l *Load) result() Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	res := Result{Seconds: l.seconds, Classes: l.results, Tenants: l.tenants, Tries: l.tries, Late: l.late, Over: l.over, Valid: true, DialFail: l.pool.failed()}
	asked := 0
	for i := range res.Seconds {
		s := &res.Seconds[i]
		s.P50MS, s.P99MS = quantiles(l.hists[i])
		res.Worth, res.Gained, asked = res.Worth+s.Worth, res.Gained+s.Gained, asked+s.Asked
	}
	for name, r := range res.Classes {
		h := l.byClass[name]
		r.P50MS, r.P99MS = quantiles(h)
		r.P90MS, r.MaxMS = float64(h.ValueAtQuantile(90))/1000, float64(h.Max())/1000
		res.Classes[name] = r
	}
	switch {
	case l.over > 0:
		res.Valid, res.Why = false, fmt.Sprintf("%d requests were not sent: load.max_open = %d were open", l.over, l.p.MaxOpen)
	case asked > 0 && float64(l.late) > l.p.LateShare*float64(asked):
		res.Valid, res.Why = false, fmt.Sprintf("the load tool was the bottleneck: %d of %d requests were sent over %.0f ms late", l.late, asked, l.p.LateMS)
	}
	return res
}

// Keys are the keys asked for, the most popular first.
func (l *Load) Keys() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.names)
}
