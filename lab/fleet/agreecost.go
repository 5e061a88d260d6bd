package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/scenario"
)

// AgreeCost is what coordinators cost with so many clients.
type AgreeCost struct {
	Clients, Leases int
	Opened          time.Duration // until all had a session
	Idle            AgreeUse      // while all only keep their sessions
	Busy            AgreeUse      // while a share of them acquires and releases in a closed loop
	PerS            float64       // commands carried out, busy
	P50, P99        time.Duration // of those
	IdleBytes       float64       // a second and client, bodies of keep-alives and answers
	Failed          int
	Refused         int    // clients that had no session within the patience,
	Why             string // and what one of them was told
}

// AgreeUse is what the leader and the busiest other use.
type AgreeUse struct {
	LeaderCPU, OtherCPU float64 // of a core
	LeaderMB, OtherMB   float64
	FsyncP50, FsyncP99  float64 // ms, the leader's
}

// calm starts coordinators without faults.
func calm(ctx context.Context, coordinators int, o AgreeOptions) (*agreement, error) {
	return calmWith(ctx, coordinators, 8192, o)
}

// calmWith starts coordinators that make a snapshot so often.
func calmWith(ctx context.Context, coordinators, snapshotEach int, o AgreeOptions) (*agreement, error) {
	f, err := scenario.LoadAgreement("leases")
	if err != nil {
		return nil, err
	}
	f.Coordinators, f.Holders, f.Seed, f.ClockRate, f.SnapshotEach = coordinators, 1, 3, coord.DefaultClockRateBound, snapshotEach // no slow disk, no stepping clock that matters
	a := newAgreement(f, o, 1)
	if err := a.build(); err != nil {
		a.close()
		return nil, err
	}
	for _, c := range a.coords {
		c.env = o.Env
	}
	a.holders, a.resource = nil, nil
	if err := a.begin(ctx); err != nil {
		a.close()
		return nil, err
	}
	if err := a.upgrade(ctx, cmp.Or(o.Version, coord.Version)); err != nil {
		a.close()
		return nil, err
	}
	return a, nil
}

// upgrade has the commands and bounds of a version in force.
func (a *agreement) upgrade(ctx context.Context, version int) error {
	return until(ctx, 20*time.Second, func() error {
		l, err := a.leader(ctx)
		if err != nil {
			return err
		}
		var answer coord.Response
		if err := client.Call(ctx, http.MethodPost, l.api, "/v1/upgrade", coord.Command{TargetVersion: version}, &answer); err != nil {
			return err
		}
		if answer.Code != coord.CodeOK {
			return answer
		}
		return nil
	})
}

// use measures the coordinators over a time.
func (a *agreement) use(ctx context.Context, over time.Duration) (u AgreeUse, err error) {
	l, err := a.leader(ctx)
	if err != nil {
		return u, err
	}
	before := map[string]Use{}
	for _, c := range a.coords {
		if before[c.name], err = ProcessUse(c.cmd.Process.Pid); err != nil {
			return u, err
		}
	}
	wait(ctx, over.Seconds())
	for _, c := range a.coords {
		now, err := ProcessUse(c.cmd.Process.Pid)
		if err != nil {
			return u, err
		}
		cpu := (now.CPUMS - before[c.name].CPUMS) / over.Seconds() / 1000
		if c == l {
			u.LeaderCPU, u.LeaderMB = cpu, now.RSSMB
		} else {
			u.OtherCPU, u.OtherMB = max(u.OtherCPU, cpu), max(u.OtherMB, now.RSSMB)
		}
	}
	s, err := l.status(ctx)
	u.FsyncP50, u.FsyncP99 = s.FsyncP50Millis, s.FsyncP99Millis
	return u, err
}

func (a *agreement) addresses() map[string]string {
	all := map[string]string{}
	for _, c := range a.coords {
		all[c.name] = c.api
	}
	return all
}

// MeasureAgreement plays so many clients that hold so many leases in all before coordinators without faults.
func MeasureAgreement(ctx context.Context, coordinators, clients, leases int, o AgreeOptions) (m AgreeCost, err error) {
	m.Clients, m.Leases = clients, leases
	if err := EnoughDescriptors(clients); err != nil {
		return m, err
	}
	a, err := calm(ctx, coordinators, o)
	if err != nil {
		return m, err
	}
	defer a.close()
	var wg sync.WaitGroup
	defer wg.Wait()
	run, end := context.WithCancel(ctx)
	defer end()
	all := make([]*client.Client, clients)
	for i := range all {
		all[i] = client.New(client.Options{Coordinators: a.addresses(), ClientName: fmt.Sprintf("r%d", i), TTL: 10 * time.Second})
		wg.Go(func() { all[i].Run(run) })
	}
	began := time.Now()
	var mu sync.Mutex
	var held sync.WaitGroup
	patience, endPatience := context.WithTimeout(ctx, opensWithin)
	defer endPatience()
	for i := range clients { // each takes its share of the leases
		held.Go(func() {
			for n := i; n < max(leases, clients); n += clients {
				if n >= leases { // one that holds none waits for its session all the same
					_, err := all[i].Acquire(patience, "nobody's", "", time.Minute) // refused: longer than the session
					m.refused(&mu, err)
					break
				}
				if _, err := all[i].Acquire(patience, fmt.Sprintf("lease-%d", n), "", 10*time.Second); err != nil {
					mu.Lock()
					m.Failed++
					mu.Unlock()
					m.refused(&mu, err)
				}
			}
		})
	}
	held.Wait()
	m.Opened = time.Since(began)
	sum := func() (n int64) {
		for _, c := range all {
			n += c.TransferredBytes()
		}
		return n
	}
	bytes := sum()
	const over = 8 * time.Second
	if m.Idle, err = a.use(ctx, over); err != nil {
		return m, err
	}
	m.IdleBytes = float64(sum()-bytes) / over.Seconds() / float64(clients)
	var took []time.Duration
	busy, stop := context.WithCancel(ctx)
	defer stop()
	for i := range min(clients, 64) {
		held.Go(func() {
			name := fmt.Sprintf("busy-%d", i)
			for busy.Err() == nil {
				at := time.Now()
				l, err := all[i].Acquire(busy, name, "", 10*time.Second)
				if err != nil {
					continue
				}
				mid := time.Now()
				if l.Release(busy) != nil {
					continue
				}
				mu.Lock()
				took = append(took, mid.Sub(at), time.Since(mid))
				mu.Unlock()
			}
		})
	}
	if m.Busy, err = a.use(ctx, over); err != nil {
		return m, err
	}
	stop()
	held.Wait()
	slices.Sort(took)
	if len(took) > 0 {
		m.PerS, m.P50, m.P99 = float64(len(took))/over.Seconds(), took[len(took)/2], took[len(took)*99/100]
	}
	return m, nil
}

// descriptorsPerClient are those that a client may open while all of them look for the leader; the relays between coordinators, which
// are in this process too, must get theirs.
const descriptorsPerClient = 3

// EnoughDescriptors tells whether this process may open what so many clients need. Where it may not, the coordinators would lose
// one another by the laboratory's fault.
func EnoughDescriptors(clients int) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	if want := uint64(clients * descriptorsPerClient); want > limit.Cur {
		return fmt.Errorf("%d clients may need %d descriptors, and this process may open %d (ulimit -n)", clients, want, limit.Cur)
	}
	return nil
}

// opensWithin bounds how long clients wait for a session: one over a bound of the coordinators never gets one.
const opensWithin = 30 * time.Second

// refused counts a client that has no session.
func (m *AgreeCost) refused(mu *sync.Mutex, err error) {
	if !errors.Is(err, client.ErrNoSession) {
		return
	}
	mu.Lock()
	defer mu.Unlock()
	m.Refused++
	m.Why = err.Error()
}

// FailOver kills the leader again and again, and tells how long it took each time until a client acquired a lease again.
func FailOver(ctx context.Context, coordinators, kills int, o AgreeOptions) (took []time.Duration, err error) {
	a, err := calm(ctx, coordinators, o)
	if err != nil {
		return nil, err
	}
	defer a.close()
	c, end := liveClient(ctx, a.addresses(), "f", 20*time.Second)
	defer end()
	for n := range kills {
		if err := until(ctx, 20*time.Second, func() error { // all are there and have what the leader has
			l, err := a.leader(ctx)
			if err != nil {
				return err
			}
			top, err := l.status(ctx)
			if err != nil {
				return err
			}
			for _, x := range a.coords {
				if s, err := x.status(ctx); err != nil || s.LastLogIndex+5 < top.LastLogIndex || s.Leader != l.name {
					return errors.Join(errors.New("not all are there"), err)
				}
			}
			return nil
		}); err != nil {
			return took, err
		}
		l, err := a.leader(ctx)
		if err != nil {
			return took, err
		}
		at := time.Now()
		l.kill()
		lease, err := c.Acquire(ctx, fmt.Sprintf("k%d", n), "", 10*time.Second)
		if err != nil {
			return took, err
		}
		took = append(took, time.Since(at))
		if err := lease.Release(ctx); err != nil {
			return took, err
		}
		a.up(l.proc)
	}
	return took, nil
}

// DeadHolders has holders cut off from all again and again, and tells how long after its last keep-alive could have been carried
// out another one held the lease.
func DeadHolders(ctx context.Context, coordinators, times int, ttl time.Duration, o AgreeOptions) (took []time.Duration, err error) {
	a, err := calm(ctx, coordinators, o)
	if err != nil {
		return nil, err
	}
	defer a.close()
	next, end := liveClient(ctx, a.addresses(), "next", ttl)
	defer end()
	var mu sync.Mutex
	var fails []error
	var each sync.WaitGroup
	room := make(chan struct{}, 10)
	for n := range times {
		room <- struct{}{}
		each.Go(func() {
			defer func() { <-room }()
			name := fmt.Sprintf("d%d", n)
			var relays []*fakes.Relay
			addrs := map[string]string{}
			defer func() {
				for _, r := range relays {
					r.Close()
				}
			}()
			for _, x := range a.coords {
				r, err := fakes.NewRelay(func() string { return x.api })
				if err != nil {
					return
				}
				relays, addrs[x.name] = append(relays, r), r.Addr()
			}
			c, die := liveClient(ctx, addrs, name, ttl)
			defer die()
			_, err := c.Acquire(ctx, name, "", ttl)
			if err == nil {
				wait(ctx, rand.Float64()*ttl.Seconds())
				for _, r := range relays {
					r.SetConditions(fakes.NetworkConditions{Cut: true})
				}
				at := time.Now()
				err = next.RunWithLease(ctx, name, "", ttl, ttl/4, func(context.Context, *client.Lease) error {
					mu.Lock()
					took = append(took, time.Since(at))
					mu.Unlock()
					return nil
				})
			}
			mu.Lock()
			fails = append(fails, err)
			mu.Unlock()
		})
	}
	each.Wait()
	return took, errors.Join(fails...)
}
