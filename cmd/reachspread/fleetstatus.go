package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
	"github.com/spf13/cobra"

	"reachspread/internal/system/status"
)

const (
	statusFor   = 3 * time.Second // a router has to answer
	mostAtOnce  = 32              // routers that are asked at once
	noneMark    = "-"
	outsideMark = "outside"
)

// told is one router's answer.
type told struct {
	At     string         `json:"at"` // its readiness address
	Error  string         `json:"error,omitempty"`
	Status *status.Router `json:"status,omitempty"`
}

// fleetStatusCommands ask routers of the fleet at their readiness addresses.
func fleetStatusCommands() []*cobra.Command {
	return []*cobra.Command{
		routerStatusCommand("status", "Ask routers of the fleet how they stand: ready, configuration in force, requests", printStatus),
		routerStatusCommand("members", "Ask a router of the fleet which routers live, as it sees it", printMembers),
		routerStatusCommand("register", "Ask a router of the fleet for the register's view: the chain, who is behind, whose disk is in trouble", printRegister),
		shardsCommand(),
		configurationCommand(),
		routerStatusCommand("hosts", "Ask a router of the fleet which hosts each service has", printHosts),
	}
}

// routerStatusCommand is a command that prints what routers answer, once or over and over.
func routerStatusCommand(use, short string, print func(io.Writer, []told)) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs}
	at := c.Flags().StringSlice("at", nil, "the readiness `address` of a router; may be given several times")
	all := c.Flags().Bool("all", false, "ask all routers that the first one sees, too; they have the readiness port in common")
	asJSON := c.Flags().Bool("json", false, "print a line of JSON")
	watch := c.Flags().Duration("watch", 0, "ask again and again, with this `time` in between, until Ctrl-C")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		if len(*at) == 0 {
			return errors.New("--at must name the readiness address of a router, as its settings file has it under listenAddresses")
		}
		for {
			answers, err := askStatus(cmd.Context(), *at, *all)
			if err != nil {
				return err
			}
			if *asJSON {
				err = json.NewEncoder(cmd.OutOrStdout()).Encode(answers)
			} else {
				print(cmd.OutOrStdout(), answers)
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

// failures is what went wrong with the routers that were asked, nil for nothing.
func failures(answers []told) error {
	var all []error
	for _, a := range answers {
		if a.Error != "" {
			all = append(all, fmt.Errorf("%s: %s", a.At, a.Error))
		}
	}
	return errors.Join(all...)
}

// askStatus asks routers, and with all of them set those that they see, in the order of their addresses.
func askStatus(ctx context.Context, at []string, all bool) ([]told, error) {
	answers := askEach(ctx, at)
	if !all {
		return answers, nil
	}
	known := mapset.NewThreadUnsafeSet(at...)
	var more []string
	for _, a := range answers {
		others, err := othersOf(a)
		if err != nil {
			return nil, err
		}
		for _, address := range others {
			if known.Add(address) {
				more = append(more, address)
			}
		}
	}
	answers = append(answers, askEach(ctx, more)...)
	slices.SortFunc(answers, func(a, b told) int { return cmp.Compare(a.At, b.At) })
	return answers, nil
}

// othersOf are the readiness addresses of the routers that one sees.
func othersOf(a told) (all []string, err error) {
	if a.Status == nil {
		return nil, nil
	}
	_, port, err := net.SplitHostPort(a.At)
	if err != nil {
		return nil, fmt.Errorf("--at %s: %w", a.At, err)
	}
	for _, m := range a.Status.Members {
		host, _, err := net.SplitHostPort(m.Address)
		if err != nil {
			continue // of a router that we do not understand
		}
		all = append(all, net.JoinHostPort(host, port))
	}
	return all, nil
}

// askEach asks routers, some at once; the answers are in the order of the addresses.
func askEach(ctx context.Context, at []string) []told {
	answers := make([]told, len(at))
	places := make(chan struct{}, mostAtOnce)
	var group sync.WaitGroup
	for i, address := range at {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			answers[i] = askOne(ctx, address)
		})
	}
	group.Wait()
	return answers
}

func askOne(ctx context.Context, at string) told {
	ctx, cancel := context.WithTimeout(ctx, statusFor)
	defer cancel()
	fail := func(err error) told { return told{At: at, Error: err.Error()} }
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+status.Path, nil)
	if err != nil {
		return fail(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return fail(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fail(fmt.Errorf("the router answers %s", answer.Status))
	}
	s, err := status.Read(answer.Body)
	if err != nil {
		return fail(err)
	}
	return told{At: at, Status: s}
}

// table writes rows under a heading, in columns.
func table(w io.Writer, heading string, rows func(row func(columns ...any))) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, strings.ReplaceAll(heading, "|", "\t"))
	rows(func(columns ...any) {
		for i, c := range columns {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, c)
		}
		fmt.Fprintln(t)
	})
}

// eachStatus calls a function for each router that answered.
func eachStatus(answers []told, do func(a told, s *status.Router)) {
	for _, a := range answers {
		if a.Status != nil {
			do(a, a.Status)
		}
	}
}

func printStatus(w io.Writer, answers []told) {
	table(w, "router|at|zone|up|ready|configuration|confirmed|members|requests|rejected|cpu|stalled", func(row func(...any)) {
		for _, a := range answers {
			s := a.Status
			if s == nil {
				row(noneMark, a.At, noneMark, noneMark, a.Error)
				continue
			}
			row(s.Name, a.At, s.Zone, seconds(&s.UptimeSeconds), readyText(s), s.Configuration.Version, seconds(s.Configuration.ConfirmedAgeSeconds), len(s.Members),
				s.Requests.Received, s.Requests.Rejected, seconds(s.Process.CPUSeconds), stalledSteps(s.Loops))
		}
	})
}

// stalledSteps are the steps of all loops whose timer was due again at once.
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

func printMembers(w io.Writer, answers []told) {
	eachStatus(answers, func(a told, s *status.Router) {
		fmt.Fprintf(w, "%s at %s sees %d routers\n", s.Name, a.At, len(s.Members))
		table(w, "address|zone|state|core", func(row func(...any)) {
			for _, m := range s.Members {
				row(m.Address, m.Zone, m.State, yes(m.Eligible))
			}
		})
	})
}

func printRegister(w io.Writer, answers []told) {
	eachStatus(answers, func(a told, s *status.Router) {
		fmt.Fprintf(w, "%s at %s: view %d\n", s.Name, a.At, s.Register.Epoch)
		if r := s.Register.Replica; r != nil {
			fmt.Fprintf(w, "  replica %s at change %d, disk in time: %s, epoch confirmed: %s, shards of the duties: %d\n", r.Identity, r.Sequence, yes(r.Healthy), seconds(r.ConfirmedAgeSeconds), r.Shards)
			fmt.Fprintf(w, "  may lose %d of %d machines%s\n", r.CurrentTolerance, r.TargetTolerance, shortText(r))
		}
		table(w, "address|identity|votes|chain|heard|change|behind|complete|disk|leaving", func(row func(...any)) {
			for _, m := range s.Register.Machines {
				row(m.Address, m.Identity, yes(m.Member), chainText(m, s.Register.Machines), seconds(m.HeardAgeSeconds), m.Sequence, m.Behind, yes(m.Complete), diskText(m), yes(m.Draining))
			}
		})
	})
}

// shortText tells for how long fewer machines may be lost than are to be.
func shortText(r *status.Replica) string {
	if r.ShortSeconds == nil {
		return ""
	}
	return ", fewer than are to be borne for " + seconds(r.ShortSeconds)
}

// chainText is a machine's place in the chain.
func chainText(m status.Machine, all []status.Machine) string {
	last := 0
	for _, other := range all {
		last = max(last, other.ChainPosition)
	}
	switch m.ChainPosition {
	case 0:
		return outsideMark
	case 1:
		return "1 head"
	case last:
		return fmt.Sprint(m.ChainPosition, " tail")
	}
	return fmt.Sprint(m.ChainPosition)
}

// diskText is how a machine says that its disk does; nothing where it was not heard of.
func diskText(m status.Machine) string {
	if m.HeardAgeSeconds == nil {
		return noneMark
	}
	if m.Healthy {
		return "in time"
	}
	return "in trouble"
}

func printConfiguration(w io.Writer, answers []told) {
	newest := int64(0)
	eachStatus(answers, func(_ told, s *status.Router) { newest = max(newest, s.Configuration.Version) })
	table(w, "router|at|version|newest|routes|tenants|confirmed|keys honoured|from", func(row func(...any)) {
		for _, a := range answers {
			if a.Status == nil {
				row(noneMark, a.At, noneMark, a.Error)
				continue
			}
			c := a.Status.Configuration
			row(a.Status.Name, a.At, c.Version, yes(c.Version == newest), c.Routes, c.Tenants, seconds(c.ConfirmedAgeSeconds), yes(c.HonoursKeys), cmp.Or(c.Source, "the register"))
		}
	})
}

func printHosts(w io.Writer, answers []told) {
	eachStatus(answers, func(a told, s *status.Router) {
		fmt.Fprintf(w, "%s at %s\n", s.Name, a.At)
		table(w, "service|host|address|zone|state|slots|cold|models", func(row func(...any)) {
			for _, service := range s.Services {
				for _, h := range service.Hosts {
					cold := h.SlowStartSeconds
					row(service.Name, h.ID, h.Address, h.Zone, h.State, h.Slots, seconds(&cold), modelsText(h.Models))
				}
			}
		})
	})
}

func modelsText(all []status.Model) string {
	var words []string
	for _, m := range all {
		words = append(words, fmt.Sprintf("%s:%d", m.Name, m.Version))
	}
	return cmp.Or(strings.Join(words, ","), noneMark)
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// seconds is a time for people, a dash for none.
func seconds(s *float64) string {
	if s == nil {
		return noneMark
	}
	return (time.Duration(*s * float64(time.Second))).Round(10 * time.Millisecond).String()
}
