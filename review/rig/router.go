package main

import (
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
	"syscall"
	"time"
)

// process is a process of the router.
type process struct {
	number int
	cmd    *exec.Cmd
	// done is closed once it has ended.
	done chan struct{}
	// admin is its second address.
	admin string
}

// startRouter starts a process of the router and waits until it is ready. A second one takes over from the first.
func (s *scene) startRouter() (*process, error) {
	command, err := deployLine("run")
	if err != nil {
		return nil, err
	}
	p := &process{number: len(s.processes) + 1, done: make(chan struct{})}
	for _, addr := range []*string{&s.clientAddr, &p.admin} {
		if *addr, err = freeAddr(*addr); err != nil {
			return nil, err
		}
	}
	config := filepath.Join(s.folder, "config.json")
	text, err := json.MarshalIndent(s.config(), "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(s.routerLog(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Env = append(os.Environ(), "GW_CONFIG="+config, "GW_ADMIN_ADDR="+p.admin, "TMPDIR="+s.folder)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	s.log("platform: process %d of the router is started with: %s", p.number, command)
	go func() { // ends with the process
		err := p.cmd.Wait()
		s.log("process %d of the router has ended: %v", p.number, err)
		close(p.done)
	}()
	if err := s.awaitReady(p); err != nil {
		return nil, err
	}
	s.log("process %d of the router is ready", p.number)
	return p, nil
}

// freeAddr returns the address, or a free one if it is empty.
func freeAddr(addr string) (string, error) {
	if addr != "" {
		return addr, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// awaitReady waits until a process says at its second address that it is ready.
func (s *scene) awaitReady(p *process) error {
	for s.ctx.Err() == nil {
		if code, err := p.call(http.MethodGet, "/-/ready"); err == nil && code == http.StatusOK {
			return nil
		}
		select {
		case <-p.done:
			return errors.New("the router has ended before it was ready")
		case <-time.After(50 * time.Millisecond):
		}
	}
	return errors.New("the router was not ready in time")
}

// call makes a call at the second address and returns the status.
func (p *process) call(method, path string) (code int, err error) {
	request, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		return 0, err
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	return answer.StatusCode, answer.Body.Close()
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to a process of the router.
func (s *scene) signal(p *process, signal syscall.Signal) {
	if !p.hasEnded() {
		s.log("platform: %v to process %d", signal, p.number)
		p.cmd.Process.Signal(signal) //nolint:errcheck // it may have ended
	}
}

// memoryMB returns the memory that belongs to the process alone, without the pages of files.
func (p *process) memoryMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, isFound := strings.CutPrefix(line, "RssAnon:"); isFound {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// deployLine returns a value of the deploy file.
func deployLine(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, isFound := strings.CutPrefix(line, key+` = "`); isFound {
			value, _, _ := strings.Cut(rest, `"`)
			return value, nil
		}
	}
	return "", fmt.Errorf("the deploy file has no %s", key)
}

// config is the configuration of the router, with settings like those of a small deployment.
func (s *scene) config() map[string]any {
	class := func(name, effect string, hardLimit float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "keyScope": "all", "window": 3000, "target": 600,
			"hardLimit": hardLimit, "gain": 2, "lateWorth": 0, "stream": false}
	}
	settings := map[string]any{
		"balancers": 1, "myNumber": 0, "zone": "hawassa", "zones": []string{"adama", "hawassa"}, "tick": 5,
		"categories": []any{class("fetch", "repeatable", 1200), class("publish", "by_key", 1500),
			class("release-tag", "once", 1200)},
		"kinds": []string{"std-4c", "origin"}, "family": "cache",
		"familyInfo": map[string]any{"mode": "aside", "originKind": 1}, "discovery": "ask", "weights": "rough",
		"loadInfo": map[string]any{"columns": []string{"rps", "cpu", "x0"}, "how": "probe"},
		"caps": map[string]any{"cancel": true, "connIdle": 10000, "connectTimeout": 250, "maxAttempts": 3,
			"maxRetryAfter": 1500, "mayProbe": true, "retryAfter": true, "secondCopies": false},
		"rules": map[string]any{"cold": 8800, "coldFrom": 0.3, "drainGrace": 2000, "graceToAnswer": 20,
			"mustAskIn": 10000, "overloadFactor": 3, "overloadFor": 2000},
	}
	return map[string]any{
		"name": "n1", "listen": s.clientAddr, "discovery": s.discovery.addr(), "seed": "8c1f30d27a5be964",
		"limits": s.limits, "known": s.discovery.list(), "settings": settings,
	}
}
