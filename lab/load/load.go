// Package load generates the clients' requests, at a given rate (open loop) or one after the other
// (closed loop). Latency counts from the intended send time, so that a slow router can't hide its
// latency by slowing down the clients.
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

// Class describes one class of requests.
type Class struct {
	Name     string     `toml:"name"`
	Share    float64    `toml:"share"`     // share of the requests; shares need not sum to 1
	Effect   string     `toml:"effect"`    // repeatable, by_key or once
	Scope    string     `toml:"scope"`     // by_key: all, zone or cell
	WindowMS float64    `toml:"window_ms"` // by_key
	Write    bool       `toml:"write"`
	AimMS    float64    `toml:"aim_ms"`
	LimitMS  float64    `toml:"deadline_ms"` // deadline over all tries of a request
	Worth    float64    `toml:"worth"`
	WorkMS   float64    `toml:"work_ms"` // mean work, on a core of speed 1
	WorkCV   float64    `toml:"work_cv"` // coefficient of variation of the lognormal work
	Bytes    [2]float64 `toml:"bytes"`   // range of value sizes, log-uniformly distributed
}

// Params describes a load.
type Params struct {
	Shape       string    `toml:"shape"`        // poisson, bursty, trace or closed
	Rate        float64   `toml:"rate"`         // requests per second; of a trace, its mean
	Burst       float64   `toml:"burst"`        // bursty: share by which the rate alternates above and below Rate,
	BurstMS     float64   `toml:"burst_ms"`     // for this long each
	Trace       []float64 `toml:"trace"`        // rates for each second, repeated
	Workers     int       `toml:"workers"`      // closed: number of clients, each with one request at a time
	MaxOpen     int       `toml:"max_open"`     // maximum number of open requests; more make the run invalid
	MaxRequests int       `toml:"max_requests"` // maximum number of first tries
	Keys        int       `toml:"keys"`         // number of keys at a time,
	Zipf        float64   `toml:"zipf"`         // requested with this Zipf exponent,
	Drift       float64   `toml:"drift"`        // of which this share is replaced each second
	Retries     int       `toml:"retries"`      // maximum number of tries after the first
	TryShare    float64   `toml:"try_share"`    // timeout of a try but the last, as a share of the remaining time
	BackoffMS   float64   `toml:"backoff_ms"`   // pause before a further try, doubled each time, jittered by half
	Honour      float64   `toml:"honour"`       // share of clients that obey the retry delay in a refusal,
	MaxAfterMS  float64   `toml:"max_after_ms"` // if it is no longer than this
	Tenants     int       `toml:"tenants"`      // number of tenants; 0 = requests name no tenant
	Bully       float64   `toml:"bully"`        // share of the first tenant's requests; the others share the rest
	Connections int       `toml:"connections"`  // maximum number of idle connections to each router
	Reconnect   float64   `toml:"reconnect"`    // share of requests after which the connection is closed
	// DisconnectShare is the share of tries whose client closes its connection after a time within
	// DisconnectMS, and does not retry.
	DisconnectShare float64    `toml:"disconnect_share"`
	DisconnectMS    [2]float64 `toml:"disconnect_ms"` // range, uniformly distributed
	// LargeWriteBytesS is the rate in bytes a second at which half of the clients write values of over
	// 64 KiB; 0 = all write at once.
	LargeWriteBytesS float64              `toml:"large_write_bytes_s,omitempty"`
	LateMS           float64              `toml:"late_ms"`     // delay of a send that makes a request late;
	LateShare        float64              `toml:"late_share"`  // a larger share of late ones makes the run invalid
	Classes          []Class              `toml:"-"`           // the scenario's
	Zones            []Zone               `toml:"-"`           // zones of the clients; none = any router
	Seed             uint64               `toml:"-"`           // the scenario's
	Progress         func(ProgressReport) `toml:"-" json:"-"`  // called each second
	FromMS           float64              `toml:"-"`           // end of the warm-up, which doesn't count for tenants
	Marks            bool                 `toml:"marks_retry"` // further tries carry r=1
}

// Zone is a zone of clients with its share of the requests.
type Zone struct {
	Name  string
	Share float64
}

// ProgressReport is the state of a running load.
type ProgressReport struct {
	Second                                int
	Asked, Served, Refused, Failed, Tries int // first tries in this second, and their outcomes
	Open                                  int
	Worth, Gained                         float64
	P50MS, P99MS                          float64
}

// Second counts the requests whose intended send time is in one second.
type Second struct {
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`  // within the latency aim or not
	InAim   int     `json:"in_aim"`  // within the latency aim
	Refused int     `json:"refused"` // refused at the last try
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`  // total worth of the requests
	Gained  float64 `json:"gained"` // worth of the requests answered within the aim
	P50MS   float64 `json:"p50_ms"` // of the served requests
	P99MS   float64 `json:"p99_ms"`
}

// ClassResult counts the requests of a class by outcome.
type ClassResult struct {
	Asked, Served, InAim, Refused, Failed int
	P50MS, P90MS, P99MS, MaxMS            float64 // latency of the served requests, from the intended time
}

// Result is the result of a load.
type Result struct {
	Seconds  []Second               `json:"seconds"`
	Classes  map[string]ClassResult `json:"classes"`
	Tenants  map[string]Share       `json:"tenants,omitempty"` // up to maxTenants, after the warm-up
	Tries    int                    `json:"tries"`
	Worth    float64                `json:"worth"`
	Gained   float64                `json:"gained"`
	Late     int                    `json:"late"`          // requests that the load tool sent late
	Over     int                    `json:"over_bound"`    // requests not sent because MaxOpen were open
	Valid    bool                   `json:"valid"`         // false where the load tool was the bottleneck
	Why      string                 `json:"why,omitempty"` // the reason if it is not valid
	DialFail int                    `json:"connect_failed"`
}

// Share is the worth that one tenant requested and gained.
type Share struct{ Worth, Gained float64 }

// JainIndex returns Jain's fairness index over the tenants' gained worth: 1 if all gained the same, 1/n
// if one gained all.
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

// maxTenants limits the tenants that are counted separately.
const maxTenants = 1000

// ServiceShare returns the share of the requested worth that was answered within the aim.
func (r Result) ServiceShare() float64 {
	if r.Worth == 0 {
		return 0
	}
	return r.Gained / r.Worth
}

// Defaults returns the parameters that apply where a scenario sets none.
func Defaults() Params {
	return Params{Shape: "poisson", Rate: 100, Burst: 0.3, BurstMS: 2000,
		MaxOpen: 4000, MaxRequests: 1 << 20, Keys: 2000, Zipf: 1,
		Drift: 0.005, Retries: 2, TryShare: 0.65, BackoffMS: 100, Honour: 0.85, MaxAfterMS: 1500, Connections: 64,
		DisconnectMS: [2]float64{20, 400}, LateMS: 20, LateShare: 0.02, Workers: 8, Marks: true}
}

// Check returns an error for the first impossible parameter, with its name in a scenario file.
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

// Load sends requests and counts their outcomes.
type Load struct {
	p       Params
	front   *fakes.Front
	clock   *fakes.Clock
	journal *checker.Journal
	pool    *pool

	mu         sync.Mutex // guards what follows
	rng        *rand.Rand
	keys       distuv.Categorical
	keyNames   []string // the keys by rank
	classes    distuv.Categorical
	zones      distuv.Categorical
	next       uint64
	seconds    []Second
	histograms []*hdrhistogram.Histogram // latencies by second
	byClass    map[string]*hdrhistogram.Histogram
	results    map[string]ClassResult
	tenants    map[string]Share
	tries      int
	late       int
	notSent    int
	beganAt    float64
	open       int
}

// New returns a load that sends its requests through a front. Run starts it.
func New(p Params, front *fakes.Front, clock *fakes.Clock, journal *checker.Journal) (*Load, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if len(p.Classes) == 0 {
		return nil, fmt.Errorf("class: at least one is required")
	}
	l := &Load{p: p, front: front, clock: clock, journal: journal, pool: newPool(p.Connections, clock),
		rng: rand.New(rand.NewPCG(p.Seed, 5)), byClass: map[string]*hdrhistogram.Histogram{},
		results: map[string]ClassResult{}, tenants: map[string]Share{}}
	source := rand.NewPCG(p.Seed, 6)
	weights := make([]float64, p.Keys)
	l.keyNames = make([]string, p.Keys)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -p.Zipf)
		l.keyNames[i] = fmt.Sprintf("%016x", l.rng.Uint64())
	}
	l.keys = distuv.NewCategorical(weights, source)
	weights = nil
	for _, c := range p.Classes {
		weights = append(weights, c.Share)
		l.byClass[c.Name] = newHistogram()
	}
	l.classes = distuv.NewCategorical(weights, source)
	if len(p.Zones) > 0 {
		weights = nil
		for _, z := range p.Zones {
			weights = append(weights, z.Share)
		}
		l.zones = distuv.NewCategorical(weights, source)
	}
	return l, nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) } // microseconds

// Run sends requests until ctx ends, waits for the open ones, and returns the result.
func (l *Load) Run(ctx context.Context) Result {
	l.beganAt = l.clock.Now()
	var wg sync.WaitGroup
	done, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { l.eachSecond(done) })
	if l.p.Shape == "closed" {
		for range l.p.Workers {
			wg.Go(func() {
				for ctx.Err() == nil && l.hasTriesLeft() {
					l.request(l.clock.Now())
				}
			})
		}
	} else {
		l.sendOpenLoop(ctx, &wg)
	}
	wg.Wait() // each request ends by its deadline
	stop()
	background.Wait()
	l.pool.close()
	return l.result()
}

// hasTriesLeft reports whether fewer tries than MaxRequests were made.
func (l *Load) hasTriesLeft() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tries < l.p.MaxRequests
}

// rate returns the rate at a time since the start, in requests per millisecond.
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

// sendOpenLoop starts each request at its intended time, whether or not earlier ones have ended.
func (l *Load) sendOpenLoop(ctx context.Context, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(l.p.Seed, 7))
	at, timer := 0.0, time.NewTimer(0)
	defer timer.Stop()
	for n := 0; n < l.p.MaxRequests; n++ {
		at += rng.ExpFloat64() / l.rate(at)
		if wait := l.beganAt + at - l.clock.Now(); wait > 0 {
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
			l.notSent++
		} else {
			l.open++
		}
		if l.clock.Now()-l.beganAt-at > l.p.LateMS {
			l.late++
		}
		l.mu.Unlock()
		if !full {
			intended := l.beganAt + at
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

// eachSecond reports the progress and replaces a share of the keys each second.
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
			l.keyNames[l.rng.IntN(len(l.keyNames))] = fmt.Sprintf("%016x", l.rng.Uint64())
		}
		now := ProgressReport{Second: n, Tries: l.tries, Open: l.open}
		if i := n - 2; i >= 0 && i < len(l.seconds) { // the second before: most of its requests have ended
			s := l.seconds[i]
			now.Asked, now.Served, now.Refused, now.Failed, now.Worth, now.Gained =
				s.Asked, s.Served, s.Refused, s.Failed, s.Worth, s.Gained
			now.P50MS, now.P99MS = quantiles(l.histograms[i])
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

// maxSeconds limits the seconds that are counted separately; later requests count in the last one.
const maxSeconds = 7200

// record counts a request with its outcome.
func (l *Load) record(c Class, tenant string, intended float64, end checker.Answer, answered bool) {
	took := l.clock.Now() - intended
	l.mu.Lock()
	defer l.mu.Unlock()
	i := max(0, min(int((intended-l.beganAt)/1000), maxSeconds-1))
	for len(l.seconds) <= i {
		l.seconds, l.histograms = append(l.seconds, Second{}), append(l.histograms, nil)
	}
	if l.histograms[i] == nil {
		l.histograms[i] = hdrhistogram.New(1, 120_000_000, 2)
	}
	s, r := &l.seconds[i], l.results[c.Name]
	share, known := l.tenants[tenant]
	share.Worth += c.Worth
	defer func() {
		if intended-l.beganAt >= l.p.FromMS && (known || tenant != "" && len(l.tenants) < maxTenants) {
			l.tenants[tenant] = share
		}
	}()
	s.Asked, r.Asked, s.Worth = s.Asked+1, r.Asked+1, s.Worth+c.Worth
	switch {
	case answered && end == checker.Served:
		s.Served, r.Served = s.Served+1, r.Served+1
		micros := int64(min(took*1000, 119e6))
		_ = l.histograms[i].RecordValue(micros) // within the histogram's range
		_ = l.byClass[c.Name].RecordValue(micros)
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
	res := Result{Seconds: l.seconds, Classes: l.results, Tenants: l.tenants, Tries: l.tries,
		Late: l.late, Over: l.notSent, Valid: true, DialFail: l.pool.dialFailureCount()}
	asked := 0
	for i := range res.Seconds {
		s := &res.Seconds[i]
		s.P50MS, s.P99MS = quantiles(l.histograms[i])
		res.Worth, res.Gained, asked = res.Worth+s.Worth, res.Gained+s.Gained, asked+s.Asked
	}
	for name, r := range res.Classes {
		h := l.byClass[name]
		r.P50MS, r.P99MS = quantiles(h)
		r.P90MS, r.MaxMS = float64(h.ValueAtQuantile(90))/1000, float64(h.Max())/1000
		res.Classes[name] = r
	}
	switch {
	case l.notSent > 0:
		res.Valid, res.Why = false, fmt.Sprintf("%d requests were not sent: load.max_open = %d were open",
			l.notSent, l.p.MaxOpen)
	case asked > 0 && float64(l.late) > l.p.LateShare*float64(asked):
		res.Valid, res.Why = false, fmt.Sprintf(
			"the load tool was the bottleneck: %d of %d requests were sent over %.0f ms late",
			l.late, asked, l.p.LateMS)
	}
	return res
}

// Keys returns the present keys, the most popular first.
func (l *Load) Keys() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.keyNames)
}
