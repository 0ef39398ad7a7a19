package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"reachspread/internal/program"
)

func fleetCommand() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Ask about the fleet of routers"}
	c.AddCommand(fleetViewCommand())
	return c
}

func fleetViewCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "view",
		Short: "Ask a running router who of the fleet lives, as it sees it",
		Args:  cobra.NoArgs,
	}
	door := c.Flags().String("door", "", "the `address` of the router's operators' door; by itself ROUTER_MANAGEMENT, or what ROUTER_CONFIG says")
	asJSON := c.Flags().Bool("json", false, "print a line of JSON")
	watch := c.Flags().Duration("watch", 0, "ask again and again, with this `time` in between, until Ctrl-C")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		addr := *door
		if addr == "" {
			cfg, err := program.Load(os.Getenv)
			if err != nil {
				return fmt.Errorf("--door is not set: %w", err)
			}
			if addr = cfg.Management; addr == "" {
				return errors.New("--door is not set, and the configuration has no management")
			}
		}
		for {
			lines, err := askView(addr)
			if err == nil && *asJSON {
				err = json.NewEncoder(cmd.OutOrStdout()).Encode(lines)
			} else if err == nil {
				printView(cmd.OutOrStdout(), lines)
			}
			if err != nil && *watch == 0 {
				return err
			}
			if err != nil { // it may come back
				fmt.Fprintln(cmd.ErrOrStderr(), err)
			}
			if *watch == 0 {
				return nil
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

// doorFor is how long the door has to answer.
const doorFor = 2 * time.Second

func askView(addr string) ([]program.ViewLine, error) {
	c, err := net.DialTimeout("tcp", addr, doorFor)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(doorFor))
	if _, err := io.WriteString(c, "view\n"); err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(c, 8<<20))
	if err != nil {
		return nil, err
	}
	return program.ParseView(string(text))
}

func printView(w io.Writer, lines []program.ViewLine) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	for _, l := range lines {
		f := l.Fields
		if l.What == "view" {
			fmt.Fprintf(w, "view %s, %s routers, digest %s\n", f["version"], f["members"], f["digest"])
			fmt.Fprintln(t, "name\tzone\tstate\tincarnation\tprocess\tversion\taddress")
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", f["name"], f["zone"], f["state"], f["incarnation"], f["process"], f["version"], f["address"])
	}
}
