// Reachspread routes prompts to the replicas of a language model, over real sockets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"reachspread/internal/logging"
	"reachspread/internal/program"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "reachspread:", err)
		os.Exit(1)
	}
}

// command returns the command line.
func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "reachspread",
		Short:         "Routes prompts to the replicas of a language model",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		&cobra.Command{
			Use:   "serve",
			Short: "Serve as the environment and the file in ROUTER_CONFIG say, until SIGTERM; SIGHUP reloads that file",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				reload := make(chan os.Signal, 1)
				signal.Notify(reload, syscall.SIGHUP)
				defer signal.Stop(reload)
				ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
				defer stop()
				p, err := program.New(os.Getenv, logging.New(os.Stderr, logging.Text))
				if err != nil {
					return err
				}
				return p.Run(ctx, reload)
			},
		},
		&cobra.Command{
			Use:   "check",
			Short: "Check the configuration and start nothing",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				cfg, err := program.Load(os.Getenv)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: the configuration is good\n", cfg.Name)
				return nil
			},
		},
		&cobra.Command{
			Use:   "version",
			Short: "Print the version",
			Args:  cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) {
				version := "unknown"
				if info, ok := debug.ReadBuildInfo(); ok {
					version = info.Main.Version + " " + info.GoVersion
				}
				fmt.Fprintln(cmd.OutOrStdout(), "reachspread", version)
			},
		},
	)
	root.SetContext(context.Background())
	return root
}
