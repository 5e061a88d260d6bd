package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/config"
)

const (
	// listLeasesTTL is the time limit of the calls of 'lease list'.
	listLeasesTTL = 6 * time.Second
	// minLeaseMargin is the minimum of --margin. It leaves the command time to end.
	minLeaseMargin     = 500 * time.Millisecond
	defaultLeaseTTL    = 15 * time.Second
	defaultLeaseMargin = 4 * time.Second
)

func newLeaseCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "lease", Short: "List leases, and run commands under leases"}
	cmd.AddCommand(newLeaseListCommand(), newLeaseTakeCommand())
	return cmd
}

func newLeaseListCommand() *cobra.Command {
	return toolCommand{
		use:   "list [NAME]",
		short: "List the leases and their holders",
		args:  cobra.MaximumNArgs(1),
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			addresses, err := c.addresses()
			if err != nil {
				return err
			}
			name := ""
			if len(args) > 0 {
				name = args[0]
			}
			reader := client.New(client.Options{Coordinators: addresses, TTL: listLeasesTTL})
			ctx, cancel := context.WithTimeout(cmd.Context(), commandTTL)
			defer cancel()
			leases, err := reader.ListLeases(ctx, name)
			if err != nil {
				return err
			}
			w := newTable(cmd)
			fmt.Fprintln(w, "lease\tholder\ttoken\tends in\tpurpose")
			for _, l := range leases {
				fmt.Fprintf(w, "%s\t%s\t%d\t%.1fs\t%s\n", l.Lease, l.Holder, l.Token, l.Remaining.Seconds(), l.Purpose)
			}
			return w.Flush()
		},
	}.build()
}

// leaseRequest are the parameters of 'lease take'.
type leaseRequest struct {
	ttl       time.Duration
	margin    time.Duration
	purpose   string
	holder    string
	rerunKind string
}

func newLeaseTakeCommand() *cobra.Command {
	var request leaseRequest
	return toolCommand{
		use:   "take NAME -- COMMAND...",
		short: "Run a command under a lease",
		long: "Waits for the lease, runs the command with DOCKHINGE_LEASE and DOCKHINGE_TOKEN in " +
			"its environment, and releases the\n" +
			"lease when the command has ended. If the lease can't be renewed, the command's process " +
			"group gets TERM and, a third of\n" +
			"the margin before the lease expires, KILL.\n\n" +
			"A process may be paused between a check and the action that follows for longer than " +
			"any lease lasts. So --kind states why\n" +
			"the command is safe nevertheless: 'checked' if the resource it changes rejects a token " +
			"lower than one it has already seen,\n" +
			"or 'harmless' if running it twice at the same time does no harm. Run no other commands under a lease.",
		args:  cobra.MinimumNArgs(2),
		flags: request.addFlags,
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			if err := request.check(); err != nil {
				return err
			}
			return request.run(cmd.Context(), c, args[0], args[1:])
		},
	}.build()
}

func (r *leaseRequest) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.DurationVar(&r.ttl, "ttl", defaultLeaseTTL, "time to live of the lease")
	flags.DurationVar(&r.margin, "margin", defaultLeaseMargin,
		"the command gets TERM this long before the lease expires, and KILL after two thirds of this time")
	flags.StringVar(&r.purpose, "purpose", "", "the purpose, which 'lease list' shows")
	flags.StringVar(&r.holder, "as", "", "the holder's name (default: HOST/PID)")
	flags.StringVar(&r.rerunKind, "kind", "", "checked or harmless: why running the command twice at once is safe")
}

func (r *leaseRequest) check() error {
	if !slices.Contains(config.RerunKinds, r.rerunKind) {
		return fmt.Errorf("--kind: %q is not one of checked, harmless; other commands must not be run under a lease",
			r.rerunKind)
	}
	if r.margin < minLeaseMargin || r.margin > r.ttl/2 {
		return fmt.Errorf("--margin: %v is not from %v to half of --ttl", r.margin, minLeaseMargin)
	}
	if r.ttl < coord.MinTTL || r.ttl > coord.MaxTTL {
		return fmt.Errorf("--ttl: %v is not from %v to %v", r.ttl, coord.MinTTL, coord.MaxTTL)
	}
	return nil
}

// run runs a command under the lease. If both fail, the command's error is joined before the
// lease's error.
func (r *leaseRequest) run(ctx context.Context, c *coordinators, lease string, command []string) error {
	var commandErr error
	leaseErr := c.withSession(ctx, r.holder, r.ttl, func(ctx context.Context, session *client.Client) error {
		return session.RunWithLease(ctx, lease, r.purpose, r.ttl, r.margin,
			func(ctx context.Context, l *client.Lease) error {
				commandErr = runUnderLease(ctx, l, command, r.margin)
				return nil
			})
	})
	return errors.Join(commandErr, leaseErr)
}
