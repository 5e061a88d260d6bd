package main

import (
	"os"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/tally"
)

func tallyCommand() *cobra.Command {
	return &cobra.Command{Use: "tally DIR", Short: "Add up over a fleet what its routers' logs in DIR hold (routers with log.trace)",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			events, faults, err := tally.Dir(args[0])
			if err != nil {
				return err
			}
			tally.PrintFaults(os.Stderr, faults)
			tally.Count(events).Print(os.Stdout)
			return nil
		}}
}
