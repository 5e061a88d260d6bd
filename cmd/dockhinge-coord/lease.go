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
	// listLeasesTTL is the time limit of the calls of lease list.
	listLeasesTTL = 6 * time.Second
	// minLeaseMargin leaves a command time to end.
	minLeaseMargin     = 500 * time.Millisecond
	defaultLeaseTTL    = 15 * time.Second
	defaultLeaseMargin = 4 * time.Second
)

func newLeaseCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "lease", Short: "Leases"}
	cmd.AddCommand(newLeaseListCommand(), newLeaseTakeCommand())
	return cmd
}

func newLeaseListCommand() *cobra.Command {
	return toolCommand{
		use:   "list [NAME]",
		short: "Who holds what",
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
			ctx, cancel := context.WithTimeout(cmd.Context(), toolTTL)
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

// leaseRequest is the lease that lease take requests.
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
			"its environment, and gives the lease\n" +
			"back when it has ended. Where the lease can't be kept, the command's process group " +
			"gets TERM and, a third of the margin\n" +
			"before the lease's time is out, KILL.\n\n" +
			"A process can be stopped between a check and its act for longer than any lease " +
			"lasts. So say with --kind why the command\n" +
			"is safe all the same: 'checked', as whatever it acts on refuses a token lower than " +
			"one it has seen, or 'harmless', as it\n" +
			"does no harm when two run it. There is no third kind: what is neither must not be run by a lease.",
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
		"the command gets TERM so long before the lease's time is out, and KILL after two thirds of it")
	flags.StringVar(&r.purpose, "purpose", "", "what for, as lease list shows it")
	flags.StringVar(&r.holder, "as", "", "the holder's name (default: HOST/PID)")
	flags.StringVar(&r.rerunKind, "kind", "", "checked or harmless: why two that run it at once do no harm")
}

func (r *leaseRequest) check() error {
	if !slices.Contains(config.RerunKinds, r.rerunKind) {
		return fmt.Errorf("--kind: %q is none of checked, harmless; what is neither must not be run under a lease",
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

// run runs a command under the lease. The command's own error comes before that of the lease.
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
