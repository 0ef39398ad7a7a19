package protocol

import (
	"encoding/json"
	"fmt"

	"reachspread/balance"
)

// ParseLoad parses a load report. Its fields have the names that the settings give them, or the
// short names of the platform's pages: by the short ones alone, every report of a site that keeps
// to its settings would silently be empty. Unknown fields are ignored, and missing ones are
// negative.
func ParseLoad(text []byte) (*balance.Load, error) {
	var report map[string]any
	if err := json.Unmarshal(text, &report); err != nil {
		return nil, fmt.Errorf("load report: %w", err)
	}
	get := func(scale float64, names ...string) (float64, error) {
		for _, name := range names {
			switch v := report[name].(type) {
			case nil:
			case float64:
				return v * scale, nil
			default:
				return 0, fmt.Errorf("load report: %s is %v, not a number", name, v)
			}
		}
		return -1, nil
	}
	load := new(balance.Load)
	for _, field := range []struct {
		to    *float64
		scale float64
		names []string
	}{
		{&load.InFlight, 1, []string{"busy_reqs", "inflight"}},
		{&load.Utilization, 1, []string{"cpu_share", "util"}},
		{&load.PrefillTokens, 1000, []string{"x1"}}, // reported in thousands
	} {
		v, err := get(field.scale, field.names...)
		if err != nil {
			return nil, err
		}
		*field.to = v
	}
	return load, nil
}
