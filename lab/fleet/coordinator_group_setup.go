package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"dockhinge.example/dockhinge/lab/fakes"
)

const (
	// holderIdle is the longest pause of a holder between two tasks, holderHold the longest time
	// for which it uses a lease.
	holderIdle = 300 * time.Millisecond
	holderHold = 1500 * time.Millisecond

	slowSyncEnv = "DOCKHINGE_SLOW_SYNC=20ms" // for every fifth coordinator
)

// build starts the relays, writes the configuration files and sets the commands of all processes.
func (a *coordinatorGroup) build() error {
	for number := range a.scenario.Coordinators {
		c, err := a.newCoordinator(number)
		if err != nil {
			return err
		}
		a.nodes = append(a.nodes, c)
	}
	for _, c := range a.nodes {
		if err := a.configureCoordinator(c); err != nil {
			return err
		}
	}
	resourceAddr, err := FreeAddr()
	if err != nil {
		return err
	}
	a.resource = &restartableProcess{name: "resource", dir: a.options.Dir, env: a.options.Env,
		command: append(slices.Clone(a.options.LabCommand), "resource", resourceAddr, a.actsFile())}
	for number := range a.scenario.Holders {
		holder, err := a.newHolder(number, resourceAddr)
		if err != nil {
			return err
		}
		a.holders = append(a.holders, holder)
	}
	return nil
}

// actsFile returns the path of the resource's log of acts.
func (a *coordinatorGroup) actsFile() string { return filepath.Join(a.options.Dir, "acts") }

// holderLog returns the path of a holder's log of claims and calls.
func (a *coordinatorGroup) holderLog(name string) string {
	return filepath.Join(a.options.Dir, name+".jsonl")
}

func holderName(number int) string { return fmt.Sprintf("h%d", number) }

func leaseName(number int) string { return fmt.Sprintf("l%d", number) }

// newCoordinator returns a coordinator with addresses of its own.
func (a *coordinatorGroup) newCoordinator(number int) (*coordinator, error) {
	name := fmt.Sprintf("c%d", number)
	c := &coordinator{number: number, restartableProcess: &restartableProcess{name: name, dir: a.options.Dir},
		data: filepath.Join(a.options.Dir, name)}
	var err error
	if c.listen, err = FreeAddr(); err != nil {
		return nil, err
	}
	if c.api, err = FreeAddr(); err != nil {
		return nil, err
	}
	return c, nil
}

// configureCoordinator writes a coordinator's settings, with a relay to each of the others, and
// sets its command.
func (a *coordinatorGroup) configureCoordinator(c *coordinator) error {
	var text strings.Builder
	fmt.Fprintf(&text, "version = 1\nname = %q\ndir = %q\nlisten = %q\napi = %q\nclock_rate = %v\nsnapshot_every = %d\nlog_level = \"debug\"\n",
		c.name, c.data, c.listen, c.api, a.scenario.ClockRate, a.scenario.SnapshotEach)
	if a.options.HeartbeatInterval != "" {
		fmt.Fprintf(&text, "beat = %q\n", a.options.HeartbeatInterval)
	}
	text.WriteString("[peers]\n")
	for _, peer := range a.nodes {
		if c == peer {
			continue
		}
		relay, err := a.relay(peer.listen)
		if err != nil {
			return err
		}
		a.raftRelays[link{c.number, peer.number}] = relay
		fmt.Fprintf(&text, "%s = %q\n", peer.name, relay.Addr())
	}
	file := filepath.Join(a.options.Dir, c.name+".toml")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		return err
	}
	c.command = append(slices.Clone(a.options.CoordinatorCommand), "serve", file)
	c.env = a.coordinatorEnv(c.number)
	return nil
}

// coordinatorEnv returns a coordinator's environment. Depending on the seed it sets a slow disk or
// a step of the wall clock.
func (a *coordinatorGroup) coordinatorEnv(number int) []string {
	seed := a.scenario.Seed
	env := append(slices.Clone(a.options.Env), a.clockRate(number))
	if (uint64(number)+seed)%5 == 0 {
		env = append(env, slowSyncEnv)
	}
	if (uint64(number)+seed)%4 == 1 {
		step := []string{"1h", "-1h"}[seed%2]
		env = append(env, fmt.Sprintf("DOCKHINGE_WALL_STEP=%s@%ds", step, 3+number))
	}
	return env
}

// clockRate returns the setting of the rate of a process's clock: the upper bound, the lower bound
// or the true rate.
func (a *coordinatorGroup) clockRate(number int) string {
	direction := []float64{1, -1, 0}[(number+int(a.scenario.Seed))%3]
	return fmt.Sprintf("DOCKHINGE_CLOCK_RATE=%v", 1+a.scenario.ClockRate*direction)
}

// newHolder writes a holder's settings, with relays to each coordinator and to the resource.
func (a *coordinatorGroup) newHolder(number int, resourceAddr string) (*restartableProcess, error) {
	name := holderName(number)
	cfg := HolderConfig{
		Name:         name,
		Coordinators: map[string]string{},
		TTL:          time.Duration(a.scenario.TTLS * float64(time.Second)),
		Seed:         a.scenario.Seed*1000 + uint64(number),
		Log:          a.holderLog(name),
		Idle:         holderIdle,
		Hold:         holderHold,
	}
	for lease := range a.scenario.Leases {
		cfg.Leases = append(cfg.Leases, leaseName(lease))
	}
	for other := range a.scenario.Holders {
		if other != number {
			cfg.Others = append(cfg.Others, holderName(other))
		}
	}
	for _, c := range a.nodes {
		relay, err := a.relay(c.api)
		if err != nil {
			return nil, err
		}
		a.clientRelays[link{number, c.number}] = relay
		cfg.Coordinators[c.name] = relay.Addr()
	}
	relay, err := a.relay(resourceAddr)
	if err != nil {
		return nil, err
	}
	a.resourceRelays = append(a.resourceRelays, relay)
	cfg.Resource = relay.Addr()
	text, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(a.options.Dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	return &restartableProcess{name: name, dir: a.options.Dir,
		command: append(slices.Clone(a.options.LabCommand), "holder", file),
		env:     append(slices.Clone(a.options.Env), a.clockRate(number+1))}, nil
}

// relay starts a relay to an address, which must not change when the process restarts.
func (a *coordinatorGroup) relay(to string) (*fakes.Relay, error) {
	relay, err := fakes.NewRelay(func() string { return to })
	if err == nil {
		a.relayFaults[relay] = &relayFaults{}
	}
	return relay, err
}
