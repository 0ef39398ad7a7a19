// Package leasesim simulates singleton roles in virtual time. It runs the voters of package quorum,
// the agents of package lease, and a receiver of the acts of lease holders. Their network has the
// faults of package faults. Disks may be lost, swapped or replaced with an older state, and clock
// rates differ.
//
// The same Spec gives the same run, event for event. The simulation reports the actions of routers
// and their results to Spec.History, for package checker. It is single-threaded and performs no I/O.
package leasesim
