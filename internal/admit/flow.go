package admit

import (
	"encoding/binary"

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
	n := len(cfg.Named) + cfg.Flows + cfg.Buckets + 1
	a := &Admission{cfg: cfg, host: host, rng: newRand(seed), flows: make([]flow, n), named: map[string]int32{},
		exact: make(map[uint64]int32, cfg.Flows), oldest: none, newest: none, nodes: make([]node, records), byID: make(map[uint32]int32, records),
		expiry: newHeap(records), promises: make([]promise, cfg.Promises), pfind: make(map[uint64]int32, cfg.Promises), pexpiry: newHeap(cfg.Promises),
		limit: cfg.Start, began: -1, heed: 1}
	a.salt = a.rng.Uint64()
	a.top.ready, a.in.ready = newHeap(n), newHeap(n)
	for i := range a.flows {
		f := &a.flows[i]
		*f = flow{head: [2]int32{none, none}, tail: [2]int32{none, none}, weight: 1, older: none, newer: none, tokens: cfg.RetryBurst}
		switch {
		case i < len(cfg.Named):
			f.used, f.weight = true, cfg.Named[i].Weight
			f.rename(cfg.Named[i].Name)
			a.named[cfg.Named[i].Name] = int32(i)
		case i < n-1:
			f.inner = true
			if i < len(cfg.Named)+cfg.Flows {
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
			if f := &a.flows[try]; f.waiting == 0 && f.promised <= 0 && f.finish <= a.in.v {
				i = try
				delete(a.exact, f.hash)
				a.unlink(i)
				break
			}
			try = a.flows[try].newer
		}
	}
	if i == none {
		return int32(len(a.cfg.Named) + a.cfg.Flows + int(identity(h, a.salt, 0)%uint64(a.cfg.Buckets))), h
	}
	f := &a.flows[i]
	f.hash, f.used, f.finish, f.promised, f.tokens, f.count = h, true, 0, 0, min(a.cfg.RetryBurst, newTokens), Count{}
	f.rename(tenant)
	a.exact[h] = i
	a.link(i)
	return i, h
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
