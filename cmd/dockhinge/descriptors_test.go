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
	if name := os.Getenv(floodVariable); name != "" {
		requestFloods()[name].runUntilInputEnds(os.Getenv(floodAddressVariable))
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
	return serveLines(t, func(conn net.Conn, line string) bool {
		fields := strings.Fields(line)
		if len(fields) > 3 && fields[0] == "mg" {
			fmt.Fprintf(conn, "VA 5 %s h1\r\nhello\r\n", fields[3])
		}
		return true
	})
}

// process is a router as a process of its own.
type process struct {
	pid int
	// log is the path of its log.
	log string
}

// startProcess starts a router with a configuration. It is killed at the end of the test.
func startProcess(t *testing.T, command *exec.Cmd, config map[string]any) process {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { log.Close() })
	command.Env = append(os.Environ(), serveVariable+"=1", "GW_CONFIG="+path, "TMPDIR="+t.TempDir())
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		command.Process.Kill()
		command.Wait()
		if t.Failed() {
			logged, _ := os.ReadFile(log.Name())
			t.Logf("the router's log:\n%s", logged)
		}
	})
	return process{pid: command.Process.Pid, log: log.Name()}
}

// awaitAddress waits until the router listens, and returns its address.
func (p process) awaitAddress(t *testing.T) (address string) {
	t.Helper()
	await(t, "the router listens", func() error {
		logged, err := os.ReadFile(p.log)
		for line := range strings.Lines(string(logged)) {
			if _, at, found := strings.Cut(line, " address="); found && strings.Contains(line, "msg=listening") {
				address = strings.TrimSpace(at)
				return nil
			}
		}
		return errors.Join(errors.New("no line of the log has the address"), err)
	})
	return address
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

	config := readTestConfig(t)
	config["discovery"] = discovery.Addr().String()
	config["admin_addr"] = admin
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets}
	router := startProcess(t, exec.Command(os.Args[0]), config)
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(router.pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	address := router.awaitAddress(t)
	connectIdleClients(t, address, sockets+sockets/4)

	returned := listen(t, discovery.Addr().String())
	servers := []any{endpoint("s-0000000c", server, "box"), endpoint("s-00000063", server, "origin")}
	list := map[string]any{"version": 2, "full": true, "servers": servers}
	serveDiscovery(t, returned, list)

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
	if logged, err := os.ReadFile(router.log); err != nil || strings.Contains(string(logged), unix.EMFILE.Error()) {
		t.Errorf("the router ran out of descriptors (reading its log: %v)", err)
	}
}
