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

// process is one that serves and hands over.
type process struct {
	ln     net.Listener
	state  string
	err    error
	joined chan *Link
	heard  chan Message
	answer func(Message) error
}

func (p *process) State(context.Context, *Link) (any, error) { return p.state, p.err }

func (p *process) Joined(ctx context.Context, l *Link) {
	p.joined <- l
	l.Run(ctx, func(m Message) error {
		p.heard <- m
		if p.answer != nil {
			return p.answer(m)
		}
		return nil
	})
}

func serve(t *testing.T, dir, addr string, state string) (*process, context.CancelFunc) {
	t.Helper()
	ln, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{ln: ln, state: state, joined: make(chan *Link, 10), heard: make(chan Message, 10)}
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

// join waits until somebody listens for a successor.
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
		if string(text) != `"`+want+`"` { // the one before still has the path
			l.Close()
			ln.Close()
			continue
		}
		t.Cleanup(func() { l.Close(); ln.Close() })
		return l, ln
	}
}

// A new process starts beside the one that serves. It gets the same listening socket and the state,
// a connection that waits while the old one closes is its own, and calls go both ways, each answered
// with the other side's error.
func TestSocketAndStateGoOver(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 40)) // longer than a Unix socket's path may be
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	old, _ := serve(t, dir, "a:1", "first")
	link, ln := join(t, dir, "a:1", "first")
	if ln.Addr().String() != old.ln.Addr().String() {
		t.Fatalf("got %v, want %v", ln.Addr(), old.ln.Addr())
	}
	// A connection that waits in the queue while the old one closes is the new one's.
	c, err := net.Dial("tcp", old.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	old.ln.Close()
	got, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer got.Close()
	if got.RemoteAddr().String() != c.LocalAddr().String() {
		t.Errorf("accepted %v", got.RemoteAddr())
	}

	// Calls go both ways and are answered.
	oldLink := <-old.joined
	old.answer = func(Message) error { return errors.New("not here") }
	var wg sync.WaitGroup
	defer wg.Wait()
	heard := make(chan Message, 1)
	wg.Go(func() { link.Run(t.Context(), func(m Message) error { heard <- m; return nil }) })
	if err := oldLink.Call(t.Context(), "ban", "x"); err != nil {
		t.Error(err)
	}
	if m := <-heard; m.Kind != "ban" || string(m.Body) != `"x"` {
		t.Errorf("got %+v", m)
	}
	if err := link.Call(t.Context(), "ban", "y"); err == nil || err.Error() != "not here" {
		t.Errorf("got %v", err)
	}
	oldLink.Close()
	if err := link.Call(t.Context(), "ban", "z"); !errors.Is(err, ErrPeerClosed) {
		t.Errorf("after the peer has ended: got %v", err)
	}
}

// A process dies and leaves its socket's file; then two start one after the other, and the first ends.
// The newest has the path each time: a program that removed the file at its end would cut off the
// other's successor.
func TestNewestProcessHasThePath(t *testing.T) {
	dir := t.TempDir()
	path, d, err := socketPath(dir, "a:1")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
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
	stop() // the old one's end leaves the path to the new one
	join(t, dir, "a:1", "second")
}

// At the path is a peer that says nothing, speaks another version, sends no socket, or is no router at
// all. The new process goes on alone, and soon.
func TestPeersThatCantHandOver(t *testing.T) {
	frame := func(text string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	}
	for name, say := range map[string][]byte{
		"silent":          nil,
		"another version": frame(`{"kind":"state","version":99}`),
		"no socket":       frame(`{"kind":"state","version":1,"body":{}}`),
		"noise":           []byte("HTTP/1.1 400 Bad Request\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path, d, err := socketPath(dir, "a:1")
			if err != nil {
				t.Fatal(err)
			}
			defer d.Close()
			u, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			var wg sync.WaitGroup
			defer wg.Wait()
			defer u.Close()
			wg.Go(func() {
				c, err := u.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				c.Write(say)
				io.Copy(io.Discard, c)
			})
			if _, _, _, err := Join(t.Context(), dir, "a:1"); err == nil {
				t.Error("joined")
			}
		})
	}
	if _, _, _, err := Join(t.Context(), filepath.Join(t.TempDir(), "none"), "a:1"); err == nil {
		t.Error("joined where there is no folder")
	}
}

// Something else than a successor connects: it gets neither the socket nor the state, and neither does
// a successor whose peer has no state to give.
func TestStrangersGetNothing(t *testing.T) {
	dir := t.TempDir()
	p, _ := serve(t, dir, "a:1", "first")
	join(t, dir, "a:1", "first")
	<-p.joined
	path, d, err := socketPath(dir, "a:1")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	for _, say := range []string{"", "noise", `{"kind":"hello","version":99}`, `{"kind":"ban"}`} {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		if say != "" {
			c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(say))), say...))
		}
		c.(*net.UnixConn).CloseWrite()
		if got, _ := io.ReadAll(c); len(got) > 0 {
			t.Errorf("%q got %q", say, got)
		}
		c.Close()
	}
	p.err = errors.New("no state")
	if _, _, _, err := Join(t.Context(), dir, "a:1"); err == nil {
		t.Error("joined a process without a state")
	}
	select {
	case <-p.joined:
		t.Error("a stranger joined")
	default:
	}
}

// The peer reads a call and never answers it. The call ends with its context.
func TestCallToASilentPeer(t *testing.T) {
	a, b := pipe(t)
	defer b.Close()
	l := newLink(a)
	ctx, stop := context.WithCancel(t.Context())
	go func() { readMessage(b); stop() }()
	if err := l.Call(ctx, "ban", "x"); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

func pipe(t *testing.T) (a, b *net.UnixConn) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "s")
	u, err := net.Listen("unix", name)
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	c, err := net.Dial("unix", name)
	if err != nil {
		t.Fatal(err)
	}
	d, err := u.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); d.Close() })
	return c.(*net.UnixConn), d.(*net.UnixConn)
}

// An old process without hand-over still holds the address: the new one listens there all the same.
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

// One of the two may die or fall silent at any byte of what it says. The other one goes on: a new
// process alone, and soon, an old one with its place for the next.
func TestEitherMayEndAtAnyByte(t *testing.T) {
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
		before := descriptors(t)
		for n := range complete {
			dir := t.TempDir()
			path, d, err := socketPath(dir, "a:1")
			if err != nil {
				t.Fatal(err)
			}
			u, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
			if err != nil {
				t.Fatal(err)
			}
			var wg sync.WaitGroup
			wg.Go(func() {
				c, err := u.AcceptUnix()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close() // it dies
				if n == 0 {
					return
				}
				if _, err := readMessage(c); err != nil {
					t.Error(err)
				}
				raw.Control(func(fd uintptr) { c.WriteMsgUnix(complete[:1], syscall.UnixRights(int(fd)), nil) })
				c.Write(complete[1:n])
			})
			if _, _, _, err := Join(t.Context(), dir, "a:1"); err == nil {
				t.Errorf("joined after %d bytes", n)
			}
			wg.Wait()
			u.Close()
			d.Close()
		}
		if after := descriptors(t); after > before {
			t.Errorf("%d descriptors open, %d before", after, before)
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
				t.Fatal("nobody joined")
				return nil
			}
		}
		for l := next(); !l.IsClosed(); {
		}
		path, d, err := socketPath(dir, "a:1")
		if err != nil {
			t.Fatal(err)
		}
		defer d.Close()
		said := frame(`{"kind":"hello","version":1}`)
		for n := range len(said) + 1 {
			c, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			c.Write(said[:n])
			c.Close()
			if n == len(said) { // it dies with the state on its way, and has joined or has not
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
						t.Fatal("nobody can join any more")
					}
				}
			}
		}
		for l := next(); !l.IsClosed(); {
		}
	})
}

// descriptors counts those that the process holds.
func descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// What crosses the link is the text of an error. The caller tells the errors that it knows apart all
// the same, and sees the text of any other.
func TestErrorsThatCrossTheLink(t *testing.T) {
	if text := admin.ErrUnknownServer.Error(); text != "no such cache server" {
		t.Errorf("an older version would not know %q", text)
	}
	for name, answered := range map[string]error{
		"none":    nil,
		"known":   admin.ErrUnknownServer,
		"unknown": errors.New("not here"),
	} {
		t.Run(name, func(t *testing.T) {
			a, b := pipe(t)
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
				t.Errorf("got %v", err)
			case answered != nil && (err == nil || err.Error() != answered.Error()):
				t.Errorf("got %v, want %v", err, answered)
			case errors.Is(answered, admin.ErrUnknownServer) != errors.Is(err, admin.ErrUnknownServer):
				t.Errorf("got %v, which is another error", err)
			}
		})
	}
}
