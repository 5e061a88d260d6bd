// Command dockhinge-coord is a coordinator, one of the few processes that agree on leases for the whole fleet, and the operators'
// tool for them.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/config"
	"dockhinge.example/dockhinge/internal/coord/node"
	"dockhinge.example/dockhinge/internal/logging"
	"dockhinge.example/dockhinge/internal/rollout"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := root().ExecuteContext(ctx)
	stop()
	var code *exec.ExitError
	switch {
	case errors.As(err, &code) && code.ExitCode() > 0: // of the command under a lease
		os.Exit(code.ExitCode())
	case err != nil:
		fmt.Fprintln(os.Stderr, "dockhinge-coord:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	r := &cobra.Command{Use: "dockhinge-coord", Short: "Leases for tasks of the whole fleet", SilenceUsage: true, SilenceErrors: true,
		Long: "A coordinator and the operators' tool for them. docs/agreement.md tells more."}
	r.AddCommand(serve(), observe(), check(), initGroup(), status(), members(), lease(), recoverOne(), budgets(), fleet(), permit(), drain(),
		word("undrain", "Have routers send to a drained cache server again", rollout.OpClearPermit),
		word("forget", "Say that a router or cache server that isn't there belongs to the fleet no more", rollout.OpForgetTarget), halt(), resume(), release(), configuration())
	return r
}

// mostData bounds a coordinator's memory in bytes; it uses a small part of it.
const mostData = 1 << 30

func serve() *cobra.Command {
	return &cobra.Command{Use: "serve FILE", Short: "Run a coordinator until SIGTERM", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := config.Load(args[0])
			if err != nil {
				return err
			}
			signal.Ignore(syscall.SIGXFSZ) // a full disk is an error of the write, told as such
			debug.SetGCPercent(50)         // a smaller process; a limit on memory instead had it collect all the time with 3,000 clients
			// A spoilt page that leads back to itself has the log's library allocate without end: better this process than the machine.
			if err := unix.Setrlimit(unix.RLIMIT_DATA, &unix.Rlimit{Cur: mostData, Max: mostData}); err != nil {
				return fmt.Errorf("bounding the memory: %w", err)
			}
			log := logging.New(os.Stderr, logging.Options{Level: f.LogLevel, JSON: f.LogJSON, RepeatInterval: 10 * time.Second, RepeatBurst: 20})
			slog.SetDefault(log)
			if err := node.MakeDirectory(f.Dir); err != nil {
				return err
			}
			ln, err := net.Listen("tcp", f.API)
			if err != nil {
				return fmt.Errorf("api: %w", err)
			}
			var figures net.Listener
			if f.Figures != "" {
				if figures, err = net.Listen("tcp", f.Figures); err != nil {
					return errors.Join(fmt.Errorf("figures: %w", err), ln.Close())
				}
				defer figures.Close()
			}
			n, err := node.Start(options(f, log))
			if err != nil {
				return errors.Join(err, ln.Close())
			}
			log.Info("serving", "name", f.Name, "identity", n.Status().Identity, "listen", f.Listen, "api", f.API)
			ctx, end := context.WithCancel(cmd.Context())
			defer end()
			var wg sync.WaitGroup
			if figures != nil {
				wg.Go(func() {
					if err := node.Serve(ctx, figures, n.MetricsHandler()); err != nil {
						log.Error("figures can't be told", "error", err)
					}
				})
			}
			err = node.Serve(ctx, ln, n.Handler())
			end()
			wg.Wait()
			return errors.Join(err, n.Close())
		}}
}

func options(f config.File, log *slog.Logger) node.Options {
	return node.Options{Name: f.Name, Directory: f.Dir, ListenAddress: f.Listen, ClientAddress: f.API, PeerAddresses: f.Peers, ClockRateBound: f.ClockRate,
		SnapshotEntries: f.SnapshotEvery, HeartbeatTimeout: f.HeartbeatTimeout(), Log: log, OnFatal: func(err error) {
			fmt.Fprintln(os.Stderr, "dockhinge-coord: it can't go on:", err)
			os.Exit(4)
		}}
}

func check() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check a coordinator's file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := config.Load(args[0])
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), "ok")
			}
			return err
		}}
}

// parseNames reads NAME=ADDR words.
func parseNames(words []string) (map[string]string, error) {
	all := map[string]string{}
	for _, w := range words {
		name, addr, ok := strings.Cut(w, "=")
		if !ok {
			return nil, fmt.Errorf("%q is not NAME=HOST:PORT", w)
		}
		if err := config.CheckName(name); err != nil {
			return nil, err
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %q is no host:port", name, addr)
		}
		all[name] = addr
	}
	return all, nil
}

// tool is what the operators' sub-commands share.
type tool struct{ coordinators []string }

func (t *tool) add(cmd *cobra.Command) {
	env := os.Getenv("DOCKHINGE_COORDINATORS")
	var given []string
	if env != "" {
		given = strings.Split(env, ",")
	}
	cmd.Flags().StringSliceVar(&t.coordinators, "coordinators", given, "NAME=HOST:PORT of each, as clients reach them (or DOCKHINGE_COORDINATORS)")
}

func (t *tool) names() (map[string]string, error) {
	all, err := parseNames(t.coordinators)
	if err == nil && len(all) == 0 {
		err = errors.New("--coordinators: none named")
	}
	return all, err
}

// statuses asks all coordinators side by side.
func statuses(ctx context.Context, all map[string]string) (got map[string]node.Status, fails map[string]error) {
	got, fails = map[string]node.Status{}, map[string]error{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, addr := range all {
		wg.Go(func() {
			var s node.Status
			err := client.Call(ctx, http.MethodGet, addr, "/v1/status", nil, &s)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fails[name] = err
			} else {
				got[name] = s
			}
		})
	}
	wg.Wait()
	return got, fails
}

func status() *cobra.Command {
	var t tool
	var asJSON bool
	cmd := &cobra.Command{Use: "status", Short: "How the coordinators stand", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := t.names()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), 3*time.Second)
			defer cancel()
			got, fails := statuses(ctx, all)
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(got)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 4, 4, 2, ' ', 0)
			fmt.Fprintln(w, "name\tstate\tleader\tterm\tlast\tapplied\tlag\tsessions\tleases\trefused\tfsync p50/p99 ms\tcommit p50/p99 ms")
			names := make([]string, 0, len(all))
			for name := range all {
				names = append(names, name)
			}
			slices.Sort(names)
			led := false
			for _, name := range names {
				if err := fails[name]; err != nil {
					fmt.Fprintf(w, "%s\tno answer: %v\n", name, err)
					continue
				}
				s := got[name]
				led = led || s.State == "Leader"
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f / %.1f\t%.1f / %.1f\n", name, s.State, s.Leader, s.Term, s.LastLogIndex, s.AppliedIndex,
					s.Lag, s.Sessions, s.Leases, s.Rejected, s.FsyncP50Millis, s.FsyncP99Millis, s.CommitP50Millis, s.CommitP99Millis)
			}
			w.Flush()
			if !led {
				return errors.New("no leader: nothing new can be agreed on (what is held ends by its time; routers serve on)")
			}
			return nil
		}}
	t.add(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "all figures as JSON")
	return cmd
}

func initGroup() *cobra.Command {
	var t tool
	cmd := &cobra.Command{Use: "init", Short: "Make one group of coordinators whose directories are empty", Args: cobra.NoArgs,
		Long: "Asks each of the coordinators who it is and has them form a group. Only coordinators that belong to none are taken.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := t.names()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), 10*time.Second)
			defer cancel()
			if err := Init(ctx, all); err != nil {
				return err
			}
			_, err = t.upgrade(ctx) // a new group has no older program in it
			return err
		}}
	t.add(cmd)
	return cmd
}

// Init has coordinators form a group.
func Init(ctx context.Context, all map[string]string) error {
	got, fails := statuses(ctx, all)
	var group []node.Member
	for name := range all {
		if err := fails[name]; err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		s := got[name]
		if s.Name != name {
			return fmt.Errorf("%s: the coordinator there is %s", name, s.Name)
		}
		if s.State != "Waiting" {
			return fmt.Errorf("%s: belongs to a group already", name)
		}
		group = append(group, node.Member{Name: name, Identity: s.Identity, Address: s.ListenAddress})
	}
	slices.SortFunc(group, func(a, b node.Member) int { return strings.Compare(a.Name, b.Name) })
	// One begins; it is chosen as the leader and the others get the group from it.
	return client.Call(ctx, http.MethodPost, all[group[0].Name], "/v1/init", group, nil)
}

// leading asks the leader, whoever that is.
func (t *tool) leading(ctx context.Context, f func(addr string) error) error {
	all, err := t.names()
	if err != nil {
		return err
	}
	for range 20 {
		got, _ := statuses(ctx, all)
		for name, s := range got {
			if s.State == "Leader" {
				if err = f(all[name]); err == nil || !errors.Is(err, client.ErrNotLeader) {
					return err
				}
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(200 * time.Millisecond):
		}
	}
	return errors.Join(errors.New("no leader answers"), err)
}

// upgrade lets the coordinators use what all of them understand, and tells the version that is in force.
func (t *tool) upgrade(ctx context.Context) (to int, err error) {
	all, err := t.names()
	if err != nil {
		return 0, err
	}
	got, fails := statuses(ctx, all)
	for name, s := range got {
		if to == 0 || s.SupportedVersion < to {
			to = s.SupportedVersion
		}
		for _, m := range s.Members {
			if all[m.Name] == "" {
				return 0, fmt.Errorf("--coordinators: %s is a member too (says %s)", m.Name, name)
			}
		}
	}
	for name, err := range fails {
		return 0, fmt.Errorf("%s: %w (each must answer: one that runs an older program could not go on)", name, err)
	}
	return to, t.leading(ctx, func(leader string) error {
		var a coord.Response
		if err := client.Call(ctx, http.MethodPost, leader, "/v1/upgrade", coord.Command{TargetVersion: to}, &a); err != nil {
			return err
		}
		if a.Code != coord.CodeOK {
			return errors.New(a.Text)
		}
		return nil
	})
}

func members() *cobra.Command {
	var t tool
	cmd := &cobra.Command{Use: "members", Short: "Who the coordinators are", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return t.leading(cmd.Context(), func(addr string) error {
				var all []node.Member
				if err := client.Call(cmd.Context(), http.MethodGet, addr, "/v1/members", nil, &all); err != nil {
					return err
				}
				w := tabwriter.NewWriter(cmd.OutOrStdout(), 4, 4, 2, ' ', 0)
				fmt.Fprintln(w, "name\tidentity\taddress\tvotes\tleads\tanswers")
				for _, m := range all {
					fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%t\n", m.Name, m.Identity, m.Address, m.IsVoter, m.IsLeader, m.IsReachable)
				}
				return w.Flush()
			})
		}}
	add := &cobra.Command{Use: "add NAME=HOST:PORT", Short: "Take in a coordinator that runs with an empty directory, by its clients' address", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			one, err := parseNames(args)
			if err != nil {
				return err
			}
			for name, addr := range one {
				var s node.Status
				if err := client.Call(cmd.Context(), http.MethodGet, addr, "/v1/status", nil, &s); err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				if s.Name != name || s.State != "Waiting" {
					return fmt.Errorf("%s: the coordinator there is %s and %s; one that belongs to no group is wanted", name, s.Name, s.State)
				}
				err = t.leading(cmd.Context(), func(leader string) error {
					return client.Call(cmd.Context(), http.MethodPost, leader, "/v1/members", node.Member{Name: name, Identity: s.Identity, Address: s.ListenAddress, SupportedVersion: s.SupportedVersion}, nil)
				})
			}
			return err
		}}
	remove := &cobra.Command{Use: "remove NAME", Short: "Take a coordinator out, dead or alive", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return t.leading(cmd.Context(), func(leader string) error {
				return client.Call(cmd.Context(), http.MethodDelete, leader, "/v1/members/"+args[0], nil, nil)
			})
		}}
	upgrade := &cobra.Command{Use: "upgrade", Short: "Let the coordinators use what all of them understand, once each runs the new program", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			to, err := t.upgrade(cmd.Context())
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "version %d is in force\n", to)
			return nil
		}}
	for _, c := range []*cobra.Command{cmd, add, remove, upgrade} {
		t.add(c)
	}
	cmd.AddCommand(add, remove, upgrade)
	return cmd
}

func recoverOne() *cobra.Command {
	var sure bool
	cmd := &cobra.Command{Use: "recover FILE", Short: "DANGEROUS: make a coordinator's directory a group of its own, after a majority was lost for good", Args: cobra.ExactArgs(1),
		Long: "For the day on which a majority of the coordinators is lost for good. What the lost ones had agreed on and this one had\n" +
			"not heard of is gone. All tokens are raised. Before it: end every coordinator that is left, take the directory whose\n" +
			"log reaches furthest ('last' in status), and wait until the longest time to live has passed, as holders that this\n" +
			"one doesn't know of may still act.",
		RunE: func(_ *cobra.Command, args []string) error {
			if !sure {
				return errors.New("--i-have-waited: say that all others are ended and the longest time to live has passed")
			}
			f, err := config.Load(args[0])
			if err != nil {
				return err
			}
			return node.Recover(options(f, slog.Default()))
		}}
	cmd.Flags().BoolVar(&sure, "i-have-waited", false, "all other coordinators are ended, and the longest time to live has passed since")
	return cmd
}
