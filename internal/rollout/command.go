package rollout

import (
	"fmt"
	"time"
)

// Op is the operation of a Command. The values are stored in the coordinators' log.
type Op string

// The operations.
const (
	// OpSetBudgets puts Budgets, GracePeriod, ExpectedRouters, EjectionQuorum and OverloadShare in
	// force.
	OpSetBudgets Op = "budgets"
	// OpReport delivers the Report of a router. Only a router's session may send it.
	OpReport Op = "see"
	// OpAcknowledgeDrains confirms that a router has applied the drain set of DrainVersion: it
	// sends nothing more to the servers in that set.
	OpAcknowledgeDrains Op = "ack"
	// OpRequestPermit requests the permit to take Kind/Name out of service. Sent again, it returns
	// the status of the request.
	OpRequestPermit Op = "ask"
	// OpBeginOutage begins the outage under the permit with Token: from now on the target is out.
	OpBeginOutage Op = "begin"
	// OpEndOutage returns the permit with Token: the target is back in service.
	OpEndOutage Op = "back"
	// OpCancelPermit withdraws a permit whose outage has not begun.
	OpCancelPermit Op = "cancel"
	// OpClearPermit removes the begun permit of Kind/Name, whoever holds it. The operator thereby
	// confirms that nothing is done under that permit any more.
	OpClearPermit Op = "clear"
	// OpForgetTarget removes Kind/Name, which must be out of service, from the fleet.
	OpForgetTarget Op = "forget"
	// OpHalt stops all new outages except emergencies, for Reason.
	OpHalt Op = "halt"
	// OpResume ends the halt.
	OpResume Op = "resume"

	// OpStartRelease starts the release Plan.
	OpStartRelease Op = "release"
	// OpRollBack returns the routers of the release to the previous version.
	OpRollBack Op = "way-back"
	// OpEndRelease ends the release and leaves each router at its current version.
	OpEndRelease Op = "end"
	// OpRouterFailed reports that the router Name can't be brought to the goal version, for Reason.
	OpRouterFailed Op = "failed"
)

// Command is one command as clients send it and as the coordinators' log stores it. Op determines
// which of the other fields are used. decode converts it to a typed command.
type Command struct {
	// Op is the operation.
	Op Op `json:"op"`
	// Budgets is for OpSetBudgets: see State.Budgets.
	Budgets []Budget `json:"budgets,omitempty"`
	// GracePeriod is for OpSetBudgets: see State.GracePeriod.
	GracePeriod time.Duration `json:"grace,omitempty"`
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
	// Kind is the kind of the target, for the operations on permits and for OpForgetTarget.
	Kind Kind `json:"kind,omitempty"`
	// Name is the name of the target, or of the router of OpRouterFailed.
	Name string `json:"name,omitempty"`
	// Token is the token of the permit, for OpBeginOutage and OpEndOutage.
	Token uint64 `json:"token,omitempty"`
	// Priority is for OpRequestPermit: PriorityRelease to PriorityEmergency.
	Priority int `json:"priority,omitempty"`
	// ValidFor is for OpRequestPermit: a request whose outage has not begun within this time is
	// dropped; 0 keeps it until it is withdrawn.
	ValidFor time.Duration `json:"within,omitempty"`
	// Reason is the purpose of a permit, or the reason of a halt or of a router's failure.
	Reason string `json:"why,omitempty"`
	// Plan is for OpStartRelease.
	Plan *ReleasePlan `json:"plan,omitempty"`
}

// target returns the target that the command names.
func (c *Command) target() targetRef { return targetRef{c.Kind, c.Name} }

// command is a decoded command. apply changes the state and returns the result. It leaves the
// consequences for other targets to State.reconcile.
type command interface {
	apply(s *State, sender Sender) Result
}

// decoders convert stored commands to typed commands. If a decoder returns an error, the state does
// not change at all: reconcile isn't called either.
var decoders = map[Op]func(c *Command) (command, error){
	OpSetBudgets: func(c *Command) (command, error) {
		return setBudgets{
			budgets:         c.Budgets,
			grace:           c.GracePeriod,
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
	OpRequestPermit: targetDecoder(func(c *Command) command {
		return requestPermit{target: c.target(), priority: c.Priority, validFor: c.ValidFor, purpose: c.Reason}
	}),
	OpBeginOutage: targetDecoder(func(c *Command) command {
		return beginOutage{target: c.target(), token: c.Token}
	}),
	OpEndOutage: targetDecoder(func(c *Command) command {
		return endOutage{target: c.target(), token: c.Token}
	}),
	OpCancelPermit: targetDecoder(func(c *Command) command {
		return cancelPermit{target: c.target(), token: c.Token}
	}),
	OpClearPermit:  targetDecoder(func(c *Command) command { return clearPermit{c.target()} }),
	OpForgetTarget: targetDecoder(func(c *Command) command { return forgetTarget{c.target()} }),
}

// decode returns the typed command, or an error that says why the stored one is invalid.
func (c *Command) decode() (command, error) {
	decoder := decoders[c.Op]
	if decoder == nil {
		return nil, fmt.Errorf("op: %q is none", c.Op)
	}
	return decoder(c)
}

func decodeHalt(c *Command) (command, error) {
	if c.Reason == "" || len(c.Reason) > MaxTextBytes {
		return nil, fmt.Errorf("why: %d bytes, 1 to %d are wanted", len(c.Reason), MaxTextBytes)
	}
	return halt{reason: c.Reason}, nil
}

// targetDecoder returns the decoder of a command on a target. It checks the target's kind and
// name before it calls build.
func targetDecoder(build func(c *Command) command) func(c *Command) (command, error) {
	return func(c *Command) (command, error) {
		if c.Kind != KindRouter && c.Kind != KindServer {
			return nil, fmt.Errorf("kind: %q is none of router, server", c.Kind)
		}
		if c.Name == "" || len(c.Name) > MaxNameBytes {
			return nil, fmt.Errorf("name: %q is not of 1 to %d bytes", c.Name, MaxNameBytes)
		}
		return build(c), nil
	}
}
