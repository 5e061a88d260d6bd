package router

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/metrics"
)

// newIdleLoop returns a loop that does not run: the test runs its events.
func newIdleLoop(t testing.TB) *loop {
	t.Helper()
	cfg := testConfig(t, "127.0.0.1:1", endpointList{})
	l, err := newLoop(cfg, newUpstreams(time.Second, time.Second, 100), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	l.ctx = t.Context()
	return l
}

// Guards against a list of thousands that is applied in one turn of the loop, while answers are owed.
func TestRequestsAreHandledBetweenTheStepsOfALargeList(t *testing.T) {
	l := newIdleLoop(t)
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		l.queueUpdate(prepareUpdate(decide.AllEndpoints, largeFleet(3200), nil))
	}()
	(<-l.events)()
	handled := 0
	steps := 1
	for ; l.hasUpdate(); steps++ {
		l.events <- func() { handled++ }
		for l.runEvent(t.Context()) {
		}
		l.runUpdateStep()
		if handled != steps {
			t.Fatalf("%d events were handled before step %d", handled, steps)
		}
	}
	receive(t, applied, "the end of the update")
	if want := 3201 / updateStepEntries; steps < want || len(l.targets) != 3201 {
		t.Errorf("%d servers in %d steps, want 3201 in at least %d", len(l.targets), steps, want)
	}
}

// Guards against drains and removals that wait for the thousands of other entries of their list.
func TestEndsOfUseComeFirstInALargeList(t *testing.T) {
	l := newIdleLoop(t)
	list := largeFleet(1000)
	l.updateEndpoints(decide.AllEndpoints, list)
	drained, removed := list.Servers[999], list.Servers[1000]
	for i := range list.Servers {
		list.Servers[i].StartedMillis++
	}
	list.Servers[999].State = stateDraining
	list.Servers = list.Servers[:1000]
	u := prepareUpdate(decide.AllEndpoints, list, nil)
	for l.targets[serverID(removed.ID)] != nil || l.entries[drained.ID].State != stateDraining {
		if l.applyStep(u) {
			t.Fatal("the drain or the removal has not been applied")
		}
	}
	if u.next > updateStepEntries {
		t.Errorf("%d entries were applied before the last end", u.next)
	}
}

// Guards against steps of an update that lead to another list than the whole update does.
func TestListInStepsEqualsTheListAsAWhole(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	l := newIdleLoop(t)
	held := endpointList{IsComplete: true}
	for version := int64(1); version < 200; version++ {
		update := endpointList{Version: version, IsComplete: rng.IntN(3) == 0}
		for range rng.IntN(200) {
			number := rng.IntN(300)
			e := cacheEntry(fmt.Sprintf("s-%08x", number), fmt.Sprintf("127.0.0.1:%d", 1000+number))
			e.StartedMillis = float64(rng.IntN(3))
			e.State = []string{stateReady, stateReady, stateDraining, stateRemoved}[rng.IntN(4)]
			update.Servers = append(update.Servers, e)
		}
		update.Servers = withoutDuplicates(update.Servers)
		if update.IsComplete {
			held.Servers = nil
		}
		held = held.applyChanges(update)
		l.updateEndpoints(update.updateKind(), update)
		expectList(t, l, held)
	}
}

// withoutDuplicates returns the last entry of each server.
func withoutDuplicates(entries []listEntry) (last []listEntry) {
	byName := map[string]listEntry{}
	for _, e := range entries {
		byName[e.ID] = e
	}
	for _, e := range byName {
		last = append(last, e)
	}
	return last
}

// expectList compares what the loop holds with a complete list.
func expectList(t *testing.T, l *loop, want endpointList) {
	t.Helper()
	if len(l.entries) != len(want.Servers) || len(l.targets) != len(want.Servers) {
		t.Fatalf("version %d: %d entries and %d targets, want %d",
			want.Version, len(l.entries), len(l.targets), len(want.Servers))
	}
	indexed := 0
	for _, targets := range l.addresses {
		indexed += len(targets)
	}
	listed, _ := l.balancer.CountEndpoints()
	if indexed != len(want.Servers) || listed != len(want.Servers) {
		t.Fatalf("version %d: %d addresses, %d at the Balancer, want %d",
			want.Version, indexed, listed, len(want.Servers))
	}
	for _, e := range want.Servers {
		target := l.targets[serverID(e.ID)]
		if l.entries[e.ID] != e || target == nil || target.addr != e.Addr || target.startedAt != e.StartedMillis {
			t.Fatalf("version %d: %+v is held as %+v, target %+v", want.Version, e, l.entries[e.ID], target)
		}
	}
}

// Guards against an operator's call that names a listed server which the router has forgotten, because
// thousands of others were listed after it.
func TestNamesInUseAreNotForgotten(t *testing.T) {
	l := newIdleLoop(t)
	list := largeFleet(3000)
	l.updateEndpoints(decide.AllEndpoints, list)
	for i := range 2 * maxServerIDs {
		e := cacheEntry(fmt.Sprintf("s-%08x", 1<<20+i), fmt.Sprintf("127.0.0.1:%d", 1000+i))
		l.updateEndpoints(decide.ChangedEndpoints, endpointList{Version: 2, Servers: []listEntry{e}})
		e.State = stateRemoved
		l.updateEndpoints(decide.ChangedEndpoints, endpointList{Version: 3, Servers: []listEntry{e}})
	}
	for _, e := range list.Servers {
		if _, isKnown := l.serverIDs.IDs[e.ID]; !isKnown {
			t.Fatalf("%s is listed and was forgotten", e.ID)
		}
	}
	if n, most := len(l.serverIDs.IDs), maxServerIDs+3000/maxNamesSkipped; n > most {
		t.Errorf("%d names are held, at most %d are wanted", n, most)
	}
}

// Guards against a list that is taken differently since its entries are decoded one by one.
func TestListIsDecodedAsJSONIs(t *testing.T) {
	for _, text := range []string{
		`{"version":7,"full":true,"servers":[{"id":"a","addr":"b:1","state":"active","weight":1.5}]}`,
		"{\n \"servers\" : [ ] ,\n \"other\": {\"a\":[1,{}]}, \"full\" : false,\n \"version\": 9 }\n",
		`{"VERSION":3,"Servers":null}`, `{"version":1,"version":2,"servers":[{"id":"a"}],"servers":[]}`,
		`{"version":null}`, `{"version":"1"}`, `{"version":1,"servers":{}}`, `{"version":1,"servers":[1]}`,
		`{"version":1,"servers":[{"id":"a"}}`, `{"version":1}x`, `{"version":1.5}`, `{"version":1,}`, `{`, ``, `[1`,
		`{"version":1,"servers":[{"id":"a",}]}`, `{"version":1,"servers":[{"id":"a"},]}`,
	} {
		var want endpointList
		wantErr := json.Unmarshal([]byte(text), &want)
		got, _, err := decodeList([]byte(text), nil)
		if (err != nil) != (wantErr != nil) {
			t.Errorf("%s: got error %v, want %v", text, err, wantErr)
		}
		if err == nil && fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
			t.Errorf("%s: got %+v, want %+v", text, got, want)
		}
	}
}

func BenchmarkReplaceServers(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprint(servers, " servers"), func(b *testing.B) {
			l := newIdleLoop(b)
			l.updateEndpoints(decide.AllEndpoints, largeFleet(servers))
			for i := 0; b.Loop(); i++ {
				var changes []listEntry
				for n := range 20 {
					e := cacheEntry(fmt.Sprintf("s-%08x", 100+20*i+n), fmt.Sprintf("127.1.0.1:%d", 100+n))
					e.StartedMillis = float64(i)
					changes = append(changes, e)
				}
				l.updateEndpoints(decide.ChangedEndpoints, endpointList{Version: int64(i), Servers: changes})
			}
		})
	}
}
