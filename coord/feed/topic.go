package feed

import (
	"time"

	"reachspread/coord/coordpb"
)

// Topic gives access to content that processes distribute to each other. The content must not depend
// on the order in which payloads are merged, or on whether a payload is merged more than once.
type Topic interface {
	// Revision returns the revision of the local content. It grows with each change.
	Revision() uint64
	// Shared reports whether a revision stands for the same content in all processes. Otherwise each
	// process counts its own revisions.
	Shared() bool
	// Delta returns the changes after a revision of this process, or all content if the revision is
	// 0. Since is the revision on which the payload builds.
	Delta(after uint64) (payload []byte, since uint64)
	// Merge applies a payload from a source.
	Merge(delta *coordpb.Delta)
	// Confirmed returns the last time at which the local content was known to be the newest. Ok is
	// false if it never was.
	Confirmed() (at time.Duration, ok bool)
	// Confirm records that the content of a source, up to the revision of the delta, was the newest
	// at a time.
	Confirm(at time.Duration, delta *coordpb.Delta)
}

// Subscription lists the candidate sources of a topic for a process.
type Subscription struct {
	Topic      string
	Group      string   // distinguishes subscriptions to one topic; each group has its own source
	Candidates []string // addresses in order of preference; the first that delivers fresh content is the source
	// RequireConfirmed means that content is fresh only if it was confirmed to be the newest.
	// Otherwise the content of any answer is fresh.
	RequireConfirmed bool
}

// Send is a message to an address. Exactly one of Poll and Update is set.
type Send struct {
	To     string
	Poll   *coordpb.Poll
	Update *coordpb.Update
}
