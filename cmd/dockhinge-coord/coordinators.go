package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/config"
	"dockhinge.example/dockhinge/internal/coord/node"
	"dockhinge.example/dockhinge/internal/rollout"
)

const (
	// commandTTL is the time to live of the session of an operators' command, and the time limit of
	// a single call.
	commandTTL = 10 * time.Second
	// statusTimeout is the time limit for getting the statuses of all coordinators or observers.
	statusTimeout = 3 * time.Second
	// leaderTimeout is the time limit of a command that the leader carries out, including the
	// search for the leader.
	leaderTimeout = 10 * time.Second
	// leaderAttempts is how often the search for the leader is tried.
	leaderAttempts = 20
	// leaderInterval is the pause between two such attempts.
	leaderInterval = 200 * time.Millisecond
)

// States of a coordinator in its status.
const (
	stateLeader = "Leader"
	// stateWaiting is the state of a coordinator that does not belong to a group.
	stateWaiting = "Waiting"
)

// toolCommand describes a sub-command that calls the coordinators.
type toolCommand struct {
	use   string
	short string
	long  string
	args  cobra.PositionalArgs
	// flags adds flags in addition to --coordinators; nil for none.
	flags func(cmd *cobra.Command)
	run   func(cmd *cobra.Command, args []string, c *coordinators) error
}

// build returns the cobra command, with the flag --coordinators.
func (t toolCommand) build() *cobra.Command {
	var c coordinators
	cmd := &cobra.Command{
		Use:   t.use,
		Short: t.short,
		Long:  t.long,
		Args:  t.args,
		RunE:  func(cmd *cobra.Command, args []string) error { return t.run(cmd, args, &c) },
	}
	cmd.Flags().StringSliceVar(&c.entries, "coordinators", splitEnvironment("DOCKHINGE_COORDINATORS"),
		"NAME=HOST:PORT of each coordinator, at its address for clients (or DOCKHINGE_COORDINATORS)")
	if t.flags != nil {
		t.flags(cmd)
	}
	return cmd
}

// splitEnvironment returns the comma-separated values of an environment variable.
func splitEnvironment(name string) []string {
	value := os.Getenv(name)
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// newTable returns a writer that aligns tab-separated columns. The caller must flush it.
func newTable(cmd *cobra.Command) *tabwriter.Writer {
	return tabwriter.NewWriter(cmd.OutOrStdout(), 4, 4, 2, ' ', 0)
}

// parseAddresses parses entries of the form NAME=HOST:PORT, and returns the addresses by name.
func parseAddresses(entries []string) (map[string]string, error) {
	addresses := map[string]string{}
	for _, entry := range entries {
		name, address, hasAddress := strings.Cut(entry, "=")
		if !hasAddress {
			return nil, fmt.Errorf("%q is not NAME=HOST:PORT", entry)
		}
		if err := config.CheckName(name); err != nil {
			return nil, err
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%s: %q is not HOST:PORT", name, address)
		}
		addresses[name] = address
	}
	return addresses, nil
}

// coordinators are the coordinators that a sub-command calls, as given by its flag --coordinators.
type coordinators struct {
	// entries are the values of the flag.
	entries []string
}

// addresses returns the coordinators' addresses by name.
func (c *coordinators) addresses() (map[string]string, error) {
	addresses, err := parseAddresses(c.entries)
	if err != nil {
		return nil, err
	}
	if len(addresses) == 0 {
		return nil, errNoCoordinators
	}
	return addresses, nil
}

// reader returns a client for calls that need no session.
func (c *coordinators) reader() (*client.Client, error) {
	addresses, err := c.addresses()
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{Coordinators: addresses, TTL: commandTTL}), nil
}

// report returns the current report of the rollout state.
func (c *coordinators) report(ctx context.Context) (rollout.Report, error) {
	reader, err := c.reader()
	if err != nil {
		return rollout.Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTTL)
	defer cancel()
	return reader.RolloutReport(ctx, 0)
}

// withSession calls f with a new session that has the given time to live and client name; "" means
// HOST/PID. A goroutine keeps the session alive; it ends before withSession returns.
func (c *coordinators) withSession(
	ctx context.Context, name string, ttl time.Duration, f func(context.Context, *client.Client) error,
) error {
	addresses, err := c.addresses()
	if err != nil {
		return err
	}
	if name == "" {
		host, _ := os.Hostname()
		name = fmt.Sprintf("%s/%d", host, os.Getpid())
	}
	session := client.New(client.Options{Coordinators: addresses, ClientName: name, TTL: ttl})
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { session.Run(ctx) })
	return f(ctx, session)
}

// execute sends one rollout command in a session of its own.
func (c *coordinators) execute(ctx context.Context, command rollout.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commandTTL)
	defer cancel()
	return c.withSession(ctx, "", commandTTL, func(ctx context.Context, session *client.Client) error {
		_, err := session.ExecuteRollout(ctx, command)
		return err
	})
}

// statuses calls all coordinators concurrently. It returns the statuses of those that answer within
// statusTimeout, and the errors of the others, by name.
func statuses(ctx context.Context, addresses map[string]string) (map[string]node.Status, map[string]error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := map[string]node.Status{}
	failures := map[string]error{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, address := range addresses {
		wg.Go(func() {
			var status node.Status
			err := client.Call(ctx, http.MethodGet, address, "/v1/status", nil, &status)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures[name] = err
			} else {
				answers[name] = status
			}
		})
	}
	wg.Wait()
	return answers, failures
}

// withLeader calls f with the address of the leader. If the leader has changed in the meantime, it
// searches for the new one and calls f again. After leaderTimeout it returns an error which says
// that the outcome of the call is unknown.
func (c *coordinators) withLeader(ctx context.Context, f func(ctx context.Context, address string) error) error {
	addresses, err := c.addresses()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	var failures map[string]error
	for range leaderAttempts {
		var answers map[string]node.Status
		answers, failures = statuses(ctx, addresses)
		for name, status := range answers {
			if status.State != stateLeader {
				continue
			}
			err = f(ctx, addresses[name])
			if err == nil || !errors.Is(err, client.ErrNotLeader) {
				return withTimeoutHint(ctx, err)
			}
		}
		select {
		case <-ctx.Done():
			return errors.Join(append(namedErrors(failures), errNoLeaderAnswers)...)
		case <-time.After(leaderInterval):
		}
	}
	return errors.Join(append(namedErrors(failures), errNoLeaderAnswers, err)...)
}

// withTimeoutHint adds errLeaderTimeout to the error of a call that was canceled by a timeout.
func withTimeoutHint(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	return errors.Join(errLeaderTimeout, err)
}

// namedErrors returns the errors of coordinators, each prefixed with the coordinator's name,
// ordered by name.
func namedErrors(failures map[string]error) (named []error) {
	for _, name := range slices.Sorted(maps.Keys(failures)) {
		named = append(named, fmt.Errorf("%s: %w", name, failures[name]))
	}
	return named
}
