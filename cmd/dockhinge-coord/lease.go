package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
)

func lease() *cobra.Command {
	cmd := &cobra.Command{Use: "lease", Short: "Leases"}
	cmd.AddCommand(leaseList(), leaseTake())
	return cmd
}

func leaseList() *cobra.Command {
	var t tool
	cmd := &cobra.Command{Use: "list [NAME]", Short: "Who holds what", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			all, err := t.names()
			if err != nil {
				return err
			}
			name := ""
			if len(args) > 0 {
				name = args[0]
			}
			rows, err := client.New(client.Options{Coordinators: all, TTL: 6 * time.Second}).ListLeases(cmd.Context(), name)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 4, 4, 2, ' ', 0)
			fmt.Fprintln(w, "lease\tholder\ttoken\tends in\tpurpose")
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%s\t%d\t%.1fs\t%s\n", r.Lease, r.Holder, r.Token, r.Remaining.Seconds(), r.Purpose)
			}
			return w.Flush()
		}}
	t.add(cmd)
	return cmd
}

// kinds are what may be run under a lease: see docs/agreement.md.
var kinds = map[string]bool{"checked": true, "harmless": true}

func leaseTake() *cobra.Command {
	var t tool
	var ttl, margin time.Duration
	var purpose, as, kind string
	cmd := &cobra.Command{Use: "take NAME -- COMMAND...", Short: "Run a command under a lease", Args: cobra.MinimumNArgs(2),
		Long: "Waits for the lease, runs the command with DOCKHINGE_LEASE and DOCKHINGE_TOKEN in its environment, and gives the lease\n" +
			"back when it has ended. Where the lease can't be kept, the command's process group gets TERM and, a third of the margin\n" +
			"before the lease's time is out, KILL.\n\n" +
			"A process can be stopped between a check and its act for longer than any lease lasts. So say with --kind why the command\n" +
			"is safe all the same: 'checked', as whatever it acts on refuses a token lower than one it has seen, or 'harmless', as it\n" +
			"does no harm when two run it. There is no third kind: what is neither must not be run by a lease.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if !kinds[kind] {
				return fmt.Errorf("--kind: %q is none of checked, harmless; what is neither must not be run under a lease", kind)
			}
			if margin < 500*time.Millisecond || margin > ttl/2 {
				return fmt.Errorf("--margin: %v is not from 500ms to half of --ttl", margin)
			}
			if ttl < coord.MinTTL || ttl > coord.MaxTTL {
				return fmt.Errorf("--ttl: %v is not from %v to %v", ttl, coord.MinTTL, coord.MaxTTL)
			}
			var status error
			err := t.operate(cmd.Context(), as, ttl, func(ctx context.Context, c *client.Client) error {
				return c.RunWithLease(ctx, args[0], purpose, ttl, margin, func(inner context.Context, l *client.Lease) error {
					status = runUnder(inner, l, args[1:], margin)
					return nil
				})
			})
			return errors.Join(status, err)
		}}
	t.add(cmd)
	cmd.Flags().DurationVar(&ttl, "ttl", 15*time.Second, "time to live of the lease")
	cmd.Flags().DurationVar(&margin, "margin", 4*time.Second, "the command gets TERM so long before the lease's time is out, and KILL after two thirds of it")
	cmd.Flags().StringVar(&purpose, "purpose", "", "what for, as lease list shows it")
	cmd.Flags().StringVar(&as, "as", "", "the holder's name (default: HOST/PID)")
	cmd.Flags().StringVar(&kind, "kind", "", "checked or harmless: why two that run it at once do no harm")
	return cmd
}

// runUnder runs a command until it ends or ctx does; then it is told to end, and killed if it doesn't within two thirds of the
// margin. Its processes are a group of their own, so that none of them outlives the lease.
func runUnder(ctx context.Context, l *client.Lease, command []string, margin time.Duration) error {
	run := exec.Command(command[0], command[1:]...)
	run.Stdin, run.Stdout, run.Stderr = os.Stdin, os.Stdout, os.Stderr
	run.Env = append(os.Environ(), "DOCKHINGE_LEASE="+l.Name, "DOCKHINGE_TOKEN="+strconv.FormatUint(l.Token, 10))
	run.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := run.Start(); err != nil {
		return err
	}
	group := -run.Process.Pid // the command's own, by Setpgid
	done := make(chan error, 1)
	go func() { done <- run.Wait() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	_ = syscall.Kill(group, syscall.SIGTERM) // it may have ended
	t := time.NewTimer(min(margin*2/3, max(0, l.Remaining()-margin/3)))
	defer t.Stop()
	select {
	case err := <-done:
		return errors.Join(context.Cause(ctx), err)
	case <-t.C:
	}
	_ = syscall.Kill(group, syscall.SIGKILL) // likewise
	return errors.Join(context.Cause(ctx), <-done)
}
