package main

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// commandTimeLimit is the time within which each operators' command that waits for no permit must
// end. It is generous, because the machine may be busy.
const commandTimeLimit = 3 * leaderTimeout

// listenWithoutAnswering listens like the machine of a stopped process: it accepts connections, but
// never answers.
func listenWithoutAnswering(t *testing.T) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

// unusedAddr returns an address at which no process listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Guards against operators' commands that never end, or that report success, while the coordinators
// are stopped or unreachable.
func TestCommandsEndWithoutCoordinators(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.toml")
	if err := os.WriteFile(file, []byte("x = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	commands := [][]string{
		{"status"},
		{"status", "--json"},
		{"init"},
		{"members"},
		{"members", "remove", "c1"},
		{"members", "upgrade"},
		{"lease", "list"},
		{"fleet"},
		{"halt", "--why", "a test"},
		{"resume"},
		{"undrain", "server/s-1"},
		{"forget", "server/s-1"},
		{"permit", "clear", "server/s-1"},
		{"release", "status"},
		{"config", "list"},
		{"config", "get", "a.toml"},
		{"config", "history", "a.toml"},
		{"config", "put", "a.toml", file},
	}
	for state, addr := range map[string]string{"stopped": listenWithoutAnswering(t), "gone": unusedAddr(t)} {
		for _, args := range commands {
			t.Run(state+"/"+strings.Join(args[:min(len(args), 2)], " "), func(t *testing.T) {
				t.Parallel()
				root := newRootCommand()
				root.SetArgs(append(args, "--coordinators", "c1="+addr+",c2="+addr))
				root.SetOut(&bytes.Buffer{})
				began := time.Now()
				if err := root.ExecuteContext(t.Context()); err == nil {
					t.Error("no error")
				}
				if took := time.Since(began); took > commandTimeLimit {
					t.Errorf("ended after %v", took)
				}
			})
		}
	}
}

// Guards against JSON that omits the coordinators that don't answer.
func TestStatusNamesCoordinatorsThatDoNotAnswer(t *testing.T) {
	root := newRootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs([]string{"status", "--json", "--coordinators", "c1=" + unusedAddr(t)})
	if err := root.ExecuteContext(t.Context()); err == nil {
		t.Error("no error without a leader")
	}
	var answers map[string]failedStatus
	if err := json.Unmarshal(out.Bytes(), &answers); err != nil {
		t.Fatalf("%s: %v", out.Bytes(), err)
	}
	if answers["c1"].Error == "" {
		t.Errorf("got %s", out.Bytes())
	}
}
