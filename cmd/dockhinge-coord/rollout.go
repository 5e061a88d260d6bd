package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/coord/config"
	"dockhinge.example/dockhinge/internal/rollout"
)

// toolTTL is how long the session of an operators' tool lasts at least.
const toolTTL = 10 * time.Second

// operate runs f with a session of its own, which lasts for ttl, under a name ("": HOST/PID).
func (t *tool) operate(ctx context.Context, as string, ttl time.Duration, f func(context.Context, *client.Client) error) error {
	all, err := t.names()
	if err != nil {
		return err
	}
	if as == "" {
		host, _ := os.Hostname()
		as = fmt.Sprintf("%s/%d", host, os.Getpid())
	}
	c := client.New(client.Options{Coordinators: all, ClientName: as, TTL: ttl})
	ctx, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer end()
	wg.Go(func() { c.Run(ctx) })
	return f(ctx, c)
}

// runCommand runs an operator's command in a process group of its own. When ctx ends the group gets TERM, and KILL two seconds
// later; it doesn't outlive this program.
func runCommand(ctx context.Context, stdout io.Writer, words []string, env ...string) error {
	run := exec.CommandContext(ctx, words[0], words[1:]...)
	run.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	run.Cancel = func() error { return syscall.Kill(-run.Process.Pid, syscall.SIGTERM) }
	run.WaitDelay = 2 * time.Second
	run.Stdin, run.Stdout, run.Stderr = os.Stdin, stdout, os.Stderr
	run.Env = append(os.Environ(), env...)
	err := run.Run()
	if ctx.Err() != nil && run.Process != nil {
		_ = syscall.Kill(-run.Process.Pid, syscall.SIGKILL) // what is left of the group, if anything
	}
	return err
}

// roll has one command carried out.
func (t *tool) roll(ctx context.Context, c rollout.Command) error {
	ctx, cancel := context.WithTimeout(ctx, toolTTL)
	defer cancel()
	return t.operate(ctx, "", toolTTL, func(ctx context.Context, x *client.Client) error {
		_, err := x.ExecuteRollout(ctx, c)
		return err
	})
}

// thing reads KIND/NAME.
func thing(text string) (rollout.Kind, string, error) {
	k, name, ok := strings.Cut(text, "/")
	if kind := rollout.Kind(k); ok && name != "" && (kind == rollout.KindRouter || kind == rollout.KindServer) {
		return kind, name, nil
	}
	return "", "", fmt.Errorf("%q is neither router/NAME nor server/NAME", text)
}

func budgets() *cobra.Command {
	cmd := &cobra.Command{Use: "budgets", Short: "How many may be out at once"}
	check := &cobra.Command{Use: "check FILE", Short: "Check a file of budgets", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := config.LoadBudgets(args[0])
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), "ok")
			}
			return err
		}}
	var t tool
	set := &cobra.Command{Use: "set FILE", Short: "Put a file of budgets in force", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := config.LoadBudgets(args[0])
			if err != nil {
				return err
			}
			return t.operate(cmd.Context(), "", toolTTL, func(ctx context.Context, c *client.Client) error {
				if _, err := c.ExecuteRollout(ctx, set); err != nil {
					return err
				}
				r, err := c.RolloutReport(ctx, 0)
				for _, b := range r.Budgets {
					if b.Allowed == 0 {
						fmt.Fprintf(cmd.ErrOrStderr(), "warning: budget %s%s lets nothing out: its share of %d is none\n", b.Budget, inZone(b.Zone), b.Targets)
					}
				}
				return err
			})
		}}
	t.add(set)
	cmd.AddCommand(check, set)
	return cmd
}

func inZone(zone string) string {
	if zone == "" {
		return ""
	}
	return " (zone " + zone + ")"
}

func fleet() *cobra.Command {
	var t tool
	var asJSON bool
	cmd := &cobra.Command{Use: "fleet", Short: "Who is out, what may still go, and why each permit waits", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := t.names()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), toolTTL)
			defer cancel()
			r, err := client.New(client.Options{Coordinators: all, TTL: toolTTL}).RolloutReport(ctx, 0)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(r)
			}
			return show(cmd.OutOrStdout(), r)
		}}
	t.add(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func show(to io.Writer, r rollout.Report) error {
	if r.Halt != nil {
		fmt.Fprintf(to, "HALTED by %s: %s\n", r.Halt.By, r.Halt.Reason)
	}
	if l := r.Load; l.IsOverloaded {
		fmt.Fprintf(to, "OVER ITS LIMIT: the fleet refuses or fails %.1f%% of requests; nothing new goes out but emergencies\n", 100*l.FailedShare)
	}
	w := tabwriter.NewWriter(to, 4, 4, 2, ' ', 0)
	fmt.Fprintln(w, "budget\tkind\tzone\tthings\tmay be out\tout")
	for _, b := range r.Budgets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\n", b.Budget, b.Kind, b.Zone, b.Targets, b.Allowed, b.Out)
	}
	fmt.Fprintln(w, "\nout\tzone\twhy\tfor")
	for _, m := range r.Unavailable {
		why := string(m.Reason)
		if len(m.ReportedBy) > 0 {
			why = fmt.Sprintf("found bad by %s, left out by all", rollout.FirstNames(m.ReportedBy))
		}
		fmt.Fprintf(w, "%s/%s\t%s\t%s\t%v\n", m.Kind, m.Name, m.Zone, why, m.Duration.Round(time.Second))
	}
	fmt.Fprintln(w, "\npermit\tholder\tstage\tfor what\tit waits")
	for _, p := range r.Permits {
		fmt.Fprintf(w, "%s/%s\t%s\t%s\t%s\t%s\n", p.Kind, p.Name, p.Client, p.Stage, p.Purpose, cmp.Or(p.WaitReason, "-"))
	}
	return w.Flush()
}

var priorities = map[string]int{"release": rollout.PriorityRelease, "normal": rollout.PriorityNormal, "emergency": rollout.PriorityEmergency}

// want is a permit that is asked for by a tool.
type want struct {
	t        tool
	as, why  string
	priority string
	within   time.Duration
}

func (w *want) flags(cmd *cobra.Command) {
	w.t.add(cmd)
	cmd.Flags().StringVar(&w.priority, "priority", "normal", "release, normal or emergency; emergency passes a halt, no budget")
	cmd.Flags().DurationVar(&w.within, "within", 0, "give up waiting for the permit after this (default: never)")
	cmd.Flags().StringVar(&w.why, "why", "", "what for, as fleet shows it")
	cmd.Flags().StringVar(&w.as, "as", "", "the holder's name (default: HOST/PID); one of the same name takes over from one that died")
}

// errLost tells that the permit has no holder any more.
var errLost = errors.New("the session was lost: the permit stays used until it is seen started anew, or cleared")

// take waits for the permit, begins the step, and for a server until no router sends to it any more. It tells why it waits
// whenever that changes.
func (w *want) take(ctx context.Context, c *client.Client, k rollout.Kind, name string, say io.Writer) (token uint64, err error) {
	priority, ok := priorities[w.priority]
	if !ok {
		return 0, fmt.Errorf("--priority: %q is none of release, normal, emergency", w.priority)
	}
	cmd := rollout.Command{Kind: k, Name: name, Priority: priority, ValidFor: w.within, Reason: w.why}
	var last string
	var after uint64
	began, waited := "", clock.Now()
	defer func() { // a wish that nobody has any more would keep its place
		if err != nil && began == "" {
			over, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			_, _ = c.ExecuteRollout(over, rollout.Command{Op: rollout.OpCancelPermit, Kind: k, Name: name}) // else it ends with the session
		}
	}()
	for {
		cmd.Op = rollout.OpRequestPermit
		session := c.SessionID()
		if began != "" && session != began {
			return token, errLost
		}
		if began == "" && w.within > 0 && clock.Now()-waited > w.within {
			return 0, fmt.Errorf("no permit within %v: %s", w.within, last)
		}
		a, err := c.ExecuteRollout(ctx, cmd)
		if err == nil && a.Stage == rollout.StageGranted {
			cmd.Op, cmd.Token = rollout.OpBeginOutage, a.Token
			step("granted")
			a, err = c.ExecuteRollout(ctx, cmd)
			step("begun")
		}
		if err == nil && a.Stage == rollout.StageBegun && began == "" { // also where it was begun under this name, by one that died
			began, token = c.SessionID(), a.Token
		}
		var refused *client.RejectedError
		switch {
		case errors.As(err, &refused) && refused.Code == coord.CodeNotHeld: // taken back between the two
		case errors.As(err, &refused):
			return token, err
		case err != nil && ctx.Err() != nil:
			return token, errors.Join(ctx.Err(), errors.New(last))
		case err != nil:
			a.Text = "the coordinators don't answer: " + err.Error()
		case a.Stage == rollout.StageBegun && (a.IsDrained || k == rollout.KindRouter):
			return token, nil
		}
		if a.Text != last && a.Text != "" {
			fmt.Fprintf(say, "%s/%s: %s\n", k, name, a.Text)
			last = a.Text
		}
		r, err := c.RolloutReport(ctx, after)
		if err != nil && !clock.Sleep(ctx, 200*time.Millisecond) {
			return token, ctx.Err()
		}
		after = max(after, r.Version)
	}
}

func permit() *cobra.Command {
	cmd := &cobra.Command{Use: "permit", Short: "Permits to take routers and cache servers out"}
	cmd.AddCommand(permitTake(), word("clear", "Say that nothing happens any more by a permit whose holder is gone, and that it may come back", rollout.OpClearPermit))
	return cmd
}

func permitTake() *cobra.Command {
	var w want
	cmd := &cobra.Command{Use: "take KIND/NAME -- COMMAND...", Short: "Run a command while a router or cache server is out", Args: cobra.MinimumNArgs(2),
		Long: "Waits for the permit, says why it waits, and for a cache server until no router sends to it any more. Then it runs the\n" +
			"command, with DOCKHINGE_PERMIT and DOCKHINGE_TOKEN in its environment, and gives the permit back when it has ended well.\n" +
			"Where the command fails or this program dies, the permit stays used: the thing counts as out until it is seen started\n" +
			"anew (later than 'grace' after the step began), or until 'permit clear', or until the same command with the same --as\n" +
			"takes it over, which runs the command again: it must do no harm twice, or refuse a token lower than one it has seen.",
		RunE: func(cmd *cobra.Command, args []string) error {
			k, name, err := thing(args[0])
			if err != nil {
				return err
			}
			return w.t.operate(cmd.Context(), w.as, toolTTL, func(ctx context.Context, c *client.Client) error {
				token, err := w.take(ctx, c, k, name, cmd.ErrOrStderr())
				if err != nil {
					return err
				}
				step("drained")
				session := c.SessionID()
				if err := runCommand(ctx, os.Stdout, args[1:], "DOCKHINGE_PERMIT="+args[0], "DOCKHINGE_TOKEN="+strconv.FormatUint(token, 10)); err != nil {
					return fmt.Errorf("%s counts as out until it is seen started anew, or until 'permit clear %s': %w", args[0], args[0], err)
				}
				step("ran")
				if c.SessionID() != session {
					return errLost
				}
				_, err = c.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpEndOutage, Kind: k, Name: name, Token: token})
				step("given-back")
				return err
			})
		}}
	w.flags(cmd)
	return cmd
}

func drain() *cobra.Command {
	var w want
	cmd := &cobra.Command{Use: "drain server/NAME", Short: "Have no router send to a cache server any more, and leave it so", Args: cobra.ExactArgs(1),
		Long: "Ends once no router sends to the server any more, so that it may be stopped. It counts as out until it is seen started\n" +
			"anew, or until 'undrain'.",
		RunE: func(cmd *cobra.Command, args []string) error {
			k, name, err := thing(args[0])
			if err != nil || k != rollout.KindServer {
				return errors.Join(err, fmt.Errorf("%s: only a cache server is drained by the routers", args[0]))
			}
			err = w.t.operate(cmd.Context(), w.as, toolTTL, func(ctx context.Context, c *client.Client) error {
				_, err := w.take(ctx, c, k, name, cmd.ErrOrStderr())
				return err
			})
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), "drained")
			}
			return err
		}}
	w.flags(cmd)
	return cmd
}

// word is a command that is an operator's word on one thing.
func word(use, short string, op rollout.Op) *cobra.Command {
	var t tool
	cmd := &cobra.Command{Use: use + " KIND/NAME", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, name, err := thing(args[0])
			if err != nil {
				return err
			}
			return t.roll(cmd.Context(), rollout.Command{Op: op, Kind: k, Name: name})
		}}
	t.add(cmd)
	return cmd
}

func halt() *cobra.Command {
	var t tool
	var why string
	cmd := &cobra.Command{Use: "halt --why TEXT", Short: "Let nothing new out, from now on and everywhere", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if why == "" {
				return errors.New("--why: say why; others will read it")
			}
			return t.roll(cmd.Context(), rollout.Command{Op: rollout.OpHalt, Reason: why})
		}}
	t.add(cmd)
	cmd.Flags().StringVar(&why, "why", "", "the reason, which fleet shows")
	return cmd
}

func resume() *cobra.Command {
	var t tool
	cmd := &cobra.Command{Use: "resume", Short: "End a halt", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return t.roll(cmd.Context(), rollout.Command{Op: rollout.OpResume})
		}}
	t.add(cmd)
	return cmd
}
