// Package capacity estimates from measurements what a fleet of the planned size costs. It reads
// stored results, fits a line to each measured quantity (a slope), and writes the tables of
// docs/CAPACITY.md. It measures nothing itself.
package capacity

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
)

// minSizes is the minimum number of fleet sizes at which a slope must be measured.
const minSizes = 5

// maxResidual is the largest distance between a point and the line, as a fraction of the largest
// median, at which the slope counts as linear.
const maxResidual = 0.1

// Sample is one measured value.
type Sample struct {
	Slope string  // what was measured, for example "bytes sent for membership"
	Unit  string  // unit of the value, for example "bytes/s"
	Over  string  // what Size counts: "routers" or "hosts"
	Size  float64 // size of the measured fleet
	Value float64
}

// Planned is the fleet size to design for: the number of routers and the number of hosts.
var Planned = map[string]float64{"routers": 330, "hosts": 810}

// header is the first line of a file of results.
var header = []string{"slope", "unit", "over", "size", "value"}

// Read reads stored results: a CSV file whose first line names the columns.
func Read(r io.Reader) ([]Sample, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 || !slices.Equal(rows[0], header) {
		return nil, fmt.Errorf("line 1: must be %s", strings.Join(header, ","))
	}
	var all []Sample
	for i, row := range rows[1:] {
		s := Sample{Slope: row[0], Unit: row[1], Over: row[2]}
		if Planned[s.Over] == 0 {
			return nil, fmt.Errorf("line %d: over is %q; it must be routers or hosts", i+2, s.Over)
		}
		if s.Size, err = strconv.ParseFloat(row[3], 64); err != nil || s.Size <= 0 {
			return nil, fmt.Errorf("line %d: size is %q; it must be a number above 0", i+2, row[3])
		}
		if s.Value, err = strconv.ParseFloat(row[4], 64); err != nil || s.Value < 0 {
			return nil, fmt.Errorf("line %d: value is %q; it must be a number of 0 or more", i+2, row[4])
		}
		all = append(all, s)
	}
	return all, nil
}

// Point summarizes the values that were measured at one size.
type Point struct {
	Size, Median float64
	Spread       float64 // largest minus smallest value, as a fraction of the median
	Repetitions  int
}

// Line is a line fitted to the medians of a slope.
type Line struct {
	Slope, Unit, Over string
	Points            []Point // sorted by size
	At0, PerUnit      float64
	Residual          float64 // largest distance of a point from the line, as a fraction of the largest median
}

// Linear reports whether the points are close enough to the line to extrapolate from it.
func (l *Line) Linear() bool { return l.Residual <= maxResidual }

// At returns the value of the line at a size.
func (l *Line) At(size float64) float64 { return l.At0 + l.PerUnit*size }

// Extrapolated reports whether the planned size is larger than the largest measured size.
func (l *Line) Extrapolated() bool {
	return Planned[l.Over] > l.Points[len(l.Points)-1].Size
}

// Fit groups samples by slope and fits a line to each group. The lines have the order in which the
// slopes first occur in samples.
func Fit(samples []Sample) ([]Line, error) {
	var lines []Line
	var names []string
	groups := map[string][]Sample{}
	for _, s := range samples {
		if groups[s.Slope] == nil {
			names = append(names, s.Slope)
		}
		groups[s.Slope] = append(groups[s.Slope], s)
	}
	for _, name := range names {
		l := Line{Slope: name, Unit: groups[name][0].Unit, Over: groups[name][0].Over, Points: points(groups[name])}
		if len(l.Points) < minSizes {
			return nil, fmt.Errorf("%s: %d sizes were measured; at least %d are needed", name, len(l.Points), minSizes)
		}
		l.fit()
		lines = append(lines, l)
	}
	return lines, nil
}

func points(samples []Sample) (all []Point) {
	values := map[float64][]float64{}
	for _, s := range samples {
		values[s.Size] = append(values[s.Size], s.Value)
	}
	for size, v := range values {
		slices.Sort(v)
		p := Point{Size: size, Median: v[len(v)/2], Repetitions: len(v)}
		if p.Median > 0 {
			p.Spread = (v[len(v)-1] - v[0]) / p.Median
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	return all
}

// fit computes the line by the method of least squares, and its residual.
func (l *Line) fit() {
	n := float64(len(l.Points))
	var x, y, xx, xy, largest float64
	for _, p := range l.Points {
		x, y, xx, xy = x+p.Size, y+p.Median, xx+p.Size*p.Size, xy+p.Size*p.Median
		largest = max(largest, p.Median)
	}
	l.PerUnit = (n*xy - x*y) / (n*xx - x*x)
	l.At0 = (y - l.PerUnit*x) / n
	for _, p := range l.Points {
		if largest > 0 {
			l.Residual = max(l.Residual, math.Abs(l.At(p.Size)-p.Median)/largest)
		}
	}
}

// Tables returns a Markdown table of the lines. A row shows what was measured, the fit, and the
// value at the planned size.
func Tables(lines []Line) string {
	var b strings.Builder
	b.WriteString("| what | over | sizes: medians | repetitions | spread, at most | fit | residual | at the planned size |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i := range lines {
		l := &lines[i]
		var sizes []string
		spread, fewest := 0.0, l.Points[0].Repetitions
		for _, p := range l.Points {
			sizes = append(sizes, fmt.Sprintf("%s: %s", number(p.Size), number(p.Median)))
			spread, fewest = max(spread, p.Spread), min(fewest, p.Repetitions)
		}
		fmt.Fprintf(&b, "| %s, %s | %s | %s | %d | %.0f%% | %s + %s x size | %.0f%% | %s |\n", l.Slope, l.Unit, l.Over, strings.Join(sizes, ", "), fewest,
			100*spread, number(l.At0), number(l.PerUnit), 100*l.Residual, l.planned())
	}
	return b.String()
}

// planned returns the table cell for the value at the planned size.
func (l *Line) planned() string {
	size := Planned[l.Over]
	if !l.Linear() {
		return fmt.Sprintf("not linear: no figure from the line for %s", number(size))
	}
	text := fmt.Sprintf("%s at %s", number(l.At(size)), number(size))
	if l.Extrapolated() {
		text += ", extrapolated"
	}
	return text
}

// number formats x with three significant digits, or as an integer if its absolute value is 1000 or
// more.
func number(x float64) string {
	if math.Abs(x) >= 1000 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'g', 3, 64)
}
