package rollout

import (
	"fmt"
	"strings"
	"time"
)

// RouterClientPrefix is the prefix of the client names of routers' sessions.
const RouterClientPrefix = "router/"

// Code is the outcome of a command. The values are sent to clients.
type Code string

// The codes.
const (
	// CodeOK means that the command was carried out.
	CodeOK Code = "ok"
	// CodeNotHeld means that the session has no permit of the target with the token.
	CodeNotHeld Code = "not-held"
	// CodeLimitReached means that a table is full; the text names the table.
	CodeLimitReached Code = "full"
	// CodeInvalid means that the command can't be carried out; the text gives the reason.
	CodeInvalid Code = "bad"
)

// Result is the result of a command.
type Result struct {
	// Code is the outcome of the command.
	Code Code
	// Text is why the command was not carried out, or why the sender's permit of the target waits.
	Text string
	// Token is the token of the sender's permit of the target; 0 while that permit is not granted.
	Token uint64
	// Stage is the stage of the sender's permit of the target.
	Stage Stage
	// IsDrained reports that no router sends to the target of the sender's permit any more.
	IsDrained bool

	// isUnchanged reports that the command changed nothing that waiting clients must be notified
	// of. State.Version then stays the same unless reconcile changes something.
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

// Sender is the session that sends a command, and the agreed time at which the command is applied.
type Sender struct {
	// Time is the agreed time.
	Time time.Duration
	// Session is the ID of the sender's session.
	Session string
	// Client is the name of the session's client. For a router it is RouterClientPrefix followed by
	// the router's name.
	Client string
	// SessionOrder is the position of the session among all sessions; later sessions have larger
	// values.
	SessionOrder uint64
	// NextToken returns a fencing token larger than all earlier ones.
	NextToken func() uint64
	// UsesLegacyLimits is set while a coordinator may run an earlier program version, whose tables
	// have lower limits.
	UsesLegacyLimits bool
}

// router returns the name of the router that sent the command; false for any other client.
func (s Sender) router() (name string, isRouter bool) { return routerOfClient(s.Client) }

func routerOfClient(client string) (name string, isRouter bool) {
	name, hasPrefix := strings.CutPrefix(client, RouterClientPrefix)
	return name, hasPrefix && name != ""
}

// Apply carries out a command and returns its result. Commands must be applied in the order of the
// coordinators' log.
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

// SessionEnded applies the end of a session. The permits of the session lose their holder. If it
// was a router's session, the router's observations are dropped.
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

// Advance applies all changes that are due at the agreed time now.
func (s *State) Advance(now time.Duration, nextToken func() uint64) {
	if now >= s.nextReconcileAt {
		s.reconcile(now, nextToken)
	}
}
