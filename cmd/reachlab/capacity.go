package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"reachspread/internal/testbed/capacity"
)

func capacityCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "capacity FILE",
		Short: "Print the tables of docs/CAPACITY.md from saved results, such as docs/measurements/capacity.csv",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer file.Close()
			samples, err := capacity.Read(file)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			lines, err := capacity.Fit(samples)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			_, err = fmt.Fprint(cmd.OutOrStdout(), capacity.Tables(lines))
			return err
		},
	}
}
