// Command dockhinge-coord runs coordinators and observers, and contains the operators' commands for
// both. Coordinators are the few processes that agree on leases, permits and configuration for the
// whole fleet; observers serve the agreed configuration to routers.
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

// Exit codes. If an operator's command that runs under a lease or permit fails, its own exit code
// is used.
const (
	exitError = 1
	// exitFatal is the exit code of a coordinator that stops because of a fatal error.
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
		Short:         "Leases, permits, releases and configuration for the whole fleet",
		Long:          "Coordinators, observers and the operators' commands for them. See docs/agreement.md.",
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
		newTargetCommand("undrain", "Let routers send to a drained cache server again", rollout.OpClearPermit),
		newTargetCommand("forget", "Remove a router or cache server that no longer exists from the fleet",
			rollout.OpForgetTarget),
		newHaltCommand(),
		newResumeCommand(),
		newReleaseCommand(),
		newConfigCommand(),
	)
	return root
}
