package recovery

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/balance"
)

// Announcement is what routers tell each other of themselves.
type Announcement struct {
	WantsReply  bool
	From        string
	Boot        uint32
	Uptime      time.Duration
	ListVersion int64  // of the list in force, 0 for none
	ListSource  uint64 // by Source
	Stage       Stage
	Measure     Measure // zero for none
}

// Measure is what a warm host does for one router, by what package balance has learned.
type Measure struct {
	HostWork    time.Duration // that a host completed of late
	RequestWork time.Duration // of a mean request
}

// MeasureOf is the part of what was learned that routers tell each other.
func MeasureOf(l balance.Learned) Measure {
	return Measure{learnedSpan(l.CompletedWork), learnedSpan(l.MeanWork)}
}

// maxLearnedSeconds is beyond what package balance can have learned.
const maxLearnedSeconds = 1e6

// learnedSpan is a time that package balance counts in seconds, 0 for one that can't be.
func learnedSpan(seconds float64) time.Duration {
	if !(seconds > 0 && seconds < maxLearnedSeconds) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// HostQuery asks which of some hosts get requests.
type HostQuery struct {
	From string
	Tags []uint32 // of hosts, MaxTags at most
}

// HostReply says which hosts of a query get no requests: they drain, or are not listed.
type HostReply struct {
	From        string
	ListVersion int64 // of the list that it is by
	ListSource  uint64
	FirstTag    uint32 // of the query; with TagCount it says which one
	TagCount    int
	Excluded    []uint32
}

// Tag is the short name of a host in queries and replies.
func Tag(hostID string) uint32 { return uint32(xxhash.Sum64String(hostID) >> 32) }

// Source stands for a discovery's address in messages.
func Source(address string) uint64 { return xxhash.Sum64String(address) }
