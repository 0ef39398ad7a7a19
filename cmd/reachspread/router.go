package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"reachspread/internal/logging"
	"reachspread/internal/system/node"
	"reachspread/internal/system/settings"
)

// routerCommand is the role of the router fleet: data plane and control plane in one process.
func routerCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "router",
		Short: "Serve as a router of the fleet, as the settings file in " + settings.PathVariable + " says, until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(os.Getenv)
			if err != nil {
				return err
			}
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			defer signal.Stop(hup)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			reload := make(chan struct{}, 1)
			go func() {
				for range hup {
					select {
					case reload <- struct{}{}:
					default:
					}
				}
			}()
			node.Limit(s.Limits)
			return node.New(s, logging.New(os.Stderr, logging.Text)).Run(ctx, reload)
		},
	}
}
