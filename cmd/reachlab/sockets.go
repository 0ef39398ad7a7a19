package main

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/fakes"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/simulator"
)

func serveFleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "serve-fleet FILE",
		Short: "Run an experiment's hosts and their discovery on loopback, with its faults on schedule, until Ctrl-C",
		Args:  cobra.ExactArgs(1),
	}
	config := c.Flags().String("config", "", "write the configuration of a router for this fleet to this `file`, which must not exist yet")
	listen := c.Flags().String("listen", "127.0.0.1:9000", "the address for clients in that configuration")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		x, err := experiment.Read(args[0])
		if err != nil {
			return err
		}
		if err := x.CheckFor(faults.FakeHosts); err != nil {
			return err
		}
		spec := x.World(0, x.Seeds[0])
		f, err := fakes.NewFleet(&spec, fakes.AnyPort)
		if err != nil {
			return err
		}
		defer f.Close()
		out := cmd.OutOrStdout()
		fmt.Fprintf(out, "discovery %s\n", f.List.Addr)
		for i, h := range f.Hosts {
			fmt.Fprintf(out, "%d %s %s\n", i, h.ID, h.Addr)
		}
		if *config != "" {
			if err := writeNew(*config, f.RouterConfig(fakes.RouterSite{Name: "lab", Listen: *listen})); err != nil {
				return err
			}
			path, err := filepath.Abs(*config)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "to route to them: ROUTER_CONFIG=%s bin/reachspread serve\n", path)
		}
		if err := f.Play(cmd.Context(), x.Faults, func(line string) { fmt.Fprintln(out, line) }); err != nil {
			return err
		}
		<-cmd.Context().Done()
		return nil
	}
	return c
}

func loadCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "load FILE",
		Short: "Send an experiment's requests to a router, in an open loop, and print the outcomes",
		Args:  cobra.ExactArgs(1),
	}
	router := c.Flags().String("router", "127.0.0.1:9000", "the router's `address` for clients, which must be on loopback")
	captured := c.Flags().String("capture", "", "send the requests of this capture file instead of the experiment's load")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		x, err := experiment.Read(args[0])
		if err != nil {
			return err
		}
		if err := loopback(*router); err != nil {
			return err
		}
		spec := x.World(0, x.Seeds[0])
		if *captured != "" {
			if spec.Captured, err = experiment.Captured(*captured, &spec); err != nil {
				return err
			}
		}
		plan, err := simulator.Plan(spec)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.ErrOrStderr(), "%d requests in %v\n", len(plan), spec.Length)
		clients := fakes.NewClients(*router, &spec)
		started := time.Now()
		clients.Run(cmd.Context(), plan)
		writeTallies(cmd.OutOrStdout(), clients.Tallies(), time.Since(started))
		return nil
	}
	return c
}

// writeTallies prints a row for each class of requests. Latencies count from the time at which a
// request was due.
func writeTallies(w io.Writer, all []fakes.Tally, took time.Duration) {
	fmt.Fprintf(w, "%-16s %7s %7s %6s %8s %7s %7s %9s %9s %9s\n", "class", "asked", "good", "late", "refused", "failed", "broken", "p50 ms", "p99 ms", "p99.9 ms")
	for _, t := range all {
		at := func(q float64) float64 { return float64(t.FirstToken.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(w, "%-16s %7d %7d %6d %8d %7d %7d %9.1f %9.1f %9.1f\n", t.Class, t.Asked, t.Good, t.Late, t.Refused, t.Failed, t.Interrupted,
			at(50), at(99), at(99.9))
	}
	fmt.Fprintf(w, "in %v\n", took.Round(time.Millisecond))
}

// writeNew creates a file and writes it. It fails if the file already exists.
func writeNew(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(text); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// loopback returns an error unless an address is on loopback, so that load is sent only to this
// machine.
func loopback(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("--router: %w", err)
	}
	if !a.Addr().IsLoopback() {
		return fmt.Errorf("--router is %s, but load is sent to loopback addresses only", addr)
	}
	return nil
}
