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

// world is a fleet that talks to a State, and keeps its own book of what must hold.
type world struct {
	s       *State
	clock   time.Duration
	token   uint64
	opened  uint64
	routers map[string]Sender // their sessions
	acked   map[string]uint64
	holders map[string]Sender
	given   map[string]uint64 // the highest token that a thing was begun with
	said    map[uint64]bool   // permits that were said to be drained
}

func newWorld(budgets ...Budget) *world {
	w := &world{s: New(), routers: map[string]Sender{}, acked: map[string]uint64{}, holders: map[string]Sender{}, given: map[string]uint64{}, said: map[uint64]bool{}}
	w.must(Command{Op: OpSetBudgets, Budgets: budgets, Grace: 5 * time.Second}, "operator")
	return w
}

func (w *world) next() uint64 { w.token++; return w.token }

func (w *world) from(client string) Sender {
	f, ok := w.holders[client]
	if !ok {
		w.opened++
		f = Sender{Session: fmt.Sprint(client, "#", w.opened), Client: client, SessionOrder: w.opened, NextToken: w.next}
		w.holders[client] = f
	}
	f.Time = w.clock
	return f
}

func (w *world) do(c Command, client string) Result { return w.s.Apply(c, w.from(client)) }

func (w *world) must(c Command, client string) Result {
	a := w.do(c, client)
	if a.Code != CodeOK {
		panic(fmt.Sprintf("%+v: %+v", c, a))
	}
	return a
}

func (w *world) pass(d time.Duration) {
	w.clock += d
	w.s.Advance(w.clock, w.next)
}

func (w *world) end(client string) {
	if f, ok := w.holders[client]; ok {
		delete(w.holders, client)
		delete(w.acked, client)
		w.s.SessionEnded(f.Session, client, w.clock, w.next)
	}
}

// router has a router tell of itself and of servers as "s1:up" and "s2:bad/run".
func (w *world) router(name, zone string, sights ...string) {
	v := &RouterReport{Zone: zone, IsReady: true}
	for _, x := range sights {
		server, is, _ := strings.Cut(x, ":")
		is, run, _ := strings.Cut(is, "/")
		v.Servers = append(v.Servers, ServerObservation{Name: server, Zone: "z" + server[len(server)-1:], Incarnation: run, Status: ServerStatus(is)})
	}
	w.must(Command{Op: OpReport, Report: v}, RouterClientPrefix+name)
}

func (w *world) permit(k Kind, name string) *Permit {
	for _, p := range w.s.Permits {
		if p.Kind == k && p.Name == name {
			return p
		}
	}
	return nil
}

// isOut is what counts as out, found out the slow way.
func (w *world) isOut(k Kind, name string, t *Target) bool {
	for _, p := range w.s.Permits {
		if p.Kind == k && p.Name == name && p.Stage == StageBegun {
			return true
		}
	}
	if k == KindRouter {
		if f, ok := w.holders[RouterClientPrefix+name]; !ok || f.Session != t.Session || !t.IsReady {
			return true
		}
	} else {
		up := 0
		for _, is := range t.Observations {
			if is == StatusServing {
				up++
			}
		}
		if len(t.Observations) == 0 || len(t.Observations)-up > up {
			return true
		}
	}
	warm := time.Duration(0)
	for _, b := range w.s.Budgets {
		if b.covers(targetRef{k, name}) {
			warm = max(warm, b.SlowStart)
		}
	}
	return w.clock < t.ChangedAt+warm
}

// Whatever happens, in whatever order: a step begins only within every budget, one thing has one
// step, tokens of a thing grow, drained is said only after all routers that could send have said
// so, and a state read back from its text goes on alike.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(
			Budget{Name: "servers", Kind: KindServer, MaxOut: rapid.IntRange(1, 3).Draw(t, "servers"), SlowStart: time.Duration(rapid.IntRange(0, 20).Draw(t, "warm")) * time.Second},
			Budget{Name: "zones", Kind: KindServer, Per: "zone", MaxOut: 1},
			Budget{Name: "routers", Kind: KindRouter, MaxOutShare: 0.34, SlowStart: 3 * time.Second})
		routers, servers := []string{"r1", "r2", "r3", "r4", "r5", "r6"}, []string{"sa1", "sa2", "sb1", "sb2", "sc1", "sc2", "sd1"}
		sights := []ServerStatus{StatusServing, StatusServing, StatusServing, StatusFailing, StatusDraining, StatusRemoved}
		for _, r := range routers {
			for _, s := range servers {
				w.router(r, "z"+r[1:], s+":up/1")
			}
		}
		w.pass(time.Minute)
		for i := range rapid.IntRange(10, 120).Draw(t, "events") {
			k, name := KindServer, rapid.SampledFrom(servers).Draw(t, "server")
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				k, name = KindRouter, rapid.SampledFrom(routers).Draw(t, "router")
			}
			who := rapid.SampledFrom([]string{"ann", "bob", "cid"}).Draw(t, "who")
			r := rapid.SampledFrom(routers).Draw(t, "of")
			p := w.permit(k, name)
			switch rapid.IntRange(0, 13).Draw(t, "what") {
			case 0, 1, 2:
				w.do(Command{Op: OpRequestPermit, Kind: k, Name: name, Priority: rapid.SampledFrom([]int{PriorityRelease, PriorityNormal, PriorityEmergency}).Draw(t, "priority"),
					ValidFor: time.Duration(rapid.IntRange(0, 30).Draw(t, "within")) * time.Second}, who)
			case 3, 4, 5, 6:
				if p == nil {
					continue
				}
				// Before it, what would be out with it, and whether it was out without it.
				thing := w.s.targets(k)[name]
				down := !thing.IsUp
				began := p.Stage == StageBegun
				a := w.do(Command{Op: OpBeginOutage, Kind: k, Name: name, Token: p.Token}, p.Client)
				if a.Code != CodeOK || began {
					continue
				}
				if p.Token <= w.given[targetRef{k, name}.String()] {
					t.Fatalf("event %d: token %d after %d", i, p.Token, w.given[targetRef{k, name}.String()])
				}
				w.given[targetRef{k, name}.String()] = p.Token
				if down && p.Priority == PriorityEmergency {
					continue
				}
				for _, b := range w.s.Budgets {
					out, n := 0, 0
					for other, x := range w.s.targets(k) {
						if b.covers(targetRef{k, other}) && (b.Per == "" || x.Zone == thing.Zone) {
							n++
							if w.isOut(k, other, x) {
								out++
							}
						}
					}
					if b.covers(targetRef{k, name}) && out > b.allowed(n) {
						t.Fatalf("event %d: budget %s: %d out of %d allowed, after %s/%s began", i, b.Name, out, b.allowed(n), k, name)
					}
				}
			case 7:
				if p != nil {
					w.do(Command{Op: OpEndOutage, Kind: k, Name: name, Token: p.Token}, p.Client)
				}
			case 8:
				w.do(Command{Op: rapid.SampledFrom([]Op{OpClearPermit, OpCancelPermit, OpForgetTarget}).Draw(t, "op"), Kind: k, Name: name}, who)
			case 9:
				w.end(rapid.SampledFrom([]string{who, RouterClientPrefix + r}).Draw(t, "ends"))
			case 10:
				w.router(r, "z"+r[1:], fmt.Sprintf("%s:%s/%d", rapid.SampledFrom(servers).Draw(t, "seen"), rapid.SampledFrom(sights).Draw(t, "sight"), rapid.IntRange(1, 3).Draw(t, "run")))
			case 11:
				if _, ok := w.holders[RouterClientPrefix+r]; ok && w.s.Routers[r] != nil {
					v := uint64(rapid.IntRange(0, int(w.s.DrainVersion)).Draw(t, "acked"))
					if w.do(Command{Op: OpAcknowledgeDrains, DrainVersion: v}, RouterClientPrefix+r).Code == CodeOK {
						w.acked[RouterClientPrefix+r] = max(w.acked[RouterClientPrefix+r], v)
					}
				}
			case 12:
				w.pass(time.Duration(rapid.IntRange(0, 12000).Draw(t, "ms")) * time.Millisecond)
			case 13:
				w.do(Command{Op: rapid.SampledFrom([]Op{OpHalt, OpResume}).Draw(t, "op"), Reason: "a test"}, who)
			}
			w.check(t)
		}
		w.all(t, servers, routers)
	})
}

// check is what holds at any time.
func (w *world) check(t *rapid.T) {
	begun := map[string]bool{}
	for _, p := range w.s.Permits {
		id := p.target().String()
		if p.Stage == StageBegun && begun[id] {
			t.Fatalf("two steps of %s at once", id)
		}
		begun[id] = begun[id] || p.Stage == StageBegun
		if p.IsDrained && !w.said[p.ID] { // one that comes later knows it before its first request
			w.said[p.ID] = true
			for name, r := range w.s.Routers {
				if f, there := w.holders[RouterClientPrefix+name]; there && r.Session == f.Session && w.acked[RouterClientPrefix+name] < p.DrainVersion {
					t.Fatalf("%s is said to be drained, and %s has acknowledged %d, not %d", id, name, w.acked[RouterClientPrefix+name], p.DrainVersion)
				}
			}
		}
	}
	text, err := json.Marshal(w.s)
	if err != nil {
		t.Fatal(err)
	}
	back := New()
	if err := json.Unmarshal(text, back); err != nil {
		t.Fatal(err)
	}
	back.RebuildDerived()
	back.Advance(w.clock, func() uint64 { t.Fatal("read back, it gives a permit"); return 0 })
	if again, err := json.Marshal(back); err != nil || !bytes.Equal(text, again) {
		t.Fatalf("read back:\n%s\n%s", text, again)
	}
}

// all has the fleet be well again: then each that waits gets its permit in the end.
func (w *world) all(t *rapid.T, servers, routers []string) {
	w.must(Command{Op: OpResume}, "operator")
	for _, p := range slices.Clone(w.s.Permits) {
		if p.Stage == StageBegun {
			w.must(Command{Op: OpClearPermit, Kind: p.Kind, Name: p.Name}, "operator")
		}
	}
	for _, r := range routers {
		for _, s := range servers {
			w.router(r, "z"+r[1:], s+":up/9")
		}
	}
	for range 3 * MaxPermits {
		w.pass(time.Minute)
		i := slices.IndexFunc(w.s.Permits, func(p *Permit) bool { return p.Stage == StageGranted })
		if i < 0 {
			break
		}
		p := w.s.Permits[i]
		w.must(Command{Op: OpBeginOutage, Kind: p.Kind, Name: p.Name, Token: p.Token}, p.Client)
		w.must(Command{Op: OpEndOutage, Kind: p.Kind, Name: p.Name, Token: p.Token}, p.Client)
	}
	if len(w.s.Permits) > 0 {
		t.Fatalf("all is well, and %s/%s waits still: %s", w.s.Permits[0].Kind, w.s.Permits[0].Name, w.s.Permits[0].WaitReason)
	}
}

// fleet is a world of three routers and servers sa1, sa2, sb1, sb2 that is warm.
func fleet(budgets ...Budget) *world {
	w := newWorld(budgets...)
	for _, r := range []string{"r1", "r2", "r3"} {
		w.router(r, "z1", "sa1:up/1", "sa2:up/1", "sb1:up/1", "sb2:up/1")
	}
	w.pass(time.Hour)
	return w
}

func two(t *testing.T, a Result, stage Stage, words string) {
	t.Helper()
	if a.Code != CodeOK || a.Stage != stage || !strings.Contains(a.Text, words) || (words == "") != (a.Text == "") {
		t.Errorf("%+v, want %s and %q", a, stage, words)
	}
}

// Each reason to wait is told in words, and ends when its cause does.
func TestWhyItWaits(t *testing.T) {
	servers := Budget{Name: "s", Kind: KindServer, MaxOut: 1, SlowStart: 30 * time.Second}
	w := fleet(servers)
	ask := func(name, who string, priority int) Result {
		return w.do(Command{Op: OpRequestPermit, Kind: KindServer, Name: name, Priority: priority}, who)
	}
	two(t, ask("sa1", "ann", PriorityNormal), StageGranted, "")
	two(t, ask("sa2", "bob", PriorityNormal), StageWaiting, "1 of at most 1 out: sa1 (permit before this one)")
	if v := w.s.Version; ask("sa2", "bob", PriorityNormal).Code != CodeOK || w.s.Version != v {
		t.Error("asking again wakes all others")
	}
	two(t, ask("sa1", "cid", PriorityEmergency), StageGranted, "") // takes back what hasn't begun
	if a := w.do(Command{Op: OpBeginOutage, Kind: KindServer, Name: "sa1", Token: 1}, "ann"); a.Code != CodeNotHeld {
		t.Errorf("begun with a permit that was taken back: %+v", a)
	}
	p := w.permit(KindServer, "sa1")
	for _, q := range w.s.Permits {
		if q.Client == "cid" {
			p = q
		}
	}
	two(t, w.must(Command{Op: OpBeginOutage, Kind: KindServer, Name: "sa1", Token: p.Token}, "cid"), StageBegun, "r1, r2, r3")
	two(t, w.must(Command{Op: OpRequestPermit, Kind: KindServer, Name: "sa2", Priority: PriorityNormal}, "bob"), StageWaiting, "1 of at most 1 out: sa1 (by plan)")
	w.must(Command{Op: OpEndOutage, Kind: KindServer, Name: "sa1", Token: p.Token}, "cid")
	two(t, ask("sa2", "bob", PriorityNormal), StageWaiting, "sa1 (cold)")
	w.pass(30 * time.Second) // ann waits still for sa1, and came first
	w.must(Command{Op: OpCancelPermit, Kind: KindServer, Name: "sa1"}, "ann")
	two(t, ask("sa2", "bob", PriorityNormal), StageGranted, "")
	w.must(Command{Op: OpHalt, Reason: "I don't like it"}, "ann")
	two(t, ask("sa2", "bob", PriorityNormal), StageWaiting, "halted by ann: I don't like it")
	w.must(Command{Op: OpResume}, "ann")
	two(t, ask("sa2", "bob", PriorityNormal), StageGranted, "")
	w.router("r1", "z1", "sb1:bad/1")
	two(t, ask("sa2", "bob", PriorityNormal), StageGranted, "") // one router is no evidence
	w.router("r2", "z1", "sb1:bad/1")
	two(t, ask("sa2", "bob", PriorityNormal), StageWaiting, "sb1 (down)")
	two(t, ask("sb1", "eve", PriorityNormal), StageWaiting, "permit before this one") // bob's is weighed first
	two(t, ask("sb1", "eve", PriorityEmergency), StageGranted, "")                    // it is out already
	if a := ask("nobody", "eve", PriorityNormal); a.Code != CodeInvalid || !strings.Contains(a.Text, "it has sa1, sa2, sb1, sb2") {
		t.Errorf("%+v", a)
	}
	two(t, w.do(Command{Op: OpRequestPermit, Kind: KindRouter, Name: "r1"}, "eve"), StageWaiting, "no budget covers router/r1")
	w.must(Command{Op: OpSetBudgets, Budgets: []Budget{servers, {Name: "r", Kind: KindRouter, MaxOutShare: 0.2}}, Grace: time.Second}, "ann")
	two(t, w.do(Command{Op: OpRequestPermit, Kind: KindRouter, Name: "r1"}, "eve"), StageWaiting, "a share of 0.2 of 3 is none")
	w.must(Command{Op: OpSetBudgets, Budgets: []Budget{servers}, Grace: time.Second, ExpectedRouters: 4}, "ann")
	two(t, ask("sa2", "bob", PriorityNormal), StageWaiting, "4 routers are expected, and 3 take part") // one runs a program that knows nothing of it
}

// The last of a kind, and the last of a zone that has several, stay whatever the budgets say.
func TestLastStays(t *testing.T) {
	w := fleet(Budget{Name: "s", Kind: KindServer, MaxOut: 100})
	for _, name := range []string{"sa1", "sb1", "sa2", "sb2"} {
		a := w.do(Command{Op: OpRequestPermit, Kind: KindServer, Name: name}, "ann")
		switch name {
		case "sa1", "sa2": // the zones are z1 and z2
			two(t, a, StageGranted, "")
			w.must(Command{Op: OpBeginOutage, Kind: KindServer, Name: name, Token: a.Token}, "ann")
		case "sb1":
			two(t, a, StageWaiting, "the last server of zone z1")
		case "sb2":
			two(t, a, StageWaiting, "the last server")
		}
	}
}

// A permit whose holder has died stays used until the thing runs anew, or an operator clears it.
func TestOrphans(t *testing.T) {
	w := fleet(Budget{Name: "s", Kind: KindServer, MaxOut: 1}, Budget{Name: "r", Kind: KindRouter, MaxOut: 1})
	for _, x := range []struct {
		k    Kind
		name string
		back func()
	}{
		{KindServer, "sa1", func() { w.router("r1", "z1", "sa1:up/2") }},
		{KindRouter, "r2", func() {
			w.end(RouterClientPrefix + "r2")
			w.pass(time.Hour)
			w.router("r2", "z1")
		}},
		{KindServer, "sb1", func() { w.must(Command{Op: OpClearPermit, Kind: KindServer, Name: "sb1"}, "operator") }},
	} {
		a := w.must(Command{Op: OpRequestPermit, Kind: x.k, Name: x.name}, "ann")
		w.must(Command{Op: OpBeginOutage, Kind: x.k, Name: x.name, Token: a.Token}, "ann")
		w.pass(4 * time.Second)
		w.end("ann")
		if x.k == KindServer && x.name == "sa1" { // news from before the step
			w.router("r1", "z1", "sa1:up/1b")
		}
		w.pass(time.Hour)
		if p := w.permit(x.k, x.name); p == nil || !strings.Contains(p.WaitReason, "its holder ann is gone") || x.k == KindServer && !slices.Equal(w.s.DrainedServers(), []string{x.name}) {
			t.Errorf("%s: %+v, drained %v", x.name, p, w.s.DrainedServers())
		}
		if x.back(); w.permit(x.k, x.name) != nil || len(w.s.DrainedServers()) > 0 {
			t.Errorf("%s: %+v after it was back", x.name, w.permit(x.k, x.name))
		}
		w.pass(time.Hour)
	}
}

// One of the same name takes over from a holder that died in the step, with a higher token; one of
// another name waits.
func TestTakeOver(t *testing.T) {
	w := fleet(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	ask := func(who string) Result {
		return w.must(Command{Op: OpRequestPermit, Kind: KindServer, Name: "sa1"}, who)
	}
	a := ask("ann")
	w.must(Command{Op: OpBeginOutage, Kind: KindServer, Name: "sa1", Token: a.Token}, "ann")
	old := w.holders["ann"]
	delete(w.holders, "ann") // a new process, before the session of the old one has ended
	two(t, ask("ann"), StageWaiting, "another permit of it is given")
	w.s.SessionEnded(old.Session, "ann", w.clock, w.next)
	two(t, ask("bob"), StageWaiting, "another permit of it is given")
	if b := ask("ann"); b.Stage != StageBegun || b.Token <= a.Token || len(w.s.Permits) != 2 {
		t.Errorf("%+v, %d permits", b, len(w.s.Permits))
	}
	old.Time = w.clock
	if b := w.s.Apply(Command{Op: OpEndOutage, Kind: KindServer, Name: "sa1", Token: a.Token}, old); b.Code != CodeNotHeld {
		t.Errorf("the one that had died gives it back: %+v", b)
	}
}

// A server is drained when all routers have said so that could send to it, a cut-off one by
// discovery's list and time.
func TestDrained(t *testing.T) {
	w := fleet(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	a := w.must(Command{Op: OpRequestPermit, Kind: KindServer, Name: "sa1"}, "ann")
	w.must(Command{Op: OpBeginOutage, Kind: KindServer, Name: "sa1", Token: a.Token}, "ann")
	state := func() Result { return w.do(Command{Op: OpRequestPermit, Kind: KindServer, Name: "sa1"}, "ann") }
	two(t, state(), StageBegun, "until nothing more is sent to it by r1, r2, r3")
	w.must(Command{Op: OpAcknowledgeDrains, DrainVersion: w.s.DrainVersion}, RouterClientPrefix+"r1")
	w.must(Command{Op: OpAcknowledgeDrains, DrainVersion: w.s.DrainVersion + 5}, RouterClientPrefix+"r2")
	w.end(RouterClientPrefix + "r3")
	two(t, state(), StageBegun, "r3 (no session, and discovery's list doesn't say that the server leaves)")
	w.router("r1", "z1", "sa1:leaving/1")
	w.pass(4 * time.Second)
	two(t, state(), StageBegun, "r3 (no session)")
	w.pass(time.Second) // the grace
	if a := state(); !a.IsDrained || a.Text != "" {
		t.Errorf("%+v", a)
	}
	w.must(Command{Op: OpEndOutage, Kind: KindServer, Name: "sa1", Token: a.Token}, "ann")
	if len(w.s.DrainedServers()) > 0 {
		t.Error(w.s.DrainedServers())
	}
	if a := w.do(Command{Op: OpEndOutage, Kind: KindServer, Name: "sa1", Token: a.Token}, "ann"); a.Code != CodeNotHeld {
		t.Errorf("given back twice: %+v", a)
	}
}

// A server that all lists have dropped counts as out for a while, also when it was changed just
// then, and is forgotten after it.
func TestGone(t *testing.T) {
	w := fleet(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	a := w.must(Command{Op: OpRequestPermit, Kind: KindServer, Name: "sa1"}, "ann")
	w.must(Command{Op: OpBeginOutage, Kind: KindServer, Name: "sa1", Token: a.Token}, "ann")
	for _, r := range []string{"r1", "r2", "r3"} {
		w.router(r, "z1", "sa1:gone")
	}
	w.must(Command{Op: OpEndOutage, Kind: KindServer, Name: "sa1", Token: a.Token}, "ann")
	two(t, w.must(Command{Op: OpRequestPermit, Kind: KindServer, Name: "sa2"}, "ann"), StageWaiting, "sa1 (down)")
	w.pass(ForgetAfterGraces*5*time.Second - 1)
	two(t, w.must(Command{Op: OpRequestPermit, Kind: KindServer, Name: "sa2"}, "ann"), StageWaiting, "sa1 (down)")
	w.pass(1)
	if two(t, w.must(Command{Op: OpRequestPermit, Kind: KindServer, Name: "sa2"}, "ann"), StageGranted, ""); w.s.Servers["sa1"] != nil {
		t.Error("not forgotten")
	}
}

// Every table has its bound, and says so.
func TestBounds(t *testing.T) {
	w := fleet(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	full := func(what string, a Result) {
		t.Helper()
		if a.Code != CodeLimitReached || !strings.Contains(a.Text, "at most") {
			t.Errorf("%s: %+v", what, a)
		}
	}
	for i := range MaxRouters - 3 {
		w.router(fmt.Sprint("x", i), "z")
	}
	full("routers", w.do(Command{Op: OpReport, Report: &RouterReport{}}, RouterClientPrefix+"y"))
	for i := range MaxServers - 4 {
		w.router("r1", "z", fmt.Sprintf("s%d:up", i))
	}
	full("servers", w.do(Command{Op: OpReport, Report: &RouterReport{Servers: []ServerObservation{{Name: "y", Status: StatusServing}}}}, RouterClientPrefix+"r1"))
	for i := range MaxPermits {
		w.must(Command{Op: OpRequestPermit, Kind: KindServer, Name: "sa1"}, fmt.Sprint("c", i))
	}
	full("permits", w.do(Command{Op: OpRequestPermit, Kind: KindServer, Name: "sa1"}, "late"))
	full("budgets", w.do(Command{Op: OpSetBudgets, Budgets: make([]Budget, MaxBudgets+1), Grace: time.Second}, "ann"))
	for _, c := range []Command{{Op: "x"}, {Op: OpRequestPermit}, {Op: OpRequestPermit, Kind: KindServer}, {Op: OpHalt}, {Op: OpReport}, {Op: OpSetBudgets}, {Op: OpSetBudgets, Grace: time.Second, Budgets: []Budget{{}}},
		{Op: OpSetBudgets, Grace: time.Second, Budgets: []Budget{{Name: "a", Kind: KindServer}}}, {Op: OpReport, Report: &RouterReport{Servers: make([]ServerObservation, MaxReportedServers+1)}}} {
		if a := w.do(c, "ann"); a.Code != CodeInvalid || a.Text == "" {
			t.Errorf("%+v: %+v", c, a)
		}
	}
}
