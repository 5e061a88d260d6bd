package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/rollout"
)

// priorities are the values of --priority.
var priorities = map[string]int{
	"release":   rollout.PriorityRelease,
	"normal":    rollout.PriorityNormal,
	"emergency": rollout.PriorityEmergency,
}

const (
	// reportRetryInterval is between two calls for a report where the coordinators don't answer.
	reportRetryInterval = 200 * time.Millisecond
	// cancelTimeout is the time limit of withdrawing a request.
	cancelTimeout = time.Second
)

func newPermitCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "permit", Short: "Permits to take routers and cache servers out"}
	cmd.AddCommand(
		newPermitTakeCommand(),
		newTargetCommand("clear",
			"Say that nothing happens any more by a permit whose holder is gone, and that it may come back",
			rollout.OpClearPermit),
	)
	return cmd
}

// permitRequest is a permit as a tool requests it.
type permitRequest struct {
	// holder is the client name; "" stands for HOST/PID.
	holder string
	// purpose is shown by fleet.
	purpose string
	// priority is one of the names in priorities.
	priority string
	// validFor is how long the permit is waited for; 0 is for ever.
	validFor time.Duration
}

func (r *permitRequest) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&r.priority, "priority", "normal",
		"release, normal or emergency; emergency passes a halt, no budget")
	flags.DurationVar(&r.validFor, "within", 0, "give up waiting for the permit after this (default: never)")
	flags.StringVar(&r.purpose, "why", "", "what for, as fleet shows it")
	flags.StringVar(&r.holder, "as", "",
		"the holder's name (default: HOST/PID); one of the same name takes over from one that died")
}

// acquire waits for the permit of a target and begins the outage; for a cache server it also waits
// until no router sends to it any more. It writes to out why it waits, whenever that changes.
//
// It returns the permit's token. After an error the token is 0 unless the outage has begun.
func (r *permitRequest) acquire(
	ctx context.Context, session *client.Client, kind rollout.Kind, name string, out io.Writer,
) (token uint64, err error) {
	priority, isKnown := priorities[r.priority]
	if !isKnown {
		return 0, fmt.Errorf("--priority: %q is none of release, normal, emergency", r.priority)
	}
	a := &acquisition{
		session: session,
		out:     out,
		request: rollout.Command{
			Op:       rollout.OpRequestPermit,
			Kind:     kind,
			Name:     name,
			Priority: priority,
			ValidFor: r.validFor,
			Reason:   r.purpose,
		},
		requestedAt: clock.Now(),
	}
	err = a.run(ctx)
	if err != nil && a.begunSession == "" {
		a.withdraw(ctx)
	}
	return a.token, err
}

// acquisition is one permit on its way from the request to a begun outage.
type acquisition struct {
	session *client.Client
	out     io.Writer
	// request is the command that requests the permit. It has the token that was granted last,
	// which a request doesn't need.
	request rollout.Command
	// requestedAt is when the permit was first requested, on the process's monotonic clock.
	requestedAt time.Duration
	// begunSession is the session that holds the begun permit; "" before.
	begunSession string
	// token is the begun permit's; 0 before.
	token uint64
	// waitReason is the reason that was written last.
	waitReason string
	// reportVersion is the version of the newest report.
	reportVersion uint64
}

// run requests the permit again whenever the coordinators' state has changed, until the outage has
// begun and is drained.
func (a *acquisition) run(ctx context.Context) error {
	for {
		if a.begunSession != "" && a.session.SessionID() != a.begunSession {
			return errSessionLost
		}
		validFor := a.request.ValidFor
		if a.begunSession == "" && validFor > 0 && clock.Now()-a.requestedAt > validFor {
			return fmt.Errorf("no permit within %v: %s", validFor, a.waitReason)
		}
		permit, err := a.requestAndBegin(ctx)
		isReady, err := a.classify(ctx, &permit, err)
		if isReady || err != nil {
			return err
		}
		if permit.Text != a.waitReason && permit.Text != "" {
			fmt.Fprintf(a.out, "%s/%s: %s\n", a.request.Kind, a.request.Name, permit.Text)
			a.waitReason = permit.Text
		}
		if err := a.awaitChange(ctx); err != nil {
			return err
		}
	}
}

// requestAndBegin requests the permit, and begins the outage if it is granted.
func (a *acquisition) requestAndBegin(ctx context.Context) (coord.Response, error) {
	permit, err := a.session.ExecuteRollout(ctx, a.request)
	if err == nil && permit.Stage == rollout.StageGranted {
		a.request.Token = permit.Token
		begin := a.request
		begin.Op = rollout.OpBeginOutage
		step("granted")
		permit, err = a.session.ExecuteRollout(ctx, begin)
		step("begun")
	}
	// It may also have been begun under this name, by a process that died.
	if err == nil && permit.Stage == rollout.StageBegun && a.begunSession == "" {
		a.begunSession = a.session.SessionID()
		a.token = permit.Token
	}
	return permit, err
}

// classify tells whether the outage is ready. It returns an error if waiting does not help;
// otherwise permit.Text is why to wait.
func (a *acquisition) classify(ctx context.Context, permit *coord.Response, err error) (isReady bool, _ error) {
	var rejected *client.RejectedError
	switch {
	case errors.As(err, &rejected) && rejected.Code == coord.CodeNotHeld:
		return false, nil // revoked between grant and beginning: request it again
	case errors.As(err, &rejected):
		return false, err
	case err != nil && ctx.Err() != nil:
		return false, errors.Join(ctx.Err(), errors.New(a.waitReason))
	case err != nil:
		permit.Text = "the coordinators don't answer: " + err.Error()
		return false, nil
	}
	isBegun := permit.Stage == rollout.StageBegun
	return isBegun && (permit.IsDrained || a.request.Kind == rollout.KindRouter), nil
}

// awaitChange waits until the coordinators' state has changed, or for a while where they don't
// answer.
func (a *acquisition) awaitChange(ctx context.Context) error {
	report, err := a.session.RolloutReport(ctx, a.reportVersion)
	if err != nil && !clock.Sleep(ctx, reportRetryInterval) {
		return ctx.Err()
	}
	a.reportVersion = max(a.reportVersion, report.Version)
	return nil
}

// withdraw withdraws a request that has not begun: until its session ends it would keep its place
// in the budgets. Where the coordinators don't answer it ends with the session.
func (a *acquisition) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	command := rollout.Command{Op: rollout.OpCancelPermit, Kind: a.request.Kind, Name: a.request.Name}
	_, _ = a.session.ExecuteRollout(ctx, command)
}

func newPermitTakeCommand() *cobra.Command {
	var request permitRequest
	return toolCommand{
		use:   "take KIND/NAME -- COMMAND...",
		short: "Run a command while a router or cache server is out",
		long: "Waits for the permit, says why it waits, and for a cache server until no router " +
			"sends to it any more. Then it runs the\n" +
			"command, with DOCKHINGE_PERMIT and DOCKHINGE_TOKEN in its environment, and gives the " +
			"permit back when it has ended well.\n" +
			"Where the command fails or this program dies, the permit stays used: the thing " +
			"counts as out until it is seen started\n" +
			"anew (later than 'grace' after the step began), or until 'permit clear', or until " +
			"the same command with the same --as\n" +
			"takes it over, which runs the command again: it must do no harm twice, or refuse a " +
			"token lower than one it has seen.",
		args:  cobra.MinimumNArgs(2),
		flags: request.addFlags,
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			kind, name, err := parseTarget(args[0])
			if err != nil {
				return err
			}
			return c.withSession(cmd.Context(), request.holder, toolTTL,
				func(ctx context.Context, session *client.Client) error {
					token, err := request.acquire(ctx, session, kind, name, cmd.ErrOrStderr())
					if err != nil {
						return err
					}
					step("drained")
					return runInOutage(ctx, session, rollout.Command{
						Op: rollout.OpEndOutage, Kind: kind, Name: name, Token: token,
					}, args[1:])
				})
		},
	}.build()
}

// runInOutage runs a command while a target is out, and gives the permit back by endOutage.
func runInOutage(
	ctx context.Context, session *client.Client, endOutage rollout.Command, command []string,
) error {
	begunSession := session.SessionID()
	target := string(endOutage.Kind) + "/" + endOutage.Name
	err := runCommand(ctx, os.Stdout, command, "DOCKHINGE_PERMIT="+target, tokenVariable(endOutage.Token))
	if err != nil {
		return fmt.Errorf("%s counts as out until it is seen started anew, or until 'permit clear %s': %w",
			target, target, err)
	}
	step("ran")
	if session.SessionID() != begunSession {
		return errSessionLost
	}
	_, err = session.ExecuteRollout(ctx, endOutage)
	step("given-back")
	return err
}

func newDrainCommand() *cobra.Command {
	var request permitRequest
	return toolCommand{
		use:   "drain server/NAME",
		short: "Have no router send to a cache server any more, and leave it so",
		long: "Ends once no router sends to the server any more, so that it may be stopped. It " +
			"counts as out until it is seen started\n" +
			"anew, or until 'undrain'.",
		args:  cobra.ExactArgs(1),
		flags: request.addFlags,
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			kind, name, err := parseTarget(args[0])
			if err != nil || kind != rollout.KindServer {
				return errors.Join(err, fmt.Errorf("%s: only a cache server is drained by the routers", args[0]))
			}
			err = c.withSession(cmd.Context(), request.holder, toolTTL,
				func(ctx context.Context, session *client.Client) error {
					_, err := request.acquire(ctx, session, kind, name, cmd.ErrOrStderr())
					return err
				})
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "drained")
			return nil
		},
	}.build()
}
