package observer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

// fakeCoordinator is a coordinator that answers polls from its own log.
type fakeCoordinator struct {
	mu      sync.Mutex
	log     *watchlog.Log
	changed chan struct{} // closed and replaced at each change
}

func (c *fakeCoordinator) put(t *testing.T, name string, size int) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	change := watchlog.Change{Revision: c.log.NewestRevision() + 1, Name: name, Value: make([]byte, size)}
	if err := c.log.Append(change); err != nil {
		t.Fatal(err)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// wait waits for a change after a revision, but no longer than a poll lasts.
func (c *fakeCoordinator) wait(ctx context.Context, after uint64) {
	c.mu.Lock()
	newest, changed := c.log.NewestRevision(), c.changed
	c.mu.Unlock()
	if newest > after {
		return
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-time.After(100 * time.Millisecond):
	}
}

func (c *fakeCoordinator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	c.wait(r.Context(), after)
	c.mu.Lock()
	defer c.mu.Unlock()
	batch, err := c.log.ReadAfter(after, "", 256<<10)
	var compacted *watchlog.CompactedError
	if errors.As(err, &compacted) {
		batch, err = c.log.Snapshot(""), nil
	}
	if err != nil {
		reject(w, http.StatusConflict, &protocol.Rejection{Code: protocol.CodeBehind, Text: err.Error()})
		return
	}
	_ = json.NewEncoder(w).Encode(protocol.Update{Batch: batch, Newest: c.log.NewestRevision()})
}

// startObserver runs an observer of a fake coordinator until the end of the test.
func startObserver(t *testing.T, options Options) (*Observer, *fakeCoordinator, *httptest.Server) {
	t.Helper()
	upstream := &fakeCoordinator{log: watchlog.NewLog(logLimits), changed: make(chan struct{})}
	coordinators := httptest.NewServer(upstream)
	options.Name, options.Coordinators = "o1", map[string]string{"c1": coordinators.Listener.Addr().String()}
	o := New(options)
	routers := httptest.NewUnstartedServer(o.Handler())
	routers.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if err := conn.(*net.TCPConn).SetWriteBuffer(socketBytes); err != nil {
			t.Error(err)
		}
		return ctx
	}
	routers.Start()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { o.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		routers.CloseClientConnections()
		routers.Close()
		coordinators.Close()
	})
	eventually(t, func() error {
		if o.Status().AgeMillis < 0 {
			return errors.New("no state")
		}
		return nil
	})
	return o, upstream, routers
}

// socketBytes limits the socket buffers of a watch, so that a watcher that doesn't read is soon
// detected.
const socketBytes = 64 << 10

// routerClient is a router's HTTP client.
var routerClient = &http.Client{Transport: &http.Transport{DialContext: dialRouter}}

func dialRouter(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(socketBytes)
}

var highLimits = Options{MaxWatchers: 100, JoinsPerSecond: 1000, WatcherBytesPerSecond: 1 << 30}

// eventually waits until f returns no error.
func eventually(t *testing.T, f func() error) {
	t.Helper()
	for {
		err := f()
		if err == nil {
			return
		}
		select {
		case <-t.Context().Done():
			t.Fatal(err)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// openWatch opens a watch as a router does.
func openWatch(t *testing.T, routers *httptest.Server, query string) *http.Response {
	t.Helper()
	url := routers.URL + protocol.WatchPath + "?" + query
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := routerClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func newLineScanner(response *http.Response) *bufio.Scanner {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxAnswerBytes)
	return lines
}

// nextUpdate applies the watch's next update to a replica.
func nextUpdate(t *testing.T, lines *bufio.Scanner, replica *watchlog.Replica) protocol.Update {
	t.Helper()
	update, ok := tryNextUpdate(t, lines, replica)
	if !ok {
		t.Fatalf("the watch ended: %v", lines.Err())
	}
	return update
}

// tryNextUpdate is like nextUpdate, but returns false if the watch has ended, possibly within a line.
func tryNextUpdate(t *testing.T, lines *bufio.Scanner, replica *watchlog.Replica) (update protocol.Update, ok bool) {
	t.Helper()
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &update) != nil {
		return protocol.Update{}, false
	}
	if err := replica.Apply(update.Batch); err != nil {
		t.Fatal(err)
	}
	return update, true
}

// Documents change under a watcher's prefix and outside it. The watch gets the changes under its
// prefix and progress notices for the others, and the watcher can acknowledge the newest revision
// after either.
func TestWatchGetsOnlyChangesUnderItsPrefix(t *testing.T) {
	o, upstream, routers := startObserver(t, highLimits)
	lines, replica := newLineScanner(openWatch(t, routers, "watcher=w1&prefix=a/")), watchlog.NewReplica()
	if first := nextUpdate(t, lines, replica); first.Through != 0 || len(first.Changes) != 0 {
		t.Errorf("%+v", first)
	}
	upstream.put(t, "a/1", 10)
	upstream.put(t, "b/1", 10)
	for replica.Revision() < 2 {
		nextUpdate(t, lines, replica)
	}
	if documents := replica.Documents(); len(documents) != 1 || documents[0].Name != "a/1" {
		t.Errorf("%+v", documents)
	}
	body := `{"watcher":"w1","revision":2}`
	response, err := http.Post(routers.URL+protocol.AcknowledgePath, "application/json", bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	status := o.Status()
	isCounted := status.Acknowledged == 1 && status.Watchers == 1 && status.Upstream == "c1"
	if response.StatusCode != http.StatusOK || !isCounted {
		t.Errorf("%s %+v", response.Status, status)
	}
}

// Watches that can't be served (no state yet, a revision ahead of the observer's, too many
// watchers, an invalid request) and an acknowledgement of a revision that was not sent must be
// rejected with the right code: by it a client moves to another observer or waits.
func TestRejectionsHaveTheRightCode(t *testing.T) {
	stateless := New(Options{Name: "o2", MaxWatchers: 1, JoinsPerSecond: 1, WatcherBytesPerSecond: 1 << 20})
	unready := httptest.NewServer(stateless.Handler())
	defer unready.Close()
	_, _, routers := startObserver(t, Options{MaxWatchers: 1, JoinsPerSecond: 1000, WatcherBytesPerSecond: 1 << 20})
	nextUpdate(t, newLineScanner(openWatch(t, routers, "watcher=first")), watchlog.NewReplica())
	for _, want := range []struct {
		server *httptest.Server
		query  string
		code   protocol.Code
	}{
		{unready, "watcher=w", protocol.CodeNotReady},
		{routers, "watcher=w&after=5", protocol.CodeBehind},
		{routers, "watcher=w", protocol.CodeOverloaded},
		{routers, "", protocol.CodeInvalid},
		{routers, "watcher=w&after=x", protocol.CodeInvalid},
		{routers, "watcher=w&prefix=" + string(bytes.Repeat([]byte("p"), 129)), protocol.CodeInvalid},
	} {
		response := openWatch(t, want.server, want.query)
		var rejection protocol.Rejection
		if err := json.NewDecoder(response.Body).Decode(&rejection); err != nil || rejection.Code != want.code {
			t.Errorf("%s: %+v, %v, want %s", want.query, rejection, err, want.code)
		}
		if want.code == protocol.CodeOverloaded && response.Header.Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After", want.query)
		}
	}
	body := bytes.NewBufferString(`{"watcher":"first","revision":9}`)
	response, err := http.Post(routers.URL+protocol.AcknowledgePath, "application/json", body)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusConflict {
		t.Errorf("an invalid acknowledgement got status %s", response.Status)
	}
}

// More watchers join than the rate allows. They must be rejected with a time to retry; otherwise an
// observer would send hundreds of snapshots at the same time.
func TestJoinsAreLimited(t *testing.T) {
	o, _, routers := startObserver(t, Options{MaxWatchers: 1000, JoinsPerSecond: 1, WatcherBytesPerSecond: 1 << 20})
	for i := range 10 * joinBurst { // the rate admits one more each second meanwhile
		response := openWatch(t, routers, fmt.Sprint("watcher=w", i))
		if response.StatusCode == http.StatusServiceUnavailable {
			var rejection protocol.Rejection
			err := json.NewDecoder(response.Body).Decode(&rejection)
			if err != nil || rejection.Code != protocol.CodeOverloaded || rejection.RetryAfter() <= 0 {
				t.Errorf("%+v, %v", rejection, err)
			}
			if o.Status().RejectedJoins != 1 {
				t.Errorf("%+v", o.Status())
			}
			return
		}
	}
	t.Errorf("%d joins were admitted", 10*joinBurst)
}

// One watcher doesn't read its connection while documents change. Another one must keep up without
// a snapshot, and the slow one must get a snapshot once the log is compacted beyond its revision.
// With a queue for each watcher the observer would run out of memory or delay the others.
func TestSlowWatcherDelaysNoOtherAndGetsSnapshot(t *testing.T) {
	o, upstream, routers := startObserver(t, highLimits)
	slow := openWatch(t, routers, "watcher=slow") // the response header is read, the body isn't
	fast, replica := newLineScanner(openWatch(t, routers, "watcher=fast")), watchlog.NewReplica()
	const documents, rounds, size = 20, 12, 32 << 10 // 7.5 MiB: more than the sockets and the log can hold
	for i := range documents * rounds {
		upstream.put(t, fmt.Sprint("d", i%documents), size)
		if i%8 == 7 { // the fast watcher keeps up
			for replica.Revision() < uint64(i+1) {
				nextUpdate(t, fast, replica)
			}
		}
	}
	for replica.Revision() < documents*rounds {
		nextUpdate(t, fast, replica)
	}
	if o.Status().Snapshots != 0 {
		t.Errorf("%d snapshots, want none for the fast watcher", o.Status().Snapshots)
	}
	late, lines := watchlog.NewReplica(), newLineScanner(slow)
	snapshots := 0
	for late.Revision() < documents*rounds {
		update, ok := tryNextUpdate(t, lines, late)
		if !ok { // a slow machine may have disconnected it: watch again from its revision
			lines = newLineScanner(openWatch(t, routers, fmt.Sprint("watcher=slow&after=", late.Revision())))
		}
		if update.Snapshot {
			snapshots++
		}
	}
	if snapshots == 0 {
		t.Error("the slow watcher got no snapshot: this machine's sockets buffer too much for the test")
	}
	if want, got := fmt.Sprint(replica.Documents()), fmt.Sprint(late.Documents()); want != got {
		t.Error("the slow watcher has other documents than the fast one")
	}
}

// A watcher is sent more bytes than its rate allows per second. Sending must take as long as the
// rate requires; without the limit one snapshot could take the bandwidth of all watchers.
func TestWatchIsLimitedToItsByteRate(t *testing.T) {
	const rate = 160 << 10
	_, upstream, routers := startObserver(t, Options{MaxWatchers: 1, JoinsPerSecond: 1000, WatcherBytesPerSecond: rate})
	for i := range 4 {
		upstream.put(t, fmt.Sprint("d", i), 32<<10)
	}
	began := time.Now()
	lines, replica, bytes := newLineScanner(openWatch(t, routers, "watcher=w")), watchlog.NewReplica(), 0
	for replica.Revision() < 4 {
		nextUpdate(t, lines, replica)
		bytes += len(lines.Bytes())
	}
	if least := time.Duration(bytes-2*pieceBytes) * time.Second / rate; time.Since(began) < least {
		t.Errorf("%d bytes arrived in %v, want at least %v", bytes, time.Since(began), least)
	}
}

// A router's connection breaks without the observer noticing, and the router watches again. The
// previous watch must end; otherwise the router would be counted twice.
func TestReconnectingWatcherIsCountedOnce(t *testing.T) {
	o, _, routers := startObserver(t, highLimits)
	first, replica := newLineScanner(openWatch(t, routers, "watcher=w")), watchlog.NewReplica()
	nextUpdate(t, first, replica)
	nextUpdate(t, newLineScanner(openWatch(t, routers, "watcher=w")), watchlog.NewReplica())
	for first.Scan() { // the previous watch may still have a line in transit
	}
	if o.Status().Watchers != 1 {
		t.Errorf("%+v", o.Status())
	}
}
