package settings

import (
	"reflect"
	"slices"
)

// takenUp are the fields that a running process takes up when its settings are read again. The others count from its next start: addresses
// and files are in use, and what all machines of the register have to have alike is not changed by one of them.
var takenUp = []string{"SeedNodes", "Bounds", "Contracts"}

// keptBounds are the bounds that count from the next start all the same: windows that are being counted, and the grace that the platform
// gave at the start.
var keptBounds = []string{"QuotaWindowS"}

// After is what a process has in force that had settings and has read others since: and, by their names in the file, the fields that it
// took up and those that count from its next start.
func (s *Settings) After(read *Settings) (inForce *Settings, taken, later []string) {
	next := *s
	from, to := reflect.ValueOf(read).Elem(), reflect.ValueOf(&next).Elem()
	for i := range to.NumField() {
		field := to.Type().Field(i)
		if reflect.DeepEqual(from.Field(i).Interface(), to.Field(i).Interface()) {
			continue
		}
		name := field.Tag.Get("toml")
		switch {
		case field.Name == "Bounds":
			t, l := next.Bounds.after(read.Bounds)
			taken, later = append(taken, t...), append(later, l...)
		case slices.Contains(takenUp, field.Name):
			to.Field(i).Set(from.Field(i))
			taken = append(taken, name)
		default:
			later = append(later, name)
		}
	}
	return &next, taken, later
}

// after takes up the bounds of others, but those that count from the next start.
func (b *Bounds) after(read Bounds) (taken, later []string) {
	from, to := reflect.ValueOf(read), reflect.ValueOf(b).Elem()
	for i := range to.NumField() {
		field := to.Type().Field(i)
		if from.Field(i).Equal(to.Field(i)) {
			continue
		}
		name := "bounds." + field.Tag.Get("toml")
		if slices.Contains(keptBounds, field.Name) {
			later = append(later, name)
			continue
		}
		to.Field(i).Set(from.Field(i))
		taken = append(taken, name)
	}
	return taken, later
}
