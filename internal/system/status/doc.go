// Package status defines the types of a router's status. The router serves its status at Path on its
// readiness address, and the command line reads it. The JSON names are part of the interface to
// operators and must not change; the Go fields have the terms of the code.
//
// The package has no state. Times are in seconds. Ages are measured at the time of the answer.
// Counts start when the process starts. A pointer is nil, and null in JSON, if the router does not
// know the value.
package status
