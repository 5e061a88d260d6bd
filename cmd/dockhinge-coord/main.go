// Command dockhinge-coord is a coordinator, one of the few processes that agree on leases, permits
// and configuration for the whole fleet, an observer of them, and the operators' tool for both.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/rollout"
)

// Exit codes. A command that was run under a lease or permit and has failed passes its own code on.
const (
	exitError = 1
	// exitFatal is that of a coordinator which can't go on.
	exitFatal = 4
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := newRootCommand().ExecuteContext(ctx)
	stop()
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit) && exit.ExitCode() > 0:
		os.Exit(exit.ExitCode())
	case err != nil:
		fmt.Fprintln(os.Stderr, "dockhinge-coord:", err)
		os.Exit(exitError)
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "dockhinge-coord",
		Short:         "Leases for tasks of the whole fleet",
		Long:          "A coordinator and the operators' tool for them. docs/agreement.md tells more.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newServeCommand(),
		newObserveCommand(),
		newCheckCommand(),
		newInitCommand(),
		newStatusCommand(),
		newMembersCommand(),
		newLeaseCommand(),
		newRecoverCommand(),
		newBudgetsCommand(),
		newFleetCommand(),
		newPermitCommand(),
		newDrainCommand(),
		newTargetCommand("undrain", "Have routers send to a drained cache server again", rollout.OpClearPermit),
		newTargetCommand("forget", "Say that a router or cache server that isn't there belongs to the fleet no more",
			rollout.OpForgetTarget),
		newHaltCommand(),
		newResumeCommand(),
		newReleaseCommand(),
		newConfigCommand(),
	)
	return root
}
