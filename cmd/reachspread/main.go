// Reachspread is the router program: it forwards prompts over network connections to the hosts that
// run replicas of a language model. Further commands check its files and query running routers.
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
	"reachspread/internal/router/program"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "reachspread:", err)
		os.Exit(1)
	}
}

// command returns the root command with all subcommands.
func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "reachspread",
		Short:         "Routes prompts to the replicas of a language model",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		serveCommand(),
		routerCommand(),
		checkCommand(),
		shadowCommand(),
		admissionCommand(),
		fleetCommand(),
		snapshotCommand(),
		versionCommand(),
	)
	root.SetContext(context.Background())
	return root
}

// settingsFlag adds the --settings flag, which names the operators' settings file, to a command.
func settingsFlag(c *cobra.Command) *string {
	return c.Flags().String("settings", "", "the operators' settings `file`, in HCL; without it, every feature that it configures is off")
}

// load reads the configuration from the environment, and also the settings file unless its name is
// empty.
func load(file string) (*program.Config, logging.Format, error) {
	cfg, err := program.Load(os.Getenv)
	if err != nil || file == "" {
		return cfg, logging.Text, err
	}
	err = cfg.ReadSettings(file)
	return cfg, cfg.LogFormat(), err
}

func serveCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run a router, configured by the environment and the file in ROUTER_CONFIG, until SIGTERM; SIGHUP reloads the configuration",
		Args:  cobra.NoArgs,
	}
	file := settingsFlag(c)
	folder := c.Flags().String("profile", "", "on SIGUSR1, write a goroutine dump and a CPU profile into this `folder`")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		if *folder != "" {
			defer writeProfilesOnSignal(*folder)()
		}
		reload := make(chan os.Signal, 16) // buffers signals that arrive while a file is being read
		signal.Notify(reload, syscall.SIGHUP)
		defer signal.Stop(reload)
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		cfg, format, err := load(*file)
		if err != nil {
			return err
		}
		return program.New(cfg, os.Getenv, *file, logging.New(os.Stderr, format)).Run(ctx, reload)
	}
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
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
	}
}
