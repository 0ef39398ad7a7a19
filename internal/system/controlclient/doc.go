// Package controlclient makes one call of the control plane's HTTP API, as hosts and operators do.
//
// It has no state and retries nothing: whether and where a call whose outcome is unknown is made
// again is the caller's decision (see package controlapi for when that is safe).
package controlclient
