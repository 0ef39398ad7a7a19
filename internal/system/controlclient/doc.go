// Package controlclient makes single calls of the control plane's HTTP API, as hosts and operators
// do.
//
// It has no state and does not retry. The caller decides whether and where to repeat a call whose
// outcome is unknown. Package controlapi describes when that is safe.
package controlclient
