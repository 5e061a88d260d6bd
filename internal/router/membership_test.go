package router

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestLeastRecentlyListedIDIsForgotten(t *testing.T) {
	var ids serverIDs
	ids.add("first", 1, nil)
	for i := range maxServerIDs - 1 {
		ids.add(fmt.Sprint("s-", i), uint32(i), nil)
	}
	ids.add("first", 1, nil) // listed again, so it is not the oldest
	ids.add("one more", 2, nil)
	if len(ids.IDs) != maxServerIDs || ids.IDs["first"] != 1 || ids.IDs["one more"] != 2 {
		t.Errorf("%d ids", len(ids.IDs))
	}
	if _, kept := ids.IDs["s-0"]; kept {
		t.Error("the least recently listed id is kept")
	}
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	for _, state := range []string{"leaving", "left"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			s, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
			e := cacheEntry("s-0000000b", s.addr)
			r, d := startReadyRouter(t, e, originEntry(o.addr))
			c := dialClient(t, r.addr)
			c.exchange(readCommandOf("a1", 2000))
			receive(t, s.received, "request")
			e.State = state
			changedAt := time.Now()
			d.publishChange(e)
			receive(t, d.calls, "watch after the change")
			if state == "left" {
				receive(t, s.peerCloses, "end of the idle connection")
				if took := time.Since(changedAt); took > 5*time.Second { // else its idle time has expired
					t.Errorf("closed after %v", took)
				}
			}
			for i := range 5 {
				c.exchange(readCommandOf(fmt.Sprint("b", i), 2000))
			}
			if len(s.received) > 0 {
				t.Error("a request was sent to a draining server")
			}
		})
	}
}

// Guards against requests on connections to a server's previous process: they are closed when the
// list has a new start time.
func TestRestartedServerGetsNewConnections(t *testing.T) {
	s, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	e := cacheEntry("s-0000000b", s.addr)
	r, d := startReadyRouter(t, e, originEntry(o.addr))
	dialClient(t, r.addr).exchange(readCommandOf("a1", 2000))
	e.StartedMillis = float64(time.Now().UnixMilli())
	changedAt := time.Now()
	d.publishChange(e)
	receive(t, s.peerCloses, "end of the old connection")
	if took := time.Since(changedAt); took > 5*time.Second { // else its idle time has expired
		t.Errorf("closed after %v", took)
	}
}

// Guards against a new process at the address of one that has gone being taken for it, while discovery has not
// told of the removal yet.
func TestNewServerAtAnOldAddressIsNotTakenForTheOldOne(t *testing.T) {
	s, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	gone := cacheEntry("s-0000000b", s.addr)
	r, d := startReadyRouter(t, gone, originEntry(o.addr))
	c := dialClient(t, r.addr)
	c.exchange(readCommandOf("a1", 2000))
	receive(t, s.received, "request")
	next := cacheEntry("s-0000000c", s.addr)
	next.StartedMillis = 1 // after the old one, and warm by now
	d.publishChange(next)
	receive(t, s.peerCloses, "end of the connection to the old process")
	for i := range 5 {
		if got := c.exchange(readCommandOf(fmt.Sprint("b", i), 5000)); !strings.HasSuffix(got, "hello") {
			t.Errorf("got %q", got)
		}
	}
	if n := s.connCount.Load(); n != 2 {
		t.Errorf("%d connections, want one to each process", n)
	}
	onLoop(r.router.loop, func() {
		l := r.router.loop
		if l.targets[serverID(gone.ID)] != nil || l.targets[serverID(next.ID)] == nil {
			t.Errorf("targets %v", l.targets)
		}
	})
	gone.State = stateRemoved
	d.publishChange(gone) // it must not end the use of the new server
	receive(t, d.calls, "watch after the change")
	if got := c.exchange(readCommandOf("c", 5000)); !strings.HasSuffix(got, "hello") {
		t.Errorf("after the removal of the old server: got %q", got)
	}
}
