package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// class is a request class of the settings.
type class struct {
	name, effect             string
	aimMillis, deadlineMills float64
	windowMillis             float64
}

// deployment is what the routers of a case are told. Its figures are those of the first site,
// addis-build-cache, as far as a case does not say otherwise.
type deployment struct {
	classes   []class
	servers   []listEntry
	discovery string
	listen    string
}

// listEntry is a server on discovery's list.
type listEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
}

const originKind = "origin"

// entry returns an active server of the list.
func entry(id, addr, kind string) listEntry {
	return listEntry{ID: id, Addr: addr, Zone: "adama", Kind: kind, State: "active", Weight: 1}
}

// settings returns the settings object.
func (d *deployment) settings() map[string]any {
	var categories []any
	for _, c := range d.classes {
		categories = append(categories, map[string]any{
			"name": c.name, "effect": c.effect, "keyScope": "all", "target": c.aimMillis,
			"hardLimit": c.deadlineMills, "window": c.windowMillis, "gain": 2, "lateWorth": 0, "stream": false,
		})
	}
	return map[string]any{
		"balancers": 1, "myNumber": 0, "zone": "adama", "zones": []string{"adama"}, "categories": categories,
		"kinds": []string{"std-4c", originKind}, "family": "cache", "discovery": "ask", "weights": "rough",
		"countedBy": "request", "overShareWorth": 0.1, "projects": []any{}, "tick": 5,
		"familyInfo":   map[string]any{"mode": "aside", "originKind": 1, "originFall": 3000, "originFallMultiple": 0},
		"loadInfo":     map[string]any{"how": "probe", "columns": []string{"rps", "cpu", "x0"}},
		"clientHabits": map[string]any{"marksRetry": true},
		"caps": map[string]any{
			"cancel": true, "connIdle": 10000, "connectTimeout": 250, "cpuUsPerRequest": 0, "cpuUsPerS": 15000,
			"maxAttempts": 3, "maxRetryAfter": 1500, "mayProbe": true, "openCap": 20000, "peers": false,
			"retryAfter": true, "secondCopies": false, "streamsPerConn": 128,
		},
		"rules": map[string]any{
			"cold": 8800, "coldFrom": 0.3, "drainGrace": 2000, "graceToAnswer": 20, "mustAskIn": 10000,
			"overloadFactor": 3, "overloadFor": 2000,
		},
	}
}

// routerProcess is a running router.
type routerProcess struct {
	scene  *scene
	name   string
	listen string
	admin  string
	cmd    *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// runLine matches the line of the deploy file that starts a router.
var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// startRouter starts a router by the run line of the deploy file and waits until it is ready.
func (s *scene) startRouter(d *deployment, name string) (*routerProcess, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("the deploy file has no run line")
	}
	admin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	config, err := s.writeConfig(d, name, admin)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	r := &routerProcess{scene: s, name: name, listen: d.listen, admin: admin, ended: make(chan struct{})}
	r.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	r.cmd.Env = append(os.Environ(), "GW_CONFIG="+config, "GW_NAME=n1", "GW_LISTEN="+d.listen,
		"GW_DISCOVERY="+d.discovery, "GW_ADMIN_ADDR="+admin, "TMPDIR="+s.folder)
	r.cmd.Stdout = log
	r.cmd.Stderr = log
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := r.cmd.Wait()
		s.note(name, "the process has ended: %v", exitText(err))
		close(r.ended)
	}()
	s.atEnd(func() {
		r.cmd.Process.Kill() //nolint:errcheck // it may have ended
		<-r.ended
		s.noteLog(name, log.Name())
	})
	return r, r.awaitReady()
}

// exitText describes how a process has ended.
func exitText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// writeConfig writes a router's configuration file.
func (s *scene) writeConfig(d *deployment, name, admin string) (path string, err error) {
	text, err := json.MarshalIndent(map[string]any{
		"name": "n1", "listen": d.listen, "discovery": d.discovery, "admin_addr": admin, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"version": listVersion, "full": true, "servers": d.servers},
		"settings": d.settings(),
	}, "", " ")
	if err != nil {
		return "", err
	}
	path = filepath.Join(s.folder, name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// noteLog adds a router's log to the record.
func (s *scene) noteLog(name, path string) {
	log, err := os.Open(path)
	if err != nil {
		return
	}
	defer log.Close()
	for lines := bufio.NewScanner(log); lines.Scan(); {
		s.note(name, "log: %s", lines.Text())
	}
}

// readyTimeout is how long a router may take to be ready.
const readyTimeout = 20 * time.Second

// awaitReady waits until the router says yes at its second address.
func (r *routerProcess) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-r.ended:
			return fmt.Errorf("%s has ended before it was ready", r.name)
		default:
		}
		if r.saysReady() {
			r.scene.note(r.name, "ready")
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %v", r.name, readyTimeout)
}

// saysReady asks the router once whether it is ready.
func (r *routerProcess) saysReady() bool {
	conn, err := net.DialTimeout("tcp", r.admin, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /-/ready HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", r.admin)
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && len(line) > 9 && line[9] == '2'
}

// terminate sends SIGTERM to the router, as a planned restart does.
func (r *routerProcess) terminate() error {
	r.scene.note(r.name, "SIGTERM")
	return r.cmd.Process.Signal(syscall.SIGTERM)
}

// hasEnded reports whether the process has ended.
func (r *routerProcess) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}
