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

// SIGHUP reads the file again; a bad one changes nothing, and the program goes on.
func TestReload(t *testing.T) {
	good, err := os.ReadFile("../../.ci/config.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hup, updates := make(chan os.Signal), make(chan *router.Config)
	more := filepath.Join(t.TempDir(), "operator.toml")
	rules := func(text string) {
		if err := os.WriteFile(more, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	m := metrics.New()
	go reload(t.Context(), path, more, hup, updates, m)
	write("{")
	rules("version = 1")
	hup <- syscall.SIGHUP
	hup <- syscall.SIGHUP // this one is taken once the first has been carried out
	for end := time.Now().Add(10 * time.Second); m.ReloadFailures.Load() < 2; {
		if time.Now().After(end) {
			t.Fatal("a bad configuration was not refused")
		}
	}
	write(string(good))
	rules("version = 1\n[admission]\nothers_weight = -1")
	hup <- syscall.SIGHUP
	for end := time.Now().Add(10 * time.Second); m.ReloadFailures.Load() < 3; {
		if time.Now().After(end) {
			t.Fatal("a bad operator file was not refused")
		}
	}
	rules("version = 1\n[admission]\nenabled = true\n[[admission.tenant]]\nname = \"a\"\nweight = 2\nrate = 5\nburst = 3")
	for end := time.After(10 * time.Second); ; {
		select {
		case hup <- syscall.SIGHUP:
		case cfg := <-updates:
			if cfg == nil || cfg.Discovery != "127.0.0.1:9" {
				t.Errorf("got %+v", cfg)
			}
			if a := cfg.Admission; a == nil || len(a.Rules.Tenants) != 1 || a.Rules.Tenants[0].GuaranteedPerSecond != 5 {
				t.Errorf("got %+v", a)
			}
			return
		case <-end:
			t.Fatal("no configuration")
		}
	}
}

// The table names who has most first, and a router without admission says so.
func TestTenants(t *testing.T) {
	body := `{"limit":40,"refused":0.02,"tenants":[{"tenant":"small","asked":5,"work_ms":10,"weight":1},{"tenant":"big\u001b","asked":90,"refused":70,"told_ms":250,"work_ms":90,"weight":1}]}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if body == "" {
			http.NotFound(w, q)
			return
		}
		io.WriteString(w, body)
	}))
	defer s.Close()
	addr := strings.TrimPrefix(s.URL, "http://")
	var out strings.Builder
	if err := tenants([]string{addr}, &out); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(out.String(), "\n")
	if len(rows) < 4 || !strings.Contains(rows[2], `"big\x1b"`) || !strings.Contains(rows[2], "90.0") || !strings.Contains(rows[3], "small") {
		t.Errorf("%s", out.String())
	}
	body = ""
	for _, bad := range []string{addr, "nowhere"} {
		if err := tenants([]string{bad}, &out); err == nil || !strings.Contains(err.Error(), bad) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}
