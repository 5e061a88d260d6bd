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
	// toolTTL is how long the session of an operators' tool lasts at least, and the time limit of a
	// single call.
	toolTTL = 10 * time.Second
	// statusTimeout is the time limit of a look at how all stand.
	statusTimeout = 3 * time.Second
	// leaderTimeout is the time limit of a command that the leader carries out, the search for it
	// included.
	leaderTimeout = 10 * time.Second
	// leaderAttempts is how often the leader is looked for, leaderInterval apart.
	leaderAttempts = 20
	leaderInterval = 200 * time.Millisecond
)

// States of a coordinator, as its status names them.
const (
	stateLeader = "Leader"
	// stateWaiting is that of a coordinator which belongs to no group.
	stateWaiting = "Waiting"
)

// toolCommand is the frame of a sub-command that calls the coordinators.
type toolCommand struct {
	use   string
	short string
	long  string
	args  cobra.PositionalArgs
	// flags adds flags beside --coordinators; nil for none.
	flags func(cmd *cobra.Command)
	run   func(cmd *cobra.Command, args []string, c *coordinators) error
}

// build makes the cobra command, which has the flag --coordinators.
func (t toolCommand) build() *cobra.Command {
	var c coordinators
	cmd := &cobra.Command{
		Use:   t.use,
		Short: t.short,
		Long:  t.long,
		Args:  t.args,
		RunE:  func(cmd *cobra.Command, args []string) error { return t.run(cmd, args, &c) },
	}
	cmd.Flags().StringSliceVar(&c.words, "coordinators", wordsOfEnvironment("DOCKHINGE_COORDINATORS"),
		"NAME=HOST:PORT of each, as clients reach them (or DOCKHINGE_COORDINATORS)")
	if t.flags != nil {
		t.flags(cmd)
	}
	return cmd
}

// wordsOfEnvironment splits a variable of the environment at its commas.
func wordsOfEnvironment(name string) []string {
	value := os.Getenv(name)
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// newTable returns a writer of tables for operators: columns are separated by tabs.
func newTable(cmd *cobra.Command) *tabwriter.Writer {
	return tabwriter.NewWriter(cmd.OutOrStdout(), 4, 4, 2, ' ', 0)
}

// parseAddresses parses words of the form NAME=HOST:PORT.
func parseAddresses(words []string) (map[string]string, error) {
	addresses := map[string]string{}
	for _, word := range words {
		name, address, hasAddress := strings.Cut(word, "=")
		if !hasAddress {
			return nil, fmt.Errorf("%q is not NAME=HOST:PORT", word)
		}
		if err := config.CheckName(name); err != nil {
			return nil, err
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%s: %q is no host:port", name, address)
		}
		addresses[name] = address
	}
	return addresses, nil
}

// coordinators are the coordinators that a sub-command calls, by its flag --coordinators.
type coordinators struct {
	// words are those of the flag.
	words []string
}

// addresses returns the addresses by name.
func (c *coordinators) addresses() (map[string]string, error) {
	addresses, err := parseAddresses(c.words)
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
	return client.New(client.Options{Coordinators: addresses, TTL: toolTTL}), nil
}

// report returns how the rollout state stands.
func (c *coordinators) report(ctx context.Context) (rollout.Report, error) {
	reader, err := c.reader()
	if err != nil {
		return rollout.Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, toolTTL)
	defer cancel()
	return reader.RolloutReport(ctx, 0)
}

// withSession calls f with a session of its own that lasts for ttl, under a client name; "" stands
// for HOST/PID. The session is kept alive by a goroutine that ends before withSession returns.
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

// execute has one rollout command carried out.
func (c *coordinators) execute(ctx context.Context, command rollout.Command) error {
	ctx, cancel := context.WithTimeout(ctx, toolTTL)
	defer cancel()
	return c.withSession(ctx, "", toolTTL, func(ctx context.Context, session *client.Client) error {
		_, err := session.ExecuteRollout(ctx, command)
		return err
	})
}

// statuses calls all coordinators side by side, and returns the statuses of those that answer within
// statusTimeout and the errors of the others.
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

// withLeader calls f with the address of the leader, and looks for the leader again where it has
// changed meanwhile. All of it ends within leaderTimeout, with an error that says what is not known
// then.
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

// withTimeoutHint adds to the error of a call that was cut off that its outcome is not known.
func withTimeoutHint(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	return errors.Join(errLeaderTimeout, err)
}

// namedErrors are the errors of coordinators, each with its name, in the order of names.
func namedErrors(failures map[string]error) (named []error) {
	for _, name := range slices.Sorted(maps.Keys(failures)) {
		named = append(named, fmt.Errorf("%s: %w", name, failures[name]))
	}
	return named
}
