package rollout

import (
	"fmt"
	"time"
)

// Op names what a Command does. The values stand in the coordinators' log.
type Op string

// The operations.
const (
	// OpSetBudgets puts Budgets, Grace, ExpectedRouters, EjectionQuorum and OverloadShare in force.
	OpSetBudgets Op = "budgets"
	// OpReport is a router's Report; only from the session of a router.
	OpReport Op = "see"
	// OpAcknowledgeDrains tells that a router has DrainVersion in force: it sends nothing more to
	// the servers drained by it.
	OpAcknowledgeDrains Op = "ack"
	// OpRequestPermit requests the permit to take Kind/Name out. Repeated, it tells how the request
	// stands.
	OpRequestPermit Op = "ask"
	// OpBeginOutage begins the outage by the permit with Token: from here on the target is out.
	OpBeginOutage Op = "begin"
	// OpEndOutage gives the permit with Token back: the target is in service again.
	OpEndOutage Op = "back"
	// OpCancelPermit withdraws a permit that has not begun.
	OpCancelPermit Op = "cancel"
	// OpClearPermit is an operator's assurance that nothing happens any more by the begun permit of
	// Kind/Name, whoever held it.
	OpClearPermit Op = "clear"
	// OpForgetTarget removes Kind/Name, which does not serve, from the fleet.
	OpForgetTarget Op = "forget"
	// OpHalt stops all new outages but emergencies, for Reason.
	OpHalt Op = "halt"
	// OpResume ends the halt.
	OpResume Op = "resume"

	// OpStartRelease starts the release Plan.
	OpStartRelease Op = "release"
	// OpRollBack brings the routers of the release back to the version before.
	OpRollBack Op = "way-back"
	// OpEndRelease ends the release as it stands.
	OpEndRelease Op = "end"
	// OpRouterFailed tells that the router Name can't be brought to the goal version, for Reason.
	OpRouterFailed Op = "failed"
)

// Command is one command as clients send it and as it stands in the coordinators' log. Which fields
// count depends on Op. decode makes one of the typed commands of it.
type Command struct {
	// Op is the operation.
	Op Op `json:"op"`
	// Budgets are for OpSetBudgets.
	Budgets []Budget `json:"budgets,omitempty"`
	// Grace is for OpSetBudgets: see State.Grace.
	Grace time.Duration `json:"grace,omitempty"`
	// ExpectedRouters is for OpSetBudgets: see State.ExpectedRouters.
	ExpectedRouters int `json:"expect,omitempty"`
	// EjectionQuorum is for OpSetBudgets: see State.EjectionQuorum.
	EjectionQuorum int `json:"quorum,omitempty"`
	// OverloadShare is for OpSetBudgets: see State.OverloadShare.
	OverloadShare float64 `json:"busy,omitempty"`
	// Report is for OpReport.
	Report *RouterReport `json:"view,omitempty"`
	// DrainVersion is for OpAcknowledgeDrains.
	DrainVersion uint64 `json:"drains,omitempty"`
	// Kind is that of the target of a permit's operation, or of OpForgetTarget.
	Kind Kind `json:"kind,omitempty"`
	// Name is that of the target, or of the router of OpRouterFailed.
	Name string `json:"name,omitempty"`
	// Token is that of the permit, for OpBeginOutage and OpEndOutage.
	Token uint64 `json:"token,omitempty"`
	// Priority is for OpRequestPermit: PriorityRelease to PriorityEmergency.
	Priority int `json:"priority,omitempty"`
	// ValidFor is for OpRequestPermit: the request is dropped if it has not begun within it; 0
	// keeps it for ever.
	ValidFor time.Duration `json:"within,omitempty"`
	// Reason is the purpose of a permit, or the reason of a halt or of a router's failure.
	Reason string `json:"why,omitempty"`
	// Plan is for OpStartRelease.
	Plan *ReleasePlan `json:"plan,omitempty"`
}

// target is the target that the command names.
func (c *Command) target() targetRef { return targetRef{c.Kind, c.Name} }

// command is a decoded command. apply changes the state and returns the result; what follows from
// the change for other targets is left to State.reconcile.
type command interface {
	apply(s *State, sender Sender) Result
}

// decoders make a typed command of a stored one. One that returns an error changes nothing, not
// even what time alone changes.
var decoders = map[Op]func(c *Command) (command, error){
	OpSetBudgets: func(c *Command) (command, error) {
		return setBudgets{
			budgets:         c.Budgets,
			grace:           c.Grace,
			expectedRouters: c.ExpectedRouters,
			ejectionQuorum:  c.EjectionQuorum,
			overloadShare:   c.OverloadShare,
		}, nil
	},
	OpReport: func(c *Command) (command, error) { return routerReport{c.Report}, nil },
	OpAcknowledgeDrains: func(c *Command) (command, error) {
		return acknowledgeDrains{version: c.DrainVersion}, nil
	},
	OpHalt:         decodeHalt,
	OpResume:       func(*Command) (command, error) { return resume{}, nil },
	OpStartRelease: func(c *Command) (command, error) { return startRelease{c.Plan}, nil },
	OpRollBack:     func(*Command) (command, error) { return rollBack{}, nil },
	OpEndRelease:   func(*Command) (command, error) { return endRelease{}, nil },
	OpRouterFailed: func(c *Command) (command, error) {
		return routerFailed{router: c.Name, reason: c.Reason}, nil
	},
	OpRequestPermit: ofTarget(func(c *Command) command {
		return requestPermit{target: c.target(), priority: c.Priority, validFor: c.ValidFor, purpose: c.Reason}
	}),
	OpBeginOutage: ofTarget(func(c *Command) command {
		return beginOutage{target: c.target(), token: c.Token}
	}),
	OpEndOutage: ofTarget(func(c *Command) command {
		return endOutage{target: c.target(), token: c.Token}
	}),
	OpCancelPermit: ofTarget(func(c *Command) command {
		return cancelPermit{target: c.target(), token: c.Token}
	}),
	OpClearPermit:  ofTarget(func(c *Command) command { return clearPermit{c.target()} }),
	OpForgetTarget: ofTarget(func(c *Command) command { return forgetTarget{c.target()} }),
}

// decode returns the typed command, or what is wrong with the stored one.
func (c *Command) decode() (command, error) {
	decoder := decoders[c.Op]
	if decoder == nil {
		return nil, fmt.Errorf("op: %q is none", c.Op)
	}
	return decoder(c)
}

func decodeHalt(c *Command) (command, error) {
	if c.Reason == "" || len(c.Reason) > MaxText {
		return nil, fmt.Errorf("why: %d bytes, 1 to %d are wanted", len(c.Reason), MaxText)
	}
	return halt{reason: c.Reason}, nil
}

// ofTarget decodes a command on a target, once kind and name of the target have been checked.
func ofTarget(build func(c *Command) command) func(c *Command) (command, error) {
	return func(c *Command) (command, error) {
		if c.Kind != KindRouter && c.Kind != KindServer {
			return nil, fmt.Errorf("kind: %q is none of router, server", c.Kind)
		}
		if c.Name == "" || len(c.Name) > MaxName {
			return nil, fmt.Errorf("name: %q is not of 1 to %d bytes", c.Name, MaxName)
		}
		return build(c), nil
	}
}
