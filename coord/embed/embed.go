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

// messageKind is the kind of the register's messages on the link.
const messageKind link.Kind = 1

// Options are what a Process is made with.
type Options struct {
	// Address is where this process listens. It has to stay the same over restarts.
	Address netip.AddrPort
	// Seeds are the processes that agree on the first members. The list has to be the same in all
	// processes on the first start.
	Seeds []netip.AddrPort
	// Folder is for this process alone, and has to be there again after a restart.
	Folder string
	// FirstStart reports whether the register is founded now. It must be false once a register was
	// founded, or a second one may be. It is ignored if the folder has a state.
	FirstStart bool
	// Tolerance is how many processes may be lost at once. That takes 2*Tolerance+1 of them.
	Tolerance int
	// Machine is the state of this process. It is used by one goroutine.
	Machine chain.Machine
	// Log gets lines for on-call staff, nil for none.
	Log register.Logger
}

// Process is one process of a register. Its methods are safe for concurrent use.
type Process struct {
	self    string
	link    *link.Link
	client  *register.Client
	replica *register.Replica
}

// New restores the state of a process from its folder. An error says that the folder can't be read.
func New(o Options) (*Process, error) {
	files, err := storage.NewFolder(o.Folder)
	if err != nil {
		return nil, fmt.Errorf("embed: Options.Folder: %w", err)
	}
	store, persisted, err := register.Load(files, o.Machine)
	if err != nil {
		return nil, fmt.Errorf("embed: Options.Folder %s: %w", o.Folder, err)
	}
	if o.Log == nil {
		o.Log = discardLogger{}
	}
	p := &Process{self: o.Address.String()}
	p.link = link.New(o.Address, p.receive)
	config := o.registerConfig(persisted)
	p.client = register.NewClient(config.Self, p.send)
	p.client.LearnView(persisted.GetView())
	p.client.SetKnownAddresses(config.Seeds)
	p.replica = register.NewReplica(register.Options{
		Config:      config,
		Machine:     o.Machine,
		Files:       files,
		Send:        p.send,
		Committed:   func(chain.Committed) {},
		ViewChanged: p.client.LearnView,
		Log:         o.Log,
	}, store)
	p.replica.SetKnownAddresses(config.Seeds)
	return p, nil
}

// registerConfig is the configuration of the replica, given what its folder has. A process without
// a state draws a new identity.
func (o Options) registerConfig(persisted *coordpb.Durable) register.Config {
	c := register.Config{
		Self:      &coordpb.Member{Address: o.Address.String(), Identity: rand.Uint64()},
		Founder:   o.FirstStart,
		Eligible:  true,
		Tolerance: o.Tolerance,
		Seed:      rand.Uint64(),
		Persisted: persisted,
	}
	if persisted != nil {
		c.Self.Identity, c.Founder = persisted.Identity, persisted.Founder
	}
	for _, seed := range o.Seeds {
		c.Seeds = append(c.Seeds, seed.String())
	}
	return c
}

// Run runs the process until ctx ends. The address is free again when it returns. An error says
// that the address can't be listened on.
func (p *Process) Run(ctx context.Context) error {
	work, stop := context.WithCancel(ctx)
	defer stop()
	if err := p.link.Start(work); err != nil {
		return fmt.Errorf("embed: Options.Address: %w", err)
	}
	p.replica.Run(work)
	p.link.Wait()
	return nil
}

// Submit executes a command and returns the reply of the machine once the change is committed.
// It retries until ctx ends; then the error is register.ErrNoAnswer, and the command may have
// been committed or may be later.
func (p *Process) Submit(ctx context.Context, command []byte) (reply []byte, err error) {
	answer, err := p.client.Submit(ctx, command)
	return answer.GetReply(), err
}

// Read returns a snapshot of the newest committed state. The error is register.ErrNoAnswer if
// ctx ended first.
func (p *Process) Read(ctx context.Context) (snapshot []byte, err error) {
	answer, err := p.client.Read(ctx)
	return answer.GetReply(), err
}

// Status is the state of the replica.
func (p *Process) Status() register.Status { return p.replica.Status() }

// Lease reports whether this process may act on the shards that the view assigns to it. Storage
// that others share should reject a fencing token, the epoch of the assignment, below one that
// it has seen.
func (p *Process) Lease() (view *coordpb.View, ok bool) { return p.replica.Lease() }

// receive handles a message of the link. What can't be parsed is dropped.
func (p *Process) receive(kind link.Kind, data []byte) {
	m := &coordpb.Message{}
	if kind == messageKind && proto.Unmarshal(data, m) == nil && m.From != nil {
		p.dispatch(m)
	}
}

// dispatch passes a message to the client or the replica.
func (p *Process) dispatch(m *coordpb.Message) {
	if !p.client.Receive(m) {
		p.replica.Receive(m)
	}
}

// send sends a message, which may be for this process itself.
func (p *Process) send(to string, m *coordpb.Message) {
	if to == p.self {
		p.dispatch(proto.Clone(m).(*coordpb.Message))
		return
	}
	if data, err := proto.Marshal(m); err == nil {
		p.link.Send(to, messageKind, data)
	}
}

// discardLogger drops log lines.
type discardLogger struct{}

func (discardLogger) Info(string, ...any) {}

func (discardLogger) Warn(string, ...any) {}
