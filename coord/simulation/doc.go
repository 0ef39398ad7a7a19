// Package simulation runs registers in virtual time: processes with disks on a network, clients
// that submit commands and read, and the faults of the operators' test bench. The simulation
// checks the guarantees of a register after each step and at the end of a run.
//
// Everything in a World follows from its seed: the same seed gives the same run. A World is
// used by one goroutine; different Worlds share nothing, so that many can run in parallel. The
// tests of coord/register replicate a small Counter. The tests of the configuration replicate the
// store of the control plane.
//
// A FaultInjector draws faults and counts the machines and disks that are lost, so that a run
// either stays within the tolerance of the register or exceeds it on purpose. World.InjectAt
// places faults at exact points instead, for package faultplan. A Bug is a deliberate error in
// the simulated program. Tests plant bugs to verify that the checks find them.
package simulation
