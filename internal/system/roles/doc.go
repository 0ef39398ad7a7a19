// Package roles runs one router of the fleet in the current process. It loads the settings from
// the file that the environment names and serves until a signal ends the process. All programs
// that can act as a router use this package.
package roles
