package largefleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/lab/fleet"
)

const (
	// readyTimeout is how long a router may take until it is ready.
	readyTimeout = 30 * time.Second
	// readyInterval is the time between two calls that ask whether it is.
	readyInterval = 20 * time.Millisecond
	// killMargin is how long after SIGTERM and the longest deadline a router gets SIGKILL.
	killMargin = 700 * time.Millisecond
	// sampleInterval is the time between two samples of a process's memory and descriptors.
	sampleInterval = 100 * time.Millisecond
	// busyLoopSeconds ends a busy loop that was not stopped.
	busyLoopSeconds = 120
)

// process is one run of the router.
type process struct {
	command *exec.Cmd
	admin   string
	exited  chan struct{}
	usage   *usage
}

// usage is what all processes of the router have used.
type usage struct {
	mu              sync.Mutex
	cpu             time.Duration
	peakMB          float64
	peakFiles       int
	unexpectedExits []string
	readyMillis     []float64
	sampledMB       map[int]float64
	sampledFiles    map[int]int
}

// startProcess starts the router on the processor that it shares with busy loops.
func (p *player) startProcess() (*process, error) {
	tmp := filepath.Join(p.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	env := []string{"GW_CONFIG=" + filepath.Join(p.dir, "config.json"), "TMPDIR=" + tmp}
	started := &process{admin: p.adminAt, exited: make(chan struct{}), usage: &p.usage}
	startedAt := time.Now()
	err := p.onSharedProcessor(func() (err error) {
		started.command, err = fleet.Spawn(p.params.Command, env, filepath.Join(p.dir, "log"))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	go started.watch()
	if err := started.awaitReady(); err != nil {
		return started, err
	}
	p.usage.mu.Lock()
	defer p.usage.mu.Unlock()
	p.usage.readyMillis = append(p.usage.readyMillis, float64(time.Since(startedAt))/float64(time.Millisecond))
	return started, nil
}

// onSharedProcessor calls start, whose processes run on one processor if the router shares it.
func (p *player) onSharedProcessor(start func() error) error {
	if p.params.BusyLoops == 0 {
		return start()
	}
	return fleet.OnLastProcessor(p.params.Slot, start)
}

// startBusyLoops starts processes that share the router's processor and never rest.
func (p *player) startBusyLoops() (stop func(), err error) {
	var loops []*exec.Cmd
	stop = func() {
		for _, loop := range loops {
			_ = syscall.Kill(-loop.Process.Pid, syscall.SIGKILL)
			_ = loop.Wait()
		}
	}
	command := []string{"timeout", strconv.Itoa(busyLoopSeconds), "sh", "-c", "while :; do :; done"}
	for range p.params.BusyLoops {
		err := p.onSharedProcessor(func() error {
			loop, err := fleet.Spawn(command, nil, os.DevNull)
			loops = append(loops, loop)
			return err
		})
		if err != nil {
			stop()
			return nil, fmt.Errorf("busy loop: %w", err)
		}
	}
	return stop, nil
}

// awaitReady waits until the process's admin address reports that it is ready.
func (started *process) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for {
		if _, err := admin.Call(ctx, started.admin, http.MethodGet, "/-/ready"); err == nil {
			return nil
		}
		select {
		case <-started.exited:
			return errors.New("the router has ended before it was ready")
		case <-ctx.Done():
			return fmt.Errorf("the router was not ready within %v", readyTimeout)
		case <-time.After(readyInterval):
		}
	}
}

// watch samples the process until it ends, and adds up what it has used.
func (r *process) watch() {
	ended := make(chan struct{})
	go func() {
		_ = r.command.Wait() // ProcessState has how it ended
		close(ended)
	}()
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			r.usage.add(r.command.ProcessState)
			close(r.exited)
			return
		case <-tick.C:
			r.usage.sample(r.command.Process.Pid)
		}
	}
}

func (u *usage) add(state *os.ProcessState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cpu += state.UserTime() + state.SystemTime()
	delete(u.sampledMB, state.Pid())
	delete(u.sampledFiles, state.Pid())
	status, ok := state.Sys().(syscall.WaitStatus)
	if ok && status.Signaled() && status.Signal() != syscall.SIGKILL || status.Exited() && status.ExitStatus() != 0 {
		u.unexpectedExits = append(u.unexpectedExits, state.String())
	}
}

// sample records what the processes have together just now.
func (u *usage) sample(pid int) {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	kilobytes := 0.0
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ = strconv.ParseFloat(fields[1], 64)
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sampledMB[pid] = kilobytes / 1024
	u.sampledFiles[pid] = len(files)
	totalMB := 0.0
	for _, megabytes := range u.sampledMB {
		totalMB += megabytes
	}
	totalFiles := 0
	for _, count := range u.sampledFiles {
		totalFiles += count
	}
	u.peakMB = max(u.peakMB, totalMB)
	u.peakFiles = max(u.peakFiles, totalFiles)
}

// stop ends a process as the platform does: SIGTERM, and SIGKILL at the earliest time.
func (p *player) stop(old *process) {
	if old == nil {
		return
	}
	_ = old.command.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-old.exited:
	case <-time.After(p.params.Wait + killMargin):
		_ = old.command.Process.Kill()
		<-old.exited
	}
}

// writeConfig writes the configuration of a new process with the list that the router was last sent.
func (p *player) writeConfig(discovery string) (err error) {
	if p.adminAt, err = fleet.FreeAddr(); err != nil {
		return err
	}
	known, isKnown := p.discovery.LastSentList(routerName)
	if !isKnown {
		p.discovery.RecordConfiguredList(routerName)
		known, _ = p.discovery.LastSentList(routerName)
	}
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "keyScope": "all", "window": 2000,
			"target": 100, "hardLimit": float64(p.params.Wait.Milliseconds()), "gain": 1}
	}
	distribution := "ask"
	if p.params.IsAgent {
		distribution = "push"
	}
	config := map[string]any{
		"name": routerName, "listen": p.listen, "discovery": discovery, "admin_addr": p.adminAt,
		"seed":   fmt.Sprintf("%016x", p.params.Seed),
		"limits": map[string]any{"cores": 1.0, "memory_mb": p.params.MemoryMB, "sockets": p.params.Sockets},
		"known":  known,
		"settings": map[string]any{"balancers": 1, "myNumber": 0, "zone": "a",
			"categories": []any{class("fetch", "repeatable"), class("publish", "by_key")},
			"kinds":      []string{"box", "origin"}, "family": "cache",
			"familyInfo": map[string]any{"mode": "aside", "originKind": 1}, "discovery": distribution,
			"caps": map[string]any{"cancel": true, "maxAttempts": 3, "connIdle": 10000, "connectTimeout": 250},
			"rules": map[string]any{"cold": 1000, "coldFrom": 0.5, "drainGrace": drainGrace.Milliseconds(),
				"mustAskIn": 10000, "overloadFactor": 3, "overloadFor": 2000}},
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, "config.json"), text, 0o600)
}
