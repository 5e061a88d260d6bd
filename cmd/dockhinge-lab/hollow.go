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

// hollowCommand plays a ladder of hollow routers before real coordinators.
func hollowCommand() *cobra.Command {
	var routers []int
	var out, why string
	var onto bool
	o := hollow.Options{}
	cmd := &cobra.Command{Use: "hollow", Short: "What the control plane costs with so many hollow routers", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := routerCommand(cmd.Context(), ""); err != nil { // builds the coordinators too
				return err
			}
			o.Command = coordCommand()
			run, err := beginRun(why, o, out, onto)
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			run.WriteTableHeader(w)
			for _, n := range routers {
				step, err := hollowStep(cmd, n, o)
				run.Steps = append(run.Steps, step)
				run.WriteTableRow(w, step)
				if step.RestartFailed != "" {
					fmt.Fprintf(w, "%d routers: %s\n", n, step.RestartFailed)
				}
				if err != nil {
					fmt.Fprintf(w, "%d routers were not reached: %v\n", n, err)
					break
				}
			}
			return writeRun(w, run, out)
		}}
	cmd.Flags().IntSliceVar(&routers, "routers", []int{100, 300, 1000}, "the ladder's steps")
	cmd.Flags().IntVar(&o.Coordinators, "coordinators", 5, "coordinators")
	cmd.Flags().IntVar(&o.RegionRouters, "region-routers", 392, "routers of a region")
	cmd.Flags().IntVar(&o.RegionServers, "region-servers", 192, "cache servers of a region, which each of its routers reports")
	cmd.Flags().DurationVar(&o.HeartbeatTimeout, "beat", time.Second, "how long a leader may be silent: longer than the coordinators' own default, as all share one machine")
	cmd.Flags().DurationVar(&o.TTL, "ttl", 10*time.Second, "time to live of the routers' sessions")
	cmd.Flags().DurationVar(&o.Idle, "idle", 8*time.Second, "how long the fleet is measured at rest")
	cmd.Flags().IntVar(&o.Drains, "drains", 3, "drains of a server whose latency is measured")
	cmd.Flags().DurationVar(&o.Timeout, "patience", 40*time.Second, "for all routers to have what they wait for")
	cmd.Flags().StringVar(&out, "out", "", "write the run to this file, JSON, for 'capacity --slopes'")
	cmd.Flags().BoolVar(&onto, "onto", false, "add the steps to those that the file has")
	cmd.Flags().StringVar(&why, "why", "", "what the run is for, kept in the file")
	return cmd
}

// beginRun begins a ladder, or goes on with the one that a file has.
func beginRun(why string, o hollow.Options, path string, onto bool) (*hollow.Run, error) {
	run := hollow.NewRun(why, o)
	if !onto {
		return run, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return run, json.Unmarshal(text, run)
}

// hollowStep plays one step with directories of its own.
func hollowStep(cmd *cobra.Command, n int, o hollow.Options) (hollow.Step, error) {
	dir, err := fleet.LogDir(os.TempDir(), "hollow")
	if err != nil {
		return hollow.Step{Routers: n}, err
	}
	defer os.RemoveAll(dir)
	o.Dir = dir
	return hollow.MeasureStep(cmd.Context(), n, o)
}

// writeRun writes a run to a file, where one is named.
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
