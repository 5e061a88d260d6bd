package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// endpointList is a list of servers, or the changes to one, in discovery's form.
type endpointList struct {
	Version    int64       `json:"version"`
	IsComplete bool        `json:"full"`
	Servers    []listEntry `json:"servers"`
}

type listEntry struct {
	ID            string  `json:"id"`
	Addr          string  `json:"addr"`
	Zone          string  `json:"zone"`
	Kind          string  `json:"kind"`
	Cell          int     `json:"cell"`
	State         string  `json:"state"`
	Weight        float64 `json:"weight"`
	StartedMillis float64 `json:"started_ms"`
}

var listStates = map[string]decide.State{"active": decide.Ready, "leaving": decide.Draining, "left": decide.Removed}

// endpoint is the entry as the module takes it.
func (e listEntry) endpoint() (decide.Endpoint, error) {
	st, ok := listStates[e.State]
	if !ok {
		return decide.Endpoint{}, fmt.Errorf("server %q: unknown state %q", e.ID, e.State)
	}
	if e.ID == "" {
		return decide.Endpoint{}, fmt.Errorf("server at %q without an id", e.Addr)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil && st != decide.Removed {
		return decide.Endpoint{}, fmt.Errorf("server %q: %q is no host:port", e.ID, e.Addr)
	}
	return decide.Endpoint{ID: serverID(e.ID), State: st, StartedAt: e.StartedMillis, Size: e.Weight, Zone: e.Zone, Cell: e.Cell,
		Kind: e.Kind}, nil
}

// serverID maps a server's id to the module's. All routers must map alike, as the module hashes it: the digits are
// the number that the simulator's wire gives.
func serverID(id string) uint32 {
	if v, err := strconv.ParseUint(id[strings.LastIndexByte(id, '-')+1:], 16, 32); err == nil {
		return uint32(v)
	}
	h := fnv.New32a()
	io.WriteString(h, id)
	return h.Sum32()
}

// keyID maps a key likewise.
func keyID(key string) uint64 {
	if v, err := strconv.ParseUint(key, 16, 64); err == nil && len(key) == 16 {
		return v
	}
	h := fnv.New64a()
	io.WriteString(h, key)
	return h.Sum64()
}

// discovery asks for the list and then watches it.
type discovery struct {
	url            string
	client         *http.Client
	lastCallFailed bool  // the last call
	holdsList      bool  // a list is held,
	heldVersion    int64 // of this version: else the whole one is asked for
	isPolled       bool  // watches only once asked, and tells of failures
	timing         discoveryTiming
	watchRequested chan struct{}        // of capacity 1
	onList         func(l endpointList) // takes a list
	onFailure      func()               // takes a failure
}

// discoveryTiming is how long discovery is waited for. A watch that says nothing looks like a list that does not change, until
// its wait is over: only then is it found to be dead, with all the news that it has swallowed.
type discoveryTiming struct {
	listTimeout           time.Duration // for the whole list
	watchWait             time.Duration // of one call of a watch,
	watchWaitAfterFailure time.Duration // of the first one after a failure, which may meet a discovery that still says nothing
	watchSlack            time.Duration // after it
	maxBackoffAfterAnswer time.Duration // at most between a failure and the next call, where the one before went well,
	maxBackoff            time.Duration // and where it did not: half of it at least, spread
}

var (
	// The agent on the router's own machine answers at once and at no cost. What it has told, even into a connection
	// that ends, must be acted on within 500 ms; what it gets when it is back counts as told at once, so it is asked often.
	agentTiming = discoveryTiming{listTimeout: 250 * time.Millisecond, watchWait: 2 * time.Second, watchWaitAfterFailure: 2 * time.Second, watchSlack: 250 * time.Millisecond, maxBackoffAfterAnswer: 50 * time.Millisecond, maxBackoff: 100 * time.Millisecond}
	// One discovery for all works through calls in turn: they are few, wait long, and come spread when it is back.
	sharedTiming = discoveryTiming{listTimeout: 2 * time.Second, watchWait: 10 * time.Second, watchWaitAfterFailure: time.Second, watchSlack: time.Second, maxBackoffAfterAnswer: 500 * time.Millisecond, maxBackoff: time.Second}
)

// forRouters is the pace where that many routers call one discovery: each end of a wait is a call more, from each of them.
func (p discoveryTiming) forRouters(routers int) discoveryTiming {
	p.watchWait = min(p.watchWait*time.Duration(max(8, routers))/8, time.Minute)
	return p
}

const (
	dialTimeout      = time.Second
	minWatchInterval = 50 * time.Millisecond
	maxListBytes     = 2 << 20 // an indented list of 2,500 servers takes 0.7 MB
	maxHeaderBytes   = 64 << 10
)

func newDiscovery(addr string, onAsk bool, routers int, tell func(endpointList), broke func()) *discovery {
	p := agentTiming
	if onAsk {
		p = sharedTiming.forRouters(routers)
	}
	return &discovery{timing: p, url: "http://" + addr + "/v1/servers", isPolled: onAsk, watchRequested: make(chan struct{}, 1),
		onList: tell, onFailure: broke,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, MaxResponseHeaderBytes: maxHeaderBytes,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}}
}

// requestWatch asks discovery to be watched from now on.
func (d *discovery) requestWatch() {
	select {
	case d.watchRequested <- struct{}{}:
	default:
	}
}

// run follows the list until ctx ends. After a failure it begins anew, so that what was missed comes with the first
// answer.
func (d *discovery) run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	failing, silent := false, false // one line is enough
	for ctx.Err() == nil {
		if d.isPolled && !silent {
			select {
			case <-d.watchRequested:
			case <-ctx.Done():
				return
			}
		}
		heard, err := d.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if failing = failing && !heard; !failing {
			slog.Warn("discovery", "address", strings.TrimSuffix(strings.TrimPrefix(d.url, "http://"), "/v1/servers"), "error", err)
		}
		failing = true
		// A watch that said nothing to the end of its wait has swallowed news that counts as told soon after, so a new one is
		// opened at once: that makes no more calls than watches that end well. All else is for the module to ask again.
		if silent = d.isPolled && errors.Is(err, errSilentWatch); silent {
			continue
		}
		select { // asked for before this failure, which the module does not know of yet
		case <-d.watchRequested:
		default:
		}
		d.onFailure()
		select {
		case <-time.After(d.backoff(heard)):
		case <-ctx.Done():
		}
	}
}

// backoff is the time between a failure and the next call, where the call before it went well or did not.
func (d *discovery) backoff(heard bool) time.Duration {
	p := d.timing.maxBackoff/2 + rand.N(d.timing.maxBackoff/2) // spread, or all would ask at once when it is back
	if heard {
		p = min(p, d.timing.maxBackoffAfterAnswer)
	}
	return p
}

// errSilentWatch tells of a watch whose wait went by without a word.
var errSilentWatch = errors.New("a silent watch")

// follow gets the whole list, or what has changed since the version that is held, and the changes after it, until a call
// fails, and tells whether any went well.
func (d *discovery) follow(ctx context.Context) (heard bool, err error) {
	asked := time.Now()
	var l endpointList
	if !d.holdsList {
		l, err = d.get(ctx, d.url, d.timing.listTimeout)
	} else { // one call, not two
		wait := d.timing.watchWait
		if d.lastCallFailed {
			wait = d.timing.watchWaitAfterFailure
		}
		l, err = d.callWatch(ctx, d.heldVersion, wait)
	}
	for err == nil && ctx.Err() == nil { // else another discovery is heard by now
		d.lastCallFailed = false
		if heard = true; d.isPolled {
			d.holdsList, d.heldVersion = true, l.Version
		}
		d.onList(l)
		if !l.IsComplete && len(l.Servers) == 0 && time.Since(asked) < minWatchInterval {
			select { // an agent that does not wait would be asked without end; a watch bears a pause of 200 ms
			case <-time.After(minWatchInterval):
			case <-ctx.Done():
			}
		}
		asked = time.Now()
		l, err = d.callWatch(ctx, l.Version, d.timing.watchWait)
	}
	d.lastCallFailed = true
	return heard, err
}

// callWatch makes the call of a watch that waits so long for changes.
func (d *discovery) callWatch(ctx context.Context, version int64, wait time.Duration) (endpointList, error) {
	l, err := d.get(ctx, d.watchURL(version, wait), wait+d.timing.watchSlack)
	if ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		err = errors.Join(errSilentWatch, err)
	}
	return l, err
}

// watchURL is the address of a watch's call.
func (d *discovery) watchURL(version int64, wait time.Duration) string {
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, version, wait.Milliseconds())
}

func (d *discovery) get(ctx context.Context, url string, within time.Duration) (endpointList, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var l endpointList
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return l, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("discovery: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err == nil && len(body) > maxListBytes {
		err = fmt.Errorf("a list of over %d bytes", maxListBytes)
	}
	if err == nil {
		err = parseList(body, &l)
	}
	if err != nil {
		return endpointList{}, fmt.Errorf("discovery: %w", err)
	}
	return l, nil
}

// parseList reads a list. What lacks a version is none, nor is a whole list that lacks the servers, though it may be JSON:
// taken for one, it would stand for a list without news or without servers.
func parseList(body []byte, l *endpointList) error {
	var has struct {
		Version *int64 `json:"version"`
		Full    bool   `json:"full"`
		Servers []json.RawMessage
	}
	if err := json.Unmarshal(body, &has); err != nil {
		return err
	}
	switch {
	case has.Version == nil:
		return errors.New("a list without version")
	case has.Full && has.Servers == nil:
		return errors.New("a whole list without servers")
	}
	return json.Unmarshal(body, l)
}
