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
	// reportRetryInterval is the pause before the next call for a report after one that failed.
	reportRetryInterval = 200 * time.Millisecond
	// cancelTimeout is the time limit for withdrawing a request.
	cancelTimeout = time.Second
)

func newPermitCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "permit", Short: "Run commands under permits for outages, and clear permits"}
	cmd.AddCommand(
		newPermitTakeCommand(),
		newTargetCommand("clear",
			"Remove the permit of a holder that has crashed, once nothing is done under it any more",
			rollout.OpClearPermit),
	)
	return cmd
}

// permitRequest are the parameters of a request for a permit.
type permitRequest struct {
	// holder is the client name; "" means HOST/PID.
	holder string
	// purpose is shown by 'fleet'.
	purpose string
	// priority is one of the names in priorities.
	priority string
	// validFor is how long to wait for the permit; 0 means without limit.
	validFor time.Duration
}

func (r *permitRequest) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&r.priority, "priority", "normal",
		"release, normal or emergency; emergency overrides a halt, but no budget")
	flags.DurationVar(&r.validFor, "within", 0, "give up if there is no permit after this time (default: never)")
	flags.StringVar(&r.purpose, "why", "", "the purpose, which 'fleet' shows")
	flags.StringVar(&r.holder, "as", "",
		"the holder's name (default: HOST/PID); a process of the same name takes over from one that has crashed")
}

// acquire waits for the permit of a target and begins the outage. For a cache server it then waits
// until no router sends to the server any more. Whenever the reason to wait changes, it writes the
// new one to out.
//
// It returns the token of the permit. If it returns an error, the token is 0 unless the outage has
// begun.
func (r *permitRequest) acquire(
	ctx context.Context, session *client.Client, kind rollout.Kind, name string, out io.Writer,
) (token uint64, err error) {
	priority, isKnown := priorities[r.priority]
	if !isKnown {
		return 0, fmt.Errorf("--priority: %q is not one of release, normal, emergency", r.priority)
	}
	a := &permitAcquisition{
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
		a.cancelRequest(ctx)
	}
	return a.token, err
}

// permitAcquisition is the state of acquire: one permit from its request to the begun outage.
type permitAcquisition struct {
	session *client.Client
	out     io.Writer
	// request is the command that requests the permit. Once the permit is granted, it also contains
	// the token, which only the command that begins the outage needs.
	request rollout.Command
	// requestedAt is when the permit was first requested, on the process's monotonic clock.
	requestedAt time.Duration
	// begunSession is the session that holds the begun permit; "" before the outage begins.
	begunSession string
	// token is the token of the begun permit; 0 before the outage begins.
	token uint64
	// waitReason is the reason to wait that was written last.
	waitReason string
	// reportVersion is the version of the latest report.
	reportVersion uint64
}

// run repeats the request whenever the coordinators' state has changed, until the outage has begun
// and a cache server is drained.
func (a *permitAcquisition) run(ctx context.Context) error {
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
func (a *permitAcquisition) requestAndBegin(ctx context.Context) (coord.Response, error) {
	permit, err := a.session.ExecuteRollout(ctx, a.request)
	if err == nil && permit.Stage == rollout.StageGranted {
		a.request.Token = permit.Token
		begin := a.request
		begin.Op = rollout.OpBeginOutage
		injectFaultAt("granted")
		permit, err = a.session.ExecuteRollout(ctx, begin)
		injectFaultAt("begun")
	}
	// A process of the same client name may also have begun the outage before it crashed.
	if err == nil && permit.Stage == rollout.StageBegun && a.begunSession == "" {
		a.begunSession = a.session.SessionID()
		a.token = permit.Token
	}
	return permit, err
}

// classify reports whether the outage is ready, by the result of requestAndBegin. It returns an
// error if waiting does not help; otherwise permit.Text is the reason to wait.
func (a *permitAcquisition) classify(ctx context.Context, permit *coord.Response, err error) (isReady bool, _ error) {
	var rejected *client.RejectedError
	switch {
	case errors.As(err, &rejected) && rejected.Code == coord.CodeNotHeld:
		return false, nil // revoked before the outage began: request it again
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

// awaitChange waits until the coordinators' state has changed. If they don't answer, it waits for
// reportRetryInterval.
func (a *permitAcquisition) awaitChange(ctx context.Context) error {
	report, err := a.session.RolloutReport(ctx, a.reportVersion)
	if err != nil && !clock.Sleep(ctx, reportRetryInterval) {
		return ctx.Err()
	}
	a.reportVersion = max(a.reportVersion, report.Version)
	return nil
}

// cancelRequest cancels a request whose outage has not begun, because it would reserve its place in
// the budgets until its session ends. Errors are ignored: the end of the session removes the
// request too.
func (a *permitAcquisition) cancelRequest(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	command := rollout.Command{Op: rollout.OpCancelPermit, Kind: a.request.Kind, Name: a.request.Name}
	_, _ = a.session.ExecuteRollout(ctx, command)
}

func newPermitTakeCommand() *cobra.Command {
	var request permitRequest
	return toolCommand{
		use:   "take KIND/NAME -- COMMAND...",
		short: "Run a command while a router or cache server is out of service",
		long: "Waits for the permit, and for a cache server also until no router sends to it any " +
			"more; prints why it waits. Then it runs\n" +
			"the command with DOCKHINGE_PERMIT and DOCKHINGE_TOKEN in its environment, and returns " +
			"the permit if the command succeeds.\n" +
			"If the command fails or this program is killed, the permit stays in use: the target " +
			"counts as out until it is restarted\n" +
			"(later than 'grace' after its outage began), or until 'permit clear', or until the same " +
			"command with the same --as takes\n" +
			"the permit over. The command then runs again, so running it twice must do no harm, or the " +
			"resource it changes must reject\na token lower than one it has already seen.",
		args:  cobra.MinimumNArgs(2),
		flags: request.addFlags,
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			kind, name, err := parseTarget(args[0])
			if err != nil {
				return err
			}
			return c.withSession(cmd.Context(), request.holder, commandTTL,
				func(ctx context.Context, session *client.Client) error {
					token, err := request.acquire(ctx, session, kind, name, cmd.ErrOrStderr())
					if err != nil {
						return err
					}
					injectFaultAt("drained")
					return runDuringOutage(ctx, session, rollout.Command{
						Op: rollout.OpEndOutage, Kind: kind, Name: name, Token: token,
					}, args[1:])
				})
		},
	}.build()
}

// runDuringOutage runs a command while a target is out. If the command succeeds, it returns the
// permit with the command endOutage.
func runDuringOutage(
	ctx context.Context, session *client.Client, endOutage rollout.Command, command []string,
) error {
	begunSession := session.SessionID()
	target := string(endOutage.Kind) + "/" + endOutage.Name
	err := runCommand(ctx, os.Stdout, command, "DOCKHINGE_PERMIT="+target, tokenVariable(endOutage.Token))
	if err != nil {
		return fmt.Errorf("%s counts as out until it is restarted, or until 'permit clear %s': %w",
			target, target, err)
	}
	injectFaultAt("ran")
	if session.SessionID() != begunSession {
		return errSessionLost
	}
	_, err = session.ExecuteRollout(ctx, endOutage)
	injectFaultAt("given-back")
	return err
}

func newDrainCommand() *cobra.Command {
	var request permitRequest
	return toolCommand{
		use:   "drain server/NAME",
		short: "Drain a cache server, and leave it drained",
		long: "Ends once no router sends to the server any more, so that it may be stopped. The " +
			"server counts as out until it is\n" +
			"restarted, or until 'undrain'.",
		args:  cobra.ExactArgs(1),
		flags: request.addFlags,
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			kind, name, err := parseTarget(args[0])
			if err != nil || kind != rollout.KindServer {
				return errors.Join(err, fmt.Errorf("%s: only cache servers can be drained", args[0]))
			}
			err = c.withSession(cmd.Context(), request.holder, commandTTL,
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
