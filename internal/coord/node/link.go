package node

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// link carries the library's bytes between coordinators. Each connection begins with a line from either side that names who
// is there, by the identity that its directory got when it was empty, and how far its disk had come: a wiped disk must not
// answer for the voter that it was, and neither may one that was put back from an old copy, as it has forgotten its votes.
type link struct {
	net.Listener
	n *Node

	mu    sync.Mutex
	conns map[net.Conn]bool // that came in; MaxLinks at most
}

// MaxLinks bounds the connections from other coordinators.
const MaxLinks = 256

// helloWithin bounds the first line of a connection in time, helloBytes in length.
const (
	helloWithin = 2 * time.Second
	helloBytes  = 1024
)

// Addr is what the others know this coordinator by.
func (k *link) Addr() net.Addr { return address(k.n.o.address(k.n.id)) }

// address is a coordinator's as the library carries it: NAME/IDENTITY@HOST:PORT.
type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

// apart takes an address apart.
func (a address) apart() (name, id, hostport string, err error) {
	who, hostport, ok := strings.Cut(string(a), "@")
	name, id, ok2 := strings.Cut(who, "/")
	if !ok || !ok2 {
		return "", "", "", fmt.Errorf("coordinator %q: not NAME/IDENTITY@HOST:PORT", string(a))
	}
	return name, id, hostport, nil
}

// greeting is a side's first line: its own identity, the identity it wants (empty in an answer), and its run.
type greeting struct {
	id, to string
	run    run
}

// run is one start of a coordinator: a number drawn for it, the epoch of its disk when it started, and that of now.
type run struct{ nonce, start, epoch uint64 }

func (k *link) hello(to string) string {
	return fmt.Sprintf("dockhinge-coord 1 %s %s %d %d %d\n", k.n.id, orDash(to), k.n.nonce, k.n.began, k.n.epoch.Load())
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// readHello reads the other side's line. It takes no byte behind the line.
func readHello(c net.Conn) (g greeting, err error) {
	var line []byte
	one := make([]byte, 1)
	for len(line) < helloBytes {
		if _, err := c.Read(one); err != nil {
			return g, err
		}
		if one[0] == '\n' {
			break
		}
		line = append(line, one[0])
	}
	if text, ok := strings.CutPrefix(string(line), "refused: "); ok {
		return g, &refusedError{text}
	}
	if _, err := fmt.Sscanf(string(line), "dockhinge-coord 1 %s %s %d %d %d", &g.id, &g.to, &g.run.nonce, &g.run.start, &g.run.epoch); err != nil {
		return g, fmt.Errorf("no coordinator's first line: %q", line)
	}
	return g, nil
}

// refusedError is why the other side doesn't talk to us.
type refusedError struct{ text string }

func (e *refusedError) Error() string { return "refused: " + e.text }

// oldDisk begins the refusal of a disk that was put back.
const oldDisk = "your disk is older than one that was seen of you"

// Dial connects to a coordinator and makes sure that it is the one that is meant.
func (k *link) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	name, id, hostport, err := address(to).apart()
	if err != nil {
		return nil, err
	}
	if own := k.n.o.Peers[name]; own != "" {
		hostport = own
	}
	c, err := net.DialTimeout("tcp", hostport, timeout)
	if err != nil {
		return nil, err
	}
	if err := k.greet(c, id, timeout); err != nil {
		c.Close()
		return nil, fmt.Errorf("coordinator %s: %w", name, err)
	}
	return c, nil
}

func (k *link) greet(c net.Conn, id string, timeout time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(min(helloWithin, timeout)))
	if _, err := c.Write([]byte(k.hello(id))); err != nil {
		return err
	}
	there, err := readHello(c)
	if err != nil {
		if r, ok := err.(*refusedError); ok && strings.HasPrefix(r.text, oldDisk) {
			k.n.o.Fatal(fmt.Errorf("%s: this directory was put back from an old copy, and has forgotten votes; it must come back empty, as a new member", r.text))
		}
		return err
	}
	if there.id != id {
		return fmt.Errorf("it is %s now, and %s is meant: its disk is another", there.id, id)
	}
	if why := k.n.seen(there.id, there.run); why != "" {
		return fmt.Errorf("%s", why)
	}
	return c.SetDeadline(time.Time{})
}

// Accept takes a connection of a coordinator that means this one and has not forgotten anything.
func (k *link) Accept() (net.Conn, error) {
	for {
		c, err := k.Listener.Accept()
		if err != nil {
			return nil, err
		}
		k.mu.Lock()
		full := len(k.conns) >= MaxLinks
		if !full {
			k.conns[c] = true
		}
		k.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		return &incoming{Conn: c, k: k}, nil
	}
}

// incoming checks the first line at the first read, on the connection's own goroutine, so that a silent caller holds up nobody.
type incoming struct {
	net.Conn
	k    *link
	once sync.Once
	bad  error
}

func (c *incoming) Read(p []byte) (int, error) {
	c.once.Do(func() { c.bad = c.welcome() })
	if c.bad != nil {
		return 0, c.bad
	}
	return c.Conn.Read(p)
}

func (c *incoming) welcome() error {
	_ = c.SetDeadline(time.Now().Add(helloWithin))
	g, err := readHello(c.Conn)
	if err != nil {
		return err
	}
	why := ""
	if g.to != c.k.n.id {
		why = fmt.Sprintf("%s is meant, and this is %s", g.to, c.k.n.id)
	} else {
		why = c.k.n.seen(g.id, g.run)
	}
	if why != "" {
		_, _ = c.Conn.Write([]byte("refused: " + strings.ReplaceAll(why, "\n", " ") + "\n")) // it is closed all the same
		return fmt.Errorf("%s", why)
	}
	if _, err := c.Conn.Write([]byte(c.k.hello(""))); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

func (c *incoming) Close() error {
	c.k.mu.Lock()
	delete(c.k.conns, c.Conn)
	c.k.mu.Unlock()
	return c.Conn.Close()
}
