// Package faultplan explores a deterministic simulation exhaustively. It runs the simulation with
// each kind of fault at each point where a fault can be injected, up to a maximum number of faults
// per run. The simulation counts its points and injects the faults of a plan. Each run starts the
// simulation from the beginning, so the same plan must always lead to the same run.
//
// The tests of this module's state machines use the package. Programs that embed these state
// machines can use it too.
package faultplan
