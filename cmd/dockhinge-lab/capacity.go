package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/capacity"
	"dockhinge.example/dockhinge/lab/slope"
)

// capacityCommand writes the tables of docs/CAPACITY.md from sizes and measured slopes.
func capacityCommand() *cobra.Command {
	var set []string
	var sizesFile, slopesFile, page string
	cmd := &cobra.Command{Use: "capacity", Short: "What a fleet of a given size costs, by measured slopes", Args: cobra.NoArgs,
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
			lines, err := slope.Read(text)
			if err != nil {
				return fmt.Errorf("%s: %w", slopesFile, err)
			}
			m := capacity.NewModel(sizes, lines)
			if page != "" {
				return capacity.UpdatePage(page, m, lines)
			}
			capacity.WriteAll(cmd.OutOrStdout(), m, lines)
			return nil
		}}
	cmd.Flags().StringArrayVar(&set, "set", nil, "another size, KEY=VALUE")
	cmd.Flags().StringVar(&sizesFile, "sizes", "", "another file of sizes (default: lab/capacity/sizes.toml)")
	cmd.Flags().StringVar(&slopesFile, "slopes", "lab/capacity/slopes.json", "the file that 'hollow --out' wrote")
	cmd.Flags().StringVar(&page, "page", "", "write the tables into this page between its markers")
	return cmd
}

// readSizes reads a file of sizes, or those that are shipped.
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
