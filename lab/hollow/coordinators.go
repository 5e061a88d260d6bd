package hollow

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/node"
	"dockhinge.example/dockhinge/lab/fleet"
)

// Timeouts of a group of coordinators, and the pause between two polls.
const (
	startTimeout    = 20 * time.Second
	shutdownTimeout = 5 * time.Second
	statusTimeout   = 5 * time.Second
	pollInterval    = 50 * time.Millisecond
)

// coordinator is one coordinator process.
type coordinator struct {
	name, listen, api string
	command           []string
	logPath           string
	cmd               *exec.Cmd
	done              chan struct{} // closed when the process has ended
}

// group is a group of coordinators, each a real process without injected faults.
type group struct{ all []*coordinator }

// startGroup starts the coordinators, forms a group of them and upgrades it to the state version of
// this program.
func startGroup(ctx context.Context, o Options) (g *group, err error) {
	g = &group{}
	defer func() {
		if err != nil {
			g.close()
		}
	}()
	for i := range o.Coordinators {
		c, err := startCoordinator(fmt.Sprintf("c%d", i), o)
		if err != nil {
			return nil, err
		}
		g.all = append(g.all, c)
	}
	var members []node.Member
	for _, c := range g.all {
		var s node.Status
		if err := retryUntil(ctx, startTimeout, func() error { s, err = c.status(ctx); return err }); err != nil {
			return nil, fmt.Errorf("coordinator %s: %w", c.name, err)
		}
		members = append(members, node.Member{Name: c.name, Identity: s.Identity, Address: c.listen})
	}
	if err := client.Call(ctx, http.MethodPost, g.all[0].api, "/v1/init", members, nil); err != nil {
		return nil, fmt.Errorf("forming the group: %w", err)
	}
	return g, retryUntil(ctx, startTimeout, func() error { return g.upgrade(ctx) })
}

// startCoordinator starts one process with its own addresses and directory.
func startCoordinator(name string, o Options) (*coordinator, error) {
	c := &coordinator{name: name, logPath: filepath.Join(o.Dir, name+".log")}
	var err error
	if c.listen, err = fleet.FreeAddr(); err != nil {
		return nil, err
	}
	if c.api, err = fleet.FreeAddr(); err != nil {
		return nil, err
	}
	file := filepath.Join(o.Dir, name+".toml")
	text := fmt.Sprintf("version = 1\nname = %q\ndir = %q\nlisten = %q\napi = %q\nbeat = %q\n", name,
		filepath.Join(o.Dir, name), c.listen, c.api, o.HeartbeatTimeout)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	c.command = append(slices.Clone(o.Command), "serve", file)
	return c, c.start()
}

// start starts the process, or restarts it after it has ended.
func (c *coordinator) start() error {
	cmd, err := fleet.Spawn(c.command, nil, c.logPath)
	if err != nil {
		return fmt.Errorf("coordinator %s: %w", c.name, err)
	}
	done := make(chan struct{})
	c.cmd, c.done = cmd, done
	go func() { // returns when the process ends; close waits for it
		_ = cmd.Wait() // a failed process is detected by its missing responses
		close(done)
	}()
	return nil
}

// restart kills all coordinators at once and restarts them on their directories.
func (g *group) restart() error {
	for _, c := range g.all {
		_ = c.cmd.Process.Kill() // the process may have ended
	}
	for _, c := range g.all {
		<-c.done
		if err := c.start(); err != nil {
			return err
		}
	}
	return nil
}

// upgrade switches the group to the commands and limits of this program's state version.
func (g *group) upgrade(ctx context.Context) error {
	l, _, err := g.leader(ctx)
	if err != nil {
		return err
	}
	var a coord.Response
	if err := client.Call(ctx, http.MethodPost, l.api, "/v1/upgrade",
		coord.Command{TargetVersion: coord.Version}, &a); err != nil {
		return err
	}
	if a.Code != coord.CodeOK {
		return a
	}
	return nil
}

// status returns the status that the coordinator reports.
func (c *coordinator) status(ctx context.Context) (s node.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err = client.Call(ctx, http.MethodGet, c.api, "/v1/status", nil, &s)
	return s, err
}

var errNoLeader = errors.New("no coordinator leads")

// leader returns the coordinator that reports itself as leader of the highest term, and its status.
func (g *group) leader(ctx context.Context) (l *coordinator, status node.Status, err error) {
	for _, c := range g.all {
		if s, err := c.status(ctx); err == nil && s.State == "Leader" && s.Term > status.Term {
			l, status = c, s
		}
	}
	if l == nil {
		return nil, status, errNoLeader
	}
	return l, status, nil
}

// addresses returns the API addresses of the coordinators by name.
func (g *group) addresses() map[string]string {
	all := map[string]string{}
	for _, c := range g.all {
		all[c.name] = c.api
	}
	return all
}

// close terminates all processes and waits until they have ended.
func (g *group) close() {
	for _, c := range g.all {
		_ = c.cmd.Process.Signal(syscall.SIGTERM) // the process may have ended
	}
	timeout := time.After(shutdownTimeout)
	for _, c := range g.all {
		select {
		case <-c.done:
		case <-timeout:
			_ = c.cmd.Process.Kill()
			<-c.done
		}
	}
}

// processUsage is the resource use of a process: CPU time and bytes read since its start, memory and
// descriptors at present.
type processUsage struct {
	cpu         time.Duration
	residentMB  float64
	descriptors int
	readBytes   int64 // by read calls; nearly all from sockets, as log and state files are mapped or only written
}

// readProcessUsage reads the resource use of a process from /proc.
func readProcessUsage(pid int) (u processUsage, err error) {
	p, err := fleet.ProcessUse(pid)
	if err != nil {
		return u, err
	}
	u = processUsage{cpu: time.Duration(p.CPUMS * float64(time.Millisecond)), residentMB: p.RSSMB, descriptors: p.FDs}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "rchar: "); ok {
			u.readBytes, err = strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		}
	}
	return u, err
}

// retryUntil calls f until it succeeds; when ctx ends or the time is up, it returns the last error of f.
func retryUntil(ctx context.Context, within time.Duration, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}
