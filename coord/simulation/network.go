package simulation

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
)

// maxQueuedBytes is how many bytes may be queued for a machine's link. Messages beyond that are
// lost, as in package link.
const maxQueuedBytes = 4 << 20

// send sends a message to a machine or a client. Messages from one address to another arrive in
// order. A message is lost if the addresses are partitioned when it is sent or arrives, or if the
// connection is reset in between.
func (w *World) send(from, to string, m *coordpb.Message) {
	w.History.checkAcceptor(w, m)
	w.wipeAfterPromise(from, m)
	pair := [2]string{from, to}
	if w.partitioned[pair] > 0 {
		return
	}
	at, sent := w.arrivalTime(pair, m)
	if !sent {
		return
	}
	m = proto.Clone(m).(*coordpb.Message)
	connection := w.connections[pair]
	w.After(at-w.Now, func() {
		if w.partitioned[pair] == 0 && w.connections[pair] == connection {
			w.deliver(from, to, m)
		}
	})
}

// arrivalTime returns when a message that is sent now arrives. ok is false if too many bytes are
// queued for the sender's link.
func (w *World) arrivalTime(pair [2]string, m *coordpb.Message) (at time.Duration, ok bool) {
	departure := w.Now
	if w.Bandwidth > 0 && w.byAddress[pair[0]] != nil {
		busy := max(w.linkFreeAt[pair[0]], w.Now)
		if busy-w.Now > transmissionTime(maxQueuedBytes, w.Bandwidth) {
			return 0, false
		}
		departure = busy + transmissionTime(proto.Size(m), w.Bandwidth)
		w.linkFreeAt[pair[0]] = departure
	}
	at = departure + 200*time.Microsecond + time.Duration(w.rng.ExpFloat64()*float64(400*time.Microsecond))
	at = max(at, w.lastArrival[pair])
	w.lastArrival[pair] = at
	return at, true
}

// transmissionTime returns how long a link with a bandwidth in bytes per second takes to transmit a
// number of bytes.
func transmissionTime(bytes, bandwidth int) time.Duration {
	return time.Duration(float64(bytes) / float64(bandwidth) * float64(time.Second))
}

// deliver passes a message to its receiver.
func (w *World) deliver(from, to string, m *coordpb.Message) {
	if c := w.clients[to]; c != nil {
		c.receive(m)
		return
	}
	p := w.byAddress[to]
	if p == nil {
		return
	}
	if w.InjectAt != nil && isProtocolStep(m) && w.InjectAt(Point{w.byAddress[from], p}) {
		return
	}
	p.whenRunning(func() { p.receive(m) })
}

// wipeAfterPromise wipes the disk of a machine right after a promise, if wipeOnPromise requests it.
// With the bug ReusedIdentity, it also wipes the disk after one promise in ten.
func (w *World) wipeAfterPromise(from string, m *coordpb.Message) {
	p := w.byAddress[from]
	if p == nil || m.GetPromise() == nil {
		return
	}
	if !p.wipeOnPromise && (w.Bug != ReusedIdentity || w.rng.IntN(10) > 0) {
		return
	}
	p.wipeOnPromise = false
	w.After(time.Millisecond, func() {
		w.Trace("%v wipe %s right after a promise", w.Now, p.Address)
		p.Crash()
		p.Wipe()
		w.After(5*time.Millisecond, p.Start)
	})
}

// isProtocolStep reports whether a message is a step of the consensus on views or of the chain, and
// not one that is sent periodically or by a client.
func isProtocolStep(m *coordpb.Message) bool {
	switch m.Body.(type) {
	case *coordpb.Message_Heartbeat, *coordpb.Message_Confirm, *coordpb.Message_Confirmed, *coordpb.Message_Submit, *coordpb.Message_Read:
		return false
	}
	return true
}

// Partition is a network partition that loses all messages between two groups of addresses.
type Partition struct {
	world *World
	pairs [][2]string
}

// Partition loses all messages from one group of addresses to another until Heal. Unless oneWay is
// true, it also loses the messages in the other direction. Partitions may overlap.
func (w *World) Partition(from, to []string, oneWay bool) *Partition {
	p := &Partition{world: w}
	for _, a := range from {
		for _, b := range to {
			if a == b || slices.Contains(from, b) && slices.Contains(to, a) {
				continue
			}
			p.pairs = append(p.pairs, [2]string{a, b})
			if !oneWay {
				p.pairs = append(p.pairs, [2]string{b, a})
			}
		}
	}
	for _, pair := range p.pairs {
		w.partitioned[pair]++
	}
	return p
}

// Heal ends a partition.
func (c *Partition) Heal() {
	for _, pair := range c.pairs {
		c.world.partitioned[pair]--
	}
	c.pairs = nil
}

// ResetConnections loses all messages in flight between a machine and the others.
func (w *World) ResetConnections(address string) {
	for _, other := range w.Addresses() {
		w.connections[[2]string{address, other}]++
		w.connections[[2]string{other, address}]++
	}
}
