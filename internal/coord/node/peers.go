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

// MaxPeerConnections bounds the connections that other coordinators open to this one.
const MaxPeerConnections = 256

const (
	handshakeTimeout  = 2 * time.Second
	maxHandshakeBytes = 1024 // of one side's line
)

// The bytes of the handshake, which programs of different versions exchange.
const (
	handshakeFormat  = "dockhinge-coord 1 %s %s %d %d %d"
	rejectionPrefix  = "refused: "
	noWantedIdentity = "-"
)

// peerLayer carries the library's bytes between coordinators. Each connection begins with a line
// from either side that names its identity, which its directory got when it was empty, and the
// directory's epoch: a wiped disk must not answer for the voter that it was, and neither may one
// that was put back from an old copy, as it has forgotten its votes and would vote twice in a term.
type peerLayer struct {
	net.Listener
	node *Node

	mu          sync.Mutex
	connections map[net.Conn]bool // that came in; MaxPeerConnections at most
}

// Addr is the address by which the others know this coordinator.
func (p *peerLayer) Addr() net.Addr {
	return networkAddress(p.node.options.peerAddress(p.node.identity))
}

// networkAddress is a peer's address in the form that the library stores.
type networkAddress string

func (a networkAddress) Network() string { return "tcp" }
func (a networkAddress) String() string  { return string(a) }

// peerAddress is a coordinator's address as the library carries it: NAME/IDENTITY@HOST:PORT.
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

// peerHandshake is one side's line.
type peerHandshake struct {
	identity       string
	wantedIdentity string // of the other side; noWantedIdentity in an answer
	run            processRun
}

func (p *peerLayer) writeHandshake(c net.Conn, wantedIdentity string) error {
	run := p.node.run()
	line := fmt.Sprintf(handshakeFormat+"\n", p.node.identity, cmp.Or(wantedIdentity, noWantedIdentity),
		run.nonce, run.startEpoch, run.epoch)
	_, err := c.Write([]byte(line))
	return err
}

// readHandshake reads the other side's line. It takes no byte beyond the line, which are the
// library's.
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
		return h, fmt.Errorf("no coordinator's first line: %q", line)
	}
	return h, nil
}

// rejectedByPeerError is why the other side doesn't talk to this one.
type rejectedByPeerError struct{ text string }

func (e *rejectedByPeerError) Error() string { return rejectionPrefix + e.text }

// isOutdatedDisk reports whether the other side knows that this disk was put back from an old copy.
func (e *rejectedByPeerError) isOutdatedDisk() bool {
	return strings.HasPrefix(e.text, outdatedDiskPrefix)
}

// Dial connects to a coordinator and makes sure that it is the one that is meant.
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

// handshake sends this side's line and checks the other's.
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
		return fmt.Errorf("it is %s now, and %s is meant: its disk is another", peer.identity, identity)
	}
	if err := p.node.checkPeerRun(peer.identity, peer.run); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// endIfOutdated ends the process whose disk has forgotten votes: it must not take part again.
func (p *peerLayer) endIfOutdated(err error) {
	var rejected *rejectedByPeerError
	if errors.As(err, &rejected) && rejected.isOutdatedDisk() {
		p.node.options.OnFatal(fmt.Errorf("%s: this directory was put back from an old copy, "+
			"and has forgotten votes; it must come back empty, as a new member", rejected.text))
	}
}

// Accept takes a connection of a coordinator. Its handshake is checked at the first Read.
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

// register counts a connection, and reports false where there are too many.
func (p *peerLayer) register(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.connections) >= MaxPeerConnections {
		return false
	}
	p.connections[c] = true
	return true
}

// incomingConnection checks the handshake at the first Read, on the connection's own goroutine, so
// that a silent caller holds up nobody.
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

// acceptHandshake checks the other side's line and answers with this side's, or with why not.
func (c *incomingConnection) acceptHandshake() error {
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	peer, err := readHandshake(c.Conn)
	if err != nil {
		return err
	}
	if err := c.checkPeer(peer); err != nil {
		reason := strings.ReplaceAll(err.Error(), "\n", " ")
		_, _ = c.Conn.Write([]byte(rejectionPrefix + reason + "\n")) // it is closed all the same
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
