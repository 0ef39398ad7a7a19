package settings

import (
	"reflect"
	"slices"
)

// reloadable are the fields that a running process applies when its settings are read again. The
// others count from its next start: addresses and files are in use, and one machine of the register
// must not change what all of them have to have alike.
var reloadable = []string{"SeedNodes", "Bounds", "Contracts"}

// startOnlyBounds are the bounds that count from the next start all the same: usage is being
// counted in windows of that length.
var startOnlyBounds = []string{"QuotaWindowS"}

// Reload returns the settings in force once a process that had s has read others. Applied and
// deferred name the changed fields, as the file has them: those in force now, and those that count
// from the next start.
func (s *Settings) Reload(read *Settings) (inForce *Settings, applied, deferred []string) {
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
			now, later := next.Bounds.reload(read.Bounds)
			applied, deferred = append(applied, now...), append(deferred, later...)
		case slices.Contains(reloadable, field.Name):
			to.Field(i).Set(from.Field(i))
			applied = append(applied, name)
		default:
			deferred = append(deferred, name)
		}
	}
	return &next, applied, deferred
}

// reload applies the bounds that were read, but for those that count from the next start.
func (b *Bounds) reload(read Bounds) (applied, deferred []string) {
	from, to := reflect.ValueOf(read), reflect.ValueOf(b).Elem()
	for i := range to.NumField() {
		field := to.Type().Field(i)
		if from.Field(i).Equal(to.Field(i)) {
			continue
		}
		name := "bounds." + field.Tag.Get("toml")
		if slices.Contains(startOnlyBounds, field.Name) {
			deferred = append(deferred, name)
			continue
		}
		to.Field(i).Set(from.Field(i))
		applied = append(applied, name)
	}
	return applied, deferred
}
