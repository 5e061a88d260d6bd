package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/hollow"
)

// hollowCommand measures real coordinators with increasing numbers of hollow routers.
func hollowCommand() *cobra.Command {
	var routers []int
	var out, why string
	var appendSteps bool
	o := hollow.Options{}
	cmd := &cobra.Command{Use: "hollow", Args: cobra.NoArgs,
		Short: "Measure what the control plane costs with many hollow routers",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := routerCommandLine(cmd.Context(), ""); err != nil { // builds the coordinators too
				return err
			}
			o.Command = coordinatorCommandLine()
			run, err := newRun(why, o, out, appendSteps)
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			run.WriteTableHeader(w)
			for _, n := range routers {
				step, err := playHollowStep(cmd, n, o)
				run.Steps = append(run.Steps, step)
				run.WriteTableRow(w, step)
				if step.RestartFailed != "" {
					fmt.Fprintf(w, "%d routers: %s\n", n, step.RestartFailed)
				}
				if err != nil {
					fmt.Fprintf(w, "%d routers: the step failed: %v\n", n, err)
					break
				}
			}
			return writeRun(w, run, out)
		}}
	cmd.Flags().IntSliceVar(&routers, "routers", []int{100, 300, 1000}, "numbers of hollow routers, one step each")
	cmd.Flags().IntVar(&o.Coordinators, "coordinators", 5, "coordinators")
	cmd.Flags().IntVar(&o.RegionRouters, "region-routers", 392, "routers in a region")
	cmd.Flags().IntVar(&o.RegionServers, "region-servers", 192,
		"cache servers in a region; each router of the region reports on all of them")
	cmd.Flags().DurationVar(&o.HeartbeatTimeout, "beat", time.Second,
		"how long a leader may be silent; longer than the coordinators' default, because all share one machine")
	cmd.Flags().DurationVar(&o.TTL, "ttl", 10*time.Second, "time to live of the routers' sessions")
	cmd.Flags().DurationVar(&o.Idle, "idle", 8*time.Second, "how long the fleet is measured at rest")
	cmd.Flags().IntVar(&o.Drains, "drains", 3, "number of server drains whose latency is measured")
	cmd.Flags().DurationVar(&o.Timeout, "patience", 40*time.Second,
		"timeout for all routers to reach the state that a step waits for")
	cmd.Flags().StringVar(&out, "out", "", "write the run as JSON to this file, for 'capacity --slopes'")
	cmd.Flags().BoolVar(&appendSteps, "onto", false, "append the steps to those already in the --out file")
	cmd.Flags().StringVar(&why, "why", "", "purpose of the run, stored in the file")
	return cmd
}

// newRun returns an empty run, or with appendSteps the run stored in the file at path, to be continued.
func newRun(why string, o hollow.Options, path string, appendSteps bool) (*hollow.Run, error) {
	run := hollow.NewRun(why, o)
	if !appendSteps {
		return run, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return run, json.Unmarshal(text, run)
}

// playHollowStep plays one step in a temporary directory of its own.
func playHollowStep(cmd *cobra.Command, n int, o hollow.Options) (hollow.Step, error) {
	dir, err := fleet.LogDir(os.TempDir(), "hollow")
	if err != nil {
		return hollow.Step{Routers: n}, err
	}
	defer os.RemoveAll(dir)
	o.Dir = dir
	return hollow.MeasureStep(cmd.Context(), n, o)
}

// writeRun fits the slopes and writes the run to path; an empty path writes nothing.
func writeRun(w io.Writer, run *hollow.Run, path string) error {
	if path == "" {
		return nil
	}
	if err := run.Fit(); err != nil {
		fmt.Fprintf(w, "no slopes: %v\n", err)
	}
	text, err := json.MarshalIndent(run, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	fmt.Fprintf(w, "written: %s\n", path)
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
