package main

import (
	"github.com/spf13/cobra"

	"reachspread/internal/system/roles"
	"reachspread/internal/system/settings"
)

// routerCommand returns the command that runs a router of the fleet, which has its data plane and its
// control plane in one process.
func routerCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "router",
		Short: "Run a router of the fleet, configured by the settings file that " + settings.PathVariable + " names, until SIGTERM",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return roles.Run(cmd.Context()) },
	}
}
