package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
	"google.golang.org/protobuf/proto"

	"reachspread/balance"
	"reachspread/coord/failpoint"
	"reachspread/internal/system/deciders/sampling"
	"reachspread/internal/system/message"
	"reachspread/internal/system/status"
)

const (
	// peerReportDatagram is the first byte of a datagram with peer reports, before the encoded
	// SentPrompts. Datagrams of the membership begin with another byte.
	peerReportDatagram = 0x30
	// promptDatagramRate is the average number of datagrams per second that a router sends to
	// report prompts. At some 50 bytes each with headers, that is 4.3 kB a second, whatever the
	// number of routers.
	promptDatagramRate = 85
	// hostDatagramRate is the average number of datagrams per second that a router sends to report
	// failed and slow hosts. It may send hostDatagramBurst of them at once.
	hostDatagramRate  = 85
	hostDatagramBurst = 5 * hostDatagramRate
	// slownessScale is the number of units per 1.0 of a host's latency ratio on the wire, which
	// has hundredths.
	slownessScale = 100
	// maxQueuedPeerReports is the most messages with peer reports that wait to be sent. Further
	// messages are dropped.
	maxQueuedPeerReports = 64
)

// peerReporter exchanges reports with the other routers. It reports the prompts that this router
// sends to hosts and the hosts that it sees fail or be slow, and receives the same from the
// others. Routers need these reports because each sees only a fraction of the hosts' prefill work
// and of its results, and the load that hosts report themselves is out of date. A lost report is
// missed only for a moment.
type peerReporter struct {
	node      *Node
	startedAt time.Time
	queue     chan *message.SentPrompts
	peers     atomic.Pointer[peerSet]

	sent, received, dropped atomic.Uint64 // datagrams

	mu            sync.Mutex
	sampler       *sampling.Sampler
	hostAllowance *sampling.TokenBucket
}

// peerSet is the set of the other live routers. It is immutable once stored.
type peerSet struct {
	addresses []netip.AddrPort
	known     mapset.Set[netip.AddrPort] // the same addresses as a set
}

func newPeerReporter(n *Node) *peerReporter {
	p := &peerReporter{
		node:          n,
		startedAt:     time.Now(),
		queue:         make(chan *message.SentPrompts, maxQueuedPeerReports),
		sampler:       sampling.New(promptDatagramRate),
		hostAllowance: sampling.NewTokenBucket(hostDatagramRate, hostDatagramBurst),
	}
	p.membershipChanged(nil)
	return p
}

// membershipChanged replaces the set of live routers.
func (p *peerReporter) membershipChanged(routers []router) {
	peers := &peerSet{known: mapset.NewThreadUnsafeSet[netip.AddrPort]()}
	for _, r := range routers {
		if r.address != p.node.self.address {
			peers.addresses = append(peers.addresses, r.address)
			peers.known.Add(r.address)
		}
	}
	p.peers.Store(peers)
}

// report queues reports on the hosts of a service, as far as the rates allow. It does not block.
func (p *peerReporter) report(service string, reports []balance.PeerReport) {
	m := &message.SentPrompts{Service: service}
	for _, r := range reports {
		if prompt := p.encode(r); prompt != nil {
			m.Prompts = append(m.Prompts, prompt)
		}
	}
	if len(m.Prompts) == 0 {
		return
	}
	select {
	case p.queue <- m:
	default:
		p.dropped.Add(1)
	}
}

// encode returns the wire form of a report, or nil if the rates do not allow it.
func (p *peerReporter) encode(r balance.PeerReport) *message.SentPrompt {
	switch {
	case r.Failed && p.mayReportHost():
		return &message.SentPrompt{Host: r.ReplicaTag, Failed: true}
	case r.LatencyRatio > 0 && p.mayReportHost():
		return &message.SentPrompt{Host: r.ReplicaTag, Slow: uint32(slownessScale * r.LatencyRatio)}
	case p.sample(r.PrefillTokens):
		return &message.SentPrompt{Host: r.ReplicaTag, Tokens: uint32(r.PrefillTokens), Prefix: uint32(r.PrefixTag)}
	}
	return nil
}

// sample reports whether to report a prompt with this number of tokens.
func (p *peerReporter) sample(tokens float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	peers := len(p.peers.Load().addresses)
	return p.sampler.Sample(time.Since(p.startedAt), tokens, peers, rand.Float64())
}

// mayReportHost reports whether the rate allows another report on a host, and counts that report.
func (p *peerReporter) mayReportHost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hostAllowance.Take(time.Since(p.startedAt), len(p.peers.Load().addresses))
}

// run sends the queued reports until ctx ends.
func (p *peerReporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			p.send(m)
		}
	}
}

// send sends reports to all other routers.
func (p *peerReporter) send(m *message.SentPrompts) {
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{peerReportDatagram}, m)
	if err != nil {
		return
	}
	for _, to := range p.peers.Load().addresses {
		if !failpoint.DropMessage(to.String()) {
			p.node.udp.WriteToUDPAddrPort(data, to)
			p.sent.Add(1)
		}
	}
}

// receive passes another router's reports to the data plane. It returns false if the datagram is
// of another kind. It drops a datagram of peer reports that comes from an unknown address or that
// it can't decode.
func (p *peerReporter) receive(from netip.AddrPort, data []byte) (ok bool) {
	if len(data) == 0 || data[0] != peerReportDatagram {
		return false
	}
	m := &message.SentPrompts{}
	if !p.peers.Load().known.Contains(from) || proto.Unmarshal(data[1:], m) != nil {
		p.dropped.Add(1)
		return true
	}
	p.received.Add(1)
	received := balance.ReportsReceived{From: reporterID(from), Reports: make([]balance.PeerReport, 0, len(m.Prompts))}
	for _, prompt := range m.Prompts {
		received.Reports = append(received.Reports, balance.PeerReport{
			ReplicaTag:    prompt.Host,
			PrefillTokens: float64(prompt.Tokens),
			PrefixTag:     uint16(prompt.Prefix),
			Failed:        prompt.Failed,
			LatencyRatio:  float64(prompt.Slow) / slownessScale,
		})
	}
	p.node.plane.ReceiveReports(m.Service, received)
	return true
}

// reporterID derives a number from the address of a router that distinguishes it from other
// routers.
func reporterID(from netip.AddrPort) int { return int(hashString(from.String()) >> 1) }

// stats returns how many datagrams were sent, received and dropped since the start.
func (p *peerReporter) stats() status.PromptReports {
	return status.PromptReports{Sent: p.sent.Load(), Received: p.received.Load(), Dropped: p.dropped.Load()}
}
