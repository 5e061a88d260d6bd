package node

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// peerLayer carries the library's bytes between coordinators. Each connection begins with a line from either side that names who
// is there, by the identity that its directory got when it was empty, and how far its disk had come: a wiped disk must not
// answer for the voter that it was, and neither may one that was put back from an old copy, as it has forgotten its votes.
type peerLayer struct {
	net.Listener
	node *Node

	mu          sync.Mutex
	connections map[net.Conn]bool // that came in; MaxLinks at most
}

// MaxPeerConnections bounds the connections from other coordinators.
const MaxPeerConnections = 256

// handshakeTimeout bounds the first line of a connection in time, helloBytes in length.
const (
	handshakeTimeout  = 2 * time.Second
	maxHandshakeBytes = 1024
)

// Addr is what the others know this coordinator by.
func (k *peerLayer) Addr() net.Addr { return peerAddress(k.node.options.peerAddress(k.node.identity)) }

// peerAddress is a coordinator's as the library carries it: NAME/IDENTITY@HOST:PORT.
type peerAddress string

func (a peerAddress) Network() string { return "tcp" }
func (a peerAddress) String() string  { return string(a) }

// split takes an address apart.
func (a peerAddress) split() (name, id, hostport string, err error) {
	who, hostport, ok := strings.Cut(string(a), "@")
	name, id, ok2 := strings.Cut(who, "/")
	if !ok || !ok2 {
		return "", "", "", fmt.Errorf("coordinator %q: not NAME/IDENTITY@HOST:PORT", string(a))
	}
	return name, id, hostport, nil
}

// peerHandshake is a side's first line: its own identity, the identity it wants (empty in an answer), and its run.
type peerHandshake struct {
	identity, wantedIdentity string
	run                      processRun
}

// processRun is one start of a coordinator: a number drawn for it, the epoch of its disk when it started, and that of now.
type processRun struct{ nonce, startEpoch, epoch uint64 }

func (k *peerLayer) handshakeLine(to string) string {
	return fmt.Sprintf("dockhinge-coord 1 %s %s %d %d %d\n", k.node.identity, orDash(to), k.node.nonce, k.node.startEpoch, k.node.epoch.Load())
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// readHandshake reads the other side's line. It takes no byte behind the line.
func readHandshake(c net.Conn) (g peerHandshake, err error) {
	var line []byte
	one := make([]byte, 1)
	for len(line) < maxHandshakeBytes {
		if _, err := c.Read(one); err != nil {
			return g, err
		}
		if one[0] == '\n' {
			break
		}
		line = append(line, one[0])
	}
	if text, ok := strings.CutPrefix(string(line), "refused: "); ok {
		return g, &rejectedByPeerError{text}
	}
	if _, err := fmt.Sscanf(string(line), "dockhinge-coord 1 %s %s %d %d %d", &g.identity, &g.wantedIdentity, &g.run.nonce, &g.run.startEpoch, &g.run.epoch); err != nil {
		return g, fmt.Errorf("no coordinator's first line: %q", line)
	}
	return g, nil
}

// rejectedByPeerError is why the other side doesn't talk to us.
type rejectedByPeerError struct{ text string }

func (e *rejectedByPeerError) Error() string { return "refused: " + e.text }

// outdatedDisk begins the refusal of a disk that was put back.
const outdatedDisk = "your disk is older than one that was seen of you"

// Dial connects to a coordinator and makes sure that it is the one that is meant.
func (k *peerLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	name, id, hostport, err := peerAddress(to).split()
	if err != nil {
		return nil, err
	}
	if own := k.node.options.PeerAddresses[name]; own != "" {
		hostport = own
	}
	c, err := net.DialTimeout("tcp", hostport, timeout)
	if err != nil {
		return nil, err
	}
	if err := k.handshake(c, id, timeout); err != nil {
		c.Close()
		return nil, fmt.Errorf("coordinator %s: %w", name, err)
	}
	return c, nil
}

func (k *peerLayer) handshake(c net.Conn, id string, timeout time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(min(handshakeTimeout, timeout)))
	if _, err := c.Write([]byte(k.handshakeLine(id))); err != nil {
		return err
	}
	there, err := readHandshake(c)
	if err != nil {
		if r, ok := err.(*rejectedByPeerError); ok && strings.HasPrefix(r.text, outdatedDisk) {
			k.node.options.OnFatal(fmt.Errorf("%s: this directory was put back from an old copy, and has forgotten votes; it must come back empty, as a new member", r.text))
		}
		return err
	}
	if there.identity != id {
		return fmt.Errorf("it is %s now, and %s is meant: its disk is another", there.identity, id)
	}
	if why := k.node.checkPeerRun(there.identity, there.run); why != "" {
		return fmt.Errorf("%s", why)
	}
	return c.SetDeadline(time.Time{})
}

// Accept takes a connection of a coordinator that means this one and has not forgotten anything.
func (k *peerLayer) Accept() (net.Conn, error) {
	for {
		c, err := k.Listener.Accept()
		if err != nil {
			return nil, err
		}
		k.mu.Lock()
		full := len(k.connections) >= MaxPeerConnections
		if !full {
			k.connections[c] = true
		}
		k.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		return &incomingConnection{Conn: c, layer: k}, nil
	}
}

// incomingConnection checks the first line at the first read, on the connection's own goroutine, so that a silent caller holds up nobody.
type incomingConnection struct {
	net.Conn
	layer          *peerLayer
	once           sync.Once
	handshakeError error
}

func (c *incomingConnection) Read(p []byte) (int, error) {
	c.once.Do(func() { c.handshakeError = c.acceptHandshake() })
	if c.handshakeError != nil {
		return 0, c.handshakeError
	}
	return c.Conn.Read(p)
}

func (c *incomingConnection) acceptHandshake() error {
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	g, err := readHandshake(c.Conn)
	if err != nil {
		return err
	}
	why := ""
	if g.wantedIdentity != c.layer.node.identity {
		why = fmt.Sprintf("%s is meant, and this is %s", g.wantedIdentity, c.layer.node.identity)
	} else {
		why = c.layer.node.checkPeerRun(g.identity, g.run)
	}
	if why != "" {
		_, _ = c.Conn.Write([]byte("refused: " + strings.ReplaceAll(why, "\n", " ") + "\n")) // it is closed all the same
		return fmt.Errorf("%s", why)
	}
	if _, err := c.Conn.Write([]byte(c.layer.handshakeLine(""))); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

func (c *incomingConnection) Close() error {
	c.layer.mu.Lock()
	delete(c.layer.connections, c.Conn)
	c.layer.mu.Unlock()
	return c.Conn.Close()
}
