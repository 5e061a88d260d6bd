package fakes

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/coord/clock"
)

// NetworkConditions is how the network between two parties behaves.
type NetworkConditions struct {
	DelayMS        float64 // one way
	HoldToTarget   bool    // what goes to the server is held back, as by a partition one way
	HoldFromTarget bool    // what comes from it is
	Cut            bool    // both, and new connections are reset at once
	BytesPerS      float64 // in each direction; 0 = no bound
}

// Relay is a stretch of network that the lab owns: a byte relay between whoever connects and a target.
type Relay struct {
	ln     net.Listener
	target func() string
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	net     NetworkConditions
	changed chan struct{}
	pairs   map[*pair]struct{}
}

type pair struct{ near, far net.Conn }

// relayChunks bounds what is under way in one direction of a connection, in chunks of up to 32 KiB.
const relayChunks = 32

// NewRelay starts a relay to a target. Close ends it.
func NewRelay(target func() string) (*Relay, error) {
	ln, err := net.Listen("tcp", LoopbackHost(AnyPort)+":0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{ln: ln, target: target, changed: make(chan struct{}), pairs: map[*pair]struct{}{}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.wg.Go(r.accept)
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// SetConditions changes how the network behaves. The end of a cut resets the connections that lived through it.
func (r *Relay) SetConditions(n NetworkConditions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.net.Cut && !n.Cut {
		for p := range r.pairs {
			reset(p.near)
			reset(p.far)
		}
	}
	r.net = n
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) state() (NetworkConditions, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.net, r.changed
}

func (r *Relay) accept() {
	for {
		near, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(near) })
	}
}

func (r *Relay) serve(near net.Conn) {
	defer reset(near)
	if n, _ := r.state(); n.Cut {
		return
	}
	far, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(r.ctx, "tcp", r.target())
	if err != nil {
		return
	}
	defer reset(far)
	p := &pair{near, far}
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
	stop := context.AfterFunc(ctx, func() { near.Close(); far.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() {
		r.copy(ctx, far, near, func(n NetworkConditions) bool { return n.Cut || n.HoldToTarget })
		closeWrite(far)
	})
	wg.Go(func() {
		r.copy(ctx, near, far, func(n NetworkConditions) bool { return n.Cut || n.HoldFromTarget })
		end()
	})
	wg.Wait()
}

// closeWrite passes on that one side has no more to say: to a server that is how an attempt is given up.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

type chunk struct {
	due  time.Time
	text []byte
}

// copy carries bytes from one side to the other, late, slowly or not at all, as the network has it.
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
				net, _ := r.state()
				select {
				case chunks <- chunk{time.Now().Add(ms(net.DelayMS)), b[:n]}:
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
		if !r.pass(ctx, to, c, held) {
			from.Close() // ends the reader
			for range chunks {
			}
			return
		}
	}
}

// pass writes one chunk when its time has come and nothing holds it back.
func (r *Relay) pass(ctx context.Context, to net.Conn, c chunk, held func(NetworkConditions) bool) bool {
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
		if n.BytesPerS > 0 && !clock.Sleep(ctx, time.Duration(float64(len(c.text))/n.BytesPerS*float64(time.Second))) {
			return false
		}
		_, err := to.Write(c.text)
		return err == nil
	}
}

// Close ends the relay and waits for all that it started.
func (r *Relay) Close() {
	r.cancel()
	r.ln.Close()
	r.wg.Wait()
}
