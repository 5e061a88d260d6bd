package rollout

import (
	"fmt"
	"strings"
	"time"
)

// RouterClientPrefix begins the client names of the routers' sessions.
const RouterClientPrefix = "router/"

// Code tells how a command ended. The values travel to clients.
type Code string

// The codes.
const (
	// CodeOK tells that the command was carried out.
	CodeOK Code = "ok"
	// CodeNotHeld tells that the session has no permit of the target with the token.
	CodeNotHeld Code = "not-held"
	// CodeLimitReached tells that a table is full; the text names it.
	CodeLimitReached Code = "full"
	// CodeInvalid tells that the command can't be carried out; the text tells why.
	CodeInvalid Code = "bad"
)

// Result is what a command returned.
type Result struct {
	// Code tells how the command ended.
	Code Code
	// Text is why it could not be carried out, or why the sender's permit of the target waits.
	Text string
	// Token is that of the sender's permit of the target; 0 while none is granted.
	Token uint64
	// Stage is that of the sender's permit of the target.
	Stage Stage
	// IsDrained tells that no router sends to the target of the sender's permit any more.
	IsDrained bool

	// isUnchanged tells that nothing has changed that others wait to hear of. State.Version then
	// stays, unless reconciling changes something.
	isUnchanged bool
}

func invalid(format string, values ...any) Result {
	return Result{Code: CodeInvalid, Text: fmt.Sprintf(format, values...)}
}

func notHeld(format string, values ...any) Result {
	return Result{Code: CodeNotHeld, Text: fmt.Sprintf(format, values...)}
}

func limitReached(table string, limit int) Result {
	return Result{Code: CodeLimitReached, Text: fmt.Sprintf("%s: %d at most", table, limit)}
}

// Sender is who sends a command, and when.
type Sender struct {
	// Time is the agreed time.
	Time time.Duration
	// Session is the sender's session.
	Session string
	// Client is the name of the session's client: RouterClientPrefix and the name for a router.
	Client string
	// SessionOrder is the position of the session among all sessions; the larger, the later.
	SessionOrder uint64
	// NextToken returns a fencing token larger than all before it.
	NextToken func() uint64
	// HasEarlierLimits tells that a coordinator may run an earlier program, whose tables have lower
	// limits.
	HasEarlierLimits bool
}

// router is the name of the router whose session the sender has; false for any other client.
func (f Sender) router() (name string, isRouter bool) { return routerOfClient(f.Client) }

func routerOfClient(client string) (name string, isRouter bool) {
	name, hasPrefix := strings.CutPrefix(client, RouterClientPrefix)
	return name, hasPrefix && name != ""
}

// Apply carries out a command. It is called with the commands in the order of the coordinators'
// log.
func (s *State) Apply(c Command, sender Sender) Result {
	decoded, err := c.decode()
	if err != nil {
		return Result{Code: CodeInvalid, Text: err.Error()}
	}
	result := decoded.apply(s, sender)
	if result.Code == CodeOK && !result.isUnchanged {
		s.Version++
	}
	s.reconcile(sender.Time, sender.NextToken)
	if result.Code != CodeOK {
		return result
	}
	if p := s.permitOfSession(c.target(), sender); p != nil {
		result.Token = p.Token
		result.Stage = p.Stage
		result.Text = p.WaitReason
		result.IsDrained = p.IsDrained
	}
	return result
}

// SessionEnded tells the state that a session has ended: a router's observations are dropped, and
// its permits have no holder.
func (s *State) SessionEnded(session, client string, now time.Duration, nextToken func() uint64) {
	hasChanged := false
	if name, isRouter := routerOfClient(client); isRouter {
		if router := s.Routers[name]; router != nil && router.Session == session {
			router.Session = ""
			router.IsReady = false
			router.SessionEndedAt = now
			s.changedRouters = append(s.changedRouters, router)
			s.dropObservationsOf(name)
			hasChanged = true
		}
	}
	for _, p := range s.Permits {
		if p.Session == session {
			p.Session = "" // reconcile removes those that have not begun
			hasChanged = true
		}
	}
	if hasChanged {
		s.Version++
		s.reconcile(now, nextToken)
	}
}

// Advance lets the agreed time pass up to now.
func (s *State) Advance(now time.Duration, nextToken func() uint64) {
	if now >= s.nextReconcileAt {
		s.reconcile(now, nextToken)
	}
}
