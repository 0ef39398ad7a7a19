package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/message"
	systemsettings "reachspread/internal/system/settings"
)

// checkCommand returns the command that checks files without starting a router. It checks the files of
// the command serve, or with --router the settings file of the command router, or with
// --configuration a configuration for the control plane.
func checkCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "check",
		Short: "Check the configuration and the settings without starting a router",
		Args:  cobra.NoArgs,
	}
	file := settingsFlag(c)
	router := c.Flags().Bool("router", false, "check the settings file for the command router, which "+systemsettings.PathVariable+" names")
	put := c.Flags().String("configuration", "", "check a `file` as PUT /configuration does, - for standard input")
	c.MarkFlagsMutuallyExclusive("router", "configuration", "settings")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		switch {
		case *router:
			return checkRouter(cmd.OutOrStdout())
		case *put != "":
			return checkConfiguration(cmd.OutOrStdout(), *put)
		}
		cfg, _, err := load(*file)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: the configuration is good\n", cfg.Name)
		return nil
	}
	return c
}

func checkRouter(out io.Writer) error {
	s, err := systemsettings.Load(os.Getenv)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: the settings are good\n", s.NodeName)
	return nil
}

// checkConfiguration checks a configuration file with the same code that the control plane uses to
// accept a configuration.
func checkConfiguration(out io.Writer, file string) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	state, err := configuration.Next(nil, &message.Order{Kind: message.Order_PUT, Body: text})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "version %d: the configuration is good, with %d routes, %d services and %d tenants\n", state.Version(),
		len(state.Typed.Routes), len(state.Typed.Services), len(state.Typed.Tenants))
	return nil
}

// readFile reads a file, or standard input if the name is "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
