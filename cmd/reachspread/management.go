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
	// managementTimeout bounds connecting to a router, and then the call itself.
	managementTimeout = 2 * time.Second
	// maxManagementAnswer is the largest part of an answer that is read, in bytes.
	maxManagementAnswer = 8 << 20
	// managementError is the prefix of an answer that reports an error.
	managementError = "-ERR "
)

// formerManagementFlag is the former name of --management. It remains an alias.
const formerManagementFlag = "door"

// managementFlag adds the --management flag, which names the management address of the router to
// query, to a command.
func managementFlag(c *cobra.Command) *string {
	c.Flags().SetNormalizeFunc(func(_ *pflag.FlagSet, name string) pflag.NormalizedName {
		if name == formerManagementFlag {
			name = "management"
		}
		return pflag.NormalizedName(name)
	})
	return c.Flags().String("management", "", "the management `address` of the router; by default ROUTER_MANAGEMENT, or the address in the file that ROUTER_CONFIG names")
}

// managementAddress returns the address that the flag gives, or else the management address in the
// router's configuration.
func managementAddress(flag string) (string, error) {
	if flag != "" {
		return flag, nil
	}
	cfg, err := program.Load(os.Getenv)
	if err != nil {
		return "", fmt.Errorf("--management is not set: %w", err)
	}
	if cfg.Management == "" {
		return "", errors.New("--management is not set, and the router's configuration has no management address")
	}
	return cfg.Management, nil
}

// managementCommand returns a command that makes the management call of the same name and prints the
// answer. With --watch the command repeats the call; it then prints an error and continues, because
// the router may be restarting.
func managementCommand(call, short string, render func(io.Writer, []program.Line)) *cobra.Command {
	c := &cobra.Command{Use: call, Short: short, Args: cobra.NoArgs}
	management := managementFlag(c)
	asJSON := c.Flags().Bool("json", false, "print a line of JSON")
	watch := c.Flags().Duration("watch", 0, "repeat the query after this `time`, until Ctrl-C")
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

// callManagement makes a management call and returns the complete answer.
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

// commandManagement makes a management call that the router answers with a single line. It returns
// an error if that line says that the call failed.
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

// underscoresToSpaces returns a field of a management answer as text: underscores stand for spaces in
// it.
func underscoresToSpaces(field string) string { return strings.ReplaceAll(field, "_", " ") }
