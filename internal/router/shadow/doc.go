// Package shadow decides for one candidate pool which live requests are copied to it, when a copy
// is sent, which copies are dropped and why, when the pool is ejected and tried again, and how the
// two answers to a request compare.
//
// A Decider is a state machine without I/O, clock or goroutine. Its caller passes events with the
// time to Step and carries out the returned actions in order. A copy goes through these states:
//
//	Offer --> waiting --Start--> in flight --CopyEnded--> pairing --LiveEnded--> Record
//	             |                   |
//	             +--> Drop           +--> Cancel (a CopyEnded still follows)
//
// The caller owes the Decider one call at a time, a clock that never goes back, and for each copy
// started one CopyEnded, one LiveEnded and, for each attempt granted, one AttemptEnded.
//
// In return: the same seed, configuration and events give the same actions; no cap is exceeded; no
// copy starts while the live path is under pressure; each copy that was started ends in exactly one
// Record, and any other in exactly one Drop.
package shadow
