package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	observerclient "dockhinge.example/dockhinge/internal/coord/observer/client"
)

// ObserverCost is the measured cost of coordinators and observers with a number of watching
// routers, without faults.
type ObserverCost struct {
	Routers      int
	JoinTime     time.Duration    // until all held the first document
	Coordinators CoordinatorUsage // idle
	Observer     Usage            // the busiest observer, idle; CPUMS is per second
	P50, Last    time.Duration    // from the answer to a put until the last router has it in force: median and maximum
}

// observeIdle is how long the idle cost is measured.
const observeIdle = 5 * time.Second

// costRun is a run of MeasureObservers.
type costRun struct {
	coordinators *coordinatorGroup
	observers    []*restartableProcess
	addresses    []string
	clients      []*observerclient.Client
	wg           sync.WaitGroup
	cancel       context.CancelFunc
}

// MeasureObservers measures observers that a number of routers watch, idle and while a document is
// put a number of times.
func MeasureObservers(ctx context.Context, coordinators, observers, routers, puts int,
	o CoordinatorOptions) (cost ObserverCost, err error) {
	a, err := startCoordinatorGroup(ctx, coordinators, o)
	if err != nil {
		return cost, err
	}
	ctx, cancel := context.WithCancel(ctx)
	run := &costRun{coordinators: a, cancel: cancel}
	defer run.close()
	if err := run.upgrade(ctx); err != nil {
		return cost, err
	}
	for i := range observers {
		if err := run.startObserver(fmt.Sprint("o", i), routers); err != nil {
			return cost, err
		}
	}
	operator, end := liveClient(ctx, a.addresses(), "operator", 20*time.Second)
	defer end()
	revision, err := operator.PutDocument(ctx, coord.DocumentPut{Name: "measure"})
	if err != nil {
		return cost, err
	}
	cost.Routers = routers
	began := time.Now()
	run.startRouters(ctx, routers)
	if err := run.awaitRevision(ctx, revision); err != nil {
		return cost, err
	}
	cost.JoinTime = time.Since(began)
	if err := run.measureIdle(ctx, &cost); err != nil {
		return cost, err
	}
	var took []time.Duration
	for i := range puts {
		revision, err = operator.PutDocument(ctx,
			coord.DocumentPut{Name: "measure", Value: fmt.Appendf(nil, "%0100d", i), Expected: revision})
		if err != nil {
			return cost, err
		}
		began := time.Now()
		if err := run.awaitRevision(ctx, revision); err != nil {
			return cost, err
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	cost.P50, cost.Last = took[len(took)/2], took[len(took)-1]
	return cost, nil
}

func (r *costRun) upgrade(ctx context.Context) error {
	leader, err := r.coordinators.leader(ctx)
	if err != nil {
		return err
	}
	var answer coord.Response
	if err := client.Call(ctx, http.MethodPost, leader.api, "/v1/upgrade",
		coord.Command{TargetVersion: coord.Version}, &answer); err != nil {
		return err
	}
	if answer.Code != coord.CodeOK {
		return fmt.Errorf("upgrade: %w", errors.New(answer.Text))
	}
	return nil
}

// startObserver starts an observer that accepts all routers as watchers.
func (r *costRun) startObserver(name string, routers int) error {
	api, err := FreeAddr()
	if err != nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "version = 1\nname = %q\napi = %q\nmax_watchers = %d\n[coordinators]\n",
		name, api, max(routers, 1))
	for coordinator, address := range r.coordinators.addresses() {
		fmt.Fprintf(&text, "%s = %q\n", coordinator, address)
	}
	dir := r.coordinators.options.Dir
	file := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		return err
	}
	p := &restartableProcess{name: name, dir: dir, env: r.coordinators.options.Env,
		command: append(slices.Clone(r.coordinators.options.CoordinatorCommand), "observe", file)}
	r.observers, r.addresses = append(r.observers, p), append(r.addresses, api)
	return p.start()
}

func (r *costRun) startRouters(ctx context.Context, routers int) {
	for i := range routers {
		c := observerclient.New(observerclient.Options{Observers: r.addresses, WatcherName: fmt.Sprint("r", i),
			Apply: func(context.Context, observerclient.State) error { return nil }})
		r.clients = append(r.clients, c)
		r.wg.Go(func() { c.Run(ctx) })
	}
}

// awaitRevision waits until every router has a revision in force.
func (r *costRun) awaitRevision(ctx context.Context, revision uint64) error {
	for _, c := range r.clients {
		for {
			if _, inForce := c.Revisions(); inForce >= revision {
				break
			}
			if !wait(ctx, 0.001) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// measureIdle measures the usage of coordinators and observers while nothing changes.
func (r *costRun) measureIdle(ctx context.Context, cost *ObserverCost) (err error) {
	before := make([]Usage, len(r.observers))
	for i, p := range r.observers {
		if before[i], err = ProcessUse(p.cmd.Process.Pid); err != nil {
			return err
		}
	}
	if cost.Coordinators, err = r.coordinators.measureUsage(ctx, observeIdle); err != nil {
		return err
	}
	for i, p := range r.observers {
		now, err := ProcessUse(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		now.CPUMS = (now.CPUMS - before[i].CPUMS) / observeIdle.Seconds()
		if now.CPUMS > cost.Observer.CPUMS {
			cost.Observer = now
		}
	}
	return nil
}

func (r *costRun) close() {
	r.cancel()
	r.wg.Wait()
	for _, p := range r.observers {
		p.kill()
	}
	r.coordinators.close()
}
