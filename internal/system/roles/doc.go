// Package roles runs a router of the fleet as the process that it is in: with the settings of the
// file that the environment names, until a signal ends it. The programs that can be a router share
// it.
package roles
