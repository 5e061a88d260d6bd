// Package hollow runs many hollow routers in one process. A hollow router is the real client of the
// control plane (sessions and keep-alives of internal/coord/client; watches, reports and
// acknowledgements of internal/rollout/follow) without request traffic. The coordinators are real
// processes. The package measures what a fleet of that many routers costs the control plane.
package hollow

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/rollout"
	"dockhinge.example/dockhinge/internal/rollout/follow"
)

// dialTimeout limits how long a hollow router waits for a connection.
const dialTimeout = time.Second

// Traffic counts the bytes of a fleet's sockets, headers included.
type Traffic struct {
	In, Out     atomic.Int64 // received and sent by the routers
	Connections atomic.Int64 // open connections
}

// dial opens a connection that counts its bytes.
func (t *Traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	t.Connections.Add(1)
	return &countedConn{Conn: conn, traffic: t}, nil
}

// countedConn is a connection that adds its bytes to a Traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
	closed  sync.Once
}

// Read reads and counts the bytes read.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes written.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(int64(n))
	return n, err
}

// Close closes the connection. Only the first call lowers the count of open connections.
func (c *countedConn) Close() error {
	c.closed.Do(func() { c.traffic.Connections.Add(-1) })
	return c.Conn.Close()
}

// drainUpdate reports that a router has drained a server, or has ended the drain.
type drainUpdate struct {
	server    string
	isDrained bool
	at        time.Time
}

type router struct {
	name            string
	zone            string
	servers         []rollout.ServerObservation // of its region
	client          *client.Client
	drains          chan<- drainUpdate
	onFirstDrainSet func() // called when the first set of drained servers is applied
}

// newRouter creates a router; run connects it.
func newRouter(name, zone string, servers []rollout.ServerObservation, coordinators map[string]string,
	ttl time.Duration, traffic *Traffic, drains chan<- drainUpdate, first func()) *router {
	return &router{name: name, zone: zone, servers: servers, drains: drains, onFirstDrainSet: first,
		client: client.New(client.Options{Coordinators: coordinators,
			ClientName: rollout.RouterClientPrefix + name, TTL: ttl, Dial: traffic.dial})}
}

// run keeps the router's session and applies the drains that the coordinators announce, until ctx ends.
func (r *router) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.client.Run(ctx) })
	follow.Run(ctx, follow.Options{
		Client:          r.client,
		Zone:            r.zone,
		Version:         "hollow",
		IsReady:         func() bool { return true },
		RequestCounts:   func() (good, bad int64, speed []int64) { return 0, 0, nil },
		ObserveServers:  func(context.Context) ([]rollout.ServerObservation, error) { return r.servers, nil },
		OpenAttempts:    func(context.Context, []string) (int, error) { return 0, nil },
		InheritedDrains: func(context.Context) []string { return nil },
		SetEjected:      func(context.Context, []rollout.EjectedServer) error { return nil },
		OnFirstDrainSet: r.onFirstDrainSet,
		SetDrained: func(ctx context.Context, server string, out bool) error {
			select {
			case r.drains <- drainUpdate{server, out, time.Now()}:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}})
}

// regionServers returns the cache servers that each router of a region reports.
func regionServers(region, n int) []rollout.ServerObservation {
	all := make([]rollout.ServerObservation, n)
	for i := range all {
		all[i] = rollout.ServerObservation{Name: serverName(region, i), Zone: zoneName(region, i%zonesPerRegion),
			Incarnation: "1764651600000", Status: rollout.StatusServing}
	}
	return all
}

// zonesPerRegion is the number of zones over which the servers and routers of a region are spread.
const zonesPerRegion = 4

func serverName(region, i int) string { return fmt.Sprintf("s-%02d-%06d", region, i) }

func zoneName(region, zone int) string { return fmt.Sprintf("region-%02d-%c", region, 'a'+zone) }
