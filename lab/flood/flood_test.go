package flood

import (
	"bufio"
	"context"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second // for expected events

// startRouter accepts connections and reports the first line of each.
func startRouter(t *testing.T) (address string, lines chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	lines = make(chan string, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			line, _ := bufio.NewReader(conn).ReadString('\n')
			lines <- line
		}
	}()
	return listener.Addr().String(), lines
}

// childCount returns the number of processes that this one has started and not waited for.
func childCount(t *testing.T) int {
	t.Helper()
	files, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil || len(files) == 0 {
		t.Skip("the system doesn't list a process's children")
	}
	count := 0
	for _, file := range files {
		children, _ := os.ReadFile(file) // a thread may have ended
		count += len(regexp.MustCompile(`\d+`).FindAll(children, -1))
	}
	return count
}

// Guards against floods in the process of the laboratory: its servers read requests up to 200 ms late, and
// the checker took attempts that had been given up for attempts in progress.
func TestFloodRunsInAProcessOfItsOwn(t *testing.T) {
	tests := map[string]struct {
		plan Plan
		line string
	}{
		"local commands": {Plan{Local: 1}, `^mg k v Of\d+ Pc=class\d+,d=500\r\n$`},
		"reads": {Plan{Requests: &Requests{Class: "fetch", DeadlineMillis: 90, Names: "flood-1-"}},
			`^mg (flood-1-[01]\.\d+) v Oflood-1-[01]\.\d+ Pc=fetch,d=90\r\n$`},
		"keyed writes": {
			Plan{Requests: &Requests{Class: "publish", IsKeyed: true, IsWrite: true, DeadlineMillis: 1e3, Names: "f"}},
			`^ms f[01]\.\d+ 3 Of[01]\.\d+ Pc=publish,d=1000,k=f[01]\.\d+\r\n$`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var lines chan string
			test.plan.Address, lines = startRouter(t)
			test.plan.Connections = 2
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- Run(ctx, test.plan) }()
			for range test.plan.Connections {
				select {
				case line := <-lines:
					if !regexp.MustCompile(test.line).MatchString(line) {
						t.Errorf("the flood sent %q", line)
					}
				case <-time.After(testTimeout):
					t.Fatal("a connection of the flood sent nothing")
				}
			}
			if count := childCount(t); count != 1 {
				t.Errorf("%d processes besides this one, want 1", count)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
			if count := childCount(t); count != 0 {
				t.Errorf("%d processes run on after the flood", count)
			}
		})
	}
}
