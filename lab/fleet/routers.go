package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/model"
	"dockhinge.example/dockhinge/lab/scenario"
)

// startRouters starts all routers at once and waits until each is ready.
func (fl *Fleet) startRouters(ctx context.Context) error {
	n := fl.File.Fleet.Routers
	fails := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		listen, err := FreeAddr()
		if err != nil {
			return err
		}
		r := &router{name: fmt.Sprintf("r%d", i), zone: fl.File.Fleet.Zones[i%len(fl.File.Fleet.Zones)],
			listen: listen, number: i, processors: fl.File.Fleet.Processors,
			dir: filepath.Join(fl.options.Dir, fmt.Sprintf("r%d", i))}
		addr, err := fl.openDiscovery(r)
		if err != nil {
			return err
		}
		r.setDiscovery(addr)
		if slices.ContainsFunc(fl.File.Faults, func(x scenario.Fault) bool { return x.What == "release-routers" }) {
			r.label = "v1"
		}
		if err := fl.writeOperator(r); err != nil {
			return err
		}
		fl.mu.Lock()
		fl.routers = append(fl.routers, r)
		fl.mu.Unlock()
		wg.Go(func() { fails[i] = fl.startRouter(ctx, r) })
	}
	wg.Wait()
	return errors.Join(fails...)
}

// openDiscovery opens a listener of discovery for a router.
func (fl *Fleet) openDiscovery(r *router) (addr string, err error) {
	return fl.discovery.OpenListener(r.name, func(e model.Entry) string { return fl.serverAddr(r, e) })
}

func (fl *Fleet) operatorFile(r *router) string { return filepath.Join(fl.options.Dir, r.name+".toml") }

// startCoordinators starts the scenario's coordinators and puts its budgets in force.
func (fl *Fleet) startCoordinators(ctx context.Context) (err error) {
	n := fl.File.Fleet.Coordinators
	if n == 0 {
		return nil
	}
	if len(fl.options.CoordinatorCommand) == 0 {
		return errors.New("fleet.coordinators: Options.CoordinatorCommand is not set")
	}
	if fl.coordinators, err = startCoordinatorGroup(ctx, n,
		CoordinatorOptions{CoordinatorCommand: fl.options.CoordinatorCommand, Dir: fl.options.Dir,
			Env: fl.options.CoordinatorEnv}); err != nil {
		return err
	}
	if fl.File.Fleet.Out.On() {
		return fl.setBudgets(ctx)
	}
	return nil
}

// writeOperator writes a router's operator file, which makes it a client of the coordinators. If
// the scenario has budgets, the router reaches each coordinator through a relay.
func (fl *Fleet) writeOperator(r *router) error {
	if fl.coordinators == nil {
		return nil
	}
	var words []string
	all := fl.coordinators.addresses()
	for i, name := range slices.Sorted(maps.Keys(all)) {
		addr := all[name]
		if fl.File.Fleet.Out.On() {
			if i < len(fl.coordinatorRelays[r.name]) { // the relay exists from an earlier call with another label
				words = append(words, fmt.Sprintf("%q", name+"="+fl.coordinatorRelays[r.name][i].Addr()))
				continue
			}
			target := addr
			relay, err := fakes.NewRelay(func() string { return target })
			if err != nil {
				return err
			}
			fl.mu.Lock()
			fl.coordinatorRelays[r.name] = append(fl.coordinatorRelays[r.name], relay)
			fl.mu.Unlock()
			addr = relay.Addr()
		}
		words = append(words, fmt.Sprintf("%q", name+"="+addr))
	}
	text := fmt.Sprintf("version = 1\n[agreement]\ncoordinators = [%s]\nttl = \"5s\"\nprobes = true\n",
		strings.Join(words, ", "))
	if fl.File.Fleet.Out.On() {
		text += "drains = true\n"
	}
	fl.mu.Lock()
	label := r.label
	fl.mu.Unlock()
	if label != "" {
		text += fmt.Sprintf("label = %q\n", label)
	}
	return os.WriteFile(fl.operatorFile(r), []byte(text), 0o600)
}

// routerCommand returns the command of a router, with its operator file if it has one.
func (fl *Fleet) routerCommand(r *router) []string {
	if fl.coordinators != nil {
		return append(slices.Clip(fl.options.RouterCommand), "--operator", fl.operatorFile(r))
	}
	if fl.File.Fleet.Operator == "" {
		return fl.options.RouterCommand
	}
	return append(slices.Clip(fl.options.RouterCommand), "--operator", fl.File.Fleet.Operator)
}

// startRouter starts a process of a router and adds the router to the front.
func (fl *Fleet) startRouter(ctx context.Context, r *router) error {
	config := fl.routerConfig(r)
	command, env := fl.routerCommand(r), []string(nil)
	fl.mu.Lock()
	if rel := fl.released; rel != nil && r.label == "v2" && mutantOfFault[rel.Spoil] != "" {
		command, env = append(slices.Clone(fl.options.MutantCommand), command[len(fl.options.RouterCommand):]...),
			[]string{"DOCKHINGE_MUTANT=" + mutantOfFault[rel.Spoil]}
	}
	fl.mu.Unlock()
	if fl.options.FirstRouterMutant != "" && r.number == 0 {
		command, env = append(slices.Clone(fl.options.MutantCommand), command[len(fl.options.RouterCommand):]...),
			[]string{"DOCKHINGE_MUTANT=" + fl.options.FirstRouterMutant}
	}
	if len(command) == 0 || len(env) > 0 && len(fl.options.MutantCommand) == 0 {
		return errors.New("a bad version of the router is needed, but Options.MutantCommand is not set")
	}
	if err := fl.startProcess(ctx, r, command, env, config); err != nil {
		return err
	}
	fl.front.AddRouter(r.name, r.zone, r.listen)
	return nil
}

// startProcess starts a process of a router, and returns once it is ready.
func (fl *Fleet) startProcess(ctx context.Context, r *router, command, env []string, config map[string]any) error {
	fl.journal.Add(checker.Event{At: fl.clock.Now(), Kind: checker.RouterStarted, Router: r.name})
	if err := r.start(ctx, command, env, config, fl.options.ReadyTimeout); err != nil {
		return err
	}
	fl.journal.Add(checker.Event{At: fl.clock.Now(), Kind: checker.RouterReady, Router: r.name})
	return nil
}

// serverAddr returns the address at which a router reaches a server: that of a relay of the
// router's own if the scenario has relays.
func (fl *Fleet) serverAddr(r *router, e model.Entry) string {
	if !fl.File.Fleet.Relays {
		return e.Addr
	}
	key := r.name + "/" + e.ID
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if relay := fl.relays[key]; relay != nil {
		return relay.Addr()
	}
	target := e.Addr
	relay, err := fakes.NewRelay(func() string { return target })
	if err != nil {
		fl.problems = append(fl.problems, err.Error())
		return e.Addr
	}
	fl.relays[key] = relay
	relay.SetConditions(fl.baselineNetwork(r, e.Zone))
	return relay.Addr()
}

// baselineNetwork returns the network conditions between a router and a zone without faults.
func (fl *Fleet) baselineNetwork(r *router, zone string) fakes.NetworkConditions {
	if r.zone != zone {
		return fakes.NetworkConditions{DelayMS: fl.File.Fleet.ZoneDelayMS}
	}
	return fakes.NetworkConditions{}
}
