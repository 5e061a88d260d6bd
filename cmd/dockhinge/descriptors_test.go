package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// serveVariable is the environment variable that makes the test program run as the router.
const serveVariable = "DOCKHINGE_TEST_SERVE"

func TestMain(m *testing.M) {
	if os.Getenv(serveVariable) != "" {
		os.Args = os.Args[:1]
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const testTimeout = 20 * time.Second // for expected events; a passing test does not wait for it

// await calls holds until it returns nil, and fails the test after testTimeout.
func await(t *testing.T, what string, holds func() error) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for {
		err := holds()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// startCacheServer runs a cache server that answers each read with a hit.
func startCacheServer(t *testing.T) (addr string) {
	ln := listen(t, "127.0.0.1:0")
	var served sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		for _, conn := range open {
			conn.Close()
		}
		mu.Unlock()
		served.Wait()
	})
	served.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			served.Go(func() {
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					fields := strings.Fields(lines.Text())
					if len(fields) > 3 && fields[0] == "mg" {
						fmt.Fprintf(conn, "VA 5 %s h1\r\nhello\r\n", fields[3])
					}
				}
			})
		}
	})
	return ln.Addr().String()
}

// endpoint returns an entry of discovery's list.
func endpoint(id, addr, kind string) map[string]any {
	return map[string]any{
		"id":         id,
		"addr":       addr,
		"zone":       "a",
		"kind":       kind,
		"cell":       0,
		"state":      "active",
		"weight":     1.0,
		"started_ms": 0,
	}
}

// connectIdleClients starts clients that connect, send nothing, and reconnect when their connection
// is closed, until the test ends. It returns after each has connected once.
func connectIdleClients(t *testing.T, address string, clients int) {
	ctx, stop := context.WithCancel(context.Background())
	var idle, connected sync.WaitGroup
	t.Cleanup(func() { stop(); idle.Wait() })
	for range clients {
		connected.Add(1)
		idle.Go(func() {
			first := sync.OnceFunc(connected.Done)
			defer first()
			for ctx.Err() == nil {
				conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
				if err != nil {
					continue
				}
				first()
				closeAtEnd := context.AfterFunc(ctx, func() { conn.Close() })
				io.Copy(io.Discard, conn) //nolint:errcheck // until the router or the test closes it
				closeAtEnd()
				conn.Close()
				select {
				case <-time.After(100 * time.Millisecond): // limits the load of the reconnects
				case <-ctx.Done():
				}
			}
		})
	}
	connected.Wait()
}

// More idle clients connect than the process may have descriptors, and reconnect when they are
// closed. They must only get the descriptors that the router reserves for clients, so that
// discovery when it returns, health checks and cache servers have theirs under the limit that the
// platform sets for the process. Without this bound, the router would run out of descriptors and
// never receive the endpoint list.
func TestIdleClientsLeaveDescriptorsToDiscovery(t *testing.T) {
	const sockets = 256
	server := startCacheServer(t)
	discovery := listen(t, "127.0.0.1:0") // reserves the address of discovery, which is down at first
	discovery.Close()
	reserved := listen(t, "127.0.0.1:0")
	admin := reserved.Addr().String()
	reserved.Close()

	text, err := os.ReadFile("../../.ci/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	config["discovery"] = discovery.Addr().String()
	config["admin_addr"] = admin
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets}
	text, err = json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	log := filepath.Join(t.TempDir(), "log")
	out, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	router := exec.Command(os.Args[0])
	router.Env = append(os.Environ(), serveVariable+"=1", "GW_CONFIG="+path, "TMPDIR="+t.TempDir())
	router.Stdout = out
	router.Stderr = out
	if err := router.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		router.Process.Kill()
		router.Wait()
		if t.Failed() {
			logged, _ := os.ReadFile(log)
			t.Logf("the router's log:\n%s", logged)
		}
	})
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(router.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	var address string
	await(t, "the router listens", func() error {
		logged, err := os.ReadFile(log)
		for line := range strings.Lines(string(logged)) {
			if _, at, found := strings.Cut(line, " address="); found && strings.Contains(line, "msg=listening") {
				address = strings.TrimSpace(at)
				return nil
			}
		}
		return errors.Join(errors.New("no line of the log has the address"), err)
	})
	connectIdleClients(t, address, sockets+sockets/4)

	returned := listen(t, discovery.Addr().String())
	servers := []any{endpoint("s-0000000c", server, "box"), endpoint("s-00000063", server, "origin")}
	list := map[string]any{"version": 2, "full": true, "servers": servers}
	answer, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	service := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("wait_ms") != "" {
			<-r.Context().Done()
			return
		}
		w.Write(answer)
	})}
	done := make(chan struct{})
	go func() { defer close(done); service.Serve(returned) }()
	t.Cleanup(func() { service.Close(); <-done })

	await(t, "the admin address answers", func() error {
		resp, err := http.Get("http://" + admin + "/-/ready")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errors.New(resp.Status)
		}
		return nil
	})
	number := 0
	await(t, "the server listed by discovery serves a request", func() error {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(2 * time.Second))
		number++
		if _, err := fmt.Fprintf(conn, "mg 7f3a9c21e0b4d655 v O%d Pc=read,d=1500\r\n", number); err != nil {
			return err
		}
		line, err := bufio.NewReader(conn).ReadString('\n')
		if want := fmt.Sprintf("VA 5 O%d\r\n", number); line != want {
			return fmt.Errorf("got %q, %w", line, errors.Join(err, io.ErrUnexpectedEOF))
		}
		return nil
	})
	if logged, err := os.ReadFile(log); err != nil || strings.Contains(string(logged), unix.EMFILE.Error()) {
		t.Errorf("the router ran out of descriptors (reading its log: %v)", err)
	}
}
