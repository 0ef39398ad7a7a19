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
	// promptsDatagram is the first byte of a datagram of SentPrompts, which follow it. Those of the membership begin otherwise.
	promptsDatagram = 0x30
	// promptMessages is how many datagrams a second a router sends to tell others of its prompts, on average. At some 50 bytes each with their
	// headers that is 4.3 kB a second, whatever the number of routers.
	promptMessages = 85
	// hostMessages is the same for failures and slowness of hosts, of which hostMessagesAtOnce may be told at once.
	hostMessages       = 85
	hostMessagesAtOnce = 5 * hostMessages
	// hundredths is the unit of a host's slowness.
	hundredths = 100
	// mostPromptsWaiting bounds what waits to be sent. What comes beyond it is not told.
	mostPromptsWaiting = 64
)

// prompts tells other routers of the prompts that this one sends to hosts and of hosts that it sees fail, and takes in their words: each router
// sees a part of what the hosts have to read and of what becomes of it, and reports of hosts are old. What is lost is missed for a moment only.
type prompts struct {
	node    *Node
	start   time.Time
	waiting chan *message.SentPrompts
	others  atomic.Pointer[otherRouters]

	sent, received, dropped atomic.Uint64 // datagrams

	mu      sync.Mutex
	sampler *sampling.Sampler
	ofHosts *sampling.Allowance
}

// otherRouters are those that live, without this one.
type otherRouters struct {
	all   []netip.AddrPort // internal addresses
	known mapset.Set[netip.AddrPort]
}

func newPrompts(n *Node) *prompts {
	p := &prompts{node: n, start: time.Now(), waiting: make(chan *message.SentPrompts, mostPromptsWaiting), sampler: sampling.New(promptMessages),
		ofHosts: sampling.NewAllowance(hostMessages, hostMessagesAtOnce)}
	p.viewed(nil)
	return p
}

// viewed takes in which routers live.
func (p *prompts) viewed(routers []router) {
	others := &otherRouters{known: mapset.NewThreadUnsafeSet[netip.AddrPort]()}
	for _, r := range routers {
		if r.address != p.node.self.address {
			others.all = append(others.all, r.address)
			others.known.Add(r.address)
		}
	}
	p.others.Store(others)
}

// tell has others be told of prompts that were sent to hosts of a service, and of hosts that failed or were slow. It waits for nobody.
func (p *prompts) tell(service string, reports []balance.PeerReport) {
	m := &message.SentPrompts{Service: service}
	for _, r := range reports {
		switch {
		case r.Failed && p.mayTellOfHost():
			m.Prompts = append(m.Prompts, &message.SentPrompt{Host: r.Tag, Failed: true})
		case r.Slow > 0 && p.mayTellOfHost():
			m.Prompts = append(m.Prompts, &message.SentPrompt{Host: r.Tag, Slow: uint32(hundredths * r.Slow)})
		case p.pick(r.Tokens):
			m.Prompts = append(m.Prompts, &message.SentPrompt{Host: r.Tag, Tokens: uint32(r.Tokens), Prefix: uint32(r.Prefix)})
		}
	}
	if len(m.Prompts) == 0 {
		return
	}
	select {
	case p.waiting <- m:
	default:
		p.dropped.Add(1)
	}
}

// pick tells whether others are to be told of a prompt.
func (p *prompts) pick(tokens float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sampler.Pick(time.Since(p.start), tokens, len(p.others.Load().all), rand.Float64())
}

// mayTellOfHost tells whether others may be told once more how a host fares.
func (p *prompts) mayTellOfHost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ofHosts.Take(time.Since(p.start), len(p.others.Load().all))
}

// run sends what waits until ctx ends.
func (p *prompts) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.waiting:
			p.send(m)
		}
	}
}

// send sends a message to all other routers.
func (p *prompts) send(m *message.SentPrompts) {
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{promptsDatagram}, m)
	if err != nil {
		return
	}
	for _, to := range p.others.Load().all {
		if !failpoint.Lost(to.String()) {
			p.node.udp.WriteToUDPAddrPort(data, to)
			p.sent.Add(1)
		}
	}
}

// receive takes in a datagram of another router; ok is false where it is of another kind.
func (p *prompts) receive(from netip.AddrPort, data []byte) (ok bool) {
	if len(data) == 0 || data[0] != promptsDatagram {
		return false
	}
	m := &message.SentPrompts{}
	if !p.others.Load().known.Contains(from) || proto.Unmarshal(data[1:], m) != nil {
		p.dropped.Add(1)
		return true
	}
	p.received.Add(1)
	heard := balance.Heard{From: witness(from), Reports: make([]balance.PeerReport, 0, len(m.Prompts))}
	for _, sent := range m.Prompts {
		heard.Reports = append(heard.Reports, balance.PeerReport{Tag: sent.Host, Tokens: float64(sent.Tokens), Prefix: uint16(sent.Prefix), Failed: sent.Failed,
			Slow: float64(sent.Slow) / hundredths})
	}
	p.node.plane.Heard(m.Service, heard)
	return true
}

// witness is a number that tells a router from others.
func witness(from netip.AddrPort) int { return int(hashText(from.String()) >> 1) }

// figures are the datagrams since the start.
func (p *prompts) figures() status.PromptReports {
	return status.PromptReports{Sent: p.sent.Load(), Received: p.received.Load(), Dropped: p.dropped.Load()}
}
