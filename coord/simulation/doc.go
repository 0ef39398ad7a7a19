// Package simulation runs registers in virtual time: processes with disks on a network, clients
// that submit commands and read, and the faults of the operators' bench. Each step and the end
// of a run are checked against what a register promises.
//
// Everything in a World follows from its seed: the same seed gives the same run. A World is
// used by one goroutine; different Worlds share nothing, so that many can run in parallel. The
// tests of coord/register replicate a small Counter, those of the configuration the store of
// the control plane.
//
// A FaultInjector draws faults and keeps count of what they take away, so that a run either
// stays within the tolerance of the register or goes beyond it on purpose. World.InjectAt
// places faults at exact points instead, for package faultplan. A Bug is built into the program
// on purpose, to test that the checks find it.
package simulation
