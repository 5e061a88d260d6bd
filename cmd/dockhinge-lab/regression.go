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

func regressionCommand() *cobra.Command {
	var kit, site, since, why, journal string
	var others []string
	var seed int64
	var full, listOnly bool
	cmd := &cobra.Command{Use: "regression --kit DIR --site FILE --why TEXT", Aliases: []string{"duty"},
		Args:  cobra.NoArgs,
		Short: "Run the regression programs that the current change requires and report what got worse",
		Long: "Lists the files that differ from --since, runs the operators' programs that these files require,\n" +
			"one after the other, from the repository's root, and compares the results in the journal with\n" +
			"the last run of the same days. The exit status is 3 if a score fell by more than 0.03, a rule\n" +
			"was broken, a program crashed or the gate failed; docs/regression.md describes what to do then.\n" +
			"The files must not change during the run: use a second worktree.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			changed, err := listChangedFiles(cmd.Context(), since)
			if err != nil {
				return err
			}
			due, began, hasPassed := regression.Plan(changed, regression.Options{
				Full: full, Seed: cmp.Or(seed, time.Now().Unix()), Others: others}), time.Now(), true
			if len(due) == 0 {
				fmt.Println("no file that the router is built from has changed")
				return nil
			}
			for _, p := range due {
				command := p.Command(kit, site, why)
				fmt.Println(p.Name+":", strings.Join(command, " "))
				if listOnly {
					continue
				}
				c := exec.CommandContext(cmd.Context(), command[0], command[1:]...)
				c.Stdout, c.Stderr = os.Stdout, os.Stderr
				if err := c.Run(); err != nil { // the other programs still run, but the check has failed
					hasPassed = false
					fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
				}
			}
			if listOnly {
				return nil
			}
			runs, err := regression.Read(journal)
			if err != nil {
				return err
			}
			for _, v := range regression.CompareRuns(runs, began) {
				score, _ := v.Figure()
				previous := "for the first time"
				if v.Before != nil {
					f, _ := v.Before.Figure()
					previous = fmt.Sprintf("%.3f before (%s)", f, v.Before.ID)
				}
				fmt.Printf("%s: %.3f, %s\n", v.Panel, score, previous)
				for _, text := range append(v.Broken, v.Decreases...) {
					fmt.Println("  ", text)
				}
				hasPassed = hasPassed && !v.HasFailed()
			}
			if !hasPassed {
				return errExpectationFailed
			}
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&kit, "kit", "", "directory of the operators' programs")
	f.StringVar(&site, "site", "", "site file")
	f.StringVar(&why, "why", "", "what changed, in one sentence under 120 characters")
	f.StringVar(&since, "since", "HEAD~1", "revision that the change is compared with")
	f.StringVar(&journal, "journal", "journal", "directory to which the programs write their results")
	f.StringSliceVar(&others, "other", repositorySites(),
		"site files of other deployments, for which the quick days and the brink days are played too")
	f.Int64Var(&seed, "seed", 0, "seed of the brink days; 0 = other days each time")
	f.BoolVar(&full, "full", false, "run the full regression test with soak: up to an hour")
	f.BoolVar(&listOnly, "list", false, "print the programs that the change requires and run none")
	for _, name := range []string{"kit", "site", "why"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

// repositorySites returns the site files of the deployments in this repository.
func repositorySites() []string {
	sites, _ := filepath.Glob("deploy/sites/*.toml") // fails only if the pattern is malformed
	return sites
}

// listChangedFiles returns the files that differ from a revision, including uncommitted and
// untracked ones.
func listChangedFiles(ctx context.Context, rev string) ([]string, error) {
	var all []string
	for _, args := range [][]string{{"diff", "--name-only", rev}, {"ls-files", "--others", "--exclude-standard"}} {
		var stderr bytes.Buffer
		c := exec.CommandContext(ctx, "git", args...)
		c.Stderr = &stderr
		out, err := c.Output()
		if err != nil {
			return nil, fmt.Errorf("--since %s: %w: %s", rev, err, strings.TrimSpace(stderr.String()))
		}
		all = append(all, strings.Fields(string(out))...)
	}
	return all, nil
}
