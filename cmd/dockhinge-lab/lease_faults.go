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

// agree plays coordinators and leaseholders with faults between them.
func agree() *cobra.Command {
	var file, name, logs, mutant string
	var seeds, from uint64
	var side int
	var say, first bool
	cmd := &cobra.Command{Use: "lease-faults", Aliases: []string{"agree"}, Short: "Coordinators and leaseholders, with faults between them", Args: cobra.NoArgs,
		Long: "Starts coordinators, leaseholders and a stand-in resource as processes, lets everything between them fail as each seed has\n" +
			"it, and judges whether two holders ever acted at once. With --mutant a fault is planted in the program, and the exit is 0\n" +
			"where it was found. The programs are built with the tags faults and mutants into bin/faults.",
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
			dir, err := faultsBuild(cmd.Context())
			if err != nil {
				return err
			}
			o := fleet.CoordinatorOptions{CoordinatorCommand: []string{filepath.Join(dir, "dockhinge-coord")}, LabCommand: []string{filepath.Join(dir, "dockhinge-lab")}}
			if mutant != "" {
				o.Env = []string{"DOCKHINGE_MUTANT=" + mutant}
			}
			if say {
				o.Logf = func(form string, v ...any) { fmt.Printf(form+"\n", v...) }
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			room := make(chan struct{}, max(1, side))
			var bad, claims, ops, acts, refused, grants, faults, undecided int
			healed := 0.0
			kinds := map[string]int{}
			var foundBy []uint64
			ctx, stop := context.WithCancel(cmd.Context())
			defer stop()
			for seed := from; seed < from+seeds; seed++ {
				select {
				case room <- struct{}{}:
				case <-ctx.Done():
				}
				if ctx.Err() != nil {
					break
				}
				wg.Go(func() {
					defer func() { <-room }()
					g, p := f, o
					g.Seed = seed
					into := logs
					if into == "" {
						into = os.TempDir()
					}
					var err error
					if p.Dir, err = fleet.LogDir(into, fmt.Sprintf("agree-%d", seed)); err != nil {
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
					faults, claims, ops, acts, refused, grants, undecided = faults+res.Faults, claims+res.Claims, ops+res.Operations, acts+res.Acts,
						refused+res.Refused, grants+res.Grants, undecided+len(res.Undecided)
					healed = max(healed, res.RecoverySeconds)
					for _, b := range res.Breaches {
						kinds[b.Rule]++
					}
					if len(res.Failures) > 0 {
						bad++
						if len(res.Breaches) > 0 {
							foundBy = append(foundBy, seed)
						}
						fmt.Printf("seed %d: %s\n", seed, strings.Join(res.Failures, "; "))
						if first && len(res.Breaches) > 0 {
							stop()
						}
					} else if !say {
						fmt.Fprintf(os.Stderr, "seed %d: %d faults, %d grants, %d claims, %d acts (%d refused), healed after %.1f s, undecided %v\n", seed,
							res.Faults, res.Grants, res.Claims, res.Acts, res.Refused, res.RecoverySeconds, res.Undecided)
					}
					if logs == "" && (len(res.Failures) == 0 || mutant != "") {
						os.RemoveAll(p.Dir)
					} else {
						fmt.Println("logs in", p.Dir)
					}
				})
			}
			wg.Wait()
			fmt.Printf("| seeds | not held | breaches | faults | grants | claims | commands | acts | refused | undecided | healed at most |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
			fmt.Printf("| %d to %d | %d | %v | %d | %d | %d | %d | %d | %d | %d | %.1f s |\n", from, from+seeds-1, bad, kinds, faults, grants, claims, ops, acts, refused, undecided, healed)
			if mutant != "" {
				fmt.Printf("mutant %s: found by seeds %v\n", mutant, foundBy)
				if len(foundBy) == 0 {
					return errHeldNot
				}
				return nil
			}
			if bad > 0 {
				return errHeldNot
			}
			return cmd.Context().Err()
		}}
	cmd.Flags().StringVar(&name, "scenario", "leases", "a shipped scenario of coordinators and holders: leases, slow")
	cmd.Flags().StringVar(&file, "file", "", "another scenario, a file")
	cmd.Flags().StringVar(&logs, "logs", "", "keep all logs in this directory (default: those of seeds that did not hold, in a temporary one)")
	cmd.Flags().StringVar(&mutant, "mutant", "", "plant this fault: see docs/agreement-design.md")
	cmd.Flags().Uint64Var(&seeds, "seeds", 1, "how many")
	cmd.Flags().Uint64Var(&from, "from", 1, "the first one")
	cmd.Flags().IntVar(&side, "side", 1, "so many side by side")
	cmd.Flags().BoolVar(&say, "say", false, "print what happens")
	cmd.Flags().BoolVar(&first, "first", false, "end at the first breach")
	return cmd
}

// mutantsBuild builds router and coordinator so that faults can be planted, and tells the commands that start them.
func mutantsBuild(ctx context.Context) (router, coord []string, err error) {
	dir, err := filepath.Abs("bin/mutants")
	if err != nil {
		return nil, nil, err
	}
	build := exec.CommandContext(ctx, "go", "build", "-tags", "mutants", "-o", dir+"/", "./cmd/dockhinge-coord", "./cmd/dockhinge")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return nil, nil, fmt.Errorf("building the programs with faults (run it in the repository): %w", err)
	}
	return []string{filepath.Join(dir, "dockhinge"), "serve"}, []string{filepath.Join(dir, "dockhinge-coord")}, nil
}

// faultsBuild builds the programs with faults.
func faultsBuild(ctx context.Context) (string, error) {
	dir, err := filepath.Abs("bin/faults")
	if err != nil {
		return "", err
	}
	build := exec.CommandContext(ctx, "go", "build", "-tags", "faults,mutants", "-o", dir+"/", "./cmd/dockhinge-coord", "./cmd/dockhinge-lab")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("building the programs with faults (run it in the repository): %w", err)
	}
	return dir, nil
}

func holderCommand() *cobra.Command {
	return &cobra.Command{Use: "holder FILE", Short: "A leaseholder of the rig", Args: cobra.ExactArgs(1), Hidden: true,
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
	return &cobra.Command{Use: "resource ADDR LOG", Short: "What the rig's holders act on", Args: cobra.ExactArgs(2), Hidden: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			return fleet.RunResource(cmd.Context(), args[0], args[1])
		}}
}
