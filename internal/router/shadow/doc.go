// Package shadow decides for a candidate pool which live requests are copied to it, when a copy is
// sent, which copies are dropped and why, and when the pool is ejected and tried again. It also
// compares the copy's answer with the live answer.
//
// A Decider is a state machine without I/O, clock or goroutines. Its caller passes events and the
// current time to Step and carries out the returned actions in order. A copy goes through these
// states:
//
//	Offer --> waiting --Start--> in flight --CopyEnded--> pairing --LiveEnded--> Record
//	             |                   |
//	             +--> Drop           +--> Cancel (a CopyEnded still follows)
//
// The caller must make one call at a time, with a clock that never goes backwards. It must report
// one CopyEnded and one LiveEnded for each started copy, and one AttemptEnded for each granted
// attempt.
//
// The Decider guarantees that:
//   - the same seed, configuration and events result in the same actions;
//   - no cap is exceeded;
//   - no copy starts while the live path is under pressure;
//   - each started copy ends in exactly one Record, and each other copy in exactly one Drop.
package shadow
