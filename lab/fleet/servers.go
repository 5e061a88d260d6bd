package fleet

import (
	"fmt"
	"slices"

	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/load"
	"dockhinge.example/dockhinge/lab/model"
	"dockhinge.example/dockhinge/lab/scenario"
)

// maxMissed bounds the reads whose misses are remembered.
const maxMissed = 1 << 14

// connIdleMS is how long a cache server keeps an idle connection.
const connIdleMS = 10000

// build starts the fake origin, cache servers and discovery.
func (fl *Fleet) build() (err error) {
	f := fl.File
	if fl.origin, err = fakes.Start(fakes.LoopbackHost(fakes.Servers)+":0",
		fakes.Options{ID: "s-0000ffff", Model: f.Origin, Seed: f.Seed + 1, Clock: fl.clock,
			Journal: fl.journal, Work: fl.requestWork, OnComplete: fl.storeOriginAnswer}); err != nil {
		return err
	}
	known := []model.Entry{{ID: fl.origin.ID(), Addr: fl.origin.Addr(), Zone: f.Fleet.Zones[0],
		Kind: "origin", State: "active", Weight: 1}}
	for _, k := range f.Kinds {
		for range k.Count {
			m, err := fl.newMember(k, false)
			if err != nil {
				return err
			}
			known = append(known, m.entry)
		}
	}
	fl.discovery = fakes.NewDiscovery(f.Discovery, f.Seed, known, fl.clock, fl.journal)
	return nil
}

// newMember starts a cache server, as one that has run for a long time or as a cold new process.
func (fl *Fleet) newMember(k scenario.Kind, cold bool) (*member, error) {
	fl.mu.Lock()
	n := fl.serversStarted
	fl.serversStarted++
	fl.mu.Unlock()
	zones := fl.File.Fleet.Zones
	if k.Model.MeanWork == 0 {
		k.Model.MeanWork = fl.meanWork()
	}
	s, err := fakes.Start(fakes.LoopbackHost(fakes.Servers)+":0",
		fakes.Options{ID: fmt.Sprintf("s-%08x", 0x1000+n*0x9e37%0xe000), Model: k.Model,
			Seed:  fl.File.Seed + uint64(n)*7 + 100,
			Clock: fl.clock, Journal: fl.journal, Work: fl.requestWork, OnComplete: fl.recordMiss,
			Probes: fl.File.Fleet.Probes, IdleMS: connIdleMS})
	if err != nil {
		return nil, err
	}
	m := &member{Server: s, entry: model.Entry{ID: s.ID(), Addr: s.Addr(), Zone: zones[n%len(zones)], Kind: k.Name,
		Cell: n % max(1, fl.File.Fleet.Cells), State: "active", Weight: 1}}
	if cold {
		m.entry.Started = fl.clock.Unix(fl.clock.Now())
		if err := s.Restart(); err != nil {
			s.Close()
			return nil, err
		}
	}
	fl.mu.Lock()
	fl.members = append(fl.members, m)
	fl.mu.Unlock()
	return m, nil
}

// requestWork returns the work and the size of a request. The work depends only on class and ID, so
// that each attempt costs the same.
func (fl *Fleet) requestWork(id, key, class string) (float64, int) {
	for _, c := range fl.File.Classes {
		if c.Name == class {
			return load.RequestWorkMillis(c, id), load.ValueBytes(c, key)
		}
	}
	return 1, 1
}

// meanWork returns the mean work of a request over all classes, in milliseconds.
func (fl *Fleet) meanWork() float64 {
	work, share := 0.0, 0.0
	for _, c := range fl.File.Classes {
		work += c.Share * c.WorkMS
		share += c.Share
	}
	return ratio(work, share)
}

// recordMiss remembers the servers at which a read missed.
func (fl *Fleet) recordMiss(s *fakes.Server, _, id string, o model.Outcome, _ bool, _ int) {
	if o != model.Missed && o != model.Fetching {
		return
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	servers, _ := fl.missedReads.Get(id)
	fl.missedReads.Add(id, append(slices.Clip(servers), s))
}

// storeOriginAnswer stores the origin's answer to a read at up to two of the servers that missed
// it. After a write, it deletes the key from all servers.
func (fl *Fleet) storeOriginAnswer(_ *fakes.Server, key, id string, o model.Outcome, write bool, size int) {
	if o != model.Served {
		return
	}
	fl.mu.Lock()
	servers, _ := fl.missedReads.Get(id)
	fl.missedReads.Remove(id)
	if write {
		servers = nil
		for _, m := range fl.members {
			servers = append(servers, m.Server)
		}
	}
	fl.mu.Unlock()
	for i, s := range servers {
		if write {
			s.Invalidate(key)
		} else if i < 2 {
			s.Store(key, size)
		}
	}
}

// warmCaches fills the caches as in a fleet that has run for a long time: each key at two random
// servers.
func (fl *Fleet) warmCaches(l *load.Load) {
	if !fl.File.Fleet.Warm {
		return
	}
	reads := fl.File.Classes[0]
	for _, key := range slices.Backward(l.Keys()) { // the most popular keys last, as the most recently used
		for range 2 {
			fl.members[fl.rng.IntN(len(fl.members))].Store(key, load.ValueBytes(reads, key))
		}
	}
}
