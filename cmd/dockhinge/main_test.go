package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/metrics"
	"dockhinge.example/dockhinge/internal/router"
)

// configPair is the paths of a configuration and an operator file that a test rewrites.
type configPair struct {
	t     *testing.T
	files configFiles
}

func newConfigPair(t *testing.T) configPair {
	dir := t.TempDir()
	return configPair{t, configFiles{
		router:   filepath.Join(dir, "config.json"),
		operator: filepath.Join(dir, "operator.toml"),
	}}
}

func (p configPair) writeRouter(text string)   { p.write(p.files.router, text) }
func (p configPair) writeOperator(text string) { p.write(p.files.operator, text) }

func (p configPair) write(path, text string) {
	p.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// SIGHUP reloads both files. While either has a mistake, each signal must be counted as a failure
// and change nothing; once both are valid, the next signal must deliver their configuration. If one
// file were applied alone, the router would run with a combination of settings that was never
// validated.
func TestReloadAppliesBothFilesOrNeither(t *testing.T) {
	good, err := os.ReadFile("../../.ci/config.json")
	if err != nil {
		t.Fatal(err)
	}
	hup := make(chan os.Signal)
	updates := make(chan *router.Config)
	pair := newConfigPair(t)
	m := metrics.New()
	go pair.files.reload(t.Context(), hup, updates, m)
	awaitFailures := func(count int64, what string) {
		t.Helper()
		for end := time.Now().Add(testTimeout); m.ReloadFailures.Load() < count; {
			if time.Now().After(end) {
				t.Fatalf("%s was not rejected", what)
			}
		}
	}

	pair.writeRouter("{")
	pair.writeOperator("version = 1")
	hup <- syscall.SIGHUP
	hup <- syscall.SIGHUP // received only after the first reload has ended
	awaitFailures(2, "an invalid configuration")

	pair.writeRouter(string(good))
	pair.writeOperator("version = 1\n[admission]\nothers_weight = -1")
	hup <- syscall.SIGHUP
	awaitFailures(3, "an invalid operator file")

	pair.writeOperator(`version = 1
[admission]
enabled = true
[[admission.tenant]]
name = "a"
weight = 2
rate = 5
burst = 3`)
	for end := time.After(testTimeout); ; {
		select {
		case hup <- syscall.SIGHUP:
		case cfg := <-updates:
			if cfg == nil || cfg.Discovery != "127.0.0.1:9" {
				t.Errorf("got %+v", cfg)
			}
			a := cfg.Admission
			if a == nil || len(a.Rules.Tenants) != 1 || a.Rules.Tenants[0].GuaranteedPerSecond != 5 {
				t.Errorf("got %+v", a)
			}
			return
		case <-end:
			t.Fatal("no configuration was delivered")
		}
	}
}

const admissionAnswer = `{"limit": 40, "refused": 0.02, "tenants": [
	{"tenant": "small", "asked": 5, "work_ms": 10, "weight": 1},
	{"tenant": "big\u001b", "asked": 90, "refused": 70, "told_ms": 250, "work_ms": 90, "weight": 1}]}`

// The table must list the tenant with the most work first, and escape the names, as clients choose
// them. The error must name a router without admission, and an address that is not valid.
func TestTenantsPrintsTable(t *testing.T) {
	answer := admissionAnswer
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if answer == "" {
			http.NotFound(w, request)
			return
		}
		io.WriteString(w, answer)
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	var out strings.Builder
	if err := printTenants([]string{addr}, &out); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(out.String(), "\n")
	if len(rows) < 4 || !strings.Contains(rows[3], "small") {
		t.Fatalf("%s", out.String())
	}
	if !strings.Contains(rows[2], `"big\x1b"`) || !strings.Contains(rows[2], "90.0") {
		t.Errorf("%s", out.String())
	}
	answer = ""
	for _, bad := range []string{addr, "nowhere"} {
		if err := printTenants([]string{bad}, &out); err == nil || !strings.Contains(err.Error(), bad) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}
