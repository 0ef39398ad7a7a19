package main

import (
	"context"
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
			log := logging.New(os.Stderr, logging.Text)
			reload := make(chan *settings.Settings)
			go readAgain(ctx, hup, reload, log)
			node.Limit(s.Limits)
			return node.New(s, log).Run(ctx, reload)
		},
	}
}

// readAgain reads the settings file at each signal until ctx ends. A file that can't be used changes nothing.
func readAgain(ctx context.Context, signals <-chan os.Signal, read chan<- *settings.Settings, log *logging.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		s, err := settings.Load(os.Getenv)
		if err != nil {
			log.Warn("settings unusable", "cause", err)
			continue
		}
		select {
		case read <- s:
		case <-ctx.Done():
			return
		}
	}
}
