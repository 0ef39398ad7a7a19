package main

import (
	"github.com/spf13/cobra"

	"reachspread/internal/system/roles"
	"reachspread/internal/system/settings"
)

// routerCommand is the role of the router fleet: data plane and control plane in one process.
func routerCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "router",
		Short: "Serve as a router of the fleet, as the settings file in " + settings.PathVariable + " says, until SIGTERM",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return roles.Run(cmd.Context()) },
	}
}
