package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"reachspread/internal/system/roles"
	"reachspread/internal/testbed/fleetdemo"
)

// asRouter is the hidden command by which the demo's processes are routers.
const asRouter = "as-router"

const (
	demoRouters = 6
	demoNetwork = "127.79.1"
)

func fleetDemoCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "demo-fleet",
		Short: "Start a whole router fleet on the loopback with hosts, an operator and load, kill one of each, and show what comes of it",
		Args:  cobra.NoArgs,
	}
	length := c.Flags().Duration("length", 40*time.Second, "of the load")
	page := c.Flags().String("page", filepath.Join(os.TempDir(), "reachlab-fleet.html"), "`file` that the chart is written to")
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
