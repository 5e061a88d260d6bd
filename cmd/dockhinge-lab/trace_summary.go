package main

import (
	"os"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/traceanalysis"
)

func traceSummaryCommand() *cobra.Command {
	return &cobra.Command{Use: "trace-summary DIR", Aliases: []string{"tally"}, Args: cobra.ExactArgs(1),
		Short: "Sum up the traces in the logs of a fleet's routers in DIR (routers with log.trace)",
		RunE: func(_ *cobra.Command, args []string) error {
			events, lineErrors, err := traceanalysis.ReadDir(args[0])
			if err != nil {
				return err
			}
			traceanalysis.PrintLineErrors(os.Stderr, lineErrors)
			traceanalysis.Count(events).Print(os.Stdout)
			return nil
		}}
}
