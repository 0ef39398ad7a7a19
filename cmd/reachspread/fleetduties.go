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

// fleetDutiesCommand has the commands on singleton roles, which the command line calls duties.
func fleetDutiesCommand() *cobra.Command {
	c := managementCommand("duties", "Ask a running router who holds what only so many may do at a time", printDuties)
	c.AddCommand(handOverCommand(), yieldCommand(), rebuildCommand())
	return c
}

func handOverCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "hand-over DUTY ROUTER",
		Short: "Have the holder of a duty give it to another router, once its work has ended",
		Args:  cobra.ExactArgs(2),
	}
	management, token := managementFlag(c), tokenFlag(c)
	c.RunE = func(_ *cobra.Command, args []string) error {
		return giveDuty(*management, args[0], args[1], *token)
	}
	return c
}

func yieldCommand() *cobra.Command {
	c := &cobra.Command{Use: "yield DUTY", Short: "Have the holder of a duty give it to whoever waits", Args: cobra.ExactArgs(1)}
	management, token := managementFlag(c), tokenFlag(c)
	c.RunE = func(_ *cobra.Command, args []string) error {
		return giveDuty(*management, args[0], lease.AnyRouter, *token)
	}
	return c
}

// tokenFlag is the flag that says which of several lease holders is meant.
func tokenFlag(c *cobra.Command) *uint64 {
	return c.Flags().Uint64("token", 0, "that of the holder who is to give it, where a duty has several; 0 for the first")
}

// giveDuty has the lease holder of a role with a token, 0 for the first, give it to a router.
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

// rebuildText says what a rebuild gives up, for the help and before the operator confirms it.
const rebuildText = "Founds duties anew, with this router for the first voter and tokens above all that any router that can be reached has seen.\n" +
	"What is given up: who held what, and who waited. Should a voter that was named with --gone come back with its disk all the same,\n" +
	"it joins the new group; while it is cut off, it must not be in a majority with others of the old one: two could act until a\n" +
	"receiver refuses the older token. It is refused while a majority may live."

// rebuildConfirmation is what the operator has to type.
const rebuildConfirmation = "rebuild"

func rebuildCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   rebuildConfirmation,
		Short: "Found duties anew where a majority of the voters' disks is gone",
		Long:  rebuildText,
		Args:  cobra.NoArgs,
	}
	management := managementFlag(c)
	removed := c.Flags().StringSlice("gone", nil, "the `routers` whose disks will not come back")
	confirmed := c.Flags().Bool("yes", false, "do not ask")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		address, err := managementAddress(*management)
		if err != nil {
			return err
		}
		if !*confirmed && !confirmRebuild(cmd) {
			return errors.New("nothing was done")
		}
		return commandManagement(address, strings.TrimSpace("duties-rebuild "+strings.Join(*removed, " ")))
	}
	return c
}

// confirmRebuild asks the operator, and reports whether the answer is rebuildConfirmation.
func confirmRebuild(cmd *cobra.Command) bool {
	fmt.Fprint(cmd.OutOrStdout(), rebuildText, "\nSay rebuild to go on: ")
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

// printVoter prints the state of the router's voter, or that it has none.
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

// timeLeft is the time left of a lease, a dash for none.
func timeLeft(f map[string]string) string {
	ms := f["left_ms"]
	if ms == noneText || ms == "" {
		return noneText
	}
	return ms + " ms"
}
