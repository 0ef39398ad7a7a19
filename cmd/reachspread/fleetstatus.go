package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"reachspread/internal/system/status"
)

// fleetStatusCommands returns the commands that query routers of the fleet at their readiness
// addresses.
func fleetStatusCommands() []*cobra.Command {
	return []*cobra.Command{
		routerStatusCommand("status", "Print the state of routers of the fleet: readiness, configuration in force, requests", printStatus),
		routerStatusCommand("members", "Print which routers a router of the fleet sees as alive", printMembers),
		routerStatusCommand("register", "Print the register as a router of the fleet sees it: the chain, which machines lag behind, which disks are failing", printRegister),
		shardsCommand(),
		configurationCommand(),
		routerStatusCommand("hosts", "Print the hosts of each service as a router of the fleet sees them", printHosts),
	}
}

// routerStatusCommand returns a command that fetches the status of routers and prints it with
// render, or as JSON. With --watch the command repeats this.
func routerStatusCommand(use, short string, render func(io.Writer, []routerAnswer)) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs}
	at := c.Flags().StringSlice("at", nil, "the readiness `address` of a router; the flag may be repeated")
	all := c.Flags().Bool("all", false, "query also all members that the given routers report; they must use the same readiness port")
	asJSON := c.Flags().Bool("json", false, "print a line of JSON")
	watch := c.Flags().Duration("watch", 0, "repeat the query after this `time`, until Ctrl-C")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		if len(*at) == 0 {
			return errors.New("--at must name the readiness address of a router, which is under listenAddresses in the router's settings file")
		}
		for {
			answers, err := fetchStatuses(cmd.Context(), *at, *all)
			if err != nil {
				return err
			}
			if *asJSON {
				err = json.NewEncoder(cmd.OutOrStdout()).Encode(answers)
			} else {
				render(cmd.OutOrStdout(), answers)
			}
			if *watch == 0 {
				return cmp.Or(err, failures(answers))
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

func printStatus(w io.Writer, answers []routerAnswer) {
	const heading = "router|at|zone|up|ready|configuration|confirmed|members|requests|rejected|cpu|stalled"
	writeTable(w, heading, func(row func(...any)) {
		for _, a := range answers {
			s := a.Status
			if s == nil {
				row(noneText, a.At, noneText, noneText, a.Error)
				continue
			}
			row(s.Name, a.At, s.Zone, durationText(&s.UptimeSeconds), readyText(s), s.Configuration.Version,
				durationText(s.Configuration.ConfirmedAgeSeconds), len(s.Members), s.Requests.Received, s.Requests.Rejected,
				durationText(s.Process.CPUSeconds), stalledSteps(s.Loops))
		}
	})
}

// stalledSteps returns the number of steps, over all loops, that were caused by a timer that was due
// again immediately. Many such steps indicate a busy loop.
func stalledSteps(all []status.Loop) (stalled uint64) {
	for _, l := range all {
		stalled += l.Stalled
	}
	return stalled
}

func readyText(s *status.Router) string {
	switch {
	case s.DrainPhase != "":
		return "leaving: " + s.DrainPhase
	case s.Draining:
		return "leaving"
	case s.Ready:
		return "yes"
	}
	return "no"
}

func printMembers(w io.Writer, answers []routerAnswer) {
	forEachStatus(answers, func(a routerAnswer, s *status.Router) {
		fmt.Fprintf(w, "%s at %s sees %d routers\n", s.Name, a.At, len(s.Members))
		writeTable(w, "address|zone|state|core", func(row func(...any)) {
			for _, m := range s.Members {
				row(m.Address, m.Zone, m.State, yesOrNo(m.Eligible))
			}
		})
	})
}

func printConfiguration(w io.Writer, answers []routerAnswer) {
	newest := int64(0)
	forEachStatus(answers, func(_ routerAnswer, s *status.Router) { newest = max(newest, s.Configuration.Version) })
	const heading = "router|at|version|newest|routes|tenants|confirmed|keys honoured|from"
	writeTable(w, heading, func(row func(...any)) {
		for _, a := range answers {
			if a.Status == nil {
				row(noneText, a.At, noneText, a.Error)
				continue
			}
			c := a.Status.Configuration
			row(a.Status.Name, a.At, c.Version, yesOrNo(c.Version == newest), c.Routes, c.Tenants,
				durationText(c.ConfirmedAgeSeconds), yesOrNo(c.HonoursKeys), cmp.Or(c.Source, "the register"))
		}
	})
}

func printHosts(w io.Writer, answers []routerAnswer) {
	forEachStatus(answers, func(a routerAnswer, s *status.Router) {
		fmt.Fprintf(w, "%s at %s\n", s.Name, a.At)
		writeTable(w, "service|host|address|zone|state|slots|cold|models", func(row func(...any)) {
			for _, service := range s.Services {
				for _, h := range service.Hosts {
					row(service.Name, h.ID, h.Address, h.Zone, h.State, h.Slots, durationText(&h.SlowStartSeconds), modelsText(h.Models))
				}
			}
		})
	})
}
