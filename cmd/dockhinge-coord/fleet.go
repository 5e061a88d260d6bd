package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/config"
	"dockhinge.example/dockhinge/internal/rollout"
)

// parseTarget parses KIND/NAME.
func parseTarget(text string) (rollout.Kind, string, error) {
	kindText, name, hasName := strings.Cut(text, "/")
	kind := rollout.Kind(kindText)
	if !hasName || name == "" || kind != rollout.KindRouter && kind != rollout.KindServer {
		return "", "", fmt.Errorf("%q is neither router/NAME nor server/NAME", text)
	}
	return kind, name, nil
}

func newBudgetsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "budgets", Short: "Limit how many targets may be out at once"}
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a budgets file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := config.LoadBudgets(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	}
	set := toolCommand{
		use:   "set FILE",
		short: "Put the budgets of a file in force",
		args:  cobra.ExactArgs(1),
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			command, err := config.LoadBudgets(args[0])
			if err != nil {
				return err
			}
			return c.withSession(cmd.Context(), "", commandTTL,
				func(ctx context.Context, session *client.Client) error {
					return setBudgets(ctx, session, command, cmd.ErrOrStderr())
				})
		},
	}
	cmd.AddCommand(check, set.build())
	return cmd
}

// setBudgets puts budgets in force, and prints a warning for each budget that allows no outages.
func setBudgets(ctx context.Context, session *client.Client, command rollout.Command, out io.Writer) error {
	if _, err := session.ExecuteRollout(ctx, command); err != nil {
		return err
	}
	report, err := session.RolloutReport(ctx, 0)
	for _, b := range report.Budgets {
		if b.Allowed == 0 {
			fmt.Fprintf(out, "warning: budget %s%s allows no outages: its share of %d rounds down to 0\n",
				b.Budget, zoneSuffix(b.Zone), b.Targets)
		}
	}
	return err
}

// zoneSuffix returns the suffix that names the zone of a budget per zone; "" for other budgets.
func zoneSuffix(zone string) string {
	if zone == "" {
		return ""
	}
	return " (zone " + zone + ")"
}

func newFleetCommand() *cobra.Command {
	var isJSON bool
	return toolCommand{
		use:   "fleet",
		short: "Show which targets are out, the usage of the budgets, and why each permit waits",
		args:  cobra.NoArgs,
		flags: func(cmd *cobra.Command) {
			cmd.Flags().BoolVar(&isJSON, "json", false, "print the report as JSON")
		},
		run: func(cmd *cobra.Command, _ []string, c *coordinators) error {
			report, err := c.report(cmd.Context())
			if err != nil {
				return err
			}
			if isJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(report)
			}
			return printFleet(cmd, report)
		},
	}.build()
}

func printFleet(cmd *cobra.Command, report rollout.Report) error {
	out := cmd.OutOrStdout()
	if report.Halt != nil {
		fmt.Fprintf(out, "HALTED by %s: %s\n", report.Halt.By, report.Halt.Reason)
	}
	if report.Load.IsOverloaded {
		fmt.Fprintf(out, "OVERLOADED: the fleet rejects or fails %.1f%% of requests; "+
			"no new outages except emergencies\n", 100*report.Load.FailedShare)
	}
	w := newTable(cmd)
	fmt.Fprintln(w, "budget\tkind\tzone\tthings\tmay be out\tout")
	for _, b := range report.Budgets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\n", b.Budget, b.Kind, b.Zone, b.Targets, b.Allowed, b.Out)
	}
	printUnavailable(w, report.Unavailable)
	fmt.Fprintln(w, "\npermit\tholder\tstage\tfor what\tit waits")
	for _, p := range report.Permits {
		fmt.Fprintf(w, "%s/%s\t%s\t%s\t%s\t%s\n",
			p.Kind, p.Name, p.Client, p.Stage, p.Purpose, cmp.Or(p.WaitReason, "-"))
	}
	return w.Flush()
}

func printUnavailable(w *tabwriter.Writer, unavailable []rollout.UnavailableTarget) {
	fmt.Fprintln(w, "\nout\tzone\twhy\tfor")
	for _, t := range unavailable {
		reason := string(t.Reason)
		if len(t.ReportedBy) > 0 {
			reason = fmt.Sprintf("reported failing by %s, ejected by all", rollout.SummarizeNames(t.ReportedBy))
		}
		fmt.Fprintf(w, "%s/%s\t%s\t%s\t%v\n", t.Kind, t.Name, t.Zone, reason, t.Duration.Round(time.Second))
	}
}

// newTargetCommand returns a sub-command that executes one operation on a target.
func newTargetCommand(use, short string, op rollout.Op) *cobra.Command {
	return toolCommand{
		use:   use + " KIND/NAME",
		short: short,
		args:  cobra.ExactArgs(1),
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			kind, name, err := parseTarget(args[0])
			if err != nil {
				return err
			}
			return c.execute(cmd.Context(), rollout.Command{Op: op, Kind: kind, Name: name})
		},
	}.build()
}

func newHaltCommand() *cobra.Command {
	var reason string
	return toolCommand{
		use:   "halt --why TEXT",
		short: "Stop all new outages in the whole fleet, except emergencies",
		args:  cobra.NoArgs,
		flags: func(cmd *cobra.Command) {
			cmd.Flags().StringVar(&reason, "why", "", "the reason, which 'fleet' shows")
		},
		run: func(cmd *cobra.Command, _ []string, c *coordinators) error {
			if reason == "" {
				return errNoHaltReason
			}
			return c.execute(cmd.Context(), rollout.Command{Op: rollout.OpHalt, Reason: reason})
		},
	}.build()
}

func newResumeCommand() *cobra.Command {
	return toolCommand{
		use:   "resume",
		short: "End a halt",
		args:  cobra.NoArgs,
		run: func(cmd *cobra.Command, _ []string, c *coordinators) error {
			return c.execute(cmd.Context(), rollout.Command{Op: rollout.OpResume})
		},
	}.build()
}
