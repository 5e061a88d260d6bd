package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/scenario"
)

const (
	// crowdDialTimeout is how long an idle client waits for its connection.
	crowdDialTimeout = 500 * time.Millisecond
	// crowdEndMS is how long a router may stay out of descriptors after the idle clients have left.
	crowdEndMS = 1000.0
)

// crowd opens as many idle connections to each router as it may have descriptors, and keeps them
// until the fault is over.
func (fl *Fleet) crowd(ctx context.Context, f scenario.Fault) {
	fl.mark("idle clients use up the descriptors of all routers")
	began := fl.clock.Now()
	var mu sync.Mutex
	var open []net.Conn
	fl.forEachRouter(fl.allRouters(), func(r *router) {
		for range fl.File.Fleet.Sockets {
			c, err := net.DialTimeout("tcp", r.listen, crowdDialTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
		}
	})
	wait(ctx, f.ForS)
	for _, c := range open {
		c.Close()
	}
	lasted := fl.clock.Now() - began + crowdEndMS
	for _, r := range fl.allRouters() {
		fl.journal.Add(checker.Event{At: began, Kind: checker.DescriptorsExhausted, Router: r.name, Deadline: lasted})
	}
	fl.mark("the idle clients have disconnected")
}
