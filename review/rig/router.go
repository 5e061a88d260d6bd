package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// process is the process of the router.
type process struct {
	cmd *exec.Cmd
	// done is closed once it has ended.
	done chan struct{}
}

// startRouter starts the router and waits until it is ready.
func (s *scene) startRouter() (*process, error) {
	command, err := deployLine("run")
	if err != nil {
		return nil, err
	}
	config := filepath.Join(s.folder, "config.json")
	text, err := json.MarshalIndent(s.config(), "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(s.routerLog())
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "GW_CONFIG="+config, "TMPDIR="+s.folder)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	s.router = p
	s.log("platform: the router is started with: %s", command)
	go func() { // ends with the process
		err := p.cmd.Wait()
		s.log("the router has ended: %v", err)
		close(p.done)
	}()
	if err := s.awaitReady(p); err != nil {
		return nil, err
	}
	s.log("the router is ready at %s", s.clientAddr)
	return p, nil
}

// listening is the line of the router's log that tells its address.
var listening = regexp.MustCompile(`msg=listening .*address=(127\.0\.0\.1:[0-9]+)`)

// awaitReady waits until the router listens and answers mn with MN.
func (s *scene) awaitReady(p *process) error {
	for s.ctx.Err() == nil {
		text, err := os.ReadFile(s.routerLog())
		if err != nil {
			return err
		}
		if found := listening.FindSubmatch(text); found != nil {
			s.clientAddr = string(found[1])
			if s.isReady() {
				return nil
			}
		}
		select {
		case <-p.done:
			return errors.New("the router has ended before it was ready")
		case <-time.After(50 * time.Millisecond):
		}
	}
	return errors.New("the router was not ready in time")
}

// isReady asks the router whether it is ready.
func (s *scene) isReady() bool {
	c, err := s.connect(0)
	if err != nil {
		return false
	}
	defer c.Close()
	io.WriteString(c, "mn\r\n") //nolint:errcheck // the answer shows it
	return c.readAnswer().line == "MN"
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the router.
func (s *scene) signal(p *process, signal syscall.Signal) {
	if !p.hasEnded() {
		s.log("platform: %v to the router", signal)
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
		"categories": []any{class("fetch", s.readEffect, 1200), class("publish", "by_key", 1500),
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
		"name": "n1", "listen": "127.0.0.1:0", "discovery": s.discovery.addr(), "seed": "8c1f30d27a5be964",
		"limits": s.limits, "known": s.discovery.list(), "settings": settings,
	}
}
