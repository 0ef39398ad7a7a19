// Package leasesim simulates singleton roles in virtual time: voters of package quorum, agents of
// package lease, a receiver of their acts, the network between them with the faults of package
// faults, disks that may be lost, swapped or older, and clocks whose rates differ.
//
// The same Spec gives the same play, event for event. What routers do and what becomes of it goes
// to Spec.History, for package checker. The simulation is single-threaded and without I/O.
package leasesim
