package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/regression"
)

func dutyCommand() *cobra.Command {
	var kit, site, since, why, journal string
	var others []string
	var seed int64
	var full, only bool
	cmd := &cobra.Command{Use: "regression --kit DIR --site FILE --why TEXT", Aliases: []string{"duty"}, Short: "Play what the standing test asks of this change, and say what fell",
		Args: cobra.NoArgs,
		Long: "Looks at what differs from --since, runs the operators' programs that it calls for, one after the other, from the\n" +
			"repository's root, and compares what they write to the journal with the last run of the same days: a figure that fell by\n" +
			"more than 0.03, a broken rule, a crash or a failed gate end it with 3. The files must not change meanwhile: run it in a\n" +
			"second worktree. docs/regression.md tells what to do then.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			changed, err := changedSince(cmd.Context(), since)
			if err != nil {
				return err
			}
			due, began, held := regression.Plan(changed, regression.Options{Full: full, Seed: cmp.Or(seed, time.Now().Unix()), Others: others}), time.Now(), true
			if len(due) == 0 {
				fmt.Println("nothing that the router is built from has changed")
				return nil
			}
			for _, p := range due {
				line := p.Command(kit, site, why)
				fmt.Println(p.Name+":", strings.Join(line, " "))
				if only {
					continue
				}
				c := exec.CommandContext(cmd.Context(), line[0], line[1:]...)
				c.Stdout, c.Stderr = os.Stdout, os.Stderr
				if err := c.Run(); err != nil { // the others still play, but what did not end well holds nothing
					held = false
					fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
				}
			}
			if only {
				return nil
			}
			runs, err := regression.Read(journal)
			if err != nil {
				return err
			}
			for _, v := range regression.Judge(runs, began) {
				is, _ := v.Figure()
				was := "for the first time"
				if v.Before != nil {
					f, _ := v.Before.Figure()
					was = fmt.Sprintf("%.3f before (%s)", f, v.Before.ID)
				}
				fmt.Printf("%s: %.3f, %s\n", v.Panel, is, was)
				for _, text := range append(v.Broken, v.Fell...) {
					fmt.Println("  ", text)
				}
				held = held && !v.Bad()
			}
			if !held {
				return errHeldNot
			}
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&kit, "kit", "", "directory of the operators' programs")
	f.StringVar(&site, "site", "", "site file")
	f.StringVar(&why, "why", "", "what changed, one sentence under 120 characters")
	f.StringVar(&since, "since", "HEAD~1", "what the change is compared with")
	f.StringVar(&journal, "journal", "journal", "where the programs leave their figures")
	f.StringSliceVar(&others, "other", ownSites(), "site files of other deployments, which see the quick days and the narrow moments too")
	f.Int64Var(&seed, "seed", 0, "of the narrow moments; 0 = other days each time")
	f.BoolVar(&full, "full", false, "the standing test in full, with soak: up to an hour")
	f.BoolVar(&only, "list", false, "say what is due, and run nothing")
	for _, name := range []string{"kit", "site", "why"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

// ownSites are the deployments that the repository itself holds.
func ownSites() []string {
	sites, _ := filepath.Glob("deploy/sites/*.toml") // it fails only where the pattern is malformed
	return sites
}

// changedSince lists the files that differ from a revision, those not committed yet too.
func changedSince(ctx context.Context, rev string) ([]string, error) {
	var all []string
	for _, args := range [][]string{{"diff", "--name-only", rev}, {"ls-files", "--others", "--exclude-standard"}} {
		var said bytes.Buffer
		c := exec.CommandContext(ctx, "git", args...)
		c.Stderr = &said
		out, err := c.Output()
		if err != nil {
			return nil, fmt.Errorf("--since %s: %w: %s", rev, err, strings.TrimSpace(said.String()))
		}
		all = append(all, strings.Fields(string(out))...)
	}
	return all, nil
}
