package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"reachspread/internal/system/controlapi"
	"reachspread/internal/system/status"
)

// pinsPath is the path of the version pins on the control plane.
const pinsPath = "/pins"

// pinCommand returns the command that groups all commands about version pins.
func pinCommand() *cobra.Command {
	c := &cobra.Command{Use: "pin", Short: "Pin requests to a chosen version of a model, on every router"}
	watch := routerStatusCommand("watch", "Print the outcomes of the requests in the pins' scopes, by router", printPinFigures)
	c.AddCommand(pinSetCommand(), pinLiftCommand(), pinListCommand(), pinHistoryCommand(), watch)
	return c
}

// pinRevision returns the revision of the pins that a change builds on: the given one, or the one in
// force if the given one is negative.
func (t *controlClient) pinRevision(ctx context.Context, given int64) (string, error) {
	if given >= 0 {
		return fmt.Sprint(given), nil
	}
	list, err := t.listPins(ctx)
	return fmt.Sprint(list.Revision), err
}

func (t *controlClient) listPins(ctx context.Context) (list controlapi.PinList, err error) {
	text, err := t.call(ctx, http.MethodGet, pinsPath, "", nil)
	if err != nil {
		return list, err
	}
	return list, json.Unmarshal(text, &list)
}

// pinFlags holds the flags that all commands that change pins have in common.
type pinFlags struct {
	*controlClient
	order    controlapi.PinOrder
	revision int64
}

func newPinFlags(c *cobra.Command) *pinFlags {
	f := &pinFlags{controlClient: newControlClient(c)}
	c.Flags().StringVar(&f.order.By, "by", os.Getenv("USER"), "who makes the change, for the history")
	c.Flags().StringVar(&f.order.Why, "why", "", "the reason for the change, for the history")
	c.Flags().Int64Var(&f.revision, "revision", -1, "the `revision` of the pins that the change builds on; by default the revision in force")
	return f
}

// send submits an order and prints the new revision once it is in force on every router.
func (f *pinFlags) send(cmd *cobra.Command, method, name string) error {
	base, err := f.controlClient.pinRevision(cmd.Context(), f.revision)
	if err != nil {
		return err
	}
	text, err := f.call(cmd.Context(), method, pinsPath+"/"+name, base, f.order)
	if err != nil {
		return err
	}
	var outcome controlapi.PinOutcome
	if err := json.Unmarshal(text, &outcome); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "revision %d of the pins is in force on every router\n", outcome.Revision)
	return nil
}

func pinSetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "set NAME",
		Short: "Set a pin, or replace the pin of the same name; returns once the pin is in force on every router",
		Args:  cobra.ExactArgs(1),
	}
	f := newPinFlags(c)
	c.Flags().StringVar(&f.order.Tenant, "tenant", "", "pin only requests of this tenant; by default of all tenants")
	c.Flags().StringVar(&f.order.Route, "route", "", "pin only requests on the route of this name; by default on all routes")
	c.Flags().StringVar(&f.order.Model, "model", "", "the model that the pinned requests name")
	c.Flags().Int64Var(&f.order.Version, "version", 0, "the version of the model that must answer the pinned requests")
	c.RunE = func(cmd *cobra.Command, args []string) error { return f.send(cmd, http.MethodPut, args[0]) }
	return c
}

func pinLiftCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "lift NAME",
		Short: "Remove a pin; returns once no router applies it",
		Args:  cobra.ExactArgs(1),
	}
	f := newPinFlags(c)
	c.RunE = func(cmd *cobra.Command, args []string) error { return f.send(cmd, http.MethodDelete, args[0]) }
	return c
}

func pinListCommand() *cobra.Command {
	c := &cobra.Command{Use: "list", Short: "List the pins in force, with the number of hosts that can serve them", Args: cobra.NoArgs}
	to := newControlClient(c)
	asJSON := c.Flags().Bool("json", false, "print a line of JSON")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		list, err := to.listPins(cmd.Context())
		if err != nil {
			return err
		}
		if *asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(list)
		}
		printPins(cmd.OutOrStdout(), list)
		return nil
	}
	return c
}

func pinHistoryCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "history",
		Short: "List all changes of the pins, with author and reason, the oldest first",
		Args:  cobra.NoArgs,
	}
	to := newControlClient(c)
	asJSON := c.Flags().Bool("json", false, "print a line of JSON")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		text, err := to.call(cmd.Context(), http.MethodGet, pinsPath+"/history", "", nil)
		if err != nil {
			return err
		}
		var history controlapi.PinHistory
		if err := json.Unmarshal(text, &history); err != nil {
			return err
		}
		if *asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(history)
		}
		printPinHistory(cmd.OutOrStdout(), history)
		return nil
	}
	return c
}

func printPins(w io.Writer, list controlapi.PinList) {
	fmt.Fprintf(w, "revision %d, %d pins\n", list.Revision, len(list.Pins))
	writeTable(w, "name|tenant|route|model|version|hosts|set|by|why", func(row func(...any)) {
		for _, p := range list.Pins {
			row(p.Name, orAll(p.Tenant), orAll(p.Route), p.Model, p.Version, hostsText(p.Hosts),
				p.SetAt.Format(time.RFC3339), p.By, p.Why)
		}
	})
}

// hostsText says how many hosts can serve a pin's requests, or why no host can.
func hostsText(h *controlapi.PinHosts) string {
	switch {
	case h == nil:
		return noneText
	case h.Ready > 0 && h.OtherVersions > 0:
		return fmt.Sprintf("%d, %d with others", h.Ready, h.OtherVersions)
	case h.Ready > 0:
		return fmt.Sprint(h.Ready)
	case h.OtherVersions > 0:
		return fmt.Sprintf("none: all %d have others, so requests are refused", h.OtherVersions)
	}
	return "none has the model, so requests are refused"
}

func orAll(name string) string {
	if name == "" {
		return "all"
	}
	return name
}

func printPinHistory(w io.Writer, history controlapi.PinHistory) {
	writeTable(w, "revision|at|change|name|tenant|route|model|version|by|why", func(row func(...any)) {
		for _, c := range history.Changes {
			change := "set"
			if c.Lifted {
				change = "lifted"
			}
			row(c.Revision, c.At.Format(time.RFC3339), change, c.Pin.Name, orAll(c.Pin.Tenant), orAll(c.Pin.Route),
				c.Pin.Model, c.Pin.Version, c.By, c.Why)
		}
	})
}

// printPinFigures prints the outcomes of the requests in the pins' scopes, by router.
func printPinFigures(w io.Writer, answers []routerAnswer) {
	const heading = "pin|version|router|revision|in force for|hosts|requests|answered|wrong|refused|failed"
	writeTable(w, heading, func(row func(...any)) {
		forEachStatus(answers, func(_ routerAnswer, s *status.Router) {
			for _, p := range s.Pins.Pins {
				row(p.Name, p.Version, s.Name, s.Pins.Revision, durationText(&p.ActiveSeconds), p.Hosts,
					p.Requests, answeredText(p.Answered), p.WrongVersion, p.Rejected, p.Failed)
			}
		})
	})
}

// answeredText formats the number of complete answers for each model version.
func answeredText(answered map[int64]uint64) string {
	var counts []string
	for _, version := range slices.Sorted(maps.Keys(answered)) {
		counts = append(counts, fmt.Sprintf("%d: %d", version, answered[version]))
	}
	return cmp.Or(strings.Join(counts, ", "), noneText)
}
