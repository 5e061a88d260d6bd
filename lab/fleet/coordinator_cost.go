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

// CoordinatorCost is the measured cost of coordinators with a number of clients.
type CoordinatorCost struct {
	Clients, Leases    int
	SessionsOpenAfter  time.Duration    // until all had a session
	Idle               CoordinatorUsage // while the clients only keep their sessions
	Busy               CoordinatorUsage // while up to 64 clients acquire and release leases in a closed loop
	CommandsPerSecond  float64          // carried out while busy
	P50, P99           time.Duration    // of these commands
	IdleBytesPerSecond float64          // per client, bodies of keep-alives and answers
	Failed             int
	Refused            int    // clients that got no session in time
	RefusalReason      string // error that one of these clients got
}

// CoordinatorUsage is the usage of the leader and of the busiest follower.
type CoordinatorUsage struct {
	LeaderCPU, OtherCPU float64 // cores
	LeaderMB, OtherMB   float64
	FsyncP50, FsyncP99  float64 // of the leader, in milliseconds
}

// startCoordinatorGroup starts coordinators without faults.
func startCoordinatorGroup(ctx context.Context, coordinators int, o CoordinatorOptions) (*coordinatorGroup, error) {
	return startCoordinatorGroupWithSnapshots(ctx, coordinators, 8192, o)
}

// startCoordinatorGroupWithSnapshots starts coordinators without faults that take a snapshot every
// snapshotEach entries.
func startCoordinatorGroupWithSnapshots(ctx context.Context, coordinators, snapshotEach int,
	o CoordinatorOptions) (*coordinatorGroup, error) {
	f, err := scenario.LoadAgreement("leases")
	if err != nil {
		return nil, err
	}
	// the environment is reset below
	f.Coordinators, f.Holders, f.Seed, f.ClockRate, f.SnapshotEach = coordinators, 1, 3,
		coord.DefaultClockRateBound, snapshotEach
	a := newCoordinatorGroup(f, o, 1)
	if err := a.build(); err != nil {
		a.close()
		return nil, err
	}
	for _, c := range a.nodes {
		c.env = o.Env
	}
	a.holders, a.resource = nil, nil
	if err := a.startAll(ctx); err != nil {
		a.close()
		return nil, err
	}
	if err := a.upgrade(ctx, cmp.Or(o.Version, coord.Version)); err != nil {
		a.close()
		return nil, err
	}
	return a, nil
}

// upgrade puts the commands and limits of a version in force.
func (a *coordinatorGroup) upgrade(ctx context.Context, version int) error {
	return retryUntil(ctx, 20*time.Second, func() error {
		l, err := a.leader(ctx)
		if err != nil {
			return err
		}
		var answer coord.Response
		if err := client.Call(ctx, http.MethodPost, l.api, "/v1/upgrade",
			coord.Command{TargetVersion: version}, &answer); err != nil {
			return err
		}
		if answer.Code != coord.CodeOK {
			return answer
		}
		return nil
	})
}

// measureUsage measures the usage of the coordinators over a time.
func (a *coordinatorGroup) measureUsage(ctx context.Context, over time.Duration) (u CoordinatorUsage, err error) {
	l, err := a.leader(ctx)
	if err != nil {
		return u, err
	}
	before := map[string]Usage{}
	for _, c := range a.nodes {
		if before[c.name], err = ProcessUse(c.cmd.Process.Pid); err != nil {
			return u, err
		}
	}
	wait(ctx, over.Seconds())
	for _, c := range a.nodes {
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

func (a *coordinatorGroup) addresses() map[string]string {
	all := map[string]string{}
	for _, c := range a.nodes {
		all[c.name] = c.api
	}
	return all
}

// MeasureCoordinators measures coordinators without faults, with a number of clients that hold a
// number of leases in all.
func MeasureCoordinators(ctx context.Context, coordinators, clients, leases int,
	o CoordinatorOptions) (m CoordinatorCost, err error) {
	m.Clients, m.Leases = clients, leases
	if err := CheckDescriptorLimit(clients); err != nil {
		return m, err
	}
	a, err := startCoordinatorGroup(ctx, coordinators, o)
	if err != nil {
		return m, err
	}
	defer a.close()
	var wg sync.WaitGroup
	defer wg.Wait()
	clientsCtx, end := context.WithCancel(ctx)
	defer end()
	all := make([]*client.Client, clients)
	for i := range all {
		all[i] = client.New(client.Options{Coordinators: a.addresses(), ClientName: fmt.Sprintf("r%d", i),
			TTL: 10 * time.Second})
		wg.Go(func() { all[i].Run(clientsCtx) })
	}
	began := time.Now()
	var mu sync.Mutex
	var waiting sync.WaitGroup
	sessionsCtx, cancelSessions := context.WithTimeout(ctx, sessionTimeout)
	defer cancelSessions()
	for i := range clients { // each takes its share of the leases
		waiting.Go(func() {
			for n := i; n < max(leases, clients); n += clients {
				if n >= leases { // a client without a lease also waits for its session
					// rejected, because the lease would outlast the session
					_, err := all[i].Acquire(sessionsCtx, "nobody's", "", time.Minute)
					m.countRefusal(&mu, err)
					break
				}
				if _, err := all[i].Acquire(sessionsCtx, fmt.Sprintf("lease-%d", n), "", 10*time.Second); err != nil {
					mu.Lock()
					m.Failed++
					mu.Unlock()
					m.countRefusal(&mu, err)
				}
			}
		})
	}
	waiting.Wait()
	m.SessionsOpenAfter = time.Since(began)
	sum := func() (n int64) {
		for _, c := range all {
			n += c.TransferredBytes()
		}
		return n
	}
	bytes := sum()
	const over = 8 * time.Second
	if m.Idle, err = a.measureUsage(ctx, over); err != nil {
		return m, err
	}
	m.IdleBytesPerSecond = float64(sum()-bytes) / over.Seconds() / float64(clients)
	var took []time.Duration
	busyCtx, stop := context.WithCancel(ctx)
	defer stop()
	for i := range min(clients, 64) {
		waiting.Go(func() {
			name := fmt.Sprintf("busy-%d", i)
			for busyCtx.Err() == nil {
				startedAt := time.Now()
				l, err := all[i].Acquire(busyCtx, name, "", 10*time.Second)
				if err != nil {
					continue
				}
				acquiredAt := time.Now()
				if l.Release(busyCtx) != nil {
					continue
				}
				mu.Lock()
				took = append(took, acquiredAt.Sub(startedAt), time.Since(acquiredAt))
				mu.Unlock()
			}
		})
	}
	if m.Busy, err = a.measureUsage(ctx, over); err != nil {
		return m, err
	}
	stop()
	waiting.Wait()
	slices.Sort(took)
	if len(took) > 0 {
		m.CommandsPerSecond, m.P50, m.P99 = float64(len(took))/over.Seconds(), took[len(took)/2], took[len(took)*99/100]
	}
	return m, nil
}

// descriptorsPerClient is how many descriptors a client may open while all clients look for the
// leader. The relays between coordinators run in this process too and must not run out of
// descriptors.
const descriptorsPerClient = 3

// CheckDescriptorLimit returns an error if this process may not open the descriptors that so many
// clients need. The lab itself would then interrupt the connections between coordinators.
func CheckDescriptorLimit(clients int) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	if want := uint64(clients * descriptorsPerClient); want > limit.Cur {
		return fmt.Errorf("%d clients may need %d descriptors, and this process may open %d (ulimit -n)",
			clients, want, limit.Cur)
	}
	return nil
}

// sessionTimeout bounds how long clients wait for a session. A client beyond a limit of the
// coordinators never gets one.
const sessionTimeout = 30 * time.Second

// countRefusal counts a client that got no session.
func (m *CoordinatorCost) countRefusal(mu *sync.Mutex, err error) {
	if !errors.Is(err, client.ErrNoSession) {
		return
	}
	mu.Lock()
	defer mu.Unlock()
	m.Refused++
	m.RefusalReason = err.Error()
}

// MeasureFailover kills the leader a number of times and returns how long it took each time until a
// client acquired a lease.
func MeasureFailover(ctx context.Context, coordinators, kills int, o CoordinatorOptions) (took []time.Duration,
	err error) {
	a, err := startCoordinatorGroup(ctx, coordinators, o)
	if err != nil {
		return nil, err
	}
	defer a.close()
	c, end := liveClient(ctx, a.addresses(), "f", 20*time.Second)
	defer end()
	for n := range kills {
		if err := retryUntil(ctx, 20*time.Second, func() error { // all follow the leader and are up to date
			l, err := a.leader(ctx)
			if err != nil {
				return err
			}
			leaderStatus, err := l.status(ctx)
			if err != nil {
				return err
			}
			for _, x := range a.nodes {
				if s, err := x.status(ctx); err != nil || s.LastLogIndex+5 < leaderStatus.LastLogIndex ||
					s.Leader != l.name {
					return errors.Join(errors.New("not all coordinators follow the leader"), err)
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
		killedAt := time.Now()
		l.kill()
		lease, err := c.Acquire(ctx, fmt.Sprintf("k%d", n), "", 10*time.Second)
		if err != nil {
			return took, err
		}
		took = append(took, time.Since(killedAt))
		if err := lease.Release(ctx); err != nil {
			return took, err
		}
		a.restart(l.restartableProcess)
	}
	return took, nil
}

// MeasureLeaseTakeover cuts a number of holders off from all coordinators and returns, for each
// one, how long after the cut another client held its lease. No keep-alive can arrive after the
// cut.
func MeasureLeaseTakeover(ctx context.Context, coordinators, times int, ttl time.Duration,
	o CoordinatorOptions) (took []time.Duration, err error) {
	a, err := startCoordinatorGroup(ctx, coordinators, o)
	if err != nil {
		return nil, err
	}
	defer a.close()
	nextHolder, end := liveClient(ctx, a.addresses(), "next", ttl)
	defer end()
	var mu sync.Mutex
	var errs []error
	var holders sync.WaitGroup
	slots := make(chan struct{}, 10)
	for n := range times {
		slots <- struct{}{}
		holders.Go(func() {
			defer func() { <-slots }()
			name := fmt.Sprintf("d%d", n)
			var relays []*fakes.Relay
			addrs := map[string]string{}
			defer func() {
				for _, r := range relays {
					r.Close()
				}
			}()
			for _, x := range a.nodes {
				r, err := fakes.NewRelay(func() string { return x.api })
				if err != nil {
					return
				}
				relays, addrs[x.name] = append(relays, r), r.Addr()
			}
			c, endClient := liveClient(ctx, addrs, name, ttl)
			defer endClient()
			_, err := c.Acquire(ctx, name, "", ttl)
			if err == nil {
				wait(ctx, rand.Float64()*ttl.Seconds())
				for _, r := range relays {
					r.SetConditions(fakes.NetworkConditions{Cut: true})
				}
				at := time.Now()
				err = nextHolder.RunWithLease(ctx, name, "", ttl, ttl/4, func(context.Context, *client.Lease) error {
					mu.Lock()
					took = append(took, time.Since(at))
					mu.Unlock()
					return nil
				})
			}
			mu.Lock()
			errs = append(errs, err)
			mu.Unlock()
		})
	}
	holders.Wait()
	return took, errors.Join(errs...)
}
