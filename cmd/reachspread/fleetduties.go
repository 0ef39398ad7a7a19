package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	mapset "github.com/deckarep/golang-set/v2"
	"github.com/spf13/cobra"

	"reachspread/internal/router/lease"
	"reachspread/internal/router/program"
)

// fleetDutiesCommand returns the command that prints the singleton roles, which the command line
// calls duties. Its subcommands change which router holds a duty.
func fleetDutiesCommand() *cobra.Command {
	c := managementCommand("duties", "Print the duties that a running router knows, with their holders; only a limited number of routers may hold a duty at a time", printDuties)
	c.AddCommand(handOverCommand(), yieldCommand(), rebuildCommand())
	return c
}

func handOverCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "hand-over DUTY ROUTER",
		Short: "Have the holder of a duty hand it over to another router, once its current work has ended",
		Args:  cobra.ExactArgs(2),
	}
	management, token := managementFlag(c), tokenFlag(c)
	c.RunE = func(_ *cobra.Command, args []string) error {
		return giveDuty(*management, args[0], args[1], *token)
	}
	return c
}

func yieldCommand() *cobra.Command {
	c := &cobra.Command{Use: "yield DUTY", Short: "Have the holder of a duty hand it over to any router that waits for it", Args: cobra.ExactArgs(1)}
	management, token := managementFlag(c), tokenFlag(c)
	c.RunE = func(_ *cobra.Command, args []string) error {
		return giveDuty(*management, args[0], lease.AnyRouter, *token)
	}
	return c
}

// tokenFlag adds the --token flag, which selects one of several lease holders, to a command.
func tokenFlag(c *cobra.Command) *uint64 {
	return c.Flags().Uint64("token", 0, "the token of the holder that is to hand the duty over, if the duty has several holders; 0 for the first")
}

// giveDuty asks the lease holder of a role to hand the role over to a router. The token selects one
// of several holders; 0 selects the first.
func giveDuty(management, name, to string, token uint64) error {
	address, err := managementAddress(management)
	if err != nil {
		return err
	}
	call := "duty-give " + name + " " + to
	if token != 0 {
		call += " " + strconv.FormatUint(token, 10)
	}
	return commandManagement(address, call)
}

// rebuildText explains what is lost by a rebuild. It is printed in the help and before the operator
// confirms the rebuild.
const rebuildText = "Founds duties anew, with this router for the first voter and tokens above all that any router that can be reached has seen.\n" +
	"What is given up: who held what, and who waited. Should a voter that was named with --gone come back with its disk all the same,\n" +
	"it joins the new group; while it is cut off, it must not be in a majority with others of the old one: two could act until a\n" +
	"receiver refuses the older token. It is refused while a majority may live."

// rebuildConfirmation is the word that the operator types to confirm a rebuild.
const rebuildConfirmation = "rebuild"

func rebuildCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   rebuildConfirmation,
		Short: "Create a new voter group for duties after a majority of the voters' disks was lost",
		Long:  rebuildText,
		Args:  cobra.NoArgs,
	}
	management := managementFlag(c)
	removed := c.Flags().StringSlice("gone", nil, "the `routers` whose disks are permanently lost")
	confirmed := c.Flags().Bool("yes", false, "do not ask for confirmation")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		address, err := managementAddress(*management)
		if err != nil {
			return err
		}
		if !*confirmed && !confirmRebuild(cmd) {
			return errors.New("the rebuild was not confirmed with the word rebuild; nothing was changed")
		}
		return commandManagement(address, strings.TrimSpace("duties-rebuild "+strings.Join(*removed, " ")))
	}
	return c
}

// confirmRebuild asks the operator for confirmation and reports whether the answer is
// rebuildConfirmation.
func confirmRebuild(cmd *cobra.Command) bool {
	fmt.Fprint(cmd.OutOrStdout(), rebuildText, "\nType rebuild to continue: ")
	line, _ := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
	return strings.TrimSpace(line) == rebuildConfirmation
}

func printDuties(w io.Writer, lines []program.Line) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	printed := mapset.NewThreadUnsafeSet[string]()
	printHeadingOnce := func(what, columns string) {
		if printed.Add(what) {
			fmt.Fprintln(t, columns)
		}
	}
	for _, l := range lines {
		f := l.Fields
		switch l.What {
		case "duties":
			printVoter(w, f)
		case "duty":
			printHeadingOnce(l.What, "duty\tholder\ttoken\ttime left\tgranted\twish\twaiting\tlast change")
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", f["name"], f["holder"], f["token"], timeLeft(f),
				underscoresToSpaces(f["why"]), f["wish"], f["waiting"], underscoresToSpaces(f["last"]))
		case "own":
			printHeadingOnce(l.What, "own duty\t\ttoken\ttime left\t\t\t\tlost last because")
			fmt.Fprintf(t, "%s\t\t%s\t%s\t\t\t\t%s\n", f["name"], f["token"], timeLeft(f), underscoresToSpaces(f["lost"]))
		}
	}
}

// printVoter prints the state of the router's voter, or that the router is not a voter.
func printVoter(w io.Writer, f map[string]string) {
	if f["stage"] == "asks" {
		fmt.Fprintf(w, "this router does not vote; it asks %s first, and has been told of token %s\n", f["leader"], f["token"])
		return
	}
	fmt.Fprintf(w, "%s in group %s, leader %s, term %s, command %s, voters %s, learners %s\n",
		f["stage"], f["group"], f["leader"], f["term"], f["index"], f["voters"], f["learners"])
	if f["stopped"] == "true" {
		fmt.Fprintln(w, "stopped: no majority of the voters can be reached")
	}
}

// timeLeft formats the remaining time of a lease. It returns a dash if there is none.
func timeLeft(f map[string]string) string {
	ms := f["left_ms"]
	if ms == noneText || ms == "" {
		return noneText
	}
	return ms + " ms"
}
