package settings

import (
	"reflect"
	"slices"
)

// reloadable are the fields that a running process applies when it reloads its settings. The other
// fields take effect at the next start, because addresses and files are in use, and because one
// machine of the register must not change a setting that has to be the same on all of them.
var reloadable = []string{"SeedNodes", "Bounds", "Contracts"}

// startOnlyBounds are the bounds that take effect only at the next start although Bounds is
// reloadable. A running process counts usage in windows of QuotaWindowS.
var startOnlyBounds = []string{"QuotaWindowS"}

// Reload returns the settings that are in force after a process with settings s has read new ones.
// Applied lists the changed fields that are in force now, and deferred lists the changed fields that
// take effect at the next start. Both use the names in the file.
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

// reload applies the bounds that were read, except for those in startOnlyBounds.
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
