// Package scoreanalysis says what a played day of the fleet's bench lost, by part and by price:
// from a report of one day, or from a journal entry of several. It reads nothing else of the bench.
// It is pure but for the reader that it is given.
//
// A day's worth is the sum of its parts' values by their weights, less the prices. So what a part
// loses is its weight times what its value lacks of 1.
package scoreanalysis

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Day is what one day lost.
type Day struct {
	Name   string
	Seed   uint64
	Worth  float64 // parts less prices
	Score  float64 // the worth between the bench's marks; that of a report has none
	Scored bool
	Losses []Loss // the greatest first
	Broken []string
}

// Loss is what one cause took of a day's worth.
type Loss struct {
	Cause  string
	Worth  float64
	Amount float64 // of what is priced, in the unit of the cause; of a part, its value
}

// entry is what is read of both files.
type entry struct {
	Days   []day  `json:"days"` // of a journal entry
	Site   string `json:"site"`
	ID     string `json:"id"`
	Why    string `json:"why"`
	report        // of a report
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

// component is a name, a weight and a value.
type component struct {
	name          string
	weight, value float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *component) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.name, &p.weight, &p.value})
}

// price is a name, an amount and what that took.
type price struct {
	name         string
	amount, took float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *price) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.name, &p.amount, &p.took})
}

// Account is the days of one file.
type Account struct {
	Site, ID, Why string // of a journal entry
	Days          []Day
}

// mostBytes bounds a file.
const mostBytes = 64 << 20

// errNoDay says that a file has none.
var errNoDay = errors.New("it has no day: neither a journal entry of a score, hunt or run, nor a report")

// Read reads a journal entry or a report.
func Read(from io.Reader) (*Account, error) {
	e := &entry{}
	if err := json.NewDecoder(io.LimitReader(from, mostBytes)).Decode(e); err != nil {
		return nil, fmt.Errorf("not an entry or a report: %w", err)
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

// Lost is what a cause took of a day, 0 for nothing.
func (d *Day) Lost(cause string) float64 {
	for _, l := range d.Losses {
		if l.Cause == cause {
			return l.Worth
		}
	}
	return 0
}

// Named is the day of a name, nil for none.
func (a *Account) Named(name string) *Day {
	for i := range a.Days {
		if a.Days[i].Name == name {
			return &a.Days[i]
		}
	}
	return nil
}

// Mean is what each cause took on average over all days, the greatest first.
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
