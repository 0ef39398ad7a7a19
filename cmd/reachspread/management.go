package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"reachspread/internal/router/program"
)

const (
	// managementTimeout is how long a router has to answer.
	managementTimeout = 2 * time.Second
	// maxManagementAnswer bounds what is read of an answer, in bytes.
	maxManagementAnswer = 8 << 20
	// managementError begins an answer that is an error.
	managementError = "-ERR "
)

// formerManagementFlag is what --management was called before; it stays as its other name.
const formerManagementFlag = "door"

// managementFlag is the flag that says which router in service is asked.
func managementFlag(c *cobra.Command) *string {
	c.Flags().SetNormalizeFunc(func(_ *pflag.FlagSet, name string) pflag.NormalizedName {
		if name == formerManagementFlag {
			name = "management"
		}
		return pflag.NormalizedName(name)
	})
	return c.Flags().String("management", "", "the management `address` of the router; by default ROUTER_MANAGEMENT, or what ROUTER_CONFIG says")
}

// managementAddress is the address of the flag, or else of the router's configuration.
func managementAddress(flag string) (string, error) {
	if flag != "" {
		return flag, nil
	}
	cfg, err := program.Load(os.Getenv)
	if err != nil {
		return "", fmt.Errorf("--management is not set: %w", err)
	}
	if cfg.Management == "" {
		return "", errors.New("--management is not set, and the configuration has no management")
	}
	return cfg.Management, nil
}

// managementCommand is a command that prints the answer to the call of its name, once or
// repeatedly. Repeatedly, an error is printed and the next answer awaited: the router may come
// back.
func managementCommand(call, short string, render func(io.Writer, []program.Line)) *cobra.Command {
	c := &cobra.Command{Use: call, Short: short, Args: cobra.NoArgs}
	management := managementFlag(c)
	asJSON := c.Flags().Bool("json", false, "print a line of JSON")
	watch := c.Flags().Duration("watch", 0, "ask again and again, with this `time` in between, until Ctrl-C")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		address, err := managementAddress(*management)
		if err != nil {
			return err
		}
		for {
			err := printManagementAnswer(cmd.OutOrStdout(), address, call, *asJSON, render)
			if *watch == 0 {
				return err
			}
			if err != nil {
				fmt.Fprintln(cmd.ErrOrStderr(), err)
			}
			select {
			case <-cmd.Context().Done():
				return nil
			case <-time.After(*watch):
			}
		}
	}
	return c
}

func printManagementAnswer(w io.Writer, address, call string, asJSON bool, render func(io.Writer, []program.Line)) error {
	text, err := callManagement(address, call)
	if err != nil {
		return err
	}
	lines, err := program.ParseLines(text, call)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(w).Encode(lines)
	}
	render(w, lines)
	return nil
}

// callManagement makes a call and returns the complete answer.
func callManagement(address, call string) (string, error) {
	c, err := net.DialTimeout("tcp", address, managementTimeout)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(managementTimeout))
	if _, err := io.WriteString(c, call+"\n"); err != nil {
		return "", err
	}
	text, err := io.ReadAll(io.LimitReader(c, maxManagementAnswer))
	return string(text), err
}

// commandManagement makes a call that is answered with a line, which says whether it succeeded.
func commandManagement(address, call string) error {
	text, err := callManagement(address, call)
	if err != nil {
		return err
	}
	if reason, failed := strings.CutPrefix(strings.TrimSpace(text), managementError); failed {
		return errors.New(reason)
	}
	return nil
}

// spaced is a field of an answer with the spaces that its underscores stand for.
func underscoresToSpaces(field string) string { return strings.ReplaceAll(field, "_", " ") }
