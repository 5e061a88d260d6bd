package node

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// MaxPeerConnections is the maximum number of connections from other coordinators.
const MaxPeerConnections = 256

const (
	handshakeTimeout  = 2 * time.Second
	maxHandshakeBytes = 1024 // of one handshake line
)

// The format of the handshake, which programs of different versions exchange.
const (
	handshakeFormat  = "dockhinge-coord 1 %s %s %d %d %d"
	rejectionPrefix  = "refused: "
	noWantedIdentity = "-"
)

// peerLayer is the transport's stream layer between coordinators. On each connection both sides
// first send a line with their identity, which an empty directory is given once, and their
// directory's epoch. Two kinds of coordinator are rejected: one with an empty disk in place of a
// voter's, and one whose disk was restored from an old copy. Such a disk lacks recent votes, and
// its coordinator could vote twice in a term.
type peerLayer struct {
	net.Listener
	node *Node

	mu          sync.Mutex
	connections map[net.Conn]bool // incoming connections; MaxPeerConnections at most
}

// Addr returns the address of this coordinator in the form that the library stores.
func (p *peerLayer) Addr() net.Addr {
	return networkAddress(p.node.options.peerAddress(p.node.identity))
}

// networkAddress is a peer's address in the form that the library stores.
type networkAddress string

func (a networkAddress) Network() string { return "tcp" }
func (a networkAddress) String() string  { return string(a) }

// peerAddress is a coordinator's address in the form that the library stores:
// NAME/IDENTITY@HOST:PORT.
type peerAddress struct {
	name     string
	identity string
	hostport string
}

func (a peerAddress) serverAddress() raft.ServerAddress {
	return raft.ServerAddress(a.name + "/" + a.identity + "@" + a.hostport)
}

func parsePeerAddress(address raft.ServerAddress) (peerAddress, error) {
	owner, hostport, hasHostport := strings.Cut(string(address), "@")
	name, identity, hasIdentity := strings.Cut(owner, "/")
	if !hasHostport || !hasIdentity {
		return peerAddress{}, fmt.Errorf("coordinator %q: not NAME/IDENTITY@HOST:PORT", string(address))
	}
	return peerAddress{name: name, identity: identity, hostport: hostport}, nil
}

// peerHandshake is the handshake line of one side.
type peerHandshake struct {
	identity       string
	wantedIdentity string // of the other side; noWantedIdentity in a response
	run            processRun
}

func (p *peerLayer) writeHandshake(c net.Conn, wantedIdentity string) error {
	run := p.node.currentRun()
	line := fmt.Sprintf(handshakeFormat+"\n", p.node.identity, cmp.Or(wantedIdentity, noWantedIdentity),
		run.nonce, run.startEpoch, run.epoch)
	_, err := c.Write([]byte(line))
	return err
}

// readHandshake reads the other side's line. It reads no byte beyond the line, as those belong to
// the library.
func readHandshake(c net.Conn) (peerHandshake, error) {
	var line []byte
	next := make([]byte, 1)
	for len(line) < maxHandshakeBytes {
		if _, err := c.Read(next); err != nil {
			return peerHandshake{}, err
		}
		if next[0] == '\n' {
			break
		}
		line = append(line, next[0])
	}
	if text, ok := strings.CutPrefix(string(line), rejectionPrefix); ok {
		return peerHandshake{}, &rejectedByPeerError{text: text}
	}
	var h peerHandshake
	_, err := fmt.Sscanf(string(line), handshakeFormat,
		&h.identity, &h.wantedIdentity, &h.run.nonce, &h.run.startEpoch, &h.run.epoch)
	if err != nil {
		return h, fmt.Errorf("invalid handshake: %q", line)
	}
	return h, nil
}

// rejectedByPeerError is the reason for which the other side rejected the handshake.
type rejectedByPeerError struct{ text string }

func (e *rejectedByPeerError) Error() string { return rejectionPrefix + e.text }

// isOutdatedDisk reports whether the reason is that this disk was restored from an old copy.
func (e *rejectedByPeerError) isOutdatedDisk() bool {
	return strings.HasPrefix(e.text, outdatedDiskPrefix)
}

// Dial connects to a coordinator and verifies its identity.
func (p *peerLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	address, err := parsePeerAddress(to)
	if err != nil {
		return nil, err
	}
	hostport := address.hostport
	if override := p.node.options.PeerAddresses[address.name]; override != "" {
		hostport = override
	}
	connection, err := net.DialTimeout("tcp", hostport, timeout)
	if err != nil {
		return nil, err
	}
	if err := p.handshake(connection, address.identity, timeout); err != nil {
		connection.Close()
		return nil, fmt.Errorf("coordinator %s: %w", address.name, err)
	}
	return connection, nil
}

// handshake sends this side's line and verifies the response.
func (p *peerLayer) handshake(c net.Conn, identity string, timeout time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(min(handshakeTimeout, timeout)))
	if err := p.writeHandshake(c, identity); err != nil {
		return err
	}
	peer, err := readHandshake(c)
	if err != nil {
		p.endIfOutdated(err)
		return err
	}
	if peer.identity != identity {
		return fmt.Errorf("its identity is %s, want %s: its directory was replaced", peer.identity, identity)
	}
	if err := p.node.checkPeerRun(peer.identity, peer.run); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// endIfOutdated calls OnFatal if the peer rejected this side's disk as outdated: the disk lacks
// recent votes, so the process must not rejoin the group.
func (p *peerLayer) endIfOutdated(err error) {
	var rejected *rejectedByPeerError
	if errors.As(err, &rejected) && rejected.isOutdatedDisk() {
		p.node.options.OnFatal(fmt.Errorf("%s: this directory was put back from an old copy, "+
			"and lacks recent votes; restart with an empty directory, as a new member", rejected.text))
	}
}

// Accept accepts a connection from a coordinator. The handshake is verified at the first Read.
func (p *peerLayer) Accept() (net.Conn, error) {
	for {
		connection, err := p.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if p.register(connection) {
			return &incomingConnection{Conn: connection, layer: p}, nil
		}
		connection.Close()
	}
}

// register adds a connection. It returns false if MaxPeerConnections are open.
func (p *peerLayer) register(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.connections) >= MaxPeerConnections {
		return false
	}
	p.connections[c] = true
	return true
}

// incomingConnection verifies the handshake at the first Read, which happens on the connection's
// own goroutine, so a silent peer doesn't block Accept.
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

// acceptHandshake verifies the other side's line and responds with this side's line or a rejection.
func (c *incomingConnection) acceptHandshake() error {
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	peer, err := readHandshake(c.Conn)
	if err != nil {
		return err
	}
	if err := c.checkPeer(peer); err != nil {
		reason := strings.ReplaceAll(err.Error(), "\n", " ")
		_, _ = c.Conn.Write([]byte(rejectionPrefix + reason + "\n")) // best effort: it is closed anyway
		return err
	}
	if err := c.layer.writeHandshake(c.Conn, noWantedIdentity); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

func (c *incomingConnection) checkPeer(peer peerHandshake) error {
	node := c.layer.node
	if peer.wantedIdentity != node.identity {
		return fmt.Errorf("%s is meant, and this is %s", peer.wantedIdentity, node.identity)
	}
	return node.checkPeerRun(peer.identity, peer.run)
}

func (c *incomingConnection) Close() error {
	c.layer.mu.Lock()
	delete(c.layer.connections, c.Conn)
	c.layer.mu.Unlock()
	return c.Conn.Close()
}
