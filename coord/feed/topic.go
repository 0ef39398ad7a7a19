package feed

import (
	"time"

	"reachspread/coord/coordpb"
)

// Topic is something that processes distribute. Merging payloads in any order, or twice, must lead
// to the same content.
type Topic interface {
	// Revision grows with each change of the local content.
	Revision() uint64
	// Shared reports whether a revision means the same in all processes. Otherwise each process
	// counts its own.
	Shared() bool
	// Delta returns what changed after a revision of this process, all content for 0; since is the
	// revision on which the payload builds.
	Delta(after uint64) (payload []byte, since uint64)
	// Merge applies a payload from a source.
	Merge(n *coordpb.Delta)
	// Confirmed returns when the local content was known to be the newest; ok is false for never.
	Confirmed() (at time.Duration, ok bool)
	// Confirm takes note that what a source has was the newest at a time, up to its revision.
	Confirm(at time.Duration, n *coordpb.Delta)
}

// Subscription says from where a process gets a group of a topic's content.
type Subscription struct {
	Topic      string
	Group      string   // each group of a topic has a source of its own
	Candidates []string // addresses by preference; the first that brings what is fresh is the source
	// RequireConfirmed makes only content fresh that was confirmed to be the newest. Otherwise any
	// answer is.
	RequireConfirmed bool
}

// Send is a message to an address: one of Poll and Update is set.
type Send struct {
	To     string
	Poll   *coordpb.Poll
	Update *coordpb.Update
}
