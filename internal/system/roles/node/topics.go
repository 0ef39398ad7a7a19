package node

import (
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
)

// The names of topics. That of a service's hosts is hostsTopic with the service's name behind it.
const (
	configurationTopic = "configuration"
	viewTopic          = "view"
	hostsTopic         = "hosts/"
)

// viewed is the topic of the register's view.
type viewed struct {
	view    *coordpb.View // nil for none
	changed func(*coordpb.View)
}

// Revision implements feed.Topic.
func (v *viewed) Revision() uint64 { return v.view.GetEpoch() }

// Shared implements feed.Topic: revisions are epochs.
func (v *viewed) Shared() bool { return true }

// Delta implements feed.Topic.
func (v *viewed) Delta(uint64) (payload []byte, since uint64) {
	payload, _ = proto.Marshal(v.view)
	return payload, 0
}

// Merge implements feed.Topic.
func (v *viewed) Merge(n *coordpb.Delta) {
	in := &coordpb.View{}
	if proto.Unmarshal(n.Payload, in) == nil {
		v.take(in)
	}
}

// take puts a view in place of an older one.
func (v *viewed) take(view *coordpb.View) {
	if view.GetEpoch() <= v.view.GetEpoch() {
		return
	}
	v.view = view
	v.changed(view)
}

// Confirmed implements feed.Topic.
func (v *viewed) Confirmed() (time.Duration, bool) { return 0, false }

// Confirm implements feed.Topic.
func (v *viewed) Confirm(time.Duration, *coordpb.Delta) {}

// hosts is the topic of one service's hosts.
type hosts struct {
	service  string
	registry *instances.Registry
	now      func() time.Duration
	changed  func([]*instances.Record)
}

// Revision implements feed.Topic.
func (h *hosts) Revision() uint64 { return h.registry.ServiceRevision(h.service) }

// Shared implements feed.Topic.
func (h *hosts) Shared() bool { return false }

// Delta implements feed.Topic.
func (h *hosts) Delta(after uint64) (payload []byte, since uint64) {
	payload, _ = proto.Marshal(&message.Instances{Instances: h.registry.Since(h.service, after)})
	return payload, after
}

// Merge implements feed.Topic.
func (h *hosts) Merge(n *coordpb.Delta) {
	in := &message.Instances{}
	if proto.Unmarshal(n.Payload, in) != nil {
		return
	}
	if changed := h.registry.Merge(h.now(), in.Instances); len(changed) > 0 {
		h.changed(changed)
	}
}

// Confirmed implements feed.Topic.
func (h *hosts) Confirmed() (time.Duration, bool) { return 0, false }

// Confirm implements feed.Topic.
func (h *hosts) Confirm(time.Duration, *coordpb.Delta) {}
