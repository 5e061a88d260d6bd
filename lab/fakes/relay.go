package fakes

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/coord/clock"
)

// NetworkConditions describes the behavior of the network between two endpoints.
type NetworkConditions struct {
	DelayMS        float64 // delay in each direction
	HoldToTarget   bool    // data to the target is held back, as in a one-way partition
	HoldFromTarget bool    // data from the target is held back
	Cut            bool    // data in both directions is held back, and new connections are reset at once
	BytesPerS      float64 // rate in each direction; 0 = no limit
}

// Relay forwards bytes between the clients that connect to it and a target, under network conditions
// that the lab sets.
type Relay struct {
	ln     net.Listener
	target func() string
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	conditions NetworkConditions
	changed    chan struct{}
	pairs      map[*connPair]struct{}
}

type connPair struct{ client, target net.Conn }

// relayChunks limits the chunks of up to 32 KiB in transit in one direction of a connection.
const relayChunks = 32

// NewRelay starts a relay to a target. Close stops it.
func NewRelay(target func() string) (*Relay, error) {
	ln, err := net.Listen("tcp", LoopbackHost(AnyPort)+":0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{ln: ln, target: target, changed: make(chan struct{}), pairs: map[*connPair]struct{}{}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// SetConditions replaces the network conditions. When a cut ends, the connections that were open during
// it are reset.
func (r *Relay) SetConditions(n NetworkConditions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conditions.Cut && !n.Cut {
		for p := range r.pairs {
			reset(p.client)
			reset(p.target)
		}
	}
	r.conditions = n
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) state() (NetworkConditions, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conditions, r.changed
}

func (r *Relay) accept() {
	for {
		client, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(client) })
	}
}

func (r *Relay) serve(client net.Conn) {
	defer reset(client)
	if n, _ := r.state(); n.Cut {
		return
	}
	target, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(r.ctx, "tcp", r.target())
	if err != nil {
		return
	}
	defer reset(target)
	p := &connPair{client, target}
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.pairs, p)
		r.mu.Unlock()
	}()
	ctx, end := context.WithCancel(r.ctx)
	defer end()
	stop := context.AfterFunc(ctx, func() { client.Close(); target.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() {
		r.copy(ctx, target, client, func(n NetworkConditions) bool { return n.Cut || n.HoldToTarget })
		closeWrite(target)
	})
	wg.Go(func() {
		r.copy(ctx, client, target, func(n NetworkConditions) bool { return n.Cut || n.HoldFromTarget })
		end()
	})
	wg.Wait()
}

// closeWrite forwards the end of one side's data: to a server it means that an attempt is canceled.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

type chunk struct {
	due  time.Time
	data []byte
}

// copy forwards bytes in one direction under the current network conditions.
func (r *Relay) copy(ctx context.Context, to, from net.Conn, held func(NetworkConditions) bool) {
	chunks := make(chan chunk, relayChunks)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer close(chunks)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if n > 0 {
				conditions, _ := r.state()
				select {
				case chunks <- chunk{time.Now().Add(millis(conditions.DelayMS)), b[:n]}:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	})
	for c := range chunks {
		if !r.deliver(ctx, to, c, held) {
			from.Close() // ends the reader
			for range chunks {
			}
			return
		}
	}
}

// deliver writes one chunk after its delay, once data is not held back. It returns false when the
// connection has ended.
func (r *Relay) deliver(ctx context.Context, to net.Conn, c chunk, held func(NetworkConditions) bool) bool {
	for {
		n, changed := r.state()
		if held(n) {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return false
			}
		}
		if wait := time.Until(c.due); wait > 0 && !clock.Sleep(ctx, wait) {
			return false
		}
		if n.BytesPerS > 0 && !clock.Sleep(ctx, time.Duration(float64(len(c.data))/n.BytesPerS*float64(time.Second))) {
			return false
		}
		_, err := to.Write(c.data)
		return err == nil
	}
}

// Close stops the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.cancel()
	r.ln.Close()
	r.wg.Wait()
}
