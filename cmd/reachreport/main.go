// Reachreport makes tables and charts from the records that a router writes.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"reachspread/internal/router/report"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "reachreport:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "reachreport", Short: "Makes reports from the records of a router", SilenceUsage: true, SilenceErrors: true}
	c := &cobra.Command{
		Use:   "shadow DIR",
		Short: "Report on the records of shadow pools in a folder",
		Args:  cobra.ExactArgs(1),
	}
	format := c.Flags().String("format", "terminal", "the output format: "+strings.Join(report.Formats, ", "))
	page := c.Flags().String("html", "", "also write a page with charts to this `file`")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		r, err := report.Read(args[0])
		if err != nil {
			return err
		}
		if *page != "" {
			if err := report.WriteFile(*page, r.WriteHTML); err != nil {
				return err
			}
		}
		return r.Write(cmd.OutOrStdout(), *format)
	}
	root.AddCommand(c)
	return root
}
