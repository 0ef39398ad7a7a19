package recovery

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/balance"
)

// Announcement is a router's description of itself for other routers.
type Announcement struct {
	WantsReply  bool // asks the receiver for its announcement
	From        string
	Boot        uint32 // boot number of the sender's process
	Uptime      time.Duration
	ListVersion int64  // version of discovery's list, 0 for none
	ListSource  uint64 // Source of the discovery's address
	Stage       Stage
	Measure     Measure // zero for none
}

// Measure is the work of a warm host for one router, as package balance has learned it.
type Measure struct {
	HostWork    time.Duration // work that a host completed recently
	RequestWork time.Duration // work of a mean request
}

// MeasureOf returns the part of the learned values that routers tell each other.
func MeasureOf(l balance.Learned) Measure {
	return Measure{learnedSpan(l.CompletedWork), learnedSpan(l.MeanWork)}
}

// maxLearnedSeconds is more than any time that package balance can learn.
const maxLearnedSeconds = 1e6

// learnedSpan converts a learned time in seconds to a duration. It returns 0 for an implausible time.
func learnedSpan(seconds float64) time.Duration {
	if !(seconds > 0 && seconds < maxLearnedSeconds) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// HostQuery asks another router which of some hosts get requests.
type HostQuery struct {
	From string
	Tags []uint32 // tags of the hosts, at most MaxTags
}

// HostReply reports which hosts of a query get no requests because they drain or are not listed.
type HostReply struct {
	From        string
	ListVersion int64    // version of the sender's list, which the reply is based on
	ListSource  uint64   // Source of the address of the sender's discovery
	FirstTag    uint32   // first tag of the query; identifies the query together with TagCount
	TagCount    int      // number of tags in the query
	Excluded    []uint32 // tags of the hosts that get no requests
}

// Tag returns a hash of a host's ID that identifies the host in queries and replies.
func Tag(hostID string) uint32 { return uint32(xxhash.Sum64String(hostID) >> 32) }

// Source returns a hash of a discovery's address that identifies the discovery in messages.
func Source(address string) uint64 { return xxhash.Sum64String(address) }
