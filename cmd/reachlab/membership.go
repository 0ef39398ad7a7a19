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
		Short: "Measure the membership protocol on real routers beside hollow members that carry no traffic",
		Args:  cobra.NoArgs,
	}
	var p scaletest.Plan
	flags := c.Flags()
	flags.IntVar(&p.Real, "real", 2, "router processes")
	flags.IntVar(&p.Hollow, "hollow", 30, "members without traffic, all in this process")
	flags.IntVar(&p.Zones, "zones", 3, "zones that members stand in by turns")
	flags.Float64Var(&p.Loss, "loss", 0, "share of the datagrams from and to hollow members that is lost")
	flags.Float64Var(&p.Churn, "churn", 0, "restarts of hollow members a minute, while traffic is measured")
	flags.DurationVar(&p.Quiesce, "settle", 10*time.Second, "time after the joins, before traffic is measured")
	flags.DurationVar(&p.Length, "length", 20*time.Second, "time for which traffic is measured")
	flags.DurationVar(&p.Apart, "apart", 5*time.Second, "time for which half of the hollow members stay cut off, once that is known")
	flags.DurationVar(&p.Within, "within", time.Minute, "time for a change to be known to all, before it is given up")
	flags.Uint64Var(&p.Seed, "seed", 1, "seed of all chance of the run")
	flags.StringVar(&p.Program, "program", "", "the router's `binary`; by itself the reachspread beside this program")
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
			return fmt.Errorf("run ended: %w", err)
		}
		if *asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(result)
		}
		return result.Write(cmd.OutOrStdout())
	}
	return c
}
