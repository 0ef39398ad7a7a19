// Package settings reads the settings file of a router of the fleet. The file is in TOML, and the
// environment variable REACHSPREAD_CONFIG holds its path.
//
// Load reads and validates the file. It ignores unknown fields, so that a router can read a file for
// a later version. For an invalid value it returns a *FieldError, whose text is one line. Settings
// are immutable once they are read. When a process reads the file again, Reload returns new
// settings.
package settings
