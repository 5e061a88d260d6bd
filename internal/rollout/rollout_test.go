package rollout

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// isOut reports whether a target counts as out. It uses the test's own record of sessions, and
// derives everything else from the observations and permits, not from counts in the state.
func (f *testFleet) isOut(ref targetRef, t *Target) bool {
	for _, p := range f.state.Permits {
		if p.target() == ref && p.Stage == StageBegun {
			return true
		}
	}
	if ref.kind == KindRouter {
		sender, isOpen := f.sessions[RouterClientPrefix+ref.name]
		if !isOpen || sender.Session != t.Session || !t.IsReady {
			return true
		}
	} else {
		serving := 0
		for _, status := range t.Observations {
			if status == StatusServing {
				serving++
			}
		}
		if len(t.Observations) == 0 || len(t.Observations)-serving > serving {
			return true
		}
	}
	slowStart := time.Duration(0)
	for _, b := range f.state.Budgets {
		if b.covers(ref) {
			slowStart = max(slowStart, b.SlowStart)
		}
	}
	return f.now < t.ChangedAt+slowStart
}

// budgetsRun is one random run of TestBudgetsAreNeverExceeded.
type budgetsRun struct {
	*testFleet
	t       *rapid.T
	routers []string
	servers []string
}

// Guards against exceeded budgets, for example by a second outage in a zone where a server has
// already failed. Operators, a release and failures take targets out at once, in random order:
// requests, beginnings and ends of outages, lost sessions, reports of failing and removed servers,
// late acknowledgements, halts. In any order:
//
//   - an outage begins only if every budget allows it;
//   - a target has at most one outage at a time, and the tokens of its outages increase;
//   - a server counts as drained only after all routers that could send to it have acknowledged;
//   - a state read back from a snapshot is the same.
func TestBudgetsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxOut := rapid.IntRange(1, 3).Draw(t, "servers out at most")
		slowStart := time.Duration(rapid.IntRange(0, 20).Draw(t, "slow start seconds")) * time.Second
		run := &budgetsRun{
			testFleet: newTestFleet(
				Budget{Name: "servers", Kind: KindServer, MaxOut: maxOut, SlowStart: slowStart},
				Budget{Name: "zones", Kind: KindServer, Per: "zone", MaxOut: 1},
				Budget{Name: "routers", Kind: KindRouter, MaxOutShare: 0.34, SlowStart: 3 * time.Second}),
			t:       t,
			routers: []string{"r1", "r2", "r3", "r4", "r5", "r6"},
			servers: []string{"sa1", "sa2", "sb1", "sb2", "sc1", "sc2", "sd1"},
		}
		run.reportAllServing("1")
		run.advance(time.Minute)
		for range rapid.IntRange(10, 120).Draw(t, "events") {
			run.applyRandomEvent()
			run.checkInvariants()
		}
		run.expectAllPermitsGranted()
	})
}

// reportAllServing makes all routers report all servers as serving in one incarnation.
func (run *budgetsRun) reportAllServing(incarnation string) {
	for _, router := range run.routers {
		for _, server := range run.servers {
			run.report(router, "z"+router[1:], server+":up/"+incarnation)
		}
	}
}

// applyRandomEvent applies one random event.
func (run *budgetsRun) applyRandomEvent() {
	t := run.t
	ref := targetRef{KindServer, rapid.SampledFrom(run.servers).Draw(t, "server")}
	if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
		ref = targetRef{KindRouter, rapid.SampledFrom(run.routers).Draw(t, "router")}
	}
	client := rapid.SampledFrom([]string{"ann", "bob", "cid"}).Draw(t, "client")
	router := rapid.SampledFrom(run.routers).Draw(t, "other router")
	permit := run.permit(ref.kind, ref.name)
	switch rapid.IntRange(0, 13).Draw(t, "event") {
	case 0, 1, 2:
		run.requestPermit(ref, client)
	case 3, 4, 5, 6:
		if permit != nil {
			run.beginOutage(ref, permit)
		}
	case 7:
		if permit != nil {
			run.apply(Command{Op: OpEndOutage, Kind: ref.kind, Name: ref.name, Token: permit.Token}, permit.Client)
		}
	case 8:
		op := rapid.SampledFrom([]Op{OpClearPermit, OpCancelPermit, OpForgetTarget}).Draw(t, "op")
		run.apply(Command{Op: op, Kind: ref.kind, Name: ref.name}, client)
	case 9:
		run.endSession(rapid.SampledFrom([]string{client, RouterClientPrefix + router}).Draw(t, "ended session"))
	case 10:
		run.reportRandomServer(router)
	case 11:
		run.acknowledgeRandomVersion(router)
	case 12:
		run.advance(time.Duration(rapid.IntRange(0, 12000).Draw(t, "ms")) * time.Millisecond)
	case 13:
		op := rapid.SampledFrom([]Op{OpHalt, OpResume}).Draw(t, "op")
		run.apply(Command{Op: op, Reason: "a test"}, client)
	}
}

func (run *budgetsRun) requestPermit(ref targetRef, client string) {
	priorities := []int{PriorityRelease, PriorityNormal, PriorityEmergency}
	run.apply(Command{
		Op:       OpRequestPermit,
		Kind:     ref.kind,
		Name:     ref.name,
		Priority: rapid.SampledFrom(priorities).Draw(run.t, "priority"),
		ValidFor: time.Duration(rapid.IntRange(0, 30).Draw(run.t, "valid seconds")) * time.Second,
	}, client)
}

// beginOutage tries to begin the outage of a permit. If it begins, beginOutage checks the token and
// all budgets.
func (run *budgetsRun) beginOutage(ref targetRef, permit *Permit) {
	target := run.state.target(ref)
	wasDown := !target.IsUp
	hadBegun := permit.Stage == StageBegun
	begin := Command{Op: OpBeginOutage, Kind: ref.kind, Name: ref.name, Token: permit.Token}
	result := run.apply(begin, permit.Client)
	if result.Code != CodeOK || hadBegun {
		return
	}
	if permit.Token <= run.begunTokens[ref] {
		run.t.Fatalf("%s: token %d after %d", ref, permit.Token, run.begunTokens[ref])
	}
	run.begunTokens[ref] = permit.Token
	if wasDown && permit.Priority == PriorityEmergency {
		return // it already counted as out
	}
	for _, b := range run.state.Budgets {
		if b.covers(ref) {
			run.checkBudget(b, target.Zone, ref)
		}
	}
}

// checkBudget checks that a budget is not exceeded after the outage of a target has begun.
func (run *budgetsRun) checkBudget(b Budget, zone string, begun targetRef) {
	out, total := 0, 0
	for name, target := range run.state.targets(b.Kind) {
		ref := targetRef{b.Kind, name}
		if !b.covers(ref) || b.Per != "" && target.Zone != zone {
			continue
		}
		total++
		if run.isOut(ref, target) {
			out++
		}
	}
	if out > b.allowed(total) {
		run.t.Fatalf("budget %s: %d out, %d allowed, after %s went out", b.Name, out, b.allowed(total), begun)
	}
}

func (run *budgetsRun) reportRandomServer(router string) {
	statuses := []ServerStatus{
		StatusServing, StatusServing, StatusServing, StatusFailing, StatusDraining, StatusRemoved,
	}
	server := rapid.SampledFrom(run.servers).Draw(run.t, "observed server")
	status := rapid.SampledFrom(statuses).Draw(run.t, "status")
	incarnation := rapid.IntRange(1, 3).Draw(run.t, "incarnation")
	run.report(router, "z"+router[1:], fmt.Sprintf("%s:%s/%d", server, status, incarnation))
}

// acknowledgeRandomVersion makes a router that has a session acknowledge a random version of the
// drain set.
func (run *budgetsRun) acknowledgeRandomVersion(router string) {
	client := RouterClientPrefix + router
	if _, isOpen := run.sessions[client]; !isOpen || run.state.Routers[router] == nil {
		return
	}
	version := uint64(rapid.IntRange(0, int(run.state.DrainVersion)).Draw(run.t, "acknowledged version"))
	if run.acknowledge(router, version).Code == CodeOK {
		run.acknowledged[client] = max(run.acknowledged[client], version)
	}
}

// checkInvariants checks the conditions that must hold after every event.
func (run *budgetsRun) checkInvariants() {
	begun := map[targetRef]bool{}
	for _, p := range run.state.Permits {
		if p.Stage == StageBegun {
			if begun[p.target()] {
				run.t.Fatalf("two outages of %s at once", p.target())
			}
			begun[p.target()] = true
		}
		// Check once: a router whose session begins later applies the drain before its first
		// request.
		if p.IsDrained && !run.drainedPermits[p.ID] {
			run.drainedPermits[p.ID] = true
			run.checkAcknowledged(p)
		}
	}
	run.checkSnapshot()
}

// checkAcknowledged checks that all routers with a session have acknowledged the drain of a permit.
func (run *budgetsRun) checkAcknowledged(p *Permit) {
	for name, router := range run.state.Routers {
		client := RouterClientPrefix + name
		sender, isOpen := run.sessions[client]
		if !isOpen || router.Session != sender.Session {
			continue
		}
		if run.acknowledged[client] < p.DrainVersion {
			run.t.Fatalf("%s counts as drained, but %s has acknowledged version %d, not %d",
				p.target(), name, run.acknowledged[client], p.DrainVersion)
		}
	}
}

// checkSnapshot checks that the state read back from its encoding is the same, and that reconciling
// it changes nothing.
func (run *budgetsRun) checkSnapshot() {
	t := run.t
	text, err := json.Marshal(run.state)
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := json.Unmarshal(text, restored); err != nil {
		t.Fatal(err)
	}
	restored.RebuildDerived()
	restored.Advance(run.now, func() uint64 {
		t.Fatal("the restored state grants a permit")
		return 0
	})
	again, err := json.Marshal(restored)
	if err != nil || !bytes.Equal(text, again) {
		t.Fatalf("the restored state differs (%v):\n%s\n%s", err, text, again)
	}
}

// expectAllPermitsGranted lets the fleet recover, and checks that each request finally gets its
// permit.
func (run *budgetsRun) expectAllPermitsGranted() {
	run.mustApply(Command{Op: OpResume}, "operator")
	for _, p := range slices.Clone(run.state.Permits) {
		if p.Stage == StageBegun {
			run.mustApply(Command{Op: OpClearPermit, Kind: p.Kind, Name: p.Name}, "operator")
		}
	}
	run.reportAllServing("9")
	for range 3 * MaxPermits {
		run.advance(time.Minute)
		i := slices.IndexFunc(run.state.Permits, func(p *Permit) bool { return p.Stage == StageGranted })
		if i < 0 {
			break
		}
		p := run.state.Permits[i]
		run.mustApply(Command{Op: OpBeginOutage, Kind: p.Kind, Name: p.Name, Token: p.Token}, p.Client)
		run.mustApply(Command{Op: OpEndOutage, Kind: p.Kind, Name: p.Name, Token: p.Token}, p.Client)
	}
	if len(run.state.Permits) > 0 {
		p := run.state.Permits[0]
		run.t.Fatalf("all targets serve, but %s still waits: %s", p.target(), p.WaitReason)
	}
}

// expectPermit checks the stage of a permit, and that its wait reason contains a text; "" expects
// that there is no wait reason.
func expectPermit(t *testing.T, result Result, stage Stage, reason string) {
	t.Helper()
	hasReason := strings.Contains(result.Text, reason) && (reason == "") == (result.Text == "")
	if result.Code != CodeOK || result.Stage != stage || !hasReason {
		t.Errorf("%+v, want %s and %q", result, stage, reason)
	}
}

// Guards against an outage that begins under a revoked permit, and against permits that wait
// without a reason. Several operators request permits while only one server may be out. Each wait
// reason names its cause, and disappears with it.
func TestWaitingPermitHasAReason(t *testing.T) {
	servers := Budget{Name: "s", Kind: KindServer, MaxOut: 1, SlowStart: 30 * time.Second}
	f := newFleetInService(servers)
	expectPermit(t, f.request("sa1", "ann", PriorityNormal), StageGranted, "")
	expectPermit(t, f.request("sa2", "bob", PriorityNormal), StageWaiting,
		"1 of at most 1 out: sa1 (permit before this one)")
	version := f.state.Version
	if f.request("sa2", "bob", PriorityNormal).Code != CodeOK || f.state.Version != version {
		t.Error("a repeated request increases the state's version, which notifies all clients")
	}
	emergency := f.request("sa1", "cid", PriorityEmergency)
	expectPermit(t, emergency, StageGranted, "") // revokes ann's permit, whose outage has not begun
	if result := f.applyToServer(OpBeginOutage, "sa1", 1, "ann"); result.Code != CodeNotHeld {
		t.Errorf("an outage begins under a revoked permit: %+v", result)
	}
	expectPermit(t, f.applyToServer(OpBeginOutage, "sa1", emergency.Token, "cid"), StageBegun, "r1, r2, r3")
	expectPermit(t, f.request("sa2", "bob", PriorityNormal), StageWaiting, "1 of at most 1 out: sa1 (by plan)")
	f.endServer("sa1", "cid", emergency.Token)
	expectPermit(t, f.request("sa2", "bob", PriorityNormal), StageWaiting, "sa1 (cold)")
	f.advance(30 * time.Second) // ann's earlier request for sa1 still waits
	f.mustApply(Command{Op: OpCancelPermit, Kind: KindServer, Name: "sa1"}, "ann")
	expectPermit(t, f.request("sa2", "bob", PriorityNormal), StageGranted, "")

	f.mustApply(Command{Op: OpHalt, Reason: "I don't like it"}, "ann")
	expectPermit(t, f.request("sa2", "bob", PriorityNormal), StageWaiting, "halted by ann: I don't like it")
	f.mustApply(Command{Op: OpResume}, "ann")
	expectPermit(t, f.request("sa2", "bob", PriorityNormal), StageGranted, "")

	f.report("r1", "z1", "sb1:bad/1")
	expectPermit(t, f.request("sa2", "bob", PriorityNormal), StageGranted, "") // one router is not enough evidence
	f.report("r2", "z1", "sb1:bad/1")
	expectPermit(t, f.request("sa2", "bob", PriorityNormal), StageWaiting, "sb1 (down)")
	expectPermit(t, f.request("sb1", "eve", PriorityNormal), StageWaiting, "permit before this one") // bob's
	// The server is already out, so an emergency needs no budget.
	expectPermit(t, f.request("sb1", "eve", PriorityEmergency), StageGranted, "")

	unknown := f.request("nobody", "eve", PriorityNormal)
	if unknown.Code != CodeInvalid || !strings.Contains(unknown.Text, "it has sa1, sa2, sb1, sb2") {
		t.Errorf("%+v", unknown)
	}
	requestRouter := Command{Op: OpRequestPermit, Kind: KindRouter, Name: "r1"}
	expectPermit(t, f.apply(requestRouter, "eve"), StageWaiting, "no budget covers router/r1")
	routers := Budget{Name: "r", Kind: KindRouter, MaxOutShare: 0.2}
	f.mustApply(Command{Op: OpSetBudgets, Budgets: []Budget{servers, routers}, GracePeriod: time.Second}, "ann")
	expectPermit(t, f.apply(requestRouter, "eve"), StageWaiting, "a share of 0.2 of 3 is none")
	// One of the expected routers runs a program version that does not register.
	f.mustApply(Command{
		Op: OpSetBudgets, Budgets: []Budget{servers}, GracePeriod: time.Second, ExpectedRouters: 4,
	}, "ann")
	expectPermit(t, f.request("sa2", "bob", PriorityNormal), StageWaiting, "4 routers are expected, and 3 take part")
}

// Guards against the loss of a whole zone or fleet because a budget is far too high. All servers
// are requested one after the other. The last one of a zone with several servers, and the last one
// of the fleet, get no permit.
func TestLastTargetInServiceGetsNoPermit(t *testing.T) {
	f := newFleetInService(Budget{Name: "s", Kind: KindServer, MaxOut: 100})
	for _, step := range []struct{ server, reason string }{ // sa1 and sb1 are in zone z1
		{"sa1", ""},
		{"sb1", "the last server of zone z1"},
		{"sa2", ""},
		{"sb2", "the last server"},
	} {
		result := f.request(step.server, "ann", PriorityRelease)
		if step.reason != "" {
			expectPermit(t, result, StageWaiting, step.reason)
			continue
		}
		expectPermit(t, result, StageGranted, "")
		begin := f.applyToServer(OpBeginOutage, step.server, result.Token, "ann")
		if begin.Code != CodeOK {
			t.Errorf("%s: %+v", step.server, begin)
		}
	}
}

// Guards against further outages while a target may still be out because the holder of its permit
// has crashed. The permit stays in use until the target is observed in a new incarnation, later
// than the grace period, or until an operator clears it. Neither the end of the session nor an
// observation that may be from before the outage frees it.
func TestOrphanedPermitStaysInUseUntilRestartOrClear(t *testing.T) {
	f := newFleetInService(
		Budget{Name: "s", Kind: KindServer, MaxOut: 1}, Budget{Name: "r", Kind: KindRouter, MaxOut: 1})
	for _, orphan := range []struct {
		name    string
		target  targetRef
		recover func()
	}{
		{"restarted server", targetRef{KindServer, "sa1"}, func() { f.report("r1", "z1", "sa1:up/2") }},
		{"restarted router", targetRef{KindRouter, "r2"}, func() {
			f.endSession(RouterClientPrefix + "r2")
			f.advance(time.Hour)
			f.report("r2", "z1")
		}},
		{"cleared server", targetRef{KindServer, "sb1"}, func() {
			f.mustApply(Command{Op: OpClearPermit, Kind: KindServer, Name: "sb1"}, "operator")
		}},
	} {
		t.Run(orphan.name, func(t *testing.T) {
			kind, name := orphan.target.kind, orphan.target.name
			request := f.mustApply(Command{Op: OpRequestPermit, Kind: kind, Name: name}, "ann")
			f.mustApply(Command{Op: OpBeginOutage, Kind: kind, Name: name, Token: request.Token}, "ann")
			f.advance(4 * time.Second)
			f.endSession("ann")
			if name == "sa1" { // within the grace period: may be from before the outage
				f.report("r1", "z1", "sa1:up/1b")
			}
			f.advance(time.Hour)
			p := f.permit(kind, name)
			if p == nil || !strings.Contains(p.WaitReason, "its holder ann is gone") {
				t.Errorf("%+v", p)
			}
			if kind == KindServer && !slices.Equal(f.state.DrainedServers(), []string{name}) {
				t.Errorf("drained %v", f.state.DrainedServers())
			}
			orphan.recover()
			if f.permit(kind, name) != nil || len(f.state.DrainedServers()) > 0 {
				t.Errorf("permit %+v after the recovery, drained %v", f.permit(kind, name), f.state.DrainedServers())
			}
			f.advance(time.Hour)
		})
	}
}

// Guards against a process that was replaced and still returns the permit that its successor holds.
// A tool crashes during an outage and is restarted under the same client name before its session
// has ended. Once that has ended, the new process takes the permit over with a higher token. A tool
// of another name must wait.
func TestRestartedHolderTakesItsPermitOver(t *testing.T) {
	f := newFleetInService(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	token := f.beginServer("sa1", "ann")
	old := f.sessions["ann"]
	delete(f.sessions, "ann") // a new process, before the session of the old one has ended
	expectPermit(t, f.request("sa1", "ann", PriorityRelease), StageWaiting, "another permit of it is given")
	f.state.SessionEnded(old.Session, "ann", f.now, f.nextToken)
	expectPermit(t, f.request("sa1", "bob", PriorityRelease), StageWaiting, "another permit of it is given")
	takenOver := f.request("sa1", "ann", PriorityRelease)
	if takenOver.Stage != StageBegun || takenOver.Token <= token || len(f.state.Permits) != 2 {
		t.Errorf("%+v, %d permits", takenOver, len(f.state.Permits))
	}
	old.Time = f.now
	endOutage := Command{Op: OpEndOutage, Kind: KindServer, Name: "sa1", Token: token}
	if result := f.state.Apply(endOutage, old); result.Code != CodeNotHeld {
		t.Errorf("the replaced process returns the permit: %+v", result)
	}
}

// Guards against a permit without a reason: its holder has gone, and in the event that completes the drain the
// reason that the operator needs was deleted until the next change.
func TestOrphanedPermitKeepsItsReasonWhenDrained(t *testing.T) {
	f := newFleetInService(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	f.beginServer("sa1", "ann")
	f.endSession("ann")
	for _, router := range []string{"r1", "r2", "r3"} {
		f.acknowledge(router, f.state.DrainVersion)
	}
	p := f.permit(KindServer, "sa1")
	if !p.IsDrained || !strings.Contains(p.WaitReason, "its holder ann is gone") {
		t.Errorf("drained %v, reason %q", p.IsDrained, p.WaitReason)
	}
}

// Guards against a server that counts as drained while a router without a session still sends to
// it. The routers with a session acknowledge the drain. The one without a session only stops
// because of the endpoint list, within the grace period after the list marks the server as
// draining.
func TestDrainWaitsForAllPossibleSenders(t *testing.T) {
	f := newFleetInService(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	token := f.beginServer("sa1", "ann")
	status := func() Result { return f.request("sa1", "ann", PriorityRelease) }
	expectPermit(t, status(), StageBegun, "until nothing more is sent to it by r1, r2, r3")
	f.acknowledge("r1", f.state.DrainVersion)
	f.acknowledge("r2", f.state.DrainVersion+5)
	f.endSession(RouterClientPrefix + "r3")
	expectPermit(t, status(), StageBegun, "r3 (no session, and discovery's list doesn't say that the server leaves)")
	f.report("r1", "z1", "sa1:leaving/1")
	f.advance(testGrace - time.Second)
	expectPermit(t, status(), StageBegun, "r3 (no session)")
	f.advance(time.Second)
	if result := status(); !result.IsDrained || result.Text != "" {
		t.Errorf("%+v", result)
	}
	f.endServer("sa1", "ann", token)
	if len(f.state.DrainedServers()) > 0 {
		t.Error(f.state.DrainedServers())
	}
	if result := f.applyToServer(OpEndOutage, "sa1", token, "ann"); result.Code != CodeNotHeld {
		t.Errorf("the permit is returned twice: %+v", result)
	}
}

// Guards against another outage in place of a server that has just disappeared from all endpoint
// lists. It may have crashed, or be back before the lists are. It counts as out for
// RemoveAfterGracePeriods grace periods, and is removed only after them.
func TestDelistedServerCountsAsOutForAWhile(t *testing.T) {
	f := newFleetInService(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	token := f.beginServer("sa1", "ann")
	for _, router := range []string{"r1", "r2", "r3"} {
		f.report(router, "z1", "sa1:gone")
	}
	f.endServer("sa1", "ann", token)
	expectPermit(t, f.request("sa2", "ann", PriorityRelease), StageWaiting, "sa1 (down)")
	f.advance(RemoveAfterGracePeriods*testGrace - 1)
	expectPermit(t, f.request("sa2", "ann", PriorityRelease), StageWaiting, "sa1 (down)")
	f.advance(1)
	expectPermit(t, f.request("sa2", "ann", PriorityRelease), StageGranted, "")
	if f.state.Servers["sa1"] != nil {
		t.Error("not removed")
	}
}

// Guards against unlimited memory: a command that exceeds the limit of a table is rejected.
func TestTablesRejectBeyondTheirLimits(t *testing.T) {
	f := newFleetInService(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	expectLimitReached := func(table string, result Result) {
		t.Helper()
		if result.Code != CodeLimitReached || !strings.Contains(result.Text, "at most") {
			t.Errorf("%s: %+v", table, result)
		}
	}
	for i := range MaxRouters - 3 {
		f.report(fmt.Sprint("x", i), "z")
	}
	expectLimitReached("routers", f.apply(Command{Op: OpReport, Report: &RouterReport{}}, RouterClientPrefix+"y"))
	for i := range MaxServers - 4 {
		f.report("r1", "z", fmt.Sprintf("s%d:up", i))
	}
	oneMore := &RouterReport{Servers: []ServerObservation{{Name: "y", Status: StatusServing}}}
	expectLimitReached("servers", f.apply(Command{Op: OpReport, Report: oneMore}, RouterClientPrefix+"r1"))
	for i := range MaxPermits {
		f.mustApply(Command{Op: OpRequestPermit, Kind: KindServer, Name: "sa1"}, fmt.Sprint("c", i))
	}
	expectLimitReached("permits", f.request("sa1", "late", PriorityRelease))
	tooMany := make([]Budget, MaxBudgets+1)
	expectLimitReached("budgets", f.apply(Command{Op: OpSetBudgets, Budgets: tooMany, GracePeriod: time.Second}, "ann"))
}

// A command with a missing field, or with one out of its limits, is rejected with the reason.
func TestInvalidCommandsAreRejected(t *testing.T) {
	f := newFleetInService(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	noLimit := Budget{Name: "a", Kind: KindServer}
	tooLong := &RouterReport{Servers: make([]ServerObservation, MaxReportedServers+1)}
	for name, c := range map[string]Command{
		"unknown operation":    {Op: "x"},
		"no kind":              {Op: OpRequestPermit},
		"no name":              {Op: OpRequestPermit, Kind: KindServer},
		"no reason":            {Op: OpHalt},
		"no report":            {Op: OpReport},
		"no grace":             {Op: OpSetBudgets},
		"empty budget":         {Op: OpSetBudgets, GracePeriod: time.Second, Budgets: []Budget{{}}},
		"budget without limit": {Op: OpSetBudgets, GracePeriod: time.Second, Budgets: []Budget{noLimit}},
		"report too long":      {Op: OpReport, Report: tooLong},
	} {
		t.Run(name, func(t *testing.T) {
			client := "ann"
			if c.Report != nil {
				client = RouterClientPrefix + "r1"
			}
			if result := f.apply(c, client); result.Code != CodeInvalid || result.Text == "" {
				t.Errorf("%+v", result)
			}
		})
	}
}
