// Package scoreanalysis computes how much worth a played day of the fleet's bench lost to each part
// and each price. It reads a report of one day, or a journal entry of several days, and nothing else
// of the bench. Apart from reading its input, it has no side effects.
//
// A day's worth is the weighted sum of the values of its parts, minus the prices. So a part with
// value v loses its weight times (1 - v).
package scoreanalysis

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Day holds the worth of one day and what the day lost.
type Day struct {
	Name   string
	Seed   uint64
	Worth  float64  // weighted parts minus prices
	Score  float64  // the worth on the scale of the bench's marks; a report has no score
	Scored bool     // whether Score is set
	Losses []Loss   // largest first
	Broken []string // names of the broken rules, sorted
}

// Loss is the worth that one cause took from a day.
type Loss struct {
	Cause  string
	Worth  float64
	Amount float64 // for a price, the amount that is priced, in the unit of the cause; for a part, its value
}

// entry holds the fields that Read uses of a journal entry or a report.
type entry struct {
	Days   []day  `json:"days"` // only in a journal entry
	Site   string `json:"site"`
	ID     string `json:"id"`
	Why    string `json:"why"`
	report        // only in a report
}

type report struct {
	Worth  *float64       `json:"G"`
	Parts  []component    `json:"parts"`
	Prices []price        `json:"prices"`
	Breaks map[string]int `json:"breaks"`
}

type day struct {
	report
	Name  string         `json:"name"`
	Seed  uint64         `json:"seed"`
	Score *float64       `json:"score"`
	Rules map[string]int `json:"rules"`
}

// component is a part of a day's worth, with its weight and its value. It is encoded as a JSON array.
type component struct {
	name          string
	weight, value float64
}

// UnmarshalJSON decodes the array [name, weight, value].
func (p *component) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.name, &p.weight, &p.value})
}

// price is a name, the amount that is priced, and the worth that this amount took. It is encoded as a
// JSON array.
type price struct {
	name         string
	amount, took float64
}

// UnmarshalJSON decodes the array [name, amount, worth taken].
func (p *price) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.name, &p.amount, &p.took})
}

// Account holds the days of one file.
type Account struct {
	Site, ID, Why string // set only for a journal entry
	Days          []Day
}

// maxFileBytes is the maximum size of a file.
const maxFileBytes = 64 << 20

// errNoDay is the error for a file that contains no day.
var errNoDay = errors.New("the file has no day: it is neither a journal entry of a score, hunt or run, nor a report")

// Read reads a journal entry or a report.
func Read(from io.Reader) (*Account, error) {
	e := &entry{}
	if err := json.NewDecoder(io.LimitReader(from, maxFileBytes)).Decode(e); err != nil {
		return nil, fmt.Errorf("the file is neither a journal entry nor a report: %w", err)
	}
	a := &Account{Site: e.Site, ID: e.ID, Why: e.Why}
	for _, d := range e.Days {
		if d.Worth != nil {
			a.Days = append(a.Days, d.account())
		}
	}
	if e.Worth != nil {
		a.Days = append(a.Days, (&day{report: e.report, Name: "the day", Rules: e.Breaks}).account())
	}
	if len(a.Days) == 0 {
		return nil, errNoDay
	}
	return a, nil
}

func (d *day) account() Day {
	out := Day{Name: d.Name, Seed: d.Seed, Worth: *d.Worth}
	if d.Score != nil {
		out.Score, out.Scored = *d.Score, true
	}
	for _, p := range d.Parts {
		out.Losses = append(out.Losses, Loss{p.name, p.weight * (1 - p.value), p.value})
	}
	for _, p := range d.Prices {
		out.Losses = append(out.Losses, Loss{p.name, p.took, p.amount})
	}
	slices.SortStableFunc(out.Losses, func(a, b Loss) int { return cmp.Compare(b.Worth, a.Worth) })
	for rule, n := range d.Rules {
		if n > 0 {
			out.Broken = append(out.Broken, rule)
		}
	}
	slices.Sort(out.Broken)
	return out
}

// Lost returns the worth that a cause took from the day, or 0 if the day does not have the cause.
func (d *Day) Lost(cause string) float64 {
	for _, l := range d.Losses {
		if l.Cause == cause {
			return l.Worth
		}
	}
	return 0
}

// Named returns the first day with a name, or nil if there is none.
func (a *Account) Named(name string) *Day {
	for i := range a.Days {
		if a.Days[i].Name == name {
			return &a.Days[i]
		}
	}
	return nil
}

// Mean returns the mean loss of each cause over all days, largest first.
func (a *Account) Mean() []Loss {
	sums := map[string]float64{}
	var causes []string
	for _, d := range a.Days {
		for _, l := range d.Losses {
			if _, seen := sums[l.Cause]; !seen {
				causes = append(causes, l.Cause)
			}
			sums[l.Cause] += l.Worth
		}
	}
	var all []Loss
	for _, cause := range causes {
		all = append(all, Loss{Cause: cause, Worth: sums[cause] / float64(len(a.Days))})
	}
	slices.SortStableFunc(all, func(x, y Loss) int { return cmp.Compare(y.Worth, x.Worth) })
	return all
}
