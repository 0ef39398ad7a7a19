package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"reachspread/internal/testbed/soak"
)

const (
	soakNetwork = "127.81.0"
	maxRouters  = 250 // the addresses of a network
)

// errFindings says that a play found something.
var errFindings = errors.New("soak: something was found, see above")

func soakCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "soak",
		Short: "Play router processes on the loopback under signals, restarts and changes in series that overlap, and judge what clients, hosts and operators saw",
		Args:  cobra.NoArgs,
	}
	o := soak.Options{Network: soakNetwork}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of the first schedule")
	seeds := c.Flags().Int("seeds", 1, "schedules, one after the other")
	c.Flags().IntVar(&o.Routers, "routers", 8, "processes")
	c.Flags().IntVar(&o.Disks, "disks", 3, "of them keep the register")
	c.Flags().IntVar(&o.Hosts, "hosts", 4, "stand-ins for hosts")
	c.Flags().IntVar(&o.Clients, "clients", 32, "on all routers together")
	c.Flags().DurationVar(&o.Length, "length", 40*time.Second, "of each schedule")
	c.Flags().StringVar(&o.Network, "network", soakNetwork, "the first three `bytes` of all addresses")
	c.Flags().StringSliceVar(&o.Executable, "router", nil, "the `program` that runs a router, with its arguments; this one without it")
	events := c.Flags().Bool("events", false, "print each event")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		if o.Routers > maxRouters || o.Routers < o.Disks || o.Clients < 1 {
			return fmt.Errorf("soak: routers must be %d at most and not fewer than disks, clients above 0", maxRouters)
		}
		if len(o.Executable) == 0 {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o.Executable = []string{self, asRouter}
		}
		if *events {
			o.Out = cmd.OutOrStdout()
		}
		found := 0
		for range *seeds {
			report, err := soak.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "seed %d: requests %v, events %v, orders %d, probes %d, ends %d in %v at most with %.2f of a core at most, found %d\n", report.Seed,
				report.Requests, report.Events, report.Changes, report.Probes, report.Terminations, report.LongestTermination.Round(time.Millisecond), report.MaxTerminationCPU, len(report.Findings))
			for _, f := range report.Findings {
				fmt.Fprintln(cmd.OutOrStdout(), " ", f)
			}
			found += len(report.Findings)
			o.Seed++
		}
		if found > 0 {
			return errFindings
		}
		return nil
	}
	return c
}
