package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/fleet"
)

// observerCostCommand measures what coordinators and observers cost while many routers watch,
// without faults.
func observerCostCommand() *cobra.Command {
	var routers []int
	var coordinators, observers, puts int
	cmd := &cobra.Command{Use: "observer-cost", Aliases: []string{"observe-cost"}, Args: cobra.NoArgs,
		Short: "Measure what coordinators and observers cost, and how long a change takes to reach all routers",
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := buildWithFaults(cmd.Context())
			if err != nil {
				return err
			}
			fmt.Println("| routers | all joined after s | leader: cores, MB | another: cores, MB" +
				" | busiest observer: cores, MB | commit to the last: p50, longest ms |")
			fmt.Println("| --- | --- | --- | --- | --- | --- |")
			for _, n := range routers {
				runDir, err := fleet.LogDir(os.TempDir(), "observe-cost")
				if err != nil {
					return err
				}
				m, err := fleet.MeasureObservers(cmd.Context(), coordinators, observers, n, puts,
					fleet.CoordinatorOptions{CoordinatorCommand: []string{dir + "/dockhinge-coord"}, Dir: runDir})
				os.RemoveAll(runDir)
				if err != nil {
					return err
				}
				fmt.Printf("| %d | %.1f | %.3f, %.0f | %.3f, %.0f | %.3f, %.0f | %.0f, %.0f |\n",
					m.Routers, m.JoinTime.Seconds(), m.Coordinators.LeaderCPU, m.Coordinators.LeaderMB,
					m.Coordinators.OtherCPU, m.Coordinators.OtherMB, m.Observer.CPUMS/1000, m.Observer.RSSMB,
					toMillis(m.P50), toMillis(m.Last))
			}
			return nil
		}}
	cmd.Flags().IntSliceVar(&routers, "routers", []int{100, 300, 1000}, "measure with these numbers of routers")
	cmd.Flags().IntVar(&coordinators, "coordinators", 5, "coordinators")
	cmd.Flags().IntVar(&observers, "observers", 2, "observers")
	cmd.Flags().IntVar(&puts, "puts", 20, "documents to put, one after the other")
	return cmd
}
