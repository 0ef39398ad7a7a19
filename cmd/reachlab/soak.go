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
	maxRouters  = 250 // bounded by the addresses of one network, which has three fixed bytes
)

// errFindings reports that a soak run found violations. The command has printed them before.
var errFindings = errors.New("soak: violations were found; they are printed above")

func soakCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run router processes on loopback with overlapping signals, restarts and changes, and check what clients, hosts and operators observed",
		Args:  cobra.NoArgs,
	}
	o := soak.Options{Network: soakNetwork}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the first schedule")
	seeds := c.Flags().Int("seeds", 1, "number of schedules, which run one after the other")
	c.Flags().IntVar(&o.Routers, "routers", 8, "number of router processes")
	c.Flags().IntVar(&o.Disks, "disks", 3, "number of routers that have a disk and store the register")
	c.Flags().IntVar(&o.Hosts, "hosts", 4, "number of stand-in hosts")
	c.Flags().IntVar(&o.Clients, "clients", 32, "number of clients, for all routers together")
	c.Flags().DurationVar(&o.Length, "length", 40*time.Second, "duration of each schedule")
	c.Flags().StringVar(&o.Network, "network", soakNetwork, "the first three `bytes` of all addresses")
	c.Flags().StringSliceVar(&o.Executable, "router", nil, "the `program` that runs a router, with its arguments; by default this program")
	events := c.Flags().Bool("events", false, "print each event")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		if o.Routers > maxRouters || o.Routers < o.Disks || o.Clients < 1 {
			return fmt.Errorf("soak: --routers must be %d at most and not below --disks, and --clients must be above 0", maxRouters)
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
