package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"reachspread/internal/router/mirror"
	"reachspread/internal/router/program"
	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/transport"
)

// reporter is the name of the program that makes reports, which is installed in the same folder as
// this program. It is a separate program so that the router does not link the chart libraries.
const reporter = "reachreport"

func shadowCommand() *cobra.Command {
	c := &cobra.Command{Use: "shadow", Short: "Query the shadow pools"}
	c.AddCommand(shadowStatusCommand(), shadowReportCommand())
	return c
}

func shadowReportCommand() *cobra.Command {
	return &cobra.Command{
		Use:                "report DIR [--format terminal|markdown|csv|json] [--html FILE]",
		Short:              "Report on the records in a folder; runs " + reporter + " from the folder of this program",
		DisableFlagParsing: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			return runReporter(cmd.OutOrStdout(), cmd.ErrOrStderr(), args)
		},
	}
}

// runReporter runs the reporter program. If the reporter exits with an error, it has already printed
// the reason, and this process exits with the same status.
func runReporter(stdout, stderr io.Writer, args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	run := exec.Command(filepath.Join(filepath.Dir(self), reporter), append([]string{"shadow"}, args...)...)
	run.Stdout, run.Stderr = stdout, stderr
	err = run.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		os.Exit(exit.ExitCode())
	}
	if err != nil {
		return fmt.Errorf("%w; build it with `go build -o bin/ ./cmd/...` first", err)
	}
	return nil
}

func shadowStatusCommand() *cobra.Command {
	return statusCommand("Print the limits of a running router's shadow pools, dropped copies by cause and the health of each pool", program.ShadowTopic,
		func(w io.Writer, text []byte) error {
			var r mirror.Report
			if err := json.Unmarshal(text, &r); err != nil {
				return err
			}
			printShadow(w, &r)
			return nil
		})
}

// statusCommand returns a command that asks a router for its status on a topic and prints the answer
// with show, or as JSON.
func statusCommand(short, topic string, show func(io.Writer, []byte) error) *cobra.Command {
	c := &cobra.Command{Use: "status", Short: short, Args: cobra.NoArgs}
	file := settingsFlag(c)
	name := c.Flags().String("name", "", "the router's `name`; needed if several routers share the status folder")
	asJSON := c.Flags().Bool("json", false, "print JSON")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		text, err := askRouter(*file, *name, topic)
		if err != nil {
			return err
		}
		if *asJSON {
			_, err = fmt.Fprintln(cmd.OutOrStdout(), string(text))
			return err
		}
		return show(cmd.OutOrStdout(), text)
	}
	return c
}

// askRouter asks a router for its status on a topic. It finds the router's status socket in the
// folder that the settings file names.
func askRouter(file, name, topic string) ([]byte, error) {
	if file == "" {
		return nil, errors.New("--settings must name a settings file with a status block, which names the folder of the status sockets")
	}
	set, err := settings.Read(file)
	if err != nil {
		return nil, err
	}
	if set.StatusDir == "" {
		return nil, fmt.Errorf("settings file %s has no status block", file)
	}
	socket, err := transport.StatusSocket(set.StatusDir, name)
	if err != nil {
		return nil, err
	}
	return transport.AskStatus(socket, topic)
}

// printShadow prints a table for each shadow pool and one line about the stored records.
func printShadow(w io.Writer, r *mirror.Report) {
	for i := range r.Pools {
		printPool(w, &r.Pools[i])
	}
	switch {
	case r.Records.Folder == "":
		fmt.Fprintln(w, "records: not kept")
	case r.Records.Failing != "":
		fmt.Fprintf(w, "records: %d written, %d lost; failing: %s\n", r.Records.Written, r.Records.Lost, r.Records.Failing)
	default:
		fmt.Fprintf(w, "records: %d written to %s, %d lost\n", r.Records.Written, r.Records.Folder, r.Records.Lost)
	}
}

// printPool prints the state, the limits and the counters of one shadow pool.
func printPool(w io.Writer, p *mirror.Status) {
	fmt.Fprintf(w, "pool %s: %s, %d hosts, pressure %s\n", p.Pool, p.Health, p.Hosts, p.Level)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, v any) { fmt.Fprintf(t, "  %s\t%v\n", name, v) }
	if p.RetryIn != "" {
		row("next trial in", p.RetryIn)
	}
	row("share", strconv.FormatFloat(p.Share, 'g', -1, 64))
	row("copies a second, at most", p.Caps.PerSecond)
	row("copies out", fmt.Sprintf("%d of %d, %d a host", p.InFlight, p.Caps.InFlight, p.Caps.PerHost))
	row("copies waiting", fmt.Sprintf("%d of %d", p.Waiting, p.Caps.Waiting))
	row("waiting for the live answer", p.Pairing)
	row("bytes of bodies", fmt.Sprintf("%d of %d", p.BodyBytes, p.Caps.BodyBytes))
	row("offered", p.Offered)
	row("started", p.Started)
	row("recorded", fmt.Sprintf("%d, %d of them compared", p.Recorded, p.Compared))
	row("passed over, busy", p.Busy)
	row("attempts denied by copies_per_host", p.HostFull)
	for _, m := range []struct {
		name   string
		counts map[shadow.Cause]uint64
	}{{"dropped", p.Dropped}, {"ended", p.Ended}, {"not comparable", p.Incomparable}} {
		for _, cause := range slices.Sorted(maps.Keys(m.counts)) {
			row(m.name+": "+string(cause), m.counts[cause])
		}
	}
	for _, signal := range slices.Sorted(maps.Keys(p.PressureSignals)) {
		row("pressure by "+signal, p.PressureSignals[signal])
	}
	for _, class := range slices.Sorted(maps.Keys(p.Times)) {
		x := p.Times[class]
		row(class+", first event, ms p50/p90/p99", spreads(x.LiveFirst, x.CopyFirst))
		row(class+", whole answer, ms p50/p90/p99", spreads(x.LiveTotal, x.CopyTotal))
	}
	t.Flush()
}

// spreads formats the latency quantiles of live requests and of their copies, in milliseconds.
func spreads(live, copied mirror.Spread) string {
	return fmt.Sprintf("live %d/%d/%d, copies %d/%d/%d", live.P50, live.P90, live.P99, copied.P50, copied.P90, copied.P99)
}
