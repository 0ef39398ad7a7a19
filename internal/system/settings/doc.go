// Package settings reads the settings file of a router of the fleet: TOML, whose path is in the
// environment variable REACHSPREAD_CONFIG.
//
// Load reads and validates the file. Fields that it does not know are ignored, so that a file of a
// later version can be used; a value that can't be used is a *FieldError in one line. Settings are
// not changed once they are read: Reload returns new ones, for a process whose file was read again.
package settings
