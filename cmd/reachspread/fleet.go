package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"reachspread/internal/router/program"
)

// fleetCommand returns the command that groups all commands about the fleet. The commands view,
// duties and recovery query a router that was started by serve, at its management address. The other
// commands query a router that was started by router, at its readiness address or its control plane.
func fleetCommand() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Query and change the fleet of routers"}
	c.AddCommand(
		managementCommand("view", "Print which routers of the fleet a running router sees as alive", printView),
		fleetDutiesCommand(),
		managementCommand("recovery", "Print how a running router recovered after its start: its stage, what it waits for, which damaged state it discarded",
			printRecovery),
	)
	c.AddCommand(fleetStatusCommands()...)
	c.AddCommand(pinCommand())
	return c
}

func printView(w io.Writer, lines []program.Line) {
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

func printRecovery(w io.Writer, lines []program.Line) {
	for _, l := range lines {
		switch l.What {
		case "thrown":
			fmt.Fprintf(w, "thrown away: %s\n", underscoresToSpaces(l.Fields["why"]))
		case "admission":
			printRecoveryAdmission(w, l.Fields)
		default:
			printRecoveryStage(w, l.Fields)
		}
	}
}

func printRecoveryAdmission(w io.Writer, f map[string]string) {
	admitted := strings.NewReplacer(",", ", ", ":", " ").Replace(underscoresToSpaces(f["admits"]))
	fmt.Fprintf(w, "hosts at %s of their warm capacity; admitted: %s; turned away since the start: %s; hosts of the old list shunned: %s\n",
		f["warm"], admitted, f["turned"], f["shunned"])
}

func printRecoveryStage(w io.Writer, f map[string]string) {
	fmt.Fprintf(w, "stage %s for %s ms, up for %s ms", f["stage"], f["for_ms"], f["up_ms"])
	if f["waits"] != noneText {
		fmt.Fprintf(w, "; waits until %s", underscoresToSpaces(f["waits"]))
	}
	fmt.Fprintf(w, "\npower lost by: %s (%s of %s others heard)\nlast life: %s, its list used: %s, snapshots written since: %s\n",
		underscoresToSpaces(f["loss"]), f["heard"], f["asked"], f["last_life"], f["old_list"], f["snapshots"])
}
