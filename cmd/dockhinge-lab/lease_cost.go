package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/fleet"
)

// agreeCost measures coordinators without faults, and how long it takes until the fleet goes on after one.
func agreeCost() *cobra.Command {
	var clients []int
	var beat string
	var leases, coordinators, kills, deaths, version int
	cmd := &cobra.Command{Use: "lease-cost", Aliases: []string{"agree-cost"}, Short: "What coordinators cost, and how long a fail-over takes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := faultsBuild(cmd.Context())
			if err != nil {
				return err
			}
			options := func() (fleet.CoordinatorOptions, error) {
				into, err := fleet.LogDir(os.TempDir(), "agree-cost")
				return fleet.CoordinatorOptions{CoordinatorCommand: []string{dir + "/dockhinge-coord"}, LabCommand: []string{dir + "/dockhinge-lab"}, Dir: into, HeartbeatInterval: beat, Version: version}, err
			}
			if len(clients) > 0 {
				fmt.Println("| clients | leases | all held after s | commands a s | p50 ms | p99 ms | fsync p50, p99 ms | leader: cores, MB (idle) | (busy) | other: cores, MB (idle) | (busy) | keep-alive bytes a s and client |")
				fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
			}
			for _, n := range clients {
				o, err := options()
				if err != nil {
					return err
				}
				m, err := fleet.MeasureCoordinators(cmd.Context(), coordinators, n, leases, o)
				os.RemoveAll(o.Dir)
				if err != nil {
					return err
				}
				fmt.Printf("| %d | %d (%d failed) | %.1f | %.0f | %.1f | %.1f | %.1f, %.1f | %.2f, %.0f | %.2f, %.0f | %.2f, %.0f | %.2f, %.0f | %.0f |\n", m.Clients, m.Leases, m.Failed, m.SessionsOpenAfter.Seconds(), m.CommandsPerSecond,
					ms(m.P50), ms(m.P99), m.Busy.FsyncP50, m.Busy.FsyncP99, m.Idle.LeaderCPU, m.Idle.LeaderMB, m.Busy.LeaderCPU, m.Busy.LeaderMB,
					m.Idle.OtherCPU, m.Idle.OtherMB, m.Busy.OtherCPU, m.Busy.OtherMB, m.IdleBytesPerSecond)
				if m.Refused > 0 {
					fmt.Printf("%d of %d clients had no session; one was told: %s\n", m.Refused, m.Clients, m.RefusalReason)
				}
			}
			if kills > 0 {
				o, err := options()
				if err != nil {
					return err
				}
				took, err := fleet.MeasureFailover(cmd.Context(), coordinators, kills, o)
				os.RemoveAll(o.Dir)
				tell("leader killed until a lease is acquired again", took)
				if err != nil {
					return err
				}
			}
			if deaths > 0 {
				o, err := options()
				if err != nil {
					return err
				}
				const ttl = 2 * time.Second
				took, err := fleet.MeasureLeaseTakeover(cmd.Context(), coordinators, deaths, ttl, o)
				os.RemoveAll(o.Dir)
				tell(fmt.Sprintf("holder cut off until its lease (%v) is held by another", ttl), took)
				if err != nil {
					return err
				}
			}
			return nil
		}}
	cmd.Flags().IntSliceVar(&clients, "clients", nil, "measure the cost with these numbers of clients, as 30,300,3000")
	cmd.Flags().IntVar(&leases, "leases", 1000, "leases that they hold")
	cmd.Flags().IntVar(&coordinators, "coordinators", 5, "coordinators")
	cmd.Flags().IntVar(&version, "version", 0, "the version of commands and bounds in force, as 3, whose bound is 4,096 sessions (default: this program's)")
	cmd.Flags().StringVar(&beat, "beat", "", "the coordinators' beat, as 300ms (default: their own)")
	cmd.Flags().IntVar(&kills, "kills", 0, "kill the leader so many times")
	cmd.Flags().IntVar(&deaths, "deaths", 0, "cut off so many holders")
	return cmd
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func tell(what string, took []time.Duration) {
	if len(took) == 0 {
		return
	}
	slices.Sort(took)
	fmt.Printf("%s: %d times, p50 %.0f ms, p90 %.0f, p99 %.0f, most %.0f\n", what, len(took), ms(took[len(took)/2]), ms(took[len(took)*9/10]),
		ms(took[len(took)*99/100]), ms(took[len(took)-1]))
}
