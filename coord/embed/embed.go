// Package embed is one process of a replicated register, whole: the replica with its disk, a client, and the link to the other processes.
// It is what a program embeds that wants a small state which survives its machines; the parts it is made of can be had one by one.
//
// The caller brings the state as a chain.Machine, and has to bring orders that the machine knows again, as one may come twice. What Submit
// returned without an error for is on the disks of all processes in the chain; what Read returns was the newest state after the call began.
package embed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/link"
	"reachspread/coord/register"
	"reachspread/coord/storage"
)

// messageKind tells the register's messages on the link.
const messageKind link.Kind = 1

// Options are what a Peer is made with.
type Options struct {
	Address   netip.AddrPort   // of this process, where it listens; it stays the same over its lives
	Seeds     []netip.AddrPort // of the processes that begin the register; the same list in all of them
	Folder    string           // for this process alone; what is in it must come back with the process
	First     bool             // the register is begun now: true only if it never was there before
	Tolerance int              // processes that may be lost at once; there have to be twice as many and one more
	Machine   chain.Machine    // the state; it is this process's own, and used by one goroutine
	Log       register.Logger  // nil for none
}

// Peer is one process. New makes one, and Run has it work.
type Peer struct {
	self    string
	link    *link.Link
	client  *register.Client
	replica *register.Replica
}

// New reads what the folder has.
func New(o Options) (*Peer, error) {
	files, err := storage.NewFolder(o.Folder)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	disk, kept, err := register.Load(files, o.Machine)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	p := &Peer{self: o.Address.String()}
	p.link = link.New(o.Address, p.receive)
	self := &coordpb.Member{Address: p.self, Identity: rand.Uint64()}
	if kept != nil {
		self.Identity, o.First = kept.Identity, kept.Founder
	}
	var seeds []string
	for _, seed := range o.Seeds {
		seeds = append(seeds, seed.String())
	}
	p.client = register.NewClient(self, p.send)
	p.client.LearnView(kept.GetView())
	p.client.SetKnownAddresses(seeds)
	if o.Log == nil {
		o.Log = silent{}
	}
	config := register.Config{Self: self, Seeds: seeds, Founder: o.First, Eligible: true, Tolerance: o.Tolerance, Seed: rand.Uint64(), Persisted: kept}
	p.replica = register.NewReplica(register.Options{Config: config, Machine: o.Machine, Files: files, Send: p.send, Log: o.Log,
		Committed: func(chain.Committed) {}, ViewChanged: p.client.LearnView}, disk)
	p.replica.SetKnownAddresses(seeds)
	return p, nil
}

// Run works until ctx ends. The address is free again when it returns.
func (p *Peer) Run(ctx context.Context) error {
	work, stop := context.WithCancel(ctx)
	defer stop()
	if err := p.link.Start(work); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	p.replica.Run(work)
	p.link.Wait()
	return nil
}

// Submit brings an order to the register and returns the machine's reply once all of the chain have it. It tries until ctx ends; then the
// order may have been taken, or may be later.
func (p *Peer) Submit(ctx context.Context, order []byte) (reply []byte, err error) {
	answer, err := p.client.Submit(ctx, order)
	return answer.GetReply(), err
}

// Read returns a snapshot of the state.
func (p *Peer) Read(ctx context.Context) (snapshot []byte, err error) {
	answer, err := p.client.Read(ctx)
	return answer.GetReply(), err
}

// Status is how the replica stands.
func (p *Peer) Status() register.Status { return p.replica.Status() }

// Holds tells whether this process may act on duties that the view gives it. Storage that others share should refuse an epoch below one
// that it has seen: the epoch is the fencing token.
func (p *Peer) Lease() (view *coordpb.View, ok bool) { return p.replica.Lease() }

func (p *Peer) receive(kind link.Kind, data []byte) {
	m := &coordpb.Message{}
	if kind == messageKind && proto.Unmarshal(data, m) == nil && m.From != nil {
		p.take(m)
	}
}

func (p *Peer) take(m *coordpb.Message) {
	if !p.client.Receive(m) {
		p.replica.Receive(m)
	}
}

func (p *Peer) send(to string, m *coordpb.Message) {
	if to == p.self {
		p.take(proto.Clone(m).(*coordpb.Message))
		return
	}
	if data, err := proto.Marshal(m); err == nil {
		p.link.Send(to, messageKind, data)
	}
}

// silent drops log lines.
type silent struct{}

func (silent) Info(string, ...any) {}
func (silent) Warn(string, ...any) {}
