package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/lab/fakes"
)

// router is one router: its name, its address and its processes, of which there are two during an
// upgrade.
type router struct {
	name, zone, listen string
	dir                string
	number             int
	processors         int        // the number of processors that all routers share; 0 = all of the machine
	downMu             sync.Mutex // held by a fault or planned change that has the router down
	configMu           sync.Mutex // held while its configuration is written
	label              string     // version of its program; guarded by Fleet.mu

	mu              sync.Mutex
	discovery       string     // address
	processes       []*process // the newest last
	unexpectedExits []string   // messages on exits that the lab did not cause
}

// process is one run of the router's command.
type process struct {
	cmd            *exec.Cmd
	admin          string
	isExitExpected bool // the lab has caused the exit; guarded by router.mu
	done           chan struct{}
	exitErr        error // valid once done is closed
	started        time.Time
	isReady        atomic.Bool
}

// reloadAfter is the time after a process's start before which the lab sends it no SIGHUP.
const reloadAfter = time.Second

// mayReload reports whether the lab may send a SIGHUP: not before the process is ready, and not in
// its first second.
func (p *process) mayReload() bool { return p.isReady.Load() && time.Since(p.started) >= reloadAfter }

// usedAddresses holds the addresses that FreeAddr has returned. A caller may not have bound its
// address yet, or may have closed it to bind it again.
var usedAddresses sync.Map

// FreeAddr returns a free TCP address on the lab's own loopback host. It never returns an address
// twice, so that no other lab and no other part of this one binds it before the caller does.
func FreeAddr() (string, error) {
	for range 100 {
		ln, err := net.Listen("tcp", fakes.LoopbackHost(fakes.Processes)+":0")
		if err != nil {
			return "", fmt.Errorf("free address: %w", err)
		}
		addr := ln.Addr().String()
		ln.Close()
		if _, taken := usedAddresses.LoadOrStore(addr, true); !taken {
			return addr, nil
		}
	}
	return "", errors.New("free address: this process has already used each one that was found")
}

// Spawn starts a command in a process group of its own, so that Ctrl-C reaches only the lab, which
// then stops its processes in order. The command's output is appended to the file log.
func Spawn(command, env []string, log string) (*exec.Cmd, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close() // the process has its own descriptor
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), env...), f, f
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd, cmd.Start()
}

// start runs the router's command with a configuration and returns once the process is ready.
func (r *router) start(ctx context.Context, command, env []string, config map[string]any, ready time.Duration) error {
	adminAddr, err := FreeAddr()
	if err != nil {
		return err
	}
	config["admin_addr"] = adminAddr
	tmp := filepath.Join(r.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return fmt.Errorf("router %s: %w", r.name, err)
	}
	if err := r.writeConfig(config); err != nil {
		return err
	}
	var cmd *exec.Cmd
	err = onFirstProcessors(r.processors, func() (err error) {
		cmd, err = Spawn(command, append([]string{"GW_CONFIG=" + r.configFile(), "TMPDIR=" + tmp}, env...),
			filepath.Join(r.dir, "log"))
		return err
	})
	if err != nil {
		return fmt.Errorf("router %s: %w", r.name, err)
	}
	p := &process{cmd: cmd, admin: adminAddr, done: make(chan struct{}), started: time.Now()}
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	go func() { // ends when the process exits; stop waits for that
		err := cmd.Wait()
		r.mu.Lock()
		if !p.isExitExpected {
			r.unexpectedExits = append(r.unexpectedExits, fmt.Sprintf("router %s ended by itself: %v", r.name, err))
		}
		for i, q := range r.processes {
			if q == p {
				r.processes = append(r.processes[:i:i], r.processes[i+1:]...)
				break
			}
		}
		r.mu.Unlock()
		p.exitErr = err
		close(p.done)
	}()
	return p.awaitReady(ctx, r, ready)
}

func (r *router) configFile() string { return filepath.Join(r.dir, "config.json") }

// writeConfig replaces the configuration file atomically.
func (r *router) writeConfig(config map[string]any) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return fmt.Errorf("router %s: %w", r.name, err)
	}
	r.configMu.Lock()
	defer r.configMu.Unlock()
	next := r.configFile() + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return fmt.Errorf("router %s: %w", r.name, err)
	}
	if err := os.Rename(next, r.configFile()); err != nil {
		return fmt.Errorf("router %s: %w", r.name, err)
	}
	return nil
}

func (r *router) discoveryAddr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.discovery
}

// setDiscovery sets the address of discovery for later configurations and returns the previous one.
func (r *router) setDiscovery(addr string) (before string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.discovery
	r.discovery = addr
	return before
}

// awaitReady waits until the admin address reports that the process is ready.
func (p *process) awaitReady(ctx context.Context, r *router, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		if _, err := admin.Call(ctx, p.admin, http.MethodGet, "/-/ready"); err == nil {
			p.isReady.Store(true)
			return nil
		}
		select {
		case <-p.done:
			log, _ := os.ReadFile(filepath.Join(r.dir, "log"))
			return fmt.Errorf("router %s ended before it was ready: %s\n%s", r.name, exitText(p.exitErr), tail(log, 5))
		case <-ctx.Done():
			return fmt.Errorf("router %s: not ready within %v", r.name, within)
		case <-tick.C:
		}
	}
}

// exitText returns a process's exit status or the signal that killed it, which its log doesn't
// show.
func exitText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

func tail(text []byte, lines int) []byte {
	all := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return bytes.Join(all[max(0, len(all)-lines):], []byte("\n"))
}

// newest returns the process that was started last; nil if none runs.
func (r *router) newest() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.processes) == 0 {
		return nil
	}
	return r.processes[len(r.processes)-1]
}

// signal sends a signal to a process and reports whether that succeeded. After any signal but
// SIGHUP the process's exit is expected.
func (r *router) signal(p *process, sig syscall.Signal) bool {
	if p == nil {
		return false
	}
	r.mu.Lock()
	p.isExitExpected = p.isExitExpected || sig != syscall.SIGHUP
	r.mu.Unlock()
	return p.cmd.Process.Signal(sig) == nil
}

// stop sends SIGTERM to all processes of the router, and SIGKILL to those that still run after
// timeout.
func (r *router) stop(timeout time.Duration) {
	r.mu.Lock()
	procs := append([]*process(nil), r.processes...)
	r.mu.Unlock()
	for _, p := range procs {
		r.signal(p, syscall.SIGTERM)
	}
	over := time.After(timeout)
	for _, p := range procs {
		select {
		case <-p.done:
		case <-over:
			r.signal(p, syscall.SIGKILL)
			<-p.done
		}
	}
}

// Usage is the memory, descriptors and CPU time that one or more processes use.
type Usage struct {
	RSSMB float64 `json:"rss_mb"`
	FDs   int     `json:"fds"`
	CPUMS float64 `json:"cpu_ms"` // since their start
}

// usage returns the total usage of the router's processes, read from /proc. It skips processes that
// have exited.
func (r *router) usage() (u Usage) {
	r.mu.Lock()
	procs := append([]*process(nil), r.processes...)
	r.mu.Unlock()
	for _, p := range procs {
		if one, err := ProcessUse(p.cmd.Process.Pid); err == nil {
			u.RSSMB, u.FDs, u.CPUMS = u.RSSMB+one.RSSMB, u.FDs+one.FDs, u.CPUMS+one.CPUMS
		}
	}
	return u
}

var errNoStat = errors.New("malformed /proc/PID/stat")

// ProcessUse reads a process's usage from /proc.
func ProcessUse(pid int) (u Usage, err error) {
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	_, rest, ok := strings.Cut(string(stat), ") ") // skips the name, which may contain any character
	f := strings.Fields(rest)
	if !ok || len(f) < 22 {
		return u, errNoStat
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	pages, _ := strconv.ParseFloat(f[21], 64)
	u.CPUMS = (user + system) * 10 // a tick is 1/100 s on Linux
	u.RSSMB = pages * float64(os.Getpagesize()) / (1 << 20)
	fds, err := os.ReadDir(dir + "/fd")
	u.FDs = len(fds)
	return u, err
}
