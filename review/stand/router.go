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
	"syscall"
	"time"
)

// class is a request class of the settings.
type class struct {
	Name      string  `json:"name"`
	Effect    string  `json:"effect"`
	KeyScope  string  `json:"keyScope"`
	Window    float64 `json:"window"`
	Target    float64 `json:"target"`
	HardLimit float64 `json:"hardLimit"`
	Gain      float64 `json:"gain"`
	LateWorth float64 `json:"lateWorth"`
	Stream    bool    `json:"stream"`
}

// routerProcess is a router, started as the deploy file says.
type routerProcess struct {
	command *exec.Cmd
	listen  string
	admin   string
	ended   chan struct{}
}

// classes are those of addis-build-cache.
func classes() []class {
	return []class{
		{"fetch", "repeatable", "all", 5000, 600, 1200, 2, 0, false},
		{"publish", "by_key", "all", 3000, 600, 1500, 10, 0, false},
		{"release-tag", "once", "all", 5000, 600, 1200, 2, 0, false},
	}
}

// settings returns the settings of a small fleet of addis-build-cache.
func settings() map[string]any {
	return map[string]any{
		"balancers": 4, "myNumber": 0, "zone": "adama", "zones": []string{"adama"}, "categories": classes(),
		"kinds": []string{cacheKind, "origin"}, "discovery": "ask", "family": "cache",
		"familyInfo": map[string]any{"mode": "aside", "originKind": 1},
		"loadInfo":   map[string]any{"columns": []string{}, "how": "none"},
		"caps": map[string]any{
			"cancel": true, "connIdle": 10000, "connectTimeout": 250, "maxAttempts": 3, "maxRetryAfter": 1500,
			"mayProbe": false, "openCap": 20000, "peers": false, "retryAfter": true, "secondCopies": false,
			"streamsPerConn": 1,
		},
		"rules": map[string]any{
			"cold": 8800, "coldFrom": 0.3, "drainGrace": 2000, "graceToAnswer": 20, "mustAskIn": 10000,
			"overloadFactor": 3, "overloadFor": 2000,
		},
	}
}

// config returns a router's configuration.
func (w *world) config(listen, admin string) map[string]any {
	return map[string]any{
		"name": "n1", "listen": listen, "admin_addr": admin, "discovery": w.discovery.addr(),
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": w.discovery.whole(), "settings": settings(),
	}
}

// freeAddr returns a loopback address with a free port.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startRouter starts a router by the run line of the deploy file and waits until it is ready.
func (w *world) startRouter(listen string) (*routerProcess, error) {
	adminAddr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(w.config(listen, adminAddr))
	if err != nil {
		return nil, err
	}
	p, err := w.launch(text)
	if err != nil {
		return nil, err
	}
	p.listen, p.admin = listen, adminAddr
	for range readyTries {
		if isReady(adminAddr) {
			w.record.event("the router is ready at %s", listen)
			return p, nil
		}
		time.Sleep(readyInterval)
	}
	return nil, errors.New("the router is not ready in time")
}

// launch starts the run line with a configuration.
func (w *world) launch(text []byte) (*routerProcess, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	number := len(w.started) + 1
	path := filepath.Join(w.dir, fmt.Sprintf("config-%d.json", number))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.dir, fmt.Sprintf("router-%d.log", number)))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", os.Getenv("RUN_LINE"))
	command.Env = append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+w.dir)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &routerProcess{command: command, ended: make(chan struct{})}
	w.started = append(w.started, p)
	go func() {
		command.Wait() //nolint:errcheck // the state tells how it ended
		w.record.event("router %d ended: %v", number, command.ProcessState)
		close(p.ended)
	}()
	return p, nil
}

// The wait until a router is ready: half of the time that the pages allow.
const (
	readyTries    = 300
	readyInterval = 50 * time.Millisecond
)

// isReady asks a router's second address whether it is ready.
func isReady(adminAddr string) bool {
	resp, err := http.Get("http://" + adminAddr + "/-/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// kill ends the process, if it has not ended.
func (p *routerProcess) kill() {
	p.command.Process.Signal(syscall.SIGKILL) //nolint:errcheck // it may have ended
	<-p.ended
}
