package leasesim

import "time"

// eventKind says what an event does.
type eventKind uint8

const (
	deliverRequest      eventKind = iota // a router's request arrives at a voter
	deliverVoterMessage                  // a voter's message arrives at another voter
	deliverReply                         // a reply or a notification arrives at a router
	wakeUp                               // a decider of a router requested a step at this time
	startRouter                          // a process starts
	beginFault                           // a fault of the schedule begins
	endFault                             // a fault of the schedule ends
	freezeRouter                         // a crawling process is paused
	thawRouter                           // a crawling process resumes
	beginAct                             // a lease holder checks its lease for the next act
	sendAct                              // the act leaves the process
	receiveAct                           // the act arrives at the receiver
	updateMembership                     // all voters learn which routers are alive
)

// event is an entry of the event queue. Its kind determines which fields are set.
type event struct {
	at         time.Duration
	kind       eventKind
	router     int    // the number of the router; for beginFault and endFault, of the fault
	generation uint32 // of the router's process, 0 for any; for freezeRouter and thawRouter, the fault's number
	from       int    // the number of the sender
	data       []byte
	role       string
	token      uint64
	checkedAt  time.Duration // when the lease was checked for the act
}
