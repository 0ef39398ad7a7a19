package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"reachspread/internal/system/roles"
	"reachspread/internal/testbed/fleetdemo"
)

// asRouter is the hidden command that makes this program run as a router of the fleet. The commands
// demo-fleet and soak start their routers with it.
const asRouter = "as-router"

const (
	demoRouters = 6
	demoNetwork = "127.79.1"
)

func fleetDemoCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "demo-fleet",
		Short: "Run a complete router fleet on loopback with hosts, an operator and load, kill one process of each kind, and show the outcomes of the requests",
		Args:  cobra.NoArgs,
	}
	length := c.Flags().Duration("length", 40*time.Second, "duration of the load")
	page := c.Flags().String("page", filepath.Join(os.TempDir(), "reachlab-fleet.html"), "write the chart to this `file`")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		return fleetdemo.Run(cmd.Context(), fleetdemo.Options{Out: cmd.OutOrStdout(), Routers: demoRouters, Length: *length,
			Executable: []string{self, asRouter}, Network: demoNetwork, Page: *page})
	}
	return c
}

func asRouterCommand() *cobra.Command {
	return &cobra.Command{Use: asRouter, Hidden: true, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error { return roles.Run(cmd.Context()) }}
}
