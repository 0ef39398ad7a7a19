package node

import (
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
)

// Names of the topics that routers poll each other for. The topic of a service's hosts is named
// hostsTopicPrefix followed by the service's name.
const (
	configurationTopic = "configuration"
	registerViewTopic  = "view"
	hostsTopicPrefix   = "hosts/"
)

// registerViewFeed is the topic of the register's view. It implements feed.Topic. Only the hub
// uses it.
type registerViewFeed struct {
	view     *coordpb.View // nil before the first view
	onChange func(*coordpb.View)
}

// Revision implements feed.Topic.
func (f *registerViewFeed) Revision() uint64 { return f.view.GetEpoch() }

// Shared implements feed.Topic. The revisions are epochs, which are the same on all routers.
func (f *registerViewFeed) Shared() bool { return true }

// Delta implements feed.Topic.
func (f *registerViewFeed) Delta(uint64) (payload []byte, since uint64) {
	payload, _ = proto.Marshal(f.view)
	return payload, 0
}

// Merge implements feed.Topic.
func (f *registerViewFeed) Merge(d *coordpb.Delta) {
	view := &coordpb.View{}
	if proto.Unmarshal(d.Payload, view) == nil {
		f.install(view)
	}
}

// install replaces the view if the given one is newer, and ignores it otherwise.
func (f *registerViewFeed) install(view *coordpb.View) {
	if view.GetEpoch() <= f.view.GetEpoch() {
		return
	}
	f.view = view
	f.onChange(view)
}

// Confirmed implements feed.Topic.
func (f *registerViewFeed) Confirmed() (time.Duration, bool) { return 0, false }

// Confirm implements feed.Topic.
func (f *registerViewFeed) Confirm(time.Duration, *coordpb.Delta) {}

// hostsFeed is the topic of one service's hosts. It implements feed.Topic. Only the hub uses it.
type hostsFeed struct {
	service  string
	registry *instances.Registry
	now      func() time.Duration
	onChange func([]*instances.Record)
}

// Revision implements feed.Topic.
func (f *hostsFeed) Revision() uint64 { return f.registry.ServiceRevision(f.service) }

// Shared implements feed.Topic. Each router numbers its revisions independently.
func (f *hostsFeed) Shared() bool { return false }

// Delta implements feed.Topic.
func (f *hostsFeed) Delta(after uint64) (payload []byte, since uint64) {
	payload, _ = proto.Marshal(&message.Instances{Instances: f.registry.ChangedSince(f.service, after)})
	return payload, after
}

// Merge implements feed.Topic.
func (f *hostsFeed) Merge(d *coordpb.Delta) {
	in := &message.Instances{}
	if proto.Unmarshal(d.Payload, in) != nil {
		return
	}
	if changed := f.registry.Merge(f.now(), in.Instances); len(changed) > 0 {
		f.onChange(changed)
	}
}

// Confirmed implements feed.Topic.
func (f *hostsFeed) Confirmed() (time.Duration, bool) { return 0, false }

// Confirm implements feed.Topic.
func (f *hostsFeed) Confirm(time.Duration, *coordpb.Delta) {}
