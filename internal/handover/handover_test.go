package handover

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/admin"
)

// process is a fake of the process that serves and hands over.
type process struct {
	ln       net.Listener
	state    string
	err      error
	joined   chan *Link
	received chan Message
	handle   func(Message) error
}

func (p *process) State(context.Context, *Link) ([]byte, error) {
	text, err := json.Marshal(p.state)
	return text, errors.Join(p.err, err)
}

func (p *process) RunLink(ctx context.Context, l *Link) {
	p.joined <- l
	l.Run(ctx, func(m Message) error {
		p.received <- m
		if p.handle != nil {
			return p.handle(m)
		}
		return nil
	})
}

// serve starts a process that serves addr and hands over state until the test ends or stop is
// called.
func serve(t *testing.T, dir, addr string, state string) (*process, context.CancelFunc) {
	t.Helper()
	ln, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{ln: ln, state: state, joined: make(chan *Link, 10), received: make(chan Message, 10)}
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := Serve(ctx, dir, addr, ln.(*net.TCPListener), p); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() { stop(); wg.Wait(); ln.Close() })
	return p, stop
}

// join joins the process whose state is want, and waits until that process accepts successors.
func join(t *testing.T, dir, addr, want string) (*Link, net.Listener) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; {
		l, ln, text, err := Join(t.Context(), dir, addr)
		if err != nil {
			if time.Now().After(end) {
				t.Fatal(err)
			}
			continue
		}
		if string(text) != `"`+want+`"` { // the previous process still owns the path
			l.Close()
			ln.Close()
			continue
		}
		t.Cleanup(func() { l.Close(); ln.Close() })
		return l, ln
	}
}

// A new process starts next to the one that serves. It must receive the same listening socket and
// the state, accept a connection that was queued when the old process closed the socket, and
// exchange calls with the old process in both directions, each answered with the other side's
// error.
func TestSuccessorReceivesSocketAndState(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 40)) // exceeds the length limit of a Unix socket's path
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	old, _ := serve(t, dir, "a:1", "first")
	link, ln := join(t, dir, "a:1", "first")
	if ln.Addr().String() != old.ln.Addr().String() {
		t.Fatalf("got %v, want %v", ln.Addr(), old.ln.Addr())
	}
	// A connection that is queued when the old process closes the socket goes to the new one.
	conn, err := net.Dial("tcp", old.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	old.ln.Close()
	got, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer got.Close()
	if got.RemoteAddr().String() != conn.LocalAddr().String() {
		t.Errorf("accepted a connection from %v", got.RemoteAddr())
	}

	// Calls work in both directions.
	oldLink := <-old.joined
	old.handle = func(Message) error { return errors.New("not here") }
	var wg sync.WaitGroup
	defer wg.Wait()
	received := make(chan Message, 1)
	wg.Go(func() { link.Run(t.Context(), func(m Message) error { received <- m; return nil }) })
	if err := oldLink.Call(t.Context(), "ban", "x"); err != nil {
		t.Error(err)
	}
	if m := <-received; m.Kind != "ban" || string(m.Body) != `"x"` {
		t.Errorf("got %+v", m)
	}
	if err := link.Call(t.Context(), "ban", "y"); err == nil || err.Error() != "not here" {
		t.Errorf("got error %v", err)
	}
	oldLink.Close()
	if err := link.Call(t.Context(), "ban", "z"); !errors.Is(err, ErrPeerClosed) {
		t.Errorf("after the peer has closed the link: got error %v", err)
	}
}

// A process dies and leaves its socket file behind. Then two processes start one after the other,
// and the first one ends. A successor must always reach the newest process: if a process removed
// the file when it ends, the other one's successor could not connect.
func TestSuccessorReachesNewestProcess(t *testing.T) {
	dir := t.TempDir()
	path, folder, err := socketPath(dir, "a:1")
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	dead, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	dead.SetUnlinkOnClose(false)
	dead.Close()
	if _, _, _, err := Join(t.Context(), dir, "a:1"); err == nil {
		t.Error("joined a dead process")
	}
	_, stop := serve(t, dir, "a:1", "first")
	join(t, dir, "a:1", "first")
	serve(t, dir, "a:1", "second")
	join(t, dir, "a:1", "second")
	stop() // when the old process ends, the path must still lead to the new one
	join(t, dir, "a:1", "second")
}

// Guards against an old process that no later one finds: a new process has replaced its socket at the path, and
// has died, at any step of joining. A later process would start alone, without the old one's disabled servers.
func TestOldProcessIsFoundAfterItsSuccessorDied(t *testing.T) {
	dir := t.TempDir()
	old, _ := serve(t, dir, "a:1", "old")
	for round := range 3 {
		link, _ := join(t, dir, "a:1", "old")
		<-old.joined
		ln, err := Listen(t.Context(), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, kill := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() {
			next := &process{ln: ln, state: "new", joined: make(chan *Link, 10)}
			served <- Serve(ctx, dir, "a:1", ln.(*net.TCPListener), next)
		}()
		awaitState(t, dir, "a:1", "new")
		kill() // its listener and its link are closed, its file stays
		if err := <-served; err != nil {
			t.Fatal(err)
		}
		ln.Close()
		link.Close()
		if got := awaitState(t, dir, "a:1", "old"); got != "old" {
			t.Fatalf("round %d: joined %q", round, got)
		}
		(<-old.joined).Close()
	}
}

// awaitState joins until the state is want, and returns the last one.
func awaitState(t *testing.T, dir, addr, want string) (got string) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); got != want && time.Now().Before(end); {
		l, ln, text, err := Join(t.Context(), dir, addr)
		if err != nil {
			continue
		}
		got = strings.Trim(string(text), `"`)
		l.Close()
		ln.Close()
	}
	return got
}

// The peer at the path sends nothing, has another version, sends no socket, or is not a router.
// Join must return an error within its timeouts, so that the new process can start alone.
func TestJoinFailsWithUnsuitablePeer(t *testing.T) {
	frame := func(text string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	}
	for name, sent := range map[string][]byte{
		"silent":          nil,
		"another version": frame(`{"kind":"state","version":99}`),
		"no socket":       frame(`{"kind":"state","version":1,"body":{}}`),
		"not a message":   []byte("HTTP/1.1 400 Bad Request\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path, folder, err := socketPath(dir, "a:1")
			if err != nil {
				t.Fatal(err)
			}
			defer folder.Close()
			listener, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			var wg sync.WaitGroup
			defer wg.Wait()
			defer listener.Close()
			wg.Go(func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				conn.Write(sent)
				io.Copy(io.Discard, conn)
			})
			if _, _, _, err := Join(t.Context(), dir, "a:1"); err == nil {
				t.Error("joined a peer that can't hand over")
			}
		})
	}
	if _, _, _, err := Join(t.Context(), filepath.Join(t.TempDir(), "none"), "a:1"); err == nil {
		t.Error("joined in a directory that does not exist")
	}
}

// Only a successor of the same version may receive the socket and the state. A connection that
// sends anything else must get no bytes, and neither must a successor if the state is not
// available.
func TestOnlySuccessorsReceiveSocketAndState(t *testing.T) {
	dir := t.TempDir()
	p, _ := serve(t, dir, "a:1", "first")
	join(t, dir, "a:1", "first")
	<-p.joined
	path, folder, err := socketPath(dir, "a:1")
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	for _, sent := range []string{"", "noise", `{"kind":"hello","version":99}`, `{"kind":"ban"}`} {
		conn, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		if sent != "" {
			conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(sent))), sent...))
		}
		conn.(*net.UnixConn).CloseWrite()
		if got, _ := io.ReadAll(conn); len(got) > 0 {
			t.Errorf("sent %q, received %q", sent, got)
		}
		conn.Close()
	}
	p.err = errors.New("no state")
	if _, _, _, err := Join(t.Context(), dir, "a:1"); err == nil {
		t.Error("joined a process without a state")
	}
	select {
	case <-p.joined:
		t.Error("a peer that is not a successor has joined")
	default:
	}
}

// The peer reads a call and never answers it. The call must end with its context.
func TestCallToSilentPeerEndsWithContext(t *testing.T) {
	a, b := connPair(t)
	defer b.Close()
	l := newLink(a)
	ctx, stop := context.WithCancel(t.Context())
	go func() { readMessage(b); stop() }()
	if err := l.Call(ctx, "ban", "x"); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v", err)
	}
}

func connPair(t *testing.T) (a, b *net.UnixConn) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "s")
	listener, err := net.Listen("unix", name)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("unix", name)
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client.(*net.UnixConn), server.(*net.UnixConn)
}

// An old process that can't hand over still listens at the address. The new process must be able to
// listen there too.
func TestTwoListenersShareAnAddress(t *testing.T) {
	a, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := Listen(t.Context(), a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b.Close()
}

func FuzzReadMessage(f *testing.F) {
	for _, text := range []string{`{"kind":"ban","call":1,"body":{"id":"x"}}`, `{}`, `[`, ``} {
		f.Add(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := readMessage(bytes.NewReader(b))
		if err != nil {
			return
		}
		if _, err := json.Marshal(m); err != nil {
			t.Error(fmt.Errorf("%+v: %w", m, err))
		}
	})
}

// Either process may die after any byte that it sends. The other one must go on: a new process must
// get an error from Join within its timeouts, and an old one must accept the next successor.
func TestEitherProcessMayDieAtAnyByte(t *testing.T) {
	frame := func(text string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	}
	t.Run("the old one", func(t *testing.T) {
		shared, err := Listen(t.Context(), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer shared.Close()
		raw, err := shared.(*net.TCPListener).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		complete := frame(`{"kind":"state","version":1,"body":"first"}`)
		before := countDescriptors(t)
		for n := range complete {
			dir := t.TempDir()
			path, folder, err := socketPath(dir, "a:1")
			if err != nil {
				t.Fatal(err)
			}
			listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
			if err != nil {
				t.Fatal(err)
			}
			var wg sync.WaitGroup
			wg.Go(func() {
				conn, err := listener.AcceptUnix()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close() // the old process dies here
				if n == 0 {
					return
				}
				if _, err := readMessage(conn); err != nil {
					t.Error(err)
				}
				raw.Control(func(fd uintptr) { conn.WriteMsgUnix(complete[:1], syscall.UnixRights(int(fd)), nil) })
				conn.Write(complete[1:n])
			})
			if _, _, _, err := Join(t.Context(), dir, "a:1"); err == nil {
				t.Errorf("joined after %d bytes", n)
			}
			wg.Wait()
			listener.Close()
			folder.Close()
		}
		if after := countDescriptors(t); after > before {
			t.Errorf("%d descriptors are open, %d were before", after, before)
		}
	})
	t.Run("the new one", func(t *testing.T) {
		dir := t.TempDir()
		p, _ := serve(t, dir, "a:1", "first")
		link, _ := join(t, dir, "a:1", "first")
		link.Close()
		next := func() *Link {
			select {
			case l := <-p.joined:
				return l
			case <-time.After(10 * time.Second):
				t.Fatal("no process joined")
				return nil
			}
		}
		for l := next(); !l.IsClosed(); {
		}
		path, folder, err := socketPath(dir, "a:1")
		if err != nil {
			t.Fatal(err)
		}
		defer folder.Close()
		hello := frame(`{"kind":"hello","version":1}`)
		for n := range len(hello) + 1 {
			conn, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			conn.Write(hello[:n])
			conn.Close()
			if n == len(hello) { // it dies while the state is being sent, and may or may not have joined
				for end := time.Now().Add(10 * time.Second); ; {
					select {
					case l := <-p.joined:
						for !l.IsClosed() {
						}
					default:
					}
					if l, ln, _, err := Join(t.Context(), dir, "a:1"); err == nil {
						l.Close()
						ln.Close()
						break
					}
					if time.Now().After(end) {
						t.Fatal("no process can join any more")
					}
				}
			}
		}
		for l := next(); !l.IsClosed(); {
		}
	})
}

// countDescriptors returns the number of open file descriptors of the process.
func countDescriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// Only the text of an error is sent over the link. The caller must still be able to distinguish the
// errors in remoteErrors, and must receive the text of any other error.
func TestErrorsSentOverLinkStayDistinguishable(t *testing.T) {
	if text := admin.ErrUnknownServer.Error(); text != "no such cache server" {
		t.Errorf("an older version would not recognize the error %q", text)
	}
	for name, answered := range map[string]error{
		"none":    nil,
		"known":   admin.ErrUnknownServer,
		"unknown": errors.New("not here"),
	} {
		t.Run(name, func(t *testing.T) {
			a, b := connPair(t)
			caller := newLink(a)
			peer := newLink(b)
			var running sync.WaitGroup
			defer running.Wait()
			defer caller.Close()
			running.Go(func() { caller.Run(t.Context(), func(Message) error { return nil }) })
			running.Go(func() { peer.Run(t.Context(), func(Message) error { return answered }) })
			err := caller.Call(t.Context(), "ban", "x")
			switch {
			case answered == nil && err != nil:
				t.Errorf("got error %v", err)
			case answered != nil && (err == nil || err.Error() != answered.Error()):
				t.Errorf("got error %v, want %v", err, answered)
			case errors.Is(answered, admin.ErrUnknownServer) != errors.Is(err, admin.ErrUnknownServer):
				t.Errorf("got error %v, which is a different error", err)
			}
		})
	}
}
