// Package faultplan explores a deterministic simulation exhaustively: it runs it with each kind
// of fault at each point where one may be injected, up to a number of faults in one run. The
// simulation counts its points and injects the faults of a plan; it is started anew for each
// run, so the same plan has to lead to the same run.
//
// The tests of this module's state machines use it, and programs that embed them may.
package faultplan
