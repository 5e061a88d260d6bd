package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/capacity"
	"dockhinge.example/dockhinge/lab/scalingfit"
)

// capacityCommand writes the tables of docs/CAPACITY.md from sizes and measured slopes.
func capacityCommand() *cobra.Command {
	var set []string
	var sizesFile, slopesFile, page, plotDir string
	cmd := &cobra.Command{
		Use: "capacity", Short: "Compute what a fleet of a given size costs from measured slopes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			sizes, err := readSizes(sizesFile)
			if err != nil {
				return err
			}
			if err := sizes.Set(set); err != nil {
				return err
			}
			text, err := os.ReadFile(slopesFile)
			if err != nil {
				return err
			}
			lines, err := scalingfit.Read(text)
			if err != nil {
				return fmt.Errorf("%s: %w", slopesFile, err)
			}
			if plotDir != "" {
				return plotLines(plotDir, lines)
			}
			m := capacity.NewModel(sizes, lines)
			if page != "" {
				return capacity.UpdatePage(page, m, lines)
			}
			capacity.WriteAll(cmd.OutOrStdout(), m, lines)
			return nil
		}}
	cmd.Flags().StringArrayVar(&set, "set", nil, "KEY=VALUE of a size to change")
	cmd.Flags().StringVar(&sizesFile, "sizes", "", "file of sizes (default: the built-in lab/capacity/sizes.toml)")
	cmd.Flags().StringVar(&slopesFile, "slopes", "lab/capacity/slopes.json", "the file that 'hollow --out' wrote")
	cmd.Flags().StringVar(&plotDir, "plot", "", "draw the lines into SVG files in this directory instead")
	cmd.Flags().StringVar(&page, "page", "", "write the tables into this page between its markers")
	return cmd
}

// plotLines writes the plots of docs/CAPACITY.md as SVG files into dir.
func plotLines(dir string, lines []scalingfit.Line) error {
	return errors.Join(
		capacity.Plot(filepath.Join(dir, "capacity-rest.svg"), "Processor time of coordinators at rest", lines,
			"rest.leader.cores", "rest.voter.cores"),
		capacity.Plot(filepath.Join(dir, "capacity-drain.svg"), "Time until routers have a drain", lines,
			"drain.p50", "drain.p99", "drain.last"))
}

// readSizes reads a file of sizes, or the built-in ones if path is empty.
func readSizes(path string) (capacity.Sizes, error) {
	if path == "" {
		return capacity.ShippedSizes()
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return capacity.Sizes{}, err
	}
	return capacity.ParseSizes(text)
}
