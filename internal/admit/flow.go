package admit

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

// New returns an Admission, or an error that names the setting that is impossible. All memory is taken here.
func New(cfg Config, seed uint64, host Host) (*Admission, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	// A request in work needs a record too: as many as the limit on concurrency allows, beside those that wait. What
	// costs less than the mean may stand there in greater number; beyond the records a request is refused.
	records := cfg.Queue + 2*int(cfg.Most)
	n := mostNamed + cfg.Flows + cfg.Buckets + 1
	a := &Admission{cfg: cfg, host: host, rng: rand.New(rand.NewPCG(seed, 11)), flows: make([]flow, n), named: map[string]int32{},
		exact: make(map[uint64]int32, cfg.Flows), oldest: none, newest: none, nodes: make([]node, records), byID: make(map[uint32]int32, records),
		expiry: newHeap(records), promises: make([]promise, cfg.Promises), pfind: make(map[uint64]int32, cfg.Promises), pexpiry: newHeap(cfg.Promises),
		limit: cfg.Start, began: -1, heed: 1}
	a.salt = a.rng.Uint64()
	a.top.ready, a.in.ready, a.top.long, a.in.long, a.sure = newHeap(n), newHeap(n), newHeap(n), newHeap(n), newHeap(n)
	for i := range a.flows {
		f := &a.flows[i]
		*f = flow{weight: 1, older: none, newer: none}
		for l := range lists {
			f.head[l], f.tail[l] = none, none
		}
		switch {
		case i < mostNamed:
			if i < len(cfg.Named) {
				a.name(int32(i), cfg.Named[i])
			}
		case i < n-1:
			f.inner = true
			if f.tokens = cfg.RetryBurst; i < mostNamed+cfg.Flows {
				a.free = append(a.free, int32(i))
			}
		default:
			f.weight = cfg.OthersWeight
		}
	}
	for i := range a.nodes {
		a.spare = append(a.spare, int32(len(a.nodes)-1-i))
	}
	for i := range a.promises {
		a.pspare = append(a.pspare, int32(len(a.promises)-1-i))
	}
	a.usual, a.work, a.mean = make([]float64, len(cfg.Classes)), make([]float64, len(cfg.Classes)), cfg.Classes[0].Cost
	a.high = a.limit
	return a, nil
}

// name gives a flow to a tenant that the operator names.
func (a *Admission) name(i int32, t Tenant) {
	f := &a.flows[i]
	f.used, f.weight, f.tokens, f.sureAt = true, t.Weight, a.cfg.RetryBurst, a.now
	f.guarantee(t)
	f.sure = f.burst
	f.rename(t.Name)
	a.named[t.Name] = i
}

// guarantee sets what goes ahead of all shares.
func (f *flow) guarantee(t Tenant) {
	if f.rate, f.burst = t.Rate/1000, t.Burst; t.Rate == 0 {
		f.burst = 0
	}
	f.sure = min(f.sure, f.burst)
}

// Check tells which setting of cfg can't hold from now on: sizes are those that were taken at the start.
func (a *Admission) Check(cfg Config) error {
	cfg.Classes = a.cfg.Classes // the platform's; what a reload brings counts as others
	if err := cfg.Validate(); err != nil {
		return err
	}
	for _, v := range []struct {
		name    string
		is, was float64
	}{
		{"flows", float64(cfg.Flows), float64(a.cfg.Flows)}, {"buckets", float64(cfg.Buckets), float64(a.cfg.Buckets)},
		{"queue", float64(cfg.Queue), float64(a.cfg.Queue)}, {"promises", float64(cfg.Promises), float64(a.cfg.Promises)},
		{"most", cfg.Most, a.cfg.Most}, {"start", cfg.Start, a.cfg.Start},
	} {
		if v.is != v.was {
			return &Error{v.name, fmt.Sprintf("%v, was %v: this takes a new process", v.is, v.was)}
		}
	}
	// A tenant that is named no longer keeps its place until nothing of it is waiting or in work.
	need, free := 0, 0
	for _, t := range cfg.Named {
		if _, ok := a.named[t.Name]; !ok {
			need++
		}
	}
	still := map[string]bool{}
	for _, t := range cfg.Named {
		still[t.Name] = true
	}
	for i := range mostNamed {
		f := &a.flows[i]
		if !f.used || f.idle() && !still[f.tenant()] {
			free++
		}
	}
	if need > free {
		return &Error{"tenant", fmt.Sprintf("%d new ones, and %d places while requests of old ones are open", need, free)}
	}
	return nil
}

// Reconfigure has new rules hold for requests that come from now on. What waits keeps its place and its time; a tenant's
// new weight counts for its next turn. The error is Check's, and nothing has changed then.
func (a *Admission) Reconfigure(now float64, cfg Config) error {
	if err := a.Check(cfg); err != nil {
		return err
	}
	a.begin(now)
	cfg.Classes = a.cfg.Classes
	rules := map[string]Tenant{}
	for _, t := range cfg.Named {
		rules[t.Name] = t
	}
	for i := range int32(mostNamed) {
		f := &a.flows[i]
		t, ok := rules[f.tenant()]
		switch {
		case !f.used:
		case ok:
			a.reweigh(i, t.Weight)
			f.refill(a.now)
			f.guarantee(t)
			if a.named[t.Name] != i { // named again before all of it had gone
				a.named[t.Name] = i
			}
		default:
			delete(a.named, f.tenant())
			f.guarantee(Tenant{})
			a.retire(i)
		}
	}
	for i, next := 0, int32(0); i < len(cfg.Named); i++ {
		if _, ok := a.named[cfg.Named[i].Name]; ok {
			continue
		}
		for a.flows[next].used {
			next++
		}
		f := &a.flows[next]
		f.finish, f.promised, f.count = 0, 0, Count{}
		a.name(next, cfg.Named[i])
		if x, ok := a.exact[xxhash.Sum64String(cfg.Named[i].Name)]; ok { // what it asked for as one of the others
			f.count = a.flows[x].count
			a.flows[x].count = Count{}
		}
	}
	a.reweigh(a.others(), cfg.OthersWeight)
	a.cfg = cfg
	a.limit = min(a.cfg.Most, max(a.cfg.Least, a.limit))
	a.pump()
	return nil
}

// retire frees the place of a tenant that is named no longer, once nothing of it is left.
func (a *Admission) retire(i int32) {
	f := &a.flows[i]
	if i < mostNamed && f.used && f.idle() {
		if j, ok := a.named[f.tenant()]; !ok || j != i {
			f.used = false
		}
	}
}

// reweigh changes a flow's weight, in the sums too.
func (a *Admission) reweigh(i int32, weight float64) {
	f := &a.flows[i]
	active := f.active()
	if i == a.others() {
		active = a.in.weights > 0
	}
	if active {
		a.top.weights += weight - f.weight
	}
	if f.weight = weight; i != a.others() && a.top.long.has(i) {
		a.top.long.set(i, -f.backlog/weight)
	}
}

func (f *flow) tenant() string { return string(f.name[:f.nameLen]) }

// idle tells that a flow has nothing open and nothing promised.
func (f *flow) idle() bool { return f.open == 0 && f.promised <= 0 }

// refill brings the guaranteed requests in hand up to now.
func (f *flow) refill(now float64) {
	f.sure = min(f.burst, f.sure+f.rate*max(0, now-f.sureAt))
	f.sureAt = now
}

func (f *flow) rename(name string) { f.nameLen = uint8(copy(f.name[:], name)) }

// others is the flow that stands at the top for all tenants that are not named.
func (a *Admission) others() int32 { return int32(len(a.flows) - 1) }

// find gives the flow of a tenant: its own where it is named, is known or there is room to know it, else a bucket's. The
// tenant that was used longest ago gives way, unless it has something waiting, was told to come back, or is in debt:
// nobody sheds a debt by being forgotten.
func (a *Admission) find(tenant string) (flow int32, h uint64) {
	h = xxhash.Sum64String(tenant)
	if i, ok := a.named[tenant]; ok {
		return i, h
	}
	if i, ok := a.exact[h]; ok {
		a.touch(i)
		return i, h
	}
	i := none
	if n := len(a.free); n > 0 {
		i, a.free = a.free[n-1], a.free[:n-1]
	} else {
		try := a.oldest
		for range 4 {
			if try == none {
				break
			}
			if f := &a.flows[try]; f.idle() && f.finish <= a.in.v {
				i = try
				delete(a.exact, f.hash)
				a.unlink(i)
				break
			}
			try = a.flows[try].newer
		}
	}
	if i == none {
		return int32(mostNamed + a.cfg.Flows + int(identity(h, a.salt, 0)%uint64(a.cfg.Buckets))), h
	}
	f := &a.flows[i]
	f.given, f.hash, f.used, f.finish, f.promised, f.tokens, f.count = 0, h, true, 0, 0, min(a.cfg.RetryBurst, newTokens), Count{}
	f.rename(tenant)
	a.exact[h] = i
	a.link(i)
	return i, h
}

// Bytes is what the tables take, in bytes, whatever comes.
func (a *Admission) Bytes() int {
	heaps := []*heap{&a.top.ready, &a.in.ready, &a.top.long, &a.in.long, &a.sure, &a.expiry, &a.pexpiry}
	n := int(unsafe.Sizeof(*a)) + len(a.flows)*int(unsafe.Sizeof(flow{})) + len(a.nodes)*int(unsafe.Sizeof(node{})+4) +
		len(a.promises)*int(unsafe.Sizeof(promise{})+4)
	for _, h := range heaps {
		n += len(h.pos) * 16
	}
	// A map takes some 20 bytes an entry of 12 or 16, at the size it was made for, and up to twice that where it has had to grow.
	return n + 30*(a.cfg.Flows+len(a.nodes)+len(a.promises))
}

// identity is one number for three.
func identity(x, y, z uint64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], x)
	binary.LittleEndian.PutUint64(b[8:], y)
	binary.LittleEndian.PutUint64(b[16:], z)
	return xxhash.Sum64(b[:])
}

func (a *Admission) touch(i int32) {
	if a.newest != i {
		a.unlink(i)
		a.link(i)
	}
}

func (a *Admission) link(i int32) {
	f := &a.flows[i]
	f.older, f.newer = a.newest, none
	if a.newest != none {
		a.flows[a.newest].newer = i
	} else {
		a.oldest = i
	}
	a.newest = i
}

func (a *Admission) unlink(i int32) {
	f := &a.flows[i]
	if f.older != none {
		a.flows[f.older].newer = f.newer
	} else {
		a.oldest = f.newer
	}
	if f.newer != none {
		a.flows[f.newer].older = f.older
	} else {
		a.newest = f.older
	}
}
