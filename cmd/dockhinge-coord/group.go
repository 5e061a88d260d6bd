package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/node"
)

// initTimeout is the time limit for forming a group.
const initTimeout = 10 * time.Second

func newStatusCommand() *cobra.Command {
	var isJSON bool
	return toolCommand{
		use:   "status",
		short: "Show the status of the coordinators",
		args:  cobra.NoArgs,
		flags: func(cmd *cobra.Command) {
			cmd.Flags().BoolVar(&isJSON, "json", false, "print all values as JSON")
		},
		run: func(cmd *cobra.Command, _ []string, c *coordinators) error {
			addresses, err := c.addresses()
			if err != nil {
				return err
			}
			answers, failures := statuses(cmd.Context(), addresses)
			if isJSON {
				return encodeStatuses(cmd, answers, failures)
			}
			return printStatuses(cmd, slices.Sorted(maps.Keys(addresses)), answers, failures)
		},
	}.build()
}

// failedStatus is the JSON of a coordinator that did not answer.
type failedStatus struct {
	Error string `json:"error"`
}

// encodeStatuses prints a JSON object with the status or the error of each coordinator by name. It
// returns errNoLeader if no coordinator is the leader.
func encodeStatuses(cmd *cobra.Command, answers map[string]node.Status, failures map[string]error) error {
	all := map[string]any{}
	for name, status := range answers {
		all[name] = status
	}
	for name, err := range failures {
		all[name] = failedStatus{Error: err.Error()}
	}
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(all); err != nil {
		return err
	}
	return checkHasLeader(answers)
}

// checkHasLeader returns errNoLeader if no coordinator is the leader.
func checkHasLeader(answers map[string]node.Status) error {
	for _, status := range answers {
		if status.State == stateLeader {
			return nil
		}
	}
	return errNoLeader
}

// printStatuses prints one line for each coordinator. It returns errNoLeader if no coordinator is
// the leader.
func printStatuses(
	cmd *cobra.Command, names []string, answers map[string]node.Status, failures map[string]error,
) error {
	w := newTable(cmd)
	fmt.Fprintln(w, "name\tstate\tleader\tterm\tlast\tapplied\tlag\tsessions\tleases\trefused\t"+
		"fsync p50/p99 ms\tcommit p50/p99 ms")
	for _, name := range names {
		if err := failures[name]; err != nil {
			fmt.Fprintf(w, "%s\tno answer: %v\n", name, err)
			continue
		}
		s := answers[name]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f / %.1f\t%.1f / %.1f\n",
			name, s.State, s.Leader, s.Term, s.LastLogIndex, s.AppliedIndex, s.Lag, s.Sessions, s.Leases, s.Rejected,
			s.FsyncP50Millis, s.FsyncP99Millis, s.CommitP50Millis, s.CommitP99Millis)
	}
	_ = w.Flush() // checkHasLeader's result matters more than an output error
	return checkHasLeader(answers)
}

func newInitCommand() *cobra.Command {
	return toolCommand{
		use:   "init",
		short: "Form a group of coordinators whose directories are empty",
		long: "Gets the identities of the given coordinators and lets them form a group. " +
			"None of them may belong to a group yet.",
		args: cobra.NoArgs,
		run: func(cmd *cobra.Command, _ []string, c *coordinators) error {
			addresses, err := c.addresses()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), initTimeout)
			defer cancel()
			if err := initGroup(ctx, addresses); err != nil {
				return err
			}
			_, err = c.upgrade(ctx) // no coordinator of a new group runs an earlier program version
			return err
		},
	}.build()
}

// initGroup makes coordinators form a group.
func initGroup(ctx context.Context, addresses map[string]string) error {
	answers, failures := statuses(ctx, addresses)
	var group []node.Member
	for name := range addresses {
		if err := failures[name]; err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		s := answers[name]
		if s.Name != name {
			return fmt.Errorf("%s: the coordinator at its address is %s", name, s.Name)
		}
		if s.State != stateWaiting {
			return fmt.Errorf("%s: already belongs to a group", name)
		}
		group = append(group, node.Member{Name: name, Identity: s.Identity, Address: s.ListenAddress})
	}
	slices.SortFunc(group, func(a, b node.Member) int { return strings.Compare(a.Name, b.Name) })
	// The first one becomes the leader; the others get the members from it.
	return client.Call(ctx, http.MethodPost, addresses[group[0].Name], "/v1/init", group, nil)
}

// upgrade puts the newest command version that all coordinators support in force, and returns it.
func (c *coordinators) upgrade(ctx context.Context) (version int, err error) {
	addresses, err := c.addresses()
	if err != nil {
		return 0, err
	}
	answers, failures := statuses(ctx, addresses)
	for name, s := range answers {
		if version == 0 || s.SupportedVersion < version {
			version = s.SupportedVersion
		}
		for _, member := range s.Members {
			if addresses[member.Name] == "" {
				return 0, fmt.Errorf("--coordinators: %s is missing; it is a member according to %s", member.Name, name)
			}
		}
	}
	for name, err := range failures {
		return 0, fmt.Errorf("%s: %w (all must answer: an upgrade stops those that run an older version)", name, err)
	}
	return version, c.withLeader(ctx, func(ctx context.Context, leader string) error {
		var answer coord.Response
		command := coord.Command{TargetVersion: version}
		if err := client.Call(ctx, http.MethodPost, leader, "/v1/upgrade", command, &answer); err != nil {
			return err
		}
		if answer.Code != coord.CodeOK {
			return errors.New(answer.Text)
		}
		return nil
	})
}

func newMembersCommand() *cobra.Command {
	cmd := toolCommand{
		use:   "members",
		short: "List the coordinators of the group",
		args:  cobra.NoArgs,
		run:   listMembers,
	}.build()
	add := toolCommand{
		use:   "add NAME=HOST:PORT",
		short: "Add a coordinator that runs with an empty directory; HOST:PORT is its address for clients",
		args:  cobra.ExactArgs(1),
		run:   addMember,
	}
	remove := toolCommand{
		use:   "remove NAME",
		short: "Remove a coordinator, whether it runs or not",
		args:  cobra.ExactArgs(1),
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			return c.withLeader(cmd.Context(), func(ctx context.Context, leader string) error {
				return client.Call(ctx, http.MethodDelete, leader, "/v1/members/"+args[0], nil, nil)
			})
		},
	}
	upgrade := toolCommand{
		use:   "upgrade",
		short: "Put the newest command version that all coordinators support in force",
		args:  cobra.NoArgs,
		run: func(cmd *cobra.Command, _ []string, c *coordinators) error {
			version, err := c.upgrade(cmd.Context())
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "version %d is in force\n", version)
			return nil
		},
	}
	cmd.AddCommand(add.build(), remove.build(), upgrade.build())
	return cmd
}

func listMembers(cmd *cobra.Command, _ []string, c *coordinators) error {
	return c.withLeader(cmd.Context(), func(ctx context.Context, leader string) error {
		var members []node.Member
		if err := client.Call(ctx, http.MethodGet, leader, "/v1/members", nil, &members); err != nil {
			return err
		}
		w := newTable(cmd)
		fmt.Fprintln(w, "name\tidentity\taddress\tvotes\tleads\tanswers")
		for _, m := range members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%t\n",
				m.Name, m.Identity, m.Address, m.IsVoter, m.IsLeader, m.IsReachable)
		}
		return w.Flush()
	})
}

// addMember adds the coordinator whose NAME=HOST:PORT is the only argument.
func addMember(cmd *cobra.Command, args []string, c *coordinators) error {
	added, err := parseAddresses(args)
	if err != nil {
		return err
	}
	for name, address := range added {
		if err := addCoordinator(cmd.Context(), c, name, address); err != nil {
			return err
		}
	}
	return nil
}

// addCoordinator adds a coordinator that belongs to no group, or one whose earlier addition was
// interrupted.
func addCoordinator(ctx context.Context, c *coordinators, name, address string) error {
	answers, failures := statuses(ctx, map[string]string{name: address})
	if err := failures[name]; err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	s := answers[name]
	if s.Name != name {
		return fmt.Errorf("%s: the coordinator at its address is %s", name, s.Name)
	}
	member := node.Member{
		Name:             name,
		Identity:         s.Identity,
		Address:          s.ListenAddress,
		SupportedVersion: s.SupportedVersion,
	}
	return c.withLeader(ctx, func(ctx context.Context, leader string) error {
		if s.State != stateWaiting && !isNonVotingMember(ctx, leader, s.Identity) {
			return fmt.Errorf("%s: already belongs to a group (state %s); only one without a group can be added",
				name, s.State)
		}
		return client.Call(ctx, http.MethodPost, leader, "/v1/members", member, nil)
	})
}

// isNonVotingMember reports whether a coordinator is a member of the leader's group without a vote.
func isNonVotingMember(ctx context.Context, leader, identity string) bool {
	var members []node.Member
	if err := client.Call(ctx, http.MethodGet, leader, "/v1/members", nil, &members); err != nil {
		return false
	}
	return slices.ContainsFunc(members, func(m node.Member) bool { return m.Identity == identity && !m.IsVoter })
}
