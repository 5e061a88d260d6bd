package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/node"
)

const (
	statusTimeout = 2 * time.Second
	formTimeout   = 20 * time.Second // for coordinators to answer, and for one of them to lead
	retryPauseS   = 0.05             // between two calls by retryUntil
)

// coordinator is a coordinator process.
type coordinator struct {
	*restartableProcess
	number      int
	listen, api string
	data        string // its directory
}

// status requests a coordinator's status directly, not through a relay.
func (c *coordinator) status(ctx context.Context) (s node.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err = client.Call(ctx, http.MethodGet, c.api, "/v1/status", nil, &s)
	return s, err
}

// retryUntil calls f until it returns nil. After the timeout it returns f's last error.
func retryUntil(ctx context.Context, within time.Duration, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		if !wait(ctx, retryPauseS) {
			return err
		}
	}
}

// startAll starts all processes and forms the group of coordinators.
func (a *coordinatorGroup) startAll(ctx context.Context) error {
	if a.resource != nil {
		if err := a.resource.start(); err != nil {
			return err
		}
	}
	for _, c := range a.nodes {
		if err := c.start(); err != nil {
			return err
		}
	}
	if err := a.formGroup(ctx); err != nil {
		return err
	}
	for _, holder := range a.holders {
		if err := holder.start(); err != nil {
			return err
		}
	}
	return nil
}

// formGroup initializes the group through its first coordinator and waits until there is a leader.
func (a *coordinatorGroup) formGroup(ctx context.Context) error {
	var group []node.Member
	for _, c := range a.nodes {
		if err := retryUntil(ctx, formTimeout, func() error {
			s, err := c.status(ctx)
			if err == nil {
				group = append(group, node.Member{Name: c.name, Identity: s.Identity, Address: c.listen})
			}
			return err
		}); err != nil {
			return fmt.Errorf("%s: %w\n%s", c.name, err, c.logTail(5))
		}
	}
	if err := client.Call(ctx, http.MethodPost, a.nodes[0].api, "/v1/init", group, nil); err != nil {
		return err
	}
	return retryUntil(ctx, formTimeout, func() error {
		_, err := a.leader(ctx)
		return err
	})
}

// leader returns the coordinator that leads in the highest term.
func (a *coordinatorGroup) leader(ctx context.Context) (best *coordinator, err error) {
	term := uint64(0)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, c := range a.nodes {
		wg.Go(func() {
			s, err := c.status(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && s.State == "Leader" && s.Term > term {
				best, term = c, s.Term
			}
		})
	}
	wg.Wait()
	if best == nil {
		return nil, errors.New("no leader")
	}
	return best, nil
}

// liveClient runs a client until end is called. end waits until the client has stopped.
func liveClient(ctx context.Context, coordinators map[string]string, name string,
	ttl time.Duration) (c *client.Client, end func()) {
	c = client.New(client.Options{Coordinators: coordinators, ClientName: name, TTL: ttl})
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	return c, func() { cancel(); wg.Wait() }
}
