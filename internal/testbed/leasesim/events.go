package leasesim

import "time"

// eventKind is what an event does.
type eventKind uint8

const (
	toVoter          eventKind = iota // a router's request comes to a voter
	toVoters                          // a message of one voter comes to another
	toAgent                           // a reply or a notification comes to a router
	wakeUp                            // a decider of a router named this time
	startRouter                       // a process starts
	beginFault                        // of the schedule
	endFault                          // of the schedule
	freezeRouter                      // a crawling process stops for a moment
	thawRouter                        // and goes on
	beginAct                          // a lease holder checks its lease for the next act
	sendAct                           // the act leaves the process
	receiveAct                        // the act comes to the receiver
	updateMembership                  // voters are told who is alive
)

// event is one of the queue; which fields it has is up to its kind.
type event struct {
	at         time.Duration
	kind       eventKind
	router     int
	generation uint32 // of the process, 0 for any; of a crawl, the fault's number
	from       int    // router
	data       []byte
	role       string
	token      uint64
	checkedAt  time.Duration // when the lease was checked for the act
}
