package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

func newConfigCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Manage the configuration that all routers share",
		Long: "Manages the documents that the coordinators agree on and the observers distribute to " +
			"all routers. See docs/observers.md.",
	}
	cmd.AddCommand(
		newDocumentPutCommand(),
		newDocumentGetCommand(),
		newDocumentListCommand(),
		newDocumentHistoryCommand(),
		newDocumentRestoreCommand(),
		newDocumentDeleteCommand(),
		newConfigStatusCommand(),
	)
	return cmd
}

// checkDocument returns an error for a document that routers could not read: one that is too large,
// has an invalid name, or is not the TOML or JSON that the suffix of its name announces.
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
			return fmt.Errorf("%s: not valid JSON", name)
		}
	}
	return coord.CheckDocumentName(name)
}

// putDocument puts or deletes a document and prints its new revision.
func (c *coordinators) putDocument(cmd *cobra.Command, put coord.DocumentPut) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), commandTTL)
	defer cancel()
	return c.withSession(ctx, "", commandTTL, func(ctx context.Context, session *client.Client) error {
		revision, err := session.PutDocument(ctx, put)
		var rejected *client.RejectedError
		if errors.As(err, &rejected) && rejected.Code == coord.CodeConflict {
			return fmt.Errorf("%s; check it with 'config get' and use --expect %d", rejected.Text, rejected.Revision)
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s is at revision %d\n", put.Name, revision)
		return nil
	})
}

// documentHistory returns the stored changes of a document, oldest first. If there are none, it
// returns an error.
func (c *coordinators) documentHistory(ctx context.Context, name string) ([]watchlog.Change, error) {
	reader, err := c.reader()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTTL)
	defer cancel()
	history, err := reader.DocumentHistory(ctx, name)
	if err == nil && len(history) == 0 {
		err = fmt.Errorf("document %s: there is none", name)
	}
	return history, err
}

// changeAtRevision returns the change of a document at a revision; 0 means the newest. The history
// must not be empty.
func changeAtRevision(history []watchlog.Change, name string, revision uint64) (watchlog.Change, error) {
	if revision == 0 {
		return history[len(history)-1], nil
	}
	for _, change := range history {
		if change.Revision == revision {
			return change, nil
		}
	}
	return watchlog.Change{}, fmt.Errorf(
		"document %s: revision %d isn't kept; 'config history' lists those that are", name, revision)
}

func newDocumentPutCommand() *cobra.Command {
	var expected uint64
	return toolCommand{
		use:   "put NAME FILE",
		short: "Store a file as a document, if the document is still at the expected revision",
		args:  cobra.ExactArgs(2),
		flags: func(cmd *cobra.Command) {
			cmd.Flags().Uint64Var(&expected, "expect", 0,
				"the revision to replace; 0: the document must not exist yet")
		},
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			value, err := os.ReadFile(args[1])
			if err != nil {
				return err
			}
			if err := checkDocument(args[0], value); err != nil {
				return err
			}
			return c.putDocument(cmd, coord.DocumentPut{Name: args[0], Value: value, Expected: expected})
		},
	}.build()
}

func newDocumentDeleteCommand() *cobra.Command {
	var expected uint64
	return toolCommand{
		use:   "delete NAME",
		short: "Delete a document, if it is still at the expected revision",
		args:  cobra.ExactArgs(1),
		flags: func(cmd *cobra.Command) {
			cmd.Flags().Uint64Var(&expected, "expect", 0, "the revision to delete")
		},
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			return c.putDocument(cmd, coord.DocumentPut{Name: args[0], Delete: true, Expected: expected})
		},
	}.build()
}

func newDocumentGetCommand() *cobra.Command {
	var revision uint64
	return toolCommand{
		use:   "get NAME",
		short: "Print a document, and its revision to standard error",
		args:  cobra.ExactArgs(1),
		flags: func(cmd *cobra.Command) {
			cmd.Flags().Uint64Var(&revision, "revision", 0, "the revision to print; 0: the newest")
		},
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			history, err := c.documentHistory(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			change, err := changeAtRevision(history, args[0], revision)
			if err != nil {
				return err
			}
			if change.Deleted {
				return fmt.Errorf("document %s: deleted at revision %d", args[0], change.Revision)
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "revision %d\n", change.Revision)
			_, err = cmd.OutOrStdout().Write(change.Value)
			return err
		},
	}.build()
}

func newDocumentListCommand() *cobra.Command {
	return toolCommand{
		use:   "list [PREFIX]",
		short: "List the documents",
		args:  cobra.MaximumNArgs(1),
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			reader, err := c.reader()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), commandTTL)
			defer cancel()
			documents, err := reader.ListDocuments(ctx, strings.Join(args, ""))
			if err != nil {
				return err
			}
			w := newTable(cmd)
			fmt.Fprintln(w, "name\trevision\tbytes")
			for _, d := range documents {
				fmt.Fprintf(w, "%s\t%d\t%d\n", d.Name, d.Revision, d.Bytes)
			}
			return w.Flush()
		},
	}.build()
}

func newDocumentHistoryCommand() *cobra.Command {
	return toolCommand{
		use:   "history NAME",
		short: "List the stored revisions of a document, oldest first",
		args:  cobra.ExactArgs(1),
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			history, err := c.documentHistory(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			w := newTable(cmd)
			fmt.Fprintln(w, "revision\tbytes\tdeleted")
			for _, change := range history {
				fmt.Fprintf(w, "%d\t%d\t%t\n", change.Revision, len(change.Value), change.Deleted)
			}
			return w.Flush()
		},
	}.build()
}

func newDocumentRestoreCommand() *cobra.Command {
	return toolCommand{
		use:   "back NAME REVISION",
		short: "Restore an earlier revision of a document as a new revision",
		long: "Stores the content of an earlier revision that is still kept as a new revision. " +
			"If the document changes in the meantime, nothing is stored.",
		args: cobra.ExactArgs(2),
		run: func(cmd *cobra.Command, args []string, c *coordinators) error {
			revision, err := strconv.ParseUint(args[1], 10, 64)
			if err != nil || revision == 0 {
				return fmt.Errorf("%q is not a revision", args[1])
			}
			history, err := c.documentHistory(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			change, err := changeAtRevision(history, args[0], revision)
			if err != nil {
				return err
			}
			put := coord.DocumentPut{Name: args[0], Value: change.Value, Delete: change.Deleted}
			if newest := history[len(history)-1]; !newest.Deleted {
				put.Expected = newest.Revision
			}
			return c.putDocument(cmd, put)
		},
	}.build()
}
