package main

import (
	"fmt"
	"time"
)

const (
	// staleDelay is how long each call of the node list waits for its turn. The site fails calls after 3 s.
	staleDelay = 2700 * time.Millisecond
	// staleStart is how long after the router's start the cache server begins to drain.
	staleStart = 4 * time.Second
	// staleTold is when a change counts as told at the latest, with the site's grace for drains and over a second more.
	staleTold = 8 * time.Second
	// staleRounds is how often all keys are read after that.
	staleRounds = 4
)

// playStale has the node list answer each call late, but within the time in which the site lets calls wait. A cache
// server begins to drain. The router has to stop sending to it, as the list could be reached all the time.
func playStale(w *world) (string, error) {
	time.Sleep(staleStart)
	draining := w.caches[0]
	if err := w.readAll("before"); err != nil {
		return "", err
	}
	if w.runs.since(draining.name, time.Time{}) == 0 {
		return "", fmt.Errorf("%s gets no requests before it drains", draining.name)
	}
	w.discovery.set(entry{
		ID: draining.name, Addr: draining.addr(), Zone: "adama", Kind: w.site.kind, State: "leaving", Weight: 1,
	})
	from := time.Now().Add(staleTold)
	time.Sleep(staleTold)
	for i := range staleRounds {
		if err := w.readAll(fmt.Sprintf("after%d-", i)); err != nil {
			return "", err
		}
	}
	if n := w.runs.since(draining.name, from); n > 0 {
		return fmt.Sprintf("%s got %d of %d requests later than %v after it began to drain",
			draining.name, n, staleRounds*banKeys, staleTold), nil
	}
	return "", nil
}
