package rollout

import (
	"fmt"
	"strings"
	"time"
)

// testFleet simulates a fleet that sends commands to a State. It keeps its own record of sessions,
// acknowledgements and tokens for the checks.
type testFleet struct {
	state *State
	// now is the agreed time.
	now time.Duration
	// lastToken is the latest fencing token.
	lastToken uint64
	// lastSession is the SessionOrder of the latest session.
	lastSession uint64
	// sessions are the open sessions by client.
	sessions map[string]Sender
	// acknowledged are the drain versions that routers have acknowledged, by client.
	acknowledged map[string]uint64
	// begunTokens has the token of the latest outage of each target.
	begunTokens map[targetRef]uint64
	// drainedPermits are the IDs of the permits that were found drained.
	drainedPermits map[uint64]bool
}

// testGrace is the grace period of a testFleet.
const testGrace = 5 * time.Second

func newTestFleet(budgets ...Budget) *testFleet {
	f := &testFleet{
		state:          New(),
		sessions:       map[string]Sender{},
		acknowledged:   map[string]uint64{},
		begunTokens:    map[targetRef]uint64{},
		drainedPermits: map[uint64]bool{},
	}
	f.mustApply(Command{Op: OpSetBudgets, Budgets: budgets, GracePeriod: testGrace}, "operator")
	return f
}

// newFleetInService returns a fleet of three routers and the servers sa1, sa2, sb1 and sb2, none of
// them in slow start.
func newFleetInService(budgets ...Budget) *testFleet {
	f := newTestFleet(budgets...)
	for _, router := range []string{"r1", "r2", "r3"} {
		f.report(router, "z1", "sa1:up/1", "sa2:up/1", "sb1:up/1", "sb2:up/1")
	}
	f.advance(time.Hour)
	return f
}

func (f *testFleet) nextToken() uint64 {
	f.lastToken++
	return f.lastToken
}

// sender returns the client's session, and opens one if there is none.
func (f *testFleet) sender(client string) Sender {
	sender, isOpen := f.sessions[client]
	if !isOpen {
		f.lastSession++
		sender = Sender{
			Session:      fmt.Sprint(client, "#", f.lastSession),
			Client:       client,
			SessionOrder: f.lastSession,
			NextToken:    f.nextToken,
		}
		f.sessions[client] = sender
	}
	sender.Time = f.now
	return sender
}

func (f *testFleet) apply(c Command, client string) Result {
	return f.state.Apply(c, f.sender(client))
}

func (f *testFleet) mustApply(c Command, client string) Result {
	result := f.apply(c, client)
	if result.Code != CodeOK {
		panic(fmt.Sprintf("%+v: %+v", c, result))
	}
	return result
}

// applyToServer applies an operation to a server.
func (f *testFleet) applyToServer(op Op, name string, token uint64, client string) Result {
	return f.apply(Command{Op: op, Kind: KindServer, Name: name, Token: token}, client)
}

// request requests the permit of a server.
func (f *testFleet) request(name, client string, priority int) Result {
	return f.apply(Command{Op: OpRequestPermit, Kind: KindServer, Name: name, Priority: priority}, client)
}

// beginServer requests the permit of a server, which must be granted, and begins its outage.
func (f *testFleet) beginServer(name, client string) (token uint64) {
	token = f.mustApply(Command{Op: OpRequestPermit, Kind: KindServer, Name: name}, client).Token
	f.mustApply(Command{Op: OpBeginOutage, Kind: KindServer, Name: name, Token: token}, client)
	return token
}

// endServer returns the permit of a server.
func (f *testFleet) endServer(name, client string, token uint64) {
	f.mustApply(Command{Op: OpEndOutage, Kind: KindServer, Name: name, Token: token}, client)
}

// set applies settings, and keeps the current budgets.
func (f *testFleet) set(settings Command) Result {
	settings.Op = OpSetBudgets
	settings.Budgets = f.state.Budgets
	settings.GracePeriod = testGrace
	return f.apply(settings, "operator")
}

// advance lets the agreed time pass.
func (f *testFleet) advance(d time.Duration) {
	f.now += d
	f.state.Advance(f.now, f.nextToken)
}

// endSession ends a client's session, if it has one.
func (f *testFleet) endSession(client string) {
	sender, isOpen := f.sessions[client]
	if !isOpen {
		return
	}
	delete(f.sessions, client)
	delete(f.acknowledged, client)
	f.state.SessionEnded(sender.Session, client, f.now, f.nextToken)
}

// report makes a ready router report servers, each given as NAME:STATUS or
// NAME:STATUS/INCARNATION.
func (f *testFleet) report(router, zone string, servers ...string) {
	report := &RouterReport{Zone: zone, IsReady: true}
	for _, text := range servers {
		name, observed, _ := strings.Cut(text, ":")
		status, incarnation, _ := strings.Cut(observed, "/")
		report.Servers = append(report.Servers, ServerObservation{
			Name: name, Zone: "z" + name[len(name)-1:], Incarnation: incarnation, Status: ServerStatus(status),
		})
	}
	f.mustApply(Command{Op: OpReport, Report: report}, RouterClientPrefix+router)
}

// reportCounts makes a ready router report its request counts.
func (f *testFleet) reportCounts(router string, served, failed int64) {
	report := &RouterReport{IsReady: true, Served: served, Failed: failed}
	f.mustApply(Command{Op: OpReport, Report: report}, RouterClientPrefix+router)
}

// acknowledge makes a router acknowledge a version of the drain set.
func (f *testFleet) acknowledge(router string, version uint64) Result {
	return f.apply(Command{Op: OpAcknowledgeDrains, DrainVersion: version}, RouterClientPrefix+router)
}

// permit returns the first permit of a target, or nil.
func (f *testFleet) permit(kind Kind, name string) *Permit {
	for _, p := range f.state.Permits {
		if p.Kind == kind && p.Name == name {
			return p
		}
	}
	return nil
}
