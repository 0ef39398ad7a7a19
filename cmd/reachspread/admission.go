package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"reachspread/internal/router/program"
)

func admissionCommand() *cobra.Command {
	c := &cobra.Command{Use: "admission", Aliases: []string{"door"}, Short: "Query the admission control of a router"}
	c.AddCommand(statusCommand("Print the running router's admission level, descriptor use, refusals by cause and largest clients",
		program.AdmissionTopic, func(w io.Writer, text []byte) error {
			var s program.AdmissionStatus
			if err := json.Unmarshal(text, &s); err != nil {
				return err
			}
			printAdmission(w, &s)
			return nil
		}))
	return c
}

// printAdmission prints the admission level, the counters, the use of file descriptors and the
// clients that hold the most connections and requests.
func printAdmission(w io.Writer, s *program.AdmissionStatus) {
	fmt.Fprintf(w, "door: %s, %d places, %d of them for known clients, %d lent\n", s.Level, s.Slots, s.Reserve, s.Lent)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "  connections\tknown %d, unknown %d (in the lobby %d), on the step %d\n", s.Known, s.Unknown, s.Lobby, s.Step)
	fmt.Fprintf(t, "  open requests\t%d\n", s.Open)
	fmt.Fprintf(t, "  admitted\t%d, %d promoted\n", s.Admitted, s.Promoted)
	fmt.Fprintf(t, "  served\t%d\n", s.Served)
	for _, m := range []struct {
		name   string
		counts map[string]uint64
	}{{"requests refused", s.Refused}, {"connections turned away", s.Turned}, {"silent connections shut", s.Shut}} {
		for _, cause := range slices.Sorted(maps.Keys(m.counts)) {
			fmt.Fprintf(t, "  %s: %s\t%d\n", m.name, cause, m.counts[cause])
		}
	}
	fmt.Fprintf(t, "  episodes without a descriptor\t%d\n", s.Shorts)
	for _, l := range s.Descriptors.Owners {
		fmt.Fprintf(t, "  descriptors: %s\t%d of %d\n", l.Owner, l.Used, l.Limit)
	}
	fmt.Fprintf(t, "  descriptors: all\t%d counted, %d open, limit %d\n", s.Descriptors.Used(), s.Descriptors.Open, s.Descriptors.Limit)
	for _, h := range s.Holdings {
		known := ""
		if h.Known {
			known = ", known"
		}
		fmt.Fprintf(t, "  holds: %s\t%d connections, %d open requests%s\n", h.Name, h.Conns, h.Open, known)
	}
}
