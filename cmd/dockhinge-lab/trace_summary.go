package main

import (
	"os"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/traceanalysis"
)

func tallyCommand() *cobra.Command {
	return &cobra.Command{Use: "trace-summary DIR", Aliases: []string{"tally"}, Short: "Add up over a fleet what its routers' logs in DIR hold (routers with log.trace)",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			events, faults, err := traceanalysis.Dir(args[0])
			if err != nil {
				return err
			}
			traceanalysis.PrintFaults(os.Stderr, faults)
			traceanalysis.Count(events).Print(os.Stdout)
			return nil
		}}
}
