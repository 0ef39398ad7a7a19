package node

import (
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/internal/system/configuration"
	"reachspread/internal/system/instances"
	"reachspread/internal/system/message"
)

// The names of topics. That of a service's hosts is hostsTopic with the service's name behind it.
const (
	configurationTopic = "configuration"
	viewTopic          = "view"
	hostsTopic         = "hosts/"
)

// configured is the topic of the configuration. Its revisions are the register's sequence numbers, the same everywhere.
type configured struct {
	sequence  uint64
	state     *configuration.State // nil for none
	last      *message.Order       // that made it, nil for unknown
	confirmed time.Duration        // when it was the newest for certain, below 0 for never
	changed   func(*configuration.State)
	failed    func(error)
}

// Revision implements feed.Topic.
func (c *configured) Revision() uint64 { return c.sequence }

// Delta implements feed.Topic: the last change where that is all that is missing, or the whole.
func (c *configured) Delta(after uint64) (payload []byte, since uint64) {
	out := &message.Published{}
	if c.last != nil && after > 0 && after+1 == c.sequence && c.last.Kind == message.Order_PATCH {
		out.Patch, since = c.last.Body, after
	} else if c.state != nil {
		out.Document = c.state.JSON
	}
	payload, _ = proto.Marshal(out)
	return payload, since
}

// Merge implements feed.Topic.
func (c *configured) Merge(n *message.News) {
	if n.Revision <= c.sequence {
		return
	}
	in := &message.Published{}
	if err := proto.Unmarshal(n.Payload, in); err != nil {
		c.failed(err)
		return
	}
	order := &message.Order{Kind: message.Order_PUT, Body: in.Document}
	switch {
	case len(in.Patch) > 0 && n.Since == c.sequence && c.state != nil:
		order = &message.Order{Kind: message.Order_PATCH, Body: in.Patch}
	case len(in.Document) == 0:
		return
	}
	next, err := configuration.Next(c.state, order)
	if err != nil {
		c.failed(err)
		return
	}
	c.take(n.Revision, next, order)
}

// take puts a state that is committed in place of an older one.
func (c *configured) take(sequence uint64, state *configuration.State, last *message.Order) {
	if sequence <= c.sequence || state == nil {
		return
	}
	c.sequence, c.state, c.last = sequence, state, last
	c.changed(state)
}

// Confirmed implements feed.Topic.
func (c *configured) Confirmed() (time.Duration, bool) { return c.confirmed, c.confirmed >= 0 }

// Confirm implements feed.Topic.
func (c *configured) Confirm(at time.Duration, n *message.News) { c.confirm(at, n.Revision) }

// confirm takes in that nothing newer than a sequence was committed at a time.
func (c *configured) confirm(at time.Duration, sequence uint64) {
	if c.sequence >= sequence {
		c.confirmed = max(c.confirmed, at)
	}
}

// viewed is the topic of the register's view.
type viewed struct {
	view    *coordpb.View // nil for none
	changed func(*coordpb.View)
}

// Revision implements feed.Topic.
func (v *viewed) Revision() uint64 { return v.view.GetEpoch() }

// Delta implements feed.Topic.
func (v *viewed) Delta(uint64) (payload []byte, since uint64) {
	payload, _ = proto.Marshal(v.view)
	return payload, 0
}

// Merge implements feed.Topic.
func (v *viewed) Merge(n *message.News) {
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
func (v *viewed) Confirm(time.Duration, *message.News) {}

// hosts is the topic of one service's hosts.
type hosts struct {
	service  string
	registry *instances.Registry
	now      func() time.Duration
	changed  func([]*instances.Record)
}

// Revision implements feed.Topic.
func (h *hosts) Revision() uint64 { return h.registry.ServiceRevision(h.service) }

// Delta implements feed.Topic.
func (h *hosts) Delta(after uint64) (payload []byte, since uint64) {
	payload, _ = proto.Marshal(&message.Instances{Instances: h.registry.Since(h.service, after)})
	return payload, after
}

// Merge implements feed.Topic.
func (h *hosts) Merge(n *message.News) {
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
func (h *hosts) Confirm(time.Duration, *message.News) {}
