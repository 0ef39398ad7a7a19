package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"reachspread/internal/testbed/scaletest"
)

func membershipCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "membership",
		Short: "Measure the membership protocol on real routers together with hollow members, which carry no traffic",
		Args:  cobra.NoArgs,
	}
	var p scaletest.Plan
	flags := c.Flags()
	flags.IntVar(&p.Real, "real", 2, "number of router processes")
	flags.IntVar(&p.Hollow, "hollow", 30, "number of members without traffic, which all run in this process")
	flags.IntVar(&p.Zones, "zones", 3, "number of zones, to which the members are assigned in turn")
	flags.Float64Var(&p.Loss, "loss", 0, "fraction of the datagrams from and to hollow members that is lost")
	flags.Float64Var(&p.Churn, "churn", 0, "restarts of hollow members a minute, while traffic is measured")
	flags.DurationVar(&p.Quiesce, "settle", 10*time.Second, "time after the joins, before traffic is measured")
	flags.DurationVar(&p.Length, "length", 20*time.Second, "time for which traffic is measured")
	flags.DurationVar(&p.Apart, "apart", 5*time.Second, "time for which half of the hollow members stay partitioned after the partition is detected")
	flags.DurationVar(&p.Within, "within", time.Minute, "time limit for all members to learn of a change")
	flags.Uint64Var(&p.Seed, "seed", 1, "seed of all random choices of the run")
	flags.StringVar(&p.Program, "program", "", "the router's `binary`; by default reachspread in the folder of this program")
	asJSON := flags.Bool("json", false, "print the result as JSON")
	c.RunE = func(cmd *cobra.Command, _ []string) (err error) {
		if p.Real > 0 {
			if p.Program, err = routerBinary(p.Program); err != nil {
				return err
			}
		}
		machine, err := scaletest.MachineMB()
		if err != nil {
			return err
		}
		if err := p.Check(machine); err != nil {
			return err
		}
		result, err := scaletest.Run(cmd.Context(), p)
		if err != nil {
			return fmt.Errorf("the membership run failed: %w", err)
		}
		if *asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(result)
		}
		return result.Write(cmd.OutOrStdout())
	}
	return c
}
