package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/scenario"
)

// leaseFaultsCommand runs coordinators and leaseholders and injects faults between them.
func leaseFaultsCommand() *cobra.Command {
	var file, name, logs, mutant string
	var seeds, from uint64
	var concurrentRuns int
	var isVerbose, stopAtFirst bool
	cmd := &cobra.Command{Use: "lease-faults", Aliases: []string{"agree"}, Args: cobra.NoArgs,
		Short: "Run coordinators and leaseholders with injected faults",
		Long: "Starts coordinators, leaseholders and a simulated resource as processes, injects the faults\n" +
			"drawn from each seed, and checks that two holders never acted at the same time. With --mutant\n" +
			"the programs contain a deliberate bug, and the exit status is 0 if it was detected. The programs\n" +
			"are built with the tags faults and mutants into bin/faults.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, err := scenario.LoadAgreement(name)
			if err == nil && file != "" {
				var text []byte
				if text, err = os.ReadFile(file); err == nil {
					f, err = scenario.ParseAgreement(file, text)
				}
			}
			if err != nil {
				return err
			}
			dir, err := buildWithFaults(cmd.Context())
			if err != nil {
				return err
			}
			o := fleet.CoordinatorOptions{
				CoordinatorCommand: []string{filepath.Join(dir, "dockhinge-coord")},
				LabCommand:         []string{filepath.Join(dir, "dockhinge-lab")}}
			if mutant != "" {
				o.Env = []string{"DOCKHINGE_MUTANT=" + mutant}
			}
			if isVerbose {
				o.Logf = func(form string, v ...any) { fmt.Printf(form+"\n", v...) }
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			slots := make(chan struct{}, max(1, concurrentRuns))
			var failed, claims, ops, acts, refused, grants, faults, undecided int
			maxRecoverySeconds := 0.0
			breachesByRule := map[string]int{}
			var detectingSeeds []uint64
			ctx, stop := context.WithCancel(cmd.Context())
			defer stop()
			for seed := from; seed < from+seeds; seed++ {
				select {
				case slots <- struct{}{}:
				case <-ctx.Done():
				}
				if ctx.Err() != nil {
					break
				}
				wg.Go(func() {
					defer func() { <-slots }()
					g, p := f, o
					g.Seed = seed
					parent := logs
					if parent == "" {
						parent = os.TempDir()
					}
					var err error
					if p.Dir, err = fleet.LogDir(parent, fmt.Sprintf("agree-%d", seed)); err != nil {
						fmt.Fprintln(os.Stderr, err)
						return
					}
					res, err := fleet.RunLeaseFaults(ctx, g, p)
					mu.Lock()
					defer mu.Unlock()
					if ctx.Err() != nil {
						os.RemoveAll(p.Dir)
						return
					}
					if err != nil {
						res.Failures = append(res.Failures, err.Error())
					}
					faults, claims, ops, acts, refused, grants, undecided = faults+res.Faults, claims+res.Claims,
						ops+res.Operations, acts+res.Acts, refused+res.Refused, grants+res.Grants,
						undecided+len(res.Undecided)
					maxRecoverySeconds = max(maxRecoverySeconds, res.RecoverySeconds)
					for _, b := range res.Breaches {
						breachesByRule[b.Rule]++
					}
					if len(res.Failures) > 0 {
						failed++
						if len(res.Breaches) > 0 {
							detectingSeeds = append(detectingSeeds, seed)
						}
						fmt.Printf("seed %d: %s\n", seed, strings.Join(res.Failures, "; "))
						if stopAtFirst && len(res.Breaches) > 0 {
							stop()
						}
					} else if !isVerbose {
						fmt.Fprintf(os.Stderr, "seed %d: %d faults, %d grants, %d claims, %d acts (%d refused),"+
							" recovered after %.1f s, undecided %v\n", seed,
							res.Faults, res.Grants, res.Claims, res.Acts, res.Refused,
							res.RecoverySeconds, res.Undecided)
					}
					if logs == "" && (len(res.Failures) == 0 || mutant != "") {
						os.RemoveAll(p.Dir)
					} else {
						fmt.Println("logs in", p.Dir)
					}
				})
			}
			wg.Wait()
			fmt.Printf("| seeds | not held | breaches | faults | grants | claims | commands | acts | refused" +
				" | undecided | healed at most |\n" +
				"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
			fmt.Printf("| %d to %d | %d | %v | %d | %d | %d | %d | %d | %d | %d | %.1f s |\n",
				from, from+seeds-1, failed, breachesByRule, faults, grants, claims, ops, acts, refused, undecided,
				maxRecoverySeconds)
			if mutant != "" {
				fmt.Printf("mutant %s: found by seeds %v\n", mutant, detectingSeeds)
				if len(detectingSeeds) == 0 {
					return errExpectationFailed
				}
				return nil
			}
			if failed > 0 {
				return errExpectationFailed
			}
			return cmd.Context().Err()
		}}
	cmd.Flags().StringVar(&name, "scenario", "leases", "a shipped scenario of coordinators and holders: leases or slow")
	cmd.Flags().StringVar(&file, "file", "", "read the scenario from this file instead")
	cmd.Flags().StringVar(&logs, "logs", "",
		"keep all logs in this directory (default: keep those of failed seeds in a temporary one)")
	cmd.Flags().StringVar(&mutant, "mutant", "", "activate this deliberate bug: see docs/agreement-design.md")
	cmd.Flags().Uint64Var(&seeds, "seeds", 1, "number of seeds")
	cmd.Flags().Uint64Var(&from, "from", 1, "the first seed")
	cmd.Flags().IntVar(&concurrentRuns, "side", 1, "runs at a time")
	cmd.Flags().BoolVar(&isVerbose, "say", false, "print each event")
	cmd.Flags().BoolVar(&stopAtFirst, "first", false, "stop at the first breach")
	return cmd
}

// buildWithMutants builds router and coordinator with the tag mutants, which compiles in deliberate
// bugs that an environment variable activates, and returns the commands that start them.
func buildWithMutants(ctx context.Context) (router, coord []string, err error) {
	dir, err := filepath.Abs("bin/mutants")
	if err != nil {
		return nil, nil, err
	}
	build := exec.CommandContext(ctx, "go", "build", "-tags", "mutants", "-o", dir+"/",
		"./cmd/dockhinge-coord", "./cmd/dockhinge")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return nil, nil, fmt.Errorf("building the programs with faults (run it in the repository): %w", err)
	}
	return []string{filepath.Join(dir, "dockhinge"), "serve"}, []string{filepath.Join(dir, "dockhinge-coord")}, nil
}

// buildWithFaults builds the coordinator and this program with the tags faults and mutants, and
// returns the directory of the programs.
func buildWithFaults(ctx context.Context) (string, error) {
	dir, err := filepath.Abs("bin/faults")
	if err != nil {
		return "", err
	}
	build := exec.CommandContext(ctx, "go", "build", "-tags", "faults,mutants", "-o", dir+"/",
		"./cmd/dockhinge-coord", "./cmd/dockhinge-lab")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("building the programs with faults (run it in the repository): %w", err)
	}
	return dir, nil
}

func holderCommand() *cobra.Command {
	return &cobra.Command{Use: "holder FILE", Args: cobra.ExactArgs(1), Hidden: true,
		Short: "Run one leaseholder of lease-faults",
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var cfg fleet.HolderConfig
			if err := json.Unmarshal(text, &cfg); err != nil {
				return err
			}
			return fleet.RunHolder(cmd.Context(), cfg)
		}}
}

func resourceCommand() *cobra.Command {
	return &cobra.Command{Use: "resource ADDR LOG", Short: "Run the resource that the leaseholders act on",
		Args: cobra.ExactArgs(2), Hidden: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			return fleet.RunResource(cmd.Context(), args[0], args[1])
		}}
}
