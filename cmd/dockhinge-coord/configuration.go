package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

func configuration() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "The configuration that all routers share",
		Long: "Documents that the coordinators agree on and observers carry to all routers. docs/observers.md tells more."}
	cmd.AddCommand(configPut(), configGet(), configList(), configHistory(), configBack(), configDelete(), configStatus())
	return cmd
}

// checkDocument refuses a document that no router could read: a TOML or JSON file, by its name's end, that isn't one.
func checkDocument(name string, value []byte) error {
	if len(value) > coord.MaxDocumentBytes {
		return fmt.Errorf("%s: %d bytes, at most %d", name, len(value), coord.MaxDocumentBytes)
	}
	switch {
	case strings.HasSuffix(name, ".toml"):
		var parsed map[string]any
		if err := toml.Unmarshal(value, &parsed); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	case strings.HasSuffix(name, ".json"):
		if !json.Valid(value) {
			return fmt.Errorf("%s: it is no JSON", name)
		}
	}
	return coord.CheckDocumentName(name)
}

// put has a document put and prints its revision.
func (t *tool) put(cmd *cobra.Command, put coord.DocumentPut) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), toolTTL)
	defer cancel()
	return t.operate(ctx, "", toolTTL, func(ctx context.Context, c *client.Client) error {
		revision, err := c.PutDocument(ctx, put)
		var refused *client.RejectedError
		if errors.As(err, &refused) && refused.Code == coord.CodeConflict {
			return fmt.Errorf("%s; look at it with 'config get' and say --expect %d", refused.Text, refused.Revision)
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s is at revision %d\n", put.Name, revision)
		return nil
	})
}

// history reads what is kept of a document.
func (t *tool) history(ctx context.Context, name string) ([]watchlog.Change, error) {
	all, err := t.names()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, toolTTL)
	defer cancel()
	history, err := client.New(client.Options{Coordinators: all, TTL: toolTTL}).DocumentHistory(ctx, name)
	if err == nil && len(history) == 0 {
		err = fmt.Errorf("document %s: there is none", name)
	}
	return history, err
}

// atRevision finds a document's change: of a revision, or the newest for 0.
func atRevision(history []watchlog.Change, name string, revision uint64) (watchlog.Change, error) {
	if revision == 0 {
		return history[len(history)-1], nil
	}
	for _, change := range history {
		if change.Revision == revision {
			return change, nil
		}
	}
	return watchlog.Change{}, fmt.Errorf("document %s: revision %d isn't kept; 'config history' lists those that are", name, revision)
}

func configPut() *cobra.Command {
	var t tool
	var expect uint64
	cmd := &cobra.Command{Use: "put NAME FILE", Short: "Put a file under a name, if the document is still at the expected revision", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			value, err := os.ReadFile(args[1])
			if err != nil {
				return err
			}
			if err := checkDocument(args[0], value); err != nil {
				return err
			}
			return t.put(cmd, coord.DocumentPut{Name: args[0], Value: value, Expected: expect})
		}}
	t.add(cmd)
	cmd.Flags().Uint64Var(&expect, "expect", 0, "the revision that this replaces; 0: there is no such document yet")
	return cmd
}

func configDelete() *cobra.Command {
	var t tool
	var expect uint64
	cmd := &cobra.Command{Use: "delete NAME", Short: "Delete a document, if it is still at the expected revision", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return t.put(cmd, coord.DocumentPut{Name: args[0], Delete: true, Expected: expect})
		}}
	t.add(cmd)
	cmd.Flags().Uint64Var(&expect, "expect", 0, "the revision that is deleted")
	return cmd
}

func configGet() *cobra.Command {
	var t tool
	var revision uint64
	cmd := &cobra.Command{Use: "get NAME", Short: "Print a document, and its revision to the standard error", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			history, err := t.history(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			change, err := atRevision(history, args[0], revision)
			if err != nil {
				return err
			}
			if change.Deleted {
				return fmt.Errorf("document %s: deleted at revision %d", args[0], change.Revision)
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "revision %d\n", change.Revision)
			_, err = cmd.OutOrStdout().Write(change.Value)
			return err
		}}
	t.add(cmd)
	cmd.Flags().Uint64Var(&revision, "revision", 0, "as it was at this one; 0: the newest")
	return cmd
}

func configList() *cobra.Command {
	var t tool
	cmd := &cobra.Command{Use: "list [PREFIX]", Short: "The documents that there are", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			all, err := t.names()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), toolTTL)
			defer cancel()
			rows, err := client.New(client.Options{Coordinators: all, TTL: toolTTL}).ListDocuments(ctx, strings.Join(args, ""))
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 4, 4, 2, ' ', 0)
			fmt.Fprintln(w, "name\trevision\tbytes")
			for _, row := range rows {
				fmt.Fprintf(w, "%s\t%d\t%d\n", row.Name, row.Revision, row.Bytes)
			}
			return w.Flush()
		}}
	t.add(cmd)
	return cmd
}

func configHistory() *cobra.Command {
	var t tool
	cmd := &cobra.Command{Use: "history NAME", Short: "The revisions of a document that are kept, the oldest first", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			history, err := t.history(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 4, 4, 2, ' ', 0)
			fmt.Fprintln(w, "revision\tbytes\tdeleted")
			for _, change := range history {
				fmt.Fprintf(w, "%d\t%d\t%t\n", change.Revision, len(change.Value), change.Deleted)
			}
			return w.Flush()
		}}
	t.add(cmd)
	return cmd
}

func configBack() *cobra.Command {
	var t tool
	cmd := &cobra.Command{Use: "back NAME REVISION", Short: "Put a document as it was at an earlier revision, as a new one", Args: cobra.ExactArgs(2),
		Long: "Puts the document as it was at an earlier revision that is kept. Where somebody changes it meanwhile, nothing is put.",
		RunE: func(cmd *cobra.Command, args []string) error {
			revision, err := strconv.ParseUint(args[1], 10, 64)
			if err != nil || revision == 0 {
				return fmt.Errorf("%q is no revision", args[1])
			}
			history, err := t.history(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			change, err := atRevision(history, args[0], revision)
			if err != nil {
				return err
			}
			put := coord.DocumentPut{Name: args[0], Value: change.Value, Delete: change.Deleted}
			if newest := history[len(history)-1]; !newest.Deleted {
				put.Expected = newest.Revision
			}
			return t.put(cmd, put)
		}}
	t.add(cmd)
	return cmd
}
