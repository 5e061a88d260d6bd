package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/fleet"
)

// observeCost measures coordinators and observers with routers that watch, without faults.
func observeCost() *cobra.Command {
	var routers []int
	var coordinators, observers, puts int
	cmd := &cobra.Command{Use: "observer-cost", Aliases: []string{"observe-cost"}, Short: "What coordinators and observers cost with routers that watch, and how long a change takes to the last", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := faultsBuild(cmd.Context())
			if err != nil {
				return err
			}
			fmt.Println("| routers | all joined after s | leader: cores, MB | another: cores, MB | busiest observer: cores, MB | commit to the last: p50, longest ms |")
			fmt.Println("| --- | --- | --- | --- | --- | --- |")
			for _, n := range routers {
				into, err := fleet.LogDir(os.TempDir(), "observe-cost")
				if err != nil {
					return err
				}
				m, err := fleet.MeasureObservers(cmd.Context(), coordinators, observers, n, puts, fleet.CoordinatorOptions{CoordinatorCommand: []string{dir + "/dockhinge-coord"}, Dir: into})
				os.RemoveAll(into)
				if err != nil {
					return err
				}
				fmt.Printf("| %d | %.1f | %.3f, %.0f | %.3f, %.0f | %.3f, %.0f | %.0f, %.0f |\n", m.Routers, m.JoinTime.Seconds(), m.Coordinators.LeaderCPU, m.Coordinators.LeaderMB,
					m.Coordinators.OtherCPU, m.Coordinators.OtherMB, m.Observer.CPUMS/1000, m.Observer.RSSMB, ms(m.P50), ms(m.Last))
			}
			return nil
		}}
	cmd.Flags().IntSliceVar(&routers, "routers", []int{100, 300, 1000}, "measure with these numbers of routers")
	cmd.Flags().IntVar(&coordinators, "coordinators", 5, "coordinators")
	cmd.Flags().IntVar(&observers, "observers", 2, "observers")
	cmd.Flags().IntVar(&puts, "puts", 20, "documents put, one after the other")
	return cmd
}
