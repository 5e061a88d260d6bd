// Package hollow plays many hollow routers in one process: the real clients of the control plane (sessions and keep-alives of
// internal/coord/client, watches, reports and acknowledgements of internal/rollout/follow) and no requests. The coordinators
// before them are real processes. It measures what a fleet of that many routers costs the control plane.
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

// dialTimeout is how long a hollow router waits for a connection.
const dialTimeout = time.Second

// Traffic counts the bytes of a fleet's sockets, headers included.
type Traffic struct {
	In, Out     atomic.Int64 // as the routers see it
	Connections atomic.Int64 // that are open
}

// dial opens a connection whose bytes are counted.
func (t *Traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	t.Connections.Add(1)
	return &countedConn{Conn: conn, traffic: t}, nil
}

// countedConn counts what goes over a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
	closed  sync.Once
}

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(int64(n))
	return n, err
}

// Close closes the connection and counts it once.
func (c *countedConn) Close() error {
	c.closed.Do(func() { c.traffic.Connections.Add(-1) })
	return c.Conn.Close()
}

// drainSeen tells that a router has taken a server out, or back in.
type drainSeen struct {
	server string
	out    bool
	at     time.Time
}

// router is one hollow router.
type router struct {
	name    string
	zone    string
	servers []rollout.ServerObservation // of its region
	client  *client.Client
	drains  chan<- drainSeen
	first   func()
}

// newRouter prepares a router; run makes it live.
func newRouter(name, zone string, servers []rollout.ServerObservation, coordinators map[string]string, ttl time.Duration, traffic *Traffic, drains chan<- drainSeen, first func()) *router {
	return &router{name: name, zone: zone, servers: servers, drains: drains, first: first, client: client.New(client.Options{
		Coordinators: coordinators, ClientName: rollout.RouterClientPrefix + name, TTL: ttl, Dial: traffic.dial})}
}

// run keeps the router's session and follows what the fleet agrees on, until ctx ends.
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
		OnFirstDrainSet: r.first,
		SetDrained: func(ctx context.Context, server string, out bool) error {
			select {
			case r.drains <- drainSeen{server, out, time.Now()}:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}})
}

// regionServers are the hollow cache servers of a region: what each of its routers reports.
func regionServers(region, n int) []rollout.ServerObservation {
	all := make([]rollout.ServerObservation, n)
	for i := range all {
		all[i] = rollout.ServerObservation{Name: serverName(region, i), Zone: zoneName(region, i%zonesPerRegion), Incarnation: "1764651600000", Status: rollout.StatusServing}
	}
	return all
}

// zonesPerRegion is into how many zones the hollow servers and routers of a region are dealt.
const zonesPerRegion = 4

func serverName(region, i int) string { return fmt.Sprintf("s-%02d-%06d", region, i) }

func zoneName(region, zone int) string { return fmt.Sprintf("region-%02d-%c", region, 'a'+zone) }
