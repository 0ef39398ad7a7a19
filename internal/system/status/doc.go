// Package status has the types of a router's status, which the router serves at Path on its
// readiness address and the command line reads. The JSON names are part of the interface to
// operators and stay; the Go fields have the terms of the code.
//
// The package has no state. Times are in seconds, ages are as of the moment of the answer, and
// counts are since the start of the process. A pointer is nil, and null in JSON, where a router
// does not know.
package status
