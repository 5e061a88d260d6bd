// Command stand plays one case of the review: it starts the stand-ins and a router, and judges what they saw. It exits
// with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// world is what a case is played with.
type world struct {
	record    *record
	runs      *runs
	dir       string
	discovery *discovery
	origin    *origin
	caches    []*cache
	router    *routerProcess

	mu sync.Mutex
	// started are all routers, which are killed at the end.
	started []*routerProcess
	// trouble says that the disruption is played.
	trouble bool
}

// cacheCount is the number of cache servers, and cacheKind their kind.
const (
	cacheCount = 3
	cacheKind  = "std-4c"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each returns what breaks the rule; "" = the rule held.
var cases = map[string]func(*world) (string, error){
	"ban":     playBan,
	"cut":     playCut,
	"end":     playEnd,
	"slow":    playSlow,
	"chunked": playChunked,
}

// playTime bounds a case, which is over long before.
const playTime = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE RECORD")
		os.Exit(exitNotRun)
	}
	code, err := play(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "couldn't run:", err)
	}
	os.Exit(code)
}

// result is the end of a case.
type result struct {
	broken string
	err    error
}

// play plays a case and ends the router, however the case ends.
func play(name, recordPath string) (int, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return exitNotRun, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(dir)
	w := &world{record: rec, runs: &runs{}, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer w.killRouters()
	ended := make(chan result, 1)
	go func() {
		if err := w.start(); err != nil {
			ended <- result{err: err}
			return
		}
		broken, err := cases[name](w)
		ended <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var got result
	select {
	case got = <-ended:
	case <-interrupted:
		got.err = errors.New("interrupted")
	case <-time.After(playTime):
		got.err = errors.New("it takes too long")
	}
	return judge(rec, got)
}

// judge writes down how the case has ended and returns the exit code.
func judge(rec *record, got result) (int, error) {
	switch {
	case got.err != nil:
		rec.event("couldn't run: %v", got.err)
		return exitNotRun, got.err
	case got.broken != "":
		rec.event("broken: %s", got.broken)
		fmt.Println("broken:", got.broken)
		return exitBroken, nil
	}
	rec.event("held")
	fmt.Println("held")
	return exitHeld, nil
}

// start starts the stand-ins and one router.
func (w *world) start() (err error) {
	if w.discovery, err = newDiscovery(w.record); err != nil {
		return err
	}
	if w.origin, err = newOrigin(w.record, w.runs); err != nil {
		return err
	}
	w.list("s-00000063", w.origin.addr(), "origin")
	for i := range cacheCount {
		name := fmt.Sprintf("s-5be2a07%x", i)
		c, err := newCache(name, w.record, w.runs)
		if err != nil {
			return err
		}
		w.caches = append(w.caches, c)
		w.list(name, c.addr(), cacheKind)
	}
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	w.router, err = w.startRouter(listen)
	return err
}

// list puts a server on the list.
func (w *world) list(id, addr, kind string) {
	w.discovery.set(entry{ID: id, Addr: addr, Zone: "adama", Kind: kind, State: "active", Weight: 1})
}

// killRouters ends all routers that the case has started. It keeps the lock, so that no other is started.
func (w *world) killRouters() {
	w.mu.Lock()
	for _, p := range w.started {
		p.kill()
	}
}

// holdEverywhere makes all caches hold a value.
func (w *world) holdEverywhere(key string, size int) {
	for _, c := range w.caches {
		c.hold(key, size, 0)
	}
}

// breakOff makes all caches stop after a part of a value.
func (w *world) breakOff(key string, after int) {
	for _, c := range w.caches {
		c.breakOff(key, after)
	}
}

// resetCaches resets all connections of the caches.
func (w *world) resetCaches() {
	w.record.event("the connections of all cache servers are reset")
	for _, c := range w.caches {
		c.resetAll()
	}
}
