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

// router is one router: a name and an address, and the processes that are it, two of them during an upgrade.
type router struct {
	name, zone, listen string
	dir                string
	number             int
	busy               sync.Mutex // whoever has it down
	configBusy         sync.Mutex // whoever writes its configuration
	label              string     // of its program's version, guarded by the fleet's mu

	mu        sync.Mutex
	discovery string     // its address
	procs     []*process // the newest last
	bad       []string   // ends that nobody asked for
}

// process is one run of the router's command.
type process struct {
	cmd      *exec.Cmd
	admin    string
	expected bool // its end is; guarded by the router's mu
	done     chan struct{}
	end      error // how it ended; to be read once done is closed
	started  time.Time
	isReady  atomic.Bool
}

// reloadAfter is the time after a start before which no SIGHUP comes.
const reloadAfter = time.Second

// mayReload reports whether a SIGHUP may come: never before a process is ready, nor in its first second.
func (p *process) mayReload() bool { return p.isReady.Load() && time.Since(p.started) >= reloadAfter }

// given are the addresses that FreeAddr has given: whoever got one may not have bound it yet, or again.
var given sync.Map

// FreeAddr finds an address that nobody listens at, on the laboratory's own host and never the same twice, so that neither
// another laboratory nor another part of this one takes it before it is bound.
func FreeAddr() (string, error) {
	for range 100 {
		ln, err := net.Listen("tcp", fakes.LoopbackHost(fakes.Processes)+":0")
		if err != nil {
			return "", fmt.Errorf("no address: %w", err)
		}
		addr := ln.Addr().String()
		ln.Close()
		if _, taken := given.LoadOrStore(addr, true); !taken {
			return addr, nil
		}
	}
	return "", errors.New("no address: all are given")
}

// Spawn starts a command in a process group of its own, as Ctrl-C is for the laboratory, which ends its processes in order.
// What it writes goes to the end of the file log.
func Spawn(command, env []string, log string) (*exec.Cmd, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close() // the process has its own
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), env...), f, f
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd, cmd.Start()
}

// start runs the router's command with a configuration, and returns once the process is ready.
func (r *router) start(ctx context.Context, command, env []string, config map[string]any, ready time.Duration) error {
	second, err := FreeAddr()
	if err != nil {
		return err
	}
	config["admin_addr"] = second
	tmp := filepath.Join(r.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return fmt.Errorf("router %s: %w", r.name, err)
	}
	if err := r.writeConfig(config); err != nil {
		return err
	}
	cmd, err := Spawn(command, append([]string{"GW_CONFIG=" + r.configFile(), "TMPDIR=" + tmp}, env...), filepath.Join(r.dir, "log"))
	if err != nil {
		return fmt.Errorf("router %s: %w", r.name, err)
	}
	p := &process{cmd: cmd, admin: second, done: make(chan struct{}), started: time.Now()}
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() { // ended by the end of the process, which stop waits for
		err := cmd.Wait()
		r.mu.Lock()
		if !p.expected {
			r.bad = append(r.bad, fmt.Sprintf("router %s ended by itself: %v", r.name, err))
		}
		for i, q := range r.procs {
			if q == p {
				r.procs = append(r.procs[:i:i], r.procs[i+1:]...)
				break
			}
		}
		r.mu.Unlock()
		p.end = err
		close(p.done)
	}()
	return p.ready(ctx, r, ready)
}

func (r *router) configFile() string { return filepath.Join(r.dir, "config.json") }

// writeConfig writes the configuration file, whole at any moment.
func (r *router) writeConfig(config map[string]any) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return fmt.Errorf("router %s: %w", r.name, err)
	}
	r.configBusy.Lock()
	defer r.configBusy.Unlock()
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

// setDiscovery sets the address of discovery for configurations from now on, and returns the one before.
func (r *router) setDiscovery(addr string) (before string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.discovery
	r.discovery = addr
	return before
}

// ready waits until the second address says yes.
func (p *process) ready(ctx context.Context, r *router, within time.Duration) error {
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
			return fmt.Errorf("router %s ended before it was ready: %s\n%s", r.name, endOf(p.end), tail(log, 5))
		case <-ctx.Done():
			return fmt.Errorf("router %s: not ready within %v", r.name, within)
		case <-tick.C:
		}
	}
}

// endOf tells how a process ended: its exit status, or the signal that ended it, which leaves no word in its log.
func endOf(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

func tail(text []byte, lines int) []byte {
	all := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return bytes.Join(all[max(0, len(all)-lines):], []byte("\n"))
}

// newest is the process that was started last; nil where none runs.
func (r *router) newest() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.procs) == 0 {
		return nil
	}
	return r.procs[len(r.procs)-1]
}

// signal ends a process as told, and reports whether it was there.
func (r *router) signal(p *process, sig syscall.Signal) bool {
	if p == nil {
		return false
	}
	r.mu.Lock()
	p.expected = p.expected || sig != syscall.SIGHUP
	r.mu.Unlock()
	return p.cmd.Process.Signal(sig) == nil
}

// stop ends all processes of the router: with time to answer what they have, and then without.
func (r *router) stop(patience time.Duration) {
	r.mu.Lock()
	procs := append([]*process(nil), r.procs...)
	r.mu.Unlock()
	for _, p := range procs {
		r.signal(p, syscall.SIGTERM)
	}
	over := time.After(patience)
	for _, p := range procs {
		select {
		case <-p.done:
		case <-over:
			r.signal(p, syscall.SIGKILL)
			<-p.done
		}
	}
}

// Use is what a router's processes use together.
type Use struct {
	RSSMB float64 `json:"rss_mb"`
	FDs   int     `json:"fds"`
	CPUMS float64 `json:"cpu_ms"` // since their start
}

// use reads what the processes use from /proc; what has ended meanwhile counts nothing.
func (r *router) use() (u Use) {
	r.mu.Lock()
	procs := append([]*process(nil), r.procs...)
	r.mu.Unlock()
	for _, p := range procs {
		if one, err := ProcessUse(p.cmd.Process.Pid); err == nil {
			u.RSSMB, u.FDs, u.CPUMS = u.RSSMB+one.RSSMB, u.FDs+one.FDs, u.CPUMS+one.CPUMS
		}
	}
	return u
}

var errNoStat = errors.New("no such figures")

// ProcessUse reads what a process uses from /proc.
func ProcessUse(pid int) (u Use, err error) {
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	_, rest, ok := strings.Cut(string(stat), ") ") // behind the name, which may hold anything
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
