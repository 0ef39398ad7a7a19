package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"reachspread/internal/router/lease"
	"reachspread/internal/router/program"
)

func fleetCommand() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Ask about the fleet of routers"}
	c.AddCommand(managementCommand("view", "Ask a running router who of the fleet lives, as it sees it", printView), fleetDutiesCommand(),
		managementCommand("recovery", "Ask a running router how it came back: the stage, what it waits for, what was thrown away", printRecovery))
	c.AddCommand(fleetStatusCommands()...)
	c.AddCommand(pinCommand())
	return c
}

// formerManagementFlag is what --management was called before; it stays as its other name.
const formerManagementFlag = "door"

// managementFlag is the flag that says which router is asked.
func managementFlag(c *cobra.Command) *string {
	c.Flags().SetNormalizeFunc(func(_ *pflag.FlagSet, name string) pflag.NormalizedName {
		if name == formerManagementFlag {
			name = "management"
		}
		return pflag.NormalizedName(name)
	})
	return c.Flags().String("management", "", "the management `address` of the router; by itself ROUTER_MANAGEMENT, or what ROUTER_CONFIG says")
}

func managementAddress(flag string) (string, error) {
	if flag != "" {
		return flag, nil
	}
	cfg, err := program.Load(os.Getenv)
	if err != nil {
		return "", fmt.Errorf("--management is not set: %w", err)
	}
	if cfg.Management == "" {
		return "", errors.New("--management is not set, and the configuration has no management")
	}
	return cfg.Management, nil
}

// shows is a command that prints the answer to a call of its name, once or over and over.
func managementCommand(call, short string, print func(io.Writer, []program.Line)) *cobra.Command {
	c := &cobra.Command{Use: call, Short: short, Args: cobra.NoArgs}
	management := managementFlag(c)
	asJSON := c.Flags().Bool("json", false, "print a line of JSON")
	watch := c.Flags().Duration("watch", 0, "ask again and again, with this `time` in between, until Ctrl-C")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		addr, err := managementAddress(*management)
		if err != nil {
			return err
		}
		for {
			text, err := callManagement(addr, call)
			var lines []program.Line
			if err == nil {
				lines, err = program.ParseLines(text, call)
			}
			if err == nil && *asJSON {
				err = json.NewEncoder(cmd.OutOrStdout()).Encode(lines)
			} else if err == nil {
				print(cmd.OutOrStdout(), lines)
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

// managementTimeout is how long a router has to answer.
const managementTimeout = 2 * time.Second

// ask makes a call and returns the whole answer.
func callManagement(addr, call string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, managementTimeout)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(managementTimeout))
	if _, err := io.WriteString(c, call+"\n"); err != nil {
		return "", err
	}
	text, err := io.ReadAll(io.LimitReader(c, 8<<20))
	return string(text), err
}

// do makes a call that is answered with a line.
func commandManagement(addr, call string) error {
	text, err := callManagement(addr, call)
	if why, refused := strings.CutPrefix(strings.TrimSpace(text), "-ERR "); err == nil && refused {
		err = errors.New(why)
	}
	return err
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
	word := func(s string) string { return strings.ReplaceAll(s, "_", " ") }
	for _, l := range lines {
		f := l.Fields
		if l.What == "thrown" {
			fmt.Fprintf(w, "thrown away: %s\n", word(f["why"]))
			continue
		}
		if l.What == "admission" {
			fmt.Fprintf(w, "hosts at %s of their warm capacity; admitted: %s; turned away since the start: %s; hosts of the old list shunned: %s\n", f["warm"],
				strings.ReplaceAll(strings.ReplaceAll(word(f["admits"]), ",", ", "), ":", " "), f["turned"], f["shunned"])
			continue
		}
		fmt.Fprintf(w, "stage %s for %s ms, up for %s ms", f["stage"], f["for_ms"], f["up_ms"])
		if f["waits"] != "-" {
			fmt.Fprintf(w, "; waits until %s", word(f["waits"]))
		}
		fmt.Fprintf(w, "\npower lost by: %s (%s of %s others heard)\nlast life: %s, its list used: %s, snapshots written since: %s\n", word(f["loss"]), f["heard"], f["asked"], f["last_life"], f["old_list"], f["snapshots"])
	}
}

func fleetDutiesCommand() *cobra.Command {
	c := managementCommand("duties", "Ask a running router who holds what only so many may do at a time", printDuties)
	over := &cobra.Command{Use: "hand-over DUTY ROUTER", Short: "Have the holder of a duty give it to another router, once its work has ended", Args: cobra.ExactArgs(2)}
	management, token := managementFlag(over), tokenFlag(over)
	over.RunE = func(_ *cobra.Command, args []string) error { return giveDuty(*management, args[0], args[1], *token) }
	yield := &cobra.Command{Use: "yield DUTY", Short: "Have the holder of a duty give it to whoever waits", Args: cobra.ExactArgs(1)}
	yieldAt, yieldToken := managementFlag(yield), tokenFlag(yield)
	yield.RunE = func(_ *cobra.Command, args []string) error {
		return giveDuty(*yieldAt, args[0], lease.AnyRouter, *yieldToken)
	}
	rebuild := &cobra.Command{Use: "rebuild", Short: "Found duties anew where a majority of the voters' disks is gone", Args: cobra.NoArgs,
		Long: "Founds duties anew, with this router for the first voter and tokens above all that any router that can be reached has seen.\n" +
			"What is given up: who held what, and who waited. Should a voter that was named with --gone come back with its disk all the same,\n" +
			"it joins the new group; while it is cut off, it must not be in a majority with others of the old one: two could act until a\n" +
			"receiver refuses the older token. It is refused while a majority may live."}
	rebuildAt := managementFlag(rebuild)
	gone := rebuild.Flags().StringSlice("gone", nil, "the `routers` whose disks will not come back")
	yes := rebuild.Flags().Bool("yes", false, "do not ask")
	rebuild.RunE = func(cmd *cobra.Command, _ []string) error {
		addr, err := managementAddress(*rebuildAt)
		if err != nil {
			return err
		}
		if !*yes {
			fmt.Fprint(cmd.OutOrStdout(), rebuild.Long, "\nSay rebuild to go on: ")
			line, _ := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
			if strings.TrimSpace(line) != "rebuild" {
				return errors.New("nothing was done")
			}
		}
		return commandManagement(addr, strings.TrimSpace("duties-rebuild "+strings.Join(*gone, " ")))
	}
	c.AddCommand(over, yield, rebuild)
	return c
}

// tokenFlag says which of several holders is meant.
func tokenFlag(c *cobra.Command) *uint64 {
	return c.Flags().Uint64("token", 0, "that of the holder who is to give it, where a duty has several; 0 for the first")
}

func giveDuty(management, name, to string, token uint64) error {
	addr, err := managementAddress(management)
	if err != nil {
		return err
	}
	call := "duty-give " + name + " " + to
	if token != 0 {
		call += " " + strconv.FormatUint(token, 10)
	}
	return commandManagement(addr, call)
}

func printDuties(w io.Writer, lines []program.Line) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	said := mapset.NewThreadUnsafeSet[string]()
	head := func(what, columns string) {
		if said.Add(what) {
			fmt.Fprintln(t, columns)
		}
	}
	word := func(s string) string { return strings.ReplaceAll(s, "_", " ") }
	span := func(ms string) string {
		if ms == "-" || ms == "" {
			return "-"
		}
		return ms + " ms"
	}
	for _, l := range lines {
		f := l.Fields
		switch l.What {
		case "duties":
			if f["stage"] == "asks" {
				fmt.Fprintf(w, "this router does not vote; it asks %s first, and has been told of token %s\n", f["leader"], f["token"])
				continue
			}
			fmt.Fprintf(w, "%s in group %s, leader %s, term %s, command %s, voters %s, learners %s\n", f["stage"], f["group"], f["leader"], f["term"], f["index"], f["voters"], f["learners"])
			if f["stopped"] == "true" {
				fmt.Fprintln(w, "stopped: no majority of the voters can be reached")
			}
		case "duty":
			head("duty", "duty\tholder\ttoken\ttime left\tgranted\twish\twaiting\tlast change")
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", f["name"], f["holder"], f["token"], span(f["left_ms"]), word(f["why"]), f["wish"], f["waiting"], word(f["last"]))
		case "own":
			head("own", "own duty\t\ttoken\ttime left\t\t\t\tlost last because")
			fmt.Fprintf(t, "%s\t\t%s\t%s\t\t\t\t%s\n", f["name"], f["token"], span(f["left_ms"]), word(f["lost"]))
		}
	}
}
