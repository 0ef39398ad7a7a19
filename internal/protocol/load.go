package protocol

import (
	"encoding/json"
	"fmt"

	"reachspread/balance"
)

// ParseLoad parses a load report. A field may have the name from the settings or the short name from
// the platform's documentation. If only the short names were accepted, all reports of a site that
// uses the names from its settings would silently be read as empty. ParseLoad ignores unknown fields
// and sets missing ones to -1.
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
