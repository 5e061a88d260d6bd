package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/fleet"
)

// leaseCostCommand measures what coordinators cost without faults, and how long a fail-over takes.
func leaseCostCommand() *cobra.Command {
	var clients []int
	var beat string
	var leases, coordinators, kills, deaths, version int
	cmd := &cobra.Command{Use: "lease-cost", Aliases: []string{"agree-cost"}, Args: cobra.NoArgs,
		Short: "Measure what coordinators cost and how long a fail-over takes",
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := buildWithFaults(cmd.Context())
			if err != nil {
				return err
			}
			options := func() (fleet.CoordinatorOptions, error) {
				runDir, err := fleet.LogDir(os.TempDir(), "agree-cost")
				return fleet.CoordinatorOptions{
					CoordinatorCommand: []string{dir + "/dockhinge-coord"},
					LabCommand:         []string{dir + "/dockhinge-lab"},
					Dir:                runDir, HeartbeatInterval: beat, Version: version}, err
			}
			if len(clients) > 0 {
				fmt.Println("| clients | leases | all held after s | commands a s | p50 ms | p99 ms" +
					" | fsync p50, p99 ms | leader: cores, MB (idle) | (busy) | other: cores, MB (idle) | (busy)" +
					" | keep-alive bytes a s and client |")
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
				fmt.Printf("| %d | %d (%d failed) | %.1f | %.0f | %.1f | %.1f | %.1f, %.1f"+
					" | %.2f, %.0f | %.2f, %.0f | %.2f, %.0f | %.2f, %.0f | %.0f |\n",
					m.Clients, m.Leases, m.Failed, m.SessionsOpenAfter.Seconds(), m.CommandsPerSecond,
					toMillis(m.P50), toMillis(m.P99), m.Busy.FsyncP50, m.Busy.FsyncP99,
					m.Idle.LeaderCPU, m.Idle.LeaderMB, m.Busy.LeaderCPU, m.Busy.LeaderMB,
					m.Idle.OtherCPU, m.Idle.OtherMB, m.Busy.OtherCPU, m.Busy.OtherMB, m.IdleBytesPerSecond)
				if m.Refused > 0 {
					fmt.Printf("%d of %d clients got no session; the reason given to one of them: %s\n",
						m.Refused, m.Clients, m.RefusalReason)
				}
			}
			if kills > 0 {
				o, err := options()
				if err != nil {
					return err
				}
				took, err := fleet.MeasureFailover(cmd.Context(), coordinators, kills, o)
				os.RemoveAll(o.Dir)
				printDurations("leader killed until a lease is acquired again", took)
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
				printDurations(fmt.Sprintf("holder cut off until its lease (%v) is held by another", ttl), took)
				if err != nil {
					return err
				}
			}
			return nil
		}}
	cmd.Flags().IntSliceVar(&clients, "clients", nil,
		"measure the cost with these numbers of clients, such as 30,300,3000")
	cmd.Flags().IntVar(&leases, "leases", 1000, "leases that the clients hold")
	cmd.Flags().IntVar(&coordinators, "coordinators", 5, "coordinators")
	cmd.Flags().IntVar(&version, "version", 0,
		"version of commands and limits in force, such as 3, which allows 4,096 sessions (default: this program's)")
	cmd.Flags().StringVar(&beat, "beat", "", "the coordinators' heartbeat interval, such as 300ms (default: their own)")
	cmd.Flags().IntVar(&kills, "kills", 0, "number of times to kill the leader")
	cmd.Flags().IntVar(&deaths, "deaths", 0, "number of lease holders to cut off")
	return cmd
}

func toMillis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// printDurations prints percentiles of the measured durations; it sorts took in place.
func printDurations(what string, took []time.Duration) {
	if len(took) == 0 {
		return
	}
	slices.Sort(took)
	fmt.Printf("%s: %d times, p50 %.0f ms, p90 %.0f, p99 %.0f, most %.0f\n", what, len(took),
		toMillis(took[len(took)/2]), toMillis(took[len(took)*9/10]),
		toMillis(took[len(took)*99/100]), toMillis(took[len(took)-1]))
}
